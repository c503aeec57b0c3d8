"""Change objects in the platform's store, one commit per change."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from random import Random
from uuid import uuid4

from sedgeshunt.configuration.changes import ChangeRecord
from sedgeshunt.configuration.checks import list_errors
from sedgeshunt.configuration.committer import Committer
from sedgeshunt.configuration.conflicts import ConflictCheck
from sedgeshunt.configuration.differences import ObjectEdit, compare_edits
from sedgeshunt.configuration.edits import Edits, change_snapshot
from sedgeshunt.configuration.errors import ObjectsInvalid
from sedgeshunt.configuration.intents import (
    ApplyObjects,
    DeleteObjects,
    Intent,
    SetLabels,
)
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import ConfigurationObject
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.configuration.store import (
    StoredConfiguration,
    prepare_transaction,
    read_kept_changes,
    read_store,
)
from sedgeshunt.identifiers import ChangeId, Revision
from sedgeshunt.ports import KeyValueService

# Each concurrent change to other objects costs one more attempt.
MAX_ATTEMPTS = 8


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """Hold the result of a change; without edits nothing was committed."""

    revision: Revision
    change: ChangeId | None = None
    edits: tuple[ObjectEdit, ...] = ()


class ConfigurationRegistry:
    """Change objects on an operator's behalf."""

    def __init__(
        self,
        platform: KeyValueService,
        author: str,
        random: Random | None = None,
    ) -> None:
        """Write to `platform` and record `author` with each change."""
        # The change that was sent but is not confirmed yet; named in the
        # message if the command is interrupted.
        self.unconfirmed: ChangeId | None = None
        self._platform = platform
        self._author = author
        self._committer = Committer(platform, random or Random())
        self._conflicts = ConflictCheck(platform)

    async def read(self) -> StoredConfiguration:
        """Read all objects; raise PlatformUnavailable."""
        return await read_store(self._platform)

    async def diff(
        self,
        objects: Iterable[ConfigurationObject],
    ) -> list[ObjectEdit]:
        """Describe what applying `objects` would change."""
        stored = await self.read()
        intent = ApplyObjects(tuple(objects))
        return compare_edits(stored.snapshot, intent.plan(stored.snapshot))

    async def apply(
        self,
        objects: Iterable[ConfigurationObject],
        message: str,
        expected: Revision | None = None,
    ) -> AppliedChange:
        """Create or replace objects, unchanged since `expected` if given."""
        return await self.change(
            ApplyObjects(tuple(objects)),
            message,
            expected,
        )

    async def set_labels(
        self,
        key: ObjectKey,
        labels: Mapping[str, str | None],
        message: str,
        expected: Revision | None = None,
    ) -> AppliedChange:
        """Set labels of one object; a value of None removes the label."""
        return await self.change(SetLabels(key, labels), message, expected)

    async def delete(
        self,
        keys: Sequence[ObjectKey],
        message: str,
        expected: Revision | None = None,
    ) -> AppliedChange:
        """Remove objects, unchanged since `expected` if given."""
        return await self.change(DeleteObjects(keys), message, expected)

    async def change(
        self,
        intent: Intent,
        message: str,
        expected: Revision | None = None,
    ) -> AppliedChange:
        """Apply an intent in one commit.

        Raise RevisionConflict, ObjectsInvalid, ObjectNotFound,
        ChangeTooLarge, PlatformUnavailable or AnswerLost.
        """
        first = await self.read()
        await self._conflicts.refuse_newer(first, intent, expected)
        stored = first
        for _ in range(MAX_ATTEMPTS):
            applied = await self._attempt(stored, intent, message)
            if applied is not None:
                return applied
            stored = await self._read_again(first, intent)
        raise await self._conflicts.build_conflict(intent.keys, first)

    async def _read_again(
        self,
        first: StoredConfiguration,
        intent: Intent,
    ) -> StoredConfiguration:
        stored = await self.read()
        await self._conflicts.refuse_changed(first, stored, intent)
        return stored

    async def _attempt(
        self,
        stored: StoredConfiguration,
        intent: Intent,
        message: str,
    ) -> AppliedChange | None:
        edits = intent.plan(stored.snapshot)
        described = tuple(compare_edits(stored.snapshot, edits))
        if not described:
            return AppliedChange(stored.snapshot.revision)
        _reject_new_errors(stored.snapshot, edits)
        record = self._build_record(message, described)
        revision = await self._commit(stored, edits, record)
        if revision is None:
            return None
        return AppliedChange(revision, record.change, described)

    def _build_record(
        self,
        message: str,
        edits: tuple[ObjectEdit, ...],
    ) -> ChangeRecord:
        return ChangeRecord(
            change=ChangeId(str(uuid4())),
            author=self._author,
            at=datetime.now(UTC).isoformat(timespec='seconds'),
            message=message,
            edits=edits,
        )

    async def _commit(
        self,
        stored: StoredConfiguration,
        edits: Edits,
        record: ChangeRecord,
    ) -> Revision | None:
        kept = await read_kept_changes(self._platform)
        transaction = prepare_transaction(stored, kept, edits, record)
        self.unconfirmed = record.change
        outcome = await self._committer.commit(transaction)
        self.unconfirmed = None
        return outcome.revision if outcome.succeeded else None


def _reject_new_errors(before: Snapshot, edits: Edits) -> None:
    # Errors that already exist must not block an emergency change; only the
    # errors that the change introduces reject it.
    after = change_snapshot(before, before.revision, edits)
    introduced = set(list_errors(after)) - set(list_errors(before))
    if introduced:
        raise ObjectsInvalid(
            sorted(problem.describe() for problem in introduced),
        )
