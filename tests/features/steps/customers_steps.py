"""Check customers' keys, sessions and limits."""

from asyncio import Task, create_task, gather, sleep
from bisect import bisect_left
from collections.abc import Iterable
from itertools import cycle, product
from typing import Any

from behave import given, then, when
from msgspec.structs import replace
from result import Err, Ok

from sedgeshunt.clocks import read_clock
from sedgeshunt.customers.directory import (
    Customer,
    CustomerLimit,
    Identity,
    digest_key,
)
from sedgeshunt.decisions import DecisionKind
from sedgeshunt.identifiers import CustomerId, KeyDigest, TrafficClass
from sedgeshunt.platform.refusals import name_refusal
from sedgeshunt.statements.session import StatementSession
from tests.features.node_bench import GROUP, ROUTES, NodeBench
from tests.features.node_callers import (
    WATCH_EVERY,
    CallerResult,
    Callers,
    open_bench,
)
from tests.standins.network import PLATFORM
from tests.standins.statement_group import CONNECTION_LIMIT

MILLISECONDS = 1000
PERCENT = 100
WINDOW = 5
# Allowed excess over a limit in a window: a share of it, and operations.
EXCESS_SHARE = 0.1
EXCESS_OPERATIONS = 20
# Time for a new configuration to reach all proxies.
PROPAGATION_TIME = 1.5


def make_customer(name: str, rate: float) -> Customer:
    """Return a customer with a key derived from its name."""
    return Customer(
        CustomerId(name),
        (find_key(name),),
        CustomerLimit(rate, rate),
    )


def find_key(name: str) -> KeyDigest:
    """Return the digest of a customer's key."""
    return digest_key(f'{name}-key')


def split(names: str) -> list[str]:
    """Split a comma-separated list of names."""
    return [name.strip() for name in names.split(',')]


@given('customers "{names}" of {rate:g} operations a second each')
def declare_customers(context: Any, names: str, rate: float) -> None:
    bench = open_bench(context)
    context.customers = split(names)
    bench.customers = [make_customer(name, rate) for name in context.customers]
    bench.declare_again()


@given('{count:d} customers of {rate:g} operations a second each')
def declare_many(context: Any, count: int, rate: float) -> None:
    names = ', '.join(f'customer{number}' for number in range(count))
    declare_customers(context, names, rate)


@given('"{database}" is open to anybody')
def open_route(context: Any, database: str) -> None:
    routes = (
        replace(route, allows_anonymous=route.traffic_class == database)
        for route in ROUTES
    )
    context.nodes.declare(tuple(routes))


@when('each of them writes and reads {times:d} times at "{one}" and "{other}"')
def write_and_read(context: Any, times: int, one: str, other: str) -> None:
    bench: NodeBench = context.nodes
    context.owners = {}

    async def call(name: str, node: str) -> None:
        session = await _open(bench, node, 'admin', name)
        for number in range(times):
            for text in (f'WRITE {name} {node}{number}', f'READ {name}'):
                await bench.answer(session, text)

    pairs = product(context.customers, (one, other))
    bench.run(_run_all(call(name, node) for name, node in pairs))


@then('each statement ran on a connection of its own customer')
def check_names(context: Any) -> None:
    runs = context.nodes.group.runs
    assert len(runs) >= 2 * len(context.customers), len(runs)
    wrong = [run for run in runs if run.text.split()[1] != run.customer]
    assert not wrong, wrong[:3]


@then('no key was sent to a target or a peer, or logged')
def check_keys(context: Any) -> None:
    bench: NodeBench = context.nodes
    told = [repr(run) for run in bench.group.runs]
    for node in bench.nodes.values():
        told += map(repr, node.decisions.list_decisions())
        told += map(repr, node.frames.sent)
    assert not list(filter(_names_key, told))


@then('a caller of "{database}" with the key "{key}" is told "{code}"')
def check_refused(context: Any, database: str, key: str, code: str) -> None:
    opened = _try_open(context, database, key)
    assert isinstance(opened, Err), opened
    assert name_refusal(opened.err_value)[0] == code, opened


