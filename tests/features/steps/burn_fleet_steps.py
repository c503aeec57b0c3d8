"""Check the burn report of running proxies in virtual time."""

from asyncio import Runner, sleep
from collections.abc import Coroutine
from typing import Any

from behave import given, then, when
from msgspec.json import decode

from sedgeshunt.cli.testing import CommandRunner
from sedgeshunt.configuration.objects import Objective
from sedgeshunt.identifiers import GroupId, TargetId, TrafficClass
from tests.deployment import Deployment, Profile
from tests.standins.network import Place
from tests.standins.peers import MemoryPeerConnector
from tests.standins.platform import MemoryKeyValue
from tests.virtual_time import make_loop

OPERATOR_PLACE = Place('desk', 'office')
INSERT = "INSERT INTO turns (ref) VALUES ('a')"


def run(context: Any, coroutine: Coroutine[Any, Any, Any]) -> Any:
    return context.runner.run(coroutine)


@given('a running fleet with an objective for "{name}"')
def start_fleet(context: Any, name: str) -> None:
    context.runner = Runner(loop_factory=make_loop)
    context.add_cleanup(context.runner.close)
    context.fleet = Deployment(Profile(proxies=3))
    run(context, context.fleet.__aenter__())
    context.add_cleanup(
        lambda: run(context, context.fleet.__aexit__(None, None, None)),
    )
    context.fleet.put_objects([Objective(name, TrafficClass(name))])


async def write(fleet: Deployment, count: int, proxy: str) -> None:
    caller = fleet.open_caller()
    await caller.connect(proxy)
    for number in range(count):
        name = f'{proxy}-{number}'
        assert (await caller.ask(INSERT, request_id=name)).is_ok()
    await caller.leave()


@when('{count:d} writes are made at "{proxy}" and {seconds:d} s go by')
def write_and_wait(context: Any, seconds: int, **batch: Any) -> None:
    run(context, write(context.fleet, **batch))
    run(context, sleep(seconds))


@when('the primary fails and {count:d} writes are made at "{proxy}"')
def fail_over(context: Any, count: int, proxy: str) -> None:
    async def act(fleet: Deployment) -> None:
        group = fleet.groups[GroupId('lease')]
        group.databases[TargetId('lease-db1')].kill()
        await write(fleet, count, proxy)
        await fleet.wait_ready()

    run(context, act(context.fleet))


@when('proxy "{name}" is replaced and {seconds:d} s go by')
def replace(context: Any, name: str, seconds: int) -> None:
    async def act(fleet: Deployment) -> None:
        await fleet.kill_proxy(name)
        fleet.start_proxy(name)
        await fleet.wait_ready()
        await sleep(seconds)

    run(context, act(context.fleet))


@when('proxy "{name}" is lost')
def lose(context: Any, name: str) -> None:
    run(context, context.fleet.kill_proxy(name))


@then('"{command}" ends with code {code:d}')
def invoke(context: Any, command: str, code: int) -> None:
    runner = CommandRunner(
        MemoryKeyValue(context.fleet.platform, OPERATOR_PLACE),
        MemoryPeerConnector(context.fleet._peers, OPERATOR_PLACE),
    )
    context.result = run(context, runner.invoke(command.split()))
    assert context.result.exit_code == code, context.result


@then('it shows {total:d} requests, an earlier run of "{names}"')
def check_shown(context: Any, total: int, names: str) -> None:
    report = decode(context.result.stdout)
    window = report['objectives'][0]['windows'][-1]
    assert (window['total'], window['bad']) == (total, 0), window
    past = set(report['answered']) - set(report['without_past'])
    assert past == set(names.split(', ')), report


@then('a gap of "{group}" between {low:g} and {high:g} s')
def check_gap(context: Any, group: str, low: float, high: float) -> None:
    gaps = decode(context.result.stdout)['gaps']
    assert [gap['group'] for gap in gaps] == [group], gaps
    assert low < gaps[0]['seconds'] < high, gaps


@then('the output has "{words}"')
def check_output(context: Any, words: str) -> None:
    text = context.result.stdout + context.result.stderr
    assert all(word in text for word in words.split(', ')), text
