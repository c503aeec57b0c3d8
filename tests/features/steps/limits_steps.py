"""Check admission to a target under load, in virtual time."""

import random
from asyncio import (
    CancelledError,
    Event,
    Semaphore,
    create_task,
    gather,
    sleep,
    timeout_at,
)
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from async_solipsism import EventLoop
from behave import given, then, when
from result import Err

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId, TrafficClass
from sedgeshunt.limits.admission import TargetAdmission
from sedgeshunt.limits.budget import RetryBudget

SHARE = 3
MARGIN = 0.001
LATE = 'late'


@dataclass
class Ended:
    """Hold how one request ended: None if it was answered."""

    traffic_class: str
    spent: float = 0
    cause: str | None = None


class LimitsBench:
    """Hold one target and the admissions of some proxies."""

    def __init__(self, slots: int, work: float) -> None:
        random.seed(1)
        self.loop = EventLoop()
        self.work = work
        self.slots = slots
        self.thawed = Event()
        self.thawed.set()
        self.ended: list[Ended] = []
        self.admissions = [self.make_admission()]
        self._slots = Semaphore(slots)

    def make_admission(self) -> TargetAdmission:
        return TargetAdmission(TargetId('ada'), SHARE, self.slots, 6)

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(work)

    async def execute(self, work: float) -> None:
        async with self._slots:
            await self.thawed.wait()
            await sleep(work)

    async def ask(
        self,
        left: float,
        traffic_class: str = 'status',
        weight: int = 1,
        work: float | None = None,
    ) -> None:
        started = read_clock()
        ended = Ended(traffic_class)
        deadline = Monotonic(started + left)
        admitted = await random.choice(self.admissions).admit(
            TrafficClass(traffic_class),
            weight,
            deadline,
        )
        if isinstance(admitted, Err):
            ended.cause = admitted.err_value.cause.value
            assert admitted.err_value.retry_after > 0
        else:
            with admitted.ok_value.measure() as measured:
                measured.ok = await self._send(work, deadline)
            ended.cause = None if measured.ok else LATE
        ended.spent = read_clock() - started
        self.ended.append(ended)

    async def ask_at_once(self, count: int, left: float) -> None:
        await gather(*[self.ask(left) for _ in range(count)])

    async def offer(self, rate: float, span: float, **asked: Any) -> None:
        until = read_clock() + span
        pending = []
        while read_clock() < until:
            await sleep(random.expovariate(rate))
            work = max(0.001, random.expovariate(1 / self.work))
            left = random.choice((0.2, 0.5, 1))
            pending.append(create_task(self.ask(left, work=work, **asked)))
        await gather(*pending)

    def list_ended(self, cause: str | None, name: str = '') -> list[Ended]:
        return [
            each
            for each in self.ended
            if each.cause == cause and name in each.traffic_class
        ]

    async def _send(self, work: float | None, deadline: Monotonic) -> bool:
        try:
            async with timeout_at(deadline):
                await self.execute(work or self.work)
        except TimeoutError:
            return False
        return True


@given('a target of {slots:d} slot that takes {work:d} ms for a statement')
@given('a target of {slots:d} slots that takes {work:d} ms for a statement')
def make_target(context: Any, slots: int, work: int) -> None:
    context.bench = LimitsBench(slots, work / 1000)
    context.add_cleanup(context.bench.loop.close)


@given('the target has answered {count:d} statements')
@when('the target has answered {count:d} statements')
def answer(context: Any, count: int) -> None:
    bench = context.bench
    for _ in range(0, count, SHARE):
        bench.run(bench.ask_at_once(SHARE, 1))
    bench.ended.clear()


@when('the target freezes')
def freeze(context: Any) -> None:
    context.bench.thawed.clear()


@when(
    '{count:d} requests with {left:d} ms to answer arrive at once '
    'through one proxy',
)
def arrive(context: Any, count: int, left: int) -> None:
    # One connection only, as for a proxy with a small share.
    context.bench.admissions[0].resize(1)
    context.bench.run(context.bench.ask_at_once(count, left / 1000))


@then('{low:d} to {high:d} are {cause}')
def check_ended(context: Any, low: int, high: int, cause: str) -> None:
    ended = context.bench.list_ended(None if cause == 'answered' else cause)
    assert low <= len(ended) <= high, context.bench.ended