@then('a caller of "{database}" with the key "" is told "{code}"')
def check_no_key(context: Any, database: str, code: str) -> None:
    check_refused(context, database, '', code)


@then('a caller of "{database}" with the key "{key}" is let in')
def check_let_in(context: Any, database: str, key: str) -> None:
    assert isinstance(_try_open(context, database, key), Ok)


@when('a caller of "{database}" with the key "{key}" is connected to "{node}"')
def connect(context: Any, database: str, key: str, node: str) -> None:
    bench: NodeBench = context.nodes
    context.caller = bench.open(node, database, digest_key(key))
    assert isinstance(bench.ask(context.caller, 'READ turn'), Ok)


@when(
    'a caller of "{database}" with the key "{key}" is connected to the proxy'
    + ' that owns nothing',
)
def connect_aside(context: Any, database: str, key: str) -> None:
    bench: NodeBench = context.nodes
    owner = bench.find_owner()
    context.aside = next(name for name in bench.nodes if name != owner)
    connect(context, database, key, context.aside)


@when('that proxy gets no new configuration')
def stop_versions(context: Any) -> None:
    service = context.nodes.nodes[context.aside].service
    service._configuration.take = _ignore_version


@when('a caller with the key "{key}" has begun a transaction at "{node}"')
def begin(context: Any, key: str, node: str) -> None:
    bench: NodeBench = context.nodes
    context.inside = bench.open(node, 'settle', digest_key(key))
    for text in ('BEGIN', 'WRITE inside 1'):
        assert isinstance(bench.ask(context.inside, text), Ok)


@when('the keys of "{names}" are revoked')
def revoke_keys(context: Any, names: str) -> None:
    bench: NodeBench = context.nodes
    gone = split(names)
    bench.customers = [
        replace(one, keys=()) if one.name in gone else one
        for one in bench.customers or ()
    ]
    bench.declare_again()
    bench.wait(PROPAGATION_TIME)


@then('the connected caller is told "{code}"')
def check_caller(context: Any, code: str) -> None:
    _check_code(context, context.caller, 'READ turn', code)


@then('the transaction can be completed')
def check_inside(context: Any) -> None:
    bench: NodeBench = context.nodes
    for text in ('WRITE inside 2', 'COMMIT'):
        assert isinstance(bench.ask(context.inside, text), Ok)
    assert bench.group.find_primary().read('inside') == '2'


@then('its caller is told "{code}" after it')
def check_after(context: Any, code: str) -> None:
    _check_code(context, context.inside, 'BEGIN', code)
    assert context.inside.is_key_revoked


_FAULTS = {
    'two customers have one key': lambda bar, hotel: [
        bar,
        replace(hotel, keys=bar.keys),
    ],
    'a customer is declared twice': lambda bar, hotel: [bar, bar],
    'a rate is 0': lambda bar, hotel: [
        replace(bar, limit=CustomerLimit(0, 1)),
        hotel,
    ],
    'a name has a blank': lambda bar, hotel: [
        replace(bar, name=CustomerId('b ar')),
    ],
    'a name is empty': lambda bar, hotel: [replace(bar, name=CustomerId(''))],
    'a key is empty': lambda bar, hotel: [
        replace(bar, keys=(digest_key(''),)),
    ],
}


@when('a document comes in which {fault}')
def declare_wrongly(context: Any, fault: str) -> None:
    bench: NodeBench = context.nodes
    assert bench.customers is not None
    bench.customers = _FAULTS[fault](*bench.customers)
    bench.declare_again()
    bench.wait(PROPAGATION_TIME)


@then('it is refused with "{words}", which names no key')
def check_problem(context: Any, words: str) -> None:
    bench: NodeBench = context.nodes
    refused = bench.list_decisions(DecisionKind.CONFIGURATION_REFUSED)
    assert refused
    assert words in refused[-1].reasons['why'], refused
    assert not list(filter(_names_key, map(repr, refused)))


