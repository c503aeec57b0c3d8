"""Check acknowledgements on a view that is given answers."""

from asyncio import sleep
from functools import partial
from typing import Any
from unittest.mock import patch

from async_solipsism import EventLoop
from behave import given, then, when

from sedgeshunt.clocks import PauseWatch, read_clock
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.polling import PollUrgency
from sedgeshunt.groups.status import Observation, Role, TargetStatus
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    Position,
    TargetId,
    Term,
)

MILLISECONDS = 1000


def parse_point(text: str) -> Point:
    """Parse a point written as TERM:POSITION."""
    term, position = text.split(':')
    return Point(Term(int(term)), Position(int(position)))


def run(context: Any, question: Any) -> Any:
    """Call `question` in the loop and let the woken tasks run."""

    async def call() -> Any:
        answer = question()
        await sleep(0.0001)
        return answer

    return context.loop.run_until_complete(call())


async def _wait_durable(view: GroupView, point: Point, wait: float) -> bool:
    return await view.wait_durable(point, Monotonic(read_clock() + wait))


def _record(view: GroupView, status: TargetStatus) -> None:
    now = read_clock()
    view.record(Observation(status, now, now))


def _start_write(context: Any, point: Point, wait: float) -> None:
    work = _wait_durable(context.view, point, wait)
    context.writes.append(context.loop.create_task(work))


@given('a view of the targets "{names}"')
def make_view(context: Any, names: str) -> None:
    context.loop = EventLoop()
    context.add_cleanup(context.loop.close)
    context.pauses = PauseWatch()
    context.view = GroupView(GroupId('songbook'), context.pauses)
    context.view.set_members([TargetId(name) for name in names.split(', ')])
    context.writes = []
    run(context, context.pauses.check)


@given('the evidence counts without its term')
def count_without_term(context: Any) -> None:
    def find_time_of_any_term(
        observations: list[Observation],
        majority: int,
        point: Point,
    ) -> Monotonic | None:
        dates = [
            observation.asked_at
            for observation in observations
            if observation.status.log_end >= point
        ]
        return max(dates) if len(dates) >= majority else None

    for name, double in (
        (
            'sedgeshunt.groups.quorum_tracker.find_confirmation_time',
            find_time_of_any_term,
        ),
        ('sedgeshunt.groups.terms.TermHistory.record', _record_nothing),
    ):
        off = patch(name, double)
        off.start()
        context.add_cleanup(off.stop)
    context.view.terms.newest = Term(1)


def _record_nothing(*_arguments: Any) -> bool:
    return True


@given('evidence counts whatever its age')
def count_old_evidence(context: Any) -> None:
    for off in (
        patch.object(PauseWatch, 'check', _record_nothing),
        patch('sedgeshunt.groups.quorum_tracker.MAX_EVIDENCE_AGE', 100),
    ):
        off.start()
        context.add_cleanup(off.stop)


@given('"{name}" answers as {role} in term {term:d} with its log at {end}')
@when('"{name}" answers as {role} in term {term:d} with its log at {end}')
def record_answer(
    context: Any,
    name: str,
    role: str,
    term: int,
    end: str,
) -> None:
    status = TargetStatus(
        TargetId(name),
        Term(term),
        parse_point(end),
        Role(role),
    )
    run(context, partial(_record, context.view, status))


@when('"{name}" answers a write with the point {point}')
def record_written(context: Any, name: str, point: str) -> None:
    def note() -> None:
        context.view.record_write(
            TargetId(name),
            parse_point(point),
            read_clock(),
        )

    run(context, note)


@when('"{name}" refuses a fence as it holds term {term:d}')
def record_refusal(context: Any, name: str, term: int) -> None:
    run(context, partial(context.view.record_term, Term(term)))


@when('a write at {point} waits for {limit:d} ms')
def start_write(context: Any, point: str, limit: int) -> None:
    _start_write(context, parse_point(point), limit / MILLISECONDS)
    run(context, read_clock)


@when('writes at {first} to {last} wait for {limit:d} ms')
def start_writes(context: Any, first: str, last: str, limit: int) -> None:
    term, start = parse_point(first)
    end = parse_point(last).position
    for position in range(start, end + 1):
        point = Point(term, Position(position))
        _start_write(context, point, limit / MILLISECONDS)
    run(context, read_clock)


@when('the proxy is frozen for {seconds:d} s')
def freeze_proxy(context: Any, seconds: int) -> None:
    context.loop._selector.clock.advance(seconds)


@when('{limit:d} ms go by')
def let_time_pass(context: Any, limit: int) -> None:
    context.loop.run_until_complete(sleep(limit / MILLISECONDS))


@then('the write still waits')
def check_waiting(context: Any) -> None:
    assert not context.writes[0].done()


@then('the write is acknowledged')
def check_acknowledged(context: Any) -> None:
    assert context.writes[0].done()
    assert context.writes[0].result()


@then('the write is refused')
def check_refused(context: Any) -> None:
    assert context.writes[0].done()
    assert not context.writes[0].result()


@then('{count:d} writes are acknowledged')
def check_count(context: Any, count: int) -> None:
    done = [write for write in context.writes if write.done()]
    assert all(write.result() for write in done)
    assert len(done) == count, len(done)


@then('the targets are asked often')
def check_pace(context: Any) -> None:
    demand = run(context, context.view.choose_poll_urgency)
    assert demand in {
        PollUrgency.WRITES,
        PollUrgency.PRIMARY,
        PollUrgency.FRESH,
    }, demand


@then('the view knows no primary')
def check_no_primary(context: Any) -> None:
    assert run(context, context.view.get_primary) is None


@then('the view reports "{invariant}"')
def check_violation(context: Any, invariant: str) -> None:
    violations = context.view.take_violations()
    broken = [violation.invariant.value for violation in violations]
    assert broken == [invariant], broken


@then('the view reports nothing')
def check_no_violation(context: Any) -> None:
    assert not context.view.take_violations()
