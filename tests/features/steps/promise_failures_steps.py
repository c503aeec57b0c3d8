"""Define steps that inject single failures at critical moments."""

from asyncio import sleep
from dataclasses import replace
from functools import partial
from typing import Any

from behave import given, when

from tests.features.promise_bench import GROUP, PROFILE
from tests.ledger import Promise
from tests.standins.network import PLATFORM


@given('the replica in zone {zone} lags {seconds:g} s')
def lag_one(context: Any, zone: str, seconds: float) -> None:
    for database in context.bench.group.databases.values():
        if database.place.zone == f'zone-{zone}':
            database.set_lag(seconds)


@given('all replicas lag {seconds:g} s')
def lag_all(context: Any, seconds: float) -> None:
    for database in context.bench.group.databases.values():
        database.set_lag(seconds)


@when('time advances by {seconds:g} s')
def advance_time(context: Any, seconds: float) -> None:
    context.bench.run(sleep(seconds))


@when('the primary is killed')
def kill(context: Any) -> None:
    context.bench.act(context.bench.find_primary().kill)


@when('the primary is frozen')
def freeze(context: Any) -> None:
    context.bench.act(context.bench.find_primary().freeze)


@when('the primary refuses the next commit')
def refuse_commit(context: Any) -> None:
    context.bench.find_primary().commits_to_refuse = 1


@when('database {number:d} is frozen')
def freeze_one(context: Any, number: int) -> None:
    context.bench.act(context.bench.group[f'{GROUP}-db{number}'].freeze)


@when('the primary takes {factor:d} times as long')
def slow(context: Any, factor: int) -> None:
    context.bench.find_primary().slow(factor)


@when('database {number:d} takes {factor:d} times as long')
def slow_one(context: Any, number: int, factor: int) -> None:
    context.bench.group[f'{GROUP}-db{number}'].slow(factor)


@when('a new primary is promoted')
def wait_promotion(context: Any) -> None:
    bench = context.bench
    before = bench.find_primary()
    bench.wait_until(lambda: bench.find_primary() is not before)
    bench.run(sleep(0.5))


@when('zone {zone} is cut off from the other zones')
def cut(context: Any, zone: str) -> None:
    network = context.bench.deployment.network
    for other in context.bench.deployment.profile.zones:
        if other != f'zone-{zone}':
            network.cut(f'zone-{zone}', other)


@when('zone {zone} is cut off from the platform')
def cut_platform(context: Any, zone: str) -> None:
    network = context.bench.deployment.network
    network.cut(f'zone-{zone}', PLATFORM.name)


@when('"{proxy}" is cut off from the primary once "{ref}" is committed')
def cut_after_commit(context: Any, proxy: str, ref: str) -> None:
    bench = context.bench
    bench.wait_committed(ref)
    primary = bench.find_primary()
    bench.deployment.network.cut(proxy, primary.place.name)


@when('the connections of "{proxy}" break once "{ref}" is committed')
def break_after_commit(context: Any, proxy: str, ref: str) -> None:
    context.bench.wait_committed(ref)
    break_connections(context, proxy)


@when('the connections of "{proxy}" to the primary break')
def break_connections(context: Any, proxy: str) -> None:
    for session in tuple(context.bench.find_primary().sessions.values()):
        if session.client.name == proxy and session.counted:
            context.bench.act(session.disconnect)
    context.bench.run(sleep(0.01))


@when('"{proxy}" is killed once "{ref}" is committed')
def kill_proxy_after_commit(context: Any, proxy: str, ref: str) -> None:
    context.bench.wait_committed(ref)
    context.bench.run(context.bench.deployment.kill_proxy(proxy))


@given('databases without a connection limit')
def remove_connection_limits(context: Any) -> None:
    bench = context.bench
    for database in bench.group.databases.values():
        database.limits = replace(database.limits, connection_limit=1000)

    def check() -> None:
        for database in bench.group.databases.values():
            if database.peak_connections > PROFILE.connection_limit:
                peak = f'{database.name}: {database.peak_connections}'
                bench.ledger.break_promise(Promise.CONNECTIONS, peak)

    bench.checks.append(check)


@given('refusals must come within {seconds:g} s with a retry time')
def set_refusal_limit(context: Any, seconds: float) -> None:
    bench = context.bench

    def check() -> None:
        refused = [
            result
            for result in bench.results.values()
            if result.outcome_name != 'done'
        ]
        assert len(refused) < len(bench.results)
        assert refused
        for result in refused:
            refusal = result.outcome.err()
            is_final = (
                result.outcome_name == 'not run' and refusal.retry_after > 0
            )
            if result.spent > seconds or not is_final:
                bench.ledger.break_promise(Promise.DEADLINE, str(result))
                return

    bench.checks.append(check)


@when('{count:d} callers at "{proxy}" write within {seconds:g} s')
def write_many(context: Any, count: int, proxy: str, seconds: float) -> None:
    bench = context.bench
    for number in range(count):
        name = f'guest-{number}'
        bench.run(bench.get_caller(name).connect(proxy))
        bench.start(partial(bench.write, name, name, deadline=seconds))
    bench.finish()
