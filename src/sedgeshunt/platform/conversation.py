"""Serve one caller's connection, one statement at a time."""

from asyncio import (
    StreamReader,
    StreamWriter,
    Timeout,
    timeout,
    timeout_at,
)
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum

from result import Err, Ok, Result

from sedgeshunt.adapters.sockets import watch_silence
from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import SessionPhase
from sedgeshunt.customers.directory import digest_key
from sedgeshunt.identifiers import (
    KeyDigest,
    Monotonic,
    Seconds,
    StatementId,
    TrafficClass,
)
from sedgeshunt.platform.lines import (
    MessageInvalid,
    MessageMalformed,
    MessageTooLong,
    make_lines,
    read_line,
    shorten_reason,
    split_line,
)
from sedgeshunt.platform.refusals import UNKNOWN_CODE, name_refusal
from sedgeshunt.platform.statements import parse_statement
from sedgeshunt.requests.outcome import Answer, Refusal, Rejected
from sedgeshunt.statements.session import StatementSession
from sedgeshunt.statements.statement import Statement

NO_SIGNATURE = '-'
NO_POINT = '-'
# Time for a caller to close its session when asked to.
CLOSE_LIMIT = Seconds(2)
# Time for a caller to read the final error before the connection is closed.
LAST_READ_LIMIT = Seconds(0.5)
READ_SIZE = 64 * 1024
STOPPING_REASON = 'this proxy is shutting down; connect again to reach another'
REVOKED_REASON = "the key is no customer's any more; connect with one that is"
_PHASES = {
    SessionPhase.IDLE: 'I',
    SessionPhase.OPEN: 'T',
    SessionPhase.FAILED: 'E',
}

_READY = ('READY', 'I', NO_POINT)

OpenSession = Callable[
    [TrafficClass, KeyDigest],
    Awaitable[Result[StatementSession, Rejected]],
]
Messages = list[tuple[str, ...]]


class SessionEnd(Enum):
    """Tell how a session ended."""

    # The caller left or was refused.
    CLOSED = 'closed'
    # The caller disconnected while its statement ran.
    ABANDONED = 'abandoned'
    # The proxy asked the caller to close it.
    DRAINED = 'drained'
    # The proxy ended the session without answering its statement.
    CUT = 'cut'


class _Interrupted(Exception):
    """Signal that the wait for a message ended before one arrived."""


