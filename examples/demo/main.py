"""Run the demo: fail a primary and proxies under callers, then count."""

import sys
from asyncio import gather, run, sleep, timeout
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any

from asyncmy import connect

from examples.demo.callers import Caller
from examples.demo.layout import GROUP, HOST
from examples.demo.ledger import Ledger
from examples.demo.processes import Cluster
from examples.demo.promises import (
    Drained,
    check_drain,
    check_promises,
    find_primary,
    measure_service,
)
from examples.demo.tables import print_promises, print_requests, print_service

CALLERS = 6
RUN_SECONDS = 20
WHOLE_LIMIT = 58
# Rows that neither proxies nor the stand-ins' lag may hide at the end.
SETTLE = 2
PLAYS_WITHOUT_MAJORITY = 6


async def show_demo() -> int:
    """Run everything once; return the exit code."""
    began = monotonic()
    with TemporaryDirectory(prefix='sedgeshunt-demo-') as folder:
        print('starting stand-ins and 3 proxies, one process each ...')
        async with timeout(WHOLE_LIMIT), Cluster(Path(folder)) as cluster:
            ledger = Ledger()
            print(f'{CALLERS} callers roam between the proxies')
            _, drained = await gather(
                run_callers(cluster, ledger),
                tell_story(cluster),
            )
            await write_without_majority(cluster, ledger)
            await sleep(SETTLE)
            history = await cluster.read_history()
            kept = await read_rows(cluster)
            print_requests(ledger)
            print_service(ledger, measure_service(history))
            promises = [
                *check_promises(ledger, history, kept),
                check_drain(drained, history),
            ]
            print_promises(promises)
    print(f'took {monotonic() - began:.0f} s; all processes have ended')
    return 1 if any(promise.broken for promise in promises) else 0


async def run_callers(cluster: Cluster, ledger: Ledger) -> None:
    """Let all callers work for the time of the demo."""
    until = monotonic() + RUN_SECONDS
    ports = [proxy.callers for proxy in cluster.layout.proxies]
    callers = [Caller(number, ports, ledger) for number in range(CALLERS)]
    await gather(*(caller.run(until) for caller in callers))


async def tell_story(cluster: Cluster) -> Drained:
    """Fail and repair one thing after the other."""
    primary = next(iter(cluster.layout.databases))
    await sleep(3)
    print(f'  3 s: kill the primary {primary}')
    await cluster.make_fault(target=primary, action='kill')
    await sleep(3)
    print(f'  6 s: restart {primary}; it has to follow now')
    await cluster.make_fault(target=primary, action='restart')
    await sleep(2)
    print('  8 s: kill the proxy entry-2')
    await cluster.kill('entry-2')
    await sleep(2)
    print(' 10 s: start entry-2 again')
    await cluster.start_proxy('entry-2')
    await sleep(2)
    print(' 12 s: stop entry-3 gracefully')
    code = await cluster.stop('entry-3')
    print(f'       entry-3 ended with exit code {code}')
    await sleep(1)
    primary = find_primary(await cluster.read_history())
    print(f' 14 s: drain {primary}, which leads now')
    await cluster.run_client('drain', primary)
    return Drained(primary, monotonic())


async def write_without_majority(cluster: Cluster, ledger: Ledger) -> None:
    """Ask for writes that nobody could make durable."""
    primary = find_primary(await cluster.read_history())
    replicas = [each for each in cluster.layout.databases if each != primary]
    print(f' 20 s: kill {" and ".join(replicas)}, so writes have to be refused')
    for replica in replicas:
        await cluster.make_fault(target=replica, action='kill')
    await sleep(1)
    ports = [proxy.callers for proxy in cluster.layout.proxies[:2]]
    caller = Caller(CALLERS, ports, ledger)
    await caller.write_plays(PLAYS_WITHOUT_MAJORITY)
    for replica in replicas:
        await cluster.make_fault(target=replica, action='restart')


async def read_rows(cluster: Cluster) -> list[str]:
    """Read all references, from a session with a barrier of its own."""
    connection: Any = await connect(
        host=HOST,
        port=cluster.layout.proxies[0].callers,
        user='demo',
        db=GROUP,
        autocommit=True,
    )
    async with connection.cursor() as cursor:
        await cursor.execute(
            'SELECT song FROM turns UNION ALL SELECT licence FROM plays',
        )
        rows = await cursor.fetchall()
    connection.close()
    return [str(row[0]) for row in rows]


if __name__ == '__main__':
    sys.exit(run(show_demo()))
