"""Keep idle callers and send paced statements to a real proxy."""

from asyncio import gather, sleep
from collections.abc import Sequence
from contextlib import AsyncExitStack
from time import monotonic
from typing import Any

from asyncmy import connect

from benchmarks.capacity_fit import Fit, fit_line
from benchmarks.capacity_stage import Stage, Usage
from benchmarks.documents import HOST
from benchmarks.figures import print_progress

READ = 'SELECT ref FROM turns WHERE id = 1'
WRITE = "INSERT INTO turns (ref) VALUES ('x')"
READ_RATES = (100, 200, 400, 800)
WRITE_RATES = (50, 100, 200, 400)
SENDERS = 20
SENDING = 4
CALLERS = (500, 1000, 2000, 4000)
BATCH = 20
WATCHING = 3
MILLISECONDS = 1000


async def open_callers(stage: Stage, count: int, owned: AsyncExitStack) -> Any:
    """Connect callers, a few at the same time."""
    opened: list[Any] = []
    while len(opened) < count:
        opened += await gather(*[_open(stage) for _ in range(BATCH)])
    for connection in opened:
        owned.callback(connection.close)
    return opened


async def measure_statements(stage: Stage) -> list[Fit]:
    """Measure CPU time for each statement at several rates."""
    fits = await _measure_rates(stage, 'read', READ, READ_RATES)
    return fits + await _measure_rates(stage, 'write', WRITE, WRITE_RATES)


async def measure_callers(stage: Stage) -> list[Fit]:
    """Measure memory and CPU time for each idle caller."""
    memory: list[float] = []
    cpu: list[float] = []
    async with AsyncExitStack() as owned:
        held = 0
        for wanted in CALLERS:
            print_progress(f'capacity: {wanted} idle callers')
            await open_callers(stage, wanted - held, owned)
            held = wanted
            await sleep(1)
            usage = await stage.measure(WATCHING)
            memory.append(usage.memory_kb)
            cpu.append(usage.cpu * MILLISECONDS)
    return [
        fit_line('memory of a proxy', 'KB', 'idle caller', CALLERS, memory),
        fit_line('CPU of a proxy', 'ms/s', 'idle caller', CALLERS, cpu),
    ]


async def _open(stage: Stage) -> Any:
    return await connect(
        host=HOST,
        port=stage.caller_port,
        user='sedgeshunt@zone-a',
        password='',
        db='lease-1',
        autocommit=None,
    )


async def _measure_rates(
    stage: Stage,
    name: str,
    sql: str,
    rates: Sequence[int],
) -> list[Fit]:
    reached: list[float] = []
    usages: list[Usage] = []
    async with AsyncExitStack() as owned:
        callers = await open_callers(stage, SENDERS, owned)
        for rate in rates:
            print_progress(f'capacity: {rate} {name}s a second')
            sending = gather(
                *[_send(caller, sql, rate / SENDERS) for caller in callers]
            )
            usages.append(await stage.measure(SENDING))
            sent = await sending
            reached.append(sum(sent) / SENDING)
    cpu = [usage.cpu * MILLISECONDS for usage in usages]
    messages = [usage.messages for usage in usages]
    per = f'{name}/s'
    return [
        fit_line('CPU of a proxy', 'ms/s', per, reached, cpu),
        fit_line('messages sent', '1/s', per, reached, messages),
    ]


async def _send(caller: Any, sql: str, rate: float) -> int:
    sent = 0
    started = monotonic()
    async with caller.cursor() as cursor:
        while monotonic() < started + SENDING:
            await cursor.execute(sql)
            await cursor.fetchall()
            sent += 1
            due = started + sent / rate
            await sleep(max(0, due - monotonic()))
    return sent
