"""Implement the storage of the key-value test double."""

from asyncio import TimerHandle, get_running_loop
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from sedgeshunt.exceptions import PlatformUnavailable
from sedgeshunt.identifiers import Era, Revision
from sedgeshunt.ports import (
    FIRST_ERA,
    CommitResult,
    Compare,
    Delete,
    KeyValue,
    Listing,
    Put,
    WatchCompacted,
    WatchEvent,
)
from tests.standins.network import Signal

Matcher = Callable[[str], bool]
# Copies that are kept for restore_copy().
MAX_COPIES = 500


class LeaseNotFound(PlatformUnavailable):
    """Signal that a key can't be bound to an expired lease."""


@dataclass(slots=True)
class Lease:
    """Hold the time to live in seconds, the timer and the bound keys."""

    ttl: float
    timer: TimerHandle
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Copy:
    """Hold a copy of the store's content at one time."""

    at: float
    revision: Revision
    pairs: dict[str, KeyValue]
    # Time to live in seconds and bound keys of each lease.
    leases: dict[int, tuple[float, frozenset[str]]]
    last_lease: int


class KeyValueStore:
    """Store keys and leases; each transaction creates one revision."""

    def __init__(self) -> None:
        """Start empty at revision 1, like a new store."""
        self.revision = Revision(1)
        self.compacted = Revision(0)
        self.changed = Signal()
        self.era = FIRST_ERA
        # Leases are granted for this time at most.
        self.longest_ttl = float('inf')
        self._copies: deque[Copy] = deque(maxlen=MAX_COPIES)
        self._pairs: dict[str, KeyValue] = {}
        self._events: list[WatchEvent] = []
        self._leases: dict[int, Lease] = {}
        self._last_lease = 0

    def list_matching(self, matches: Matcher) -> Listing:
        """Return the pairs whose keys match, sorted by key."""
        keys = sorted(filter(matches, self._pairs))
        return Listing(self.revision, [self._pairs[key] for key in keys])

    def commit(
        self,
        compares: Iterable[Compare],
        changes: Sequence[Put | Delete],
    ) -> CommitResult:
        """Apply all changes or none; raise LeaseNotFound."""
        leases = {change.lease for change in changes if isinstance(change, Put)}
        if not leases <= {None, *self._leases}:
            raise LeaseNotFound('requested lease not found')
        conditions = tuple(compares)
        if not all(map(self._is_met, conditions)):
            keys = {compare.key for compare in conditions}
            return CommitResult(
                succeeded=False,
                revision=self.revision,
                current=self.list_matching(keys.__contains__).pairs,
            )
        self._apply(changes)
        return CommitResult(succeeded=True, revision=self.revision)

    def list_events(
        self,
        after: Revision,
        matches: Matcher,
    ) -> list[WatchEvent]:
        """Return the changes past `after`; raise WatchCompacted."""
        if after < self.compacted or after > self.revision:
            raise WatchCompacted
        return [
            event
            for event in self._events
            if event.revision > after and matches(event.key)
        ]

    def compact(self) -> None:
        """Discard the history of changes up to now."""
        self.compacted = self.revision
        self._events.clear()

    def grant_lease(self, ttl: float) -> int:
        """Create a lease and return its id."""
        self._last_lease += 1
        lease = self._last_lease
        ttl = min(ttl, self.longest_ttl)
        self._leases[lease] = Lease(ttl, self._start_timer(lease, ttl))
        self._copy()
        return lease

    def keep_lease(self, lease: int) -> float:
        """Renew a lease and return its time to live, 0 if it expired."""
        kept = self._leases.get(lease)
        if kept is None:
            return 0
        kept.timer.cancel()
        kept.timer = self._start_timer(lease, kept.ttl)
        return kept.ttl

    def revoke_lease(self, lease: int) -> bool:
        """End a lease and delete its keys; return whether it existed."""
        ended = self._leases.pop(lease, None)
        if ended is None:
            return False
        ended.timer.cancel()
        self._apply([Delete(key) for key in sorted(ended.keys)])
        return True

    def revoke_lease_of(self, key: str) -> bool:
        """End the lease to which a key is bound, if there is one."""
        found = [
            lease for lease, held in self._leases.items() if key in held.keys
        ]
        return any(self.revoke_lease(lease) for lease in found)

    def expire_leases(self) -> None:
        """End all leases as if none had been renewed in time."""
        for lease in tuple(self._leases):
            self.revoke_lease(lease)

    def restore_copy(self, age: float) -> None:
        """Restore the state of `age` seconds ago and start the next era.

        Revisions and lease ids after that state are issued again.
        """
        at = get_running_loop().time() - age
        copies = [copy for copy in self._copies if copy.at <= at]
        copy = copies[-1] if copies else self._copies[0]
        self.era = Era(self.era + 1)
        self.revision = copy.revision
        self._pairs = dict(copy.pairs)
        self._events = [
            event for event in self._events if event.revision <= copy.revision
        ]
        for lost in self._leases.values():
            lost.timer.cancel()
        self._leases = {
            lease: Lease(ttl, self._start_timer(lease, ttl), set(keys))
            for lease, (ttl, keys) in copy.leases.items()
        }
        self._last_lease = copy.last_lease
        self._copies.clear()
        self._copy()
        self.changed.fire()

    def _copy(self) -> None:
        self._copies.append(
            Copy(
                _read_time(),
                self.revision,
                dict(self._pairs),
                {
                    lease: (held.ttl, frozenset(held.keys))
                    for lease, held in self._leases.items()
                },
                self._last_lease,
            ),
        )

    def _start_timer(self, lease: int, ttl: float) -> TimerHandle:
        return get_running_loop().call_later(ttl, self.revoke_lease, lease)

    def _is_met(self, compare: Compare) -> bool:
        pair = self._pairs.get(compare.key)
        revision = 0 if pair is None else pair.revision
        return compare.revision == revision

    def _apply(self, changes: Sequence[Put | Delete]) -> None:
        revision = Revision(self.revision + 1)
        events = len(self._events)
        for change in changes:
            self._apply_one(change, revision)
        # Deleting an absent key creates no revision.
        if len(self._events) > events:
            self.revision = revision
            self._copy()
            self.changed.fire()

    def _apply_one(self, change: Put | Delete, revision: Revision) -> None:
        known = self._pairs.pop(change.key, None)
        for lease in self._leases.values():
            lease.keys.discard(change.key)
        if isinstance(change, Delete):
            if known is not None:
                self._events.append(WatchEvent(change.key, None, revision))
            return
        self._pairs[change.key] = KeyValue(change.key, change.value, revision)
        self._events.append(WatchEvent(change.key, change.value, revision))
        if change.lease is not None:
            self._leases[change.lease].keys.add(change.key)


def _read_time() -> float:
    # Tests store objects before an event loop runs.
    try:
        return get_running_loop().time()
    except RuntimeError:
        return 0
