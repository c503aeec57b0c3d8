"""Show how the stand-ins fail."""

from asyncio import Runner, create_task, sleep, wait_for
from collections.abc import Awaitable
from contextlib import closing, suppress
from random import Random
from typing import Any

from async_solipsism import EventLoop
from asyncmy import connect
from asyncmy.errors import OperationalError
from behave import given, step, then, when

from sedgeshunt.exceptions import (
    AnswerLost,
    FenceRefused,
    TargetLost,
    TargetReadOnly,
)
from sedgeshunt.identifiers import GroupId, Revision, TargetId, Term, ZoneId
from sedgeshunt.ports import Address, Compare, Put
from tests.standins.engine import DatabaseGroup
from tests.standins.links import MemoryConnection, MemoryConnector
from tests.standins.mysql_front import LOOPBACK, MysqlFront
from tests.standins.network import Network, Place
from tests.standins.platform import KeyValueStandIn, MemoryKeyValue
from tests.standins.records import EventKind

Context = Any
ZONES = {'a': 'zone-a', 'b': 'zone-b', 'c': 'zone-c'}
SCHEMA = ['CREATE TABLE songs (id INTEGER PRIMARY KEY)']
NOWHERE = Address('', 0)
CHANGE = Put('/objects/group/songs', b'{}')
ABSENT = Compare(CHANGE.key, Revision(0))


def build_group(random: Random | None = None) -> DatabaseGroup:
    group = DatabaseGroup(ZONES, Network(), random=random)
    group.load_schema(SCHEMA)
    group.start('a')
    return group


async def open_connection(
    group: DatabaseGroup,
    name: str,
) -> MemoryConnection:
    connector = MemoryConnector({GroupId('g'): group}, ZoneId(''), 'client')
    return await connector.connect(TargetId(name), NOWHERE, GroupId('g'))


def run(context: Context, steps: Awaitable[Any]) -> Any:
    async def bounded() -> Any:
        return await wait_for(steps, 60)

    return context.runner.run(bounded())


def write_song(number: int) -> str:
    return f'INSERT INTO songs (id) VALUES ({number})'


def find_song(context: Context, name: str, number: int) -> bool:
    query = f'SELECT id FROM songs WHERE id = {number}'
    return bool(context.group.select(name, query))


@given('a stand-in group of a, b and c that a leads')
def start_group(context: Context) -> None:
    context.runner = Runner(loop_factory=EventLoop)
    context.add_cleanup(context.runner.close)

    async def build() -> DatabaseGroup:
        return build_group()

    context.group = run(context, build())
    context.add_cleanup(context.group.databases.clear)


@when('stand-in {name} lags {seconds:g} s')
def lag(context: Context, name: str, seconds: float) -> None:
    context.group[name].set_lag(seconds)


@step('stand-in time goes on by {seconds:g} s')
def pass_time(context: Context, seconds: float) -> None:
    run(context, sleep(seconds))


@when('a stand-in client writes song {number:d} on {name}')
def write(context: Context, number: int, name: str) -> None:
    async def steps() -> None:
        connection = await open_connection(context.group, name)
        await connection.execute(write_song(number))

    run(context, steps())


@when('a stand-in client opens a transaction with song {number:d} on {name}')
def open_transaction(context: Context, number: int, name: str) -> None:
    async def steps() -> MemoryConnection:
        connection = await open_connection(context.group, name)
        await connection.execute('BEGIN')
        await connection.execute(write_song(number))
        return connection

    context.connection = run(context, steps())


@then('the stand-in COMMIT is refused with {code:d}')
def commit(context: Context, code: int) -> None:
    try:
        run(context, context.connection.execute('COMMIT'))
    except TargetReadOnly as refusal:
        assert refusal.code == code
        return
    raise AssertionError('COMMIT was accepted')


@then('stand-in {name} has song {number:d}')
def check_present(context: Context, name: str, number: int) -> None:
    assert find_song(context, name, number)


@then('stand-in {name} lacks song {number:d}')
def check_absent(context: Context, name: str, number: int) -> None:
    assert not find_song(context, name, number)


@when('stand-in {name} is cut from {one} and {other}')
def cut(context: Context, name: str, one: str, other: str) -> None:
    for zone in (one, other):
        context.group[name].cut(zone)


def change_roles(context: Context, *calls: tuple[Any, ...]) -> None:
    async def steps() -> None:
        for call, *given_values in calls:
            call(*given_values)

    run(context, steps())


@when('stand-ins b and c are fenced for term {term:d}')
def fence_two(context: Context, term: int) -> None:
    group = context.group
    change_roles(context, (group['b'].fence, term), (group['c'].fence, term))


