"""Serve a group's primary, monitor it and replace it when needed."""

from asyncio import sleep, timeout
from contextlib import suppress
from functools import partial

from sedgeshunt.clocks import read_boottime, read_clock
from sedgeshunt.connections.target_session import LogStatus
from sedgeshunt.decisions import DecisionKind
from sedgeshunt.execution.copies import CopyRecorder
from sedgeshunt.execution.draining import wait_drained, wait_idle
from sedgeshunt.execution.primary_check import (
    CHECK_INTERVAL,
    STALL_TIMEOUT,
    PrimaryCheck,
    check_primary,
    find_check_delay,
    has_answered_since,
    is_replacement_due,
    read_candidate_statuses,
)
from sedgeshunt.execution.primary_context import PrimaryContext
from sedgeshunt.execution.primary_finder import FoundPrimary, PrimaryFinder
from sedgeshunt.execution.primary_lines import check_send
from sedgeshunt.execution.primary_probe import PrimaryProbe
from sedgeshunt.execution.primary_recorder import PrimaryRecorder
from sedgeshunt.execution.primary_state import PrimaryState
from sedgeshunt.execution.supersession import SupersessionCheck
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    Boottime,
    Monotonic,
    ProxyId,
    Seconds,
    TargetId,
    Term,
)
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.registry.directory import GroupMembers
from sedgeshunt.routing.freshness_history import FreshnessHistory

# A single broken connection proves no failure while others are answered.
SETTLE_DELAY = Seconds(0.03)
RETRY_PAUSE = Seconds(0.05)
# Connections at the primary that are left to its own control and to others.
RESERVED_CONNECTIONS = 4
# Statements sent beyond the primary's slots, so that no slot is idle while a
# reply is in transit.
PIPELINED_STATEMENTS = 1
# Waits announced to callers: finding a primary takes two round trips and a
# connection, a replacement 0.3 s more.
SEARCH_ESTIMATE = Seconds(0.15)
REPLACEMENT_ESTIMATE = Seconds(0.5)
# A handover that takes longer was not accepted by the store.
HANDOVER_TIMEOUT = Seconds(0.5)
# Longest wait of a planned replacement for a moment without transactions.
IDLE_TIMEOUT = Seconds(2)
# Pause before the next planned replacement after one whose order the platform
# neither accepted nor rejected: the group has no primary for seconds each time.
UNSETTLED_PAUSE = Seconds(20)


