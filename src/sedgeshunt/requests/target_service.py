"""Run statements on one target, with its admission, pool and health."""

from asyncio import Timeout, timeout_at
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from msgspec.structs import replace
from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Route, Target
from sedgeshunt.connections.pool import AcquiredConnection, TargetPool
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

EligibilityCheck = Callable[[], bool]


class TargetService:
    """Run statements on one target within its limits."""

    def __init__(
        self,
        target: Target,
        pool: TargetPool,
        admission: TargetAdmission,
        health: TargetHealth,
    ) -> None:
        """Start with the target considered reachable."""
        self.target = target
        self.pool = pool
        self.admission = admission
        self.health = health
        self._is_unreachable = False
        self._in_flight: set[Timeout] = set()

    def mark_reachable(self) -> None:
        """Note that the target answers."""
        self._is_unreachable = False

    def mark_unreachable(self) -> None:
        """End all waits for the target, which stopped answering."""
        self._is_unreachable = True
        # A frozen target keeps its connections open, so callers would wait
        # until their deadlines. Instead their outcomes become unknown at
        # once, and requests that are safe to retry run elsewhere.
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
        """Return whether a statement would be sent without waiting."""
        if self._is_unreachable or self.target.is_leaving():
            return False
        return self.admission.has_room() and not self.health.is_excluded()

    async def run(
        self,
        request: Request,
        route: Route,
        is_still_eligible: EligibilityCheck | None = None,
    ) -> Result[Answer, Refusal]:
        """Run one statement on a connection from the pool.

        Call `is_still_eligible` immediately before the statement is sent.
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
            outcome = await self._run_admitted(request, is_still_eligible)
            refusal = outcome.err()
            measured.ok = not isinstance(refusal, Unknown)
            if isinstance(refusal, NotRun):
                # Nothing ran. Measuring the short time would make the target
                # appear fast and attract more statements.
                permit.cancel()
            else:
                self.health.record_outcome(
                    measured.read_elapsed(),
                    ok=measured.ok,
                )
        return self._name_target(outcome)

    async def resize(self, share: int) -> None:
        """Change the limits of connections and statements."""
        self.admission.resize(share)
        await self.pool.resize(share)

    async def acquire(
        self, request: Request
    ) -> Result[AcquiredConnection, NotRun]:
        """Acquire a connection, unless the target is unreachable."""
        if self._is_unreachable:
            return Err(self._refuse_unreachable())
        idle = self.pool.acquire_idle()
        if idle is not None:
            return Ok(idle)
        try:
            async with self._track_timeout(request):
                return await self.pool.acquire(request.deadline)
        except TimeoutError:
            return Err(self._refuse_unreachable())

    async def run_on(
        self,
        connection: AcquiredConnection,
        request: Request,
        sql: str,
    ) -> Result[Answer, Refusal]:
        """Run `sql` on an acquired connection and convert its errors."""
        try:
            return Ok(await self._execute(connection, request, sql))
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
        is_still_eligible: EligibilityCheck | None,
    ) -> Result[Answer, Refusal]:
        acquired = await self.acquire(request)
        if isinstance(acquired, Err):
            return acquired
        async with acquired.ok_value as connection:
            if is_still_eligible is not None and not is_still_eligible():
                return Err(self._refuse_stale())
            return await self.run_on(connection, request, request.sql)

    async def _execute(
        self, connection: AcquiredConnection, request: Request, sql: str
    ) -> Answer:
        async with self._track_timeout(request):
            return await connection.execute(sql)

    @asynccontextmanager
    async def _track_timeout(self, request: Request) -> AsyncIterator[None]:
        async with timeout_at(request.deadline) as timeout:
            self._in_flight.add(timeout)
            try:
                yield
            finally:
                self._in_flight.discard(timeout)

    def _refuse_stale(self) -> NotRun:
        # The data may exceed the accepted age while the read waits for
        # admission or a connection.
        return NotRun(
            Cause.TOO_STALE,
            f'target {self.target.name} fell behind while the read waited',
            SUPERSEDED_RETRY,
        )

    def _refuse_unreachable(self) -> NotRun:
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
        # The target reported that it is no longer primary, so nothing ran.
        reason = refusal.format_message()
        return NotRun(Cause.SUPERSEDED, reason, SUPERSEDED_RETRY)
    return Rejected(refusal.code, refusal.sqlstate, refusal.reason)
