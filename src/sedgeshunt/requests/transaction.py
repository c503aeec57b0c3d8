"""Run transactions of callers, each on one connection."""

from contextlib import AsyncExitStack
from enum import Enum

from msgspec.structs import replace
from result import Err, Ok, Result

from sedgeshunt.configuration.objects import Route
from sedgeshunt.connections.pool import AcquiredConnection
from sedgeshunt.identifiers import RequestId, Seconds
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
from sedgeshunt.requests.request_ids import RequestIds
from sedgeshunt.requests.target_service import TargetService

LOST_RETRY = Seconds(0.1)


class TransactionState(Enum):
    """Enumerate the states of a transaction."""

    # Begun by the caller; no connection is acquired yet.
    DECLARED = 'declared'
    RUNNING = 'running'
    # Its connection is lost; only COMMIT or ROLLBACK is accepted.
    LOST = 'lost'
    ENDED = 'ended'


class Transaction:
    """Run the transaction of one caller on one connection."""

    def __init__(self, service: GroupService) -> None:
        """Acquire no connection before the first statement."""
        self.state = TransactionState.DECLARED
        self._service = service
        self._confirmation = Confirmation(service)
        self._ids = RequestIds(service, self._confirmation)
        self._resources = AsyncExitStack()
        self._connection: AcquiredConnection | None = None
        self._target: TargetService | None = None
        self._request_id: RequestId | None = None

    async def run(
        self,
        request: Request,
        route: Route,
    ) -> Result[Answer, Refusal]:
        """Run one statement within the transaction."""
        if self.state is TransactionState.LOST:
            return Err(_refuse_lost())
        started = await self._start(request)
        if isinstance(started, Err):
            return started
        self.note_request_id(request)
        outcome = await self._run_statement(request, request.sql, route)
        refusal = outcome.err()
        if self._is_rolled_back(refusal):
            # Without this state, further statements would run outside the
            # transaction and commit one by one.
            await self._mark_lost()
            return Err(_describe_loss(refusal))
        return outcome

    def note_request_id(self, request: Request) -> None:
        """Use the first request id of any statement for the transaction."""
        self._request_id = self._request_id or request.request_id

    async def commit(self, request: Request) -> Result[Answer, Refusal]:
        """Commit and return once the commit is durable."""
        if self.state is TransactionState.DECLARED:
            await self.abandon()
            return Ok(Answer())
        if self.state is TransactionState.LOST:
            await self.abandon()
            return Err(_refuse_lost())
        try:
            return await self._commit(request)
        finally:
            await self.abandon()

    async def rollback(self, request: Request) -> Result[Answer, Refusal]:
        """Roll back, which for a lost transaction has already happened."""
        connection, target = self._connection, self._target
        if connection is not None and target is not None:
            ended = await target.run_on(connection, request, 'ROLLBACK')
            if isinstance(ended, Err):
                connection.invalidate()
        self.state = TransactionState.ENDED
        await self.abandon()
        return Ok(Answer())

    async def abandon(self) -> None:
        """Release the connection; close it if the transaction is unfinished."""
        # A connection with an open transaction must not be reused: statements
        # of the next caller would be committed or rolled back with it.
        if (
            self._connection is not None
            and self.state is not TransactionState.ENDED
        ):
            self._connection.invalidate()
        self.state = TransactionState.ENDED
        self._connection = None
        self._target = None
        await self._resources.aclose()

    async def _start(self, request: Request) -> Result[None, Refusal]:
        if self.state is TransactionState.RUNNING:
            return Ok(None)
        found = await self._service.find_primary(request.deadline)
        if isinstance(found, Err):
            return found
        target = found.ok_value
        acquired = await target.acquire(request)
        if isinstance(acquired, Err):
            return acquired
        connection = await self._resources.enter_async_context(
            acquired.ok_value
        )
        begun = await target.run_on(connection, request, 'BEGIN')
        if isinstance(begun, Err):
            connection.invalidate()
            await self._resources.aclose()
            return Err(_describe_loss(begun.err_value))
        self._connection = connection
        self._target = target
        self.state = TransactionState.RUNNING
        return Ok(None)

    async def _run_statement(
        self,
        request: Request,
        sql: str,
        route: Route,
    ) -> Result[Answer, Refusal]:
        connection, target = self._connection, self._target
        if connection is None or target is None:
            return Err(_refuse_lost())
        admitted = await target.admission.admit(
            route.traffic_class,
            route.weight,
            request.deadline,
        )
        if isinstance(admitted, Err):
            return admitted
        with admitted.ok_value.measure() as measured:
            outcome = await target.run_on(connection, request, sql)
            measured.ok = not isinstance(outcome.err(), Unknown)
        return outcome

    async def _commit(self, request: Request) -> Result[Answer, Refusal]:
        request = replace(
            request,
            request_id=self._request_id or request.request_id,
        )
        connection, target = self._connection, self._target
        if connection is None or target is None:
            return Err(_refuse_lost())
        recorded = await self._ids.record(
            target,
            connection,
            request,
            Answer(),
        )
        if isinstance(recorded, Err):
            return await self._explain_rejection(
                target, connection, request, recorded
            )
        committed = await target.run_on(connection, request, 'COMMIT')
        if isinstance(committed, Ok):
            self.state = TransactionState.ENDED
            committed = await self._confirmation.confirm(
                request,
                committed.ok_value,
            )
        return await self._resolve(request, committed)

    async def _resolve(
        self,
        request: Request,
        committed: Result[Answer, Refusal],
    ) -> Result[Answer, Refusal]:
        refusal = committed.err()
        if isinstance(refusal, Unknown) and request.request_id:
            return await self._ids.resolve(request, refusal)
        return committed

    async def _explain_rejection(
        self,
        target: TargetService,
        connection: AcquiredConnection,
        request: Request,
        recorded: Err[Refusal],
    ) -> Result[Answer, Refusal]:
        refusal = recorded.err_value
        if not isinstance(refusal, Rejected) or request.request_id is None:
            return Err(_describe_loss(refusal))
        # The id already exists: an earlier run of this transaction was
        # committed, so this one must be rolled back.
        undone = await target.run_on(connection, request, 'ROLLBACK')
        if isinstance(undone, Err):
            return Err(_describe_loss(undone.err_value))
        self.state = TransactionState.ENDED
        stored = await self._ids.find_result(
            target,
            connection,
            request,
            request.request_id,
        )
        return recorded if stored is None else stored

    def _is_rolled_back(self, refusal: Refusal | None) -> bool:
        if self._connection is None or not self._connection.is_clean:
            return True
        if not isinstance(refusal, NotRun):
            return False
        return refusal.cause is Cause.SUPERSEDED

    async def _mark_lost(self) -> None:
        if self._connection is not None:
            self._connection.invalidate()
        self._connection = None
        self._target = None
        await self._resources.aclose()
        self.state = TransactionState.LOST


def _refuse_lost() -> NotRun:
    return NotRun(
        Cause.TRANSACTION_LOST,
        'the transaction was undone; roll back and begin it again',
        LOST_RETRY,
    )


def _describe_loss(refusal: Refusal | None) -> Refusal:
    # No COMMIT was sent, so the target rolls back when the connection closes.
    if isinstance(refusal, NotRun | Unknown):
        reason = f'{refusal.reason}; the transaction was undone'
        return NotRun(Cause.TRANSACTION_LOST, reason, LOST_RETRY)
    return refusal or _refuse_lost()
