"""Check that an ownership ends with what proves it."""

from asyncio import create_task, sleep
from typing import Any

from behave import given, then, when

from sedgeshunt.decisions import DecisionKind
from sedgeshunt.identifiers import OwnerToken, ProxyId, Seconds
from sedgeshunt.ownership.group_ownership import ClaimedKey, GroupOwnership
from sedgeshunt.ownership.promises import PromisesReceived
from sedgeshunt.ports import Put
from sedgeshunt.registry.keys import make_owner_key
from sedgeshunt.requests.outcome import NotRun
from tests.features.node_bench import GROUP
from tests.features.node_callers import open_bench

NAME = 'east-1'
# Statements that use up all slots of a target, and those sent beyond them.
BUSY_STATEMENTS = 4


@given('a proxy "{name}" whose claims are answered {delay:g} s late')
def start_late(context: Any, name: str, delay: float) -> None:
    bench = open_bench(context)
    bench.restart(name)
    service: Any = bench.nodes[name].service
    client = service._store._store
    commit = client.commit

    async def commit_late(compares: Any, changes: Any) -> Any:
        done = await commit(compares, changes)
        if any(_is_claim(change) for change in changes):
            await sleep(delay)
        return done

    client.commit = commit_late


@when('its lease ends after the claim has been committed')
def end_lease_of_claim(context: Any) -> None:
    bench = context.nodes
    bench.time.wait_until(
        lambda: bench.read(make_owner_key(GROUP)) is not None,
    )
    end_lease(context)


@when('the lease ends in the store')
def end_lease(context: Any) -> None:
    lease = context.nodes.nodes[NAME].service.find_lease()
    store = context.nodes.store.store
    context.nodes.time.act(lambda: store.revoke_lease(lease.id))


@when('the proxy learns of it')
def wait_lapse(context: Any) -> None:
    bench = context.nodes
    bench.time.wait_until(
        lambda: bench.count_decisions(DecisionKind.LEASE_LOST) > 0,
    )


@when('the proxy releases its lease')
def release_lease(context: Any) -> None:
    context.nodes.run(context.nodes.nodes[NAME].service.leave())


@then("it owns the group only if the owner's key is in the store")
def check_owner_has_key(context: Any) -> None:
    owns = context.nodes.find_owner() is not None
    is_stored = context.nodes.read(make_owner_key(GROUP)) is not None
    assert is_stored or not owns


@then("its view holds the owner's key only if the store does")
def check_view(context: Any) -> None:
    view = context.nodes.nodes[NAME].service._view
    is_stored = context.nodes.read(make_owner_key(GROUP)) is not None
    assert is_stored or view.get(make_owner_key(GROUP)) is None


@given('an ownership that a lease proves')
def prove_ownership(context: Any) -> None:
    bench = open_bench(context)
    bench.start(NAME)
    lease = bench.nodes[NAME].service.find_lease()
    context.ownership = GroupOwnership(
        GROUP,
        ProxyId(NAME),
        ClaimedKey(OwnerToken(1), lease.id or 0),
        lease,
        PromisesReceived(),
        bool,
    )
    assert context.ownership.is_held()


@given('all slots of the primary are busy for {span:g} s')
def keep_busy(context: Any, span: float) -> None:
    bench = context.nodes
    primary = bench.group.find_primary()
    for number in range(BUSY_STATEMENTS):
        text = f'READ busy{number}'
        primary.work_of[text] = span
        session = bench.open(NAME, 'settle')
        bench.time.watch(context.callers.ask(session, text))


@when('a write waits for a slot')
def queue_write(context: Any) -> None:
    session = context.nodes.open(NAME, 'settle')

    async def start() -> None:
        asked = context.callers.ask(session, 'WRITE waiting 1')
        context.waiting = create_task(asked)
        await sleep(Seconds(0.2))

    context.nodes.run(start())


@when('the ownership ends')
def end_ownership(context: Any) -> None:
    access = context.nodes.nodes[NAME].service.find_access(GROUP)
    context.nodes.time.act(access.owner.ownership.end)


@then('the write is refused as not run')
def check_refused(context: Any) -> None:
    result = context.waiting.result()
    assert isinstance(result.refusal, NotRun), result.outcome


@then('no target has run the write')
def check_no_run(context: Any) -> None:
    runs = [run.text for run in context.nodes.group.runs]
    assert 'WRITE waiting 1' not in runs, runs


def _is_claim(change: Any) -> bool:
    return isinstance(change, Put) and change.key == make_owner_key(GROUP)
