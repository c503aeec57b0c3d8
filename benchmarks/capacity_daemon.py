"""Measure what a real proxy spends on what it watches."""

from asyncio import run
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack, ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.capacity_callers import measure_callers, measure_statements
from benchmarks.capacity_documents import Plan
from benchmarks.capacity_fit import Fit, fit_line
from benchmarks.capacity_idle_peer import IdlePeer
from benchmarks.capacity_stage import Stage, Usage
from benchmarks.documents import HOST, find_port
from benchmarks.figures import print_progress
from sedgeshunt.adapters.peer_server import ThriftPeerServer
from sedgeshunt.ports import Address

# At 1,500 nodes and 800 groups a node serves three or four.
GROUPS = (0, 1, 2, 4, 8)
PEERS = (1, 2, 4, 8)
LINES = (250, 500, 1000, 2000)
WATCHING = 6
MILLISECONDS = 1000


def measure_daemon() -> list[Fit]:
    """Measure targets, peers, list, callers and statements, in turn."""
    return run(_measure_all())


async def _measure_all() -> list[Fit]:
    fits = await _measure_groups()
    fits += await _measure_lines()
    async with AsyncExitStack() as owned:
        ports = [await _serve_peer(number, owned) for number in range(8)]
        fits += await _measure_peers(ports)
    with ExitStack() as held:
        stage = await _open_stage(Plan(), held)
        fits += await measure_statements(stage)
        fits += await measure_callers(stage)
    return fits


async def _measure_groups() -> list[Fit]:
    found = []
    for count in GROUPS:
        print_progress(f'capacity: {count} groups of 3 watched')
        found.append(await _watch(Plan(groups=count)))
    return _fit_usages('group of 3 watched', GROUPS, found)


async def _measure_lines() -> list[Fit]:
    found = []
    for count in LINES:
        print_progress(f'capacity: {count} instances listed')
        found.append(await _watch(Plan(groups=0, lines=count)))
    per = 'line of the list, read once a second'
    return _fit_usages(per, LINES, found)


async def _measure_peers(ports: Sequence[int]) -> list[Fit]:
    found = []
    for count in PEERS:
        print_progress(f'capacity: {count} peers asked')
        found.append(await _watch(Plan(groups=0, peers=ports[:count])))
    return _fit_usages('peer asked', PEERS, found)


async def _watch(plan: Plan) -> Usage:
    with ExitStack() as owned:
        stage = await _open_stage(plan, owned)
        return await stage.measure(WATCHING)


async def _open_stage(plan: Plan, owned: ExitStack) -> Stage:
    folder = owned.enter_context(TemporaryDirectory())
    stage = Stage(plan, Path(folder), owned)
    await stage.settle()
    return stage


async def _serve_peer(number: int, owned: AsyncExitStack) -> int:
    port = find_port()
    server = ThriftPeerServer(Address(HOST, port), IdlePeer(f'peer-{number}'))
    await server.start()
    owned.push_async_callback(server.stop)
    return port


def _fit_usages(
    per: str,
    sizes: Sequence[int],
    found: Sequence[Usage],
) -> list[Fit]:
    readings: tuple[tuple[str, str, Callable[[Usage], float]], ...] = (
        ('CPU', 'ms/s', lambda usage: usage.cpu * MILLISECONDS),
        ('memory', 'KB', lambda usage: usage.memory_kb),
        ('received', 'B/s', lambda usage: usage.bytes_in),
        ('sent', 'B/s', lambda usage: usage.bytes_out),
        ('messages sent', '1/s', lambda usage: usage.messages),
    )
    return [
        fit_line(name, unit, per, sizes, [read(usage) for usage in found])
        for name, unit, read in readings
    ]
