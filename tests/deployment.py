"""Run whole proxies in memory and in virtual time, on the stand-ins."""

from asyncio import Event, Task, create_task, sleep, wait
from collections.abc import Sequence
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from random import Random
from types import TracebackType

from result import Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.encoding import encode_object
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import (
    ConfigurationObject,
    Group,
    Proxy,
    Route,
    Target,
)
from sedgeshunt.decisions import DecisionKind, MemoryDecisionLog
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    RequestId,
    Seconds,
    TargetId,
    TraceId,
    TrafficClass,
    ZoneId,
)
from sedgeshunt.logs import EventLog, StatementLog
from sedgeshunt.metrics import NoMetrics
from sedgeshunt.ports import Address, InstanceState, ListedInstance, Put
from sedgeshunt.proxy import ProxyInstance
from sedgeshunt.requests.gate import CallerSession
from sedgeshunt.requests.outcome import Answer, Refusal
from sedgeshunt.requests.request import Request
from sedgeshunt.requests.statements import classify_statement
from sedgeshunt.settings import (
    CallersSettings,
    Endpoint,
    IpNumber,
    PeersSettings,
    PlatformSettings,
    SessionKey,
    Settings,
)
from tests.standins.databases import Limits
from tests.standins.engine import DatabaseGroup
from tests.standins.links import MemoryConnector
from tests.standins.network import Network, Place
from tests.standins.peers import MemoryPeerConnector, MemoryPeers
from tests.standins.platform import (
    InstanceListStandIn,
    KeyValueStandIn,
    MemoryInstanceList,
    MemoryKeyValue,
)

HOST = '127.0.0.1'
FIRST_PEER_PORT = 7100
SECRET = 'a-secret-for-tests-only'
SCHEMA = (
    'CREATE TABLE turns (id INTEGER PRIMARY KEY AUTOINCREMENT, ref TEXT)',
)
STATUS = TrafficClass('status')


@dataclass(frozen=True)
class Profile:
    """Hold the sizes of one user's deployment; times in seconds."""

    zones: Sequence[str] = ('zone-a', 'zone-b', 'zone-c')
    zone_latency: float = 0.0005
    groups: Sequence[str] = ('lease',)
    slots: int = 5
    connection_limit: int = 50
    connect_time: float = 0.01
    service_time: float = 0.001
    lag: float = 0.005
    proxies: int = 6


KIGALI = Profile(
    zones=('kg-nyarugenge', 'kg-kicukiro', 'kg-gasabo'),
    zone_latency=0.0015,
    groups=('songbook-1', 'songbook-2', 'songbook-3'),
    slots=3,
    connection_limit=20,
)
URUGUAY = Profile(
    zones=('mvd-a', 'mvd-b', 'cnl-c'),
    zone_latency=0.0005,
    groups=('lease-1', 'lease-2', 'lease-3'),
)


@dataclass
class ProxyNode:
    """Hold one running proxy."""

    place: Place
    address: Address
    proxy: ProxyInstance
    decisions: MemoryDecisionLog
    stopping: Event = field(default_factory=Event)
    task: Task[None] | None = None
    was_killed: bool = False
    # Statements under way, which end when the process does.
    requests: set[Task[Result[Answer, Refusal]]] = field(default_factory=set)
    sessions: set[CallerSession] = field(default_factory=set)

    @property
    def is_running(self) -> bool:
        """Tell whether the proxy serves."""
        if self.was_killed or self.task is None:
            return False
        return not self.task.done()


class ProxyGone(Exception):
    """Say that the caller's connection broke without an answer."""


