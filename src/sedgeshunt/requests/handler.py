"""Answer the requests of one caller within its session."""

from collections.abc import Awaitable, Callable, Sequence

from msgspec.structs import replace
from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import GroupId, Seconds, TrafficClass
from sedgeshunt.requests.gate import CallerSession
from sedgeshunt.requests.group_service import GroupService
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Unknown,
)
from sedgeshunt.requests.reads import MILLISECONDS, ReadRunner
from sedgeshunt.requests.recorder import OutcomeRecorder
from sedgeshunt.requests.request import Request, StatementKind
from sedgeshunt.requests.transaction import Transaction
from sedgeshunt.requests.writes import WriteRunner
from sedgeshunt.sessions.session import SessionState
from sedgeshunt.sessions.token import TokenKeys

STOPPING_RETRY = Seconds(0.05)

BoundaryHandler = Callable[[Request], Awaitable[Result[Answer, Refusal]]]


class RequestHandler(CallerSession):
    """Handle the requests of one caller connection to one group."""

    def __init__(
        self,
        service: GroupService,
        session: SessionState,
        keys: TokenKeys,
        recorder: OutcomeRecorder,
    ) -> None:
        """Start without a transaction."""
        self._service = service
        self._session = session
        self._keys = keys
        self._recorder = recorder
        self._reads = ReadRunner(service)
        self._writes = WriteRunner.for_group(service)
        self._transaction: Transaction | None = None
        self._boundary_handlers: dict[StatementKind, BoundaryHandler] = {
            StatementKind.BEGIN: self._begin,
            StatementKind.COMMIT: self._commit,
            StatementKind.ROLLBACK: self._rollback,
        }

    @property
    def group(self) -> GroupId:
        """Return the group that the session reads and writes."""
        return self._service.name

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._transaction is not None

    @property
    def token(self) -> str:
        """Return the signed token of the session's log positions."""
        return self._keys.sign(self._session.points)

    def find_deadline(self, traffic_class: TrafficClass) -> Seconds:
        """Return the default time limit of the traffic class."""
        route = self._service.routes.find(traffic_class)
        return Seconds(route.deadline_ms / MILLISECONDS)

    async def answer(self, request: Request) -> Result[Answer, Refusal]:
        """Run one request, record its outcome and return it."""
        started = read_clock()
        outcome = await self._answer(request)
        spent = Seconds(read_clock() - started)
        self._recorder.record(request, outcome, spent)
        return outcome

    async def close(self) -> None:
        """Roll back an open transaction after the caller has disconnected."""
        transaction = self._end_transaction()
        if transaction is not None:
            await transaction.abandon()

    async def _answer(self, request: Request) -> Result[Answer, Refusal]:
        refused = self._check(request)
        if refused is not None:
            return Err(refused)
        handle = self._boundary_handlers.get(request.kind)
        if handle is not None:
            return await handle(request)
        if self._transaction is not None:
            route = self._service.routes.find(request.traffic_class)
            return await self._transaction.run(request, route)
        return await self._run_single(request)

    def _check(self, request: Request) -> NotRun | None:
        if self._recorder.is_stopping and self._transaction is None:
            return NotRun(
                Cause.STOPPING,
                'this proxy is shutting down, connect again to reach another',
                STOPPING_RETRY,
            )
        if not self._service.routes.has_class(request.traffic_class):
            return NotRun(
                Cause.ATTRIBUTE,
                f'no route declares traffic class {request.traffic_class}; '
                + 'use one that "sedgeshunt get route" lists',
            )
        if request.token is None:
            return None
        verified = self._keys.verify(request.token)
        if isinstance(verified, Err):
            return verified.err_value
        self._session.merge_points(verified.ok_value)
        return None

    async def _run_single(self, request: Request) -> Result[Answer, Refusal]:
        route = self._service.routes.find(request.traffic_class)
        if request.kind is StatementKind.READ:
            return await self._reads.run(request, route, self._session)
        return self._note_write(await self._writes.run(request, route))

    async def _begin(self, request: Request) -> Result[Answer, Refusal]:
        if self._transaction is not None:
            # As the protocol defines, BEGIN commits an open transaction first.
            ended = await self._commit(request)
            if isinstance(ended, Err):
                return ended
        self._transaction = Transaction(self._service)
        self._transaction.note_request_id(request)
        return Ok(Answer())

    async def _commit(self, request: Request) -> Result[Answer, Refusal]:
        transaction = self._end_transaction()
        if transaction is None:
            return Ok(Answer())
        return self._note_write(await transaction.commit(request))

    async def _rollback(self, request: Request) -> Result[Answer, Refusal]:
        transaction = self._end_transaction()
        if transaction is None:
            return Ok(Answer())
        return await transaction.rollback(request)

    def _end_transaction(self) -> Transaction | None:
        transaction = self._transaction
        self._transaction = None
        return transaction

    def _note_write(
        self,
        outcome: Result[Answer, Refusal],
    ) -> Result[Answer, Refusal]:
        if isinstance(outcome.err(), Unknown):
            self._session.note_unknown_write(self.group, read_clock())
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        if answer.point is None:
            return outcome
        self._session.note_write(self.group, answer.point)
        return Ok(replace(answer, token=self.token))


class RefusingSession(CallerSession):
    """Refuse every request to a group that this proxy does not serve."""

    def __init__(self, group: GroupId, served: Sequence[str]) -> None:
        """Store the names of the groups that are served."""
        self._group = group
        self._served = served

    @property
    def in_transaction(self) -> bool:
        """Return False, as no transaction can be open."""
        return False

    @property
    def token(self) -> str:
        """Return an empty token."""
        return ''

    async def answer(self, request: Request) -> Result[Answer, Refusal]:
        """Refuse the request and list the groups that are served."""
        served = ', '.join(self._served) or 'none yet, it is starting'
        return Err(
            NotRun(
                Cause.NO_GROUP,
                f'this proxy does not serve group "{self._group}" '
                + f'(it serves {served}); name a group as the database',
                STOPPING_RETRY,
            ),
        )

    async def close(self) -> None:
        """Do nothing, as no resource is held."""