class CallerConversation:
    """Serve the connection of one caller, one statement at a time."""

    # Only the task in run() decides between reading, answering and refusing.
    # The other methods set flags and wake it: a statement may have arrived in
    # the same moment, and whoever judges from outside would refuse it while
    # the task goes on to run it.

    def __init__(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        open_session: OpenSession,
    ) -> None:
        """Take over an accepted connection."""
        # The statement that is being answered, and since when.
        self.statement: StatementId | None = None
        self.answering_since = Monotonic(0)
        self._reader = reader
        self._writer = writer
        self._open_session = open_session
        self._session: StatementSession | None = None
        self._is_stopping = False
        self._is_aborting = False
        self._is_drained = False
        # The wait for the next message; None while a statement is answered.
        self._reading: Timeout | None = None
        # What has to end by the deadline.
        self._bounded: Timeout | None = None
        self._deadline: Monotonic | None = None

    def find_end(self) -> SessionEnd:
        """Return how the session ended."""
        if self.statement is not None:
            return SessionEnd.ABANDONED
        if self._is_drained:
            return SessionEnd.DRAINED
        return SessionEnd.CLOSED

    def stop(self) -> None:
        """End the session once no statement or transaction is open."""
        self._is_stopping = True
        self._interrupt()

    def stop_if_idle(self) -> None:
        """End the session if no statement or transaction is open."""
        if self._reading is not None and not self._is_open():
            self.stop()

    def abort(self) -> None:
        """End the session once no statement runs; roll back a transaction."""
        self._is_aborting = True
        self._interrupt()

    def finish_by(self, deadline: Monotonic) -> None:
        """Answer the running statement and any later one by `deadline`."""
        self._deadline = deadline
        _reschedule(self._bounded, deadline)

    async def run(self) -> None:
        """Serve until the caller or the proxy ends the session."""
        watch_silence(self._writer)
        with suppress(OSError):
            try:
                await self._serve()
            except MessageTooLong as failure:
                await self._end_with('TOOBIG', str(failure))
            except MessageMalformed as failure:
                await self._end_with('MALFORMED', str(failure))
            finally:
                if self._session is not None:
                    await self._session.close()

    async def _serve(self) -> None:
        session = await self._start()
        if session is None:
            return
        while (query := await self._receive_query()) is not None:
            await self._answer(session, query)
            if session.is_key_revoked:
                await self._drain('NOAUTH', REVOKED_REASON)
                return
        if self._must_close():
            code = 'ABORTED' if self._is_open() else 'BUSY'
            await self._drain(code, STOPPING_REASON)

    async def _start(self) -> StatementSession | None:
        try:
            line = await self._receive()
        except _Interrupted:
            await self._end_with('BUSY', STOPPING_REASON)
            return None
        if line is None:
            return None
        opened = await self._open_session(*parse_start(line))
        if isinstance(opened, Err):
            await self._end_with(*name_refusal(opened.err_value))
            return None
        session = opened.ok_value
        self._session = session
        await self._send(make_lines([_READY]))
        return session

    async def _receive_query(self) -> str | None:
        """Return the next statement, None if the session is to end."""
        while not self._must_close():
            with suppress(_Interrupted):
                return _read_query(await self._receive())
        return None

    async def _receive(self) -> str | None:
        """Return the next message, None at end of stream."""
        if self._must_close():
            raise _Interrupted
        reading = timeout(None)
        try:
            async with reading:
                self._reading = reading
                return await read_line(self._reader)
        except TimeoutError:
            if reading.expired():
                raise _Interrupted from None
            raise
        finally:
            self._reading = None

    def _interrupt(self) -> None:
        _reschedule(self._reading, read_clock())

    def _must_close(self) -> bool:
        return self._is_aborting or (self._is_stopping and not self._is_open())

    def _is_open(self) -> bool:
        return self._session is not None and self._session.in_transaction

    async def _drain(self, code: str, reason: str) -> None:
        """Ask the caller to close the session; refuse further statements."""
        self._is_drained = True
        # Callers close their session at an unsolicited error. A caller that
        # sent a statement meanwhile takes the error as its answer, which ends
        # with READY.
        close_request = ('ERROR', code, reason)
        await self._send(make_lines([close_request]))
        if self._session is not None:
            await self._session.close()
        closing = timeout_at(self._deadline or read_clock() + CLOSE_LIMIT)
        self._bounded = closing
        try:
            async with closing:
                while _read_query(await read_line(self._reader)) is not None:
                    await self._send(make_lines([_READY, close_request]))
        except TimeoutError:
            if not closing.expired():
                raise
        finally:
            self._bounded = None

    async def _end_with(self, code: str, reason: str) -> None:
        """Send a final error and close once the caller has read it."""
        # Closing with unread bytes would reset the connection, and the caller
        # could lose the error.
        await self._send(make_lines([_make_error(code, reason)]))
        with suppress(TimeoutError):
            async with timeout(LAST_READ_LIMIT):
                self._writer.write_eof()
                is_open = True
                while is_open:
                    is_open = bool(await self._reader.read(READ_SIZE))

    async def _answer(self, session: StatementSession, query: str) -> None:
        name, text = split_line(query, 1)
        self.statement = StatementId(name)
        self.answering_since = read_clock()
        messages: Messages
        try:
            statement = parse_statement(self.statement, text)
        except MessageMalformed as malformed:
            messages = [_make_error('MALFORMED', str(malformed))]
        else:
            messages = _list_messages(await self._run(session, statement))
        ready = ('READY', _PHASES[session.phase], NO_POINT)
        await self._send(_encode_answer(messages, ready))
        self.statement = None

    async def _run(
        self,
        session: StatementSession,
        statement: Statement,
    ) -> Result[Answer, Refusal]:
        running = timeout_at(self._deadline)
        self._bounded = running
        try:
            async with running:
                return await session.answer(statement)
        except TimeoutError:
            if not running.expired():
                raise
        finally:
            self._bounded = None
        # Ends the session, which rolls a transaction back.
        self._is_aborting = True
        return Err(session.abandon(statement))

    async def _send(self, encoded: bytes) -> None:
        if self._writer.is_closing():
            raise ConnectionResetError
        self._writer.write(encoded)
        await self._writer.drain()


def parse_start(line: str) -> tuple[TrafficClass, KeyDigest]:
    """Return the database and the key digest; raise MessageMalformed."""
    word, database, key = split_line(line, 2)
    if word != 'START' or not database:
        raise MessageMalformed('a session begins with START')
    return TrafficClass(database), digest_key(key)


def _read_query(line: str | None) -> str | None:
    """Return a message's statement, None if the caller closes."""
    if line is None:
        return None
    word, rest = split_line(line, 1)
    if word == 'CLOSE':
        return None
    if word != 'QUERY':
        raise MessageMalformed(f'"{word[:20]}" is no message')
    return rest


def _reschedule(bounded: Timeout | None, deadline: Monotonic) -> None:
    if bounded is not None and not bounded.expired():
        bounded.reschedule(deadline)


def _list_messages(outcome: Result[Answer, Refusal]) -> Messages:
    if isinstance(outcome, Ok):
        answer = outcome.ok_value
        rows = [('ROW', str(row[0])) for row in answer.rows]
        return [*rows, ('COMPLETE', answer.signature or NO_SIGNATURE)]
    return [_make_error(*name_refusal(outcome.err_value))]


def _encode_answer(messages: Messages, ready: tuple[str, ...]) -> bytes:
    try:
        return make_lines([*messages, ready])
    except MessageInvalid as failure:
        # The statement may have run, although its answer can't be passed on.
        return make_lines([_make_error(UNKNOWN_CODE, str(failure)), ready])


def _make_error(code: str, reason: str) -> tuple[str, ...]:
    return ('ERROR', code, shorten_reason(reason))
