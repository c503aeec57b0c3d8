"""Record who changed what, and when."""

from collections.abc import Sequence

from msgspec import DecodeError, Struct
from msgspec.json import decode, encode

from sedgeshunt.configuration.differences import ObjectEdit
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.identifiers import ChangeId, Revision

# The service holds values up to a megabyte and proxies never read these; a
# record that lists many whole objects is cut rather than refused.
RECORD_LIMIT = 65536


class ChangeRecord(Struct, frozen=True):
    """Hold one change as the platform keeps it."""

    change: ChangeId
    author: str
    # Wall clock of the author's machine in UTC, for people only.
    at: str
    message: str
    edits: tuple[ObjectEdit, ...]
    # Objects whose edits were left out to keep the record small.
    omitted: tuple[str, ...] = ()

    def touches(self, keys: Sequence[ObjectKey]) -> bool:
        """Tell whether the change edits one of `keys`."""
        names = {str(key) for key in keys}
        edited = {str(edit.key) for edit in self.edits}
        return not names.isdisjoint(edited.union(self.omitted))


class RecordedChange(Struct, frozen=True):
    """Hold a change together with the revision at which it took effect."""

    revision: Revision
    record: ChangeRecord


def encode_change(record: ChangeRecord) -> bytes:
    """Return the record as JSON, cut to names when it is too large."""
    encoded = encode(record)
    if len(encoded) <= RECORD_LIMIT:
        return encoded
    omitted = tuple(str(edit.key) for edit in record.edits)
    return encode(
        ChangeRecord(
            change=record.change,
            author=record.author,
            at=record.at,
            message=record.message,
            edits=(),
            omitted=omitted,
        ),
    )


def decode_change(value: bytes) -> ChangeRecord | None:
    """Read a record, None when it is not one."""
    try:
        return decode(value, type=ChangeRecord)
    except (DecodeError, UnicodeDecodeError):
        return None