@then('the others are refused within {spent:d} ms with cause "{cause}"')
def check_refused(context: Any, spent: int, cause: str) -> None:
    ended = context.bench.ended
    refused = context.bench.list_ended(cause)
    assert refused
    assert {each.cause for each in ended} <= {None, LATE, cause}, ended
    assert max(each.spent for each in refused) <= spent / 1000 + MARGIN


@when('one more holds its slot for 1 s and another request arrives')
def ask_stalled(context: Any) -> None:
    bench = context.bench

    async def ask_late() -> None:
        holding = create_task(bench.ask(10))
        await sleep(1)
        bench.ended.clear()
        await bench.ask(0.4)
        holding.cancel()

    bench.run(ask_late())


@when('callers cancel while queued and at the moment of their turn')
def cancel_callers(context: Any) -> None:
    bench = context.bench
    admission = bench.admissions[0]

    async def cancel_all() -> None:
        deadline = Monotonic(1)
        held = (await admission.admit(TrafficClass('a'), 1, deadline)).unwrap()
        waiting = [
            create_task(admission.admit(TrafficClass('a'), 1, deadline))
            for _ in range(3)
        ]
        await sleep(0)
        waiting[1].cancel()
        held.release(Seconds(0.01), ok=True)
        waiting[0].cancel()
        for task in waiting[:2]:
            with suppress(CancelledError):
                await task
        assert admission.running == 1
        (await waiting[2]).unwrap().release(Seconds(0.01), ok=True)

    bench.run(cancel_all())


@then('no slot is taken and no request is queued')
def check_nothing_left(context: Any) -> None:
    admission = context.bench.admissions[0]
    assert (admission.running, admission.queued) == (0, 0)


@when('these classes ask for {span:d} s through one proxy')
def ask_by_class(context: Any, span: int) -> None:
    async def offer_all() -> None:
        offers = [
            context.bench.offer(
                int(row['requests a second']),
                span,
                traffic_class=row['class'],
                weight=int(row['weight']),
            )
            for row in context.table
        ]
        await gather(*offers)

    context.bench.run(offer_all())


@then('"{first}" gets {low:g} to {high:g} times the answers of "{second}"')
def check_shares(
    context: Any,
    first: str,
    low: float,
    high: float,
    second: str,
) -> None:
    bench = context.bench
    answered = len(bench.list_ended(None, second))
    ratio = len(bench.list_ended(None, first)) / answered
    assert low <= ratio <= high, ratio


@then('at least {share:d} % of "{name}" are answered')
def check_light(context: Any, share: int, name: str) -> None:
    asked = [each for each in context.bench.ended if each.traffic_class == name]
    served = len(context.bench.list_ended(None, name)) / len(asked)
    assert served >= share / 100, served


@then('99 % of all refusals come within {spent:d} ms')
def check_refusal_time(context: Any, spent: int) -> None:
    refused = [
        each.spent
        for each in context.bench.ended
        if each.cause not in {None, LATE}
    ]
    assert sorted(refused)[int(len(refused) * 0.99)] < spent / 1000


@when(
    'five times its capacity arrives for {span:d} s through {count:d} proxies'
)
def overload(context: Any, span: int, count: int) -> None:
    bench = context.bench
    bench.admissions = [bench.make_admission() for _ in range(count)]
    context.span = span
    bench.run(bench.offer(5 * bench.slots / bench.work, span))


@then('answers in time are at least {share:d} % of its capacity')
def check_goodput(context: Any, share: int) -> None:
    bench = context.bench
    capacity = bench.slots / bench.work * context.span
    goodput = len(bench.list_ended(None)) / capacity
    assert goodput >= share / 100, goodput


@then('the limit starts at {limit:d}')
@then('the limit is {limit:d}')
def check_limit(context: Any, limit: int) -> None:
    current = context.bench.admissions[0].limit.value
    assert current == limit, current


@when('the target slows down to {work:d} ms and answers {count:d} statements')
def slow_down(context: Any, work: int, count: int) -> None:
    context.bench.work = work / 1000
    answer(context, count)


@when('{count:d} requests in {span:d} s all ask for a retry')
def ask_retries(context: Any, count: int, span: int) -> None:
    async def retry_all() -> int:
        budget = RetryBudget()
        allowed = 0
        for _ in range(count):
            budget.note_request()
            allowed += budget.try_spend()
            await sleep(span / count)
        return allowed

    context.allowed = context.bench.run(retry_all())


@then('at least {low:d} and at most {high:d} retries are allowed')
def check_retries(context: Any, low: int, high: int) -> None:
    assert low <= context.allowed <= high, context.allowed