class Caller:
    """Send statements as one session that may roam between proxies."""

    def __init__(self, deployment: 'Deployment', group: str) -> None:
        """Connect with the first statement."""
        self.token: str | None = None
        self.session: CallerSession | None = None
        self.node: ProxyNode | None = None
        self._deployment = deployment
        self._group = GroupId(group)

    async def connect(self, proxy: str) -> None:
        """Move to `proxy`, carrying the token along."""
        await self.leave()
        node = self._deployment.nodes[proxy]
        if not node.is_running:
            raise ProxyGone
        self.session = await node.proxy.open_session(
            self._group,
            TraceId('test'),
        )
        self.node = node
        node.sessions.add(self.session)

    async def leave(self) -> None:
        """Close the connection."""
        session = self.session
        self.session = None
        if session is not None and self.node is not None:
            self.node.sessions.discard(session)
            await session.close()

    async def ask(
        self,
        sql: str,
        *,
        deadline: float = 2,
        accepted_age: float | None = None,
        request_id: str | None = None,
        idempotent: bool = False,
        traffic_class: str = 'default',
        brings_token: bool = True,
    ) -> Result[Answer, Refusal]:
        """Send one statement and keep the token of its answer."""
        request = Request(
            sql,
            classify_statement(sql),
            self._group,
            Monotonic(read_clock() + deadline),
            TraceId('test'),
            TrafficClass(traffic_class),
            None if accepted_age is None else Seconds(accepted_age),
            None if request_id is None else RequestId(request_id),
            idempotent,
            self.token if brings_token else None,
        )
        outcome = await self._send(request)
        answer = outcome.ok()
        if answer is not None and answer.token is not None:
            self.token = answer.token
        return outcome

    async def _send(self, request: Request) -> Result[Answer, Refusal]:
        node = self.node
        if self.session is None or node is None or not node.is_running:
            raise ProxyGone
        task = create_task(self.session.answer(request))
        node.requests.add(task)
        task.add_done_callback(node.requests.discard)
        await wait([task])
        if task.cancelled():
            raise ProxyGone
        return task.result()


