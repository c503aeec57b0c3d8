"""Run proxy processes against test doubles on loopback."""

import subprocess  # tests start proxies as separate processes
import sys
from asyncio import StreamReader, StreamWriter, open_connection, sleep
from collections.abc import Callable
from contextlib import AsyncExitStack
from http import HTTPStatus
from json import dumps
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic
from time import sleep as wait_for
from typing import Any
from urllib.error import HTTPError, URLError
from urllib.request import urlopen

from aiohttp.web import AppRunner, TCPSite
from msgspec.json import decode

from sedgeshunt.connections.target_session import LogRole
from sedgeshunt.identifiers import GroupId, TargetId
from sedgeshunt.ports import Put
from sedgeshunt.registry.keys import make_owner_key
from tests.features.driver_bench import LoopThread
from tests.soak_history import RecordedGroup
from tests.standins.metadata_front import MetadataFront
from tests.standins.network import Network, Place
from tests.standins.platform import KeyValueStandIn
from tests.standins.ports import find_port
from tests.standins.statement_front import HOST, StatementFront
from tests.standins.statement_group import StatementTarget
from tests.standins.store_callers import StoreCaller

ROOT = Path(__file__).resolve().parent.parent.parent
GROUP = GroupId('songbook')
ZONES = ('east', 'north', 'west')
WAIT_TIMEOUT = 10
EXIT_TIMEOUT = 12
GRACE_SECONDS = 3
POLL_INTERVAL = 0.05
MAX_LINE = 2 * 1024 * 1024

CONFIGURATION: dict[str, Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'settle',
            'host': 'kigali',
            'service': GROUP,
            'type': 'primary',
            'timeout_ms': 800,
            'target_latency_ms': 150,
            'priority': 1,
        },
        {
            'name': 'browse',
            'host': 'catalogue',
            'service': GROUP,
            'type': 'read_your_writes',
            'timeout_ms': 2000,
            'target_latency_ms': 500,
            'max_staleness_ms': 1500,
            'priority': 2,
        },
    ],
    'services': [{'name': GROUP, 'max_connections': 20, 'sync_replicas': 0}],
    'limits': {'tx_idle_ms': 3000},
}


class Platform:
    """Simulate the store, the promotion service and the databases."""

    def __init__(self, loop: LoopThread) -> None:
        """Set the event loop; start() starts the servers."""
        self._loop = loop
        self._owned = AsyncExitStack()
        self.front: MetadataFront
        self.group: RecordedGroup
        self.databases: StatementFront
        self.port = 0

    def start(self) -> None:
        """Start three databases and publish the configuration."""
        self._loop.run(self._start())

    def close(self) -> None:
        """Stop all servers."""
        self._loop.run(self._owned.aclose())

    def is_owned(self) -> bool:
        """Return whether a proxy owns the group."""
        store = self.front.service.store
        return bool(store.list_matching(make_owner_key(GROUP).__eq__).pairs)

    def publish(self, key: str, document: object) -> None:
        """Write a document to the store as its owner does."""
        self._loop.run(self._publish(key, document))

    def write(self, key: str, value: bytes) -> None:
        """Write any bytes to the store, as another client does."""
        self._loop.run(self.write_entry(key, value))

    async def publish_all(self) -> None:
        """Publish the documents of the operator and the databases."""
        await self._publish('op/config', CONFIGURATION)
        for target in self.group.targets.values():
            await self._publish(f'servers/{target.name}', _describe(target))

    async def _publish(self, key: str, document: object) -> None:
        await self.write_entry(key, dumps(document).encode())

    async def write_entry(self, key: str, value: bytes) -> None:
        """Write any bytes to the store."""
        self.front.service.store.commit((), (Put(key, value),))

    async def _start(self) -> None:
        network = Network()
        self.group = RecordedGroup(network)
        self._owned.callback(self.group.close)
        for number, zone in enumerate(ZONES):
            name = TargetId(f'db-{zone}')
            target = StatementTarget(name, Place(name, zone), 0)
            if number == 0:
                target.role = LogRole.PRIMARY
            self.group.add(target)
        databases = StatementFront(self.group)
        await databases.start()
        self.databases = databases
        self._owned.callback(databases.stop)
        self.front = MetadataFront(KeyValueStandIn(network), self.group)
        await self.publish_all()
        self.port = await self._listen()

    def move(self) -> None:
        """Serve the same store at a second address, too."""
        self.port = self._loop.run(self._listen())

    def listen_for(self, caller: StoreCaller) -> int:
        """Serve the store to one caller at a port of its own."""
        return self._loop.run(self._listen(caller))

    async def _listen(self, caller: StoreCaller | None = None) -> int:
        runner = AppRunner(
            self.front.make_application(caller),
            access_log=None,
            shutdown_timeout=0,
        )
        await runner.setup()
        self._owned.push_async_callback(runner.cleanup)
        site = TCPSite(runner, HOST, 0)
        await site.start()
        port: int = runner.addresses[0][1]
        return port


