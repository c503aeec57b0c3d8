"""Claim a group when it is this instance's turn, and hold it."""

from abc import ABC, abstractmethod
from asyncio import Event, TaskGroup, sleep, timeout
from collections.abc import Callable, Sequence
from contextlib import suppress

from sedgeshunt.clocks import read_boottime
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.exceptions import (
    AnswerLost,
    LeaseLapsed,
    PlatformUnavailable,
)
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    OwnerToken,
    ProxyId,
    Seconds,
    ZoneId,
)
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.ownership.promises import (
    OUTAGE_PROMISE_TIME,
    PromisesReceived,
    PromisesMade,
)
from sedgeshunt.ownership.ranking import choose_candidates, rank_owners
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.ownership.group_ownership import (
    LONGEST_EXTENSION,
    GroupOwnership,
)
from sedgeshunt.ownership.releases import Releases
from sedgeshunt.registry.entries import GroupRecord, InstanceEntry

# How often a claim is thought about while one may be near, and otherwise.
LOOK_EVERY = Seconds(0.05)
IDLE_LOOK = Seconds(0.25)
# Each instance that is better placed gets this long to claim first.
RANK_DELAY = Seconds(0.06)
# At the first start of all a claim is known everywhere only once the changes
# of the start have been gathered: with 0.06 s a rank, fifteen others
# would claim each group in vain.
FIRST_RANK_DELAY = Seconds(0.6)
# An heir that was named gets as long as this many others.
HEIR_RANKS = 5
# At the first start of all, others register within this time.
SETTLE_TIME = Seconds(1)
# The answer to a claim that was lost may yet come true for this long.
LATE_EFFECT = Seconds(10)
RECORDS_EVERY = Seconds(1)
# After a return of the store only an owner itself claims for so long: what the
# latest owner proved its reign by before, and an order that the store has lost
# the note of, are over by then, and the targets are listed again.
RETURN_WAIT = Seconds(3)


class KnownPeers(ABC):
    """Know the other instances."""

    @abstractmethod
    def list_instances(self) -> Sequence[InstanceEntry]:
        """List the instances that hold a lease, this one included."""

    @abstractmethod
    def find_instance(self, name: ProxyId) -> InstanceEntry | None:
        """Return one listed instance."""

    @abstractmethod
    def is_ownership_reported(self, group: GroupId, owner: ProxyId) -> bool:
        """Tell whether a peer says that it still owns a group."""


class ClaimContext:
    """Hold what the claims of one instance share."""

    def __init__(
        self,
        records: GroupRecords,
        lease: InstanceLease,
        made: PromisesMade,
        held: PromisesReceived,
        releases: Releases,
        peers: KnownPeers,
        decisions: DecisionLog,
    ) -> None:
        """Keep the parts."""
        self.records = records
        self.lease = lease
        self.made = made
        self.held = held
        self.releases = releases
        self.list_instances = peers.list_instances
        self.find_instance = peers.find_instance
        self.is_ownership_reported = peers.is_ownership_reported
        self.decisions = decisions
        self.started_at = read_boottime()
        self.is_stopping = False


