"""Serve a group's primary, watch it and have it replaced when it must be."""

from asyncio import sleep, timeout
from contextlib import suppress

from sedgeshunt.clocks import read_boottime, read_clock
from sedgeshunt.connections.target_session import LogStatus
from sedgeshunt.decisions import DecisionKind
from sedgeshunt.execution.copies import CopyNotes
from sedgeshunt.execution.primary_context import PrimaryContext
from sedgeshunt.execution.primary_finder import Leader, PrimaryFinder
from sedgeshunt.execution.primary_probe import PrimaryProbe
from sedgeshunt.execution.primary_state import PrimaryState
from sedgeshunt.execution.quiet import wait_end, wait_quiet
from sedgeshunt.execution.signs import (
    CHECK_EVERY,
    STALL_AFTER,
    PrimarySigns,
    ask_all,
    ask_others,
    find_pause,
    has_answered,
    must_go,
)
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

# A connection that broke says little while others go on.
SETTLE_AFTER = Seconds(0.03)
RETRY_PAUSE = Seconds(0.05)
# Connections to the primary that are left to its own control and to others.
SPARE_CONNECTIONS = 4
# Statements sent beyond the primary's slots, so that none of these is idle
# while an answer is on its way.
SENT_AHEAD = 1
# What is told to those who wait: finding a primary takes two round trips and
# a connection, replacing one 0.3 s more.
FINDING_TIME = Seconds(0.15)
REPLACING_TIME = Seconds(0.5)
# A handover is over by then, or the store did not take it.
HANDOVER_TIME = Seconds(0.5)
# A planned replacement waits so long for a moment without transactions.
QUIET_WAIT = Seconds(2)


