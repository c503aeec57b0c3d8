"""Check sessions whose connections targets refuse to set up."""

from asyncio import gather, sleep
from dataclasses import dataclass, field
from random import Random
from typing import Any

from behave import given, then, when
from result import Err

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import RefusalKind
from sedgeshunt.identifiers import StatementId, TrafficClass
from sedgeshunt.platform.statements import parse_statement
from sedgeshunt.requests.outcome import Cause, NotRun, Rejected
from tests.features.node_bench import NodeBench, Outcome
from tests.standins.statement_group import SetupMessage, SetupRefusals

SECONDS = 4
SEED = 41
STATEMENTS = 6
PAUSE = 0.01
LANGUAGES = ('rw', 'en', 'fr')
_CODES = {
    'BUSY': RefusalKind.BUSY,
    'NOSTMT': RefusalKind.NO_STATEMENT,
    'LAGGING': RefusalKind.BEHIND,
    'FAILED': RefusalKind.FAILED,
    'TIMEOUT': RefusalKind.TIMED_OUT,
}


@dataclass
class Expected:
    """Hold what each statement must have run with, and the outcomes."""

    values: dict[str, dict[str, str]] = field(default_factory=dict)
    # Statements of transactions, which may run inside one only.
    inside: set[str] = field(default_factory=set)
    outcomes: list[Outcome] = field(default_factory=list)


class SessionCaller:
    """Use one session after another, each with a state of its own."""

    def __init__(
        self, bench: NodeBench, number: int, expected: Expected
    ) -> None:
        """Draw everything from the caller's number."""
        self._bench = bench
        self._number = number
        self._expected = expected
        self._random = Random(SEED + number)
        self._count = 0

    async def run(self, database: str, until: float) -> None:
        """Open sessions until a moment."""
        node = next(iter(self._bench.nodes.values()))
        while read_clock() < until:
            opened = await node.service.open_session(TrafficClass(database))
            session = opened.unwrap()
            await self._use(session)
            await session.close()

    async def _use(self, session: Any) -> None:
        values: dict[str, str] = {}
        await session.answer(self._make('PREPARE p READ q', values)[1])
        for _ in range(STATEMENTS):
            if self._random.randrange(3) == 0:
                name = self._random.choice(('lang', 'zone'))
                values[name] = self._random.choice(LANGUAGES)
                text = f'SET {name} {values[name]}'
                await session.answer(self._make(text, values)[1])
            if self._random.randrange(3) == 0:
                await self._run_transaction(session, values)
            else:
                text = self._random.choice(('EXECUTE p item', 'WRITE item 1'))
                await self._run(session, text, values)
            await sleep(PAUSE)

    async def _run_transaction(
        self,
        session: Any,
        values: dict[str, str],
    ) -> None:
        await session.answer(self._make('BEGIN', values)[1])
        for text in ('WRITE item 2', 'EXECUTE p item'):
            outcome = await self._run(session, text, values, is_inside=True)
            if isinstance(outcome, Err):
                return
        text = self._random.choice(('COMMIT', 'ROLLBACK'))
        await session.answer(self._make(text, values)[1])

    async def _run(
        self,
        session: Any,
        text: str,
        values: dict[str, str],
        *,
        is_inside: bool = False,
    ) -> Outcome:
        name, statement = self._make(text, values)
        if is_inside:
            self._expected.inside.add(name)
        outcome: Outcome = await session.answer(statement)
        self._expected.outcomes.append(outcome)
        return outcome

    def _make(self, text: str, values: dict[str, str]) -> tuple[str, Any]:
        self._count += 1
        name = StatementId(f'c{self._number}s{self._count}')
        self._expected.values[name] = dict(values)
        return name, parse_statement(name, text)


@given('the target refuses {share:d} % of {messages} with {codes}')
def refuse_setup(context: Any, share: int, messages: str, codes: str) -> None:
    chosen = SetupMessage if messages == 'all' else [SetupMessage(messages)]
    context.refusals = SetupRefusals(
        frozenset(chosen),
        tuple(_CODES[code] for code in codes.split(', ')),
        share / 100,
        Random(SEED),
    )
    primary = context.nodes.group.find_primary()
    primary.setup_refusals = context.refusals


@when(
    '{count:d} callers of "{database}" use values, prepared statements '
    + 'and transactions',
)
def use_sessions(context: Any, count: int, database: str) -> None:
    bench: NodeBench = context.nodes
    context.expected = Expected()
    until = bench.time.read_now() + SECONDS

    async def run() -> None:
        callers = [
            SessionCaller(bench, number, context.expected)
            for number in range(count)
        ]
        await gather(*(caller.run(database, until) for caller in callers))

    bench.run(run())


@then('more than {count:d} messages were refused')
def check_refused(context: Any, count: int) -> None:
    assert context.refusals.refused > count, context.refusals.refused


@then(
    'each statement ran with the values and in the transaction of its session',
)
def check_runs(context: Any) -> None:
    expected: Expected = context.expected
    runs = [
        run
        for run in context.nodes.group.runs
        if run.statement in expected.values and run.text != 'COMMIT'
    ]
    assert len(runs) > 300, len(runs)
    wrong = [
        run
        for run in runs
        if run.values != expected.values[run.statement]
        or run.is_inside != (run.statement in expected.inside)
    ]
    assert not wrong, (len(wrong), len(runs), wrong[:3])


@then('no prepared statement was unknown to the target')
def check_known(context: Any) -> None:
    unknown = [
        refusal
        for outcome in context.expected.outcomes
        if _is_unknown(refusal := outcome.err())
    ]
    assert not unknown, unknown[:3]


@when('a caller of "{database}" at "{node}" sets "{name}" and runs "{text}"')
def set_and_run(
    context: Any,
    database: str,
    node: str,
    name: str,
    text: str,
) -> None:
    context.session = context.nodes.open(node, database)
    context.nodes.ask(context.session, f'SET {name} rw')
    asked = context.callers.ask(context.session, text)
    context.result = context.nodes.run(asked)


def _is_unknown(refusal: object) -> bool:
    if isinstance(refusal, NotRun):
        return refusal.cause is Cause.STATEMENT
    return isinstance(refusal, Rejected) and refusal.sqlstate == 'no-statement'
