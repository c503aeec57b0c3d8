"""Accept answers of the store in its newest era only."""

from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Callable,
    Sequence,
)
from contextlib import AsyncExitStack

from sedgeshunt.clocks import read_boottime
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.identifiers import Boottime, Era, Revision, Seconds
from sedgeshunt.ports import (
    FIRST_ERA,
    CommitResult,
    Compare,
    Delete,
    GrantedLease,
    KeyValueService,
    Listing,
    Put,
    WatchCompacted,
    WatchEvent,
)
from sedgeshunt.revisions import NOTHING, read_era

RESTORED_MEANWHILE = 'it was restored from a snapshot during the request'


class CurrentStore(KeyValueService):
    """Reject answers that the store gave in an older era.

    A new era begins when the store is restored from a snapshot. It reuses
    revisions and lease ids: in another era the same number identifies another
    change, or the lease of another instance.
    """

    def __init__(self, store: KeyValueService, decisions: DecisionLog) -> None:
        """Wrap `store`; its first answer sets the era."""
        self._store = store
        self._decisions = decisions
        self._era: Era | None = None
        self._era_known_since = Boottime(0)
        self._listeners: list[Callable[[], None]] = []

    @property
    def era(self) -> Era:
        """Return the newest known era."""
        return FIRST_ERA if self._era is None else self._era

    def listen(self, listener: Callable[[], None]) -> None:
        """Call `listener` when the store has been restored."""
        self._listeners.append(listener)

    def measure_era_age(self) -> Seconds:
        """Return for how long the newest era has been known."""
        return Seconds(read_boottime() - self._era_known_since)

    def observe_era(self, era: Era) -> None:
        """Record an era that the store or a peer has reported."""
        before = self._era
        if before is not None and era <= before:
            return
        self._era = era
        self._era_known_since = read_boottime()
        if before is None:
            return
        reasons = {'era': str(era), 'before': str(before)}
        self._decisions.record(
            Decision(DecisionKind.STORE_RETURNED, reasons=reasons),
        )
        for listener in self._listeners:
            listener()

    async def list_prefix(
        self,
        prefix: str,
        *,
        may_be_old: bool = False,
    ) -> Listing:
        """Read all pairs under `prefix`; raise PlatformUnavailable."""
        listing = await self._store.list_prefix(prefix, may_be_old=may_be_old)
        self._observe_store_era()
        if read_era(listing.revision) != self.era:
            raise PlatformUnavailable(RESTORED_MEANWHILE)
        return listing

    async def commit(
        self,
        compares: Sequence[Compare],
        changes: Sequence[Put | Delete],
    ) -> CommitResult:
        """Apply all or nothing; raise PlatformUnavailable or AnswerLost."""
        requested_in = self._era
        if not all(map(self._is_comparable, compares)):
            return CommitResult(succeeded=False, revision=NOTHING)
        done = await self._store.commit(compares, changes)
        self._observe_store_era()
        if done.succeeded and not self._is_newest(requested_in, done.revision):
            # Its comparisons may have matched reused revisions.
            raise AnswerLost(changes[0].key)
        current = [
            pair for pair in done.current if read_era(pair.revision) == self.era
        ]
        return CommitResult(done.succeeded, done.revision, current)

    async def watch(
        self,
        prefix: str,
        after: Revision,
    ) -> AsyncIterator[Sequence[WatchEvent]]:
        """Yield changes past `after`; raise PlatformUnavailable at its end.

        Raise WatchCompacted when `after` is no longer kept.
        """
        self._check_watch(after)
        watch = self._store.watch(prefix, after)
        async with AsyncExitStack() as owned:
            if isinstance(watch, AsyncGenerator):
                owned.push_async_callback(watch.aclose)
            owned.callback(self._observe_store_era)
            async for events in watch:
                self._observe_store_era()
                self._check_watch(after)
                yield events

    async def grant_lease(self, ttl: Seconds) -> GrantedLease:
        """Create a lease; raise PlatformUnavailable."""
        requested_in = self._era
        lease = await self._store.grant_lease(ttl)
        self._observe_store_era()
        if requested_in not in {None, self._era}:
            raise PlatformUnavailable(RESTORED_MEANWHILE)
        return lease

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease of the newest era; return False if it has expired."""
        requested_in = self._era
        is_kept = await self._store.keep_lease(lease)
        self._observe_store_era()
        return is_kept and self._era == requested_in

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
        await self._store.revoke_lease(lease)
        self._observe_store_era()

    def _observe_store_era(self) -> None:
        self.observe_era(self._store.era)

    def _check_watch(self, after: Revision) -> None:
        if read_era(after) != self.era:
            raise WatchCompacted

    def _is_comparable(self, compare: Compare) -> bool:
        """Return whether a comparison refers to the newest era."""
        revision = compare.revision
        return revision == NOTHING or read_era(revision) == self.era

    def _is_newest(self, requested_in: Era | None, revision: Revision) -> bool:
        return (
            requested_in in {None, self._era}
            and read_era(revision) == self._era
        )
