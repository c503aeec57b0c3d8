"""Check which instances and peers the proxies count as live."""

from asyncio import sleep
from collections import Counter
from random import Random
from typing import Any

from behave import given, then, when

from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import STATE_LABEL, ObjectKind, Target
from sedgeshunt.decisions import DecisionKind
from sedgeshunt.exceptions import PeerUnreachable
from sedgeshunt.identifiers import ProxyId, Seconds, TargetId, ZoneId
from sedgeshunt.membership.choice import KnownPeer, choose_peers
from sedgeshunt.membership.peer_clients import PeerClient
from sedgeshunt.ports import (
    Address,
    InstanceState,
    ListedInstance,
    PeerConnection,
)
from tests.features.fleet_bench import GROUP, HOST, ZONES, FleetBench, FleetNode
from tests.standins.network import Place
from tests.standins.peers import MemoryPeerConnector


@given('{count:d} proxy runs and the list shows all targets as live')
@given('{count:d} proxies run and the list shows all targets as live')
def run_fleet(context: Any, count: int) -> None:
    context.bench = FleetBench()
    context.add_cleanup(context.bench.close)
    context.bench.declare()
    context.announcer = None
    publish(context, {})
    context.bench.start(count)
    context.bench.wait(4)


@when('the list shows target "{name}" as {state} for {seconds:g} seconds')
def list_target(context: Any, name: str, state: str, seconds: float) -> None:
    publish(context, {name: InstanceState(state)})
    context.bench.wait(seconds)


@when('the list is unreachable for {seconds:g} seconds')
def stop_list(context: Any, seconds: float) -> None:
    context.bench.instances.down = True
    context.bench.wait(seconds)
    context.bench.instances.down = False


@when('proxy "{name}" announces that "{instance}" is leaving')
def announce(context: Any, name: str, instance: str) -> None:
    context.announcer = name
    roster = context.bench.nodes[name].roster
    context.bench.run(roster.announce_leaving(instance))


@when('target "{name}" gets the label state of "{state}"')
def label_target(context: Any, name: str, state: str) -> None:
    registry = context.bench.open_registry('ann')
    key = ObjectKey(ObjectKind.TARGET, name)
    labels = {STATE_LABEL: None if state == 'nothing' else state}
    context.bench.run(registry.set_labels(key, labels, 'drain'))


@then('all proxies give target "{name}" {work} within {limit:g} seconds')
def check_work(context: Any, name: str, work: str, limit: float) -> None:
    assert work in {'work', 'no new work'}
    context.bench.wait_until(
        lambda: all(
            is_leaving(node, name) == (work == 'no new work')
            for node in list_others(context)
        ),
        limit + 0.01,
    )


@when('peer "{name}" announces that it stops, and stops')
def stop_proxy(context: Any, name: str) -> None:
    node = context.bench.nodes[name]
    node.stopping = True
    context.announcer = name
    context.bench.run(node.roster.announce_leaving(name))
    context.bench.run(node.stop())


@when('peer "{name}" crashes')
def kill_proxy(context: Any, name: str) -> None:
    context.announcer = name
    context.bench.run(context.bench.nodes[name].stop())


@when('peer "{name}" restarts')
def restart_proxy(context: Any, name: str) -> None:
    bench = context.bench
    proxy = next(one for one in bench.proxies if one.name == name)
    bench.run(bench.start_node(proxy))


@then('the other proxies count "{name}" as {state} within {limit:g} seconds')
def check_counted(context: Any, name: str, state: str, limit: float) -> None:
    assert state in {'live', 'lost'}
    context.bench.wait_until(
        lambda: all(
            (ProxyId(name) in node.roster.list_live_proxies())
            == (state == 'live')
            for node in list_others(context)
        ),
        limit,
    )


@when('the peers in "{one}" and "{other}" are partitioned from each other')
def cut_zones(context: Any, one: str, other: str) -> None:
    context.bench.network.cut(one, other)


@when('the partition of the peers is healed')
def join_zones(context: Any) -> None:
    context.bench.network.heal()


@then('proxy "{name}" logs of zone "{zone}" within {limit:g} seconds "{text}"')
def check_log(
    context: Any,
    name: str,
    zone: str,
    limit: float,
    text: str,
) -> None:
    context.bench.wait_until(
        lambda: read_zone_log(context, name)[-1:] == [f'{zone}: {text}'],
        limit,
    )


