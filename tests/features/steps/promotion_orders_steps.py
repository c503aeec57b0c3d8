"""Check promotion orders that are late, lost or given twice."""

from typing import Any

from behave import given, then, when
from msgspec.structs import replace

from sedgeshunt.platform.promotions import read_answer
from sedgeshunt.registry.entries import (
    GroupRecord,
    encode_entry,
    read_entry,
)
from sedgeshunt.registry.keys import make_record_key
from tests.features.node_bench import GROUP
from tests.features.order_verdicts import list_superseded
from tests.standins.statement_group import PROMPT, OrderHandling

FAR = 60


@given('the next order is answered {status:d} and begun after {seconds:g} s')
def answer_wrongly(context: Any, status: int, seconds: float) -> None:
    _handle_next(context, OrderHandling(status, begun_after=(seconds,)))


@given('the next order is answered {status:d} and not carried out')
def reject(context: Any, status: int) -> None:
    _handle_next(context, OrderHandling(status, begun_after=()))


@given('the next order is not answered and not carried out')
def lose_order(context: Any) -> None:
    _handle_next(context, OrderHandling(None, begun_after=()))


@given('the next order is not answered and begun after {seconds:g} s')
def lose_answer(context: Any, seconds: float) -> None:
    _handle_next(context, OrderHandling(None, begun_after=(seconds,)))


@given('the next order is begun at once and again after {seconds:g} s')
def begin_twice(context: Any, seconds: float) -> None:
    _handle_next(context, OrderHandling(begun_after=(0, seconds)))


@given('all orders are answered {status:d} and not carried out')
def reject_all(context: Any, status: int) -> None:
    rejected = OrderHandling(status, begun_after=())
    context.nodes.group.draw_handling = lambda: rejected


@when('orders are carried out again')
def accept_all(context: Any) -> None:
    context.nodes.group.draw_handling = lambda: PROMPT


@given('a caller of "{database}" at "{node}" reads all the time')
def keep_reading(context: Any, database: str, node: str) -> None:
    bench = context.nodes
    session = bench.open(node, database)
    bench.time.watch(context.callers.read_on(session, FAR, 0.01))


@when('an order has been sent')
def wait_ordered(context: Any) -> None:
    context.nodes.time.wait_until(lambda: bool(context.nodes.group.orders))


@when('the target of the order crashes')
def crash_ordered(context: Any) -> None:
    group = context.nodes.group
    _, order = group.orders[-1]
    context.ordered = group.targets[order.target]
    context.ordered.is_down = True


@when('the target of the order restarts')
@when('the crashed primary restarts')
def restart_ordered(context: Any) -> None:
    context.ordered.is_down = False


@when('the new primary crashes')
def crash_new_primary(context: Any) -> None:
    context.ordered = context.nodes.group.find_primary()
    context.ordered.is_down = True


@when('the crashed primary is no longer listed')
def drop_ordered(context: Any) -> None:
    context.ordered.is_listed = False


@when('the proxy that ordered is killed')
def kill_owner(context: Any) -> None:
    owner = context.nodes.find_owner()
    context.nodes.time.act(context.nodes.nodes[owner].kill)


@when('the store refuses the next {count:d} changes')
def refuse_changes(context: Any, count: int) -> None:
    context.nodes.store.refuse_next_commits(count)


@when('the store takes {delay:g} s for each call for {seconds:g} s')
def slow_store(context: Any, delay: float, seconds: float) -> None:
    context.nodes.store.slow(delay)
    context.nodes.wait(seconds)
    context.nodes.store.recover()


@when('the record has no intent any more')
def wait_cleared(context: Any) -> None:
    bench = context.nodes
    key = make_record_key(GROUP)
    bench.time.wait_until(
        lambda: read_entry(bench.read(key), GroupRecord).intent is None,
    )


@when('the record of the primary is lost')
def forget_primary(context: Any) -> None:
    key = make_record_key(GROUP)
    record = read_entry(context.nodes.read(key), GroupRecord)
    context.nodes.put(key, encode_entry(replace(record, leader=None)))


@then('the primary is recorded')
def check_recorded(context: Any) -> None:
    document = context.nodes.read(make_record_key(GROUP))
    leader = read_entry(document, GroupRecord).leader
    primary = context.nodes.group.find_primary()
    assert leader is not None
    assert (leader.target, leader.term) == (primary.name, primary.term), leader


@then('{count:d} order was sent')
def check_orders(context: Any, count: int) -> None:
    orders = context.nodes.group.orders
    assert len(orders) == count, orders


@then('the statuses of answers to orders mean')
def check_meanings(context: Any) -> None:
    for row in context.table:
        answer = read_answer(int(row['status']))
        assert answer.value == row['meaning'], (row, answer)


@then('a promotion in term {term:d} took effect')
def check_promoted(context: Any, term: int) -> None:
    promotions = context.nodes.group.promotions
    assert any(one.term == term for one in promotions), promotions


@then('nothing was acknowledged at a superseded primary')
def check_none_superseded(context: Any) -> None:
    check_superseded(context, 0)


@then(
    'nothing was acknowledged at a primary superseded for more than '
    '{seconds:g} s',
)
def check_superseded(context: Any, seconds: float) -> None:
    group = context.nodes.group
    late = [
        (age, result.text)
        for age, result in list_superseded(context.callers)
        if age > seconds
    ]
    writes = [text for _, text in late if text.startswith('WRITE')]
    assert not late, (
        f'{len(late)} statements and {len(writes)} writes among them, up to '
        f'{max(late)[0]:.3f} s after it; {group.promotions}'
    )


def _handle_next(context: Any, handling: OrderHandling) -> None:
    context.nodes.group.next_handlings.append(handling)