@when('"{name}" writes {rate:g} times a second at all of them for {time:g} s')
def storm(context: Any, name: str, rate: float, time: float) -> None:
    bench: NodeBench = context.nodes
    context.callers_by_name = {}
    _start_writing(context, name, rate, list(bench.nodes), time)
    context.write_time = time


@when(
    '{count:d} callers of "{name}" write all the time at all of them for'
    + ' {time:g} s',
)
def press(context: Any, count: int, name: str, time: float) -> None:
    bench: NodeBench = context.nodes
    context.callers_by_name = {name: Callers(bench)}
    context.write_time = time
    for _, node in zip(range(count), cycle(bench.nodes), strict=False):
        session = bench.open(node, 'settle', find_key(name))
        bench.time.watch(
            context.callers_by_name[name].write_on(session, WATCH_EVERY)
        )


@when('"{name}" writes {rate:g} times a second at all of them meanwhile')
def write_meanwhile(context: Any, name: str, rate: float) -> None:
    bench: NodeBench = context.nodes
    nodes = list(bench.nodes)
    _start_writing(context, name, rate, nodes, context.write_time)
    bench.wait(context.write_time + 1)


@when('"{name}" writes {rate:g} times a second at "{node}" for {time:g} s')
def write_at(
    context: Any,
    name: str,
    rate: float,
    node: str,
    time: float,
) -> None:
    context.callers_by_name = {}
    _start_writing(context, name, rate, [node], time)
    context.nodes.wait(time + 1)


@then('in any 5 s at most {rate:g} a second and the burst of "{name}" ran')
def check_runs(context: Any, rate: float, name: str) -> None:
    runs = context.nodes.group.runs
    moments = [run.at for run in runs if run.customer == name]
    _check_windows(moments, rate)


@then('what was refused to "{name}" was refused within {limit:d} ms')
def check_refusals(context: Any, name: str, limit: int) -> None:
    results: list[CallerResult] = context.callers_by_name[name].results
    refused = [one for one in results if not one.is_done]
    assert refused
    late = [one for one in refused if _measure(one) > limit]
    assert not late, (len(late), len(refused), max(map(_measure, late)))
    codes = {name_refusal(one.refusal)[0] for one in refused}
    assert codes == {'TOOMANY'}, codes


@then('{share:d} % of the writes of "{name}" were done within {limit:d} ms')
def check_writes(context: Any, share: int, name: str, limit: int) -> None:
    results: list[CallerResult] = context.callers_by_name[name].results
    quick = [one for one in results if one.is_done and _measure(one) <= limit]
    assert results
    assert len(quick) * PERCENT >= share * len(results), (
        len(quick),
        len(results),
    )


@when('all zones are partitioned from each other')
def cut_all(context: Any) -> None:
    bench: NodeBench = context.nodes
    places = [node.place for node in bench.nodes.values()]
    for one, other in product(places, places):
        if one.zone < other.zone:
            bench.network.cut(one.name, other.name)
    for place in places:
        bench.network.cut(place.name, PLATFORM.name)
    bench.wait(1)


@when('all quota servers but one are partitioned from the other proxies')
def cut_quota_servers(context: Any) -> None:
    bench: NodeBench = context.nodes
    plan = bench.nodes['east-1'].service._quota_links.plan()
    _, *gone = sorted((*plan.near, *plan.far))
    context.rest = [name for name in bench.nodes if name not in gone]
    for one, other in product(gone, context.rest):
        bench.network.cut(one, other)
    bench.wait(0.5)


@when(
    '"{name}" asks for {rate:g} operations a second at these for {time:g} s',
)
def ask_rest(context: Any, name: str, rate: float, time: float) -> None:
    _ask_gates(context, name, rate, context.rest, time)


