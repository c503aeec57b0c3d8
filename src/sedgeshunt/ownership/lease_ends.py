"""Establish that the lease of the latest owner of a group has ended."""

from collections.abc import Sequence

from msgspec import Struct

from sedgeshunt.clocks import read_boottime
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    ProxyId,
    Revision,
    Seconds,
)
from sedgeshunt.ownership.lease import CLOCK_DRIFT_MARGIN, SHORT_LEASE
from sedgeshunt.ports import Compare, KeyValue, Put
from sedgeshunt.registry.current_store import CurrentStore
from sedgeshunt.registry.entries import (
    GroupRecord,
    LeaseEndings,
    encode_entry,
)
from sedgeshunt.registry.keys import make_endings_key, make_owner_key
from sedgeshunt.registry.store_view import StoreView

ABSENT_REVISION = Revision(0)
# How long an owner may count on a lease that was ended before its time.
ENDED_LEASE_WAIT = Seconds(SHORT_LEASE.duration + CLOCK_DRIFT_MARGIN)
# Each lease that follows takes seconds, so older ones no longer matter.
MAX_ENDINGS = 16


class _FoundEnd(Struct, frozen=True):
    """Hold which lease was found ended, and when."""

    lease: int
    found_at: Boottime


class LeaseEnds:
    """Check whether the leases of owners have ended, and end them."""

    # An owner counts on its lease until that would expire by itself. A key may
    # be deleted while its lease is renewed. A candidate then ends the lease,
    # after it has stored that it will: each claim compares what is stored of
    # the owner's leases, and follows an ended lease only after a wait. All
    # groups of an owner share its lease, so a note in one group's record would
    # not suffice.

    def __init__(self, store: CurrentStore, view: StoreView) -> None:
        """Know of no ended lease."""
        self._store = store
        self._view = view
        self._found: dict[GroupId, _FoundEnd] = {}
        # A restored store grants the same ids again.
        store.listen(self._found.clear)

    def compare(self, owner: ProxyId) -> Compare:
        """Return a comparison that fails if another lease was ended."""
        key = make_endings_key(owner)
        pair = self._view.get(key)
        return Compare(key, ABSENT_REVISION if pair is None else pair.revision)

    async def is_alive(self, group: GroupId, record: GroupRecord) -> bool:
        """Return whether the lease of the latest claim may be valid.

        Raise PlatformUnavailable.
        """
        found = self._found.get(group)
        if found is not None and found.lease == record.lease:
            return False
        is_kept = await self._store.keep_lease(record.lease)
        if is_kept or record.era != self._store.era:
            return True
        self._found[group] = _FoundEnd(record.lease, read_boottime())
        return False

    def is_wait_over(
        self,
        group: GroupId,
        record: GroupRecord,
        extension: Seconds,
    ) -> bool:
        """Return whether no owner counts on a lease that was found ended.

        Promises of others may extend an ownership by `extension`.
        """
        found = self._found.get(group)
        if found is None or found.lease != record.lease:
            return False
        waited = read_boottime() - found.found_at
        if waited > ENDED_LEASE_WAIT + extension:
            return True
        return not extension and not self._is_listed(record)

    async def end(self, group: GroupId, record: GroupRecord) -> bool:
        """End a lease whose owner key is gone; return whether it was ended.

        Raise PlatformUnavailable or AnswerLost.
        """
        if record.era != self._store.era:
            return False
        if not (self._is_listed(record) or await self._list(group, record)):
            return False
        await self._store.revoke_lease(record.lease)
        return True

    def _is_listed(self, record: GroupRecord) -> bool:
        endings = self._read_endings(record.owner)
        return endings is None or record.lease in endings.leases

    def _read_endings(self, owner: ProxyId) -> LeaseEndings | None:
        pair = self._view.get(make_endings_key(owner))
        if pair is None:
            return LeaseEndings()
        return self._view.read_entry(pair, LeaseEndings)

    async def _list(self, group: GroupId, record: GroupRecord) -> bool:
        """Store that a lease will be ended, unless its key is there again."""
        listed = self._read_endings(record.owner) or LeaseEndings()
        endings = LeaseEndings((*listed.leases, record.lease)[-MAX_ENDINGS:])
        change = Put(make_endings_key(record.owner), encode_entry(endings))
        no_key = Compare(make_owner_key(group), ABSENT_REVISION)
        return await self._commit(
            (self.compare(record.owner), no_key),
            change,
        )

    async def _commit(self, compares: Sequence[Compare], change: Put) -> bool:
        committed = await self._store.commit(compares, (change,))
        for pair in committed.current:
            self._view.record(pair)
        if committed.succeeded:
            self._view.record(
                KeyValue(change.key, change.value, committed.revision),
            )
        return committed.succeeded
