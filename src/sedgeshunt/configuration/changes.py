"""Define the audit record of a configuration change."""

from collections.abc import Sequence

from msgspec import Struct
from msgspec.json import encode

from sedgeshunt.configuration.differences import ObjectEdit
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.decoding import Undecodable, decode_document
from sedgeshunt.identifiers import ChangeId, Revision

# In bytes. The store accepts values up to a megabyte and proxies never read
# these records; a record over the limit is truncated rather than rejected.
MAX_RECORD_BYTES = 65536


class ChangeRecord(Struct, frozen=True):
    """Hold one change as it is stored."""

    change: ChangeId
    author: str
    # Clock of the author's machine in UTC; for display only, never compared.
    at: str
    message: str
    edits: tuple[ObjectEdit, ...]
    # Objects whose edits were left out to keep the record within the limit.
    omitted: tuple[str, ...] = ()

    def edits_any(self, keys: Sequence[ObjectKey]) -> bool:
        """Return whether the change edits one of `keys`."""
        names = {str(key) for key in keys}
        edited = {str(edit.key) for edit in self.edits}
        return not names.isdisjoint(edited.union(self.omitted))


class RecordedChange(Struct, frozen=True):
    """Hold a change together with the revision at which it took effect."""

    revision: Revision
    record: ChangeRecord


def encode_change(record: ChangeRecord) -> bytes:
    """Return the record as JSON, with object names only if too large."""
    encoded = encode(record)
    if len(encoded) <= MAX_RECORD_BYTES:
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
    """Decode a record; return None if it is invalid."""
    try:
        return decode_document(value, ChangeRecord)
    except Undecodable:
        return None
