"""Follow the store by a peer of the own zone that watches it."""

from collections.abc import AsyncGenerator

from sedgeshunt.clocks import read_clock
from sedgeshunt.forwarding.link import PeerLink
from sedgeshunt.groups.ranks import compute_weight
from sedgeshunt.identifiers import Monotonic, ProxyId, Revision, Seconds
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.membership.topology import Topology
from sedgeshunt.ownership.lease import StoreEvidence
from sedgeshunt.registry.changes import StoreChanges
from sedgeshunt.registry.entries import InstanceEntry
from sedgeshunt.registry.feeds import ChangeFeed

# A peer that stopped, or was behind, is not asked again for so long: it mostly
# has lost the store, whose usual outage takes five seconds, and a question in
# vain costs a watch of the store that is armed anew.
DISTRUST_FOR = Seconds(2)


class ZoneFeed(ChangeFeed, StoreEvidence):
    """Choose the peer that hands changes on, and tell while one does."""

    def __init__(
        self,
        own: InstanceEntry,
        topology: Topology,
        neighbours: Neighbours,
    ) -> None:
        """Follow nobody yet."""
        self._own = own
        self._topology = topology
        self._neighbours = neighbours
        self._source: PeerLink | None = None
        self._is_open = False
        self._distrusted: dict[ProxyId, Monotonic] = {}

    def is_expected(self) -> bool:
        """Tell whether others watch the store for this instance."""
        return not self._must_watch()

    def is_available(self) -> bool:
        """Tell whether a watcher of the zone would hand changes on."""
        return self._choose() is not None

    async def open(self, after: Revision) -> AsyncGenerator[StoreChanges, None]:
        """Yield what changes after a revision, until the peer stops."""
        link = self._choose()
        if link is None:
            return
        self._source = link
        try:
            async for changes in link.follow_changes(after):
                # Only a peer that watches the store itself sends any.
                self._is_open = True
                yield changes
                if self._must_watch():
                    return
        finally:
            self._is_open = False

    def suspend_peer(self) -> None:
        """Ask the present peer no more for a while."""
        if self._source is not None:
            name = self._source.peer.name
            self._distrusted[name] = Monotonic(read_clock() + DISTRUST_FOR)

    def is_owner_or_candidate(self) -> bool:
        """Tell whether this instance may claim a group, or owns one."""
        return self._topology.is_candidate_of_any()

    def is_store_reached(self) -> bool:
        """Tell whether a peer that watches the store hands changes on."""
        source = self._source
        return self._is_open and source is not None and source.is_answering()

    def is_source(self, peer: ProxyId) -> bool:
        """Tell whether a peer hands changes on to here."""
        source = self._source
        return self._is_open and source is not None and source.peer.name == peer

    def _choose(self) -> PeerLink | None:
        if self._must_watch():
            return None
        instances = self._neighbours.list_instances()
        links = map(
            self._neighbours.find_link,
            self._topology.list_watchers(instances),
        )
        able = [link for link in links if link and self._is_able(link)]
        # All followers of a zone are shared out among its watchers.
        return max(able, key=self._weigh, default=None)

    def _must_watch(self) -> bool:
        return self._topology.is_watcher(self._neighbours.list_instances())

    def _is_able(self, link: PeerLink) -> bool:
        until = self._distrusted.get(link.peer.name, Monotonic(0))
        is_trusted = read_clock() >= until and not link.is_stopping
        return is_trusted and link.reaches_store and link.is_answering()

    def _weigh(self, link: PeerLink) -> bytes:
        return compute_weight(f'watcher for {self._own.name}', link.peer.name)
