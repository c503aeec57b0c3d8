"""Check the burn report of running proxies in virtual time."""

from asyncio import Runner, create_task, sleep
from collections.abc import Coroutine, Sequence
from random import Random
from typing import Any

from behave import given, then, when
from msgspec.json import decode

from sedgeshunt.burn.exchange import TallyExchange
from sedgeshunt.burn.report import build_report
from sedgeshunt.burn.tally import Tally
from sedgeshunt.cli.testing import CommandRunner
from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Objective, Proxy
from sedgeshunt.identifiers import (
    GroupId,
    ProxyId,
    Seconds,
    TargetId,
    TrafficClass,
    ZoneId,
)
from sedgeshunt.ports import Address
from tests.deployment import Deployment, Profile
from tests.standins.network import Place
from tests.standins.peers import MemoryPeerConnector, MemoryPeers
from tests.standins.platform import MemoryKeyValue
from tests.virtual_time import make_loop

DESK = Place('desk', 'office')
DEFAULT = TrafficClass('default')
INSERT = "INSERT INTO turns (ref) VALUES ('a')"


def run(context: Any, work: Coroutine[Any, Any, Any]) -> Any:
    return context.runner.run(work)


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


@when('{count:d} writes are made at "{proxy}" and a minute and a half goes by')
def write_and_wait(context: Any, count: int, proxy: str) -> None:
    run(context, write(context.fleet, count, proxy))
    run(context, sleep(90))


async def write(fleet: Deployment, count: int, proxy: str) -> None:
    caller = fleet.open_caller()
    await caller.connect(proxy)
    for number in range(count):
        name = f'{proxy}-{number}'
        assert (await caller.ask(INSERT, request_id=name)).is_ok()
    await caller.leave()


@when(
    'the primary dies, {count:d} writes are made at "{proxy}" and "{other}" '
    'is restarted',
)
def fail_over(context: Any, count: int, proxy: str, other: str) -> None:
    async def act(fleet: Deployment) -> None:
        fleet.groups[GroupId('lease')].databases[TargetId('lease-db1')].kill()
        await write(fleet, count, proxy)
        await fleet.kill_proxy(other)
        fleet.start_proxy(other)
        await fleet.wait_ready()

    run(context, act(context.fleet))


@when('proxy "{proxy}" of the fleet is killed')
def kill(context: Any, proxy: str) -> None:
    run(context, context.fleet.kill_proxy(proxy))


@then('"{command}" ends with code {code:d}')
def invoke(context: Any, command: str, code: int) -> None:
    runner = CommandRunner(
        MemoryKeyValue(context.fleet.platform, DESK),
        MemoryPeerConnector(context.fleet._peers, DESK),
    )
    context.ended = run(context, runner.invoke(command.split()))
    assert context.ended.exit_code == code, context.ended


@then(
    'it shows {total:d} requests and a gap of "{group}" between {low:g} and '
    '{high:g} s',
)
def check_shown(context: Any, total: int, group: str, **ends: float) -> None:
    report = decode(context.ended.stdout)
    window = report['objectives'][0]['windows'][-1]
    assert (window['total'], window['bad']) == (total, 0), window
    gaps = report['gaps']
    assert [gap['group'] for gap in gaps] == [group], gaps
    assert ends['low'] < gaps[0]['seconds'] < ends['high'], gaps


@then('only "{proxy}" is known to have had an earlier run')
def check_past(context: Any, proxy: str) -> None:
    report = decode(context.ended.stdout)
    known = set(report['answered']) - set(report['without_past'])
    assert known == {proxy}, report


@then('its {stream} have "{words}"')
@then('its {stream} has "{words}"')
def check_text(context: Any, stream: str, words: str) -> None:
    ended = context.ended
    text = ended.stdout if stream == 'output' else ended.stderr
    assert all(word in text for word in words.split(', ')), text


class CountingProxy:
    """Hold what one proxy has of counts and copies."""

    def __init__(self, peers: MemoryPeers, ring: list[Proxy], own: Proxy):
        self.tally = Tally(own.name)
        place = Place(own.name, own.zone)
        self.exchange = TallyExchange(
            ProxyId(own.name),
            self.tally,
            MemoryPeerConnector(peers, place),
            lambda: ring,
            Random(own.name),
        )
        service: Any = self
        peers.add(Address(own.host, own.peer_port), place, service)
        self.task = create_task(self.exchange.run())

    async def copy_tallies(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> list[bytes]:
        return self.exchange.answer(since, proxies)


@when(
    '{proxies:d} proxies count {count:d} requests each and are replaced, one '
    'every {pause:d} s',
)
def replace_all(context: Any, proxies: int, count: int, pause: int) -> None:
    with Runner(loop_factory=make_loop) as runner:
        context.copied = runner.run(roll(proxies, count, pause))


async def roll(proxies: int, count: int, pause: int) -> list[bytes]:
    peers = MemoryPeers()
    ring = [
        Proxy(f'p{number}', ZoneId('east'), '127.0.0.1', 7000 + number)
        for number in range(proxies)
    ]
    running = [CountingProxy(peers, ring, own) for own in ring]
    for proxy in running:
        noted = (DEFAULT, 'done', '', '', Seconds(0), read_clock())
        for _ in range(count):
            proxy.tally.note(*noted)
    for number, own in enumerate(ring):
        await sleep(pause)
        running[number].task.cancel()
        running[number] = CountingProxy(peers, ring, own)
    await sleep(pause)
    answers = [proxy.exchange.answer(Seconds(9999)) for proxy in running]
    return [document for answer in answers for document in answer]


@then(
    'their copies show {total:d} requests and {known:d} proxies with an '
    'earlier run',
)
def check_copies(context: Any, total: int, known: int) -> None:
    report = build_report(context.copied, [Objective('all', DEFAULT)], ())
    spending = report.objectives[0].windows[-1].spending
    assert spending.total == total, spending
    past = set(report.answered) - set(report.without_past)
    assert len(past) == known, report
