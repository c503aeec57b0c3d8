"""Claim groups for this instance and keep them while it owns them."""

from abc import ABC, abstractmethod
from asyncio import Event, Lock, TaskGroup, get_running_loop, sleep
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
from sedgeshunt.ownership.claim_lines import ClaimLines
from sedgeshunt.ownership.group_ownership import (
    MAX_EXTENSION,
    ClaimedKey,
    GroupOwnership,
)
from sedgeshunt.ownership.hold_lines import HoldTimes
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.ownership.lease_ends import ENDED_LEASE_WAIT
from sedgeshunt.ownership.promises import (
    OUTAGE_PROMISE_TIME,
    PromisesMade,
    PromisesReceived,
)
from sedgeshunt.ownership.ranking import choose_candidates, rank_owners
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.ownership.releases import Releases
from sedgeshunt.registry.entries import GroupRecord, InstanceEntry

# How often a group is checked while a claim may follow soon, and otherwise.
CLAIM_CHECK_INTERVAL = Seconds(0.05)
IDLE_CHECK_INTERVAL = Seconds(0.25)
# The interval of an instance that may not claim the group and sees its owner in
# the store. It wakes at each change of the store; in a fleet with hundreds of
# groups the checks in between were its largest cost at rest.
UNINVOLVED_CHECK_INTERVAL = Seconds(1)
# Delay of a claim for each instance that ranks higher.
RANK_DELAY = Seconds(0.06)
# Delay for each rank while a group has no record. When a fleet starts, a claim
# reaches the other instances only after the batching delay of their watches;
# with 0.06 s, fifteen others would attempt a failing claim of each group.
STARTUP_RANK_DELAY = Seconds(0.6)
# A named next owner gets a head start of this many ranks.
NEXT_OWNER_RANKS = 5
# Instances that start together register within this time.
REGISTRATION_TIME = Seconds(1)
# A claim whose answer was lost may still be committed within this time.
LATE_COMMIT_TIME = Seconds(10)
CANDIDATE_CHECK_INTERVAL = Seconds(1)
# After a restore of the store only a current owner may claim within this time.
# By then the leases and promises of the latest owner have expired, promotion
# orders whose record was lost have ended, and targets are listed again.
RESTORE_WAIT = Seconds(3)


class KnownPeers(ABC):
    """Provide access to the other instances."""

    @abstractmethod
    def list_instances(self) -> Sequence[InstanceEntry]:
        """List the instances that hold a lease, this one included."""

    @abstractmethod
    def is_ownership_reported(self, group: GroupId, owner: ProxyId) -> bool:
        """Return whether a peer reports that it still owns a group."""


class ClaimContext:
    """Hold the state that all claims of one instance share."""

    def __init__(
        self,
        records: GroupRecords,
        lease: InstanceLease,
        made: PromisesMade,
        received: PromisesReceived,
        releases: Releases,
        peers: KnownPeers,
        decisions: DecisionLog,
    ) -> None:
        """Bind the collaborators of the claims."""
        self.records = records
        self.lease = lease
        self.made = made
        self.received = received
        self.releases = releases
        self.list_instances = peers.list_instances
        self.is_ownership_reported = peers.is_ownership_reported
        self.decisions = decisions
        self.times = HoldTimes()
        self.started_at = read_boottime()
        self.is_stopping = False


