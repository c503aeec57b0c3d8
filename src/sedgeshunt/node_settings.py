"""Read the settings of a proxy that serves statement sessions."""

from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct, convert
from msgspec.structs import replace

from sedgeshunt.exceptions import SettingsInvalid
from sedgeshunt.identifiers import ProxyId, Seconds, ZoneId
from sedgeshunt.ports import Address
from sedgeshunt.settings_check import find_problems, read_document

Name = Annotated[
    str,
    Meta(
        pattern='^[A-Za-z0-9._-]{1,63}$',
        description='1 to 63 letters, digits, dots, dashes or underscores',
    ),
]
Endpoint = Annotated[
    str,
    Meta(
        pattern=r'^[0-9.]+:[0-9]{1,5}$',
        description='an IP number and a port such as "10.0.0.5:4000"',
    ),
]
# Descriptors that are no sockets; source: the platform's page on machines.
FILE_DESCRIPTORS = 200
# Share of the sockets for callers. Peers take two each, targets at most the
# connections that operators allow them.
CALLER_SHARE = 0.7
# Settings that are taken in while the proxy runs.
LIVE_FIELDS = ('grace_seconds', 'store', 'promotions')
Amount = Annotated[float, Meta(gt=0, description='a number above 0')]
Span = Annotated[float, Meta(ge=0, description='a number from 0')]


class Listener(Struct, frozen=True):
    """Locate one socket."""

    address: Endpoint

    @property
    def place(self) -> Address:
        """Return the address as the ports want it."""
        host, _, port = self.address.rpartition(':')
        return Address(host, int(port))


class StoreSettings(Listener, frozen=True):
    """Locate the platform's store."""

    shortest_lease_ms: Span = 1000


class CapacitySettings(Struct, frozen=True):
    """Say how much of an instance the proxy may use."""

    processor_share: Amount = 1
    processor_speed: Amount = 1
    memory_mb: Amount = 300
    link_mbps: Amount = 1000
    descriptors: Amount = 1024

    @property
    def most_callers(self) -> int:
        """Return how many callers may be connected at once."""
        sockets = self.descriptors - FILE_DESCRIPTORS
        return max(1, int(sockets * CALLER_SHARE))


class BoundsSettings(Struct, frozen=True):
    """Say how soon the proxy has to act."""

    drain_ms: Span = 7000
    configuration_ms: Span = 3000
    # Operations over a customer's limit that all proxies together may begin.
    customer_slack: Span = 0


class NodeSettings(Struct, frozen=True):
    """Hold all that a proxy is told at its start."""

    name: Name
    zone: Name
    callers: Listener
    readiness: Listener
    peers: Listener
    store: StoreSettings
    promotions: Listener
    capacity: CapacitySettings = CapacitySettings()
    bounds: BoundsSettings = BoundsSettings()
    # Where metrics are read; they are not served without it.
    metrics: Listener | None = None
    grace_seconds: Span = 6

    @property
    def proxy(self) -> ProxyId:
        """Return the proxy's name as its identifier."""
        return ProxyId(self.name)

    @property
    def zone_id(self) -> ZoneId:
        """Return the availability zone as an identifier."""
        return ZoneId(self.zone)

    @property
    def grace(self) -> Seconds:
        """Return how long a graceful stop may take."""
        return Seconds(self.grace_seconds)


def read_node_settings(path: Path) -> NodeSettings:
    """Read and check the file at `path`; raise SettingsInvalid."""
    document = read_document(path)
    problems = find_problems(NodeSettings, document, _refuse_custom)
    if problems:
        raise SettingsInvalid(str(path), problems)
    return convert(document, NodeSettings)


def take_live(older: NodeSettings, newer: NodeSettings) -> NodeSettings:
    """Return the older settings with what can change while running."""
    live = {name: getattr(newer, name) for name in LIVE_FIELDS}
    return replace(older, **live)


def list_changed(older: NodeSettings, newer: NodeSettings) -> list[str]:
    """Return the names of the settings that differ, in order."""
    return sorted(
        name
        for name in older.__struct_fields__
        if getattr(older, name) != getattr(newer, name)
    )


def _refuse_custom(wanted: type, given: object) -> object:
    raise TypeError(f'Expected `{wanted.__name__}`')
