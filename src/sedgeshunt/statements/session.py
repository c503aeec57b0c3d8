"""Run the statements of one caller's session in order."""

from collections.abc import Mapping
from itertools import count

from msgspec.structs import replace
from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Consistency, Route
from sedgeshunt.connections.target_session import SessionPhase
from sedgeshunt.customers.directory import Identity
from sedgeshunt.customers.gate import CustomerGate
from sedgeshunt.execution.transactions import TransactionTable
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    GroupId,
    KeyDigest,
    Monotonic,
    Seconds,
    TrafficClass,
    TransactionId,
)
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Rejected,
    Unknown,
)
from sedgeshunt.statements.call import Access, CallKind, StatementCall
from sedgeshunt.statements.dispatch import Dispatcher, DispatchResult
from sedgeshunt.statements.records import StatementRecord, StatementRecorder
from sedgeshunt.statements.sites import CallSite
from sedgeshunt.statements.statement import (
    PreparedStatement,
    Statement,
    StatementKind,
)
from sedgeshunt.statements.waits import Waits, start_recording

MILLISECONDS = 1000
LOST_RETRY = Seconds(0.05)
# Recorded as the site of a call that ran nowhere.
NO_SITE = 'nowhere'
UNKNOWN_STATEMENT = 'no-statement'
MALFORMED = 'malformed'
NO_DATABASE = 'no-database'
NO_CUSTOMER = 'no-customer'
STOPPING_REASON = 'this proxy ended before an answer came'

_Outcome = Result[Answer, Refusal]
_DONE: _Outcome = Ok(Answer())


class CallerTransaction:
    """Hold a caller's transaction from BEGIN to its end."""

    def __init__(
        self,
        transaction: TransactionId,
        route: Route,
        identity: Identity,
        *,
        is_read_only: bool,
    ) -> None:
        """Start without a site, which the first statement chooses."""
        self.id = transaction
        # Kept even if the key is revoked before the transaction ends.
        self.identity = identity
        # Kept even if the route changes before the transaction ends.
        self.route = route
        self.is_read_only = is_read_only
        self.site: CallSite | None = None
        self.has_written = False


