"""Check watermarks on a view that is given answers."""

from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from sedgeshunt.clocks import read_clock
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.quorum import Watermark
from sedgeshunt.groups.status import Observation, Role, TargetStatus
from sedgeshunt.groups.watermarks import (
    MAX_MARKS,
    MAX_WATERMARK_AGE,
    WatermarkSeries,
)
from sedgeshunt.identifiers import Monotonic, Position, TargetId, Term

MILLISECONDS = 1000
TOLERANCE = 0.0005
moments = st.integers(0, 40).map(float).map(Monotonic)
points = st.builds(Point, st.integers(1, 2), st.integers(0, 9))
marks = st.lists(st.builds(Watermark, moments, points), max_size=30)


def _parse_point(text: str) -> Point:
    term, position = text.split(':')
    return Point(Term(int(term)), Position(int(position)))


def _advance(context: Any, milliseconds: int) -> None:
    clock = context.loop._selector.clock
    clock.advance(max(0, milliseconds / MILLISECONDS - clock.time()))


def _run(context: Any, question: Any) -> Any:
    async def call() -> Any:
        return question()

    return context.loop.run_until_complete(call())


def _measure(context: Any, now: int, name: str) -> float | None:
    moment = Monotonic(now / MILLISECONDS)
    return context.view.measure_age(TargetId(name), moment)


@when('at {now:d} ms "{name}" answers {answer}, asked at {asked:d} ms')
def record_timed(
    context: Any,
    now: int,
    name: str,
    answer: str,
    asked: int,
) -> None:
    end, *details = answer.split(' ')
    point = _parse_point(end)
    term = int(details[-1]) if 'term' in details else point.term
    role = Role.PRIMARY if 'primary' in details else Role.REPLICA
    status = TargetStatus(TargetId(name), Term(term), point, role)
    observation = Observation(
        status,
        Monotonic(asked / MILLISECONDS),
        Monotonic(now / MILLISECONDS),
    )
    _advance(context, now)
    _run(context, lambda: context.view.record(observation))


@when('a session opens at {opened:d} ms and waits for its barrier')
def open_session(context: Any, opened: int) -> None:
    async def wait() -> Point | None:
        deadline = Monotonic(read_clock() + 1)
        since = Monotonic(opened / MILLISECONDS)
        return await context.view.wait_barrier(since, deadline)

    context.barrier = context.loop.create_task(wait())
    _run(context, read_clock)


@when('the link to "{name}" breaks')
def break_link(context: Any, name: str) -> None:
    _run(context, lambda: context.view.record_disconnect(TargetId(name)))


@then('the barrier is not known')
def check_no_barrier(context: Any) -> None:
    _run(context, read_clock)
    assert not context.barrier.done()


@then('the barrier is {point}')
def check_barrier(context: Any, point: str) -> None:
    found = context.loop.run_until_complete(context.barrier)
    assert found == _parse_point(point), found


@then('at {now:d} ms the data of "{name}" is at most {age:d} ms old')
def check_age(context: Any, now: int, name: str, age: int) -> None:
    measured = _measure(context, now, name)
    assert measured is not None
    assert abs(measured - age / MILLISECONDS) < TOLERANCE, measured


@then('at {now:d} ms the age of the data of "{name}" is not proven')
def check_no_age(context: Any, now: int, name: str) -> None:
    assert _measure(context, now, name) is None


@then('"{name}" covers {point}')
def check_covers(context: Any, name: str, point: str) -> None:
    assert context.view.covers(TargetId(name), _parse_point(point))


@then('"{name}" does not cover {point}')
def check_not_covers(context: Any, name: str, point: str) -> None:
    assert not context.view.covers(TargetId(name), _parse_point(point))


@then('for random watermarks the series finds what a plain list finds')
def check_series(context: Any) -> None:
    _compare()


@then('a series of {count:d} watermarks stays small and its ages nearly exact')
def check_thinning(context: Any, count: int) -> None:
    series = WatermarkSeries()
    for index in range(count):
        point = Point(Term(1), Position(index))
        series.add(Watermark(Monotonic(index / 100), point))
    assert len(series._marks) <= MAX_MARKS
    for back in (1, 10, 100, 1000, 10000):
        position = count - 1 - back
        mark = series.find_covered(Point(Term(1), Position(position)))
        assert mark is not None
        age = (count - 1) / 100 - mark.moment
        assert back / 100 <= age <= 1.1 * back / 100, (back, age)
    assert series.find_covered(Point(Term(1), Position(-1))) is None
    assert count / 100 < MAX_WATERMARK_AGE


@settings(derandomize=True, deadline=None, max_examples=300)
@given(added=marks, since=moments, end=points)
def _compare(added: list[Watermark], since: Monotonic, end: Point) -> None:
    series = WatermarkSeries()
    for mark in added:
        series.add(mark)
    covered = [mark.moment for mark in added if mark.point <= end]
    found = series.find_covered(end)
    assert (found and found.moment) == max(covered, default=None)
    later = [mark.point for mark in added if mark.moment >= since]
    first = series.find_since(since)
    assert (first and first.point) == min(later, default=None)
