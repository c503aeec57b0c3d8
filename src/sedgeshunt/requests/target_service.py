"""Serve one target: admission, connections and health in one place."""

from asyncio import Timeout, timeout_at

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
        self._in_flight: set[Timeout] = set()

    def abort_in_flight(self) -> None:
        """End the wait of every statement sent to a target that is gone."""
        # A frozen target breaks no connection: its callers would hold their
        # microphones until their deadlines. Their outcome is unknown at
        # once, and what is safe to repeat runs elsewhere.
        now = read_clock()
        for timeout in tuple(self._in_flight):
            timeout.reschedule(now)

    async def run(
        self,
        request: Request,
        route: Route,
    ) -> Result[Answer, Refusal]:
        """Run one statement on a connection of its own."""
        admitted = await self.admission.admit(
            route.traffic_class,
            route.weight,
            request.deadline,
        )
        if isinstance(admitted, Err):
            return admitted
        with admitted.ok_value.measure() as measured:
            outcome = await self._run_admitted(request)
            measured.ok = not isinstance(outcome.err(), Unknown)
            self.health.note(measured.read_spent(), ok=measured.ok)
        return outcome

    async def resize(self, share: int) -> None:
        """Change how many connections and statements are allowed."""
        self.admission.resize(share)
        await self.pool.resize(share)

    async def lend(self, request: Request) -> Result[Loan, NotRun]:
        """Lend a connection for a transaction."""
        return await self.pool.lend(request.deadline)

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
    ) -> Result[Answer, Refusal]:
        lent = await self.pool.lend(request.deadline)
        if isinstance(lent, Err):
            return lent
        async with lent.ok_value as loan:
            return await self.run_on(loan, request, request.sql)

    async def _execute(self, loan: Loan, request: Request, sql: str) -> Answer:
        async with timeout_at(request.deadline) as timeout:
            self._in_flight.add(timeout)
            try:
                return await loan.execute(sql)
            finally:
                self._in_flight.discard(timeout)


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
