"""Run supervisors of one group on databases in memory, in virtual time."""

import random
from asyncio import Task, create_task, sleep, timeout_at
from collections.abc import Callable, Coroutine, Sequence
from contextlib import AsyncExitStack, suppress
from functools import partial
from typing import Any, TypeVar

from async_solipsism import EventLoop

from sedgeshunt.clocks import PauseWatch, read_clock
from sedgeshunt.configuration.objects import LEAVING, STATE_LABEL, Target
from sedgeshunt.decisions import Decision, DecisionKind, MemoryDecisionLog
from sedgeshunt.exceptions import SedgeshuntError
from sedgeshunt.groups.peer_query import PeerQuery
from sedgeshunt.groups.points import ORIGIN, Point
from sedgeshunt.groups.supervisor import GroupSupervisor
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    ProxyId,
    TargetId,
    ZoneId,
)
from sedgeshunt.ports import Address, PrimaryReport
from tests.standins.engine import DatabaseGroup
from tests.standins.links import MemoryConnector
from tests.standins.network import Place

GROUP = GroupId('songbook')
DATABASES = {'ada': 'east', 'bob': 'north', 'cyd': 'west'}
PROXIES = {'p1': 'east', 'p2': 'north', 'p3': 'west'}
SCHEMA = 'CREATE TABLE turns (id INTEGER PRIMARY KEY)'
ADDRESS = Address('', 0)
WRITE_TIME = 0.5
QUERY_TIMEOUT = 0.1

Outcome = TypeVar('Outcome')


class ReachablePeers(PeerQuery):
    """Query the proxies that the network doesn't separate from this one."""

    def __init__(self, bench: 'GroupBench', own: Place) -> None:
        """Query from the place `own`."""
        self._bench = bench
        self._own = own

    async def query_primary(self, group: GroupId) -> Sequence[PrimaryReport]:
        """Return the reports; wait the timeout for an unreachable proxy."""
        network = self._bench.databases.network
        reports = []
        for node in self._bench.nodes.values():
            if node.place == self._own:
                continue
            if node.stopped or network.is_cut(self._own, node.place):
                await sleep(QUERY_TIMEOUT)
                continue
            await sleep(network.read_latency(self._own, node.place) * 2)
            reports.append(node.view.report_primary())
        return reports


class ProxyNode:
    """The part of one proxy that deals with the group."""

    def __init__(self, bench: 'GroupBench', name: str, zone: str) -> None:
        """Create the proxy's supervisor without starting it."""
        self.place = Place(name, zone)
        self.pauses = PauseWatch()
        self.view = GroupView(GROUP, self.pauses)
        self.decisions = MemoryDecisionLog()
        self.connector = MemoryConnector(
            {GROUP: bench.databases},
            ZoneId(zone),
            name,
        )
        self.supervisor = GroupSupervisor(
            GROUP,
            self.view,
            self.connector,
            ReachablePeers(bench, self.place),
            ProxyId(name),
            self.decisions,
        )
        # Rows that were committed and never acknowledged.
        self.unknown: set[int] = set()
        self.stopped = True
        self._running: Task[None] | None = None

    def start(self) -> None:
        """Run until stopped."""
        self.stopped = False
        self._running = create_task(self._run())

    async def stop(self) -> None:
        """Cancel all tasks at once, as in a crash."""
        self.stopped = True
        if self._running is not None:
            self._running.cancel()
            with suppress(BaseException):
                await self._running

    async def write(self, number: int) -> Point | None:
        """Write one row; return its point if it is acknowledged."""
        deadline = Monotonic(read_clock() + WRITE_TIME)
        primary = self.view.get_primary()
        if primary is None:
            await self.view.wait_change(deadline)
            return None
        point = await self._send(primary, number, deadline)
        if point is None:
            return None
        if await self.view.wait_durable(point, deadline):
            return point
        self.unknown.add(number)
        return None

    async def _run(self) -> None:
        async with AsyncExitStack() as owned:
            watching = create_task(self.pauses.run())
            owned.callback(watching.cancel)
            await owned.enter_async_context(self.supervisor)
            await watching

    async def _send(
        self,
        primary: TargetId,
        number: int,
        deadline: Monotonic,
    ) -> Point | None:
        with suppress(SedgeshuntError, TimeoutError):
            async with timeout_at(deadline), AsyncExitStack() as owned:
                connection = await self.connector.connect(
                    primary,
                    ADDRESS,
                    GROUP,
                )
                owned.push_async_callback(connection.close)
                answer = await connection.execute(
                    f'INSERT INTO turns (id) VALUES ({number})',
                )
                return answer.point
        return None


