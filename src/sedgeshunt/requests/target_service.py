"""Serve one target: admission, connections and health in one place."""

from asyncio import Timeout, timeout_at
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from msgspec.structs import replace
from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Route, Target
from sedgeshunt.connections.pool import Loan, TargetPool
from sedgeshunt.exceptions import (
    TargetGone,
    TargetLost,
    TargetReadOnly,
    TargetRejected,
)
from sedgeshunt.identifiers import Seconds
from sedgeshunt.limits.admission import TargetAdmission
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Rejected,
    Unknown,
)
from sedgeshunt.requests.request import Request
from sedgeshunt.routing.health import TargetHealth

SUPERSEDED_RETRY = Seconds(0.2)

Check = Callable[[], bool]


class TargetService:
    """Run statements on one target within its limits."""

    def __init__(
        self,
        target: Target,
        pool: TargetPool,
        admission: TargetAdmission,
        health: TargetHealth,
    ) -> None:
        """Bring together what one target needs."""
        self.target = target
        self.pool = pool
        self.admission = admission
        self.health = health
        self._is_gone = False
        self._in_flight: set[Timeout] = set()

    def note_heard(self) -> None:
        """Take in that the target answers."""
        self._is_gone = False

    def note_gone(self) -> None:
        """End every wait for a target that stopped answering."""
        self._is_gone = True
        # A frozen target breaks no connection, so its callers would wait
        # until their deadlines. Their outcome is unknown at once, and what
        # is safe to repeat runs elsewhere.
        now = read_clock()
        for timeout in tuple(self._in_flight):
            timeout.reschedule(now)

    def _name_target(
        self,
        outcome: Result[Answer, Refusal],
    ) -> Result[Answer, Refusal]:
        refusal = outcome.err()
        if isinstance(refusal, NotRun | Unknown):
            return Err(replace(refusal, target=self.target.name))
        return outcome

    def is_free(self) -> bool:
        """Tell whether a statement would be sent without any wait."""
        if self._is_gone or self.target.is_leaving():
            return False
        return self.admission.has_room() and not self.health.is_excluded()

    async def run(
        self,
        request: Request,
        route: Route,
        still_serves: Check | None = None,
    ) -> Result[Answer, Refusal]:
        """Run one statement on a connection of its own.

        Ask `still_serves` at the last moment before it is sent.
        """
        admitted = await self.admission.admit(
            route.traffic_class,
            route.weight,
            request.deadline,
        )
        if isinstance(admitted, Err):
            return self._name_target(admitted)
        permit = admitted.ok_value
        with permit.measure() as measured:
            outcome = await self._run_admitted(request, still_serves)
            refusal = outcome.err()
            measured.ok = not isinstance(refusal, Unknown)
            if isinstance(refusal, NotRun):
                # Nothing ran: the short time would make the target look
                # quick, and draw more statements to it.
                permit.cancel()
            else:
                self.health.record_outcome(
                    measured.read_spent(),
                    ok=measured.ok,
                )
        return self._name_target(outcome)

    async def resize(self, share: int) -> None:
        """Change how many connections and statements are allowed."""
        self.admission.resize(share)
        await self.pool.resize(share)

    async def lend(self, request: Request) -> Result[Loan, NotRun]:
        """Lend a connection, unless the target is gone."""
        if self._is_gone:
            return Err(self._refuse_gone())
        idle = self.pool.take_idle()
        if idle is not None:
            return Ok(idle)
        try:
            async with self._watch(request):
                return await self.pool.lend(request.deadline)
        except TimeoutError:
            return Err(self._refuse_gone())

    async def run_on(
        self,
        loan: Loan,
        request: Request,
        sql: str,
    ) -> Result[Answer, Refusal]:
        """Run `sql` on a lent connection and translate its failures."""
        try:
            return Ok(await self._execute(loan, request, sql))
        except TargetRejected as refusal:
            return Err(_describe_rejection(refusal))
        except TargetLost as loss:
            return Err(_describe_loss(loss))
        except TimeoutError:
            return Err(
                Unknown(
                    Cause.DEADLINE,
                    f'target {self.target.name} did not answer in time',
                ),
            )

    async def _run_admitted(
        self,
        request: Request,
        still_serves: Check | None,
    ) -> Result[Answer, Refusal]:
        lent = await self.lend(request)
        if isinstance(lent, Err):
            return lent
        async with lent.ok_value as loan:
            if still_serves is not None and not still_serves():
                return Err(self._refuse_stale())
            return await self.run_on(loan, request, request.sql)

    async def _execute(self, loan: Loan, request: Request, sql: str) -> Answer:
        async with self._watch(request):
            return await loan.execute(sql)

    @asynccontextmanager
    async def _watch(self, request: Request) -> AsyncIterator[None]:
        async with timeout_at(request.deadline) as timeout:
            self._in_flight.add(timeout)
            try:
                yield
            finally:
                self._in_flight.discard(timeout)

    def _refuse_stale(self) -> NotRun:
        # Data that was young enough when the target was chosen grows old
        # while the read waits for its turn.
        return NotRun(
            Cause.TOO_STALE,
            f'target {self.target.name} fell behind while the read waited',
            SUPERSEDED_RETRY,
        )

    def _refuse_gone(self) -> NotRun:
        return NotRun(
            Cause.CONNECTION_LOST,
            f'target {self.target.name} stopped answering',
            SUPERSEDED_RETRY,
        )


def _describe_loss(loss: TargetLost) -> Refusal:
    reason = loss.format_message()
    if isinstance(loss, TargetGone):
        return NotRun(Cause.CONNECTION_LOST, reason, SUPERSEDED_RETRY)
    return Unknown(Cause.CONNECTION_LOST, reason)


def _describe_rejection(refusal: TargetRejected) -> Refusal:
    if isinstance(refusal, TargetReadOnly):
        # The target proved that it no longer leads: nothing ran.
        reason = refusal.format_message()
        return NotRun(Cause.SUPERSEDED, reason, SUPERSEDED_RETRY)
    return Rejected(refusal.code, refusal.sqlstate, refusal.reason)
