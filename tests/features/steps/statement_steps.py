"""Check statement sessions on shared connections to targets."""

from asyncio import create_task, gather, sleep
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

from behave import given, then, when

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import TrafficClass
from sedgeshunt.requests.outcome import Cause, NotRun
from tests.features.node_bench import GROUP, NodeBench
from tests.features.node_callers import Callers

# Connections that are opened to a target before a scenario's statements.
CONNECTIONS = 8


@given('replicas lag by {seconds:g} s')
@when('replicas lag by {seconds:g} s')
def set_lag(context: Any, seconds: float) -> None:
    for target in context.nodes.group.list_replicas():
        target.lag = seconds


@when(
    '{count:d} callers of "{database}" set "{name}" to their number '
    + 'and write {times:d} times',
)
def write_with_values(
    context: Any,
    count: int,
    database: str,
    name: str,
    times: int,
) -> None:
    bench: NodeBench = context.nodes

    async def call(number: int) -> None:
        session = await open_session(bench, database)
        await bench.answer(session, f'SET {name} {number}')
        for _ in range(times):
            await bench.answer(session, f'WRITE by{number} {number}')

    run_all(bench, [call(number) for number in range(count)])
    context.value = name


@then('each write ran with the values of its own caller')
def check_values(context: Any) -> None:
    runs = context.nodes.group.runs
    assert runs
    for run in runs:
        _, item, number = run.text.split()
        assert run.values == {context.value: number}, run


@when('two callers of "{database}" prepare "{name}" as a write and as a read')
def prepare_twice(context: Any, database: str, name: str) -> None:
    bench: NodeBench = context.nodes
    writer = bench.run(open_session(bench, database))
    reader = bench.run(open_session(bench, database))
    bench.ask(writer, f'PREPARE {name} WRITE q2c')
    bench.ask(reader, f'PREPARE {name} READ q9')
    context.wrote = bench.ask(writer, f'EXECUTE {name} turn 7')
    context.read = bench.ask(reader, f'EXECUTE {name} turn')


@then('each executes its own statement')
def check_prepared(context: Any) -> None:
    assert context.wrote.is_ok(), context.wrote
    assert context.read.ok_value.rows == [('7',)], context.read
    texts = [run.text for run in context.nodes.group.runs]
    assert texts == ['WRITE turn 7', 'READ turn'], texts


@when(
    'a caller of "{database}" has a transaction open '
    + 'while {count:d} others write',
)
def write_beside(context: Any, database: str, count: int) -> None:
    bench: NodeBench = context.nodes
    session = bench.run(open_session(bench, database))
    bench.ask(session, 'BEGIN')
    bench.ask(session, 'WRITE turn 1')
    write_many(context, count, database)
    bench.ask(session, 'WRITE turn 2')
    bench.ask(session, 'COMMIT')


@then("nothing else ran on the transaction's connection meanwhile")
def check_alone(context: Any) -> None:
    runs = context.nodes.group.runs
    inside = [run for run in runs if run.is_inside]
    assert [run.text for run in inside] == [
        'WRITE turn 1',
        'WRITE turn 2',
        'COMMIT',
    ], inside
    connections = {run.connection for run in inside}
    assert len(connections) == 1
    since, until = inside[0].at, inside[-1].at
    others = [
        run
        for run in runs
        if run.connection in connections and not run.is_inside
    ]
    between = [run for run in others if since <= run.at <= until]
    assert not between, between


@when('a caller of "{database}" leaves while its transaction waits for a slot')
def leave_waiting(context: Any, database: str) -> None:
    bench: NodeBench = context.nodes

    async def leave() -> None:
        others = [await open_session(bench, database) for _ in range(6)]
        await open_connections(bench, database)
        # Session values make the pool prefer other connections for the next
        # caller.
        for other in others:
            await bench.answer(other, 'SET lang rw')
        busy = [
            create_task(bench.answer(one, 'WRITE busy 1')) for one in others
        ]
        await sleep(0.004)
        session = await open_session(bench, database)
        await bench.answer(session, 'BEGIN')
        waiting = create_task(bench.answer(session, 'WRITE lost 1'))
        await sleep(0.004)
        waiting.cancel()
        with suppress(BaseException):
            await waiting
        await session.close()
        await gather(*busy)

    bench.run(leave())


@when('a caller of "{database}" writes with no values set')
def write_plain(context: Any, database: str) -> None:
    write_many(context, 1, database)


@when('{count:d} callers of "{database}" write')
def write_many(context: Any, count: int, database: str) -> None:
    bench: NodeBench = context.nodes

    async def call(number: int) -> None:
        session = await open_session(bench, database)
        await bench.answer(session, f'WRITE many{number} {number}')

    run_all(bench, [call(number) for number in range(count)])


@then('every statement ran outside a transaction but those of the first caller')
def check_outside(context: Any) -> None:
    strays = [
        run
        for run in context.nodes.group.runs
        if run.is_inside and run.text.split()[1] not in {'lost', 'warm'}
    ]
    assert not strays, strays