class GroupBench:
    """A group, its proxies and the acknowledged writes."""

    def __init__(self, seed: int = 1) -> None:
        """Start the group with a first primary and no proxy."""
        random.seed(seed)
        self.loop = EventLoop()
        self.databases: DatabaseGroup = self.run(self._open())
        self.nodes: dict[str, ProxyNode] = {}
        self.leaving: set[str] = set()
        self.acknowledged: dict[int, float] = {}
        self._numbers = 0
        self.points: list[Point] = []
        # Barriers below a write acknowledged before their session was opened.
        self.stale: list[Point] = []
        self._tasks: list[Task[None]] = []

    def run(self, work: Coroutine[Any, Any, Outcome]) -> Outcome:
        """Run `work` to its end."""
        return self.loop.run_until_complete(work)

    def ask(self, question: Callable[[], Outcome]) -> Outcome:
        """Call `question` inside the running loop."""
        return self.run(_call(question))

    def wait(self, seconds: float) -> None:
        """Run the loop for some virtual time."""
        self.run(sleep(seconds))

    def pause(self, seconds: float) -> None:
        """Freeze the process: advance the time without running tasks."""
        self.loop._selector.clock.advance(seconds)

    def start_proxies(self, *names: str) -> None:
        """Start proxies and let them connect."""
        for name in names:
            self.nodes[name] = ProxyNode(self, name, PROXIES[name])
        self.configure()
        for name in names:
            self.ask(self.nodes[name].start)
        self.wait(0.3)

    def cut(self, one: str, other: str) -> None:
        """Cut the network between two places or zones."""
        self.ask(partial(self.databases.network.cut, one, other))

    def slow_zone(self, zone: str, latency: float) -> None:
        """Set the latency of messages to and from a zone."""
        for other in PROXIES.values():
            self.databases.network.set_latency(zone, other, latency)

    def restart_all(self) -> None:
        """Restart and thaw all databases."""
        for database in self.databases.databases.values():
            self.ask(database.restart)
            self.ask(database.thaw)

    def end_faults(self) -> None:
        """End all faults."""
        self.ask(self.databases.network.heal)
        self.restart_all()
        for database in self.databases.databases.values():
            self.ask(partial(database.set_lag, 0))
        self.leaving.clear()
        self.configure()

    def configure(self) -> None:
        """Apply the configuration to all proxies."""
        targets = [
            Target(
                name=TargetId(name),
                group=GROUP,
                host='',
                port=0,
                zone=ZoneId(zone),
                labels={STATE_LABEL: LEAVING} if name in self.leaving else {},
            )
            for name, zone in DATABASES.items()
        ]
        proxies = [ProxyId(name) for name in self.nodes]
        for node in self.nodes.values():
            self.ask(partial(node.supervisor.set_targets, targets, proxies))

    def start_writing(self, name: str) -> None:
        """Write one row after the other through a proxy."""
        self._tasks.append(self.loop.create_task(self._write(name)))

    def list_lost(self) -> set[int]:
        """Return the acknowledged rows that the newest primary lacks."""
        return set(self.acknowledged) - self._list_rows()

    def list_dropped(self) -> set[int]:
        """Return the unknown rows that the newest primary lacks."""
        unknown = [node.unknown for node in self.nodes.values()]
        return set().union(*unknown) - self._list_rows()

    def list_decisions(self, kind: DecisionKind) -> list[Decision]:
        """List one kind of decisions of all proxies."""
        return [
            decision
            for node in self.nodes.values()
            for decision in node.decisions.list_decisions(kind)
        ]

    def measure_gap(self) -> float:
        """Return the longest time without an acknowledgement."""
        moments = [*self.acknowledged.values(), self.loop.time()]
        return max(
            later - earlier
            for earlier, later in zip(moments, moments[1:], strict=False)
        )

    def close(self) -> None:
        """Stop everything."""
        self.run(self._close())
        self.loop.close()

    def start_reading(self, name: str) -> None:
        """Open one session after the other and check its barrier."""
        self._tasks.append(self.loop.create_task(self._read(name)))

    def _list_rows(self) -> set[object]:
        leader = self.databases.find_leader()
        if leader is None:
            return set()
        rows = self.databases.select(leader.name, 'SELECT id FROM turns')
        return {row[0] for row in rows}

    async def _open(self) -> DatabaseGroup:
        databases = DatabaseGroup(DATABASES)
        databases.load_schema([SCHEMA])
        databases.start('ada')
        return databases

    async def _write(self, name: str) -> None:
        while True:
            self._numbers += 1
            number = self._numbers
            point = await self.nodes[name].write(number)
            if point is not None:
                self.acknowledged[number] = read_clock()
                self.points.append(point)
            await sleep(0.03)

    async def _read(self, name: str) -> None:
        while True:
            await sleep(0.05)
            opened = read_clock()
            highest = max(self.points, default=ORIGIN)
            deadline = Monotonic(opened + WRITE_TIME)
            point = await self.nodes[name].view.wait_barrier(opened, deadline)
            if point is not None and point < highest:
                self.stale.append(point)

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for node in self.nodes.values():
            await node.stop()
        self.databases.network.heal()
        self.databases.close()
        await sleep(1)


async def _call(question: Callable[[], Outcome]) -> Outcome:
    return question()
