"""Check the ownership of groups while proxies, store and links fail."""

from asyncio import create_task, sleep
from typing import Any

from behave import given, then, when
from msgspec.structs import replace

from sedgeshunt.clocks import read_boottime
from sedgeshunt.decisions import DecisionKind
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    OwnerToken,
    ProxyId,
    Seconds,
)
from sedgeshunt.ownership.group_ownership import ClaimedKey, GroupOwnership
from sedgeshunt.ownership.promises import (
    PROMISE_TIME,
    PromisesMade,
    PromisesReceived,
)
from sedgeshunt.ports import Delete
from sedgeshunt.registry.entries import (
    GroupRecord,
    LeaseEndings,
    encode_entry,
    read_entry,
)
from sedgeshunt.registry.keys import (
    make_endings_key,
    make_owner_key,
    make_record_key,
)
from sedgeshunt.requests.outcome import NotRun, Unknown
from tests.features.node_bench import GROUP, ROUTES
from tests.features.node_callers import open_bench
from tests.standins.network import PLATFORM

SUSPENSION = 5
# How long a stopping owner waits for open transactions, in seconds.
HANDOVER_WAIT = Seconds(3)
MILLISECONDS = 1000


@given('proxies "{names}"')
def start_proxies(context: Any, names: str) -> None:
    bench = open_bench(context)
    bench.start(*names.split(', '))
    bench.time.watch(context.callers.watch_owners())


@given('a caller of "{database}" at "{node}" writes every {pause:d} ms')
def keep_writing(context: Any, database: str, node: str, pause: int) -> None:
    bench = context.nodes
    session = bench.open(node, database)
    bench.time.watch(
        context.callers.write_on(session, pause / MILLISECONDS),
    )
    bench.wait(0.5)


@when('a caller of "{database}" at "{node}" runs "{text}"')
def run_statement(context: Any, database: str, node: str, text: str) -> None:
    context.session = context.nodes.open(node, database)
    run_again(context, text)


@when('the same caller runs "{text}"')
def run_again(context: Any, text: str) -> None:
    asked = context.callers.ask(context.session, text)
    context.result = context.nodes.run(asked)


@when('a caller of "{database}" at "{node}" runs "{text}" across a suspension')
def run_suspended(context: Any, database: str, node: str, text: str) -> None:
    bench = context.nodes
    session = bench.open(node, database)

    async def suspend() -> None:
        asked = create_task(context.callers.ask(session, text))
        # The target has received the statement and not answered yet.
        await sleep(0.005)
        bench.suspended += SUSPENSION
        # Only the proxy is suspended; the clock of the store goes on.
        bench.store.store.expire_leases()
        context.result = await asked

    bench.run(suspend())


@given('the suspension is over')
def settle_again(context: Any) -> None:
    context.nodes.wait(3)


@when('"{node}" is killed')
def kill_node(context: Any, node: str) -> None:
    context.nodes.time.act(context.nodes.nodes[node].kill)


@when('"{node}" starts again')
def restart_node(context: Any, node: str) -> None:
    context.nodes.restart(node)


@when('"{node}" is killed and starts again')
def replace_process(context: Any, node: str) -> None:
    kill_node(context, node)
    restart_node(context, node)


@when('"{node}" hands over')
def hand_over(context: Any, node: str) -> None:
    context.nodes.run(
        context.nodes.nodes[node].service.hand_over(HANDOVER_WAIT)
    )


@when('"{node}" begins to hand over')
def begin_hand_over(context: Any, node: str) -> None:
    service = context.nodes.nodes[node].service
    context.nodes.time.watch(service.hand_over(HANDOVER_WAIT))


@given('{count:d} callers of "{database}" at "{node}" write without a pause')
def write_all(context: Any, count: int, database: str, node: str) -> None:
    for _ in range(count):
        session = context.nodes.open(node, database)
        context.nodes.time.watch(context.callers.write_on(session, 0))
    context.nodes.wait(0.5)


@then('no write has an unknown outcome')
def check_no_unknown_outcome(context: Any) -> None:
    unknown = [
        result
        for result in context.callers.list_writes()
        if isinstance(result.outcome.err(), Unknown)
    ]
    assert not unknown, unknown


@when('each proxy is killed in turn and started again after {seconds:g} s')
def kill_all_in_turn(context: Any, seconds: float) -> None:
    for name in tuple(context.nodes.nodes):
        kill_node(context, name)
        context.nodes.wait(seconds)
        context.nodes.restart(name)
        context.nodes.wait(seconds)


@when('the store is down for {seconds:g} s')
def stop_store_for(context: Any, seconds: float) -> None:
    stop_store(context)
    context.nodes.wait(seconds)
    resume_store(context)


@when('the store goes down')
def stop_store(context: Any) -> None:
    context.nodes.time.act(context.nodes.store.outage)


@when('the store comes back')
def resume_store(context: Any) -> None:
    context.nodes.time.act(context.nodes.store.recover)