@when(
    'a caller of "{database}" at "{node}" reads '
    + 'while another writes for {seconds:g} s',
)
def read_beside(
    context: Any,
    database: str,
    node: str,
    seconds: float,
) -> None:
    bench: NodeBench = context.nodes
    callers: Callers = context.callers
    writer = bench.open(node, 'settle')
    reader = bench.open(node, database)
    until = bench.time.read_now() + seconds

    async def write() -> None:
        number = 0
        while read_clock() < until:
            number += 1
            await callers.ask(writer, f'WRITE item {number}')
            await sleep(0.02)

    run_all(bench, [write(), callers.read_on(reader, until, 0.01)])


@then('no read missed a write that was acknowledged {age:g} s before')
def check_age(context: Any, age: float) -> None:
    writes = [
        result for result in context.callers.list_writes() if result.is_done
    ]
    reads = [
        result
        for result in context.callers.results
        if result.text == 'READ item'
    ]
    assert len(reads) > 50
    for read in reads:
        due = [
            int(write.text.split()[-1])
            for write in writes
            if write.answered_at < read.asked_at - age
        ]
        if due:
            assert int(read.row or 0) >= max(due), read


@then('at least {share:d} % of the reads ran on replicas')
def check_share(context: Any, share: int) -> None:
    primary = context.nodes.group.find_primary().name
    reads = [run for run in context.nodes.group.runs if run.text == 'READ item']
    replica_reads = [run for run in reads if run.target != primary]
    assert len(replica_reads) >= len(reads) * share / 100, len(replica_reads)


@when('{count:d} callers of "{database}" at "{node}" read for {seconds:g} s')
def read_many(
    context: Any,
    count: int,
    database: str,
    node: str,
    seconds: float,
) -> None:
    bench: NodeBench = context.nodes
    writer = bench.open(node, 'settle')
    bench.ask(writer, 'WRITE item 1')
    until = bench.time.read_now() + seconds
    sessions = [bench.open(node, database) for _ in range(count)]
    context.reads_before = len(context.callers.results)
    run_all(
        bench,
        [context.callers.read_on(one, until, 0.001) for one in sessions],
    )


@then('at least {count:d} reads were done since')
def check_reads(context: Any, count: int) -> None:
    since = context.callers.results[context.reads_before :]
    done = [result for result in since if result.is_done]
    assert len(done) >= count, len(done)


@when('the next answer of each replica is lost')
def lose_replica_answers(context: Any) -> None:
    for target in context.nodes.group.list_replicas():
        target.answers_to_lose = 1


@when('the next answer of the primary is lost')
def lose_answer(context: Any) -> None:
    lose_answers(context, 1)


@when('the next {count:d} answers of the primary are lost')
def lose_answers(context: Any, count: int) -> None:
    context.nodes.group.find_primary().answers_to_lose = count


@when('{count:d} callers of "{database}" write and are not answered')
def write_unanswered(context: Any, count: int, database: str) -> None:
    bench: NodeBench = context.nodes

    async def call(number: int) -> None:
        session = await open_session(bench, database)
        await bench.answer(session, f'WRITE lost{number} 1')

    for number in range(count):
        bench.time.watch(call(number))


@when('a caller of "{database}" at "{node}" begins and runs "{text}"')
def begin(context: Any, database: str, node: str, text: str) -> None:
    context.session = context.nodes.open(node, database)
    context.nodes.ask(context.session, 'BEGIN')
    asked = context.callers.ask(context.session, text)
    context.result = context.nodes.run(asked)
    assert context.result.is_done


@then('its transaction is reported as rolled back')
def check_undone(context: Any) -> None:
    refusal = context.result.refusal
    assert isinstance(refusal, NotRun)
    assert refusal.cause is Cause.TRANSACTION_LOST, refusal


@then('the primary has no "{item}"')
def check_absent(context: Any, item: str) -> None:
    assert not context.nodes.group.find_primary().read(item)


@then('"{node}" is ready')
def check_ready(context: Any, node: str) -> None:
    assert context.nodes.nodes[node].service.is_ready()


@then('"{node}" is not ready')
def check_not_ready(context: Any, node: str) -> None:
    assert not context.nodes.nodes[node].service.is_ready()


async def open_connections(bench: NodeBench, database: str) -> None:
    """Open some connections from the first proxy to its primary."""

    async def use() -> None:
        session = await open_session(bench, database)
        await bench.answer(session, 'BEGIN')
        await bench.answer(session, 'WRITE warm 1')
        await bench.answer(session, 'ROLLBACK')

    await gather(*(use() for _ in range(CONNECTIONS)))


async def open_session(bench: NodeBench, database: str) -> Any:
    """Open a session at the first proxy."""
    first = next(iter(bench.nodes.values()))
    opened = await first.service.open_session(TrafficClass(database))
    return opened.unwrap()


def run_all(bench: NodeBench, works: list[Coroutine[Any, Any, Any]]) -> None:
    """Run several callers concurrently to their end."""

    async def run() -> None:
        await gather(*works)

    bench.run(run())


@then('the primary has no transaction open')
def check_none_open(context: Any) -> None:
    access = _find_owner_access(context)
    assert not access.owner.executor.transactions


def _find_owner_access(context: Any) -> Any:
    node = context.nodes.nodes[context.nodes.find_owner()]
    return node.service.find_access(GROUP)