class StatementSession:
    """Run the statements of one caller's connection to one database."""

    def __init__(
        self,
        database: TrafficClass,
        key: KeyDigest,
        name: str,
        configuration: LiveConfiguration,
        dispatcher: Dispatcher,
        gate: CustomerGate,
        recorder: StatementRecorder,
    ) -> None:
        """Start without values, prepared statements and a transaction."""
        self.database = database
        # The session's key is no longer any customer's; no statement may run.
        self.is_key_revoked = False
        self._key = key
        self._name = name
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._gate = gate
        self._recorder = recorder
        self._values: dict[str, str] = {}
        self._prepared: dict[str, PreparedStatement] = {}
        self._commits: dict[GroupId, Point] = {}
        self._transaction: CallerTransaction | None = None
        # The transaction whose last statement was cancelled.
        self._abandoned: CallerTransaction | None = None
        self._transactions = TransactionTable()
        self._numbers = count(1)

    @property
    def phase(self) -> SessionPhase:
        """Return the session's phase: idle, or in a transaction."""
        if self._transaction is None:
            return SessionPhase.IDLE
        return SessionPhase.OPEN

    @property
    def in_transaction(self) -> bool:
        """Return whether the caller has a transaction open."""
        return self._transaction is not None

    async def answer(self, statement: Statement) -> _Outcome:
        """Run one statement and return its outcome."""
        kind = statement.kind
        if kind is StatementKind.BEGIN:
            return self._begin(statement)
        if kind in _SESSION_KINDS:
            return self._change_session(statement)
        if kind is StatementKind.ROLLBACK:
            return await self._roll_back()
        if kind is StatementKind.COMMIT:
            return await self._commit(statement)
        return await self._run(statement)

    def abandon(self, statement: Statement) -> Refusal:
        """Return the refusal of a statement whose run was cancelled.

        close() rolls its transaction back.
        """
        self._abandoned = self._transaction
        self._transaction = None
        if statement.kind is StatementKind.COMMIT:
            return Unknown(Cause.DEADLINE, STOPPING_REASON)
        if self._abandoned is not None:
            return NotRun(Cause.TRANSACTION_LOST, STOPPING_REASON, LOST_RETRY)
        prepared = self._prepared.get(statement.name)
        if _find_kind(statement, prepared) is CallKind.WRITE:
            return Unknown(Cause.DEADLINE, STOPPING_REASON)
        return NotRun(Cause.DEADLINE, STOPPING_REASON, LOST_RETRY)

    async def close(self) -> None:
        """Roll back open transactions after the caller disconnected."""
        await self._drop_transaction()
        await self._roll_back_at_site(self._abandoned)
        await self._transactions.roll_back_all()

    def _begin(self, statement: Statement) -> _Outcome:
        if self._transaction is not None:
            return _reject(MALFORMED, 'a transaction is open already')
        route = self._find_route()
        if route is None:
            return _reject(NO_DATABASE, f'no route leads to {self.database}')
        identity = self._configuration.identify(self._key, route)
        if identity is None:
            return self._reject_key()
        self._transaction = CallerTransaction(
            TransactionId(f'{self._name}.{next(self._numbers)}'),
            route,
            identity,
            is_read_only=statement.is_read_only,
        )
        return _DONE

    def _change_session(self, statement: Statement) -> _Outcome:
        name = statement.name
        if statement.kind is StatementKind.SET_VALUE:
            self._values[name] = statement.rest
        elif statement.prepared is not None:
            self._prepared[name] = statement.prepared
        elif self._prepared.pop(name, None) is None:
            return _reject(UNKNOWN_STATEMENT, f'no statement is named {name}')
        return _DONE

    async def _roll_back(self) -> _Outcome:
        await self._drop_transaction()
        return _DONE

    async def _commit(self, statement: Statement) -> _Outcome:
        transaction = self._transaction
        if transaction is None:
            return _reject(MALFORMED, 'no transaction is open')
        call = self._make_call(
            statement,
            transaction.route,
            transaction.identity,
            CallKind.COMMIT,
            None,
        )
        outcome = await self._send_in_transaction(transaction, call)
        self._transaction = None
        if transaction.has_written and isinstance(outcome, Ok):
            self._note_commit(call.group, outcome.ok_value)
        return outcome

    async def _run(self, statement: Statement) -> _Outcome:
        prepared = self._prepared.get(statement.name)
        if statement.kind is not StatementKind.EXECUTE:
            prepared = None
        elif prepared is None:
            return _reject(
                UNKNOWN_STATEMENT,
                f'no statement is named {statement.name}',
            )
        route = self._find_route()
        if route is None:
            return _reject(NO_DATABASE, f'no route leads to {self.database}')
        identity = self._find_identity(route)
        if identity is None:
            return self._reject_key()
        call = self._make_call(
            statement,
            route,
            identity,
            _find_kind(statement, prepared),
            prepared,
        )
        if self._transaction is not None:
            return await self._run_transaction_statement(
                self._transaction, call
            )
        return await self._run_single(call, route)

    def _find_route(self) -> Route | None:
        if self._transaction is not None:
            return self._transaction.route
        return self._configuration.find_route(self.database)

    def _find_identity(self, route: Route) -> Identity | None:
        if self._transaction is not None:
            return self._transaction.identity
        return self._configuration.identify(self._key, route)

    def _reject_key(self) -> _Outcome:
        self.is_key_revoked = True
        reason = f"the key {self._key} is no customer's; use one that is"
        return _reject(NO_CUSTOMER, reason)

    async def _run_single(self, call: StatementCall, route: Route) -> _Outcome:
        started_at = read_clock()
        deadline = _find_deadline(route)
        waits = start_recording()
        dispatched = await self._admit_and_run(call, deadline)
        outcome = dispatched.outcome
        self._record(call, dispatched, started_at, waits.finish())
        if call.kind is CallKind.WRITE and isinstance(outcome, Ok):
            self._note_commit(call.group, outcome.ok_value)
        return outcome

    async def _run_transaction_statement(
        self,
        transaction: CallerTransaction,
        call: StatementCall,
    ) -> _Outcome:
        transaction.has_written |= call.kind is CallKind.WRITE
        outcome = await self._send_in_transaction(transaction, call)
        if isinstance(outcome, Err):
            # The failure ends the transaction, of which nothing is kept; the
            # caller has to begin it again.
            self._transaction = None
            return Err(_convert_refusal(outcome.err_value))
        return outcome

    async def _send_in_transaction(
        self,
        transaction: CallerTransaction,
        call: StatementCall,
    ) -> _Outcome:
        started_at = read_clock()
        deadline = _find_deadline(transaction.route)
        waits = start_recording()
        if transaction.site is None:
            call = replace(call, begins=True)
            dispatched = await self._admit_and_run(call, deadline)
            transaction.site = dispatched.site
        else:
            dispatched = DispatchResult(
                await transaction.site.run_call(
                    call, self._transactions, deadline
                ),
                transaction.site,
            )
        self._record(call, dispatched, started_at, waits.finish())
        return dispatched.outcome

    async def _admit_and_run(
        self,
        call: StatementCall,
        deadline: Monotonic,
    ) -> DispatchResult:
        """Run an operation's first statement if its customer is admitted."""
        refusal = await self._gate.admit(call.identity)
        if refusal is not None:
            return DispatchResult(Err(refusal))
        return await self._dispatcher.run(call, self._transactions, deadline)

    def _record(
        self,
        call: StatementCall,
        dispatched: DispatchResult,
        started_at: Monotonic,
        waits: Waits,
    ) -> None:
        answer = dispatched.outcome.ok()
        self._recorder.record(
            StatementRecord(
                call.statement,
                self.database,
                call.group,
                call.kind.value,
                dispatched.outcome.err(),
                Seconds(read_clock() - started_at),
                call.objective_left,
                self._configuration.declared.version,
                NO_SITE if dispatched.site is None else dispatched.site.name,
                None if answer is None else answer.served_by,
                call.transaction,
                call.identity,
                waits,
            ),
        )

    def _make_call(
        self,
        statement: Statement,
        route: Route,
        identity: Identity,
        kind: CallKind,
        prepared: PreparedStatement | None,
    ) -> StatementCall:
        transaction = self._transaction
        group = self._configuration.find_group(route)
        return StatementCall(
            group,
            self._find_access(route, kind),
            kind,
            statement.id,
            statement.text,
            self.database,
            Seconds(route.deadline_ms / MILLISECONDS),
            Seconds(route.objective_ms / MILLISECONDS),
            route.priority,
            None if transaction is None else transaction.id,
            begins=False,
            is_read_only=transaction is not None and transaction.is_read_only,
            session_values=self._copy_values(),
            prepared=prepared,
            arguments=statement.rest,
            after=self._find_commit(route, group),
            max_age=Seconds(route.accepted_age_ms / MILLISECONDS),
            identity=identity,
        )

    def _copy_values(self) -> Mapping[str, str]:
        return dict(self._values)

    def _find_commit(self, route: Route, group: GroupId) -> Point | None:
        if route.consistency is Consistency.OWN_WRITES:
            return self._commits.get(group)
        return None

    def _find_access(self, route: Route, kind: CallKind) -> Access:
        transaction = self._transaction
        if route.consistency is Consistency.CURRENT:
            return Access.PRIMARY
        if transaction is not None:
            reads = transaction.is_read_only
        else:
            reads = kind is CallKind.READ
        return Access.REPLICA if reads else Access.PRIMARY

    def _note_commit(self, group: GroupId, answer: Answer) -> None:
        if answer.point is not None:
            self._commits[group] = answer.point

    async def _drop_transaction(self) -> None:
        transaction = self._transaction
        self._transaction = None
        await self._roll_back_at_site(transaction)

    async def _roll_back_at_site(
        self,
        transaction: CallerTransaction | None,
    ) -> None:
        if transaction is None or transaction.site is None:
            return
        await transaction.site.end_transaction(
            transaction.id, self._transactions
        )


_SESSION_KINDS = frozenset(
    (
        StatementKind.SET_VALUE,
        StatementKind.PREPARE,
        StatementKind.FORGET,
    ),
)


def _find_kind(
    statement: Statement,
    prepared: PreparedStatement | None,
) -> CallKind:
    writes = statement.kind is StatementKind.WRITE
    if prepared is not None:
        writes = prepared.writes
    return CallKind.WRITE if writes else CallKind.READ


def _find_deadline(route: Route) -> Monotonic:
    return Monotonic(read_clock() + route.deadline_ms / MILLISECONDS)


def _reject(kind: str, reason: str) -> Err[Refusal]:
    return Err(Rejected(0, kind, reason))


def _convert_refusal(refusal: Refusal) -> Refusal:
    if isinstance(refusal, NotRun) and refusal.cause is Cause.CUSTOMER_LIMIT:
        return refusal
    if isinstance(refusal, Unknown | NotRun):
        return NotRun(
            Cause.TRANSACTION_LOST,
            refusal.reason,
            LOST_RETRY,
            refusal.target,
        )
    return refusal
