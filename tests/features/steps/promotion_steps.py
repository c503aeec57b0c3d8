"""Check promotions against databases in memory, in virtual time."""

from functools import partial
from random import Random
from typing import Any
from unittest.mock import patch

from behave import given, then, when

from sedgeshunt.clocks import PauseWatch
from sedgeshunt.decisions import DecisionKind
from sedgeshunt.groups.promoter import Promoter
from sedgeshunt.groups.promotion_deferral import PromotionDeferral
from sedgeshunt.groups.repair import ReplicaRepair
from sedgeshunt.groups.stall_detector import StallDetector
from sedgeshunt.groups.status import Role
from sedgeshunt.identifiers import Term
from tests.features.group_bench import DATABASES, PROXIES, GroupBench
from tests.features.group_faults import inject_fault
from tests.standins.records import EventKind

MILLISECONDS = 1000
RANK_DELAY = 'sedgeshunt.groups.promoter.RANK_DELAY'
COUNT_MAJORITY = 'sedgeshunt.groups.members.count_majority'


async def _never_defer(*_arguments: Any) -> bool:
    return False


async def _fence_none(*_arguments: Any) -> list[Any]:
    return []


def _find_nothing(*_arguments: Any) -> None:
    """Return None for any arguments."""


SAFEGUARDS = {
    'majority': partial(patch, COUNT_MAJORITY, lambda _members: 1),
    'repair': partial(patch.object, ReplicaRepair, 'find_order', _find_nothing),
    'peers': partial(
        patch.object,
        PromotionDeferral,
        'should_defer',
        _never_defer,
    ),
    'pauses': partial(patch.object, PauseWatch, 'check', _find_nothing),
    'stall check': partial(
        patch.object,
        StallDetector,
        'find_stall',
        _find_nothing,
    ),
    'early fence': partial(
        patch.object,
        Promoter,
        '_fence_leaving_primary',
        _fence_none,
    ),
    'rank delay': partial(patch, RANK_DELAY, 0),
}


def _switch_off(context: Any, safeguard: str) -> None:
    off = SAFEGUARDS[safeguard]()
    off.start()
    context.add_cleanup(off.stop)


@given('three proxies that write through the primary "{name}"')
def start_group(context: Any, name: str) -> None:
    context.bench = GroupBench()
    context.add_cleanup(context.bench.close)
    context.bench.start_proxies(*PROXIES)
    for proxy in PROXIES:
        context.bench.start_writing(proxy)
    context.bench.wait(1)


@given('the safeguard "{safeguard}" is off')
def switch_off_safeguard(context: Any, safeguard: str) -> None:
    _switch_off(context, safeguard)
    context.bench.configure()


@given('all proxies act at once and ask no peers')
def skip_rank_delay(context: Any) -> None:
    _switch_off(context, 'rank delay')
    _switch_off(context, 'peers')


@when('database "{name}" is {change}')
def change_database(context: Any, name: str, change: str) -> None:
    database = context.bench.databases[name]
    actions = {
        'killed': database.kill,
        'frozen': database.freeze,
        'thawed': database.thaw,
    }
    context.bench.ask(actions[change])


@when('database "{name}" gets the label that it is leaving')
def label_database(context: Any, name: str) -> None:
    # The replicas lag so much that they are behind when they are fenced.
    for database in context.bench.databases.databases.values():
        context.bench.ask(partial(database.set_lag, 0.05))
    context.bench.leaving.add(name)
    context.bench.configure()


@when('database "{name}" comes back {count:d} records behind its own log')
def restore_database(context: Any, name: str, count: int) -> None:
    database = context.bench.databases[name]
    context.bench.ask(database.kill)
    database.log = database.log[:-count]
    database.fencing_term = Term(0)
    database.following = None
    context.bench.ask(database.restart)


@when('zone "{zone}" is cut off')
def cut_zone(context: Any, zone: str) -> None:
    for other in set(PROXIES.values()) - {zone}:
        context.bench.cut(zone, other)


@when('proxy "{proxy}" cannot reach "{name}"')
def cut_proxy(context: Any, proxy: str, name: str) -> None:
    context.bench.cut(proxy, name)


@when('database "{name}" cannot reach the other databases')
def cut_database(context: Any, name: str) -> None:
    for other in set(DATABASES) - {name}:
        context.bench.cut(name, other)


@when('all cuts are healed')
def heal_cuts(context: Any) -> None:
    context.bench.ask(context.bench.databases.network.heal)


