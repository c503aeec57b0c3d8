"""Run stand-ins, proxies and drivers as processes on sockets."""

import subprocess  # the test starts daemons as an operator does
from asyncio import Runner, create_task, gather, sleep, to_thread, wait_for
from collections.abc import Coroutine
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any

from behave import given, then, when

from examples.demo.callers import Caller
from examples.demo.layout import GROUP
from examples.demo.ledger import Ledger, Outcome
from examples.demo.processes import COMMAND, Cluster
from tests.features.driver_bench import LoopThread
from tests.features.driver_forms import DRIVERS, Driver

Context = Any
LIMIT = 40
CALLERS = 4
WORK_SECONDS = 2
READ_TOKEN = 'SELECT @sedgeshunt_session_token'


def run(context: Context, work: Coroutine[Any, Any, Any]) -> Any:
    return context.runner.run(wait_for(work, LIMIT))


def open_driver(context: Context, driver: str, proxy: str) -> Driver:
    ports = {each.name: each.callers for each in context.cluster.layout.proxies}
    opened: Driver = DRIVERS[driver](ports[proxy], GROUP, context.loop)
    context.add_cleanup(opened.close)
    return opened


def read_with_token(driver: Driver, form: str, sql: str, token: str) -> Any:
    if form == 'attribute':
        return driver.run(sql, session_token=token)
    if form == 'comment':
        return driver.run(f"/*session_token='{token}'*/ {sql}")
    driver.run(f"SET @sedgeshunt_session_token = '{token}'")
    return driver.run(sql)


@given('a deployment of 3 proxies as processes')
def start_deployment(context: Context) -> None:
    folder = TemporaryDirectory(prefix='whole-path-')
    context.add_cleanup(folder.cleanup)
    context.runner = Runner()
    context.add_cleanup(context.runner.close)
    context.loop = LoopThread()
    context.add_cleanup(context.loop.close)
    context.cluster = Cluster(Path(folder.name))
    run(context, context.cluster.__aenter__())
    context.add_cleanup(
        lambda: run(context, context.cluster.__aexit__(None, None, None)),
    )


@when('each driver writes at "{first}" and brings its token to "{second}"')
def write_and_roam(context: Context, first: str, second: str) -> None:
    context.found = []
    for number, row in enumerate(context.table):
        writer = open_driver(context, row['driver'], first)
        writer.run(f"INSERT INTO turns (id, song) VALUES ({number}, 'mine')")
        token = writer.run(READ_TOKEN)[0][0]
        reader = open_driver(context, row['driver'], second)
        sql = f'SELECT song FROM turns WHERE id = {number}'
        rows = read_with_token(reader, row['form'], sql, token)
        context.found.append([tuple(found) for found in rows])


@then('each driver has read its own row')
def check_found(context: Context) -> None:
    expected = [[('mine',)] for _ in DRIVERS]
    assert context.found == expected, context.found


@given('a transaction that has written at "{proxy}"')
def open_transaction(context: Context, proxy: str) -> None:
    context.driver = open_driver(context, 'PyMySQL', proxy)
    context.driver.run('BEGIN')
    context.driver.run("INSERT INTO plays (licence, song) VALUES ('open', 's')")


@when('"{proxy}" is told to stop while callers work at all proxies')
def stop_under_load(context: Context, proxy: str) -> None:
    context.ledger = Ledger()
    run(context, stop_while_working(context, proxy))


async def stop_while_working(context: Context, proxy: str) -> None:
    ports = [each.callers for each in context.cluster.layout.proxies]
    until = monotonic() + WORK_SECONDS
    callers = [
        Caller(number, ports, context.ledger) for number in range(CALLERS)
    ]
    working = create_task(wait_all(callers, until))
    await sleep(WORK_SECONDS / 4)
    stopping = create_task(context.cluster.stop(proxy))
    await sleep(WORK_SECONDS / 4)
    await to_thread(finish_transaction, context)
    context.exit_code = await stopping
    await working


async def wait_all(callers: list[Caller], until: float) -> None:
    await gather(*(caller.run(until) for caller in callers))


def finish_transaction(context: Context) -> None:
    context.driver.run("INSERT INTO plays (licence, song) VALUES ('last', 's')")
    context.driver.run('COMMIT')


@then('the transaction commits and its row is read at "{proxy}"')
def check_committed(context: Context, proxy: str) -> None:
    reader = open_driver(context, 'PyMySQL', proxy)
    sql = "SELECT licence FROM plays WHERE licence IN ('open', 'last')"
    assert len(reader.run(sql)) == 2


@then('"{proxy}" has ended with exit code {code:d}')
def check_ended(context: Context, proxy: str, code: int) -> None:
    assert context.exit_code == code
    assert proxy not in context.cluster.running


@then('no caller was left without a proof of what became of a request')
def check_no_doubt(context: Context) -> None:
    done = [
        each for each in context.ledger.attempts if each.outcome is Outcome.DONE
    ]
    doubtful = [
        each
        for each in context.ledger.attempts
        if each.outcome in {Outcome.UNKNOWN, Outcome.REJECTED}
    ]
    assert done
    assert not doubtful, doubtful[:3]
    assert not context.ledger.not_found


@when('a proxy process is started with these settings')
def start_with_bad_settings(context: Context) -> None:
    with TemporaryDirectory(prefix='whole-path-') as folder:
        settings = Path(folder, 'settings.toml')
        settings.write_text(context.text)
        context.ended = subprocess.run(
            [COMMAND, 'proxy', '--settings', str(settings)],
            capture_output=True,
            text=True,
            timeout=LIMIT,
        )


@then('it ends with exit code {code:d} and names "{one}", "{two}" and "{last}"')
def check_refused(
    context: Context,
    code: int,
    one: str,
    two: str,
    last: str,
) -> None:
    assert context.ended.returncode == code, context.ended
    for name in (one, two, last):
        assert name in context.ended.stderr, context.ended.stderr
