"""Accept connections of callers and serve their protocol."""

from asyncio import (
    CancelledError,
    Server,
    StreamReader,
    StreamWriter,
    Task,
    current_task,
    sleep,
    start_server,
    timeout,
    wait,
)
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum

from result import Err, Ok, Result

from sedgeshunt.adapters.sockets import watch_silence
from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import SessionPhase
from sedgeshunt.customers.directory import digest_key
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.identifiers import (
    KeyDigest,
    Monotonic,
    Seconds,
    StatementId,
    TrafficClass,
)
from sedgeshunt.platform.lines import (
    MAX_MESSAGE_BYTES,
    MessageMalformed,
    MessageTooLong,
    make_line,
    make_lines,
    read_line,
    split_line,
)
from sedgeshunt.platform.refusals import name_refusal
from sedgeshunt.platform.statements import parse_statement
from sedgeshunt.ports import Address
from sedgeshunt.requests.outcome import Answer, Refusal, Rejected
from sedgeshunt.statements.session import StatementSession

NO_SIGNATURE = '-'
# Time for a caller to read the final error before the connection is closed;
# one network trip takes 3 ms.
CLOSE_DELAY = Seconds(0.2)
# Rejections of callers over the limit that may be pending at the same time.
# Each holds a descriptor; connections beyond this number are aborted.
MAX_PENDING_REJECTIONS = 40
# Time for the first message of a rejected caller; one network trip takes 3 ms.
REJECTION_TIMEOUT = Seconds(0.5)
STOPPING_REASON = 'this proxy is shutting down; connect again to reach another'
CALLER_LIMIT_REASON = (
    'this proxy serves all callers that it can; connect to another'
)
NO_POINT = '-'
MILLISECONDS = 1000
_PHASES = {
    SessionPhase.IDLE: 'I',
    SessionPhase.OPEN: 'T',
    SessionPhase.FAILED: 'E',
}

OpenSession = Callable[
    [TrafficClass, KeyDigest],
    Awaitable[Result[StatementSession, Rejected]],
]


class SessionEnd(Enum):
    """Tell how a session ended."""

    # The caller left or was refused.
    CLOSED = 'closed'
    # The caller disconnected while its statement ran.
    ABANDONED = 'abandoned'
    # The proxy asked the caller to leave.
    DISMISSED = 'dismissed'
    # The proxy ended the session without answering its statement.
    CUT = 'cut'