class GroupClaim:
    """Decide for one group whether this instance is to own it."""

    def __init__(
        self,
        group: GroupId,
        context: ClaimContext,
        find_zone: Callable[[GroupId], ZoneId | None],
    ) -> None:
        """Own nothing before run()."""
        self.group = group
        self.changed = Event()
        self._context = context
        self._find_zone = find_zone
        self._absent_since: Boottime | None = None
        # Since when nothing but better placed instances is in the way.
        self._free_since: Boottime | None = None
        self._unsure_until = Boottime(0)
        self._withheld: frozenset[ProxyId] = frozenset()

    @property
    def is_claim_expected(self) -> bool:
        """Tell whether the owner is silent, so that a claim may follow."""
        records = self._context.records
        record = records.find_record(self.group)
        if record is None or records.owner not in record.candidates:
            return False
        if record.owner in ('', records.owner):
            return False
        return not self._context.is_ownership_reported(self.group, record.owner)

    async def wait_ownership(self) -> GroupOwnership:
        """Wait until this instance owns the group."""
        while True:
            token = await self._try_claim()
            if token is not None:
                return self._open_reign(token)
            is_near = self._absent_since is not None or self.is_claim_expected
            await self._wait_change(LOOK_EVERY if is_near else IDLE_LOOK)

    async def hold(self, reign: GroupOwnership) -> None:
        """Return once the reign has ended."""
        async with TaskGroup() as tasks:
            keeping = tasks.create_task(self._keep_candidates(reign))
            while self._still_owns(reign):
                if reign.heir is not None and await self._give_up(reign):
                    break
                await self._claim_again(reign)
                await self._wait_change(IDLE_LOOK)
            keeping.cancel()
        # Others need not wait for promises, nor for a key that a lease keeps.
        reign.end()
        self._context.releases.record_own(self.group, reign.claim)
        self._tell(DecisionKind.GROUP_LOST, reign.token)

    async def _give_up(self, reign: GroupOwnership) -> bool:
        heir = reign.heir
        if heir is None:
            return False
        # Its word must be true when it is heard: the reign ends first.
        reign.end()
        if self._context.records.reaches_store():
            with suppress(PlatformUnavailable, AnswerLost):
                await self._context.records.release(self.group, heir)
        self._tell(DecisionKind.GROUP_RELEASED, reign.token)
        return True

    def _is_released(self) -> bool:
        """Tell whether the latest owner has said that its reign is over."""
        claim = self._find_claim()
        return self._context.releases.is_released(self.group, claim)

    def _find_claim(self) -> int:
        record = self._context.records.find_record(self.group)
        return 0 if record is None else record.claims

    async def _wait_change(self, limit: Seconds) -> None:
        self.changed.clear()
        with suppress(TimeoutError):
            async with timeout(limit):
                await self.changed.wait()

    def _still_owns(self, reign: GroupOwnership) -> bool:
        if reign.is_over:
            return False
        records = self._context.records
        owner = records.find_owner(self.group)
        if owner is not None and not records.is_own(owner):
            # In a store that has lost this claim it is an earlier owner's key.
            return records.is_outdated(self.group) and reign.is_held()
        return reign.is_held()

    async def _claim_again(self, reign: GroupOwnership) -> None:
        """Put the key back that has gone while proofs keep the reign up."""
        records = self._context.records
        if records.find_token(self.group) == reign.token:
            return
        if self._context.lease.id is None:
            return
        with suppress(PlatformUnavailable, AnswerLost, LeaseLapsed):
            token = await records.claim(
                self.group,
                reign.candidates,
                is_continued=True,
            )
            if token is not None and reign.is_held():
                reign.renew(token, self._find_claim())
                self._tell(DecisionKind.GROUP_CLAIMED_AGAIN, token)

    async def _try_claim(self) -> OwnerToken | None:
        context = self._context
        records = context.records
        owner = records.find_owner(self.group)
        is_other = owner is not None and owner.owner != records.owner
        if is_other and not self._is_released():
            self._absent_since = None
            self._free_since = None
            self._allow()
            return None
        # A process that was suspended wakes with a lease that may have lapsed:
        # a reign under it ends at once, and would be claimed without end.
        if context.is_stopping or not context.lease.is_held():
            return None
        is_own_key = owner is not None and not is_other
        if is_own_key and not records.is_outdated(self.group):
            # An earlier process of this instance held it, so nobody else can.
            return await self._claim(self._list_candidates())
        if self._absent_since is None:
            self._absent_since = read_boottime()
        if not self._may_claim():
            return None
        return await self._claim(self._list_candidates())

    def _may_claim(self) -> bool:
        context = self._context
        record = context.records.find_record(self.group)
        now = read_boottime()
        absent_for = now - (self._absent_since or now)
        if record is None and now - context.started_at < SETTLE_TIME:
            return False
        if self._is_settling():
            return False
        last = self._find_bound(record)
        if self._is_bound(self._list_bound(last)):
            return False
        if (
            record is not None
            and context.records.owner not in record.candidates
        ):
            return absent_for > LONGEST_EXTENSION + OUTAGE_PROMISE_TIME
        if self._free_since is None:
            self._free_since = now
        return now - self._free_since >= self._find_delay(record, last)

    def _is_settling(self) -> bool:
        """Tell whether the store has come back a moment ago."""
        records = self._context.records
        is_outdated = records.is_outdated(self.group)
        return is_outdated and records.measure_era_age() < RETURN_WAIT

    def _is_bound(self, owners: frozenset[ProxyId]) -> bool:
        """Promise nothing more to `owners`; tell whether one may go on."""
        context = self._context
        if any(
            context.is_ownership_reported(self.group, one) for one in owners
        ):
            # It goes on by our promise, or is about to claim again.
            self._allow()
            return True
        self._withhold(owners)
        return any(context.made.measure_remaining(one) > 0 for one in owners)

    def _list_bound(self, last: ProxyId) -> frozenset[ProxyId]:
        """List all who may own the group by a promise that was made here."""
        if self._context.records.is_outdated(self.group):
            # The claim of the latest owner may be lost, and its name.
            return self._context.made.list_owners() | {last}
        return frozenset((last,) if last else ())

    def _find_bound(self, record: GroupRecord | None) -> ProxyId:
        """Return the latest owner if it may still go on by promises."""
        if record is None or record.owner == self._context.records.owner:
            return ProxyId('')
        if self._is_released():
            return ProxyId('')
        # A new process of that instance is there: the owner has ended.
        entry = self._context.find_instance(record.owner)
        if entry is not None and entry.incarnation != record.incarnation:
            return ProxyId('')
        return record.owner

    def _find_delay(
        self,
        record: GroupRecord | None,
        last: ProxyId,
    ) -> Seconds:
        """Return for how long others may claim first."""
        delay = FIRST_RANK_DELAY if record is None else RANK_DELAY
        return Seconds(self._find_rank(last) * delay)

    def _find_rank(self, last: ProxyId) -> int:
        own = self._context.records.owner
        record = self._context.records.find_record(self.group)
        if record is not None and record.heir:
            return 0 if record.heir == own else HEIR_RANKS
        ranked = rank_owners(
            self.group,
            self._context.list_instances(),
            self._find_zone(self.group),
        )
        names = [entry.name for entry in ranked if entry.name != last]
        return names.index(own) if own in names else len(names)

    def _list_candidates(self) -> tuple[ProxyId, ...]:
        record = self._context.records.find_record(self.group)
        if record is not None and record.candidates:
            return record.candidates
        return self._choose_candidates()

    def _choose_candidates(self) -> tuple[ProxyId, ...]:
        own = self._context.records.owner
        chosen = choose_candidates(
            self.group,
            self._context.list_instances(),
            self._find_zone(self.group),
        )
        return tuple(sorted({own, *chosen}))

    async def _claim(
        self,
        candidates: Sequence[ProxyId],
    ) -> OwnerToken | None:
        if not self._context.lease.is_short():
            # An owner that is gone has to be missed at once.
            self._context.lease.shorten()
            return None
        try:
            return await self._context.records.claim(self.group, candidates)
        except (PlatformUnavailable, LeaseLapsed):
            await sleep(RANK_DELAY)
        except AnswerLost:
            # It may be done all the same; the watch will show it.
            self._unsure_until = Boottime(read_boottime() + LATE_EFFECT)
            await sleep(RANK_DELAY)
        return None

    def _open_reign(self, token: OwnerToken) -> GroupOwnership:
        context = self._context
        reign = GroupOwnership(
            self.group,
            context.records.owner,
            token,
            context.lease,
            context.held,
            self.changed.set,
        )
        reign.candidates = frozenset(self._list_candidates())
        reign.claim = self._find_claim()
        self._absent_since = None
        self._free_since = None
        self._allow()
        self._tell(DecisionKind.GROUP_CLAIMED, token)
        return reign

    async def _keep_candidates(self, reign: GroupOwnership) -> None:
        """Add instances that came and drop those that have gone."""
        while True:
            await sleep(RECORDS_EVERY)
            chosen = frozenset(self._choose_candidates())
            record = self._context.records.find_record(self.group)
            if record is None or chosen == frozenset(record.candidates):
                continue
            # Until the store has answered, those of both lists may claim.
            reign.candidates = reign.candidates | chosen
            if await self._context.records.change_candidates(reign, chosen):
                reign.candidates = chosen

    def _withhold(self, owners: frozenset[ProxyId]) -> None:
        if self._withheld != owners:
            self._allow()
            self._withheld = owners
            for owner in owners:
                self._context.made.withhold(owner, self.group)

    def _allow(self) -> None:
        # A claim whose answer was lost may come true after its maker has
        # gone back to promising; so it does not, until it is surely over.
        if read_boottime() < self._unsure_until:
            return
        for owner in self._withheld:
            self._context.made.allow(owner, self.group)
        self._withheld = frozenset()

    def _tell(self, kind: DecisionKind, token: OwnerToken) -> None:
        self._context.decisions.record(
            Decision(kind, self.group, reasons={'token': str(token)}),
        )