@when('each answer of the store takes {seconds:g} s')
def slow_store(context: Any, seconds: float) -> None:
    context.nodes.store.slow(seconds)


@then("no proxy's lease has lapsed")
def check_leases(context: Any) -> None:
    lapsed = context.nodes.count_decisions(DecisionKind.LEASE_LOST)
    assert not lapsed, lapsed
    for name, node in context.nodes.nodes.items():
        assert node.service.find_lease().is_held(), name


@when('the store is cut off from "{node}" for {seconds:g} s')
def cut_store_for(context: Any, node: str, seconds: float) -> None:
    cut_store(context, node)
    context.nodes.wait(seconds)
    heal_all(context)


@when('the store is cut off from "{node}"')
def cut_store(context: Any, node: str) -> None:
    context.nodes.network.cut(PLATFORM.name, node)


@when('"{node}" is cut off from proxies and store')
def cut_node(context: Any, node: str) -> None:
    cut_store(context, node)
    for other in context.nodes.nodes:
        if other != node:
            context.nodes.network.cut(node, other)


@when('"{node}" is cut off from "{other}"')
def cut_pair(context: Any, node: str, other: str) -> None:
    context.nodes.network.cut(node, other)


@when(
    '"{one}" and "{other}" are cut off from "{node}", "{target}" and the store',
)
def cut_part(
    context: Any,
    one: str,
    other: str,
    node: str,
    target: str,
) -> None:
    for name in (one, other):
        cut_store(context, name)
        cut_pair(context, name, node)
        cut_pair(context, name, target)


@when('nothing passes from "{node}" to "{other}"')
def close_way(context: Any, node: str, other: str) -> None:
    context.nodes.network.close_way(node, other)


@when('connections to "{node}" fail')
def refuse_connections(context: Any, node: str) -> None:
    refused = context.nodes.nodes[node]
    context.nodes.time.act(lambda: refused.frames.drop(refused.address))


@when('a proxy that is no candidate is cut off from all others')
def cut_uninvolved(context: Any) -> None:
    record = read_record(context)
    uninvolved = sorted(set(context.nodes.nodes) - set(record.candidates))
    for other in context.nodes.nodes:
        if other != uninvolved[0]:
            cut_pair(context, uninvolved[0], other)


@when('the store is cut off from the owner')
def cut_owner_store(context: Any) -> None:
    context.first_owner = context.nodes.find_owner()
    cut_store(context, context.first_owner)


@then('another proxy than the first owner owns the group')
def check_later_owner(context: Any) -> None:
    check_other_owner(context, context.first_owner)


@when("the owner's key is deleted")
def delete_key(context: Any) -> None:
    change = Delete(make_owner_key(GROUP))
    context.nodes.time.act(
        lambda: context.nodes.store.store.commit((), (change,)),
    )


@when('a candidate of another group ends the lease of "{node}"')
def end_lease(context: Any, node: str) -> None:
    store = context.nodes.store.store
    lease = read_record(context).lease
    endings = encode_entry(LeaseEndings((lease,)))
    context.nodes.put(make_endings_key(ProxyId(node)), endings)
    context.nodes.time.act(lambda: store.revoke_lease(lease))


@when('the record of the group names no lease')
def forget_lease(context: Any) -> None:
    record = replace(read_record(context), lease=0)
    context.nodes.put(make_record_key(GROUP), encode_entry(record))


def read_record(context: Any) -> GroupRecord:
    """Return the group's record in the store."""
    document = context.nodes.read(make_record_key(GROUP))
    return read_entry(document, GroupRecord)


@when('all cuts heal')
def heal_all(context: Any) -> None:
    context.nodes.time.act(context.nodes.network.heal)


@when('all watches stop delivering changes')
def silence_watches(context: Any) -> None:
    context.nodes.store.is_deaf = True


@when('the operator drops the route "{database}"')
def drop_route(context: Any, database: str) -> None:
    kept = [route for route in ROUTES if route.name != database]
    context.nodes.declare(tuple(kept))


@when('{seconds:g} s go by')
@when('{seconds:g} s goes by')
def let_pass(context: Any, seconds: float) -> None:
    context.nodes.wait(seconds)


@then('"{node}" owns the group')
def check_owner(context: Any, node: str) -> None:
    owner = context.nodes.find_owner()
    assert owner == node, f'{owner} owns it'


@then('another proxy than "{node}" owns the group')
def check_other_owner(context: Any, node: str) -> None:
    owner = context.nodes.find_owner()
    assert owner not in (None, node), f'{owner} owns it'


@then('nobody owns the group')
def check_no_owner(context: Any) -> None:
    owner = context.nodes.find_owner()
    assert owner is None, f'{owner} owns it'


@then("the owner's key is in the store")
def check_key(context: Any) -> None:
    assert context.nodes.read(make_owner_key(GROUP)) is not None


@then('the group was claimed {times:d} times')
def check_claims(context: Any, times: int) -> None:
    claims = context.nodes.count_decisions(DecisionKind.GROUP_CLAIMED)
    assert claims == times, claims