class Caller:
    """Send statements to one proxy over the wire protocol."""

    def __init__(self, loop: LoopThread, port: int) -> None:
        """Set the event loop and port; open() connects."""
        self._loop = loop
        self._port = port
        self._reader: StreamReader
        self._writer: StreamWriter
        self._count = 0

    def connect(self, database: str) -> list[str]:
        """Open a session and return the proxy's response."""
        self.open()
        self.send(f'START {database} tester\r\n'.encode())
        return self.read()

    def open(self) -> None:
        """Open a connection without sending data."""
        opened = self._loop.run(
            open_connection(HOST, self._port, limit=MAX_LINE),
        )
        self._reader = opened[0]
        self._writer = opened[1]

    def ask(self, text: str) -> list[str]:
        """Run one statement; return all lines of its answer."""
        self._count += 1
        self.send(f'QUERY q{self._count} {text}\r\n'.encode())
        return self.read()

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self._loop.run(self._send(data))

    def read(self) -> list[str]:
        """Return the lines up to READY or the end of the connection."""
        return self._loop.run(self._read())

    def read_until(self, end: bytes) -> bytes:
        """Return what arrives up to some bytes."""
        return self._loop.run(self._reader.readuntil(end))

    def read_line(self) -> str:
        """Return the next line, empty at the end of the connection."""
        line = self._loop.run(self._reader.readline())
        return line.decode().rstrip()

    def end(self) -> None:
        """Send end of stream."""
        self._loop.run(self._end())

    async def _send(self, data: bytes) -> None:
        self._writer.write(data)

    async def _end(self) -> None:
        self._writer.write_eof()

    async def _read(self) -> list[str]:
        lines: list[str] = []
        while line := (await self._reader.readline()).decode().rstrip():
            lines.append(line)
            if line.startswith('READY'):
                break
        return lines


