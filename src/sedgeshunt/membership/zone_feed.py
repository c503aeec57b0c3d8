"""Follow the store's changes through a peer of the own zone."""

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

# Time before a peer whose feed ended or lagged is asked again: it has most
# likely lost the store, whose usual outage takes five seconds, and each failed
# attempt makes this instance set up a watch of the store again.
DISTRUST_TIME = Seconds(2)


class ZoneFeed(ChangeFeed, StoreEvidence):
    """Choose the peer to follow, and know whether its feed is open."""

    def __init__(
        self,
        own: InstanceEntry,
        topology: Topology,
        neighbours: Neighbours,
    ) -> None:
        """Start without a peer to follow."""
        self._own = own
        self._topology = topology
        self._neighbours = neighbours
        self._source: PeerLink | None = None
        self._is_open = False
        self._distrusted: dict[ProxyId, Monotonic] = {}

    def is_expected(self) -> bool:
        """Return whether peers watch the store for this instance."""
        return not self._must_watch()

    def is_available(self) -> bool:
        """Return whether a watcher of the zone can serve a feed."""
        return self._choose() is not None

    async def open(self, after: Revision) -> AsyncGenerator[StoreChanges, None]:
        """Yield the changes after a revision, until the peer's feed ends."""
        link = self._choose()
        if link is None:
            return
        self._source = link
        try:
            async for changes in link.follow_changes(after):
                # Only a peer that watches the store itself sends changes.
                self._is_open = True
                yield changes
                if self._must_watch():
                    return
        finally:
            self._is_open = False

    def suspend_peer(self) -> None:
        """Stop using the current peer for a while."""
        if self._source is not None:
            name = self._source.peer.name
            self._distrusted[name] = Monotonic(read_clock() + DISTRUST_TIME)

    def is_owner_or_candidate(self) -> bool:
        """Return whether this instance is a candidate of any group."""
        return self._topology.is_candidate_of_any()

    def is_store_reached(self) -> bool:
        """Return whether a peer that watches the store serves an open feed."""
        source = self._source
        return self._is_open and source is not None and source.is_answering()

    def is_source(self, peer: ProxyId) -> bool:
        """Return whether this peer serves the open feed."""
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
        # Hashing spreads the followers of a zone over its watchers.
        return max(able, key=self._weigh, default=None)

    def _must_watch(self) -> bool:
        return self._topology.is_watcher(self._neighbours.list_instances())

    def _is_able(self, link: PeerLink) -> bool:
        until = self._distrusted.get(link.peer.name, Monotonic(0))
        is_trusted = read_clock() >= until and not link.is_stopping
        return is_trusted and link.reaches_store and link.is_answering()

    def _weigh(self, link: PeerLink) -> bytes:
        return compute_weight(f'watcher for {self._own.name}', link.peer.name)
