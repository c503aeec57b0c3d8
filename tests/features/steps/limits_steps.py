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
from sedgeshunt.requests.outcome import NotRun

SHARE = 3
MARGIN = 0.001


@dataclass
class Ended:
    """Hold how one request ended and how long that took."""

    traffic_class: str
    spent: float
    refusal: NotRun | None = None
    is_late: bool = False


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
        self._places = Semaphore(slots)

    def make_admission(self) -> TargetAdmission:
        return TargetAdmission(TargetId('ada'), SHARE, self.slots, 6)

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(work)

    async def execute(self, work: float) -> None:
        async with self._places:
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
        ended = Ended(traffic_class, 0)
        deadline = Monotonic(started + left)
        admitted = await random.choice(self.admissions).admit(
            TrafficClass(traffic_class),
            weight,
            deadline,
        )
        if isinstance(admitted, Err):
            ended.refusal = admitted.err_value
        else:
            with admitted.ok_value.measure() as measured:
                ended.is_late = not await self._send(work, deadline)
                measured.ok = not ended.is_late
        ended.spent = read_clock() - started
        self.ended.append(ended)

    async def offer(self, rate: float, span: float, **asked: Any) -> None:
        until = read_clock() + span
        pending = []
        while read_clock() < until:
            await sleep(random.expovariate(rate))
            work = max(0.001, random.expovariate(1 / self.work))
            left = random.choice((0.2, 0.5, 1))
            pending.append(create_task(self.ask(left, work=work, **asked)))
        await gather(*pending)

    def list_answered(self) -> list[Ended]:
        return [
            each
            for each in self.ended
            if each.refusal is None and not each.is_late
        ]

    def list_refused(self) -> list[Ended]:
        return [each for each in self.ended if each.refusal is not None]

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
    async def ask_all() -> None:
        bench = context.bench
        for _ in range(0, count, SHARE):
            await gather(*[bench.ask(1) for _ in range(SHARE)])
        bench.ended.clear()

    context.bench.run(ask_all())


@when('the target freezes')
def freeze(context: Any) -> None:
    context.bench.thawed.clear()


@when(
    '{count:d} requests with {left:d} ms to answer arrive at once '
    'through one proxy',
)
def arrive(context: Any, count: int, left: int) -> None:
    async def ask_all() -> None:
        asked = [context.bench.ask(left / 1000) for _ in range(count)]
        await gather(*asked)

    # So that only one of them finds a place, as on a busy target.
    context.bench.admissions[0].resize(1)
    context.bench.run(ask_all())


@then('some are answered, none of them late')
def check_answered(context: Any) -> None:
    assert len(context.bench.list_answered()) > 2
    assert not [each for each in context.bench.ended if each.is_late]


@then('the one that was sent is late')
def check_late(context: Any) -> None:
    assert [each.is_late for each in context.bench.ended].count(True) == 1


@then('the others are refused within {spent:d} ms with cause "{cause}"')
def check_refused(context: Any, spent: int, cause: str) -> None:
    refused = context.bench.list_refused()
    assert refused
    for each in refused:
        assert each.refusal.cause.value == cause, each
        assert each.refusal.retry_after > 0
        assert each.spent <= spent / 1000 + MARGIN, each


@then('once the target stalls, requests are refused at the door')
def check_stalled(context: Any) -> None:
    bench = context.bench

    async def ask_late() -> None:
        holding = create_task(bench.ask(10))
        await sleep(1)
        bench.ended.clear()
        await bench.ask(0.4)
        assert bench.ended[0].spent == 0
        assert bench.ended[0].refusal.cause.value == 'overload'
        bench.thawed.set()
        await holding

    bench.run(ask_late())


@when('callers leave while waiting and in the moment of their turn')
def leave(context: Any) -> None:
    bench = context.bench
    admission = bench.admissions[0]

    async def leave_all() -> None:
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

    bench.run(leave_all())


@then('no place and no waiter is left')
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


@then(
    '"{first}" gets between {low:g} and {high:g} times the answers of "{second}"'
)
def check_shares(
    context: Any,
    first: str,
    low: float,
    high: float,
    second: str,
) -> None:
    classes = [each.traffic_class for each in context.bench.list_answered()]
    ratio = classes.count(first) / classes.count(second)
    assert low <= ratio <= high, ratio


@then('at least {share:d} % of "{name}" are answered')
def check_light(context: Any, share: int, name: str) -> None:
    asked = [each.traffic_class for each in context.bench.ended]
    answered = [each.traffic_class for each in context.bench.list_answered()]
    served = answered.count(name) / asked.count(name)
    assert served >= share / 100, served


@then('99 % of all refusals come within {spent:d} ms')
def check_refusal_time(context: Any, spent: int) -> None:
    times = sorted(each.spent for each in context.bench.list_refused())
    assert times[int(len(times) * 0.99)] < spent / 1000


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
    goodput = len(bench.list_answered()) / capacity
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


@when('{count:d} requests in {span:d} s all want a retry')
def want_retries(context: Any, count: int, span: int) -> None:
    async def retry_all() -> int:
        budget = RetryBudget()
        allowed = 0
        for _ in range(count):
            budget.note_request()
            allowed += budget.try_spend()
            await sleep(span / count)
        return allowed

    loop = EventLoop()
    context.allowed = loop.run_until_complete(retry_all())
    loop.close()


@then('at least {low:d} and at most {high:d} retries are allowed')
def check_retries(context: Any, low: int, high: int) -> None:
    assert low <= context.allowed <= high, context.allowed
