"""Let the platform's callers in and speak their protocol."""

from asyncio import (
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
from collections.abc import Awaitable, Callable
from contextlib import suppress

from result import Err, Ok, Result

from sedgeshunt.adapters.sockets import watch_silence
from sedgeshunt.connections.target_session import SessionPhase
from sedgeshunt.customers.directory import digest_key
from sedgeshunt.identifiers import (
    KeyDigest,
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
# Time for a caller to read the last words, in seconds; a way takes 3 ms.
LINGER = Seconds(0.2)
# Callers over the limit that are told so at once, a descriptor each; more are
# cut off. A caller's first message takes a way of 3 ms.
MOST_TURNED_AWAY = 40
TURN_AWAY_LIMIT = Seconds(0.5)
STOPPING = 'this proxy is shutting down; connect again to reach another'
FULL = 'this proxy serves all callers that it can; connect to another'
NO_POINT = '-'
_PHASES = {
    SessionPhase.IDLE: 'I',
    SessionPhase.OPEN: 'T',
    SessionPhase.FAILED: 'E',
}

OpenSession = Callable[
    [TrafficClass, KeyDigest],
    Awaitable[Result[StatementSession, Rejected]],
]


class CallerServer:
    """Serve the connections of all callers."""

    def __init__(
        self,
        address: Address,
        most: int,
        open_session: OpenSession,
    ) -> None:
        """Open the sessions of at most `most` callers at once."""
        self.address = address
        self._most = most
        self._open_session = open_session
        self._server: Server | None = None
        self._conversations: dict[Task[None], CallerConversation] = {}
        self._turned_away = 0

    async def start(self) -> None:
        """Listen; raise OSError."""
        self._server = await start_server(
            self._serve,
            self.address.host,
            self.address.port,
            limit=MAX_MESSAGE_BYTES,
            backlog=512,
        )

    def count_open(self) -> int:
        """Count the callers that are connected."""
        return len(self._conversations)

    def close(self) -> None:
        """Let nobody in any more."""
        if self._server is not None:
            self._server.close()

    async def end_sessions(self, patience: Seconds) -> None:
        """End each session once nothing is under way, within `patience`."""
        for conversation in self._conversations.values():
            conversation.stop()
        if self._conversations:
            await wait(tuple(self._conversations), timeout=patience)

    def end_idle_sessions(self) -> None:
        """End the sessions with nothing under way; others may follow them."""
        for conversation in tuple(self._conversations.values()):
            conversation.close_if_idle()

    async def abort(self, patience: Seconds) -> None:
        """Undo the transactions that are left; let statements finish."""
        for conversation in self._conversations.values():
            conversation.abort()
        tasks = tuple(self._conversations)
        if tasks:
            await wait(tasks, timeout=patience)
        for task in tasks:
            task.cancel()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        if len(self._conversations) >= self._most:
            # With no descriptor left, no target could be reached either.
            await self._turn_away(reader, writer)
            return
        conversation = CallerConversation(reader, writer, self._open_session)
        task = current_task()
        if task is not None:
            self._conversations[task] = conversation
        try:
            await conversation.run()
        finally:
            writer.close()
            if task is not None:
                self._conversations.pop(task, None)

    async def _turn_away(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        if self._turned_away >= MOST_TURNED_AWAY:
            writer.transport.abort()
            return
        self._turned_away += 1
        # A close with its first message unread would reset the connection, and
        # the reset overtake the answer.
        with suppress(OSError, TimeoutError, MessageTooLong, MessageMalformed):
            async with timeout(TURN_AWAY_LIMIT):
                await read_line(reader)
        self._turned_away -= 1
        writer.write(make_line('ERROR', 'TOOMANY', FULL))
        writer.close()


class _SentAway(Exception):
    """End the wait for a caller's next message."""


class CallerConversation:
    """Serve one caller's connection, one statement after the other."""

    def __init__(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        open_session: OpenSession,
    ) -> None:
        """Own an accepted connection."""
        self._reader = reader
        self._writer = writer
        self._open_session = open_session
        self._session: StatementSession | None = None
        self._is_stopping = False
        self._is_aborting = False
        # The next message is waited for, with no statement under way.
        self._is_waiting = False

    def stop(self) -> None:
        """End the session as soon as nothing is under way."""
        self._is_stopping = True
        self.close_if_idle()

    def close_if_idle(self) -> None:
        """End the session if nothing is under way."""
        if self._is_waiting and not self._is_open():
            self._send_away()

    def abort(self) -> None:
        """End the session as soon as no statement is under way."""
        self._is_aborting = True
        if self._is_waiting:
            self._send_away()

    def _is_open(self) -> bool:
        return self._session is not None and self._session.in_transaction

    def _send_away(self) -> None:
        # Callers take an error that answers nothing as a request to close. If
        # a statement crosses it, it is its answer: nothing is run after it.
        code = 'ABORTED' if self._is_open() else 'BUSY'
        self._say_error(code, STOPPING)
        self._reader.set_exception(_SentAway())

    async def run(self) -> None:
        """Serve until the caller leaves."""
        watch_silence(self._writer)
        with suppress(OSError):
            try:
                await self._serve()
            except _SentAway:
                # Closing at once could reset the connection, and the reset
                # overtake the last words.
                await sleep(LINGER)
            except MessageTooLong as failure:
                self._say_error('TOOBIG', str(failure))
            except MessageMalformed as failure:
                self._say_error('MALFORMED', str(failure))
            finally:
                if self._session is not None:
                    await self._session.close()

    async def _serve(self) -> None:
        session = await self._start()
        if session is None:
            return
        while (line := await self._read_next()) is not None:
            word, rest = split_line(line, 1)
            if word == 'CLOSE':
                return
            if word != 'QUERY':
                raise MessageMalformed(f'"{word[:20]}" is no message')
            await self._answer(session, rest)
            if session.is_key_revoked:
                return

    async def _read_next(self) -> str | None:
        if self._must_end():
            self._send_away()
        self._is_waiting = True
        try:
            return await read_line(self._reader)
        finally:
            self._is_waiting = False

    def _must_end(self) -> bool:
        return self._is_aborting or (self._is_stopping and not self._is_open())

    async def _start(self) -> StatementSession | None:
        line = await read_line(self._reader)
        if line is None:
            return None
        opened = await self._open_session(*parse_start(line))
        if isinstance(opened, Err):
            self._say_error(*name_refusal(opened.err_value))
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
        messages: list[tuple[str, ...]]
        try:
            statement = parse_statement(StatementId(name), text)
        except MessageMalformed as malformed:
            messages = [('ERROR', 'MALFORMED', str(malformed))]
        else:
            outcome = await session.answer(statement)
            messages = _make_messages(outcome)
        messages.append(('READY', _PHASES[session.phase], NO_POINT))
        await self._send(make_lines(messages))

    async def _send(self, data: bytes) -> None:
        if self._writer.is_closing():
            raise ConnectionResetError
        self._writer.write(data)
        await self._writer.drain()

    def _say_error(self, code: str, reason: str) -> None:
        if not self._writer.is_closing():
            self._writer.write(make_line('ERROR', code, reason))


def parse_start(line: str) -> tuple[TrafficClass, KeyDigest]:
    """Return the database and the key; raise MessageMalformed."""
    word, database, key = split_line(line, 2)
    if word != 'START' or not database:
        raise MessageMalformed('a session begins with START')
    return TrafficClass(database), digest_key(key)


def _make_messages(
    outcome: Result[Answer, Refusal],
) -> list[tuple[str, ...]]:
    if isinstance(outcome, Ok):
        answer = outcome.ok_value
        rows = [('ROW', str(row[0])) for row in answer.rows]
        return [*rows, ('COMPLETE', answer.signature or NO_SIGNATURE)]
    code, reason = name_refusal(outcome.err_value)
    return [('ERROR', code, reason)]
