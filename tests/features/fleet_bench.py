"""Run the configuration and membership parts of proxies in virtual time."""

from asyncio import Task, all_tasks, create_task, gather, sleep
from collections.abc import AsyncIterator, Coroutine, Iterable, Sequence
from random import Random
from typing import Any, TypeVar

from async_solipsism import EventLoop

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.feed import ConfigurationFeed
from sedgeshunt.configuration.objects import (
    ConfigurationObject,
    Group,
    Proxy,
    Target,
)
from sedgeshunt.configuration.registry import ConfigurationRegistry
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.decisions import MemoryDecisionLog
from sedgeshunt.exceptions import AnswerLost
from sedgeshunt.identifiers import (
    GroupId,
    ProxyId,
    Revision,
    Seconds,
    TargetId,
    Term,
    ZoneId,
)
from sedgeshunt.membership.directory import PeerDirectory
from sedgeshunt.membership.instances import InstanceWatch
from sedgeshunt.membership.peers import PeerRoster
from sedgeshunt.ports import (
    Address,
    CommitResult,
    Compare,
    ConfigurationCopy,
    Delete,
    Listing,
    PeerService,
    PrimaryReport,
    ProxyReport,
    Put,
    WatchEvent,
)
from tests.standins.network import Network, Place
from tests.standins.peers import MemoryPeerConnector, MemoryPeers
from tests.standins.platform import (
    InstanceListStandIn,
    KeyValueStandIn,
    MemoryInstanceList,
    MemoryKeyValue,
)

HOST = '127.0.0.1'
GROUP = GroupId('songbook')
ZONES = ('east', 'north', 'west')
FIRST_PORT = 17000

Outcome = TypeVar('Outcome')


class FaultyKeyValue(MemoryKeyValue):
    """Call the stand-in, injecting the faults of a replicated service."""

    def __init__(self, service: KeyValueStandIn, client: Place) -> None:
        """Start without faults."""
        super().__init__(service, client)
        # The listing that a lagging member keeps returning.
        self.old_listing: Listing | None = None
        self.delayed: Coroutine[Any, Any, CommitResult] | None = None
        self.delays_next = False
        self.swaps_events = False

    async def list_prefix(
        self,
        prefix: str,
        *,
        may_be_old: bool = False,
    ) -> Listing:
        """Read all pairs, from the lagging member if there is one."""
        if self.old_listing is not None:
            return self.old_listing
        return await super().list_prefix(prefix)

    async def commit(
        self,
        compares: Sequence[Compare],
        changes: Sequence[Put | Delete],
    ) -> CommitResult:
        """Apply all or nothing, or delay the request and lose the answer."""
        if not self.delays_next:
            return await super().commit(compares, changes)
        self.delays_next = False
        self.delayed = super().commit(compares, changes)
        raise AnswerLost('commit')

    async def watch(
        self,
        prefix: str,
        after: Revision,
    ) -> AsyncIterator[Sequence[WatchEvent]]:
        """Yield changes; swap two of them if `swaps_events` is set."""
        held: Sequence[WatchEvent] = ()
        async for events in super().watch(prefix, after):
            if self.swaps_events and not held:
                held = events
                continue
            yield events
            if held:
                self.swaps_events = False
                yield held
                held = ()


