"""Run statements at one target within its concurrency limit."""

from asyncio import Event, get_running_loop, timeout_at
from collections.abc import Awaitable, Callable
from typing import TypeVar

from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Target
from sedgeshunt.connections.idle_sessions import PooledSession
from sedgeshunt.connections.session_pool import (
    AcquiredSession,
    LogCheck,
    SessionPool,
)
from sedgeshunt.connections.target_session import (
    RefusalKind,
    SessionPhase,
    TargetRefusal,
    TargetReply,
    TargetSession,
    TargetSessionConnector,
)
from sedgeshunt.exceptions import StatementUnsendable, TargetGone, TargetLost
from sedgeshunt.execution.call_admission import CallAdmission
from sedgeshunt.execution.preparing import needs_preparing, prepare
from sedgeshunt.execution.transactions import (
    OpenTransaction,
    TransactionExecutor,
)
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.successors import is_truncated
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.limits.admission import TargetAdmission
from sedgeshunt.limits.concurrency import FixedConcurrency
from sedgeshunt.limits.permit import Permit
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Rejected,
    Unknown,
)
from sedgeshunt.statements.call import StatementCall
from sedgeshunt.statements.waits import WaitCause, measure_wait

LOST_RETRY = Seconds(0.1)
MALFORMED = RefusalKind.MALFORMED.value
# A slot is passed to the next statement once it has waited longer than both
# the minimum and this multiple of the mean latency: no statement is expected
# to take more than eight times the mean.
MIN_SLOT_TIMEOUT = Seconds(0.25)
SLOT_TIMEOUT_FACTOR = 8
# A transaction is rolled back when one of its statements takes longer than
# this multiple of the time left for its objective.
STATEMENT_TIMEOUT_FACTOR = 2


def _always_may_send() -> bool:
    return True


# None: the work found no connection.
Outcome = TypeVar('Outcome', bound=Result[Answer, Refusal] | None)

_CAUSES = {
    RefusalKind.BUSY: Cause.OVERLOAD,
    RefusalKind.TOO_MANY: Cause.OVERLOAD,
    RefusalKind.NO_STATEMENT: Cause.STATEMENT,
    RefusalKind.BEHIND: Cause.TOO_STALE,
    RefusalKind.READ_ONLY: Cause.SUPERSEDED,
    RefusalKind.WRONG_TARGET: Cause.CONNECTION_LOST,
}


# Failures of a setup message that another connection may not have.
_TRANSIENT_FAILURES = frozenset(
    (RefusalKind.FAILED, RefusalKind.TIMED_OUT, RefusalKind.NO_STATEMENT),
)


