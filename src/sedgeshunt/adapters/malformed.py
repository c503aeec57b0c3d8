"""Tell malformed packets from failures of the proxy itself."""

from collections.abc import Iterator
from contextlib import contextmanager
from struct import error as StructError

from sedgeshunt.adapters.channel import ProtocolBroken

# What reading a packet raises when it is not what it says it is.
UNREADABLE = (ArithmeticError, LookupError, StructError, ValueError)


@contextmanager
def reading_packet() -> Iterator[None]:
    """Raise ProtocolBroken for whatever fails inside."""
    # Only what fails before a statement is run may be called malformed.
    try:
        yield
    except UNREADABLE as failure:
        raise ProtocolBroken(f'a packet is malformed: {failure}') from failure
