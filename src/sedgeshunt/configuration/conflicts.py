"""Notice what rivals changed in the meantime."""

from collections.abc import Sequence

from sedgeshunt.configuration.errors import RevisionConflict
from sedgeshunt.configuration.history import ChangeHistory
from sedgeshunt.configuration.intents import Intent
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.store import StoredConfiguration
from sedgeshunt.identifiers import Revision
from sedgeshunt.ports import KeyValueService


class ConflictCheck:
    """Refuse to change what others changed first, and name them."""

    def __init__(self, platform: KeyValueService) -> None:
        """Read the log of changes from `platform`."""
        self._history = ChangeHistory(platform)

    async def refuse_newer(
        self,
        stored: StoredConfiguration,
        intent: Intent,
        expected: Revision | None,
    ) -> None:
        """Raise RevisionConflict for changes past `expected`."""
        if expected is None or stored.snapshot.revision <= expected:
            return
        # A file that was read long ago would undo, without a word, what
        # others changed since; also what they deleted, which only the log
        # still tells.
        keys = tuple(intent.plan(stored.snapshot))
        rivals = await self._history.list_changes_to(keys, expected)
        newer = [key for key in keys if stored.read_revision(key) > expected]
        if rivals or newer:
            raise RevisionConflict(keys, rivals)

    async def refuse_changed(
        self,
        first: StoredConfiguration,
        stored: StoredConfiguration,
        intent: Intent,
    ) -> None:
        """Raise RevisionConflict for changes between two readings."""
        changed = [
            key
            for key in intent.keys
            if stored.read_revision(key) != first.read_revision(key)
        ]
        if changed:
            raise await self.describe(changed, first)

    async def describe(
        self,
        keys: Sequence[ObjectKey],
        first: StoredConfiguration,
    ) -> RevisionConflict:
        """Return the conflict with what rivals did since `first`."""
        revision = first.snapshot.revision
        rivals = await self._history.list_changes_to(keys, revision)
        return RevisionConflict(keys, rivals)
