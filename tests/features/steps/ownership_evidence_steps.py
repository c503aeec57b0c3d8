"""Check that an ownership ends with what proves it."""

from asyncio import create_task, get_running_loop, sleep
from functools import partial
from typing import Any

from behave import given, then, when
from msgspec.structs import replace

from sedgeshunt.clocks import read_boottime
from sedgeshunt.decisions import DecisionKind
from sedgeshunt.exceptions import AnswerLost
from sedgeshunt.forwarding.messages import OwnedGroup
from sedgeshunt.identifiers import (
    Incarnation,
    OwnerToken,
    ProxyId,
    Seconds,
)
from sedgeshunt.ownership.group_ownership import ClaimedKey, GroupOwnership
from sedgeshunt.ownership.promises import PromisesReceived
from sedgeshunt.ports import Delete, Put
from sedgeshunt.registry.entries import (
    GroupRecord,
    InstanceEntry,
    encode_entry,
    read_entry,
)
from sedgeshunt.registry.keys import (
    make_instance_key,
    make_owner_key,
    make_record_key,
)
from sedgeshunt.requests.outcome import NotRun
from tests.features.node_bench import GROUP
from tests.features.node_callers import open_bench

NAME = 'east-1'
# Statements that use up all slots of a target, and those sent beyond them.
BUSY_STATEMENTS = 4


@given('a proxy "{name}" whose claims are answered {delay:g} s late')
def start_late(context: Any, name: str, delay: float) -> None:
    open_bench(context).restart(name)
    delay_claim(context, delay)


@when('the next claim is answered {delay:g} s late')
def delay_claim(context: Any, delay: float) -> None:
    delayed: list[str] = []
    for node in context.nodes.nodes.values():
        client = node.service._store._store
        client.commit = partial(
            _commit_late, client.commit, delay, delayed, node.name
        )
    context.delayed = delayed


async def _commit_late(
    commit: Any,
    delay: float,
    delayed: list[str],
    name: str,
    compares: Any,
    changes: Any,
) -> Any:
    done = await commit(compares, changes)
    if not delayed and done.succeeded and any(map(_is_claim, changes)):
        delayed.append(name)
        await sleep(delay)
    return done


@when('its lease ends after the claim has been committed')
@when('the lease of the next owner ends')
def end_lease_of_claim(context: Any) -> None:
    context.nodes.time.wait_until(lambda: bool(context.delayed))
    end_lease_of(context, context.delayed[0])


@when('another proxy claims the group and its watch falls silent')
def wait_other_claim(context: Any) -> None:
    bench = context.nodes
    bench.time.wait_until(lambda: bench.find_owner() is not None)
    context.other = bench.find_owner()
    bench.store.deaf_clients.add(context.other)


@then('no two proxies own the group')
def check_one_owner(context: Any) -> None:
    # Fails if there are two.
    context.nodes.find_owner()


@then('the store holds the key of that proxy')
def check_key_kept(context: Any) -> None:
    key = context.nodes.read(make_owner_key(GROUP))
    assert key is not None
    assert context.other.encode() in key, key


@when('the lease ends in the store')
def end_lease(context: Any) -> None:
    end_lease_of(context, NAME)


def end_lease_of(context: Any, name: str) -> None:
    """End a proxy's lease in the store, without telling the proxy."""
    lease = context.nodes.nodes[name].service.find_lease()
    store = context.nodes.store.store
    context.nodes.time.act(lambda: store.revoke_lease(lease.id))


@when('the proxy learns of it')
def wait_lapse(context: Any) -> None:
    bench = context.nodes
    bench.time.wait_until(
        lambda: bench.count_decisions(DecisionKind.LEASE_LOST) > 0,
    )


@when('the store comes back as it was before the lease')
def restore_before_lease(context: Any) -> None:
    bench = context.nodes
    context.lease_id = bench.nodes[NAME].service.find_lease().id
    # The first lease of a process is a long one.
    bench.return_store(away=0.5, age=bench.time.read_now() - 0.6)


@then('the proxy holds a lease of the same id')
def check_same_id(context: Any) -> None:
    lease = context.nodes.nodes[NAME].service.find_lease()
    assert lease.is_held()
    assert lease.id == context.lease_id, lease.id


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


@when('the next change of candidates is answered {delay:g} s late')
def delay_change(context: Any, delay: float) -> None:
    client = context.nodes.nodes[NAME].service._store._store
    commit = client.commit
    context.changed = []

    async def commit_late(compares: Any, changes: Any) -> Any:
        before = _read_record(context)
        done = await commit(compares, changes)
        after = _read_record(context)
        if not context.changed and after.candidates != before.candidates:
            context.changed.append(after)
            await sleep(delay)
        return done

    client.commit = commit_late