@when(
    '"{name}" asks for {rate:g} operations a second at all of them for'
    + ' {time:g} s',
)
def ask_everywhere(context: Any, name: str, rate: float, time: float) -> None:
    nodes = list(context.nodes.nodes)
    _ask_gates(context, name, rate, nodes, time)


@when(
    '"{victim}" is killed as "{name}" asks for {rate:g} operations a second at'
    + ' "{node}" for {time:g} s',
)
def ask_and_kill(
    context: Any,
    victim: str,
    name: str,
    rate: float,
    node: str,
    time: float,
) -> None:
    bench: NodeBench = context.nodes
    bench.nodes[victim].kill()
    _ask_gates(context, name, rate, [node], time)


@then('in any 5 s at most {rate:g} a second and the burst of "{name}" were')
@then(
    'in any 5 s at most {rate:g} a second and the burst of "{name}" were'
    + ' allowed',
)
def check_allowed(context: Any, rate: float, name: str) -> None:
    _check_windows([at for at, _ in context.allowed], rate)


@then(
    'in any 5 s at most {rate:g} a second and the burst of "{name}" were'
    + ' allowed lately',
)
def check_allowed_late(context: Any, rate: float, name: str) -> None:
    since = context.nodes.time.read_now() - WINDOW - 1
    late = [at for at, _ in context.allowed if at >= since]
    _check_windows(late, rate)


@then('each of them allowed some')
def check_each(context: Any) -> None:
    assert {node for _, node in context.allowed} == set(context.nodes.nodes)


@then('at least {share:d} % of what "{name}" asked for was allowed')
def check_share(context: Any, share: int, name: str) -> None:
    allowed = len(context.allowed)
    assert allowed * PERCENT >= share * context.asked, (allowed, context.asked)


@when('the limit of "{name}" is lowered to {rate:g} operations a second')
def lower(context: Any, name: str, rate: float) -> None:
    context.nodes.customers = [make_customer(name, rate)]
    context.nodes.declare_again()


@when('all proxies restart')
def restart_all(context: Any) -> None:
    bench: NodeBench = context.nodes
    for node in bench.nodes.values():
        node.kill()
    bench.wait(0.1)
    for name in tuple(bench.nodes):
        bench.restart(name)
    bench.wait(1)


@when('all of them read every {pause:g} s at all proxies for {time:g} s')
def read_everywhere(context: Any, pause: float, time: float) -> None:
    bench: NodeBench = context.nodes
    context.others = Callers(bench)
    until = bench.time.read_now() + time
    for node, name in product(bench.nodes, context.customers):
        session = bench.open(node, 'browse', find_key(name))
        bench.time.watch(context.others.read_on(session, until, pause))
        # The callers start one after the other.
        bench.wait(pause / len(bench.nodes) / len(context.customers))
    bench.wait(2)
    context.opened_before = _count_opened(bench)
    context.asked_before = len(context.others.results)
    bench.time.watch(_watch_connections(context))
    bench.wait(time - 2)


@then(
    'fewer than {share:g} connections a read were opened in the last'
    + ' {time:g} s',
)
def check_opened(context: Any, share: float, time: float) -> None:
    opened = _count_opened(context.nodes) - context.opened_before
    asked = len(context.others.results) - context.asked_before
    assert opened < share * asked, (opened, asked)


@then('no target had more connections than it takes')
def check_connections(context: Any) -> None:
    assert context.most_connections <= CONNECTION_LIMIT


@then('at least {share:d} % of the reads were done within {limit:d} ms')
def check_reads(context: Any, share: int, limit: int) -> None:
    results: list[CallerResult] = context.others.results
    quick = [one for one in results if one.is_done and _measure(one) <= limit]
    assert len(quick) * PERCENT >= share * len(results), (
        len(quick),
        len(results),
    )


