"""Apply loads and faults and check what callers receive."""

from asyncio import sleep
from collections import Counter
from itertools import cycle
from typing import Any

from behave import given, then, when

from sedgeshunt.identifiers import TargetId, TrafficClass
from sedgeshunt.membership.rotation import BalancerRotation
from tests.features.node_bench import NodeBench
from tests.features.node_callers import CallerResult, Callers, open_bench
from tests.standins.network import PLATFORM
from tests.standins.statement_group import CONNECTION_LIMIT, SLOTS

MILLISECONDS = 1000
PERCENT = 100
STATEMENTS = 5
# Seconds after which a refused caller retries.
PAUSE = 0.05


class TransactionLoad:
    """Run callers with transactions until the load is over."""

    def __init__(self, bench: NodeBench, database: str, rest: float) -> None:
        """Pause for `rest` seconds after each statement."""
        self.is_over = False
        self._bench = bench
        self._database = database
        self._rest = rest
        # Refused statements by their position in the transaction.
        self.refused: Counter[int] = Counter()

    async def run(self, number: int) -> None:
        """Run one transaction after the other."""
        service = next(iter(self._bench.nodes.values())).service
        opened = await service.open_session(TrafficClass(self._database))
        session = opened.unwrap()
        while not self.is_over:
            await self._bench.answer(session, 'BEGIN')
            for step in range(STATEMENTS):
                text = f'WRITE rush{number} {step}'
                outcome = await self._bench.answer(session, text)
                if outcome.is_err():
                    self.refused[step] += 1
                    await sleep(PAUSE)
                    break
                await sleep(self._rest)
            else:
                await self._bench.answer(session, 'COMMIT')


@when(
    '{count:d} callers of "{database}" rest {rest:g} s in each of their '
    + "transactions' steps",
)
def start_load(context: Any, count: int, database: str, rest: float) -> None:
    bench: NodeBench = context.nodes
    context.load = TransactionLoad(bench, database, rest)
    for number in range(count):
        bench.time.watch(context.load.run(number))
    bench.wait(1)


@given('a statement takes the targets {seconds:g} s')
def slow_targets(context: Any, seconds: float) -> None:
    for target in context.nodes.group.targets.values():
        target.work = seconds


@then('transactions were refused before their first statement only')
def check_refused(context: Any) -> None:
    refused = context.load.refused
    assert refused[0], refused
    assert sum(refused.values()) == refused[0], refused


@when('the load ends')
def end_load(context: Any) -> None:
    context.load.is_over = True


@when('{count:d} others write every {pause:g} s for {seconds:g} s')
def write_others(
    context: Any,
    count: int,
    pause: float,
    seconds: float,
) -> None:
    bench: NodeBench = context.nodes
    context.others = Callers(bench)
    for _ in range(count):
        session = bench.open(next(iter(bench.nodes)), 'settle')
        bench.time.watch(context.others.write_on(session, pause))
    bench.wait(seconds)
    context.others.is_over = True


@then(
    "at least {share:d} % of the others' writes were done within {limit:d} ms"
)
def check_others(context: Any, share: int, limit: int) -> None:
    results: list[CallerResult] = context.others.list_writes()
    assert results
    quick = [one for one in results if one.is_done and _measure(one) <= limit]
    assert len(quick) * PERCENT >= share * len(results), (
        len(quick),
        len(results),
    )


@then(
    'at least {share:d} % of what the primary can run in {seconds:g} s was done'
)
def check_goodput(context: Any, share: int, seconds: float) -> None:
    work = context.nodes.group.find_primary().work
    done = [one for one in context.others.list_writes() if one.is_done]
    most = SLOTS * seconds / work
    assert len(done) * PERCENT >= share * most, (len(done), most)


@then(
    'at least {share:d} % of what was done in the last {seconds:g} s was done'
    + ' within {limit:d} ms',
)
def check_in_time(
    context: Any,
    share: int,
    seconds: float,
    limit: int,
) -> None:
    done = [one for one in _list_last(context, seconds) if one.is_done]
    quick = [one for one in done if _measure(one) <= limit]
    assert done
    assert len(quick) * PERCENT >= share * len(done), (len(quick), len(done))


