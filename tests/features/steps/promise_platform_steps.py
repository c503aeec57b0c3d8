"""Define steps for platform outages and starts and stops of proxies."""

from asyncio import sleep
from functools import partial
from typing import Any

from behave import given, then, when

from sedgeshunt.configuration.keys import OBJECTS_PREFIX
from sedgeshunt.ports import Put
from tests.histories import RevisionMonitor
from tests.ledger import Promise
from tests.standins.platform import MemoryKeyValue

# More callers at one proxy than its share of connections.
CALLERS_PER_PROXY = 6


@when('callers work at all proxies for {seconds:g} s')
def work(context: Any, seconds: float) -> None:
    start_work(context, seconds, 1)
    context.bench.finish()


@when('many callers start to work at all proxies for {seconds:g} s')
def start_work(
    context: Any, seconds: float, size: int = CALLERS_PER_PROXY
) -> None:
    bench = context.bench
    for proxy in bench.deployment.list_running():
        for number in range(size):
            name = f'{proxy}-{number}-{len(bench.results)}'
            bench.start(partial(bench.work, name, proxy, seconds))


@when('the key-value service goes down')
def break_platform(context: Any) -> None:
    context.bench.act(context.bench.deployment.platform.outage)


@when('the key-value service comes back')
def recover(context: Any) -> None:
    context.bench.act(context.bench.deployment.platform.recover)


@when('the network is restored')
def heal(context: Any) -> None:
    context.bench.act(context.bench.deployment.network.heal)


@when('the key-value service loses the next answer')
def lose_answer(context: Any) -> None:
    context.bench.deployment.platform.lose_next_answers(1)


@when('the key-value service compacts its old changes')
def compact(context: Any) -> None:
    store = context.bench.deployment.platform.store
    context.bench.act(lambda: store.commit([], [Put('/other', b'')]))
    store.compact()


@when('a member of the key-value service falls behind')
def record_old_listing(context: Any) -> None:
    store = context.bench.deployment.platform.store
    context.old = store.list_matching(is_object)


@when('proxies read from the member that fell behind')
def read_from_lagging(context: Any) -> None:
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


@when('"{proxy}" starts a graceful stop')
def stop(context: Any, proxy: str) -> None:
    context.bench.is_stopping = True
    context.bench.start(lambda: context.bench.deployment.stop_proxy(proxy))
    context.bench.run(sleep(0.02))


@given('no revision may decrease')
def watch_revisions(context: Any) -> None:
    bench = context.bench
    monitor = RevisionMonitor(bench.deployment, bench.ledger)
    bench.watch(monitor.run())


@then('all proxies apply it within {seconds:g} s')
def check_applied(context: Any, seconds: float) -> None:
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
