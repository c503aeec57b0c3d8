"""Decode documents that come from outside the process."""

from json import loads
from struct import error as StructError
from typing import Any, TypeVar

from msgspec import convert
from msgspec.json import decode

from sedgeshunt.exceptions import SedgeshuntError

# What reading malformed input raises. Decoders report documents that are nested
# too deeply with RecursionError, which is no ValueError.
MALFORMED = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    StructError,
    TypeError,
    ValueError,
)
MAX_REASON = 200

Decoded = TypeVar('Decoded')


class Undecodable(SedgeshuntError):
    """Signal that a document can't be decoded."""

    def __init__(self, reason: str) -> None:
        """Store the reason, shortened as it may quote the document."""
        super().__init__(reason)
        self.reason = reason[:MAX_REASON]

    def format_message(self) -> str:
        """Return the reason and the remedy."""
        return f'the document is invalid ({self.reason}); write a valid one'


def decode_document(document: bytes, kind: type[Decoded]) -> Decoded:
    """Decode a JSON document of one type; raise Undecodable."""
    try:
        return decode(document, type=kind)
    except MALFORMED as failure:
        raise Undecodable(describe_failure(failure)) from failure


def convert_document(document: Any, kind: type[Decoded]) -> Decoded:
    """Convert a decoded document to one type; raise Undecodable."""
    try:
        return convert(document, kind)
    except MALFORMED as failure:
        raise Undecodable(describe_failure(failure)) from failure


def load_document(document: bytes) -> Any:
    """Decode a JSON document of any type; raise Undecodable."""
    try:
        return loads(document)
    except MALFORMED as failure:
        raise Undecodable(describe_failure(failure)) from failure


def describe_failure(failure: Exception) -> str:
    """Return the message of an exception, or its type if it has none."""
    return str(failure) or type(failure).__name__
