"""Let the platform fail, and proxies come and go at work."""

from asyncio import sleep
from functools import partial
from typing import Any

from behave import given, then, when

from sedgeshunt.configuration.keys import OBJECTS_PREFIX
from sedgeshunt.ports import Put
from tests.histories import RevisionMonitor
from tests.ledger import Promise
from tests.standins.platform import MemoryKeyValue

# Callers at one proxy that want more connections than its share.
CROWD = 6


@when('callers work at all proxies for {seconds:g} s')
def work(context: Any, seconds: float) -> None:
    start_work(context, seconds, 1)
    context.bench.finish()


@when('crowds start to work at all proxies for {seconds:g} s')
def start_work(context: Any, seconds: float, size: int = CROWD) -> None:
    bench = context.bench
    for proxy in bench.deployment.list_running():
        for number in range(size):
            name = f'{proxy}-{number}-{len(bench.told)}'
            bench.start(partial(bench.work, name, proxy, seconds))


@when('the key-value service goes down')
def break_platform(context: Any) -> None:
    context.bench.act(context.bench.deployment.platform.outage)


@when('the key-value service comes back')
def recover(context: Any) -> None:
    context.bench.act(context.bench.deployment.platform.recover)


@when('the cuts are healed')
def heal(context: Any) -> None:
    context.bench.act(context.bench.deployment.network.heal)


@when('the key-value service loses the next answer')
def lose_answer(context: Any) -> None:
    context.bench.deployment.platform.lose_next_answers(1)


@when('the key-value service forgets its old changes')
def compact(context: Any) -> None:
    store = context.bench.deployment.platform.store
    context.bench.act(lambda: store.commit([], [Put('/other', b'')]))
    store.compact()


@when('a member of the key-value service falls behind')
def fall_behind(context: Any) -> None:
    store = context.bench.deployment.platform.store
    context.old = store.list_matching(is_object)


@when('proxies are led to the member that fell behind')
def lead_behind(context: Any) -> None:
    listing = context.old

    async def list_old(*_: object) -> Any:
        return listing

    newest = MemoryKeyValue.list_prefix
    setattr(MemoryKeyValue, 'list_prefix', list_old)
    context.add_cleanup(setattr, MemoryKeyValue, 'list_prefix', newest)
    platform = context.bench.deployment.platform
    context.bench.act(platform.outage)
    context.bench.run(sleep(1))
    context.bench.act(platform.recover)


@when('proxies "{names}" start')
def start_proxies(context: Any, names: str) -> None:
    for name in names.split():
        deployment = context.bench.deployment
        context.bench.act(partial(deployment.start_proxy, name))


@when('proxies "{names}" are killed')
def kill_proxies(context: Any, names: str) -> None:
    for name in names.split():
        context.bench.run(context.bench.deployment.kill_proxy(name))


@when('"{proxy}" is told to stop')
def stop(context: Any, proxy: str) -> None:
    context.bench.is_stopping = True
    context.bench.start(lambda: context.bench.deployment.stop_proxy(proxy))
    context.bench.run(sleep(0.02))


@given('no revision may ever go back')
def watch_revisions(context: Any) -> None:
    bench = context.bench
    monitor = RevisionMonitor(bench.deployment, bench.ledger)
    bench.watch(monitor.run())


@then('all proxies have it in force within {seconds:g} s')
def check_force(context: Any, seconds: float) -> None:
    bench = context.bench
    listing = bench.deployment.platform.store.list_matching(is_object)
    newest = max(pair.revision for pair in listing.pairs)
    bench.run(sleep(seconds))
    for name in bench.deployment.list_running():
        feed = bench.deployment.nodes[name].proxy.feed
        if feed.snapshot.revision < newest:
            bench.ledger.break_promise(Promise.CONFIGURATION, name)


def is_object(key: str) -> bool:
    return key.startswith(OBJECTS_PREFIX)
