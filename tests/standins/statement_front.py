"""Serve the stand-in databases over the callers' wire protocol."""

from asyncio import (
    IncompleteReadError,
    Server,
    StreamReader,
    StreamWriter,
    start_server,
)
from collections import Counter
from contextlib import suppress
from functools import partial

from sedgeshunt.connections.target_session import (
    RefusalKind,
    SessionPhase,
    TargetReply,
)
from sedgeshunt.exceptions import TargetUnreachable
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Position, StatementId, Term
from sedgeshunt.statements.statement import PreparedStatement
from tests.standins.network import Place
from tests.standins.statement_group import (
    CONNECTION_LIMIT,
    StatementGroup,
    StatementTarget,
)
from tests.standins.statement_sessions import LosingSession

HOST = '127.0.0.1'
LINE_END = b'\r\n'
MAX_LINE = 1024 * 1024
PROXIES = Place('proxies', 'east')
_PHASES = {
    SessionPhase.IDLE: 'I',
    SessionPhase.OPEN: 'T',
    SessionPhase.FAILED: 'E',
}
_CODES = {
    RefusalKind.BEHIND: 'LAGGING',
    RefusalKind.READ_ONLY: 'READONLY',
    RefusalKind.NO_STATEMENT: 'NOSTMT',
    RefusalKind.BUSY: 'BUSY',
    RefusalKind.FAILED: 'FAILED',
    RefusalKind.TIMED_OUT: 'TIMEOUT',
    RefusalKind.MALFORMED: 'MALFORMED',
}


class StatementFront:
    """Listen for each database of a group."""

    def __init__(self, group: StatementGroup) -> None:
        """Serve the databases of `group`, whose name callers give."""
        self.group = group
        # Lines to answer instead, by the first word of the request.
        self.lines: dict[str, str] = {}
        # The statements that have arrived, by their first word.
        self.words: Counter[str] = Counter()
        self._servers: list[Server] = []

    async def start(self) -> None:
        """Listen on a free port for each database."""
        for target in self.group.targets.values():
            server = await start_server(
                partial(self._serve, target), HOST, 0, limit=MAX_LINE
            )
            target.port = server.sockets[0].getsockname()[1]
            self._servers.append(server)

    def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    async def _serve(
        self,
        target: StatementTarget,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        try:
            with suppress(OSError, TargetUnreachable):
                await self._converse(target, reader, writer)
        finally:
            writer.transport.abort()

    async def _converse(
        self,
        target: StatementTarget,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        start = (await _read_line(reader)).split()
        if len(start) < 4 or start[3] != target.name:
            writer.write(b'ERROR MISROUTED another one\r\n')
            return
        if target.is_down:
            return
        if target.connections >= CONNECTION_LIMIT:
            writer.write(b'ERROR TOOMANY enough\r\n')
            return
        session = LosingSession(self.group, target, PROXIES)
        conversation = _Conversation(session)
        place = _write_point(target.applied_end)
        ready = self.lines.get('START', f'READY I {place}')
        writer.write(f'{ready}\r\n'.encode())
        try:
            while line := await _read_line(reader):
                _, name, text = line.split(' ', 2)
                self.words[text.partition(' ')[0]] += 1
                reply = await conversation.run(StatementId(name), text)
                written = _write_reply(reply)
                instead = self.lines.get(text.partition(' ')[0])
                if instead is not None:
                    written = f'{instead}\r\nREADY I -\r\n'.encode()
                writer.write(written)
                await writer.drain()
        finally:
            await session.close()


class _Conversation:
    """Parse and run the statements of one connection."""

    def __init__(self, session: LosingSession) -> None:
        self._session = session
        self._prepared: dict[str, PreparedStatement] = {}

    async def run(self, statement: StatementId, text: str) -> TargetReply:
        """Run one statement."""
        after = None
        if text.startswith('AFTER '):
            _, _, rest = text.partition(' ')
            place, _, text = rest.partition(' ')
            term, _, number = place.partition('.')
            after = Point(Term(int(term)), Position(int(number)))
        return await self._run(statement, text, after)

    async def _run(
        self,
        statement: StatementId,
        text: str,
        after: Point | None,
    ) -> TargetReply:
        session = self._session
        word, _, rest = text.partition(' ')
        if word == 'BEGIN':
            return await session.begin(
                is_read_only=rest == 'READ',
                after=after,
            )
        if word == 'EXECUTE':
            name, _, arguments = rest.partition(' ')
            prepared = self._prepared[name]
            return await session.execute(statement, prepared, arguments, after)
        change = self._CHANGES.get(word)
        if change is not None:
            return await change(self, rest)
        return await session.run(statement, text, after)

    async def _roll_back(self, _rest: str) -> TargetReply:
        return await self._session.roll_back()

    async def _set(self, rest: str) -> TargetReply:
        name, _, text = rest.partition(' ')
        return await self._session.set_value(name, text)

    async def _reset(self, _rest: str) -> TargetReply:
        return await self._session.reset()

    async def _prepare(self, rest: str) -> TargetReply:
        name, kind, shape = rest.split(' ', 2)
        self._prepared[name] = PreparedStatement(kind == 'WRITE', shape)
        return await self._session.prepare(self._prepared[name])

    async def _tell_status(self, _rest: str) -> TargetReply:
        status = await self._session.read_status()
        row = (
            ''
            if status is None
            else (
                f'{status.role.value} {status.term} '
                f'{_write_point(status.received)} '
                f'{status.held_term} 0 0 0'
            )
        )
        return TargetReply((row,), SessionPhase.IDLE, None, '-', None)

    _CHANGES = {
        'ROLLBACK': _roll_back,
        'SET': _set,
        'RESET': _reset,
        'PREPARE': _prepare,
        'STATUS': _tell_status,
    }


async def _read_line(reader: StreamReader) -> str:
    try:
        line = await reader.readuntil(LINE_END)
    except IncompleteReadError:
        return ''
    return line.removesuffix(LINE_END).decode()


def _write_reply(reply: TargetReply) -> bytes:
    lines = [f'ROW {row}' for row in reply.rows]
    if reply.refusal is None:
        lines.append(f'COMPLETE {reply.signature or "-"}')
    else:
        lines.append(f'ERROR {_CODES[reply.refusal.kind]} no')
    point = _write_point(reply.point)
    lines.append(f'READY {_PHASES[reply.phase]} {point}')
    return ''.join(f'{line}\r\n' for line in lines).encode()


def _write_point(point: Point | None) -> str:
    return '-' if point is None else f'{point.term}.{point.position}'
