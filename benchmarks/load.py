"""Load one MySQL port from many connections and print what was seen."""

from argparse import ArgumentParser, Namespace
from asyncio import gather, sleep
from contextlib import AsyncExitStack
from sys import stdin, stdout
from time import perf_counter
from typing import Any

from asyncmy import connect
from msgspec import Struct
from msgspec.json import encode
from uvloop import run

from benchmarks.documents import HOST
from benchmarks.figures import find_percentile

# Connections opened at the same time.
BATCH = 20


class LoadReport(Struct, frozen=True):
    """Hold what the load saw; times in seconds."""

    statements: int
    failures: int
    seconds: float
    p50: float
    p99: float


async def open_connections(asked: Namespace, owned: AsyncExitStack) -> Any:
    """Open all connections, a few at the same time."""
    opened: list[Any] = []
    while len(opened) < asked.connections:
        wanted = min(BATCH, asked.connections - len(opened))
        opened += await gather(*[_open(asked) for _ in range(wanted)])
    for connection in opened:
        owned.callback(connection.close)
    return opened


async def _open(asked: Namespace) -> Any:
    return await connect(
        host=HOST,
        port=asked.port,
        user='sedgeshunt@zone-a',
        password='',
        db=asked.database,
        autocommit=None,
    )


async def load(asked: Namespace) -> LoadReport:
    """Send statements on each connection, one after the other."""
    async with AsyncExitStack() as owned:
        opened = await open_connections(asked, owned)
        spent: list[float] = []
        failures: list[str] = []
        started = perf_counter()
        end = started + asked.seconds
        await gather(
            *[_repeat(each, asked.sql, end, spent, failures) for each in opened]
        )
        if failures:
            stdout.write(f'first failure: {failures[0]}\n')
        return LoadReport(
            len(spent),
            len(failures),
            perf_counter() - started,
            find_percentile(spent, 0.5) or 0,
            find_percentile(spent, 0.99) or 0,
        )


async def _repeat(
    connection: Any,
    sql: str,
    end: float,
    spent: list[float],
    failures: list[str],
) -> None:
    async with connection.cursor() as cursor:
        while (started := perf_counter()) < end:
            try:
                await cursor.execute(sql)
                await cursor.fetchall()
            except Exception as failure:
                failures.append(str(failure))
                await sleep(0.01)
            else:
                spent.append(perf_counter() - started)


async def idle(asked: Namespace) -> None:
    """Hold all connections until the input ends."""
    async with AsyncExitStack() as owned:
        await open_connections(asked, owned)
        stdout.write('open\n')
        stdout.flush()
        stdin.readline()


def main() -> None:
    """Run the load that the command line asks for."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--database', default='')
    parser.add_argument('--connections', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=float(5))
    parser.add_argument('--sql', default='')
    asked = parser.parse_args()
    if not asked.sql:
        run(idle(asked))
        return
    report = run(load(asked))
    stdout.write(f'{encode(report).decode()}\n')


if __name__ == '__main__':
    main()