class GroupClaim:
    """Decide whether this instance claims one group."""

    def __init__(
        self,
        group: GroupId,
        context: ClaimContext,
        find_zone: Callable[[GroupId], ZoneId | None],
    ) -> None:
        """Own nothing until a claim succeeds."""
        self.group = group
        self.changed = Event()
        self._context = context
        self._find_zone = find_zone
        self._owner_absent_since: Boottime | None = None
        # Since when only the delay for higher ranked instances remains.
        self._eligible_since: Boottime | None = None
        self._claim_uncertain_until = Boottime(0)
        self._withheld: frozenset[ProxyId] = frozenset()
        # Held while the candidates are written, so that those of the record and
        # those asked for promises change in the same order.
        self._writing_candidates = Lock()
        self._lines = ClaimLines(
            group,
            context.records,
            context.releases,
            context.decisions,
            context.times,
        )

    @property
    def is_claim_expected(self) -> bool:
        """Return whether the owner is silent, so that a claim may follow."""
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
            key = await self._try_claim()
            if key is not None:
                return self._start_ownership(key)
            await self._wait_change(self._find_check_interval())

    async def hold(self, ownership: GroupOwnership) -> None:
        """Keep the group and return once the ownership has ended."""
        async with TaskGroup() as tasks:
            keeping = tasks.create_task(self._keep_candidates(ownership))
            while self._is_still_owner(ownership):
                if ownership.next_owner is not None and await self._release(
                    ownership
                ):
                    break
                self._lines.check_key(ownership)
                await self._reclaim(ownership)
                await self._wait_change(IDLE_CHECK_INTERVAL)
            keeping.cancel()
        self._lines.record_lost(ownership)
        # A release spares others the wait until promises and lease expire.
        ownership.end()
        self._context.releases.record_own(self.group, ownership.claim)

    def _find_check_interval(self) -> Seconds:
        if self._owner_absent_since is not None or self.is_claim_expected:
            return CLAIM_CHECK_INTERVAL
        records = self._context.records
        record = records.find_record(self.group)
        # Withheld promises are resumed after a time, without a change.
        if (
            record is None
            or self._withheld
            or records.owner in record.candidates
        ):
            return IDLE_CHECK_INTERVAL
        return UNINVOLVED_CHECK_INTERVAL

    async def _release(self, ownership: GroupOwnership) -> bool:
        next_owner = ownership.next_owner
        if next_owner is None:
            return False
        # End the ownership first: once the next owner learns of the release,
        # it may claim at once.
        ownership.end()
        if self._context.records.reaches_store():
            with suppress(PlatformUnavailable, AnswerLost):
                await self._context.records.release(self.group, next_owner)
        self._lines.record_released(ownership)
        return True

    def _is_owner_released(self) -> bool:
        """Return whether the latest owner has released the group."""
        claim = self._find_claim_number()
        return self._context.releases.is_released(self.group, claim)

    def _find_claim_number(self) -> int:
        record = self._context.records.find_record(self.group)
        return 0 if record is None else record.claims

    async def _wait_change(self, limit: Seconds) -> None:
        self.changed.clear()
        timer = get_running_loop().call_later(limit, self.changed.set)
        try:
            await self.changed.wait()
        finally:
            timer.cancel()

    def _is_still_owner(self, ownership: GroupOwnership) -> bool:
        if ownership.is_over:
            return False
        records = self._context.records
        owner = records.find_owner(self.group)
        if owner is not None and not records.is_own(owner):
            # A store restored to before this claim holds the key of an
            # earlier owner.
            return records.is_claim_outdated(self.group) and ownership.is_held()
        return ownership.is_held()

    async def _reclaim(self, ownership: GroupOwnership) -> None:
        """Write the owner key again if it was lost during the ownership."""
        records = self._context.records
        if records.find_token(self.group) == ownership.token:
            return
        if not self._context.lease.is_short():
            # Others wait for the time of a short lease only.
            self._context.lease.shorten()
            return
        if self._context.lease.id is None:
            return
        why = self._lines.find_key_state(ownership)
        with suppress(PlatformUnavailable, AnswerLost, LeaseLapsed):
            async with self._writing_candidates:
                if not self._is_still_owner(ownership):
                    return
                key = await records.claim(
                    self.group,
                    ownership.candidates,
                    is_continued=True,
                )
            if key is not None and ownership.is_held():
                ownership.renew(key)
                self._lines.record_claimed_again(ownership, why)

    async def _try_claim(self) -> ClaimedKey | None:
        context = self._context
        records = context.records
        owner = records.find_owner(self.group)
        is_other = owner is not None and owner.owner != records.owner
        if is_other and not self._is_owner_released():
            self._owner_absent_since = None
            self._eligible_since = None
            self._resume_promises()
            return None
        # After a suspension of the process the lease may have expired. A claim
        # under it would end at once and be repeated in a busy loop.
        if context.is_stopping or not context.lease.is_held():
            return None
        is_own_key = owner is not None and not is_other
        if is_own_key and not records.is_claim_outdated(self.group):
            # The key belongs to an earlier process of this instance, so no
            # other instance can own the group.
            return await self._claim(self._list_candidates())
        if self._owner_absent_since is None:
            self._owner_absent_since = read_boottime()
        if not await self._may_follow_owner():
            return None
        return await self._claim(self._list_candidates())

    async def _may_follow_owner(self) -> bool:
        """Return whether the latest owner has ended and nobody followed it."""
        if not self._can_claim():
            return False
        before = self._read_state()
        if not await self._has_lease_ended():
            return False
        # Another proxy may have claimed the group meanwhile.
        return self._read_state() == before and self._can_claim()

    def _read_state(self) -> tuple[OwnerToken, GroupRecord | None]:
        records = self._context.records
        return records.find_token(self.group), records.find_record(self.group)

    async def _has_lease_ended(self) -> bool:
        """Return whether the latest owner holds the group by no lease.

        End its lease if that is valid: its key was deleted before.
        """
        records = self._context.records
        record = records.find_record(self.group)
        extension = self._find_extension(record)
        if (
            record is None
            or not self._find_possible_owner(record)
            or records.is_claim_outdated(self.group)
        ):
            longest = extension + OUTAGE_PROMISE_TIME
            return not extension or self._measure_absence() > longest
        if not record.lease:
            return self._measure_absence() > ENDED_LEASE_WAIT + extension
        try:
            if await records.lease_ends.is_alive(self.group, record):
                await self._end_lease(record)
        except (PlatformUnavailable, AnswerLost):
            await sleep(RANK_DELAY)
        return records.lease_ends.is_wait_over(self.group, record, extension)

    def _find_extension(self, record: GroupRecord | None) -> Seconds:
        """Return how long others may extend an ownership after its lease.

        A candidate knows: an ownership is extended by the promises of all of
        them, its own included.
        """
        if record is None or self._context.records.owner in record.candidates:
            return Seconds(0)
        return MAX_EXTENSION

    def _measure_absence(self) -> Seconds:
        """Return how long the key of the owner has been absent."""
        now = read_boottime()
        return Seconds(now - (self._owner_absent_since or now))

    async def _end_lease(self, record: GroupRecord) -> None:
        if await self._context.records.lease_ends.end(self.group, record):
            reasons = {'owner': record.owner, 'lease': str(record.lease)}
            self._context.decisions.record(
                Decision(DecisionKind.LEASE_ENDED, self.group, reasons=reasons),
            )

    def _can_claim(self) -> bool:
        context = self._context
        record = context.records.find_record(self.group)
        now = read_boottime()
        if record is None and now - context.started_at < REGISTRATION_TIME:
            return False
        if self._is_restore_recent():
            return False
        last = self._find_possible_owner(record)
        if self._is_bound_by_promise(self._list_possible_owners(last)):
            return False
        delay = self._find_delay(record, last)
        if self._find_extension(record):
            # In a large fleet nearly all proxies are none of the candidates.
            return self._measure_absence() > OUTAGE_PROMISE_TIME + delay
        if self._eligible_since is None:
            self._eligible_since = now
        return now - self._eligible_since >= delay

    def _is_restore_recent(self) -> bool:
        """Return whether the store was restored less than RESTORE_WAIT ago."""
        records = self._context.records
        is_claim_outdated = records.is_claim_outdated(self.group)
        return is_claim_outdated and records.measure_era_age() < RESTORE_WAIT

    def _is_bound_by_promise(self, owners: frozenset[ProxyId]) -> bool:
        """Withhold promises from `owners`; return whether one may still own."""
        context = self._context
        if any(
            context.is_ownership_reported(self.group, one) for one in owners
        ):
            # It still owns the group, or is about to claim it again.
            self._resume_promises()
            return True
        self._withhold_promises(owners)
        return any(context.made.measure_remaining(one) > 0 for one in owners)

    def _list_possible_owners(self, last: ProxyId) -> frozenset[ProxyId]:
        """List who may own the group by a promise of this instance."""
        if self._context.records.is_claim_outdated(self.group):
            # The claim of the latest owner, and with it its name, may be lost.
            return self._context.made.list_owners() | {last}
        return frozenset((last,) if last else ())

    def _find_possible_owner(self, record: GroupRecord | None) -> ProxyId:
        """Return the latest owner if promises may extend its ownership."""
        if record is None or record.owner == self._context.records.owner:
            return ProxyId('')
        if self._is_owner_released():
            return ProxyId('')
        # An entry of another incarnation doesn't prove that the owner has
        # ended: an earlier process may have written it late.
        return record.owner

    def _find_delay(
        self,
        record: GroupRecord | None,
        last: ProxyId,
    ) -> Seconds:
        """Return how long to wait for instances that rank higher."""
        delay = STARTUP_RANK_DELAY if record is None else RANK_DELAY
        return Seconds(self._find_rank(last) * delay)

    def _find_rank(self, last: ProxyId) -> int:
        own = self._context.records.owner
        record = self._context.records.find_record(self.group)
        if record is not None and record.heir:
            return 0 if record.heir == own else NEXT_OWNER_RANKS
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
    ) -> ClaimedKey | None:
        if not self._context.lease.is_short():
            # The failure of an owner must show quickly.
            self._context.lease.shorten()
            return None
        self._lines.note_attempt(self._owner_absent_since)
        try:
            return await self._context.records.claim(self.group, candidates)
        except (PlatformUnavailable, LeaseLapsed):
            await sleep(RANK_DELAY)
        except AnswerLost:
            # The claim may have been committed; the watch will show it.
            self._claim_uncertain_until = Boottime(
                read_boottime() + LATE_COMMIT_TIME
            )
            await sleep(RANK_DELAY)
        return None

    def _start_ownership(self, key: ClaimedKey) -> GroupOwnership:
        context = self._context
        ownership = GroupOwnership(
            self.group,
            context.records.owner,
            key,
            context.lease,
            context.received,
            self.changed.set,
        )
        ownership.candidates = frozenset(self._list_candidates())
        self._owner_absent_since = None
        self._eligible_since = None
        self._resume_promises()
        self._lines.record_claimed(ownership)
        return ownership

    async def _keep_candidates(self, ownership: GroupOwnership) -> None:
        """Keep the list of candidates in line with the live instances."""
        while True:
            await sleep(CANDIDATE_CHECK_INTERVAL)
            chosen = frozenset(self._choose_candidates())
            record = self._context.records.find_record(self.group)
            if record is None or chosen == frozenset(record.candidates):
                continue
            async with self._writing_candidates:
                await self._change_candidates(ownership, chosen)

    async def _change_candidates(
        self,
        ownership: GroupOwnership,
        chosen: frozenset[ProxyId],
    ) -> None:
        # Until the store has answered, candidates of both lists may claim.
        ownership.candidates = ownership.candidates | chosen
        if await self._context.records.change_candidates(ownership, chosen):
            ownership.candidates = chosen

    def _withhold_promises(self, owners: frozenset[ProxyId]) -> None:
        if self._withheld != owners:
            self._resume_promises()
            self._withheld = owners
            for owner in owners:
                self._context.made.withhold(owner, self.group)

    def _resume_promises(self) -> None:
        # A claim whose answer was lost may still be committed: a promise made
        # before that would be broken by it.
        if read_boottime() < self._claim_uncertain_until:
            return
        for owner in self._withheld:
            self._context.made.allow(owner, self.group)
        self._withheld = frozenset()