@then(
    'all refusals in the last {seconds:g} s took {limit:d} ms at most',
)
def check_refusals(context: Any, seconds: float, limit: int) -> None:
    refused = [one for one in _list_last(context, seconds) if not one.is_done]
    assert refused
    late = [one for one in refused if _measure(one) > limit]
    assert not late, (len(late), len(refused))


@given('the replica in "{zone}" is lost')
def lose_replica(context: Any, zone: str) -> None:
    bench: NodeBench = context.nodes
    target = bench.group.targets[TargetId(f'db-{zone}')]
    assert target is not bench.group.find_primary()
    target.is_down = True
    target.is_listed = False
    bench.wait(1)


@when('{count:d} others read "{database}" every {pause:g} s for {time:g} s')
def read_others(
    context: Any,
    count: int,
    database: str,
    pause: float,
    time: float,
) -> None:
    _start_reading(context, count, database, pause, time)
    context.nodes.wait(time)


@when(
    '{writers:d} others write every {pause:g} s beside {count:d} that read'
    + ' "{database}" for {time:g} s',
)
def write_beside_reads(
    context: Any,
    writers: int,
    pause: float,
    count: int,
    database: str,
    time: float,
) -> None:
    _start_reading(context, count, database, pause, time)
    write_others(context, writers, pause, time)


@then("at least {share:d} % of the others' reads were done within {limit:d} ms")
def check_reads(context: Any, share: int, limit: int) -> None:
    results: list[CallerResult] = context.readers.results
    quick = [one for one in results if one.is_done and _measure(one) <= limit]
    assert results
    assert len(quick) * PERCENT >= share * len(results), (
        len(quick),
        len(results),
    )


def _start_reading(
    context: Any,
    count: int,
    database: str,
    pause: float,
    time: float,
) -> None:
    bench: NodeBench = context.nodes
    context.readers = Callers(bench)
    until = bench.time.read_now() + pause + time
    for number, node in zip(range(count), cycle(bench.nodes), strict=False):
        session = bench.open(node, database)
        reading = context.readers.read_on(session, until, pause)
        bench.time.watch(reading)
        # Spreads the readers evenly over one pause.
        bench.wait(pause / count)


@when('others hold all other connections of the primary')
def hold_connections(context: Any) -> None:
    context.nodes.group.find_primary().connections = CONNECTION_LIMIT


@when('the others close their connections')
def free_connections(context: Any) -> None:
    context.nodes.group.find_primary().connections = 1


@then('the primary runs as many statements at once as it can')
def check_parallel(context: Any) -> None:
    bench: NodeBench = context.nodes
    before = len(bench.group.runs)
    bench.wait(1)
    work = bench.group.find_primary().work
    most = SLOTS / work
    assert len(bench.group.runs) - before >= 0.85 * most, (
        len(bench.group.runs) - before,
        most,
    )


@when('the zone "{zone}" is cut off')
def cut_zone(context: Any, zone: str) -> None:
    bench: NodeBench = context.nodes
    places = [node.place for node in bench.nodes.values()]
    places += [target.place for target in bench.group.targets.values()]
    inside = [place.name for place in places if place.zone == zone]
    outside = [place.name for place in places if place.zone != zone]
    for name in inside:
        for other in (*outside, PLATFORM.name):
            bench.network.cut(name, other)


@given('a proxy that the balancer checks')
def open_rotation(context: Any) -> None:
    open_bench(context)
    context.rotation = BalancerRotation()


@when('the balancer is told "{answer}"')
def tell_balancer(context: Any, answer: str) -> None:
    is_ready = answer == 'ready'

    async def tell() -> None:
        context.rotation.note_answer(is_ready=is_ready)

    context.nodes.run(tell())


@then('the proxy counts as in rotation')
def check_in_rotation(context: Any) -> None:
    assert not _is_left_out(context)


@then('the proxy counts as out of rotation')
def check_left_out(context: Any) -> None:
    assert _is_left_out(context)


def _is_left_out(context: Any) -> bool:
    async def look() -> bool:
        return bool(context.rotation.is_removed())

    return bool(context.nodes.run(look()))


def _measure(result: CallerResult) -> float:
    return (result.answered_at - result.asked_at) * MILLISECONDS


def _list_last(context: Any, seconds: float) -> list[CallerResult]:
    since = context.nodes.time.read_now() - seconds
    results: list[CallerResult] = context.others.list_writes()
    return [one for one in results if one.asked_at >= since]
