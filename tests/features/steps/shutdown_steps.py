"""Check that a stopping proxy answers what it has read."""

from asyncio import (
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    open_connection,
    run,
    sleep,
)
from typing import Any, cast
from unittest.mock import Mock

from behave import given, then, when
from result import Ok, Result

from benchmarks.documents import find_port
from sedgeshunt.clocks import read_boottime, read_clock
from sedgeshunt.connections.target_session import SessionPhase
from sedgeshunt.decisions import MemoryDecisionLog
from sedgeshunt.execution.transactions import TransactionTable
from sedgeshunt.forwarding.channel import FrameChannel
from sedgeshunt.forwarding.link import PeerLink
from sedgeshunt.forwarding.messages import Heartbeat, HeartbeatReply
from sedgeshunt.forwarding.server import (
    PeerConnectionHandler,
    PeerRequestHandler,
)
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    KeyDigest,
    Monotonic,
    ProxyId,
    Revision,
    Seconds,
    StatementId,
    TrafficClass,
)
from sedgeshunt.platform.callers import CallerServer
from sedgeshunt.ports import Address
from sedgeshunt.requests.outcome import Answer, NotRun, Refusal, Unknown
from sedgeshunt.statements.call import Access, CallKind, StatementCall
from sedgeshunt.statements.session import StatementSession
from sedgeshunt.statements.statement import Statement
from tests.features.steps.links_steps import (
    CALL_TIME,
    FAR,
    GROUP,
    NEAR,
    PEER,
    ScriptedEvents,
    open_time,
)
from tests.standins.frames import MemoryFrames
from tests.standins.network import Network
from tests.standins.statement_front import HOST

STOP_LIMIT = 0.5
CLOSE_TIME = 0.1
PEER_GRACE = 3
# Longer than a call takes to arrive.
ARRIVAL = 0.05
WRITE = StatementCall(
    GROUP,
    Access.PRIMARY,
    CallKind.WRITE,
    StatementId('s1'),
    'WRITE item 1',
    TrafficClass('settle'),
    Seconds(CALL_TIME),
    Seconds(CALL_TIME),
    2,
)


class CountingSession:
    """Answer each statement at once and count them."""

    phase = SessionPhase.IDLE
    in_transaction = False
    is_key_revoked = False

    def __init__(self) -> None:
        """Start without statements."""
        self.runs = 0

    async def open(
        self, _database: TrafficClass, _key: KeyDigest
    ) -> Result[StatementSession, Any]:
        """Serve as each caller's session."""
        return Ok(cast(StatementSession, self))

    async def answer(self, _statement: Statement) -> Result[Answer, Refusal]:
        """Count a statement."""
        self.runs += 1
        await sleep(0)
        return Ok(Answer(rows=(('1',),)))

    async def close(self) -> None:
        """Take some time."""
        await sleep(CLOSE_TIME)