class Deployment:
    """Run proxies, databases and platform of one user."""

    def __init__(self, profile: Profile, seed: int = 0) -> None:
        """Lay everything out; nothing runs before it is entered."""
        self.profile = profile
        self.random = Random(seed)
        self.network = Network(0.0001)
        self.nodes: dict[str, ProxyNode] = {}
        self.groups: dict[GroupId, DatabaseGroup] = {}
        self.platform: KeyValueStandIn
        self.instances: InstanceListStandIn
        self._peers = MemoryPeers(self.network)
        self._owned = AsyncExitStack()

    async def __aenter__(self) -> 'Deployment':
        """Start databases, platform and proxies."""
        for index, zone in enumerate(self.profile.zones):
            for other in self.profile.zones[index + 1 :]:
                self.network.set_latency(
                    zone,
                    other,
                    self.profile.zone_latency,
                )
        self.platform = KeyValueStandIn(self.network)
        self.instances = InstanceListStandIn(self.network)
        self._start_groups()
        self.put_objects(self._declare())
        self._owned.push_async_callback(self._stop_all)
        for number in range(self.profile.proxies):
            self.start_proxy(f'p{number + 1}')
        self.publish_instances()
        await self.wait_ready()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop everything."""
        await self._owned.aclose()

    def put_objects(self, objects: Sequence[ConfigurationObject]) -> None:
        """Write objects straight into the store, as one change."""
        self.platform.store.commit(
            [],
            [
                Put(ObjectKey.of(each).path, encode_object(each))
                for each in objects
            ],
        )

    def start_proxy(self, name: str) -> ProxyNode:
        """Start a proxy, also one that was killed before."""
        number = int(name[1:]) - 1
        zone = self.profile.zones[number % len(self.profile.zones)]
        place = Place(name, zone)
        address = Address(HOST, FIRST_PEER_PORT + number)
        decisions = MemoryDecisionLog()
        proxy = ProxyInstance(
            self._make_settings(name, zone, address),
            MemoryConnector(self.groups, ZoneId(zone), name),
            MemoryKeyValue(self.platform, place),
            MemoryInstanceList(self.instances, place),
            MemoryPeerConnector(self._peers, place),
            NoMetrics(),
            decisions,
            StatementLog(EventLog()),
        )
        node = ProxyNode(place, address, proxy, decisions)
        node.task = create_task(self._run(node))
        self.nodes[name] = node
        self._peers.add(address, place, proxy)
        return node

    async def kill_proxy(self, name: str) -> None:
        """End a proxy with no notice to anybody."""
        node = self.nodes[name]
        node.was_killed = True
        self._peers.remove(node.address)
        for request in tuple(node.requests):
            request.cancel()
        for session in tuple(node.sessions):
            await session.close()
        node.sessions.clear()
        if node.task is not None:
            node.task.cancel()
            with suppress(BaseException):
                await node.task

    async def stop_proxy(self, name: str, grace: float = 3) -> bool:
        """Stop a proxy as its daemon does; tell if it was killed before."""
        node = self.nodes[name]
        await node.proxy.stop_gracefully()
        deadline = read_clock() + grace
        while node.requests or _has_transaction(node):
            if read_clock() > deadline:
                break
            await sleep(0.01)
        was_killed = node.was_killed
        if not was_killed:
            await self.kill_proxy(name)
        return was_killed

    def publish_instances(self) -> None:
        """Publish the list of instances as it truly is."""
        self.instances.publish(
            [
                ListedInstance(
                    node.place.name,
                    node.address,
                    ZoneId(node.place.zone),
                    InstanceState.LIVE,
                )
                for node in self.nodes.values()
                if node.is_running
            ],
        )

    def open_caller(self, group: str | None = None) -> Caller:
        """Make a caller of a group, the first one by default."""
        return Caller(self, group or self.profile.groups[0])

    def list_running(self) -> list[str]:
        """Name the proxies that serve."""
        return [name for name, node in self.nodes.items() if node.is_running]

    def count_decisions(self, kind: DecisionKind) -> int:
        """Count the decisions of a kind on all proxies."""
        return sum(
            len(node.decisions.list_decisions(kind))
            for node in self.nodes.values()
        )

    async def wait_ready(self, limit: float = 10) -> None:
        """Wait until each running proxy can write to each group."""
        deadline = read_clock() + limit
        while not all(map(self._is_ready, self.list_running())):
            if read_clock() > deadline:
                raise AssertionError('the proxies did not get ready')
            await sleep(0.01)

    def heal_all(self) -> None:
        """End every failure but the loss of proxies."""
        self.network.heal()
        self.platform.recover()
        self.instances.recover()
        for group in self.groups.values():
            for database in group.databases.values():
                database.slow(1)
                database.set_lag(self.profile.lag)
                database.thaw()
                database.restart()

    def _is_ready(self, name: str) -> bool:
        runtimes = self.nodes[name].proxy.runtimes
        if len(runtimes) < len(self.groups):
            return False
        return all(
            runtime.service.view.get_primary() is not None
            and runtime.service.view.reaches_majority()
            for runtime in runtimes.values()
        )

    async def _run(self, node: ProxyNode) -> None:
        async with node.proxy:
            await node.stopping.wait()

    async def _stop_all(self) -> None:
        for name in tuple(self.nodes):
            await self.kill_proxy(name)
        for group in self.groups.values():
            group.close()

    def _start_groups(self) -> None:
        limits = Limits(
            self.profile.slots,
            self.profile.connection_limit,
            self.profile.service_time,
            self.profile.connect_time,
        )
        for name in self.profile.groups:
            zones = {
                f'{name}-db{number + 1}': zone
                for number, zone in enumerate(self.profile.zones)
            }
            group = DatabaseGroup(zones, self.network, limits, self.random)
            group.load_schema(SCHEMA)
            group.start(f'{name}-db1')
            for database in group.databases.values():
                database.set_lag(self.profile.lag)
            self.groups[GroupId(name)] = group

    def _declare(self) -> list[ConfigurationObject]:
        declared: list[ConfigurationObject] = [
            Route('default', TrafficClass('default')),
            Route('status', STATUS, accepted_age_ms=1000),
        ]
        port = 3000
        for name in self.profile.groups:
            declared.append(
                Group(
                    GroupId(name),
                    slots=self.profile.slots,
                    connection_limit=self.profile.connection_limit,
                    seats=self.profile.proxies,
                ),
            )
            for number, zone in enumerate(self.profile.zones):
                port += 1
                declared.append(
                    Target(
                        TargetId(f'{name}-db{number + 1}'),
                        GroupId(name),
                        HOST,
                        port,
                        ZoneId(zone),
                    ),
                )
        for number in range(self.profile.proxies):
            zone = self.profile.zones[number % len(self.profile.zones)]
            declared.append(
                Proxy(
                    f'p{number + 1}',
                    ZoneId(zone),
                    HOST,
                    FIRST_PEER_PORT + number,
                ),
            )
        return declared

    def _make_settings(
        self,
        name: str,
        zone: str,
        address: Address,
    ) -> Settings:
        host = IpNumber(HOST)
        seeds = [
            Endpoint(host, FIRST_PEER_PORT + number)
            for number in range(self.profile.proxies)
        ]
        return Settings(
            name=name,
            zone=zone,
            callers=CallersSettings(host, 1),
            peers=PeersSettings(host, address.port, seeds),
            platform=PlatformSettings([Endpoint(host, 1)], Endpoint(host, 1)),
            session_keys=[SessionKey('k1', SECRET)],
        )


def _has_transaction(node: ProxyNode) -> bool:
    return any(session.in_transaction for session in node.sessions)
