"""Connect to databases over the platform's line protocol."""

from asyncio import (
    StreamReaderProtocol,
    StreamWriter,
    get_running_loop,
    timeout,
)
from contextlib import suppress

from sedgeshunt.adapters.sockets import watch_silence
from sedgeshunt.configuration.objects import Target
from sedgeshunt.connections.target_session import (
    LogRole,
    LogStatus,
    RefusalKind,
    SessionPhase,
    TargetRefusal,
    TargetReply,
    TargetSession,
    TargetSessionConnector,
)
from sedgeshunt.customers.directory import ANONYMOUS
from sedgeshunt.exceptions import (
    StatementUnsendable,
    TargetBusy,
    TargetGone,
    TargetLost,
    TargetUnreachable,
)
from sedgeshunt.groups.points import ORIGIN, Point
from sedgeshunt.identifiers import (
    CustomerId,
    GroupId,
    Seconds,
    StatementId,
    TargetId,
    Term,
)
from sedgeshunt.platform.lines import (
    FIELD_SEPARATOR,
    MessageInvalid,
    MessageMalformed,
    MessageReader,
    make_line,
    parse_number,
    read_line,
    split_line,
)
from sedgeshunt.platform.statements import (
    PROXY_STATEMENT_ID,
    add_point_condition,
    make_execute,
    make_prepare,
    parse_point,
)
from sedgeshunt.statements.statement import PreparedStatement

# Customer name that the proxy sends for connections without a customer.
DEFAULT_CUSTOMER = 'sedgeshunt'
PRIMARY_ROLE = 'primary'

_PHASES = {
    'I': SessionPhase.IDLE,
    'T': SessionPhase.OPEN,
    'E': SessionPhase.FAILED,
}
_REFUSALS = {
    'BUSY': RefusalKind.BUSY,
    'NOSTMT': RefusalKind.NO_STATEMENT,
    'LAGGING': RefusalKind.BEHIND,
    'READONLY': RefusalKind.READ_ONLY,
    'MISROUTED': RefusalKind.WRONG_TARGET,
    'TOOMANY': RefusalKind.TOO_MANY,
    'FAILED': RefusalKind.FAILED,
    'TIMEOUT': RefusalKind.TIMED_OUT,
}


class _ReplyBuilder:
    """Collect the messages of one reply."""

    def __init__(self, *, ends_with_error: bool) -> None:
        # A refused START is not followed by READY, a refused QUERY is.
        self._ends_with_error = ends_with_error
        self.is_complete = False
        self.has_result = False
        self.rows: list[str] = []
        self.signature = ''
        self.refusal: TargetRefusal | None = None
        self.phase = SessionPhase.IDLE
        self.point: Point | None = None

    def add_message(self, word: str, rest: str) -> bool:
        """Add one message; return whether it may stand here."""
        if word == 'READY':
            phase, point_text = split_line(rest, 1)
            self.phase = _PHASES.get(phase, SessionPhase.FAILED)
            self.point = parse_point(point_text)
            self.is_complete = True
            return True
        if self.has_result:
            return False
        if word == 'ROW':
            self.rows.append(rest)
            return True
        return self._add_result(word, rest)

    def _add_result(self, word: str, rest: str) -> bool:
        self.has_result = word in {'COMPLETE', 'ERROR'}
        if word == 'COMPLETE':
            self.signature = rest
        elif word == 'ERROR':
            self.refusal = _parse_refusal(rest)
            self.is_complete = self._ends_with_error
        return self.has_result

    def cut(self) -> None:
        """Keep the refusal of a reply that broke off behind it."""
        self.phase = SessionPhase.FAILED


