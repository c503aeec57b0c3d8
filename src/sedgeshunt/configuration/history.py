"""Read the log of configuration changes."""

from collections.abc import Sequence
from dataclasses import dataclass

from sedgeshunt.configuration.changes import RecordedChange, decode_change
from sedgeshunt.configuration.keys import (
    CHANGES_PREFIX,
    ObjectKey,
    name_change,
)
from sedgeshunt.identifiers import ChangeId, Revision
from sedgeshunt.ports import KeyValueService, Listing


@dataclass(frozen=True, slots=True)
class ChangeLookup:
    """Hold the result of a lookup as of one revision of the store."""

    as_of: Revision
    found: RecordedChange | None


class ChangeHistory:
    """Read the bounded log of changes, newest first."""

    def __init__(self, platform: KeyValueService) -> None:
        """Read from `platform`."""
        self._platform = platform

    async def list_changes(self) -> list[RecordedChange]:
        """List all retained changes; raise PlatformUnavailable."""
        return _read_changes(await self._platform.list_prefix(CHANGES_PREFIX))

    async def find_change(self, change: ChangeId) -> ChangeLookup:
        """Find one change; raise PlatformUnavailable."""
        listing = await self._platform.list_prefix(name_change(change))
        for recorded in _read_changes(listing):
            if recorded.record.change == change:
                return ChangeLookup(listing.revision, recorded)
        return ChangeLookup(listing.revision, None)

    async def list_changes_to(
        self,
        keys: Sequence[ObjectKey],
        after: Revision,
    ) -> list[RecordedChange]:
        """List the changes after `after` that edit one of `keys`."""
        return [
            recorded
            for recorded in await self.list_changes()
            if recorded.revision > after and recorded.record.edits_any(keys)
        ]


def _read_changes(listing: Listing) -> list[RecordedChange]:
    changes = []
    for pair in listing.pairs:
        record = decode_change(pair.value)
        if record is not None:
            changes.append(RecordedChange(pair.revision, record))
    return sorted(changes, key=_by_revision, reverse=True)


def _by_revision(recorded: RecordedChange) -> Revision:
    return recorded.revision