@then('proxy "{name}" logs nothing of zone "{zone}"')
def check_not_cut(context: Any, name: str, zone: str) -> None:
    logged = read_zone_log(context, name)
    assert not any(line.startswith(zone) for line in logged), logged


@then(
    'proxy "{name}" gets primary reports from {count:d} peers '
    'within {limit:g} seconds',
)
def check_panel(context: Any, name: str, count: int, limit: float) -> None:
    bench = context.bench
    started_at = bench.loop.time()
    reports = bench.run(bench.nodes[name].roster.query_primary(GROUP))
    assert bench.loop.time() - started_at < limit
    assert len(reports) == count, reports
    assert {report.group for report in reports} == {GROUP}


@when('a peer answers the first call late and the second at once')
def ask_twice(context: Any) -> None:
    context.bench = FleetBench()
    context.add_cleanup(context.bench.close)
    context.connections = []
    context.answers = context.bench.run(_ask_late_and_again(context))


@then('the second answer comes over a new connection')
def check_new_connection(context: Any) -> None:
    assert context.answers == ['timed out', 'second'], context.answers
    assert len(set(context.connections)) == 2


@given('a proxy that knows of {count:d} others in 3 zones')
def know_many(context: Any, count: int) -> None:
    context.known = [
        KnownPeer(
            Address(HOST, number),
            f'p{number}',
            ZoneId(ZONES[number % 3]),
        )
        for number in range(count)
    ]


@then('it polls {count:d} of them regularly, {near:d} in its own zone')
def check_regular(context: Any, count: int, near: int) -> None:
    context.chosen = choose(context.known)
    assert len(context.chosen) == count
    zones = [peer.zone for peer in context.chosen]
    assert zones.count(ZoneId('east')) == near


@then('at most {count:d} of them changes when one of the 300 is removed')
def check_steady(context: Any, count: int) -> None:
    for gone in context.known:
        left = [peer for peer in context.known if peer is not gone]
        assert len(set(choose(left)) - set(context.chosen)) <= count


@then('none of them is polled by more than {count:d} others')
def check_spread(context: Any, count: int) -> None:
    asked = Counter(
        peer.label
        for own in context.known
        for peer in choose_peers(own.label, own.zone, context.known)
    )
    assert max(asked.values()) <= count, asked.most_common(3)


def publish(context: Any, states: dict[str, InstanceState]) -> None:
    listed = [
        ListedInstance(
            one.name,
            Address(one.host, one.port),
            one.zone,
            states.get(one.name, InstanceState.LIVE),
        )
        for one in context.bench.list_objects()
        if isinstance(one, Target)
    ]

    async def work() -> None:
        context.bench.instances.publish(listed)

    context.bench.run(work())


def list_others(context: Any) -> list[FleetNode]:
    return [
        node
        for node in context.bench.nodes.values()
        if node.name != context.announcer
    ]


def is_leaving(node: FleetNode, name: str) -> bool:
    target = node.feed.snapshot.targets[TargetId(name)]
    return node.instances.is_target_leaving(target)


def read_zone_log(context: Any, name: str) -> list[str]:
    decisions = context.bench.nodes[name].decisions
    return [
        f'{one.reasons["zone"]}: {one.reasons["state"]}'
        for one in decisions.list_decisions(DecisionKind.ZONE_CUT)
    ]


def choose(peers: list[KnownPeer]) -> list[KnownPeer]:
    return choose_peers('own', ZoneId('east'), peers)


async def _ask_late_and_again(context: Any) -> list[str]:
    node = await context.bench.start_node(context.bench.proxies[0])
    desk = Place('desk', 'east')
    client = PeerClient(
        node.address,
        MemoryPeerConnector(context.bench.peers, desk),
        lambda report: None,
        Random(1),
    )

    async def ask(connection: PeerConnection, text: str) -> str:
        context.connections.append(connection)
        await sleep(1 if text == 'first' else 0)
        return text

    answers = []
    try:
        await client.call(lambda open_one: ask(open_one, 'first'), Seconds(0.5))
    except PeerUnreachable:
        answers.append('timed out')
    answers.append(await client.call(lambda open_one: ask(open_one, 'second')))
    return answers
