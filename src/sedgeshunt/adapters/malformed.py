"""Tell malformed packets from failures of the proxy itself."""

from collections.abc import Iterator
from contextlib import contextmanager

from sedgeshunt.adapters.channel import ProtocolBroken
from sedgeshunt.decoding import MALFORMED


@contextmanager
def reading_packet() -> Iterator[None]:
    """Raise ProtocolBroken for whatever fails inside."""
    # Only what fails before a statement is run may be called malformed.
    try:
        yield
    except MALFORMED as failure:
        raise ProtocolBroken(f'a packet is malformed: {failure}') from failure