@when(
    '"{name}" reads every {pause:g} s at a proxy for {time:g} s as its reader'
    + ' is partitioned off',
)
def read_and_cut(context: Any, name: str, pause: float, time: float) -> None:
    bench: NodeBench = context.nodes
    groups = bench.nodes['east-1'].service._groups
    reader = groups.list_customer_readers(GROUP, CustomerId(name))[0][0]
    node = next(other for other in bench.nodes if other != reader)
    context.others = Callers(bench)
    session = bench.open(node, 'browse', find_key(name))
    assert isinstance(bench.ask(session, 'READ turn'), Ok)
    bench.network.cut(node, reader)
    until = bench.time.read_now() + time
    bench.run(context.others.read_on(session, until, pause))


async def _open(
    bench: NodeBench,
    node: str,
    database: str,
    name: str,
) -> StatementSession:
    service = bench.nodes[node].service
    opened = await service.open_session(TrafficClass(database), find_key(name))
    return opened.unwrap()


def _try_open(context: Any, database: str, key: str) -> Any:
    bench: NodeBench = context.nodes
    service = next(iter(bench.nodes.values())).service
    digest = digest_key(key)
    return bench.run(service.open_session(TrafficClass(database), digest))


def _ignore_version(pair: object) -> None:
    """Ignore a new configuration."""


def _check_code(context: Any, session: Any, text: str, code: str) -> None:
    outcome = context.nodes.ask(session, text)
    assert isinstance(outcome, Err), outcome
    assert name_refusal(outcome.err_value)[0] == code, outcome


async def _run_all(calls: Iterable[Any]) -> None:
    await gather(*calls)


def _start_writing(
    context: Any,
    name: str,
    rate: float,
    nodes: list[str],
    time: float,
) -> None:
    bench: NodeBench = context.nodes
    callers = Callers(bench)
    context.callers_by_name[name] = callers
    until = bench.time.read_now() + time

    async def write(place: int) -> None:
        # The callers' writes are spread evenly over each second.
        node = nodes[place % len(nodes)]
        session = await _open(bench, node, 'settle', name)
        await sleep(place / rate)
        while read_clock() < until:
            came_at = read_clock()
            await callers.ask(session, f'WRITE {name} {place}')
            await sleep(max(0, came_at + 1 - read_clock()))

    for place in range(int(rate)):
        bench.time.watch(write(place))


def _ask_gates(
    context: Any,
    name: str,
    rate: float,
    nodes: list[str],
    time: float,
) -> None:
    """Call only the proxies' gates, so that no target has to be reachable."""
    bench: NodeBench = context.nodes
    if not hasattr(context, 'allowed'):
        context.allowed = []
        context.asked = 0
    identity = Identity(CustomerId(name), find_key(name), 1)

    async def ask(node: str) -> None:
        refusal = await bench.nodes[node].service._gate.admit(identity)
        if refusal is None:
            context.allowed.append((read_clock(), node))

    async def ask_on() -> None:
        turns = cycle(nodes)
        for _ in range(int(rate * time)):
            context.asked += 1
            asking.append(create_task(ask(next(turns))))
            await sleep(1 / rate)
        await gather(*asking)

    asking: list[Task[None]] = []
    bench.run(ask_on())


def _names_key(text: str) -> bool:
    return '-key' in text


def _check_windows(moments: list[float], rate: float) -> None:
    assert moments
    ordered = sorted(moments)
    most = (rate * WINDOW + rate) * (1 + EXCESS_SHARE) + EXCESS_OPERATIONS
    for first, began in enumerate(ordered):
        ran = bisect_left(ordered, began + WINDOW) - first
        assert ran <= most, (ran, most, began)


def _count_opened(bench: NodeBench) -> int:
    return sum(target.opened for target in bench.group.targets.values())


async def _watch_connections(context: Any) -> None:
    context.most_connections = 0
    targets = context.nodes.group.targets.values()
    while True:
        most = max(target.connections for target in targets)
        context.most_connections = max(context.most_connections, most)
        await sleep(0.005)


def _measure(result: CallerResult) -> float:
    return (result.answered_at - result.asked_at) * MILLISECONDS
