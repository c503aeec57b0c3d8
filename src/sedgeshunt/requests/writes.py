"""Run writes on the current primary and retry them where that is safe."""

from dataclasses import dataclass
from typing import Self

from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Route
from sedgeshunt.connections.pool import AcquiredConnection
from sedgeshunt.requests.confirmation import Confirmation
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
from sedgeshunt.requests.request_ids import FAILOVER_RETRY, RequestIds
from sedgeshunt.requests.target_service import TargetService


def is_repeatable(request: Request) -> bool:
    """Return whether the request is safe to retry after an unknown outcome."""
    return request.idempotent or request.request_id is not None


@dataclass(frozen=True, slots=True)
class WriteRunner:
    """Run the writes of one group."""

    service: GroupService
    confirmation: Confirmation
    ids: RequestIds

    @classmethod
    def for_group(cls, service: GroupService) -> Self:
        """Create a runner for one group."""
        confirmation = Confirmation(service)
        return cls(service, confirmation, RequestIds(service, confirmation))

    async def run(
        self,
        request: Request,
        route: Route,
    ) -> Result[Answer, Refusal]:
        """Run the write; retry it on the next primary where that is safe."""
        unknown: Unknown | None = None
        while True:
            found = await self.service.find_primary(request.deadline)
            if isinstance(found, Err):
                return Err(unknown or found.err_value)
            outcome = await self._attempt(found.ok_value, request, route)
            if isinstance(outcome, Ok):
                return outcome
            refusal = outcome.err_value
            # Once an attempt may have run, the outcome stays unknown even if a
            # later attempt certainly did not run.
            if isinstance(refusal, Unknown):
                unknown = refusal
            if not await self._may_retry(request, refusal):
                return Err(unknown or refusal)

    async def _attempt(
        self,
        service: TargetService,
        request: Request,
        route: Route,
    ) -> Result[Answer, Refusal]:
        if request.request_id is None:
            outcome = await service.run(request, route)
        else:
            outcome = await self._run_identified(service, request, route)
        if isinstance(outcome, Err):
            return outcome
        return await self.confirmation.confirm(request, outcome.ok_value)

    async def _run_identified(
        self,
        service: TargetService,
        request: Request,
        route: Route,
    ) -> Result[Answer, Refusal]:
        admitted = await service.admission.admit(
            route.traffic_class,
            route.weight,
            request.deadline,
        )
        if isinstance(admitted, Err):
            return admitted
        with admitted.ok_value.measure() as measured:
            acquired = await service.acquire(request)
            if isinstance(acquired, Err):
                return acquired
            async with acquired.ok_value as connection:
                outcome = await self._run_transaction(
                    service, connection, request
                )
            measured.ok = not isinstance(outcome.err(), Unknown)
        return outcome

    async def _run_transaction(
        self,
        service: TargetService,
        connection: AcquiredConnection,
        request: Request,
    ) -> Result[Answer, Refusal]:
        begun = await service.run_on(connection, request, 'BEGIN')
        if isinstance(begun, Err):
            return Err(_note_not_run(begun.err_value))
        outcome = await service.run_on(connection, request, request.sql)
        if isinstance(outcome, Ok):
            outcome = await self.ids.record(
                service,
                connection,
                request,
                outcome.ok_value,
            )
        if isinstance(outcome, Err):
            return await self._roll_back(
                service, connection, request, outcome.err_value
            )
        committed = await service.run_on(connection, request, 'COMMIT')
        if isinstance(committed, Err):
            # A target that refuses COMMIT may keep the transaction open.
            connection.invalidate()
            return committed
        answer = outcome.ok_value
        return Ok(
            Answer(
                affected_rows=answer.affected_rows,
                last_insert_id=answer.last_insert_id,
                point=committed.ok_value.point,
                served_by=service.target.name,
            ),
        )

    async def _roll_back(
        self,
        service: TargetService,
        connection: AcquiredConnection,
        request: Request,
        refusal: Refusal,
    ) -> Result[Answer, Refusal]:
        """Roll back and return the result of an earlier run, if any."""
        # No COMMIT was sent, so the target rolls back the transaction when
        # its connection closes.
        if not connection.is_clean:
            return Err(_note_not_run(refusal))
        rolled_back = await service.run_on(connection, request, 'ROLLBACK')
        if isinstance(rolled_back, Err):
            connection.invalidate()
            return Err(_note_not_run(refusal))
        if isinstance(refusal, Rejected) and request.request_id:
            # A retry conflicts with its first run on a unique key, either of
            # the caller's data or of the request id. In both cases the first
            # run's result is returned.
            stored = await self.ids.find_result(
                service,
                connection,
                request,
                request.request_id,
            )
            if stored is not None:
                return stored
        return Err(refusal)

    async def _may_retry(self, request: Request, refusal: Refusal) -> bool:
        if read_clock() >= request.deadline or isinstance(refusal, Rejected):
            return False
        if isinstance(refusal, Unknown):
            repeatable = is_repeatable(request)
        else:
            repeatable = refusal.cause in {
                Cause.SUPERSEDED,
                Cause.CONNECTION_LOST,
            }
        return repeatable and await self.service.wait_for_retry(
            request.deadline
        )


def _note_not_run(refusal: Refusal) -> Refusal:
    if isinstance(refusal, Unknown):
        return NotRun(refusal.cause, refusal.reason, FAILOVER_RETRY)
    return refusal
