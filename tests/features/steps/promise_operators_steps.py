"""Define steps for configuration changes and leaving instances."""

from asyncio import gather
from collections.abc import Mapping
from typing import Any

from behave import then, when

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.errors import RevisionConflict
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import ObjectKind
from sedgeshunt.configuration.registry import ConfigurationRegistry
from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.identifiers import TargetId, ZoneId
from sedgeshunt.ports import Address, InstanceState, ListedInstance
from tests.deployment import HOST
from tests.features.promise_bench import GROUP, PromiseBench
from tests.ledger import Promise
from tests.standins.network import Place
from tests.standins.platform import MemoryKeyValue
from tests.standins.records import EventKind

FIRST_PORT = 3000
DRAINED_AFTER = 3
NEW_WORK = frozenset((EventKind.RAN, EventKind.BEGAN))


@when('operator "{name}" labels database {number:d} as {state}')
def label(context: Any, name: str, number: int, state: str) -> None:
    bench = context.bench
    labels = {'state': state}
    context.results = {name: bench.run(change(bench, name, number, labels))}
    if state == 'leaving':
        expect_drained(context, number)


@when('operators "{one}" and "{other}" colour database {number:d} at once')
def race(context: Any, one: str, other: str, number: int) -> None:
    bench = context.bench

    async def both() -> Any:
        return await gather(
            *(
                change(bench, name, number, {'colour': name})
                for name in (one, other)
            ),
        )

    context.results = dict(zip((one, other), bench.run(both()), strict=True))
    bench.checks.append(lambda: check_colours(context, number))


@when('operator "{name}" colours database {number:d}')
def colour(context: Any, name: str, number: int) -> None:
    bench = context.bench
    labels = {'colour': name}
    context.results = {name: bench.run(change(bench, name, number, labels))}
    bench.checks.append(lambda: check_colours(context, number))


@when('the list shows database {number:d} as leaving')
def list_leaving(context: Any, number: int) -> None:
    deployment = context.bench.deployment
    database = context.bench.group[f'{GROUP}-db{number}']
    line = ListedInstance(
        database.name,
        Address(HOST, FIRST_PORT + number),
        ZoneId(database.place.zone),
        InstanceState.LEAVING,
    )
    shown = [*deployment.instances.list_newest(), line]
    context.bench.act(lambda: deployment.instances.publish(shown))
    expect_drained(context, number)


@when('"{proxy}" announces that database {number:d} is leaving')
def announce(context: Any, proxy: str, number: int) -> None:
    node = context.bench.deployment.nodes[proxy].proxy
    name = f'{GROUP}-db{number}'
    context.bench.run(node.announce_leaving(name))
    context.bench.run(node.roster.announce_leaving(name))
    expect_drained(context, number)


@then('operator "{name}" gets the outcome "{word}"')
def check_operator(context: Any, name: str, word: str) -> None:
    assert context.results[name] == word, context.results


@then('exactly one operator gets the outcome "done"')
def check_winner(context: Any) -> None:
    assert sorted(context.results.values()) == ['conflict', 'done'], (
        context.results
    )


async def change(
    bench: PromiseBench,
    operator: str,
    number: int,
    labels: Mapping[str, str],
) -> str:
    place = Place(operator, 'zone-c')
    service = MemoryKeyValue(bench.deployment.platform, place)
    registry = ConfigurationRegistry(service, operator)
    key = ObjectKey(ObjectKind.TARGET, f'{GROUP}-db{number}')
    try:
        await registry.set_labels(key, labels, 'test')
    except RevisionConflict:
        return 'conflict'
    except (AnswerLost, PlatformUnavailable):
        return 'no answer'
    return 'done'


def check_colours(context: Any, number: int) -> None:
    bench = context.bench
    feed = bench.deployment.nodes['p3'].proxy.feed
    target = feed.snapshot.targets[TargetId(f'{GROUP}-db{number}')]
    done = [
        name for name, result in context.results.items() if result == 'done'
    ]
    if done != [target.labels.get('colour')]:
        detail = f'{context.results} and {target.labels}'
        bench.ledger.break_promise(Promise.CONFIGURATION, detail)


def expect_drained(context: Any, number: int) -> None:
    bench = context.bench
    name = f'{GROUP}-db{number}'

    async def mark() -> float:
        return read_clock()

    after = bench.run(mark()) + DRAINED_AFTER

    def check() -> None:
        late = [
            event
            for event in bench.group.history
            if event.kind in NEW_WORK
            and event.at > after
            and event.database == name
        ]
        if late:
            bench.ledger.break_promise(Promise.LEAVING, str(late[0]))

    bench.checks.append(check)
