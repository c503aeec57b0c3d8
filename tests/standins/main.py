"""Run the stand-ins of a scenario on loopback, for a bounded time."""

from argparse import ArgumentParser
from asyncio import Event, get_running_loop, timeout
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from signal import SIGTERM
from sys import stdout

from aiohttp.web import Application, AppRunner, TCPSite
from msgspec import Struct, field
from msgspec.json import encode
from msgspec.toml import decode
from uvloop import run

from sedgeshunt.identifiers import ZoneId
from sedgeshunt.ports import Address, InstanceState, ListedInstance
from tests.standins.databases import Limits
from tests.standins.engine import DatabaseGroup
from tests.standins.fault_front import FaultFront
from tests.standins.mysql_front import LOOPBACK, MysqlFront
from tests.standins.network import DEFAULT_LATENCY, Network
from tests.standins.platform import InstanceListStandIn, KeyValueStandIn
from tests.standins.platform_front import GatewayFront

# A transaction carries values of up to 1 MB each, a third larger in base64.
MAX_BODY = 16 * 2**20


class DatabaseEntry(Struct, forbid_unknown_fields=True):
    """Describe one database; port 0 takes a free one."""

    name: str
    zone: str
    port: int = 0
    lag: float = 0


class GroupEntry(Struct, forbid_unknown_fields=True):
    """Describe one group and the limits of its databases."""

    name: str
    databases: list[DatabaseEntry]
    leader: str = ''
    schema: list[str] = field(default_factory=list)
    slots: int = 3
    connection_limit: int = 20
    service_time: float = 0.001


class InstanceEntry(Struct, forbid_unknown_fields=True):
    """Describe one line of the platform's list."""

    name: str
    host: str
    port: int
    zone: str
    state: InstanceState = InstanceState.LIVE


class LatencyEntry(Struct, forbid_unknown_fields=True):
    """Give one pair of zones its one-way latency in seconds."""

    one: str
    other: str
    seconds: float


class Scenario(Struct, forbid_unknown_fields=True):
    """Describe all stand-ins of one process."""

    groups: list[GroupEntry]
    # Port of the platform for each zone; by it callers are told apart.
    platform: dict[str, int]
    latency: float = DEFAULT_LATENCY
    latencies: list[LatencyEntry] = field(default_factory=list)
    instances: list[InstanceEntry] = field(default_factory=list)
    list_lateness: float = 0


class StandIns:
    """Hold the stand-ins of a scenario and their ports."""

    def __init__(self, scenario: Scenario) -> None:
        """Build everything, serve nothing yet."""
        self._scenario = scenario
        self._network = Network(scenario.latency)
        for pair in scenario.latencies:
            self._network.set_latency(pair.one, pair.other, pair.seconds)
        self.ports: dict[str, int] = {}

    async def serve(self, owned: AsyncExitStack) -> None:
        """Start all fronts; `owned` stops them."""
        groups = {}
        for entry in self._scenario.groups:
            groups[entry.name] = await self._serve_group(entry, owned)
        service = KeyValueStandIn(self._network)
        gateway = GatewayFront(service)
        application = Application(client_max_size=MAX_BODY)
        gateway.add_routes(application)
        faults = FaultFront(groups, gateway, self._build_list())
        faults.add_routes(application)
        await self._serve_platform(application, gateway, owned)

    async def _serve_group(
        self,
        entry: GroupEntry,
        owned: AsyncExitStack,
    ) -> DatabaseGroup:
        group = DatabaseGroup(
            {database.name: database.zone for database in entry.databases},
            self._network,
            Limits(
                entry.slots,
                entry.connection_limit,
                entry.service_time,
            ),
        )
        owned.callback(group.close)
        group.load_schema(entry.schema)
        if entry.leader:
            group.start(entry.leader)
        for database in entry.databases:
            group[database.name].set_lag(database.lag)
            front = MysqlFront(group[database.name], database.port)
            await front.start()
            owned.callback(front.stop)
            self.ports[database.name] = front.port
        return group

    async def _serve_platform(
        self,
        application: Application,
        gateway: GatewayFront,
        owned: AsyncExitStack,
    ) -> None:
        runner = AppRunner(application, handler_cancellation=True)
        await runner.setup()
        owned.push_async_callback(runner.cleanup)
        for zone, port in self._scenario.platform.items():
            site = TCPSite(runner, LOOPBACK, port, shutdown_timeout=1)
            await site.start()
            bound = runner.addresses[-1][1]
            gateway.zones[bound] = zone
            self.ports[f'platform@{zone}'] = bound

    def _build_list(self) -> InstanceListStandIn:
        instances = InstanceListStandIn(self._network)
        instances.lateness = self._scenario.list_lateness
        instances.publish(
            [
                ListedInstance(
                    entry.name,
                    Address(entry.host, entry.port),
                    ZoneId(entry.zone),
                    entry.state,
                )
                for entry in self._scenario.instances
            ],
        )
        return instances


async def serve_scenario(path: Path, seconds: float) -> None:
    """Serve for `seconds`; the first line of output names the ports."""
    scenario = decode(path.read_bytes(), type=Scenario)
    async with AsyncExitStack() as owned:
        standins = StandIns(scenario)
        await standins.serve(owned)
        stdout.write(f'{encode(standins.ports).decode()}\n')
        stdout.flush()
        stopped = Event()
        get_running_loop().add_signal_handler(SIGTERM, stopped.set)
        with suppress(TimeoutError):
            async with timeout(seconds):
                await stopped.wait()


def parse_and_run() -> None:
    """Read the command line and serve."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('--scenario', type=Path, required=True)
    parser.add_argument('--seconds', type=float, default=float(60))
    arguments = parser.parse_args()
    run(serve_scenario(arguments.scenario, arguments.seconds))


if __name__ == '__main__':
    parse_and_run()
