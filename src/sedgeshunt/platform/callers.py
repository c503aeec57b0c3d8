"""Let the platform's callers in and speak their protocol."""

from asyncio import (
    Server,
    StreamReader,
    StreamWriter,
    Task,
    current_task,
    start_server,
    wait,
)
from collections.abc import Awaitable, Callable
from contextlib import suppress

from result import Ok, Result

from sedgeshunt.connections.target_session import SessionPhase
from sedgeshunt.identifiers import Seconds, StatementId, TrafficClass
from sedgeshunt.platform.lines import (
    LONGEST_MESSAGE,
    MessageMalformed,
    MessageTooLong,
    make_line,
    make_lines,
    read_line,
    split_line,
)
from sedgeshunt.platform.refusals import name_refusal
from sedgeshunt.platform.sockets import watch_silence
from sedgeshunt.platform.statements import read_statement
from sedgeshunt.ports import Address
from sedgeshunt.requests.outcome import Answer, Refusal
from sedgeshunt.statements.session import StatementSession

NO_SIGNATURE = '-'
NO_POINT = '-'
_PHASES = {
    SessionPhase.IDLE: 'I',
    SessionPhase.OPEN: 'T',
    SessionPhase.FAILED: 'E',
}

# Returns None when no route leads to the database.
OpenSession = Callable[[TrafficClass], Awaitable[StatementSession | None]]


class CallerServer:
    """Serve the connections of all callers."""

    def __init__(self, address: Address, open_session: OpenSession) -> None:
        """Open each caller's session by `open_session`."""
        self.address = address
        self._open_session = open_session
        self._server: Server | None = None
        self._conversations: dict[Task[None], CallerConversation] = {}

    async def start(self) -> None:
        """Listen; raise OSError."""
        self._server = await start_server(
            self._serve,
            self.address.host,
            self.address.port,
            limit=LONGEST_MESSAGE,
            backlog=512,
        )

    def count_open(self) -> int:
        """Count the callers that are connected."""
        return len(self._conversations)

    async def stop(self, patience: Seconds) -> None:
        """Let what is under way finish, for `patience` at most."""
        if self._server is not None:
            self._server.close()
        for conversation in self._conversations.values():
            conversation.stop()
        tasks = tuple(self._conversations)
        if tasks:
            _, late = await wait(tasks, timeout=patience)
            for task in late:
                task.cancel()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
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
        # Nothing is under way: the next message is waited for.
        self._is_idle = False

    def stop(self) -> None:
        """End the session as soon as nothing is under way."""
        self._is_stopping = True
        if self._is_idle:
            self._reader.feed_eof()

    async def run(self) -> None:
        """Serve until the caller leaves."""
        watch_silence(self._writer)
        with suppress(OSError):
            try:
                await self._serve()
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
        while (line := await self._read_idle(session)) is not None:
            word, rest = split_line(line, 1)
            if word == 'CLOSE':
                return
            if word != 'QUERY':
                raise MessageMalformed(f'"{word[:20]}" is no message')
            await self._answer(session, rest)

    async def _read_idle(self, session: StatementSession) -> str | None:
        if self._is_stopping and not session.in_transaction:
            return None
        self._is_idle = not session.in_transaction
        try:
            return await read_line(self._reader)
        finally:
            self._is_idle = False

    async def _start(self) -> StatementSession | None:
        line = await read_line(self._reader)
        if line is None:
            return None
        database = _read_start(line)
        session = await self._open_session(database)
        if session is None:
            self._say_error('NODB', f'no route leads to {database}')
            return None
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
            statement = read_statement(StatementId(name), text)
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


def _read_start(line: str) -> TrafficClass:
    word, database, _ = split_line(line, 2)
    if word != 'START' or not database:
        raise MessageMalformed('a session begins with START')
    return TrafficClass(database)


def _make_messages(
    outcome: Result[Answer, Refusal],
) -> list[tuple[str, ...]]:
    if isinstance(outcome, Ok):
        answer = outcome.ok_value
        rows = [('ROW', str(row[0])) for row in answer.rows]
        return [*rows, ('COMPLETE', answer.signature or NO_SIGNATURE)]
    code, reason = name_refusal(outcome.err_value)
    return [('ERROR', code, reason)]