class WireTargetSession(TargetSession):
    """Run statements over the line protocol on one connection."""

    def __init__(
        self,
        target: Target,
        reader: MessageReader,
        writer: StreamWriter,
    ) -> None:
        """Take over an open connection."""
        self.point: Point | None = None
        self._target = target
        self._reader = reader
        self._writer = writer

    async def start(self, group: GroupId, customer: CustomerId) -> None:
        """Send the group, customer and target; raise as connect() does."""
        target = self._target.name
        self._writer.write(_make_start(group, customer, target))
        try:
            reply = await self._read_reply(ends_with_error=True)
        except TargetLost as lost:
            raise TargetUnreachable(target, lost.reason) from lost
        if reply.refusal is None:
            return
        if reply.refusal.kind is RefusalKind.TOO_MANY:
            raise TargetBusy(0, '', reply.refusal.reason)
        raise TargetUnreachable(target, reply.refusal.reason)

    async def run(
        self,
        statement: StatementId,
        text: str,
        after: Point | None = None,
    ) -> TargetReply:
        """Run the text of a caller's statement under its statement id."""
        if self._writer.is_closing() or self._reader.at_eof():
            raise TargetGone(self._target.name, 'closed while idle')
        if self._reader.unread:
            # The next answer could not be told from what was sent unasked.
            self._writer.transport.abort()
            raise TargetGone(self._target.name, 'sent an unasked message')
        self._writer.write(
            _make_query(statement, add_point_condition(after, text)),
        )
        reply = await self._read_reply()
        if not reply.has_result:
            raise self._abort('sent no result')
        return reply

    async def execute(
        self,
        statement: StatementId,
        prepared: PreparedStatement,
        arguments: str,
        after: Point | None = None,
    ) -> TargetReply:
        """Run a statement that was prepared on this connection."""
        text = make_execute(prepared, arguments)
        return await self.run(statement, text, after)

    async def prepare(self, prepared: PreparedStatement) -> TargetReply:
        """Prepare a statement under a name derived from its content."""
        return await self.run(PROXY_STATEMENT_ID, make_prepare(prepared))

    async def set_value(self, name: str, value: str) -> TargetReply:
        """Set one session value."""
        return await self.run(PROXY_STATEMENT_ID, f'SET {name} {value}')

    async def reset(self) -> TargetReply:
        """Clear all session values and prepared statements."""
        return await self.run(PROXY_STATEMENT_ID, 'RESET')

    async def begin(
        self,
        *,
        is_read_only: bool,
        after: Point | None = None,
    ) -> TargetReply:
        """Open a transaction."""
        text = 'BEGIN READ' if is_read_only else 'BEGIN'
        return await self.run(PROXY_STATEMENT_ID, text, after)

    async def roll_back(self) -> TargetReply:
        """Roll back the open transaction."""
        return await self.run(PROXY_STATEMENT_ID, 'ROLLBACK')

    async def read_status(self) -> LogStatus | None:
        """Return the state of the log; None if the target is too busy."""
        return await self._run_control('STATUS')

    async def pause_replication(self, term: Term) -> LogStatus | None:
        """Pause replication on a replica, for a `term` above the newest."""
        return await self._run_control(f'PAUSE {term}')

    async def resume_replication(self) -> LogStatus | None:
        """Resume replication on a paused replica."""
        return await self._run_control('RESUME')

    async def demote(self, term: Term) -> LogStatus | None:
        """Make a primary of a term below `term` a replica."""
        return await self._run_control(f'DEMOTE {term}')

    async def close(self) -> None:
        """Abort the connection; closing it twice has no effect."""
        self._writer.transport.abort()

    async def _run_control(self, text: str) -> LogStatus | None:
        reply = await self.run(PROXY_STATEMENT_ID, text)
        if reply.refusal is not None or not reply.rows:
            return None
        try:
            return _parse_status(reply.rows[0])
        except MessageMalformed as failure:
            raise self._abort(str(failure)) from failure

    async def _read_reply(
        self,
        *,
        ends_with_error: bool = False,
    ) -> TargetReply:
        builder = _ReplyBuilder(ends_with_error=ends_with_error)
        while not builder.is_complete:
            try:
                line = await self._read_line()
            except TargetLost:
                if builder.refusal is None:
                    raise
                builder.cut()
                break
            word, _, rest = line.partition(FIELD_SEPARATOR)
            try:
                is_expected = builder.add_message(word, rest)
            except MessageMalformed as failure:
                raise self._abort(str(failure)) from failure
            if not is_expected:
                raise self._abort(f'sent "{word[:20]}" out of turn')
        self.point = builder.point or self.point
        return TargetReply(
            tuple(builder.rows),
            builder.phase,
            self.point,
            builder.signature,
            builder.refusal,
            has_result=builder.has_result,
        )

    async def _read_line(self) -> str:
        try:
            line = await read_line(self._reader)
        except (OSError, MessageInvalid) as failure:
            raise self._abort(str(failure)) from failure
        if line is None:
            raise self._abort('closed the connection')
        return line

    def _abort(self, reason: str) -> TargetLost:
        self._writer.transport.abort()
        return TargetLost(self._target.name, reason)


class WireTargetConnector(TargetSessionConnector):
    """Open sessions with databases over the line protocol."""

    async def connect(
        self,
        target: Target,
        group: GroupId,
        limit: Seconds,
        customer: CustomerId = ANONYMOUS,
    ) -> TargetSession:
        """Open a session; raise TargetUnreachable or TargetBusy."""
        try:
            async with timeout(limit):
                return await self._connect(target, group, customer)
        except (OSError, TimeoutError) as failure:
            reason = str(failure) or f'no answer in {limit} s'
            raise TargetUnreachable(target.name, reason) from failure

    async def _connect(
        self,
        target: Target,
        group: GroupId,
        customer: CustomerId,
    ) -> TargetSession:
        reader, writer = await _open_connection(target)
        watch_silence(writer)
        session = WireTargetSession(target, reader, writer)
        try:
            await session.start(group, customer)
        except BaseException:
            with suppress(OSError):
                writer.transport.abort()
            raise
        return session


async def _open_connection(
    target: Target,
) -> tuple[MessageReader, StreamWriter]:
    loop = get_running_loop()
    reader = MessageReader()
    transport, protocol = await loop.create_connection(
        lambda: StreamReaderProtocol(reader, loop=loop),
        target.host,
        target.port,
    )
    return reader, StreamWriter(transport, protocol, reader, loop)


def _make_start(
    group: GroupId,
    customer: CustomerId,
    target: TargetId,
) -> bytes:
    try:
        return make_line('START', group, customer or DEFAULT_CUSTOMER, target)
    except MessageInvalid as failure:
        raise TargetUnreachable(target, str(failure)) from failure


def _make_query(statement: StatementId, text: str) -> bytes:
    try:
        return make_line('QUERY', statement, text)
    except MessageInvalid as failure:
        raise StatementUnsendable(str(failure)) from failure


def _parse_refusal(rest: str) -> TargetRefusal:
    code, reason = split_line(rest, 1)
    kind = _REFUSALS.get(code, RefusalKind.MALFORMED)
    return TargetRefusal(kind, f'{code} {reason}'.strip())


def _parse_status(row: str) -> LogStatus:
    # These are followed by the lag in ms, busy, and the connections.
    fields = split_line(row, 4)
    return LogStatus(
        LogRole.PRIMARY if fields[0] == PRIMARY_ROLE else LogRole.REPLICA,
        Term(parse_number(fields[1])),
        parse_point(fields[2]) or ORIGIN,
        Term(parse_number(fields[3])),
    )
