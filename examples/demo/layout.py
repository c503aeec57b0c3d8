"""Write the files of a small deployment on free loopback ports."""

from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from socket import socket

from examples.demo.toml_text import write_toml

HOST = '127.0.0.1'
GROUP = 'songbook-1'
ZONES = ('kg-nyarugenge', 'kg-kicukiro', 'kg-gasabo')
SECRET = 'a-secret-for-the-demo-only'
PROXIES = 3
# Longest time that a stopping proxy gives to open transactions, in seconds.
GRACE = 10
# One-way latency between availability zones, in seconds.
ZONE_LATENCY = 0.0015
REPLICATION_LAG = 0.02
SCHEMA = (
    'CREATE TABLE turns (id INTEGER PRIMARY KEY, song TEXT)',
    'CREATE TABLE plays (licence TEXT, song TEXT)',
)
ROUTES = (
    {'name': 'default', 'traffic_class': 'default', 'deadline_ms': 4000},
    {
        'name': 'browse',
        'traffic_class': 'browse',
        'accepted_age_ms': 2000,
        'deadline_ms': 2000,
    },
)


@dataclass(frozen=True, slots=True)
class ProxyPlace:
    """Hold where one proxy runs; ports are on loopback."""

    name: str
    zone: str
    callers: int
    peers: int


@dataclass(frozen=True, slots=True)
class Layout:
    """Hold the ports and the files of one deployment."""

    folder: Path
    proxies: Sequence[ProxyPlace]
    # Ports of the databases and of the platform, by target and by zone.
    databases: dict[str, int]
    platform: dict[str, int]

    @property
    def scenario(self) -> Path:
        """Return the file that the stand-ins read."""
        return self.folder / 'scenario.toml'

    @property
    def objects(self) -> Path:
        """Return the file that an operator applies."""
        return self.folder / 'objects.toml'

    def find_settings(self, proxy: str) -> Path:
        """Return the settings file of one proxy."""
        return self.folder / f'{proxy}.toml'

    def find_platform(self) -> int:
        """Return the platform's port for operators."""
        return self.platform[ZONES[0]]

    def write_files(self) -> None:
        """Write everything that the processes read at their start."""
        self.scenario.write_text(write_toml(self._describe_stand_ins()))
        self.objects.write_text(write_toml(self._declare_objects()))
        for proxy in self.proxies:
            settings = write_toml(self._make_settings(proxy))
            self.find_settings(proxy.name).write_text(settings)

    def _describe_stand_ins(self) -> dict[str, object]:
        databases = [
            {
                'name': name,
                'zone': zone,
                'port': self.databases[name],
                'lag': REPLICATION_LAG,
            }
            for name, zone in zip(self.databases, ZONES, strict=True)
        ]
        group = {
            'name': GROUP,
            'databases': databases,
            'leader': databases[0]['name'],
            'schema': list(SCHEMA),
        }
        latencies = [
            {'one': one, 'other': other, 'seconds': ZONE_LATENCY}
            for one in ZONES
            for other in ZONES
            if one < other
        ]
        instances = [
            {
                'name': proxy.name,
                'host': HOST,
                'port': proxy.peers,
                'zone': proxy.zone,
            }
            for proxy in self.proxies
        ]
        return {
            'groups': [group],
            'platform': self.platform,
            'latencies': latencies,
            'instances': instances,
        }

    def _declare_objects(self) -> dict[str, object]:
        targets = [
            {
                'name': name,
                'group': GROUP,
                'host': HOST,
                'port': self.databases[name],
                'zone': zone,
            }
            for name, zone in zip(self.databases, ZONES, strict=True)
        ]
        proxies = [
            {
                'name': proxy.name,
                'zone': proxy.zone,
                'host': HOST,
                'peer_port': proxy.peers,
            }
            for proxy in self.proxies
        ]
        return {
            'group': [{'name': GROUP, 'seats': len(self.proxies)}],
            'target': targets,
            'proxy': proxies,
            'route': list(ROUTES),
        }

    def _make_settings(self, proxy: ProxyPlace) -> dict[str, object]:
        platform = {'host': HOST, 'port': self.platform[proxy.zone]}
        seeds = [
            {'host': HOST, 'port': other.peers}
            for other in self.proxies
            if other != proxy
        ]
        return {
            'name': proxy.name,
            'zone': proxy.zone,
            'grace_seconds': GRACE,
            'callers': {'host': HOST, 'port': proxy.callers},
            'peers': {'host': HOST, 'port': proxy.peers, 'seeds': seeds},
            'platform': {'endpoints': [platform], 'instance_list': platform},
            'session_keys': [{'id': 'demo', 'secret': SECRET}],
        }


def plan_layout(folder: Path, proxies: int = PROXIES) -> Layout:
    """Choose free ports for `proxies` proxies and the stand-ins."""
    ports = iter(_find_ports(2 * proxies + 2 * len(ZONES)))
    return Layout(
        folder,
        [
            ProxyPlace(
                f'entry-{number + 1}',
                ZONES[number % len(ZONES)],
                next(ports),
                next(ports),
            )
            for number in range(proxies)
        ],
        {f'{GROUP}-{letter}': next(ports) for letter in 'abc'},
        {zone: next(ports) for zone in ZONES},
    )


def _find_ports(count: int) -> list[int]:
    # Held open together, so that no two of them get the same port.
    with ExitStack() as owned:
        return [_take_port(owned) for _ in range(count)]


def _take_port(owned: ExitStack) -> int:
    taken = owned.enter_context(socket())
    taken.bind((HOST, 0))
    port: int = taken.getsockname()[1]
    return port
