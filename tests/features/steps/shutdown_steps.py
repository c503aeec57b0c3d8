"""Check that a stopping proxy answers what it has read."""

from asyncio import gather, open_connection, run, sleep
from typing import Any, cast

from behave import given, then, when
from result import Ok, Result

from benchmarks.documents import find_port
from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import SessionPhase
from sedgeshunt.decisions import MemoryDecisionLog
from sedgeshunt.identifiers import KeyDigest, Monotonic, TrafficClass
from sedgeshunt.platform.callers import CallerServer
from sedgeshunt.ports import Address
from sedgeshunt.requests.outcome import Answer, Refusal
from sedgeshunt.statements.session import StatementSession
from sedgeshunt.statements.statement import Statement
from tests.standins.statement_front import HOST

STOP_LIMIT = 0.5


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
        """Hold nothing."""


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


async def _stop_after(session: CountingSession, turns: int) -> list[str]:
    address = Address(HOST, find_port())
    server = CallerServer(address, 1, session.open, MemoryDecisionLog())
    await server.start()
    reader, writer = await open_connection(HOST, address.port)
    writer.write(b'START kigali key\r\n')
    assert (await reader.readline()).startswith(b'READY')
    writer.write(b'QUERY q1 READ turn\r\n')
    for _ in range(turns):
        await sleep(0)
    server.close()
    give_up = Monotonic(read_clock() + STOP_LIMIT)
    stopping = gather(server.end_sessions(give_up), _read(reader))
    _, lines = await stopping
    writer.close()
    return lines


async def _read(reader: Any) -> list[str]:
    """Read as a caller does, which leaves at an unsolicited error."""
    lines: list[str] = []
    while line := (await reader.readline()).decode().rstrip():
        lines.append(line)
        if line.startswith('ERROR') and 'READY I -' in lines:
            break
    return lines
