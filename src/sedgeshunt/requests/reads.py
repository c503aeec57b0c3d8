"""Run reads on targets that meet their consistency requirement."""

from dataclasses import dataclass

from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Route
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId
from sedgeshunt.requests.group_service import GroupService
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Rejected,
    Unknown,
)
from sedgeshunt.requests.request import Request
from sedgeshunt.routing.choice import Ranking, ReadNeed
from sedgeshunt.sessions.session import SessionState

STALE_RETRY = Seconds(0.2)
MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class ReadRunner:
    """Run the reads of one group."""

    service: GroupService

    async def run(
        self,
        request: Request,
        route: Route,
        session: SessionState,
    ) -> Result[Answer, Refusal]:
        """Run the read, preferably on a replica; try others on failure."""
        found_need = await self._find_need(request, route, session)
        if isinstance(found_need, Err):
            return found_need
        self.service.budget.note_request()
        return await self._try_targets(request, route, found_need.ok_value)

    async def _try_targets(
        self,
        request: Request,
        route: Route,
        need: ReadNeed,
    ) -> Result[Answer, Refusal]:
        tried: set[TargetId] = set()
        last: Refusal | None = None
        while True:
            found = await self._find_target(request, route, need, tried)
            if isinstance(found, Err):
                return Err(last or found.err_value)
            outcome = await self._run_on(
                found.ok_value,
                request,
                route,
                need,
            )
            refusal = outcome.err()
            if refusal is None or isinstance(refusal, Rejected):
                return outcome
            tried.add(found.ok_value)
            last = _merge_refusals(last, refusal)
            if not await self._may_try_next(request, refusal, tried):
                return Err(last)
            if _is_overload(refusal) and self._is_exhausted(route, need, tried):
                # All eligible targets are overloaded. Waiting for another one
                # to catch up would only delay the refusal.
                return Err(last)

    def _is_exhausted(
        self,
        route: Route,
        need: ReadNeed,
        tried: set[TargetId],
    ) -> bool:
        ranking = self.service.rank(route, need, read_clock())
        return _pick_untried(ranking, tried) is None

    async def _run_on(
        self,
        target: TargetId,
        request: Request,
        route: Route,
        need: ReadNeed,
    ) -> Result[Answer, Refusal]:
        service = self.service.services[target]
        if need.accepted_age is None:
            return await service.run(request, route)
        return await service.run(
            request,
            route,
            lambda: self.service.meets_need(service, need, read_clock()),
        )

    async def _find_need(
        self,
        request: Request,
        route: Route,
        session: SessionState,
    ) -> Result[ReadNeed, NotRun]:
        group = self.service.name
        age = request.accepted_age
        if age is None and route.accepted_age_ms:
            age = Seconds(route.accepted_age_ms / MILLISECONDS)
        if age is None and session.needs_barrier(group):
            # A caller without a token may have written through another proxy
            # before this session was opened; the barrier covers that write.
            barrier = await self._wait_barrier(request, session)
            if isinstance(barrier, Err):
                return barrier
        return Ok(
            ReadNeed(point=session.get_required_point(group), accepted_age=age)
        )

    async def _wait_barrier(
        self,
        request: Request,
        session: SessionState,
    ) -> Result[None, NotRun]:
        view = self.service.view
        if not view.reaches_majority():
            return Err(self._refuse_stale('no majority of targets answers'))
        point = await view.wait_barrier(
            session.get_barrier_start(self.service.name),
            request.deadline,
        )
        if point is None:
            return Err(self._refuse_stale('no majority of targets answered'))
        session.complete_barrier(self.service.name, point)
        return Ok(None)

    async def _find_target(
        self,
        request: Request,
        route: Route,
        need: ReadNeed,
        tried: set[TargetId],
    ) -> Result[TargetId, NotRun]:
        if not tried:
            recent = self.service.pick_recent(route, need, read_clock())
            if recent is not None:
                return Ok(recent)
        return await self._rank_targets(request, route, need, tried)

    async def _rank_targets(
        self,
        request: Request,
        route: Route,
        need: ReadNeed,
        tried: set[TargetId],
    ) -> Result[TargetId, NotRun]:
        wait_until: Monotonic | None = None
        while True:
            now = read_clock()
            ranking = self.service.rank(route, need, now)
            choice = _pick_untried(ranking, tried)
            if choice is None:
                if not self._can_wait(request, now):
                    return Err(self._refuse_stale(ranking.describe()))
                await self._wait_change(request.deadline)
                continue
            if wait_until is None:
                wait = self.service.find_replica_wait(
                    ranking,
                    need,
                    request.deadline,
                )
                # Set once per read. If each change extended it, the wait for
                # a replica that never catches up would last until the
                # deadline. It starts at `now` so that a zero wait ends here.
                wait_until = Monotonic(now + (wait or 0))
            if now >= wait_until:
                return Ok(choice)
            await self._wait_change(min(request.deadline, wait_until))

    async def _wait_change(self, until: Monotonic) -> None:
        self.service.view.request_frequent_polls()
        await self.service.view.wait_change(until)

    def _can_wait(self, request: Request, now: Monotonic) -> bool:
        # Without a reachable majority, neither an age nor a barrier can be
        # established, so waiting would only delay the refusal.
        return now < request.deadline and self.service.view.reaches_majority()

    async def _may_try_next(
        self,
        request: Request,
        refusal: Refusal,
        tried: set[TargetId],
    ) -> bool:
        if read_clock() >= request.deadline:
            return False
        if len(tried) >= len(self.service.services):
            return False
        if isinstance(refusal, NotRun):
            return True
        return await self.service.wait_for_retry(request.deadline)

    def _refuse_stale(self, detail: str) -> NotRun:
        return NotRun(
            Cause.TOO_STALE,
            f'no target of {self.service.name} may serve this read: {detail}',
            STALE_RETRY,
        )


def _pick_untried(ranking: Ranking, tried: set[TargetId]) -> TargetId | None:
    for target in ranking.eligible:
        if target not in tried:
            return target
    return None


def _is_overload(refusal: Refusal) -> bool:
    if not isinstance(refusal, NotRun):
        return False
    return refusal.cause in {Cause.OVERLOAD, Cause.DEADLINE}


def _merge_refusals(last: Refusal | None, refusal: Refusal) -> Refusal:
    # "Not run" may only be reported if no attempt can have run.
    return last if isinstance(last, Unknown) else refusal
