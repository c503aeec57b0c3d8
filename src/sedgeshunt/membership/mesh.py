"""Manage the clients of peers and their polling tasks."""

from asyncio import Task, TaskGroup
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from random import Random

from sedgeshunt.identifiers import Revision, Seconds
from sedgeshunt.membership.choice import KnownPeer
from sedgeshunt.membership.peer_clients import PeerClient, PeerState
from sedgeshunt.ports import Address, PeerConnector, ProxyReport

IDLE_TIMEOUT = Seconds(30)


@dataclass(frozen=True, slots=True)
class PeerView:
    """Hold what this proxy currently knows of a peer."""

    peer: KnownPeer
    state: PeerState
    revision: Revision | None
    heard_ago: Seconds | None


class PeerMesh:
    """Poll the regular peers, and keep idle clients for a while."""

    def __init__(
        self,
        connector: PeerConnector,
        on_report: Callable[[Address, ProxyReport], None],
        random: Random,
    ) -> None:
        """Call `on_report` with each report of a peer."""
        self._connector = connector
        self._on_report = on_report
        self._random = random
        self._clients: dict[Address, PeerClient] = {}
        self._tasks: dict[Address, Task[None]] = {}

    def is_regular(self, address: Address) -> bool:
        """Return whether the peer is polled regularly."""
        return address in self._tasks

    def find_client(self, address: Address) -> PeerClient:
        """Return the client of a peer, a new one if there is none."""
        client = self._clients.get(address)
        if client is None:
            on_report = partial(self._on_report, address)
            client = PeerClient(
                address,
                self._connector,
                on_report,
                self._random,
            )
            self._clients[address] = client
        return client

    def view(self, peer: KnownPeer, *, is_leaving: bool) -> PeerView:
        """Return what is known of a peer."""
        client = self._clients.get(peer.address)
        leaving = PeerState.LEAVING if is_leaving else None
        if client is None:
            return PeerView(peer, leaving or PeerState.UNKNOWN, None, None)
        return PeerView(
            peer,
            leaving or client.state,
            None if client.report is None else client.report.revision,
            client.measure_silence(),
        )

    def choose_source(
        self,
        views: Sequence[PeerView],
        known: Revision,
    ) -> KnownPeer | None:
        """Choose a peer likely to have a newer revision than `known`."""
        reachable = [
            view for view in views if view.state is not PeerState.UNREACHABLE
        ]
        newer = [view for view in reachable if (view.revision or 0) > known]
        # Regular peers have an open connection; others are a fallback.
        regular = [
            view for view in reachable if self.is_regular(view.peer.address)
        ]
        for choice in (newer, regular, reachable, views):
            if choice:
                return self._random.choice(choice).peer
        return None

    def update(self, wanted: set[Address], tasks: TaskGroup) -> None:
        """Poll exactly the `wanted` peers, and close idle clients."""
        for address in wanted - self._tasks.keys():
            client = self.find_client(address)
            self._tasks[address] = tasks.create_task(client.run())
        for dropped in self._tasks.keys() - wanted:
            self._tasks.pop(dropped).cancel()
        for idle in self._clients.keys() - wanted:
            if self._clients[idle].is_idle(IDLE_TIMEOUT):
                tasks.create_task(self._clients.pop(idle).close())

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()
