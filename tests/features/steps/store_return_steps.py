"""Check what holds after the store is restored from a snapshot."""

from collections import Counter
from typing import Any

from behave import given, then, when

from sedgeshunt.decisions import DecisionKind
from tests.features.node_bench import NodeBench
from tests.features.node_callers import open_bench
from tests.features.return_histories import RestoreHistory
from tests.features.steps.fleets_steps import name_proxies
from tests.features.steps.store_changes_steps import charge_calls

# For how long calls are counted after a restore, in seconds.
COUNTED_TIME = 4
LONG_TIME = 60
# Shorter than the delay of a change on its way to the other proxies.
CLAIM_CHECK = 0.001


@given('the operator changes the configuration {count:d} times in {span:g} s')
def change_often(context: Any, count: int, span: float) -> None:
    bench: NodeBench = context.nodes
    for _ in range(count):
        bench.declare_again()
        bench.wait(span / count)


@given('the primary takes {seconds:g} s to write its entry after a restore')
def delay_entry(context: Any, seconds: float) -> None:
    context.nodes.relist_time = seconds


@given('proxies "{names}" whose store goes down after a claim')
def start_before_outage(context: Any, names: str) -> None:
    bench = open_bench(context)
    for name in names.split(', '):
        bench.restart(name)
    bench.time.watch(context.callers.watch_owners())
    while not bench.count_decisions(DecisionKind.GROUP_CLAIMED):
        bench.wait(CLAIM_CHECK)
    # The other proxies have not received the change yet.
    bench.time.act(bench.store.outage)


@when('the store is restored after {away:g} s to its state {age:g} s before')
def restore_store(context: Any, away: float, age: float) -> None:
    bench: NodeBench = context.nodes
    bench.return_store(away, age)


@when('other clients are granted {count:d} leases')
def grant_leases(context: Any, count: int) -> None:
    bench: NodeBench = context.nodes
    store = bench.store.store

    async def grant() -> list[int]:
        return [store.grant_lease(LONG_TIME) for _ in range(count)]

    context.granted = bench.run(grant())


@then('no proxy holds a lease of another client')
def check_foreign_leases(context: Any) -> None:
    for name, node in context.nodes.nodes.items():
        lease = node.service.find_lease()
        assert not (lease.is_held() and lease.id in context.granted), name


@then('no proxy applied an older version')
def check_versions(context: Any) -> None:
    bench: NodeBench = context.nodes
    for name, node in bench.nodes.items():
        applied = node.decisions.list_decisions(
            DecisionKind.CONFIGURATION_APPLIED,
        )
        versions = [int(one.reasons['version']) for one in applied]
        assert versions == sorted(set(versions)), f'{name}: {versions}'


@then('each proxy holds a lease of its own')
def check_own_leases(context: Any) -> None:
    bench: NodeBench = context.nodes
    leases = {
        name: node.service.find_lease() for name, node in bench.nodes.items()
    }
    for name, lease in leases.items():
        assert lease.is_held(), name
    assert len({lease.id for lease in leases.values()}) == len(leases)


@then('no token was used twice')
def check_token_use(context: Any) -> None:
    bench: NodeBench = context.nodes
    tokens = [
        int(claim.reasons['token'])
        for node in bench.nodes.values()
        for claim in node.decisions.list_decisions(DecisionKind.GROUP_CLAIMED)
    ]
    assert len(set(tokens)) == len(tokens), tokens


@given(
    'calls to the store after a restore with {few:d} and then {many:d}'
    + ' proxies',
)
def restore_both(context: Any, few: int, many: int) -> None:
    context.per_proxy = [_charge_restore(count) for count in (few, many)]


def _charge_restore(count: int) -> float:
    bench = NodeBench()
    try:
        bench.start(*name_proxies(count))
        bench.wait(COUNTED_TIME)
        before = Counter(bench.store.counts)
        bench.return_store(away=1, age=3)
        bench.wait(COUNTED_TIME)
        return charge_calls(bench.store.counts - before) / count
    finally:
        bench.close()


@when('the history with the seed {seed:d} is run')
def run_history(context: Any, seed: int) -> None:
    history = RestoreHistory(seed)
    context.add_cleanup(history.close)
    history.run()
    context.history = history


@then('no check of it fails')
def check_history(context: Any) -> None:
    broken = context.history.list_failures()
    assert not broken, (broken, context.history.steps)
