"""Run callers at whole proxies and record their results."""

from asyncio import sleep
from dataclasses import dataclass, field
from typing import Any

from result import Ok

from sedgeshunt.clocks import read_clock
from sedgeshunt.requests.outcome import NotRun, Unknown
from sedgeshunt.statements.session import StatementSession
from tests.features.node_bench import NodeBench, Outcome

WATCH_EVERY = 0.005


@dataclass
class CallerResult:
    """Hold one statement and the outcome that its caller got."""

    text: str
    asked_at: float
    answered_at: float
    outcome: Outcome

    @property
    def is_done(self) -> bool:
        """Return whether the statement was acknowledged."""
        return isinstance(self.outcome, Ok)

    @property
    def row(self) -> str:
        """Return the first row of an answer."""
        assert isinstance(self.outcome, Ok), self.outcome
        return str(self.outcome.ok_value.rows[0][0])

    @property
    def refusal(self) -> NotRun | Unknown:
        """Return the refusal of a statement that was not acknowledged."""
        refusal = self.outcome.err()
        assert isinstance(refusal, NotRun | Unknown), self.outcome
        return refusal


@dataclass
class Callers:
    """Hold the outcomes of one scenario's statements."""

    bench: NodeBench
    results: list[CallerResult] = field(default_factory=list)
    # The group's owner at each check.
    owners: list[tuple[float, str]] = field(default_factory=list)
    is_over: bool = False

    async def ask(self, session: StatementSession, text: str) -> CallerResult:
        """Run one statement and record its outcome."""
        asked_at = read_clock()
        outcome = await self.bench.answer(session, text)
        result = CallerResult(text, asked_at, read_clock(), outcome)
        self.results.append(result)
        return result

    async def write_on(self, session: StatementSession, pause: float) -> None:
        """Write a new item after each pause until the scenario ends."""
        number = 0
        while not self.is_over:
            number += 1
            await self.ask(session, f'WRITE item{number} {number}')
            await sleep(pause)

    async def read_on(
        self,
        session: StatementSession,
        until: float,
        pause: float = 0,
    ) -> None:
        """Read the item until a moment, with pauses."""
        while read_clock() < until:
            await self.ask(session, 'READ item')
            await sleep(pause)

    async def watch_owners(self) -> None:
        """Record the group's owner repeatedly; fail if there are two."""
        while not self.is_over:
            owner = self.bench.find_owner()
            if owner is not None:
                self.owners.append((read_clock(), owner))
            await sleep(WATCH_EVERY)

    def list_writes(self) -> list[CallerResult]:
        """List the writes in the order of their answers."""
        return [
            result for result in self.results if result.text.startswith('WRITE')
        ]

    def measure_gap(self) -> float:
        """Return the longest time without an acknowledged write."""
        moments = [
            result.answered_at
            for result in self.list_writes()
            if result.is_done
        ]
        pairs = zip(moments, moments[1:], strict=False)
        return max(late - early for early, late in pairs)


def open_bench(context: Any) -> NodeBench:
    """Return the scenario's bench, created at its first use."""
    if not hasattr(context, 'nodes'):
        context.nodes = NodeBench()
        context.callers = Callers(context.nodes)
        context.add_cleanup(close_bench, context)
    bench: NodeBench = context.nodes
    return bench


def close_bench(context: Any) -> None:
    """Stop the scenario's callers and proxies."""
    context.callers.is_over = True
    context.nodes.close()
