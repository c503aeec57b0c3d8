"""Check how reads are routed, in virtual time."""

from asyncio import sleep
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from async_solipsism import EventLoop
from behave import given, then, when
from msgspec import convert
from msgspec.structs import replace

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import (
    LEAVING,
    STATE_LABEL,
    Route,
    Target,
)
from sedgeshunt.decisions import DecisionKind, MemoryDecisionLog
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.status import Role, TargetStatus
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    Position,
    Seconds,
    TargetId,
    Term,
    TrafficClass,
    ZoneId,
)
from sedgeshunt.routing.catch_up import CatchUpEstimator
from sedgeshunt.routing.choice import Ranking, ReadNeed, ReadRouter
from sedgeshunt.routing.health import GroupHealth
from sedgeshunt.routing.views import FreshnessView, Load

GROUP = GroupId('songbook')
TERM = Term(3)


@dataclass
class KnownTarget(Load):
    """State of one target as set by a test."""

    status: TargetStatus | None
    age: float | None
    wait: float
    is_responsive: bool = True

    def expected_wait(self, now: Monotonic) -> Seconds:
        return Seconds(self.wait)


class KnownView(FreshnessView):
    """A view of the states set by a test."""

    def __init__(self) -> None:
        self.known: dict[TargetId, KnownTarget] = {}

    def get_status(self, target: TargetId) -> TargetStatus | None:
        return self.known[target].status

    def get_primary(self) -> TargetId | None:
        return TargetId('ada')

    def is_responsive(self, target: TargetId, now: Monotonic) -> bool:
        return self.known[target].is_responsive

    def covers(self, target: TargetId, point: Point) -> bool:
        status = self.known[target].status
        return status is not None and point <= status.log_end

    def measure_age(self, target: TargetId, now: Monotonic) -> Seconds | None:
        age = self.known[target].age
        return None if age is None else Seconds(age)


class RoutingBench:
    """A router with its view, health and targets."""

    def __init__(self, zone: str) -> None:
        self.loop = EventLoop()
        self.view = KnownView()
        self.targets: dict[str, Target] = {}
        self.decisions = MemoryDecisionLog()
        self.health = GroupHealth(GROUP, self.decisions)
        self.router = ReadRouter(ZoneId(zone), self.health, self.view.known)
        self.route = Route(name='r', traffic_class=TrafficClass('status'))
        self.catch_up = CatchUpEstimator()
        self.need = ReadNeed(None, None)

    def run(self, act: Callable[[], Any]) -> Any:
        async def call() -> Any:
            return act()

        return self.loop.run_until_complete(call())

    def rank(self, *, may_probe: bool = True) -> Ranking:
        return self.run(
            lambda: self.router.rank(
                self.view,
                list(self.targets.values()),
                self.route,
                self.need,
                read_clock(),
                may_probe=may_probe,
            ),
        )

    def answer(self, target: str, count: int, spent: float, ok: bool) -> None:
        note = partial(
            self.health.get(TargetId(target)).record_outcome,
            Seconds(spent),
            ok=ok,
        )
        for _ in range(count):
            self.run(note)


def parse_point(text: str) -> Point:
    term, position = text.split(':')
    return Point(Term(int(term)), Position(int(position)))


@given('a router in zone "{zone}" and these targets')
def make_router(context: Any, zone: str) -> None:
    bench = RoutingBench(zone)
    context.bench = bench
    context.add_cleanup(bench.loop.close)
    for row in context.table:
        name = TargetId(row['target'])
        bench.targets[name] = Target(name, GROUP, '', 0, ZoneId(row['zone']))
        bench.view.known[name] = KnownTarget(
            TargetStatus(
                name,
                TERM,
                parse_point(row['log end']),
                Role(row['role']),
            ),
            int(row['age ms']) / 1000,
            int(row['wait ms']) / 1000,
        )
        bench.health.get(name)