@when('the promoting proxy crashes once it has fenced a target')
def stop_promoter(context: Any) -> None:
    bench = context.bench
    started = bench.loop.time()
    while bench.databases.list_events(EventKind.FENCED)[-1].at < started:
        bench.wait(0.001)
    nodes = bench.nodes.values()
    first = min(nodes, key=lambda node: node.supervisor._promoter.rank)
    bench.run(first.stop())


@when('the answers from zone "{zone}" slow down step by step to {limit:d} ms')
def slow_zone(context: Any, zone: str, limit: int) -> None:
    for share in range(1, 11):
        round_trip = limit * share / 10 / MILLISECONDS
        context.bench.slow_zone(zone, round_trip / 2)
        context.bench.wait(2)


@when("the proxies' process is frozen for {seconds:d} s")
def freeze_process(context: Any, seconds: int) -> None:
    # The primary's answer is the last to arrive after the pause.
    context.bench.slow_zone('east', 0.02)
    context.bench.wait(0.5)
    context.bench.pause(seconds)


@when('random faults are injected for {seconds:d} s with seed {seed:d}')
def inject_faults(context: Any, seconds: int, seed: int) -> None:
    bench, random = context.bench, Random(seed)
    for proxy in PROXIES:
        bench.start_reading(proxy)
    end = bench.loop.time() + seconds
    while bench.loop.time() < end:
        bench.wait(random.uniform(0.05, 1))
        inject_fault(bench, random)
    bench.end_faults()
    bench.wait(3)


@when('the group runs for {seconds:d} s')
def run_group(context: Any, seconds: int) -> None:
    context.bench.wait(seconds)


@then('a primary other than "{name}" leads in term {term:d}')
def check_other_leads(context: Any, name: str, term: int) -> None:
    leader = context.bench.databases.find_leader()
    assert leader.name != name, leader.name
    assert leader.leading_term == term, leader.leading_term
    assert leader.role is Role.PRIMARY


@then('the newest term is {term:d}')
def check_newest_term(context: Any, term: int) -> None:
    databases = context.bench.databases.databases.values()
    assert {database.fencing_term for database in databases} == {term}


@then('the newest term is above {term:d}')
def check_many_terms(context: Any, term: int) -> None:
    assert context.bench.databases.find_leader().leading_term > term


@then('no acknowledged write is lost')
def check_nothing_lost(context: Any) -> None:
    assert context.bench.acknowledged
    assert not context.bench.list_lost(), context.bench.list_lost()


@then('acknowledged writes are lost')
def check_something_lost(context: Any) -> None:
    assert context.bench.list_lost()


@then('no committed write is dropped')
def check_nothing_dropped(context: Any) -> None:
    assert not context.bench.list_dropped()


@then('writes were held up for at most {limit:d} ms')
def check_gap(context: Any, limit: int) -> None:
    gap = context.bench.measure_gap() * MILLISECONDS
    assert gap <= limit, gap


@then('"{name}" follows the primary and has its log')
def check_rejoined(context: Any, name: str) -> None:
    leader = context.bench.databases.find_leader()
    database = context.bench.databases[name]
    assert database.following == leader.name, database.following
    count = len(database.log)
    assert database.log == leader.log[:count]
    assert len(leader.log) - count <= 2


@then('"{name}" is left with its own log')
def check_not_rejoined(context: Any, name: str) -> None:
    leader = context.bench.databases.find_leader()
    database = context.bench.databases[name]
    assert database.role is Role.PRIMARY
    assert database.log != leader.log[: len(database.log)]


@then('all proxies agree on the primary')
def check_agreement(context: Any) -> None:
    leader = context.bench.databases.find_leader()
    for node in context.bench.nodes.values():
        primary = context.bench.ask(node.view.get_primary)
        assert primary == leader.name, (node.place.name, primary)


@then('no target was promoted')
def check_no_promotion(context: Any) -> None:
    promoted = context.bench.list_decisions(DecisionKind.PROMOTED)
    assert not promoted, promoted


@then('a target was promoted')
def check_promotion(context: Any) -> None:
    assert context.bench.list_decisions(DecisionKind.PROMOTED)


@then('a "{kind}" was recorded')
def check_recorded(context: Any, kind: str) -> None:
    assert context.bench.list_decisions(DecisionKind(kind))


@then('no term was asked for by two primaries')
def check_no_rivals(context: Any) -> None:
    assert not context.bench.databases.list_events(EventKind.RIVAL)


@then('no barrier was below an acknowledged write')
def check_barriers(context: Any) -> None:
    assert not context.bench.stale, context.bench.stale


@then('writes are acknowledged again')
def check_writes_go_on(context: Any) -> None:
    last = max(context.bench.acknowledged.values())
    assert last > context.bench.loop.time() - 0.2, last