@when('all stand-ins are fenced for term {term:d} and b is promoted')
def fence_all(context: Context, term: int) -> None:
    change_roles(context, (context.group['a'].fence, term))
    fence_two(context, term)
    promote(context, 'b', term)


@when('stand-in {name} is promoted in term {term:d}')
def promote(context: Context, name: str, term: int) -> None:
    change_roles(context, (context.group[name].promote, Term(term)))


@then('stand-in {name} refuses to be promoted in term {term:d}')
def refuse_promotion(context: Context, name: str, term: int) -> None:
    try:
        promote(context, name, term)
    except FenceRefused:
        assert context.group.list_events(EventKind.RIVAL)
        assert context.group.find_leader().name == 'b'
        return
    raise AssertionError('two primaries in one term')


@when('the stand-in cut is healed and a and c follow b in term {term:d}')
def heal(context: Context, term: int) -> None:
    group = context.group
    calls = [(group[name].follow, term, 'b') for name in ('a', 'c')]
    change_roles(context, *calls, (group['a'].heal,))


@then('the log of stand-in {name} ends at {term:d}:{position:d}')
def check_end(context: Context, name: str, term: int, position: int) -> None:
    assert context.group[name].log_end == (term, position)


@then('the stand-in history on {name} is "{kinds}"')
def check_history(context: Context, name: str, kinds: str) -> None:
    skipped = {EventKind.CONNECTED, EventKind.CLOSED}
    seen = [
        event.kind.value
        for event in context.group.history
        if event.database == name and event.kind not in skipped
    ]
    # The first two are the start of the group.
    assert ', '.join(seen[2:]) == kinds, seen


async def kill_during_write(seed: int) -> bool:
    group = build_group(Random(seed))
    connection = await open_connection(group, 'a')
    writing = create_task(connection.execute(write_song(1)))
    await sleep(0.001)
    group['a'].kill()
    with suppress(TargetLost):
        await writing
        raise AssertionError('a killed stand-in answered')
    group['a'].restart()
    ran = bool(group.select('a', 'SELECT id FROM songs'))
    committed = group.list_events(EventKind.COMMITTED, write_song(1))
    assert len(committed) == ran
    group.close()
    return ran


@when('a write is in service at each of {count:d} killed stand-ins')
def kill(context: Context, count: int) -> None:
    context.fates = [
        run(context, kill_during_write(seed)) for seed in range(count)
    ]


@then('some stand-in writes have run and some have not, as the history says')
def check_fates(context: Context) -> None:
    assert set(context.fates) == {True, False}


@when('the stand-in service loses the answer to a change')
def lose_answer(context: Context) -> None:
    service = KeyValueStandIn()
    context.store = MemoryKeyValue(service, Place('proxy', 'zone-a'))
    service.lose_next_answers(1)
    try:
        run(context, context.store.commit([ABSENT], [CHANGE]))
    except AnswerLost:
        return
    raise AssertionError('the answer came')


@then('the stand-in change is found by reading and by a watch')
def read_back(context: Context) -> None:
    listing = run(context, context.store.list_prefix('/objects/'))
    watch = context.store.watch('/objects/', Revision(listing.revision - 1))
    events = run(context, anext(watch))
    assert [pair.value for pair in listing.pairs] == [CHANGE.value]
    assert [event.value for event in events] == [CHANGE.value]


@then('the same stand-in change is refused the second time')
def repeat_change(context: Context) -> None:
    answer = run(context, context.store.commit([ABSENT], [CHANGE]))
    assert not answer.succeeded


async def write_by_driver(front: MysqlFront) -> str:
    await front.start()
    user = 'client@zone-a'
    async with connect(host=LOOPBACK, port=front.port, user=user) as link:
        cursor = link.cursor()
        await cursor.execute(write_song(1))
        await cursor.execute('COMMIT')
        return str(link._result.message.decode())


async def use_driver(expected: str, code: int) -> None:
    group = build_group()
    with closing(group):
        front = MysqlFront(group['a'])
        assert await write_by_driver(front) == f'point={expected}'
        front.stop()
        front = MysqlFront(group['b'])
        with suppress(OperationalError):
            await write_by_driver(front)
            raise AssertionError('a replica took a write')
        front.stop()
    refused = group.list_events(EventKind.REFUSED, str(code))
    assert [event.database for event in refused] == ['b']


@then('a MySQL driver gets point {point} from a and error {code:d} from b')
def check_driver(context: Context, point: str, code: int) -> None:
    with Runner() as runner:
        runner.run(wait_for(use_driver(point, code), 10))