class FleetNode(PeerService):
    """Hold the configuration and membership parts of one proxy."""

    def __init__(self, bench: 'FleetBench', proxy: Proxy) -> None:
        """Build the parts without starting them."""
        self.name = proxy.name
        self.place = Place(proxy.name, proxy.zone)
        self.address = Address(proxy.host, proxy.peer_port)
        self.decisions = MemoryDecisionLog()
        self.applied: list[Revision] = []
        self.stopping = False
        self.platform = FaultyKeyValue(bench.service, self.place)
        self.instances = InstanceWatch(
            MemoryInstanceList(bench.instances, self.place),
            self.decisions,
            lambda: len(bench.nodes),
            Random(self.name),
        )
        self.roster = PeerRoster(
            ProxyId(self.name),
            proxy.zone,
            PeerDirectory(
                ProxyId(self.name),
                self.address,
                bench.seeds,
                self.instances,
            ),
            MemoryPeerConnector(bench.peers, self.place),
            self.decisions,
            Random(self.name),
        )
        self.feed = ConfigurationFeed(
            self.platform,
            self.roster,
            self._note_snapshot,
            self.decisions,
            Random(self.name),
        )
        self._bench = bench
        self._tasks: list[Task[None]] = []

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self.feed.snapshot.revision

    def start(self) -> None:
        """Serve peers and follow the configuration."""
        self._bench.peers.add(self.address, self.place, self)
        self._tasks = [
            create_task(self.instances.run()),
            create_task(self.roster.run()),
            create_task(self.feed.run()),
        ]

    async def stop(self) -> None:
        """Stop without an announcement."""
        self._bench.peers.remove(self.address)
        for task in self._tasks:
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)

    async def report(self) -> ProxyReport:
        """Return the report of this proxy."""
        return ProxyReport(
            ProxyId(self.name),
            ZoneId(self.place.zone),
            self.revision,
            self.stopping,
            b'',
        )

    async def report_primary(self, group: GroupId) -> PrimaryReport:
        """Report that the primary answered just now."""
        return PrimaryReport(group, Term(1), TargetId('ada'), Seconds(0))

    async def copy_configuration(
        self,
        known: Revision,
    ) -> ConfigurationCopy | None:
        """Return a configuration newer than `known`."""
        return self.feed.encode_copy(known)

    async def announce_leaving(self, name: str) -> None:
        """Record that an instance is leaving."""
        self.instances.note_leaving(name)

    async def explain(self, question: bytes) -> bytes:
        """Return the question."""
        return question

    async def copy_tallies(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> Sequence[bytes]:
        """Return no tallies."""
        return ()

    def _note_snapshot(self, snapshot: Snapshot) -> None:
        self.applied.append(snapshot.revision)
        self.roster.apply(snapshot)


class FleetBench:
    """Hold the platform, the proxies and an event loop in virtual time."""

    def __init__(self, proxies: int = 6) -> None:
        """Declare `proxies` proxies over three zones; start none."""
        self.loop = EventLoop()
        self.network = Network()
        self.service = KeyValueStandIn(self.network)
        self.peers = MemoryPeers(self.network)
        self.instances = InstanceListStandIn(self.network)
        self.proxies = [
            Proxy(
                name=f'p{number}',
                zone=ZoneId(ZONES[number % len(ZONES)]),
                host=HOST,
                peer_port=FIRST_PORT + number,
            )
            for number in range(proxies)
        ]
        self.seeds = [
            Address(HOST, proxy.peer_port) for proxy in self.proxies[:3]
        ]
        self.nodes: dict[str, FleetNode] = {}
        self.outcome: Any = None

    def run(self, work: Coroutine[Any, Any, Outcome]) -> Outcome:
        """Run `work` to its end in virtual time."""
        return self.loop.run_until_complete(work)

    def wait(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.run(sleep(seconds))

    def list_objects(self) -> list[ConfigurationObject]:
        """Return a group of three targets and all proxies."""
        targets = [
            Target(
                name=TargetId(name),
                group=GROUP,
                host=HOST,
                port=13306 + number,
                zone=ZoneId(ZONES[number]),
            )
            for number, name in enumerate(('ada', 'bob', 'cyd'))
        ]
        return [Group(name=GROUP), *targets, *self.proxies]

    def open_platform(self) -> FaultyKeyValue:
        """Return an operator's client of the service."""
        return FaultyKeyValue(self.service, Place('desk', 'office'))

    def open_registry(self, author: str) -> ConfigurationRegistry:
        """Return the registry for one operator."""
        return ConfigurationRegistry(
            self.open_platform(),
            author,
            Random(author),
        )

    def declare(self) -> Revision:
        """Apply the objects and return the revision."""
        registry = self.open_registry('setup')
        applied = self.run(registry.apply(self.list_objects(), 'start'))
        return applied.revision

    def start(self, count: int | None = None) -> None:
        """Start the first `count` proxies, or all."""
        for proxy in self.proxies[:count]:
            self.run(self.start_node(proxy))

    async def start_node(self, proxy: Proxy) -> FleetNode:
        """Start one proxy."""
        node = FleetNode(self, proxy)
        self.nodes[node.name] = node
        node.start()
        return node

    def wait_until(self, holds: Any, limit: float) -> float:
        """Return the seconds until `holds()`; fail past `limit`."""
        return self.run(_poll(holds, limit))

    def close(self) -> None:
        """Stop all proxies and the loop."""
        for node in self.nodes.values():
            self.run(node.stop())
        left = all_tasks(self.loop)
        for task in left:
            task.cancel()
        self.run(_collect(left))
        self.loop.close()


async def _collect(tasks: Iterable[Task[Any]]) -> None:
    await gather(*tasks, return_exceptions=True)


async def _poll(holds: Any, limit: float) -> float:
    started_at = read_clock()
    while not holds():
        assert read_clock() < started_at + limit, f'not within {limit} s'
        await sleep(0.01)
    return read_clock() - started_at