class ProxyUnderTest:
    """Manage the process of one proxy."""

    def __init__(self, folder: Path, name: str, store_port: int) -> None:
        """Write the settings; start() starts the process."""
        self.name = name
        self.ports = {
            use: find_port()
            for use in ('callers', 'readiness', 'peers', 'metrics')
        }
        self.settings = folder / f'{name}.toml'
        self.output = folder / f'{name}.log'
        self.write_settings(store_port)
        self._child: subprocess.Popen[bytes]

    def write_settings(self, store_port: int, more: str = '') -> None:
        """Overwrite the settings file."""
        zone = self.name.partition('-')[0]
        lines = [
            f'name = "{self.name}"',
            f'zone = "{zone}"',
            f'grace_seconds = {GRACE_SECONDS}',
            more,
        ]
        ports = {**self.ports, 'store': store_port, 'promotions': store_port}
        for use, port in ports.items():
            lines.extend((f'[{use}]', f'address = "{HOST}:{port}"'))
        lines.extend(('[capacity]', 'descriptors = 300'))
        self.settings.write_text('\n'.join(lines))

    def start(self) -> None:
        """Start the process."""
        with self.output.open('ab') as output:
            self._child = subprocess.Popen(
                [
                    sys.executable,
                    'deploy/start.py',
                    '--settings',
                    str(self.settings),
                ],
                cwd=ROOT,
                stdout=output,
                stderr=output,
            )

    def wait_ready(self) -> None:
        """Wait until the readiness page reports ready."""
        self.wait_until(
            lambda: self.fetch('readiness', '/ready')[0] == HTTPStatus.OK,
        )

    def wait_line(self, event: str) -> dict[str, Any]:
        """Wait for a log line with this event and return the first one."""
        self.wait_until(lambda: bool(self.list_lines(event)))
        return self.list_lines(event)[0]

    def list_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines with this event."""
        lines = self.output.read_text().splitlines()
        documents = [
            decode(line, type=dict[str, Any])
            for line in lines
            if line.startswith('{')
        ]
        return [line for line in documents if line.get('message_type') == event]

    def fetch(self, use: str, path: str) -> tuple[int, str]:
        """Return the status and body of a page; status 0 if unreachable."""
        url = f'http://{HOST}:{self.ports[use]}{path}'
        try:
            with urlopen(url, timeout=2) as reply:
                return reply.status, reply.read().decode()
        except HTTPError as refusal:
            return refusal.code, ''
        except (URLError, OSError):
            return 0, ''

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._child.send_signal(number)

    def wait_end(self) -> int:
        """Wait for the process to exit and return its exit code."""
        return self._child.wait(EXIT_TIMEOUT)

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._child.poll() is None

    def close(self) -> None:
        """Kill the process if it is running."""
        if self.is_running():
            self._child.kill()
            self._child.wait()

    def wait_until(self, is_met: Callable[[], bool]) -> None:
        """Wait until `is_met` holds; at the timeout, fail with the log."""
        deadline = monotonic() + WAIT_TIMEOUT
        while not is_met():
            log = self.output.read_text() if self.output.exists() else ''
            assert monotonic() < deadline, log[-2000:]
            pause()


class PlatformBench:
    """Set up the simulated platform, the proxies and their callers."""

    def __init__(self) -> None:
        """Start the simulated platform."""
        self.loop = LoopThread()
        self.platform = Platform(self.loop)
        self.platform.start()
        self._folder = TemporaryDirectory()
        self.proxies: dict[str, ProxyUnderTest] = {}

    def add(self, name: str, store_port: int = 0) -> ProxyUnderTest:
        """Write the settings of a proxy and return it, not started."""
        folder = Path(self._folder.name)
        port = store_port or self.platform.port
        proxy = ProxyUnderTest(folder, name, port)
        self.proxies[name] = proxy
        return proxy

    def call(self, proxy: str) -> Caller:
        """Return a caller of a proxy, not connected."""
        return Caller(self.loop, self.proxies[proxy].ports['callers'])

    def close(self) -> None:
        """Stop all proxies and the simulated platform."""
        for proxy in self.proxies.values():
            proxy.close()
        self.platform.close()
        self.loop.close()
        self._folder.cleanup()

    def read_logs(self) -> dict[str, str]:
        """Return what each proxy has logged."""
        return {
            name: proxy.output.read_text()
            for name, proxy in self.proxies.items()
        }

    def wait(self, seconds: float) -> None:
        """Run the event loop for some seconds."""
        self.loop.run(sleep(seconds))


def pause() -> None:
    """Sleep for one poll interval."""
    wait_for(POLL_INTERVAL)


def _describe(target: StatementTarget) -> dict[str, Any]:
    is_primary = target.role is LogRole.PRIMARY
    return {
        'service': GROUP,
        'address': f'{HOST}:{target.port}',
        'zone': target.place.zone,
        'version': 'v1',
        'capacity_slots': 3,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': 1,
        'db_role': 'primary' if is_primary else 'replica',
    }
