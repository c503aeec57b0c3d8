"""Check the judge of the process soak with histories written down."""

from dataclasses import dataclass, field
from typing import Any

from behave import given, then, when

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Position, TargetId, Term
from tests.owner_periods import (
    Line,
    ProxyHistory,
    Span,
    list_overlaps,
    list_violations,
)
from tests.soak_judge import (
    DONE,
    Asked,
    Execution,
    History,
    Judge,
    LogView,
    Promotion,
)
from tests.standins.statement_group import FIRST_COMMIT, Commit

GROUP = 'songbook'
EVENTS = {
    'claimed': 'group-claimed',
    'again': 'group-claimed-again',
    'lost': 'group-lost',
    'released': 'group-released',
    'started': 'proxy-started',
    'stopped': 'proxy-stopped',
}


@dataclass
class Written:
    """Build a history step by step."""

    history: History = field(default_factory=History)
    logs: dict[str, list[Commit]] = field(default_factory=dict)
    terms: dict[str, int] = field(default_factory=dict)
    commits: dict[str, Commit] = field(default_factory=dict)
    number: int = 0

    def count(self) -> int:
        """Return the place of the next event."""
        self.number += 1
        return self.number

    def find_log(self, target: str) -> list[Commit]:
        """Return the log of a target."""
        return self.logs.setdefault(target, [FIRST_COMMIT])

    def run(self, statement: str, target: str, first: float, word: str) -> None:
        """Run a statement of a primary route."""
        log = self.find_log(target)
        execution = Execution(
            first,
            self.count(),
            statement,
            TargetId(target),
            LogView(log, len(log)),
        )
        self.history.executions.append(execution)
        self.history.asked.append(Asked(statement, True, first, first, word))

    def commit(self, name: str, target: str, at: float, word: str) -> None:
        """Run a write and commit it."""
        self.run(name, target, at, word)
        log = self.find_log(target)
        term = Term(self.terms.get(target, 1))
        point = Point(term, Position(len(log)))
        self.commits[name] = Commit(point, ())
        log.append(self.commits[name])
        self.history.executions[-1].point = point


def open_history(context: Any) -> Written:
    if 'written' not in context:
        context.written = Written()
    written: Written = context.written
    return written


@given('a commit {name} at {target}, acknowledged at {at:f}')
def commit_acknowledged(
    context: Any, name: str, target: str, at: float
) -> None:
    open_history(context).commit(name, target, at, DONE)


@given('a commit {name} at {target}, not acknowledged')
def commit_unknown(context: Any, name: str, target: str) -> None:
    open_history(context).commit(name, target, 0, 'UNKNOWN')


@given('a promotion of {target} whose log has {names}')
def promote(context: Any, target: str, names: str) -> None:
    written = open_history(context)
    log = written.find_log(target)
    known = [
        written.commits[name] for name in names.split() if name != 'nothing'
    ]
    log.extend(known)
    written.terms[target] = 2
    written.history.promotions.append(
        Promotion(
            0,
            written.count(),
            TargetId(target),
            Term(2),
            LogView(log, len(log)),
        ),
    )


@when(
    'a read of a {route} route with its first byte at {first:f} runs on '
    '{target} and is answered {answer}',
)
def read(
    context: Any, route: str, first: float, target: str, answer: str
) -> None:
    written = open_history(context)
    word = '' if answer == 'by nothing' else answer
    written.run('r1', target, first, word)
    written.history.asked[-1] = Asked(
        'r1', route == 'primary', first, first, word
    )


@then('the breaches found are "{rules}"')
def check_breaches(context: Any, rules: str) -> None:
    found = Judge(open_history(context).history).list_breaches()
    assert [breach.rule.value for breach in found] == rules.split(), found


@then('the breaches found are ""')
def check_none(context: Any) -> None:
    check_breaches(context, '')


@given('the log of {proxy} "{events}"')
def write_log(context: Any, proxy: str, events: str) -> None:
    if 'proxies' not in context:
        context.proxies = {}
    written = context.proxies.setdefault(proxy, ProxyHistory())
    lines = []
    for event in events.split(', '):
        word, *times = event.split()
        at = float(times[0])
        if word == 'killed':
            written.kills.append(at)
        elif word == 'paused':
            written.pauses.append(Span(at, float(times[1])))
        else:
            group = '' if EVENTS[word].startswith('proxy') else GROUP
            lines.append(Line(at, EVENTS[word], group))
    written.lines = lines


@when('the soak ends at {until:f}')
def end_soak(context: Any, until: float) -> None:
    overlaps = list_overlaps(context.proxies, until)
    context.found = list_violations(overlaps)


@then('two owners were found for "{lengths}"')
def check_overlaps(context: Any, lengths: str) -> None:
    found = [f'{overlap.length:.2f}' for overlap in context.found]
    assert found == lengths.split(), context.found


@then('two owners were found for ""')
def check_no_overlap(context: Any) -> None:
    check_overlaps(context, '')
