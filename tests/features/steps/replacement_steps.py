"""Check how a primary is replaced by an order."""

from collections import Counter
from typing import Any

from behave import given, then, when

from sedgeshunt.decisions import DecisionKind
from tests.features.node_callers import open_bench


@given('groups with {count:d} synchronous replica')
def set_synchronous(context: Any, count: int) -> None:
    bench = open_bench(context)
    bench.group.synchronous = count
    bench.declare_again()


@given('a promotion takes {seconds:g} s')
def set_promotion_time(context: Any, seconds: float) -> None:
    context.nodes.group.promotion_time = seconds


@given('"{name}" receives nothing')
def stop_receiving(context: Any, name: str) -> None:
    target = context.nodes.group.targets[name]
    target.held_term = target.term + 1


@when('the primary crashes')
def crash_primary(context: Any) -> None:
    context.nodes.group.find_primary().is_down = True


@when('the primary freezes')
def freeze_primary(context: Any) -> None:
    context.nodes.group.find_primary().thawed.clear()


@when('"{name}" freezes')
def freeze_target(context: Any, name: str) -> None:
    context.nodes.group.targets[name].thawed.clear()


@when('"{name}" goes on')
def thaw_target(context: Any, name: str) -> None:
    context.nodes.time.act(context.nodes.group.targets[name].thawed.set)


@when('"{name}" is not listed any more')
def drop_entry(context: Any, name: str) -> None:
    context.nodes.group.targets[name].is_listed = False
    context.nodes.wait(0.2)


@when('"{name}" is listed again')
def restore_entry(context: Any, name: str) -> None:
    context.nodes.group.targets[name].is_listed = True


@when('the primary says that it leaves')
def drain_primary(context: Any) -> None:
    context.nodes.group.find_primary().is_leaving = True


@when('"{node}" is killed as soon as it has ordered')
def kill_after_order(context: Any, node: str) -> None:
    context.nodes.time.wait_until(lambda: bool(context.nodes.group.orders))
    context.nodes.time.act(context.nodes.nodes[node].kill)


@then('"{name}" leads')
def check_leads(context: Any, name: str) -> None:
    leader = context.nodes.group.find_primary().name
    assert leader == name, leader


@then('"{name}" does not lead')
def check_follows(context: Any, name: str) -> None:
    leader = context.nodes.group.find_primary().name
    assert leader != name


@then('no write ran twice')
def check_once(context: Any) -> None:
    runs = Counter(
        run.statement
        for run in context.nodes.group.runs
        if run.text.startswith('WRITE')
    )
    twice = [name for name, count in runs.items() if count > 1]
    assert not twice, twice


@then('every write was done')
def check_all_done(context: Any) -> None:
    refused = [
        told for told in context.callers.list_writes() if not told.is_done
    ]
    assert not refused, refused


@then('nothing ran on "{name}" in the last second')
def check_quiet(context: Any, name: str) -> None:
    now = context.nodes.time.read_now()
    late = [
        run
        for run in context.nodes.group.runs
        if run.target == name and run.at > now - 1
    ]
    assert not late, late


@then('no promotion was ordered')
def check_no_order(context: Any) -> None:
    assert not context.nodes.group.orders
    ordered = context.nodes.count_decisions(DecisionKind.PROMOTION_ORDERED)
    assert not ordered