@then('no two proxies owned the group at once')
def check_single_owner(context: Any) -> None:
    # The watch of the owners fails when it finds two at once.
    assert context.callers.owners
    assert not context.nodes.time.list_failures()


@then("each claim's token is above the one before")
def check_tokens(context: Any) -> None:
    tokens = [
        int(decision.reasons['token'])
        for decision in context.nodes.list_decisions(
            DecisionKind.GROUP_CLAIMED,
        )
    ]
    assert len(tokens) >= len(context.nodes.nodes), tokens
    assert tokens == sorted(set(tokens)), tokens


@then('no proxy lets a caller of "{database}" in')
def check_closed(context: Any, database: str) -> None:
    for name, node in context.nodes.nodes.items():
        opened = context.nodes.run(node.service.open_session(database))
        assert opened.is_err(), name


@then('it is done')
def check_done(context: Any) -> None:
    assert context.result.is_done, context.result.outcome


@then('it is done with "{row}"')
def check_row(context: Any, row: str) -> None:
    assert context.result.row == row, context.result.outcome


@then('it is done within {limit:d} ms')
def check_quick(context: Any, limit: int) -> None:
    check_done(context)
    check_time(context, limit)


@then('it is refused as not run within {limit:d} ms')
def check_not_run(context: Any, limit: int) -> None:
    assert isinstance(context.result.refusal, NotRun), context.result.outcome
    assert context.result.refusal.retry_after > 0
    check_time(context, limit)


@then('its outcome is unknown')
def check_unknown(context: Any) -> None:
    assert isinstance(context.result.refusal, Unknown), context.result.outcome


@then('no write was done for {least:g} to {most:g} s at most')
def check_gap(context: Any, least: float, most: float) -> None:
    gap = context.callers.measure_gap()
    assert least <= gap <= most, f'{gap:.3f} s'


@then('every acknowledged write is on the primary')
def check_kept(context: Any) -> None:
    primary = context.nodes.group.find_primary()
    writes = [
        result for result in context.callers.list_writes() if result.is_done
    ]
    assert writes
    for result in writes:
        _, item, data = result.text.split()
        assert primary.read(item) == data, result


def check_time(context: Any, limit: int) -> None:
    """Check that the answer came within `limit` milliseconds."""
    spent = context.result.answered_at - context.result.asked_at
    assert spent * MILLISECONDS <= limit + 0.1, f'{spent:.3f} s'


@given('an ownership that a promise extends')
def extend_ownership(context: Any) -> None:
    bench = open_bench(context)
    bench.start('east-1')
    lease = bench.nodes['east-1'].service.find_lease()
    context.received = PromisesReceived()
    context.ownership = GroupOwnership(
        GROUP,
        ProxyId('east-1'),
        ClaimedKey(OwnerToken(1), lease.id or 0, claim=1),
        lease,
        context.received,
        bool,
    )
    context.ownership.candidates = frozenset((ProxyId('north-1'),))
    assert context.ownership.is_held()
    stop_store(context)
    promise(context)
    bench.wait(0.6)
    promise(context)
    bench.wait(0.6)
    assert context.ownership.is_held()


@when('{seconds:g} s go by without a promise')
def let_lapse(context: Any, seconds: float) -> None:
    context.nodes.wait(seconds)


@when('the promise is made again')
def promise(context: Any) -> None:
    context.received.record(ProxyId('north-1'), read_boottime(), PROMISE_TIME)
    context.ownership.is_held()


@when("a promise is dated {seconds:g} s after the owner's clock")
def promise_ahead(context: Any, seconds: float) -> None:
    context.received.record(
        ProxyId('north-1'),
        Boottime(read_boottime() + seconds),
        PROMISE_TIME,
    )
    context.ownership.is_held()


@then('the ownership is not valid')
def check_lapsed(context: Any) -> None:
    assert not context.ownership.is_held()


@given('a process that has just started')
def open_promises(context: Any) -> None:
    open_bench(context)
    context.made = PromisesMade(read_boottime())


@when('it withholds promises to "{owner}" for groups "{one}" and "{other}"')
def withhold(context: Any, owner: str, one: str, other: str) -> None:
    context.withheld_from = ProxyId(owner)
    for group in (one, other):
        context.made.withhold(context.withheld_from, GroupId(group))


@when('the group "{group}" is claimed')
def allow(context: Any, group: str) -> None:
    context.made.allow(context.withheld_from, GroupId(group))


@then('it promises "{owner}" nothing')
def check_withheld(context: Any, owner: str) -> None:
    assert not context.made.make(ProxyId(owner), PROMISE_TIME)


@then('it promises "{owner}" again')
def check_promised(context: Any, owner: str) -> None:
    assert context.made.make(ProxyId(owner), PROMISE_TIME)


@then('it is bound to any owner for {seconds:g} s')
def check_bound(context: Any, seconds: float) -> None:
    owner = ProxyId('east-1')
    assert context.made.measure_remaining(owner) > seconds - 0.01
    context.nodes.wait(seconds)
    assert not context.made.measure_remaining(owner)