class TargetExecutor(LogCheck, TransactionExecutor):
    """Own the sessions with one target and the queue of its statements."""

    def __init__(
        self,
        target: Target,
        connector: TargetSessionConnector,
        max_connections: int,
        concurrency: int,
        *,
        is_primary: bool = False,
        may_send: Callable[[], bool] = _always_may_send,
    ) -> None:
        """Limit the open connections and the statements run at once.

        `may_send` returns whether statements may be sent at this moment.
        """
        self.target = target
        self._is_primary = is_primary
        self._may_send = may_send
        self.pool = SessionPool(
            connector, target, max_connections, concurrency, self
        )
        self.admission = TargetAdmission(
            target.name,
            max_connections,
            limit=FixedConcurrency(concurrency),
            counts_stalls=not is_primary,
        )
        self._calls = CallAdmission(self.admission)
        # The newest log end that the target is known to have.
        self.tip: Point | None = None
        # The newest log end in a reply. A target that was just promoted may
        # have received more than its replies include yet.
        self.shown: Point | None = None
        # When the target last replied, and when the oldest request was sent
        # since then.
        self.answered_at: Monotonic | None = None
        self.waiting_since: Monotonic | None = None
        self.failures = 0
        self.failed = Event()
        self.transactions: set[OpenTransaction] = set()
        # As far as this proxy knows, the target is no longer the primary. Its
        # later replies must not be passed on.
        self.is_abandoned = False
        # A new connection reported a log end before `shown`: the target has
        # restarted without its log.
        self.has_lost_log = False
        # It has refused a statement as a replica does.
        self.has_refused_write = False
        # Sessions whose current request can be retried elsewhere.
        self._retryable_sessions: set[PooledSession] = set()

    @property
    def slot_timeout(self) -> Seconds:
        """Return how long a statement keeps its slot without an answer."""
        usual = SLOT_TIMEOUT_FACTOR * self.admission.latency
        return Seconds(max(MIN_SLOT_TIMEOUT, usual))

    async def run_single(
        self,
        call: StatementCall,
        deadline: Monotonic,
        after: Point | None = None,
    ) -> Result[Answer, Refusal]:
        """Run one statement outside any transaction."""
        # The slot is taken first, so that the fair queue decides the order and
        # statements that wait hold no connections.
        arrived_at = read_clock()
        admitted = await self._calls.admit(call, deadline, arrived_at)
        if isinstance(admitted, Err):
            return admitted
        outcome = await self._run_with(
            admitted.ok_value,
            lambda: self._run_on_free(call, deadline, after, arrived_at),
        )
        if outcome is not None:
            return outcome
        return await self._run_connected(call, deadline, after, arrived_at)

    async def acquire(
        self,
        call: StatementCall,
        deadline: Monotonic,
        *,
        is_transaction: bool = False,
    ) -> Result[AcquiredSession, NotRun]:
        """Acquire a session for a call, or refuse if too many calls wait."""
        arrived_at = read_clock()
        if is_transaction:
            # Refusing a transaction later would waste its work.
            refusal = self._calls.find_refusal(call, deadline, arrived_at)
            if refusal is not None:
                return Err(refusal)
        acquired = await self.pool.acquire(
            call.session_values,
            deadline,
            prepared=call.prepared,
            customer=call.identity.customer,
            priority=call.priority,
            is_transaction=is_transaction,
            due=self._calls.find_due(call, deadline, arrived_at),
        )
        if isinstance(acquired, Err):
            self._note_unavailable(call, acquired.err_value)
        return acquired

    async def run_inside(
        self,
        session_handle: AcquiredSession,
        call: StatementCall,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run one statement of the transaction open on `session_handle`."""
        # Refusing a statement in the middle of a transaction rolls it back, and
        # the retry repeats all its work, which prolongs an overload. Statements
        # of open transactions are therefore admitted; their number and wait are
        # bounded by the number of connections.
        admitted = await self._calls.admit(
            call, deadline, read_clock(), is_begun=True
        )
        if isinstance(admitted, Err):
            return admitted
        if call.begins:
            # The wait of a transaction is that for its connection and its
            # first slot. The first alone is short while statements queue for
            # slots and would end a standing queue.
            self._calls.note_wait(call, session_handle.requested_at)
        return await self._run_with(
            admitted.ok_value,
            lambda: self._run_on(session_handle, call, deadline, None),
        )

    async def _run_on_free(
        self,
        call: StatementCall,
        deadline: Monotonic,
        after: Point | None,
        arrived_at: Monotonic,
    ) -> Result[Answer, Refusal] | None:
        """Run a call that has a slot; None if no connection is free."""
        acquired = await self.pool.acquire_free(
            call.session_values,
            deadline,
            prepared=call.prepared,
            customer=call.identity.customer,
        )
        if isinstance(acquired, Err):
            self._note_unavailable(call, acquired.err_value)
            return acquired
        if acquired.ok_value is None:
            return None
        self._calls.note_wait(call, arrived_at)
        async with acquired.ok_value as session_handle:
            return await self._run_on(session_handle, call, deadline, after)

    async def _run_connected(
        self,
        call: StatementCall,
        deadline: Monotonic,
        after: Point | None,
        arrived_at: Monotonic,
    ) -> Result[Answer, Refusal]:
        # Fewer connections than slots are free for single statements, as the
        # share is small or the target refuses more. A statement that kept its
        # slot while waiting for a connection could block the transactions that
        # must finish to free one. It returns the slot, waits for a connection
        # and then for a slot again, as transactions do.
        acquired = await self.acquire(call, deadline)
        if isinstance(acquired, Err):
            return acquired
        async with acquired.ok_value as session_handle:
            admitted = await self._calls.admit(
                call, deadline, arrived_at, is_begun=True
            )
            if isinstance(admitted, Err):
                return admitted
            self._calls.note_wait(call, arrived_at)
            return await self._run_with(
                admitted.ok_value,
                lambda: self._run_on(session_handle, call, deadline, after),
            )

    async def _run_with(
        self,
        permit: Permit,
        work: Callable[[], Awaitable[Outcome]],
    ) -> Outcome:
        started = read_clock()
        # If a target ran the statement and its answer was lost, the target is
        # free long before this statement's deadline. The timer passes the slot
        # on to the next statement.
        timer = get_running_loop().call_later(self.slot_timeout, permit.cancel)
        try:
            outcome = await work()
            if isinstance(outcome, Ok):
                permit.release(Seconds(read_clock() - started), ok=True)
            return outcome
        finally:
            timer.cancel()
            # The time to a refusal or an error must not count as a latency
            # sample. A permit that was released stays so.
            permit.cancel()

    def _note_unavailable(self, call: StatementCall, refusal: NotRun) -> None:
        self.record_connection_failure(refusal)
        self._calls.note_refused(call, refusal)

    async def _run_on(
        self,
        session_handle: AcquiredSession,
        call: StatementCall,
        deadline: Monotonic,
        after: Point | None,
    ) -> Result[Answer, Refusal]:
        session = session_handle.session
        if needs_preparing(session, call):
            prepared = await self._send_setup(
                session,
                lambda: prepare(session, call),
                deadline,
            )
            if isinstance(prepared, Err):
                return prepared
        if call.transaction is not None and not call.is_irreversible:
            # An early timeout leaves time to begin the transaction again.
            statement_timeout = max(
                MIN_SLOT_TIMEOUT, STATEMENT_TIMEOUT_FACTOR * call.objective_left
            )
            deadline = Monotonic(
                min(deadline, read_clock() + statement_timeout)
            )
        if self.is_abandoned or not self._may_send():
            return Err(self._refuse_unsent())
        reply = await self.send_request(
            session,
            lambda: self._send(session, call, after),
            deadline,
            is_retryable=not call.is_irreversible,
        )
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.lacks_statement:
            # The target has lost a statement that was prepared here.
            session.invalidate()
        return self._convert_reply(reply.ok_value)

    async def begin(
        self,
        session_handle: AcquiredSession,
        *,
        is_read_only: bool,
        deadline: Monotonic,
        after: Point | None = None,
    ) -> Result[Answer, Refusal]:
        """Open a transaction on an acquired session."""
        session = session_handle.session
        begun = await self._send_setup(
            session,
            lambda: session.connection.begin(
                is_read_only=is_read_only, after=after
            ),
            deadline,
        )
        if isinstance(begun, Err):
            return begun
        if session.phase is not SessionPhase.OPEN:
            session.invalidate()
            return Err(self._refuse_setup('it has not begun the transaction'))
        return self._convert_reply(begun.ok_value)

    async def roll_back(
        self, session_handle: AcquiredSession, deadline: Monotonic
    ) -> None:
        """Roll back the transaction of an acquired session.

        If that fails, the session is not clean and gets closed.
        """
        session = session_handle.session
        rolled_back = await self._send_setup(
            session, session.connection.roll_back, deadline
        )
        if isinstance(rolled_back, Err):
            session.invalidate()

    async def _send_setup(
        self,
        session: PooledSession,
        send: Callable[[], Awaitable[TargetReply]],
        deadline: Monotonic,
    ) -> Result[TargetReply, Refusal]:
        """Send messages that no caller asked for, such as RESET and BEGIN.

        If they fail, no statement of a caller has run.
        """
        reply = await self.send_request(
            session, send, deadline, is_retryable=True
        )
        if isinstance(reply, Err):
            return reply
        refusal = reply.ok_value.refusal
        if refusal is None:
            return reply
        if not refusal.kind.keeps_session:
            # The message may have taken effect. Other callers' statements
            # would run with session values that are not theirs.
            session.invalidate()
        if refusal.kind in _TRANSIENT_FAILURES:
            return Err(self._refuse_setup(refusal.reason))
        return Err(self._convert_refusal(refusal))

    def _refuse_unsent(self) -> NotRun:
        name = self.target.name
        return NotRun(
            Cause.SUPERSEDED,
            f'target {name}: it was given up before the statement was sent',
            LOST_RETRY,
            name,
        )

    def _refuse_setup(self, reason: str) -> NotRun:
        name = self.target.name
        return NotRun(
            Cause.NO_TARGET,
            f'target {name}: no connection could be set up ({reason})',
            LOST_RETRY,
            name,
        )

    async def send_request(
        self,
        session: PooledSession,
        send: Callable[[], Awaitable[TargetReply]],
        deadline: Monotonic,
        *,
        is_retryable: bool,
    ) -> Result[TargetReply, Refusal]:
        """Send a request and wait for its whole reply.

        A failed request that is retryable counts as not run.
        """
        session.is_pending = True
        waiting_since = self.waiting_since
        if waiting_since is None:
            self.waiting_since = read_clock()
        if is_retryable:
            self._retryable_sessions.add(session)
        try:
            async with timeout_at(deadline):
                with measure_wait(WaitCause.TARGET):
                    reply = await send()
        except StatementUnsendable as unsendable:
            session.is_pending = False
            self.waiting_since = waiting_since
            return Err(Rejected(0, MALFORMED, str(unsendable)))
        except TargetLost as lost:
            is_unsent = isinstance(lost, TargetGone)
            return self._fail(
                Cause.CONNECTION_LOST,
                lost,
                is_retryable=is_unsent or is_retryable,
            )
        except TimeoutError as late:
            return self._fail(Cause.DEADLINE, late, is_retryable=is_retryable)
        finally:
            self._retryable_sessions.discard(session)
        session.is_pending = False
        session.phase = reply.phase
        self._note_answer(reply)
        return Ok(reply)

    def has_kept_log(self, seen: Point | None, session: TargetSession) -> bool:
        """Return whether a new session's log reaches the point `seen`."""
        if not self._is_primary or not is_truncated(session.point, seen):
            return True
        self.has_lost_log = True
        self.failed.set()
        return False

    def resize(self, max_connections: int, concurrency: int) -> None:
        """Change the limits of open connections and running statements."""
        self.pool.resize(max_connections, concurrency)
        self.admission.resize(concurrency)

    def has_free_slot(self, call: StatementCall, max_running: float) -> bool:
        """Return whether a call could run at once beside others.

        At most `max_running` statements may run, the call included.
        """
        is_transaction = call.transaction is not None
        has_connection = self.pool.has_room(is_transaction=is_transaction)
        has_slot = self.admission.has_room()
        return (
            has_connection and has_slot and self.admission.running < max_running
        )

    def has_spare_capacity(self, call: StatementCall) -> bool:
        """Return whether a call could run with half of the slots in use."""
        return self.has_free_slot(call, self.admission.limit.value / 2)

    def is_busy(self) -> bool:
        """Return whether statements wait or run, or sessions are in use."""
        waiting = self.admission.queued + self.admission.running
        return waiting + self.pool.acquired_count + len(self.transactions) > 0

    async def abort_idle(self, limit: Seconds) -> None:
        """Abort transactions that ran no statement for `limit`."""
        before = read_clock() - limit
        for transaction in tuple(self.transactions):
            if not transaction.is_busy and transaction.used_at < before:
                await transaction.abort()

    async def abandon(self, *, is_lost: bool) -> None:
        """Start no more work and abort transactions without a statement.

        With `is_lost`, retryable requests fail at once and can be retried
        elsewhere.
        """
        self.is_abandoned = True
        self.admission.close()
        await self.pool.close()
        if is_lost:
            for session in tuple(self._retryable_sessions):
                await session.connection.close()
        for transaction in tuple(self.transactions):
            # A running statement may still be answered; the connection is
            # closed at its end.
            if not transaction.is_busy:
                await transaction.abort()

    async def close(self) -> None:
        """Close all sessions."""
        self.admission.close()
        await self.pool.close()

    async def _send(
        self,
        session: PooledSession,
        call: StatementCall,
        after: Point | None,
    ) -> TargetReply:
        connection = session.connection
        if call.prepared is None:
            return await connection.run(call.statement, call.text, after)
        return await connection.execute(
            call.statement,
            call.prepared,
            call.arguments,
            after,
        )

    def _convert_reply(self, reply: TargetReply) -> Result[Answer, Refusal]:
        refusal = reply.refusal
        if refusal is None:
            return Ok(
                Answer(
                    rows=[(row,) for row in reply.rows],
                    point=reply.point,
                    served_by=self.target.name,
                    signature=reply.signature,
                ),
            )
        return Err(self._convert_refusal(refusal))

    def _convert_refusal(self, refusal: TargetRefusal) -> Refusal:
        if refusal.kind.proves_not_run:
            return NotRun(
                _CAUSES[refusal.kind],
                f'target {self.target.name}: {refusal.reason}',
                LOST_RETRY,
                self.target.name,
            )
        return Rejected(0, refusal.kind.value, refusal.reason)

    def _note_answer(self, reply: TargetReply) -> None:
        self.answered_at = read_clock()
        self.waiting_since = None
        self.failures = 0
        refusal = reply.refusal
        if refusal is not None and refusal.kind is RefusalKind.READ_ONLY:
            self.has_refused_write = True
        if reply.point is None:
            return
        self.shown = _find_later(self.shown, reply.point)
        self.tip = _find_later(self.tip, reply.point)

    def record_connection_failure(self, refusal: NotRun) -> None:
        """Count a failed acquisition if the target was unreachable."""
        if refusal.cause is Cause.CONNECTION_LOST:
            self.failures += 1
            self.failed.set()

    def _fail(
        self,
        cause: Cause,
        error: Exception,
        *,
        is_retryable: bool,
    ) -> Err[Refusal]:
        name = self.target.name
        reason = f'target {name}: {error or "no answer in time"}'
        self.failures += 1
        self.failed.set()
        if is_retryable:
            return Err(NotRun(cause, reason, LOST_RETRY, name))
        return Err(Unknown(cause, reason, name))


def _find_later(known: Point | None, point: Point) -> Point:
    return point if known is None else max(known, point)
