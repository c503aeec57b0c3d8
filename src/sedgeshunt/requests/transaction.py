"""Own one connection from begin to end of a transaction."""

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
    """Name how far a transaction has come."""

    # Begun by the caller; no connection is held yet.
    DECLARED = 'declared'
    RUNNING = 'running'
    # Its connection is gone; only an end is accepted.
    LOST = 'lost'
    ENDED = 'ended'


class Transaction:
    """Run one caller's transaction on one connection."""

    def __init__(self, service: GroupService) -> None:
        """Hold no connection before the first statement."""
        self.state = TransactionState.DECLARED
        self._service = service
        self._confirmation = Confirmation(service)
        self._ids = RequestIds(service, self._confirmation)
        self._owned = AsyncExitStack()
        self._loan: AcquiredConnection | None = None
        self._target: TargetService | None = None
        self._request_id: RequestId | None = None

    async def run(
        self,
        request: Request,
        route: Route,
    ) -> Result[Answer, Refusal]:
        """Run one statement inside the transaction."""
        if self.state is TransactionState.LOST:
            return Err(_refuse_lost())
        started = await self._start(request)
        if isinstance(started, Err):
            return started
        self.note_request_id(request)
        outcome = await self._run_statement(request, request.sql, route)
        refusal = outcome.err()
        if self._is_undone(refusal):
            # Going on would run the rest outside the transaction, as single
            # statements that commit by themselves.
            await self._mark_lost()
            return Err(_describe_loss(refusal))
        return outcome

    def note_request_id(self, request: Request) -> None:
        """Keep the first id that any statement brings for the whole."""
        self._request_id = self._request_id or request.request_id

    async def commit(self, request: Request) -> Result[Answer, Refusal]:
        """Commit, and answer once the commit is durable."""
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
        """Roll back; a lost transaction is rolled back already."""
        loan, target = self._loan, self._target
        if loan is not None and target is not None:
            ended = await target.run_on(loan, request, 'ROLLBACK')
            if isinstance(ended, Err):
                loan.invalidate()
        self.state = TransactionState.ENDED
        await self.abandon()
        return Ok(Answer())

    async def abandon(self) -> None:
        """Let go of the connection; an unfinished transaction closes it."""
        # A connection with an open transaction must not be lent again: the
        # next caller's statements would be committed or undone with it.
        if self._loan is not None and self.state is not TransactionState.ENDED:
            self._loan.invalidate()
        self.state = TransactionState.ENDED
        self._loan = None
        self._target = None
        await self._owned.aclose()

    async def _start(self, request: Request) -> Result[None, Refusal]:
        if self.state is TransactionState.RUNNING:
            return Ok(None)
        found = await self._service.find_primary(request.deadline)
        if isinstance(found, Err):
            return found
        target = found.ok_value
        lent = await target.acquire(request)
        if isinstance(lent, Err):
            return lent
        loan = await self._owned.enter_async_context(lent.ok_value)
        begun = await target.run_on(loan, request, 'BEGIN')
        if isinstance(begun, Err):
            loan.invalidate()
            await self._owned.aclose()
            return Err(_describe_loss(begun.err_value))
        self._loan = loan
        self._target = target
        self.state = TransactionState.RUNNING
        return Ok(None)

    async def _run_statement(
        self,
        request: Request,
        sql: str,
        route: Route,
    ) -> Result[Answer, Refusal]:
        loan, target = self._loan, self._target
        if loan is None or target is None:
            return Err(_refuse_lost())
        admitted = await target.admission.admit(
            route.traffic_class,
            route.weight,
            request.deadline,
        )
        if isinstance(admitted, Err):
            return admitted
        with admitted.ok_value.measure() as measured:
            outcome = await target.run_on(loan, request, sql)
            measured.ok = not isinstance(outcome.err(), Unknown)
        return outcome

    async def _commit(self, request: Request) -> Result[Answer, Refusal]:
        request = replace(
            request,
            request_id=self._request_id or request.request_id,
        )
        loan, target = self._loan, self._target
        if loan is None or target is None:
            return Err(_refuse_lost())
        recorded = await self._ids.record(
            target,
            loan,
            request,
            Answer(),
        )
        if isinstance(recorded, Err):
            return await self._explain(target, loan, request, recorded)
        committed = await target.run_on(loan, request, 'COMMIT')
        if isinstance(committed, Ok):
            self.state = TransactionState.ENDED
            committed = await self._confirmation.confirm(
                request,
                committed.ok_value,
            )
        return await self._settle(request, committed)

    async def _settle(
        self,
        request: Request,
        committed: Result[Answer, Refusal],
    ) -> Result[Answer, Refusal]:
        refusal = committed.err()
        if isinstance(refusal, Unknown) and request.request_id:
            return await self._ids.settle(request, refusal)
        return committed

    async def _explain(
        self,
        target: TargetService,
        loan: AcquiredConnection,
        request: Request,
        recorded: Err[Refusal],
    ) -> Result[Answer, Refusal]:
        refusal = recorded.err_value
        if not isinstance(refusal, Rejected) or request.request_id is None:
            return Err(_describe_loss(refusal))
        # The id is there already: an earlier run of this transaction was
        # committed, and this one must leave nothing.
        undone = await target.run_on(loan, request, 'ROLLBACK')
        if isinstance(undone, Err):
            return Err(_describe_loss(undone.err_value))
        self.state = TransactionState.ENDED
        recalled = await self._ids.recall(
            target,
            loan,
            request,
            request.request_id,
        )
        return recorded if recalled is None else recalled

    def _is_undone(self, refusal: Refusal | None) -> bool:
        if self._loan is None or not self._loan.is_clean:
            return True
        if not isinstance(refusal, NotRun):
            return False
        return refusal.cause is Cause.SUPERSEDED

    async def _mark_lost(self) -> None:
        if self._loan is not None:
            self._loan.invalidate()
        self._loan = None
        self._target = None
        await self._owned.aclose()
        self.state = TransactionState.LOST


def _refuse_lost() -> NotRun:
    return NotRun(
        Cause.TRANSACTION_LOST,
        'the transaction was undone; roll back and begin it again',
        LOST_RETRY,
    )


def _describe_loss(refusal: Refusal | None) -> Refusal:
    # No COMMIT was sent: the target undoes all of it with the connection.
    if isinstance(refusal, NotRun | Unknown):
        reason = f'{refusal.reason}; the transaction was undone'
        return NotRun(Cause.TRANSACTION_LOST, reason, LOST_RETRY)
    return refusal or _refuse_lost()