class SlowHandler(PeerRequestHandler):
    """Run each call for some time."""

    def __init__(self, work: float) -> None:
        """Take `work` seconds for a call."""
        self.work = work
        self.started = 0

    async def run_call(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Count a call and answer it later."""
        self.started += 1
        await sleep(self.work)
        return Ok(Answer())

    def answer_heartbeat(self, beat: Heartbeat) -> HeartbeatReply:
        """Answer a heartbeat."""
        return HeartbeatReply(read_boottime(), (), is_stopping=True)

    def read_tip(self, group: GroupId) -> None:
        """Know no log."""

    def record_cut(self, call: StatementCall) -> None:
        """Fail the scenario."""
        raise AssertionError(call)

    end_transaction = Mock()
    can_reach = Mock()
    keep_lease = Mock()
    grant_quota = Mock()
    add_follower = Mock()
    remove_follower = Mock()


class NamedEvents(ScriptedEvents):
    """Name the sender in heartbeats, as peers require."""

    def make_heartbeat(
        self,
        peer: ProxyId,
        echo: Boottime,
        *,
        is_answering: bool,
    ) -> Heartbeat:
        """Return a complete heartbeat."""
        return Heartbeat(PEER, Seconds(0), echo, 1, Revision(1))


@given('databases take {seconds:g} s for "{text}"')
def slow_down(context: Any, seconds: float, text: str) -> None:
    for target in context.platform.platform.group.targets.values():
        target.work_of[text] = seconds


@when('{seconds:g} s pass at the processes')
def wait(context: Any, seconds: float) -> None:
    context.platform.wait(seconds)


@then('the other caller gets a whole answer "{line}" to "{text}"')
def check_answer(context: Any, line: str, text: str) -> None:
    lines = context.other.ask(text)
    assert lines and lines[0].startswith(line), lines
    assert lines[-1].startswith('READY'), lines


@then('the other caller is told "{code}"')
def check_told(context: Any, code: str) -> None:
    line = context.other.read_line()
    assert line.startswith(code), line


@then('that is the whole answer to its next statement "{text}"')
def check_rest(context: Any, text: str) -> None:
    lines = context.other.ask(text)
    assert lines[-1:] == ['READY I -'], lines
    assert len(lines) == 1, lines


@then('"{text}" has not run')
def check_not_run(context: Any, text: str) -> None:
    runs = context.platform.platform.group.runs
    assert text not in {done.text for done in runs}


@when('a server stops {turns:d} turns of its event loop after a statement')
def stop_after(context: Any, turns: int) -> None:
    context.session = CountingSession()
    context.lines = run(_stop_after(context.session, turns))


@then('the statement was either run or refused, and answered whole')
def check_once(context: Any) -> None:
    words = [line.partition(' ')[0] for line in context.lines]
    assert 'READY' in words, context.lines
    answer = words[: words.index('READY')]
    ran = ['ROW', 'COMPLETE'] if context.session.runs else ['ERROR']
    assert answer == ran, context.lines


@when('a server is stopped {seconds:g} s after its idle caller has left')
def stop_closing(context: Any, seconds: float) -> None:
    context.left = run(_stop_closing(seconds))


@then('the stop has not failed')
def check_stopped(context: Any) -> None:
    assert context.left == 0, context.left


async def _stop_closing(seconds: float) -> int:
    server, reader, writer = await _open_server(CountingSession())
    server.end_idle_sessions()
    assert (await reader.readline()).startswith(b'ERROR')
    writer.close()
    await sleep(seconds)
    give_up = Monotonic(read_clock() + STOP_LIMIT)
    server.finish_by(give_up)
    server.close()
    await server.end_sessions(give_up)
    return server.count_open()


async def _open_server(
    session: CountingSession,
) -> tuple[CallerServer, StreamReader, StreamWriter]:
    address = Address(HOST, find_port())
    server = CallerServer(address, 1, session.open, MemoryDecisionLog())
    await server.start()
    reader, writer = await open_connection(HOST, address.port)
    writer.write(b'START kigali key\r\n')
    assert (await reader.readline()).startswith(b'READY')
    return server, reader, writer


async def _stop_after(session: CountingSession, turns: int) -> list[str]:
    server, reader, writer = await _open_server(session)
    writer.write(b'QUERY q1 READ turn\r\n')
    for _ in range(turns):
        await sleep(0)
    server.close()
    give_up = Monotonic(read_clock() + STOP_LIMIT)
    stopping = gather(server.end_sessions(give_up), _read(reader))
    _, lines = await stopping
    writer.close()
    return lines


async def _read(reader: StreamReader) -> list[str]:
    """Read as a caller does, which leaves at an unsolicited error."""
    lines: list[str] = []
    while line := (await reader.readline()).decode().rstrip():
        lines.append(line)
        if line.startswith('ERROR') and 'READY I -' in lines:
            break
    return lines


@given('a peer that runs each call in {seconds:g} s')
def open_peer(context: Any, seconds: float) -> None:
    open_time(context)
    context.handler = SlowHandler(seconds)


@when('the peer stops and a write is sent to it {seconds:g} s later')
def stop_peer(context: Any, seconds: float) -> None:
    context.outcome = context.time.run(_stop_peer(context.handler, seconds))


@then('the write was run and answered')
def check_run(context: Any) -> None:
    assert context.outcome.is_ok(), context.outcome
    assert context.handler.started == 1


@then('the write was refused, not run')
def check_refused(context: Any) -> None:
    assert isinstance(context.outcome.err(), NotRun), context.outcome
    assert context.handler.started <= 1


@then('the write was of unknown effect')
def check_unknown(context: Any) -> None:
    assert isinstance(context.outcome.err(), Unknown), context.outcome


async def _stop_peer(
    work: SlowHandler, seconds: float
) -> Result[Answer, Refusal]:
    handlers: list[PeerConnectionHandler] = []

    async def serve(channel: FrameChannel) -> None:
        handler = PeerConnectionHandler(channel, work)
        handlers.append(handler)
        await handler.run()

    network = Network()
    listeners: dict[Address, Any] = {}
    MemoryFrames(network, FAR, listeners).listen(PEER.address, serve)
    near = MemoryFrames(network, NEAR, listeners)
    link = PeerLink(PEER, near, NamedEvents(Seconds(1)))
    running = create_task(link.run())
    await sleep(1)
    # Keeps the peer from ending at once.
    first = create_task(link.call(WRITE, Monotonic(read_clock() + CALL_TIME)))
    await sleep(max(ARRIVAL, -seconds))
    listeners.clear()
    stopping = create_task(
        handlers[0].finish(Monotonic(read_clock() + PEER_GRACE)),
    )
    await sleep(max(0, seconds))
    if seconds < 0:
        outcome = await first
    else:
        outcome = await link.call(WRITE, Monotonic(read_clock() + CALL_TIME))
    await stopping
    running.cancel()
    return outcome