@when("the owner's key is deleted once the candidates are changed")
def delete_key(context: Any) -> None:
    bench = context.nodes
    bench.time.wait_until(lambda: bool(context.changed))
    key = make_owner_key(GROUP)
    bench.time.act(lambda: bench.store.store.commit((), (Delete(key),)))


@then('the owner asks all recorded candidates for promises')
def check_candidates(context: Any) -> None:
    owner = context.nodes.nodes[NAME].service.find_access(GROUP).owner
    recorded = frozenset(_read_record(context).candidates)
    asked = owner.ownership.candidates
    assert recorded <= asked, (recorded, asked)


@when('the store lists the earlier process of "{name}" and goes down')
def list_earlier(context: Any, name: str) -> None:
    bench = context.nodes
    entry = replace(
        bench.nodes[name].service.entry, incarnation=Incarnation('earlier')
    )
    bench.put(make_instance_key(ProxyId(name)), encode_entry(entry))
    bench.time.act(bench.store.outage)


@when('the first check of an ended lease is answered {delay:g} s late')
def delay_check(context: Any, delay: float) -> None:
    checked: list[str] = []
    for node in context.nodes.nodes.values():
        client = node.service._store._store
        client.keep_lease = partial(
            _keep_late, client.keep_lease, delay, checked, node.name
        )


async def _keep_late(
    keep: Any, delay: float, checked: list[str], name: str, lease: int
) -> Any:
    is_kept = await keep(lease)
    if not is_kept and not checked:
        checked.append(name)
        await sleep(delay)
    return is_kept


@then('the group was claimed once after "{name}"')
def check_one_claim(context: Any, name: str) -> None:
    claims = context.nodes.list_decisions(DecisionKind.GROUP_CLAIMED)
    assert len(claims) == 2, claims


@when('the candidates are being written')
def lock_candidates(context: Any) -> None:
    access = context.nodes.nodes[NAME].service.find_access(GROUP)
    context.writing = access.claim._writing_candidates
    context.nodes.run(context.writing.acquire())


@when('the candidates have been written')
def unlock_candidates(context: Any) -> None:
    context.nodes.time.act(context.writing.release)


@then('the record counts {count:d} claims')
def check_claim_count(context: Any, count: int) -> None:
    record = _read_record(context)
    assert record.claims == count, record


@when('"{peer}" reports to "{name}" that it owns the group')
def report_ownership(context: Any, peer: str, name: str) -> None:
    link = _find_link(context, name, peer)
    link.owned = {GROUP: OwnedGroup(GROUP, OwnerToken(1), None)}


@then('"{name}" promises "{peer}" not to claim')
def check_promise(context: Any, name: str, peer: str) -> None:
    assert _promise_to(context, name, peer) > 0


@then('"{name}" promises "{peer}" nothing')
def check_no_promise(context: Any, name: str, peer: str) -> None:
    assert _promise_to(context, name, peer) == 0


@when('the next registration of "{name}" is carried out {delay:g} s late')
def delay_registration(context: Any, name: str, delay: float) -> None:
    bench = context.nodes
    client = bench.nodes[name].service._store._store
    commit = client.commit
    key = make_instance_key(ProxyId(name))

    async def commit_late(compares: Any, changes: Any) -> Any:
        if not any(change.key == key for change in changes):
            return await commit(compares, changes)
        get_running_loop().call_later(
            delay, partial(bench.store.store.commit, compares, changes)
        )
        raise AnswerLost(key)

    client.commit = commit_late


@then('the store lists the later process of "{name}"')
def check_listed(context: Any, name: str) -> None:
    document = context.nodes.read(make_instance_key(ProxyId(name)))
    entry = read_entry(document, InstanceEntry)
    assert entry == context.nodes.nodes[name].service.entry, entry


@given('a store that grants leases of {ttl:g} s')
def shorten_leases(context: Any, ttl: float) -> None:
    open_bench(context).store.store.longest_ttl = ttl


@given('an ownership that a lease proves')
def prove_ownership(context: Any) -> None:
    bench = open_bench(context)
    bench.start(NAME)
    lease = bench.nodes[NAME].service.find_lease()
    context.ownership = GroupOwnership(
        GROUP,
        ProxyId(NAME),
        ClaimedKey(OwnerToken(1), lease.id or 0, claim=1),
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


def _find_link(context: Any, name: str, peer: str) -> Any:
    neighbours = context.nodes.nodes[name].service._neighbours
    return neighbours.find_link(ProxyId(peer))


def _promise_to(context: Any, name: str, peer: str) -> float:
    heartbeats = context.nodes.nodes[name].service._heartbeats
    beat = heartbeats.make_heartbeat(
        ProxyId(peer), read_boottime(), is_answering=True
    )
    return float(beat.promised)


def _read_record(context: Any) -> GroupRecord:
    document = context.nodes.read(make_record_key(GROUP))
    return read_entry(document, GroupRecord)


def _is_claim(change: Any) -> bool:
    return isinstance(change, Put) and change.key == make_owner_key(GROUP)