@when('the router knows "{target}" as "{change}"')
def change_target(context: Any, target: str, change: str) -> None:
    bench = context.bench
    known = bench.view.known[target]
    what, _, amount = change.partition(' ')
    if what == 'leaving':
        bench.targets[target].labels[STATE_LABEL] = LEAVING
    elif what == 'end':
        known.status = replace(known.status, log_end=parse_point(amount))
    else:
        spans = {'age': 'age', 'wait': 'wait'}
        blanks = {
            'unknown': ('status', None),
            'silent': ('is_responsive', False),
        }
        blanks['unproven'] = ('age', None)
        name, known_as = blanks.get(what) or (spans[what], int(amount) / 1000)
        setattr(known, name, known_as)


@when('the route has "{name}" of "{setting}"')
def change_route(context: Any, name: str, setting: str) -> None:
    context.bench.route = convert(
        {'name': 'r', 'traffic_class': 'status', name: setting},
        Route,
        strict=False,
    )


@when('{count:d} statements fail at "{target}"')
def fail(context: Any, count: int, target: str) -> None:
    context.bench.answer(target, count, 0.1, ok=False)


@when('"{targets}" answer {count:d} statements in {spent:d} ms')
def answer(context: Any, targets: str, count: int, spent: int) -> None:
    for target in targets.split(', '):
        context.bench.answer(target, count, spent / 1000, ok=True)


@when('{seconds:g} s pass')
def let_pass(context: Any, seconds: float) -> None:
    context.bench.loop.run_until_complete(sleep(seconds))


@when('{count:d} probes of "{target}" are answered, {seconds:g} s apart')
def pass_probes(context: Any, count: int, target: str, seconds: float) -> None:
    for _ in range(count):
        assert context.bench.rank().eligible[0] == target
        context.bench.answer(target, 1, 0.005, ok=True)
        let_pass(context, seconds)


@when('an operator asks for the route')
def explain(context: Any) -> None:
    assert context.bench.rank(may_probe=False).eligible[0] == 'cyd'


@then('a read goes to "{order}"')
@then('the next read goes to "{order}"')
def check_order(context: Any, order: str) -> None:
    context.ranking = context.bench.rank()
    assert ', '.join(context.ranking.eligible) == order, context.ranking


@then('a read that needs {point} and accepts {age:d} ms goes to "{order}"')
def check_needed(context: Any, point: str, age: int, order: str) -> None:
    needed = None if point == 'nothing' else parse_point(point)
    context.bench.need = ReadNeed(needed, Seconds(age / 1000))
    check_order(context, order)


@then('the assessment of "{target}" is "{rule}" with "{detail}"')
def check_assessment(context: Any, target: str, rule: str, detail: str) -> None:
    assessments = {each.target: each for each in context.ranking.assessments}
    assert assessments[target].rule.value == rule, assessments[target]
    assert detail in assessments[target].detail, assessments[target].detail
    assert assessments[target].detail in context.ranking.describe()


@then('"{target}" may catch up')
def check_catch_up_candidate(context: Any, target: str) -> None:
    assert context.ranking.catch_up_candidate == target


@then('the decision "{kind}" is recorded for "{target}"')
def check_decision(context: Any, kind: str, target: str) -> None:
    decisions = context.bench.decisions.list_decisions(DecisionKind(kind))
    assert [each.target for each in decisions][-1:] == [target], decisions


@given('replicas that apply each record {lag:d} ms after the primary')
def replicate(context: Any, lag: int) -> None:
    context.now = 0
    for number in range(50):
        point = Point(TERM, Position(number))
        context.newest = point
        for name, delay in (('ada', 0), ('bob', lag), ('cyd', lag)):
            moment = Monotonic(context.now + delay / 1000)
            if number < 49 or not delay:
                context.bench.catch_up.record_log_end(name, point, moment)
        context.now += 0.02
    context.now -= 0.02


@when('"bob" stops applying and {span:d} ms pass')
def stop_applying(context: Any, span: int) -> None:
    context.now += span / 1000


@then('a read of the newest record with {left:d} ms left waits {wait}')
def check_wait(context: Any, left: int, wait: str) -> None:
    waited = context.bench.catch_up.choose_wait(
        TargetId('bob'),
        context.newest,
        Monotonic(context.now),
        Monotonic(context.now + left / 1000),
        Seconds(0),
    )
    found = 'not' if waited is None else f'{waited * 1000:g} ms for "bob"'
    assert found == wait, found