class CallerServer:
    """Serve the connections of all callers."""

    def __init__(
        self,
        address: Address,
        max_callers: int,
        open_session: OpenSession,
        decisions: DecisionLog,
    ) -> None:
        """Serve at most `max_callers` callers at the same time."""
        self.address = address
        self._max_callers = max_callers
        self._open_session = open_session
        self._decisions = decisions
        # The sessions that have ended, by cause.
        self._ends: Counter[SessionEnd] = Counter()
        self._server: Server | None = None
        self._conversations: dict[Task[None], CallerConversation] = {}
        self._pending_rejections = 0

    async def start(self) -> None:
        """Start to listen; raise OSError."""
        self._server = await start_server(
            self._serve,
            self.address.host,
            self.address.port,
            limit=MAX_MESSAGE_BYTES,
            backlog=512,
        )

    def count_open(self) -> int:
        """Return the number of connected callers."""
        return len(self._conversations)

    def count_ends(self) -> dict[str, int]:
        """Return the number of sessions that have ended, by cause."""
        return {end.value: ended for end, ended in self._ends.items()}

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def end_sessions(self, limit: Seconds) -> None:
        """End each session once it is idle; wait at most `limit` seconds."""
        for conversation in self._conversations.values():
            conversation.stop()
        if self._conversations:
            await wait(tuple(self._conversations), timeout=limit)

    def end_idle_sessions(self) -> None:
        """End the sessions that are idle now; keep accepting connections."""
        for conversation in tuple(self._conversations.values()):
            conversation.close_if_idle()

    async def abort(self, limit: Seconds) -> None:
        """Roll back open transactions and let running statements finish.

        Cancel what still runs after `limit` seconds.
        """
        for conversation in self._conversations.values():
            conversation.abort()
        tasks = tuple(self._conversations)
        if tasks:
            await wait(tasks, timeout=limit)
        for task in tasks:
            task.cancel()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        if len(self._conversations) >= self._max_callers:
            # Otherwise no descriptor would be left to connect to targets.
            await self._reject(reader, writer)
            return
        conversation = CallerConversation(reader, writer, self._open_session)
        task = current_task()
        if task is not None:
            self._conversations[task] = conversation
        try:
            await conversation.run()
        except CancelledError:
            self._record_cut(conversation)
            raise
        else:
            self._ends[conversation.find_end()] += 1
        finally:
            writer.close()
            if task is not None:
                self._conversations.pop(task, None)

    def _record_cut(self, conversation: 'CallerConversation') -> None:
        if conversation.statement is None:
            self._ends[SessionEnd.DISMISSED] += 1
            return
        self._ends[SessionEnd.CUT] += 1
        spent = read_clock() - conversation.answering_since
        reasons = {
            'statement': conversation.statement,
            'spent_ms': f'{spent * MILLISECONDS:.1f}',
        }
        self._decisions.record(
            Decision(DecisionKind.SESSION_CUT, reasons=reasons)
        )

    async def _reject(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        if self._pending_rejections >= MAX_PENDING_REJECTIONS:
            writer.transport.abort()
            return
        self._pending_rejections += 1
        # Closing with the first message unread would reset the connection,
        # and the caller could lose the error.
        with suppress(OSError, TimeoutError, MessageTooLong, MessageMalformed):
            async with timeout(REJECTION_TIMEOUT):
                await read_line(reader)
        self._pending_rejections -= 1
        writer.write(make_line('ERROR', 'TOOMANY', CALLER_LIMIT_REASON))
        writer.close()


class _CloseRequested(Exception):
    """Signal that the wait for the next message must end."""


class CallerConversation:
    """Serve the connection of one caller, one statement at a time."""

    def __init__(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        open_session: OpenSession,
    ) -> None:
        """Take over an accepted connection."""
        self._reader = reader
        self._writer = writer
        self._open_session = open_session
        self._session: StatementSession | None = None
        self._is_stopping = False
        self._is_aborting = False
        # True while it waits for the next message and no statement runs.
        self._is_waiting = False
        # The statement that is being answered, and since when.
        self.statement: StatementId | None = None
        self.answering_since = Monotonic(0)
        self._is_dismissed = False

    def find_end(self) -> SessionEnd:
        """Return how the session ended."""
        if self.statement is not None:
            return SessionEnd.ABANDONED
        if self._is_dismissed:
            return SessionEnd.DISMISSED
        return SessionEnd.CLOSED

    def stop(self) -> None:
        """End the session once no statement or transaction is open."""
        self._is_stopping = True
        self.close_if_idle()

    def close_if_idle(self) -> None:
        """End the session if no statement or transaction is open."""
        if self._is_waiting and not self._is_open():
            self._request_close()

    def abort(self) -> None:
        """End the session once no statement runs; roll back a transaction."""
        self._is_aborting = True
        if self._is_waiting:
            self._request_close()

    def _is_open(self) -> bool:
        return self._session is not None and self._session.in_transaction

    def _request_close(self) -> None:
        # Callers treat an unsolicited error as a request to close. If a
        # statement is sent at the same time, the caller takes the error as its
        # answer, which is correct: no statement runs afterwards.
        self._is_dismissed = True
        code = 'ABORTED' if self._is_open() else 'BUSY'
        self._write_error(code, STOPPING_REASON)
        self._reader.set_exception(_CloseRequested())

    async def run(self) -> None:
        """Serve until the caller or the proxy ends the session."""
        watch_silence(self._writer)
        with suppress(OSError):
            try:
                await self._serve()
            except _CloseRequested:
                # Closing at once could reset the connection, and the caller
                # could lose the error.
                await sleep(CLOSE_DELAY)
            except MessageTooLong as failure:
                self._write_error('TOOBIG', str(failure))
            except MessageMalformed as failure:
                self._write_error('MALFORMED', str(failure))
            finally:
                if self._session is not None:
                    await self._session.close()

    async def _serve(self) -> None:
        session = await self._start()
        if session is None:
            return
        while (line := await self._read_message()) is not None:
            word, rest = split_line(line, 1)
            if word == 'CLOSE':
                return
            if word != 'QUERY':
                raise MessageMalformed(f'"{word[:20]}" is no message')
            await self._answer(session, rest)
            if session.is_key_revoked:
                return

    async def _read_message(self) -> str | None:
        if self._must_close():
            self._request_close()
        self._is_waiting = True
        try:
            return await read_line(self._reader)
        finally:
            self._is_waiting = False

    def _must_close(self) -> bool:
        return self._is_aborting or (self._is_stopping and not self._is_open())

    async def _start(self) -> StatementSession | None:
        line = await read_line(self._reader)
        if line is None:
            return None
        opened = await self._open_session(*parse_start(line))
        if isinstance(opened, Err):
            self._write_error(*name_refusal(opened.err_value))
            return None
        session = opened.ok_value
        self._session = session
        await self._send(make_line('READY', 'I', NO_POINT))
        return session

    async def _answer(
        self,
        session: StatementSession,
        query: str,
    ) -> None:
        name, text = split_line(query, 1)
        self.statement = StatementId(name)
        self.answering_since = read_clock()
        messages: list[tuple[str, ...]]
        try:
            statement = parse_statement(StatementId(name), text)
        except MessageMalformed as malformed:
            messages = [('ERROR', 'MALFORMED', str(malformed))]
        else:
            outcome = await session.answer(statement)
            messages = _encode_outcome(outcome)
        messages.append(('READY', _PHASES[session.phase], NO_POINT))
        await self._send(make_lines(messages))
        self.statement = None

    async def _send(self, data: bytes) -> None:
        if self._writer.is_closing():
            raise ConnectionResetError
        self._writer.write(data)
        await self._writer.drain()

    def _write_error(self, code: str, reason: str) -> None:
        if not self._writer.is_closing():
            self._writer.write(make_line('ERROR', code, reason))


def parse_start(line: str) -> tuple[TrafficClass, KeyDigest]:
    """Return the database and the key digest; raise MessageMalformed."""
    word, database, key = split_line(line, 2)
    if word != 'START' or not database:
        raise MessageMalformed('a session begins with START')
    return TrafficClass(database), digest_key(key)


def _encode_outcome(
    outcome: Result[Answer, Refusal],
) -> list[tuple[str, ...]]:
    if isinstance(outcome, Ok):
        answer = outcome.ok_value
        rows = [('ROW', str(row[0])) for row in answer.rows]
        return [*rows, ('COMPLETE', answer.signature or NO_SIGNATURE)]
    code, reason = name_refusal(outcome.err_value)
    return [('ERROR', code, reason)]
