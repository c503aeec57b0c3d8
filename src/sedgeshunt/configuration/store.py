"""Read the stored configuration and prepare changes to it."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from msgspec.json import encode
from result import Err

from sedgeshunt.configuration.changes import ChangeRecord, encode_change
from sedgeshunt.configuration.edits import Edits
from sedgeshunt.configuration.encoding import (
    build_snapshot,
    decode_object,
    encode_object,
)
from sedgeshunt.configuration.errors import ChangeTooLarge
from sedgeshunt.configuration.keys import (
    HEAD_KEY,
    KEPT_CHANGES_KEY,
    OBJECTS_PREFIX,
    ObjectKey,
    name_change,
    read_path,
)
from sedgeshunt.configuration.objects import ConfigurationObject
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.decoding import Undecodable, decode_document
from sedgeshunt.identifiers import ChangeId, Revision
from sedgeshunt.ports import (
    Compare,
    Delete,
    KeyValue,
    KeyValueService,
    Listing,
    Put,
)

ABSENT = Revision(0)
MAX_KEPT_CHANGES = 500
# The store's documented limit of operations in one transaction, less those
# that each change needs for its own record.
MAX_EDITS_PER_CHANGE = 120
_MAX_TRIMMED_PER_CHANGE = 4


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """Hold the objects in the store, with the revision of each key."""

    snapshot: Snapshot
    revisions: Mapping[str, Revision]
    # Objects that cannot be decoded, each with the reason.
    unreadable: Mapping[ObjectKey, str] = field(default_factory=dict)

    def read_revision(self, key: ObjectKey) -> Revision:
        """Return the revision of an object's last change, 0 if absent."""
        return self.revisions.get(key.path, ABSENT)


@dataclass(frozen=True, slots=True)
class Transaction:
    """Hold one change as a transaction that can be retried."""

    change: ChangeId
    compares: tuple[Compare, ...]
    changes: tuple[Put | Delete, ...]


def read_listing(listing: Listing) -> StoredConfiguration:
    """Read the objects in a listing of their prefix."""
    revisions = {pair.key: pair.revision for pair in listing.pairs}
    reader = _ListingReader()
    for pair in listing.pairs:
        reader.read_pair(pair)
    newest = max(revisions.values(), default=ABSENT)
    snapshot = build_snapshot(newest, reader.objects)
    return StoredConfiguration(snapshot, revisions, reader.unreadable)


async def read_store(platform: KeyValueService) -> StoredConfiguration:
    """Read all objects; raise PlatformUnavailable."""
    return read_listing(await platform.list_prefix(OBJECTS_PREFIX))


async def read_kept_changes(platform: KeyValueService) -> list[ChangeId]:
    """Read the ids of the retained changes, oldest first."""
    listing = await platform.list_prefix(KEPT_CHANGES_KEY)
    for pair in listing.pairs:
        if pair.key != KEPT_CHANGES_KEY:
            continue
        try:
            return decode_document(pair.value, list[ChangeId])
        except Undecodable:
            return []
    return []


class _ListingReader:
    """Collect the objects of a listing and those that cannot be decoded."""

    def __init__(self) -> None:
        self.objects: list[ConfigurationObject] = []
        self.unreadable: dict[ObjectKey, str] = {}

    def read_pair(self, pair: KeyValue) -> None:
        key = read_path(pair.key)
        if key is None:
            return
        decoded = decode_object(key, pair.value)
        if isinstance(decoded, Err):
            self.unreadable[key] = decoded.err_value
        else:
            self.objects.append(decoded.ok_value)


def prepare_transaction(
    stored: StoredConfiguration,
    kept: Sequence[ChangeId],
    edits: Edits,
    record: ChangeRecord,
) -> Transaction:
    """Convert edits into one transaction; raise ChangeTooLarge."""
    if len(edits) > MAX_EDITS_PER_CHANGE:
        raise ChangeTooLarge(len(edits), MAX_EDITS_PER_CHANGE)
    change = record.change
    # Two concurrent changes can each be valid but invalid together, such as
    # adding a target to a group while the group is deleted. All changes
    # compare and write the head, so the later one is validated again.
    compares = [Compare(HEAD_KEY, stored.revisions.get(HEAD_KEY, ABSENT))]
    compares.extend(
        Compare(key.path, stored.read_revision(key)) for key in edits
    )
    changes = _list_object_changes(edits)
    changes.append(Put(HEAD_KEY, change.encode()))
    changes.extend(_keep_change(kept, change))
    # The adapter identifies a lost answer by the last key.
    changes.append(Put(name_change(change), encode_change(record)))
    return Transaction(change, tuple(compares), tuple(changes))


def _list_object_changes(edits: Edits) -> list[Put | Delete]:
    changes: list[Put | Delete] = []
    for key, declared in edits.items():
        if declared is None:
            changes.append(Delete(key.path))
        else:
            changes.append(Put(key.path, encode_object(declared)))
    return changes


def _keep_change(
    kept: Sequence[ChangeId],
    change: ChangeId,
) -> list[Put | Delete]:
    excess = max(0, len(kept) + 1 - MAX_KEPT_CHANGES)
    trimmed = kept[: min(excess, _MAX_TRIMMED_PER_CHANGE)]
    remaining = [*kept[len(trimmed) :], change]
    return [
        Put(KEPT_CHANGES_KEY, encode(remaining)),
        *(Delete(name_change(old)) for old in trimmed),
    ]
