"""Hold the active configuration and never revert it to an older one."""

from asyncio import Event
from collections.abc import Callable, Sequence
from dataclasses import replace

from result import Err

from sedgeshunt.configuration.edits import (
    Edits,
    change_snapshot,
    find_object,
)
from sedgeshunt.configuration.encoding import (
    decode_object,
    decode_snapshot,
    encode_snapshot,
)
from sedgeshunt.configuration.keys import ObjectKey, read_path
from sedgeshunt.configuration.objects import ConfigurationObject
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.configuration.store import StoredConfiguration, read_listing
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.identifiers import Revision
from sedgeshunt.ports import ConfigurationCopy, Listing, WatchEvent


class EventsOutOfOrder(Exception):
    """Report watch events out of order, so that some may be missing."""


class ActiveConfiguration:
    """Hold the active snapshot, replaced atomically and only by newer ones."""

    def __init__(
        self,
        on_change: Callable[[Snapshot], None],
        decisions: DecisionLog,
    ) -> None:
        """Start with an empty snapshot."""
        self.snapshot = Snapshot()
        self._on_change = on_change
        self._decisions = decisions
        # The store's revision can be higher than the snapshot's because it
        # also counts writes to other keys.
        self._read_up_to = Revision(0)
        self._applied = Event()
        self._copy = ConfigurationCopy(Revision(0), b'')

    @property
    def known_revision(self) -> Revision:
        """Return the store revision up to which all changes are known."""
        return max(self._read_up_to, self.snapshot.revision)

    async def wait_revision(self, revision: Revision) -> Snapshot:
        """Wait until `revision` or a newer one is active."""
        while self.snapshot.revision < revision:
            await self._applied.wait()
        return self.snapshot

    def encode_copy(self, known: Revision) -> ConfigurationCopy | None:
        """Return the encoded snapshot, or None if `known` is as new."""
        revision = self.snapshot.revision
        if revision <= known:
            return None
        if self._copy.revision != revision:
            document = encode_snapshot(self.snapshot)
            self._copy = ConfigurationCopy(revision, document)
        return self._copy

    def apply_listing(self, listing: Listing) -> bool:
        """Activate a listing; return False if it is older."""
        # A restarted watch may connect to a lagging member of the store. Its
        # listing would revert changes that were already active.
        if listing.revision < self.known_revision:
            self._record_refusal(
                'listing',
                f'revision {listing.revision} is older',
            )
            return False
        listed = self._restore_unreadable(read_listing(listing))
        self._read_up_to = listing.revision
        if listed.revision <= self.snapshot.revision:
            # A key deleted directly in the store leaves no newer revision.
            listed = replace(listed, revision=self.snapshot.revision)
            if listed == self.snapshot:
                return True
            listed = replace(listed, revision=listing.revision)
        self._activate(listed, 'listing')
        return True

    def apply_copy(self, copy: ConfigurationCopy) -> bool:
        """Activate a peer's configuration if it is newer."""
        decoded = decode_snapshot(copy.document)
        if isinstance(decoded, Err):
            self._record_refusal('peer', decoded.err_value)
            return False
        if decoded.ok_value.revision <= self.snapshot.revision:
            self._record_refusal(
                'peer',
                f'revision {copy.revision} is not newer',
            )
            return False
        self._activate(decoded.ok_value, 'peer')
        return True

    def apply_events(self, events: Sequence[WatchEvent]) -> None:
        """Apply watch events; raise WatchDisordered."""
        revisions = [event.revision for event in events]
        if not revisions:
            return
        # Late events precede the active configuration: applying them would
        # revert newer changes, dropping them would lose changes. Only a
        # listing shows the current state.
        if revisions[0] <= self._read_up_to or revisions != sorted(revisions):
            raise EventsOutOfOrder
        self._read_up_to = revisions[-1]
        # A peer's copy may already include some of these changes.
        newer = [
            event for event in events if event.revision > self.snapshot.revision
        ]
        if newer:
            edits = self._read_edits(newer)
            changed = change_snapshot(self.snapshot, revisions[-1], edits)
            self._activate(changed, 'watch')

    def _read_edits(self, events: Sequence[WatchEvent]) -> Edits:
        edits: dict[ObjectKey, ConfigurationObject | None] = {}
        for event in events:
            key = read_path(event.key)
            if key is None:
                continue
            if event.value is None:
                edits[key] = None
                continue
            decoded = decode_object(key, event.value)
            if isinstance(decoded, Err):
                self._record_refusal('watch', f'{key}: {decoded.err_value}')
            else:
                edits[key] = decoded.ok_value
        return edits

    def _restore_unreadable(self, stored: StoredConfiguration) -> Snapshot:
        # A value that cannot be decoded must not remove the object or block
        # other changes, so the last readable version stays active.
        kept: dict[ObjectKey, ConfigurationObject | None] = {}
        for key, reason in stored.unreadable.items():
            self._record_refusal('listing', f'{key}: {reason}')
            kept[key] = find_object(self.snapshot, key)
        return change_snapshot(stored.snapshot, stored.snapshot.revision, kept)

    def _activate(self, snapshot: Snapshot, source: str) -> None:
        before = self.snapshot.revision
        self.snapshot = snapshot
        self._decisions.record(
            Decision(
                DecisionKind.CONFIGURATION_APPLIED,
                reasons={
                    'revision': str(snapshot.revision),
                    'before': str(before),
                    'source': source,
                },
            ),
        )
        self._on_change(snapshot)
        # Waiters hold the old event and check the revision again.
        self._applied.set()
        self._applied = Event()

    def _record_refusal(self, source: str, reason: str) -> None:
        self._decisions.record(
            Decision(
                DecisionKind.CONFIGURATION_REFUSED,
                reasons={
                    'in_force': str(self.snapshot.revision),
                    'source': source,
                    'why': reason,
                },
            ),
        )
