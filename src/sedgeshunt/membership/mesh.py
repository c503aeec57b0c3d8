"""Own the links to peers and the tasks that keep them."""

from asyncio import Task, TaskGroup
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from random import Random

from sedgeshunt.identifiers import Revision, Seconds
from sedgeshunt.membership.choice import KnownPeer
from sedgeshunt.membership.peer_clients import PeerClient, PeerState
from sedgeshunt.ports import Address, PeerConnector, ProxyReport

IDLE_LIMIT = Seconds(30)


@dataclass(frozen=True, slots=True)
class PeerView:
    """Hold what this proxy knows of a peer at this moment."""

    peer: KnownPeer
    state: PeerState
    revision: Revision | None
    heard_ago: Seconds | None


class PeerMesh:
    """Keep a task for each regular peer, and idle links for a while."""

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
        self._links: dict[Address, PeerClient] = {}
        self._tasks: dict[Address, Task[None]] = {}

    def is_regular(self, address: Address) -> bool:
        """Tell whether the peer is asked regularly."""
        return address in self._tasks

    def find_client(self, address: Address) -> PeerClient:
        """Return the link to a peer, a new one if there is none."""
        link = self._links.get(address)
        if link is None:
            on_report = partial(self._on_report, address)
            link = PeerClient(address, self._connector, on_report, self._random)
            self._links[address] = link
        return link

    def view(self, peer: KnownPeer, *, is_leaving: bool) -> PeerView:
        """Return what is known of a peer."""
        link = self._links.get(peer.address)
        leaving = PeerState.LEAVING if is_leaving else None
        if link is None:
            return PeerView(peer, leaving or PeerState.UNKNOWN, None, None)
        return PeerView(
            peer,
            leaving or link.state,
            None if link.report is None else link.report.revision,
            link.measure_silence(),
        )

    def choose_source(
        self,
        views: Sequence[PeerView],
        known: Revision,
    ) -> KnownPeer | None:
        """Choose whom to ask for more than `known`, None if none is known."""
        reachable = [
            view for view in views if view.state is not PeerState.UNREACHABLE
        ]
        newer = [view for view in reachable if (view.revision or 0) > known]
        # Those have a connection already; the rest stands in for them only.
        regular = [
            view for view in reachable if self.is_regular(view.peer.address)
        ]
        for choice in (newer, regular, reachable, views):
            if choice:
                return self._random.choice(choice).peer
        return None

    def tend(self, wanted: set[Address], tasks: TaskGroup) -> None:
        """Ask exactly the `wanted` peers regularly, drop idle links."""
        for address in wanted - self._tasks.keys():
            link = self.find_client(address)
            self._tasks[address] = tasks.create_task(link.run())
        for dropped in self._tasks.keys() - wanted:
            self._tasks.pop(dropped).cancel()
        for idle in self._links.keys() - wanted:
            if self._links[idle].is_idle(IDLE_LIMIT):
                tasks.create_task(self._links.pop(idle).close())

    async def close(self) -> None:
        """Drop all connections."""
        for link in self._links.values():
            await link.close()
