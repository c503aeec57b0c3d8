"""Detect concurrent changes to the same objects."""

from collections.abc import Sequence

from sedgeshunt.configuration.errors import RevisionConflict
from sedgeshunt.configuration.history import ChangeHistory
from sedgeshunt.configuration.intents import Intent
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.store import StoredConfiguration
from sedgeshunt.identifiers import Revision
from sedgeshunt.ports import KeyValueService


class ConflictCheck:
    """Reject changes to objects that others changed first."""

    def __init__(self, platform: KeyValueService) -> None:
        """Read the log of changes from `platform`."""
        self._history = ChangeHistory(platform)

    async def refuse_newer(
        self,
        stored: StoredConfiguration,
        intent: Intent,
        expected: Revision | None,
    ) -> None:
        """Raise RevisionConflict for changes after `expected`."""
        if expected is None or stored.snapshot.revision <= expected:
            return
        # An outdated file would silently undo changes made since, including
        # deletions, which only the change log still shows.
        keys = tuple(intent.plan(stored.snapshot))
        conflicting = await self._history.list_changes_to(keys, expected)
        newer = [key for key in keys if stored.read_revision(key) > expected]
        if conflicting or newer:
            raise RevisionConflict(keys, conflicting)

    async def refuse_changed(
        self,
        first: StoredConfiguration,
        stored: StoredConfiguration,
        intent: Intent,
    ) -> None:
        """Raise RevisionConflict for changes between two reads."""
        changed = [
            key
            for key in intent.keys
            if stored.read_revision(key) != first.read_revision(key)
        ]
        if changed:
            raise await self.build_conflict(changed, first)

    async def build_conflict(
        self,
        keys: Sequence[ObjectKey],
        first: StoredConfiguration,
    ) -> RevisionConflict:
        """Return the conflict with the changes since `first`."""
        revision = first.snapshot.revision
        conflicting = await self._history.list_changes_to(keys, revision)
        return RevisionConflict(keys, conflicting)
