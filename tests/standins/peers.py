"""Connect proxies to each other in memory."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol, TypeVar

from sedgeshunt.exceptions import PeerUnreachable
from sedgeshunt.identifiers import GroupId, ProxyId, Revision, Seconds
from sedgeshunt.ports import (
    Address,
    ConfigurationCopy,
    PeerConnection,
    PeerConnector,
    PrimaryReport,
    ProxyReport,
)
from tests.standins.network import Network, Place

Value = TypeVar('Value')


class PeerService(Protocol):
    """Answer other proxies, as a proxy's own peer service does."""

    async def report(self) -> ProxyReport:
        """Return the proxy's report."""

    async def report_primary(self, group: GroupId) -> PrimaryReport:
        """Return when the primary last answered the proxy."""

    async def copy_configuration(
        self,
        known: Revision,
    ) -> ConfigurationCopy | None:
        """Return a configuration newer than `known`."""

    async def announce_leaving(self, name: str) -> None:
        """Record that an instance is leaving."""

    async def explain(self, question: bytes) -> bytes:
        """Explain how the proxy would route."""

    async def copy_tallies(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> Sequence[bytes]:
        """Return tallies and copies of tallies."""


class MemoryPeers:
    """Map addresses to the proxies that listen there."""

    def __init__(self, network: Network | None = None) -> None:
        """Start with no proxy."""
        self.network = network or Network()
        self._services: dict[Address, tuple[Place, PeerService]] = {}

    def add(self, address: Address, place: Place, service: PeerService) -> None:
        """Register the proxy at `place` as listening at `address`."""
        self._services[address] = (place, service)

    def remove(self, address: Address) -> None:
        """Refuse calls to `address` from now on."""
        self._services.pop(address, None)

    async def call(
        self,
        caller: Place,
        address: Address,
        action: Callable[[PeerService], Awaitable[Value]],
    ) -> Value:
        """Run `action` at a proxy; hang in a partition until cancelled."""
        place, _ = self._find(address)
        await self.network.cross(caller, place)
        answer = await action(self._find(address)[1])
        await self.network.cross(place, caller)
        self._find(address)
        return answer

    def _find(self, address: Address) -> tuple[Place, PeerService]:
        found = self._services.get(address)
        if found is None:
            peer = f'{address.host}:{address.port}'
            raise PeerUnreachable(peer, 'connection refused')
        return found


class MemoryPeerConnection(PeerConnection):
    """Call one proxy in memory."""

    def __init__(self, peers: MemoryPeers, caller: Place, address: Address):
        """Call the proxy at `address` as `caller`."""
        self._peers = peers
        self._caller = caller
        self._address = address

    async def report(self) -> ProxyReport:
        """Ask for the proxy's report."""
        return await self.call(lambda peer: peer.report())

    async def report_primary(self, group: GroupId) -> PrimaryReport:
        """Ask when the primary last answered the proxy."""
        return await self.call(lambda peer: peer.report_primary(group))

    async def copy_configuration(
        self,
        known: Revision,
    ) -> ConfigurationCopy | None:
        """Ask for a configuration newer than `known`."""
        return await self.call(lambda peer: peer.copy_configuration(known))

    async def announce_leaving(self, name: str) -> None:
        """Announce to the proxy that an instance is leaving."""
        await self.call(lambda peer: peer.announce_leaving(name))

    async def explain(self, question: bytes) -> bytes:
        """Ask how the proxy would route."""
        return await self.call(lambda peer: peer.explain(question))

    async def copy_tallies(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> Sequence[bytes]:
        """Ask for tallies and copies of tallies."""
        return await self.call(lambda peer: peer.copy_tallies(since, proxies))

    async def close(self) -> None:
        """Do nothing, as there is no connection to close."""

    async def call(
        self,
        action: Callable[[PeerService], Awaitable[Value]],
    ) -> Value:
        """Run `action` at the proxy."""
        return await self._peers.call(self._caller, self._address, action)


class MemoryPeerConnector(PeerConnector):
    """Open connections on behalf of one proxy."""

    def __init__(self, peers: MemoryPeers, caller: Place) -> None:
        """Connect from `caller`."""
        self._peers = peers
        self._caller = caller

    async def connect(self, address: Address) -> MemoryPeerConnection:
        """Open a connection; raise PeerUnreachable."""
        connection = MemoryPeerConnection(self._peers, self._caller, address)
        await connection.call(_greet)
        return connection


async def _greet(peer: PeerService) -> None:
    """Take one round trip to connect."""