class PrimaryManager:
    """Manage one group's primary for one period of ownership."""

    def __init__(
        self,
        ownership: GroupOwnership,
        state: PrimaryState,
        probe: PrimaryProbe,
        parts: PrimaryContext,
        freshness: FreshnessHistory,
    ) -> None:
        """Start without a primary; run() finds it."""
        self._ownership = ownership
        self._state = state
        self._parts = parts
        self._takeover_probe = probe
        self._finder = PrimaryFinder(ownership, parts, freshness)
        self._supersession = SupersessionCheck(parts.connector)
        self._recorder = PrimaryRecorder(
            ownership, parts.records, state, parts.replacement.lines
        )
        self._copy_recorder = CopyRecorder(
            ownership, parts.records, parts.connector
        )
        # Log end up to which the previous primary acknowledged writes.
        self._acknowledged: Point | None = None
        self._term = Term(0)
        # When a primary that is leaving may be replaced.
        self._planned_from = Monotonic(0)
        # Set once this instance stops: the deadline for open transactions.
        self._handover_deadline: Monotonic | None = None
        self._handover_requested_at = Boottime(0)

    def request_handover(self, limit: Seconds) -> None:
        """Hand the group over once no transaction is open, or at `limit`."""
        self._handover_deadline = Monotonic(read_clock() + limit)
        self._handover_requested_at = read_boottime()

    async def run(self) -> None:
        """Manage the primary until cancelled."""
        try:
            while True:
                executor = self._state.executor
                next_owner = self._find_next_owner()
                if next_owner is not None and self._is_store_ready():
                    await self._drain_and_hand_over(next_owner)
                elif executor is None:
                    await self._find()
                else:
                    await self._watch(executor)
        finally:
            await self._close()

    async def _close(self) -> None:
        self._recorder.close()
        self._supersession.close()
        await self._state.drop()

    async def _find(self) -> None:
        """Serve the primary that the targets report, or promote one."""
        self._state.expect(SEARCH_ESTIMATE)
        members = self._finder.find_members()
        if members is None:
            await sleep(RETRY_PAUSE)
            return
        lost = self._find_unreachable_primary()
        found = await self._finder.find() if lost is None else None
        if found is not None:
            await self._serve(found)
            return
        known_tip = self._finder.read_known_tip()
        statuses = await self._read_other_statuses(members, lost)
        await self._replace(members, statuses, None, known_tip)

    async def _read_other_statuses(
        self,
        members: GroupMembers,
        lost: TargetId | None,
    ) -> dict[TargetId, LogStatus]:
        """Hand over to a peer that reaches `lost`, or query the others."""
        if lost is not None:
            peers = self._parts.peers
            await self._hand_over_to_reaching(
                await peers.find_peer_reaching(self._ownership.group, lost),
            )
        return await read_candidate_statuses(self._parts, members, lost)

    def _find_unreachable_primary(self) -> TargetId | None:
        """Return the recorded primary if it is known not to answer."""
        recorded = self._takeover_probe.find_recorded_primary()
        if recorded is None or not self._takeover_probe.is_unreachable():
            return None
        return recorded.target.name if self._finder.is_settled() else None

    async def _serve(self, leader: FoundPrimary) -> None:
        members = self._finder.find_members()
        if members is None:
            return
        known = leader.known
        executor = TargetExecutor(
            known.target,
            self._parts.connector,
            max(1, members.group.connection_limit - RESERVED_CONNECTIONS),
            known.slots + PIPELINED_STATEMENTS,
            is_primary=True,
            may_send=partial(
                check_send,
                self._ownership,
                known.target.name,
                leader.status.term,
            ),
        )
        executor.tip = leader.status.received
        self._acknowledged = None
        self._term = max(self._term, leader.status.term)
        self._state.serve(executor)
        self._parts.record_decision(
            DecisionKind.PRIMARY_FOUND,
            self._ownership,
            known.target.name,
            term=leader.status.term,
            end=leader.status.received.position,
        )
        await self._recorder.record(leader)

    async def _watch(self, executor: TargetExecutor) -> None:
        """Check the primary once and act on the result."""
        members = self._finder.find_members()
        if members is None:
            await sleep(CHECK_INTERVAL)
        elif self._finder.has_restarted(members.find(executor.target.name)):
            await self._state.drop()
        elif not await self._follow_newer(members, executor):
            self._recorder.check()
            await self._copy_recorder.update(members, executor)
            await self._check(members, executor)

    async def _follow_newer(
        self,
        members: GroupMembers,
        executor: TargetExecutor,
    ) -> bool:
        """Give up a primary that was replaced; return whether it was."""
        late = self._parts.replacement.list_late_targets(self._ownership.group)
        newer = self._supersession.check_late(
            members, late - {executor.target.name}, self._term
        ) or await self._supersession.check(
            members,
            executor,
            self._term,
            self._finder.read_known_tip(),
        )
        if newer is None:
            return False
        self._term = max(self._term, newer.term)
        self._parts.record_decision(
            DecisionKind.PRIMARY_SUSPECTED,
            self._ownership,
            executor.target.name,
            newest_term=newer.term,
        )
        await self._state.drop()
        if newer.primary is not None:
            await self._serve(newer.primary)
        return True

    async def _check(
        self,
        members: GroupMembers,
        executor: TargetExecutor,
    ) -> None:
        is_due = is_replacement_due(members, executor.target.name)
        if is_due and read_clock() >= self._planned_from:
            await self._replace_planned(members, executor)
        elif await self._is_suspect(executor):
            await self._probe(members, executor)

    async def _is_suspect(self, executor: TargetExecutor) -> bool:
        with suppress(TimeoutError):
            async with timeout(find_check_delay(executor)):
                await executor.failed.wait()
        if executor.has_lost_log:
            return True
        if executor.failed.is_set():
            executor.failed.clear()
            failed_at = read_clock()
            await sleep(SETTLE_DELAY)
            answered_at = executor.answered_at
            return answered_at is None or answered_at < failed_at
        since = executor.waiting_since
        return since is not None and read_clock() - since > STALL_TIMEOUT

    async def _probe(
        self,
        members: GroupMembers,
        executor: TargetExecutor,
    ) -> None:
        """Replace the primary unless it reports that it is the primary."""
        name = executor.target.name
        known = members.find(name)
        if known is None:
            await sleep(CHECK_INTERVAL)
            return
        asked_at = read_clock()
        check = await check_primary(
            self._parts,
            self._ownership.group,
            members,
            known,
            executor.shown,
        )
        if check.is_leading() and not check.has_lost_log():
            executor.waiting_since = None
            executor.has_lost_log = False
            return
        self._parts.record_decision(
            DecisionKind.PRIMARY_SUSPECTED,
            self._ownership,
            name,
            answers=check.status is not None,
            failures=executor.failures,
        )
        self._state.expect(REPLACEMENT_ESTIMATE)
        await self._state.drop()
        if check.status is None:
            await self._replace_unresponsive(members, executor, check, asked_at)
        elif check.has_lost_log():
            await self._replace(
                members,
                check.others,
                executor.tip,
                check.shown,
            )

    async def _replace_unresponsive(
        self,
        members: GroupMembers,
        executor: TargetExecutor,
        check: PrimaryCheck,
        asked_at: Monotonic,
    ) -> None:
        await self._hand_over_to_reaching(check.next_owner)
        statuses = check.others
        if has_answered_since(executor, asked_at):
            # The primary was still answering, so the replicas may have
            # received more of its log since their status was read.
            lost = executor.target.name
            statuses = await read_candidate_statuses(self._parts, members, lost)
        await self._replace(members, statuses, executor.tip, check.shown)

    async def _hand_over_to_reaching(self, next_owner: ProxyId | None) -> None:
        """Hand the group over to a peer that reaches the primary, if any."""
        # A promotion takes longer and loses writes that no replica received.
        if next_owner is not None:
            self._ownership.hand_over_to(next_owner)
            await sleep(HANDOVER_TIMEOUT)

    async def _replace(
        self,
        members: GroupMembers,
        statuses: dict[TargetId, LogStatus],
        acknowledged: Point | None,
        known_tip: Point | None,
    ) -> None:
        """Serve another target that already leads, or promote a replica."""
        self._state.expect(REPLACEMENT_ESTIMATE)
        current = self._finder.choose_primary(
            members,
            statuses,
            self._find_min_term(),
            known_tip,
        )
        if current is not None:
            await self._serve(current)
            return
        await self._promote(members, statuses, acknowledged)

    async def _replace_planned(
        self,
        members: GroupMembers,
        executor: TargetExecutor,
    ) -> None:
        """Replace a primary that is leaving, without losing any write."""
        await wait_idle(executor, Monotonic(read_clock() + IDLE_TIMEOUT))
        statuses = await read_candidate_statuses(
            self._parts, members, executor.target.name
        )
        # Without a successor or the store, no promotion could follow.
        if statuses and self._parts.records.reaches_store():
            await self._suspend(executor)
            await self._promote(members, statuses, executor.tip)
            if not self._finder.is_settled():
                self._planned_from = Monotonic(read_clock() + UNSETTLED_PAUSE)
        else:
            await self._yield_to_next_owner()

    async def _suspend(self, executor: TargetExecutor) -> None:
        """Start no more statements at the primary and drain open ones."""
        self._state.expect(REPLACEMENT_ESTIMATE)
        self._state.suspend()
        await wait_drained(executor)
        self._parts.record_decision(
            DecisionKind.PRIMARY_SUSPENDED,
            self._ownership,
            executor.target.name,
            transactions=len(executor.transactions),
        )
        await executor.abandon(is_lost=False)

    async def _promote(
        self,
        members: GroupMembers,
        statuses: dict[TargetId, LogStatus],
        acknowledged: Point | None,
    ) -> None:
        # Kept across attempts: acknowledged writes must never be lost.
        self._acknowledged = acknowledged or self._acknowledged
        if not self._parts.records.reaches_store():
            await self._yield_to_next_owner()
            return
        successor = await self._parts.replacement.promote(
            self._ownership,
            members,
            statuses,
            self._acknowledged,
            self._find_min_term(),
        )
        if successor is None:
            await self._yield_to_next_owner()
        else:
            await self._serve(FoundPrimary(successor.known, successor.status))

    def _find_min_term(self) -> Term:
        """Return the newest term that is known to have had a primary."""
        recorded = self._parts.records.find_term(self._ownership.group)
        return max(recorded, self._term)

    async def _yield_to_next_owner(self) -> None:
        """Hand over to a peer that reaches the store if this proxy does not."""
        await sleep(RETRY_PAUSE)
        if self._parts.records.reaches_store():
            return
        next_owner = self._parts.peers.find_next_owner(self._ownership.group)
        if next_owner is not None:
            await self._hand_over(next_owner)

    def _find_next_owner(self) -> ProxyId | None:
        """Return the next owner if this instance is stopping."""
        if self._handover_deadline is None:
            return None
        return self._parts.peers.find_next_owner(self._ownership.group)

    def _is_store_ready(self) -> bool:
        """Return whether the store would accept a handover promptly.

        A group released while the store is down or slow has no owner until
        the store recovers, and all its writes are refused. A stopping owner
        can serve the group through most of such an outage in its grace period.
        A reply to a request sent after the stop began proves that the store is
        neither down nor slow.
        """
        records = self._parts.records
        if records.is_cut_off_from_store():
            # The store refuses only this proxy; the peer claims on this
            # owner's release message instead.
            return True
        if (
            self._handover_deadline is not None
            and read_clock() >= self._handover_deadline
        ):
            return records.reaches_store()
        return records.has_prompt_store(self._handover_requested_at)

    async def _drain_and_hand_over(self, next_owner: ProxyId) -> None:
        executor = self._state.executor
        if executor is not None and self._handover_deadline is not None:
            await wait_idle(executor, self._handover_deadline)
            if not self._is_store_ready():
                return
        # The peer chosen before the wait may have gone since.
        await self._hand_over(self._find_next_owner() or next_owner)

    async def _hand_over(self, next_owner: ProxyId) -> None:
        """Drain running statements, then give the group up."""
        # The outcome of a write answered after the ownership ends is unknown.
        executor = self._state.executor
        if executor is not None:
            await self._suspend(executor)
        self._ownership.hand_over_to(next_owner)
        await sleep(HANDOVER_TIMEOUT)