class PrimaryKeeper:
    """Keep one group's primary during one reign."""

    def __init__(
        self,
        reign: GroupOwnership,
        state: PrimaryState,
        probe: PrimaryProbe,
        parts: PrimaryContext,
        freshness: FreshnessHistory,
    ) -> None:
        """Keep nothing before run()."""
        self._reign = reign
        self._state = state
        self._parts = parts
        self._probe_before = probe
        self._finder = PrimaryFinder(reign, parts, freshness)
        self._copies = CopyNotes(reign, parts.records, parts.connector)
        # The end of what callers were told by the primary before.
        self._acknowledged: Point | None = None
        self._term = Term(0)
        # Set once this instance stops: when what is open must have ended.
        self._leave_by: Monotonic | None = None
        self._leaving_since = Boottime(0)

    def leave(self, limit: Seconds) -> None:
        """Give the group to a peer when nothing is open, or after `limit`."""
        self._leave_by = Monotonic(read_clock() + limit)
        self._leaving_since = read_boottime()

    async def run(self) -> None:
        """Keep the primary until cancelled."""
        try:
            while True:
                executor = self._state.executor
                heir = self._find_heir()
                if heir is not None and self._is_store_ready():
                    await self._leave_to(heir)
                elif executor is None:
                    await self._find()
                else:
                    await self._watch(executor)
        finally:
            await self._state.drop()

    async def _find(self) -> None:
        """Serve the primary that the targets themselves tell, or make one."""
        self._state.expect(FINDING_TIME)
        members = self._finder.list_members()
        if members is None:
            await sleep(RETRY_PAUSE)
            return
        lost = self._find_known_lost()
        found = await self._finder.find() if lost is None else None
        if found is not None:
            await self._serve(found)
            return
        seen = self._finder.read_seen()
        statuses = await self._look_past(members, lost)
        await self._replace(members, statuses, None, seen)

    async def _look_past(
        self,
        members: GroupMembers,
        lost: TargetId | None,
    ) -> dict[TargetId, LogStatus]:
        """Ask the others once no peer reaches a primary that is lost."""
        if lost is not None:
            peers = self._parts.peers
            await self._leave_to_reaching(
                await peers.find_reaching(self._reign.group, lost),
            )
        return await ask_others(self._parts, members, lost)

    def _find_known_lost(self) -> TargetId | None:
        """Return the noted primary if it is known not to answer."""
        noted = self._probe_before.find_recorded()
        if noted is None or not self._probe_before.is_unreachable():
            return None
        return noted.target.name if self._finder.is_settled() else None

    async def _serve(self, leader: Leader) -> None:
        members = self._finder.list_members()
        if members is None:
            return
        known = leader.known
        executor = TargetExecutor(
            known.target,
            self._parts.connector,
            max(1, members.group.connection_limit - SPARE_CONNECTIONS),
            known.slots + SENT_AHEAD,
            is_primary=True,
        )
        executor.tip = leader.status.received
        self._acknowledged = None
        self._term = max(self._term, leader.status.term)
        self._state.serve(executor)
        self._parts.tell(
            DecisionKind.PRIMARY_FOUND,
            self._reign,
            known.target.name,
            term=leader.status.term,
            end=leader.status.received.position,
        )
        await self._parts.records.record_primary(
            self._reign,
            known.target.name,
            leader.status.term,
            known.life,
        )

    async def _watch(self, executor: TargetExecutor) -> None:
        """Look once at the primary, and act on what is seen."""
        members = self._finder.list_members()
        if members is None:
            await sleep(CHECK_EVERY)
        elif self._finder.is_reborn(members.find(executor.target.name)):
            await self._state.drop()
        else:
            await self._copies.keep(members, executor)
            await self._tend(members, executor)

    async def _tend(
        self,
        members: GroupMembers,
        executor: TargetExecutor,
    ) -> None:
        if must_go(members, executor.target.name):
            await self._replace_planned(members, executor)
        elif await self._shows_trouble(executor):
            await self._probe(members, executor)

    async def _shows_trouble(self, executor: TargetExecutor) -> bool:
        with suppress(TimeoutError):
            async with timeout(find_pause(executor)):
                await executor.failed.wait()
        if executor.has_lost_log:
            return True
        if executor.failed.is_set():
            executor.failed.clear()
            failed_at = read_clock()
            await sleep(SETTLE_AFTER)
            answered_at = executor.answered_at
            return answered_at is None or answered_at < failed_at
        since = executor.waiting_since
        return since is not None and read_clock() - since > STALL_AFTER

    async def _probe(
        self,
        members: GroupMembers,
        executor: TargetExecutor,
    ) -> None:
        """Replace the primary unless it answers that it leads."""
        name = executor.target.name
        known = members.find(name)
        if known is None:
            await sleep(CHECK_EVERY)
            return
        asked_at = read_clock()
        signs = await ask_all(
            self._parts,
            self._reign.group,
            members,
            known,
            executor.shown,
        )
        if signs.is_leading() and not signs.has_lost_log():
            executor.waiting_since = None
            executor.has_lost_log = False
            return
        self._parts.tell(
            DecisionKind.PRIMARY_SUSPECTED,
            self._reign,
            name,
            answers=signs.status is not None,
            failures=executor.failures,
        )
        self._state.expect(REPLACING_TIME)
        await self._state.drop()
        if signs.status is None:
            await self._replace_silent(members, executor, signs, asked_at)
        elif signs.has_lost_log():
            await self._replace(
                members,
                signs.others,
                executor.tip,
                signs.shown,
            )

    async def _replace_silent(
        self,
        members: GroupMembers,
        executor: TargetExecutor,
        signs: PrimarySigns,
        asked_at: Monotonic,
    ) -> None:
        await self._leave_to_reaching(signs.heir)
        statuses = signs.others
        if has_answered(executor, asked_at):
            # The replicas may have received more since they were asked.
            lost = executor.target.name
            statuses = await ask_others(self._parts, members, lost)
        await self._replace(members, statuses, executor.tip, signs.shown)

    async def _leave_to_reaching(self, heir: ProxyId | None) -> None:
        """Have a peer that reaches the primary own the group."""
        # A promotion loses what no replica has received, and takes longer.
        if heir is not None:
            self._reign.hand_over_to(heir)
            await sleep(HANDOVER_TIME)

    async def _replace(
        self,
        members: GroupMembers,
        statuses: dict[TargetId, LogStatus],
        acknowledged: Point | None,
        seen: Point | None,
    ) -> None:
        """Have another target lead, if one can."""
        self._state.expect(REPLACING_TIME)
        leading = self._finder.choose_leader(
            members,
            statuses,
            self._find_least(),
            seen,
        )
        if leading is not None:
            await self._serve(leading)
            return
        await self._promote(members, statuses, acknowledged)

    async def _replace_planned(
        self,
        members: GroupMembers,
        executor: TargetExecutor,
    ) -> None:
        """Replace a primary that leaves, with nothing lost and little wait."""
        await wait_quiet(executor, Monotonic(read_clock() + QUIET_WAIT))
        statuses = await ask_others(self._parts, members, executor.target.name)
        # Without a successor or the store it would be suspended for nothing.
        if statuses and self._parts.records.reaches_store():
            await self._suspend(executor)
            await self._promote(members, statuses, executor.tip)
        else:
            await self._yield_to_heir()

    async def _suspend(self, executor: TargetExecutor) -> None:
        """Start nothing more at the primary, and let what is open end."""
        self._state.expect(REPLACING_TIME)
        self._state.suspend()
        await wait_end(executor)
        self._parts.tell(
            DecisionKind.PRIMARY_SUSPENDED,
            self._reign,
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
        # Once told, it stays acknowledged, however many attempts it takes.
        self._acknowledged = acknowledged or self._acknowledged
        if not self._parts.records.reaches_store():
            await self._yield_to_heir()
            return
        successor = await self._parts.replacement.promote(
            self._reign,
            members,
            statuses,
            self._acknowledged,
            self._find_least(),
        )
        if successor is None:
            await self._yield_to_heir()
        else:
            await self._serve(Leader(successor.known, successor.status))

    def _find_least(self) -> Term:
        """Return the newest term in which a target is known to have led."""
        noted = self._parts.records.find_term(self._reign.group)
        return max(noted, self._term)

    async def _yield_to_heir(self) -> None:
        """Give the group to a peer if the store answers that one only."""
        await sleep(RETRY_PAUSE)
        if self._parts.records.reaches_store():
            return
        heir = self._parts.peers.find_heir(self._reign.group)
        if heir is not None:
            await self._hand_over(heir)

    def _find_heir(self) -> ProxyId | None:
        """Return who takes the group over from a stopping instance."""
        if self._leave_by is None:
            return None
        return self._parts.peers.find_heir(self._reign.group)

    def _is_store_ready(self) -> bool:
        """Tell whether the store takes a handover now, and soon.

        Safeguard: a group that is given up while the store is down or slow has
        no owner until it is back, and all its writes are refused; in the grace
        of a stop an owner serves most of such an outage. An answer to a
        question of after the stop's beginning proves that it is neither.
        """
        records = self._parts.records
        if records.is_cut_off_from_store():
            # The peer claims by this owner's own word.
            return True
        if self._leave_by is not None and read_clock() >= self._leave_by:
            return records.reaches_store()
        return records.has_prompt_store(self._leaving_since)

    async def _leave_to(self, heir: ProxyId) -> None:
        executor = self._state.executor
        if executor is not None and self._leave_by is not None:
            await wait_quiet(executor, self._leave_by)
            if not self._is_store_ready():
                return
        # The one chosen before the wait may have gone since.
        await self._hand_over(self._find_heir() or heir)

    async def _hand_over(self, heir: ProxyId) -> None:
        """Let statements under way be answered, then give the group up."""
        # Of a write that is answered after the end of the reign nobody can
        # say that it was kept.
        executor = self._state.executor
        if executor is not None:
            await self._suspend(executor)
        self._reign.hand_over_to(heir)
        await sleep(HANDOVER_TIME)
