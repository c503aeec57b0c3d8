"""Replace a group's primary when it is gone, stalled or leaving."""

from asyncio import sleep
from collections.abc import Mapping, Sequence, Set

from result import Err

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.exceptions import SedgeshuntError
from sedgeshunt.groups.backoff import Backoff
from sedgeshunt.groups.elections import (
    choose_candidate,
    fence_members,
    is_fenced_for,
    promote_target,
    repoint_replicas,
)
from sedgeshunt.groups.failure_detector import (
    FailureDetector,
    Suspicion,
    SuspicionCause,
)
from sedgeshunt.groups.promotion_deferral import PromotionDeferral
from sedgeshunt.groups.status import TargetStatus
from sedgeshunt.groups.target_monitor import TargetMonitor
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId, Term

CHECK_INTERVAL = Seconds(0.025)
# Delay per rank of the proxy, so that one proxy acts at a time.
RANK_DELAY = Seconds(0.15)
DEFERRAL_INTERVAL = Seconds(0.05)
MIN_RETRY_DELAY = Seconds(0.05)
# Time for a replica to copy the last records of a leaving primary.
CATCH_UP_TIMEOUT = Seconds(0.3)


class Promoter:
    """Run the promotions that one proxy makes in one group."""

    def __init__(
        self,
        view: GroupView,
        monitors: Mapping[TargetId, TargetMonitor],
        deferral: PromotionDeferral,
        decisions: DecisionLog,
    ) -> None:
        """Act through `monitors` on the state of `view`."""
        self.rank = 0
        self.detector = FailureDetector(view)
        self._view = view
        self._monitors = monitors
        self._deferral = deferral
        self._decisions = decisions
        self._backoff = Backoff(MIN_RETRY_DELAY)
        self._suspicion: Suspicion | None = None
        self._suspected_at = Monotonic(0)

    async def run(self) -> None:
        """Check the primary and replace it if needed, until cancelled."""
        while True:
            await sleep(CHECK_INTERVAL)
            suspicion = self._find_due()
            if suspicion is None:
                continue
            if await self._deferral.should_defer(suspicion):
                await sleep(DEFERRAL_INTERVAL)
                continue
            # Another proxy may have promoted a target during the query.
            suspicion = self._find_due()
            if suspicion is None:
                continue
            if await self._replace(suspicion):
                self._backoff.reset()
            else:
                await sleep(self._backoff.compute_delay())

    def _find_due(self) -> Suspicion | None:
        suspicion = self.detector.detect()
        if suspicion is None:
            self._suspicion = None
            self._deferral.reset()
            return None
        known = self._suspicion
        if known is None or known.term != suspicion.term:
            self._suspected_at = read_clock()
            self._deferral.reset()
        self._suspicion = suspicion
        waited = read_clock() - self._suspected_at
        return suspicion if waited >= self.rank * RANK_DELAY else None

    async def _replace(self, suspicion: Suspicion) -> bool:
        term = Term(self._view.newest_term + 1)
        fenced = await self._fence_leaving_primary(suspicion, term)
        fenced.extend(await self._fence_rest(fenced, term))
        choice = choose_candidate(
            fenced,
            self._view.states.majority,
            self._list_avoided(suspicion),
            self.detector.leaving,
        )
        if isinstance(choice, Err):
            self._decide(DecisionKind.FENCED, suspicion, term, choice.err())
            return False
        return await self._promote(suspicion, term, choice.ok())

    async def _fence_rest(
        self,
        fenced: Sequence[TargetStatus],
        term: Term,
    ) -> list[TargetStatus]:
        names = {status.target for status in fenced}
        monitors = [
            monitor
            for name, monitor in self._monitors.items()
            if name not in names
        ]
        majority = self._view.states.majority - len(fenced)
        return await fence_members(monitors, term, majority)

    async def _promote(
        self,
        suspicion: Suspicion,
        term: Term,
        chosen: TargetStatus,
    ) -> bool:
        monitor = self._monitors.get(chosen.target)
        if monitor is None:
            return False
        promoted = await promote_target(monitor, term)
        if isinstance(promoted, Err):
            self._decide(DecisionKind.FENCED, suspicion, term, promoted.err())
            return False
        outcome = f'{chosen.target} leads'
        self._decide(DecisionKind.PROMOTED, suspicion, term, outcome)
        await repoint_replicas(
            tuple(self._monitors.values()),
            term,
            chosen.target,
        )
        return chosen.target not in self.detector.leaving

    async def _fence_leaving_primary(
        self,
        suspicion: Suspicion,
        term: Term,
    ) -> list[TargetStatus]:
        # The leaving primary is fenced first, so that it takes no more writes
        # while the other targets copy its last records. If all were fenced at
        # once, writes that weren't copied yet would end as unknown.
        if (
            suspicion.cause is not SuspicionCause.LEAVING
            or suspicion.primary is None
        ):
            return []
        try:
            status = await self._monitors[suspicion.primary].fence(term)
        except (KeyError, SedgeshuntError, OSError):
            return []
        deadline = Monotonic(read_clock() + CATCH_UP_TIMEOUT)
        while not self._is_copied(status):
            if not await self._view.wait_change(deadline):
                break
        # Only fences of this round count. If another proxy's fence for the
        # same term counted too, both proxies could promote in that term.
        return [status] if is_fenced_for(status, term) else []

    def _is_copied(self, status: TargetStatus) -> bool:
        return any(
            self._view.covers(target, status.log_end)
            for target in self._monitors
            if target not in self.detector.leaving
        )

    def _list_avoided(self, suspicion: Suspicion) -> Set[TargetId]:
        if suspicion.cause is SuspicionCause.STALLED and suspicion.primary:
            return {suspicion.primary}
        # If no replica caught up during a planned handover, the leaving
        # primary is promoted again and the handover is retried later.
        is_planned = suspicion.cause is SuspicionCause.LEAVING
        return frozenset() if is_planned else self.detector.leaving

    def _decide(
        self,
        kind: DecisionKind,
        suspicion: Suspicion,
        term: Term,
        outcome: str,
    ) -> None:
        reasons = {
            'cause': suspicion.cause.value,
            'term': str(term),
            'outcome': outcome,
        }
        self._decisions.record(
            Decision(kind, self._view.group, suspicion.primary, reasons),
        )
