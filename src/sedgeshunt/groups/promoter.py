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

TICK = Seconds(0.025)
# Each further proxy holds back for this long, so that one acts at a time.
RANK_DELAY = Seconds(0.15)
ASK_AGAIN_AFTER = Seconds(0.05)
FIRST_RETRY = Seconds(0.05)
# A replica gets this long to copy the last records of a leaving primary.
CATCH_UP_TIME = Seconds(0.3)


class Promoter:
    """Run the promotions of one group from one proxy."""

    def __init__(
        self,
        view: GroupView,
        links: Mapping[TargetId, TargetMonitor],
        deferral: PromotionDeferral,
        decisions: DecisionLog,
    ) -> None:
        """Act on `links` by what `view` and `deferral` say."""
        self.rank = 0
        self.judge = FailureDetector(view)
        self._view = view
        self._links = links
        self._deferral = deferral
        self._decisions = decisions
        self._backoff = Backoff(FIRST_RETRY)
        self._suspicion: Suspicion | None = None
        self._suspected_at = Monotonic(0)

    async def run(self) -> None:
        """Watch and act until cancelled."""
        while True:
            await sleep(TICK)
            suspicion = self._find_due()
            if suspicion is None:
                continue
            if await self._deferral.should_defer(suspicion):
                await sleep(ASK_AGAIN_AFTER)
                continue
            # The peers took their time to answer; a rival may have won.
            suspicion = self._find_due()
            if suspicion is None:
                continue
            if await self._replace(suspicion):
                self._backoff.reset()
            else:
                await sleep(self._backoff.compute_delay())

    def _find_due(self) -> Suspicion | None:
        suspicion = self.judge.judge()
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
            self.judge.leaving,
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
        links = [
            link for name, link in self._links.items() if name not in names
        ]
        majority = self._view.states.majority - len(fenced)
        return await fence_members(links, term, majority)

    async def _promote(
        self,
        suspicion: Suspicion,
        term: Term,
        chosen: TargetStatus,
    ) -> bool:
        link = self._links.get(chosen.target)
        if link is None:
            return False
        promoted = await promote_target(link, term)
        if isinstance(promoted, Err):
            self._decide(DecisionKind.FENCED, suspicion, term, promoted.err())
            return False
        leads = f'{chosen.target} leads'
        self._decide(DecisionKind.PROMOTED, suspicion, term, leads)
        await repoint_replicas(tuple(self._links.values()), term, chosen.target)
        return chosen.target not in self.judge.leaving

    async def _fence_leaving_primary(
        self,
        suspicion: Suspicion,
        term: Term,
    ) -> list[TargetStatus]:
        # Fenced first and alone, the leaving primary takes no more writes
        # while the others still copy its last records. Fenced together, the
        # writes that one of them had not copied yet would end as unknown.
        if (
            suspicion.cause is not SuspicionCause.LEAVING
            or suspicion.leader is None
        ):
            return []
        try:
            status = await self._links[suspicion.leader].fence(term)
        except (KeyError, SedgeshuntError, OSError):
            return []
        deadline = Monotonic(read_clock() + CATCH_UP_TIME)
        while not self._is_copied(status):
            if not await self._view.wait_change(deadline):
                break
        # Only fences of this round count: one that a rival set in the same
        # term, counted by both, would let both promote in it.
        return [status] if is_fenced_for(status, term) else []

    def _is_copied(self, status: TargetStatus) -> bool:
        return any(
            self._view.covers(target, status.log_end)
            for target in self._links
            if target not in self.judge.leaving
        )

    def _list_avoided(self, suspicion: Suspicion) -> Set[TargetId]:
        if suspicion.cause is SuspicionCause.STALLED and suspicion.leader:
            return {suspicion.leader}
        # A planned move that was not caught up with promotes the leaving
        # primary again, and the next try comes after a while.
        is_gentle = suspicion.cause is SuspicionCause.LEAVING
        return frozenset() if is_gentle else self.judge.leaving

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
            Decision(kind, self._view.group, suspicion.leader, reasons),
        )
