"""Track the other proxies and send them requests."""

from asyncio import Semaphore, TaskGroup, sleep, timeout
from collections.abc import Sequence
from contextlib import AsyncExitStack
from random import Random

from sedgeshunt.configuration.feed import PeerSource
from sedgeshunt.configuration.selector_matcher import SelectorMatcher
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.decisions import DecisionLog
from sedgeshunt.exceptions import PeerUnreachable
from sedgeshunt.groups.peer_query import PeerQuery
from sedgeshunt.identifiers import GroupId, ProxyId, Revision, Seconds, ZoneId
from sedgeshunt.membership.choice import KnownPeer, choose_peers, rank_peers
from sedgeshunt.membership.directory import PeerDirectory
from sedgeshunt.membership.mesh import PeerMesh, PeerView
from sedgeshunt.membership.peer_clients import REPORT_INTERVAL, PeerState
from sedgeshunt.membership.zones import ZoneWatch
from sedgeshunt.ports import (
    Address,
    ConfigurationCopy,
    PeerConnector,
    PrimaryReport,
)

PANEL_SIZE = 8
PANEL_TIMEOUT = Seconds(0.3)
# The whole configuration of a large fleet takes longer to copy than a report.
COPY_TIMEOUT = Seconds(2)
ANNOUNCE_TIMEOUT = Seconds(2)
MAX_CONCURRENT_ANNOUNCEMENTS = 32
# A single lost answer must not exclude a peer from a failover decision.
TOLERATED_FAILURES = 2


class PeerRoster(PeerQuery, PeerSource):
    """Poll the chosen peers and send requests to any peer."""

    def __init__(
        self,
        proxy: ProxyId,
        zone: ZoneId,
        directory: PeerDirectory,
        connector: PeerConnector,
        decisions: DecisionLog,
        random: Random | None = None,
    ) -> None:
        """Prepare; `run` polls the peers."""
        self.zones = ZoneWatch(zone, decisions)
        self._proxy = proxy
        self._zone = zone
        self._directory = directory
        self._random = random or Random()
        self._reach = SelectorMatcher(Snapshot())
        self._peers: Sequence[KnownPeer] = ()
        self._regular: set[Address] = set()
        self._mesh = PeerMesh(
            connector,
            directory.note_report,
            self._random,
        )

    def apply(self, snapshot: Snapshot) -> None:
        """Take the declared proxies from a snapshot."""
        self._directory.apply(snapshot)
        self._reach = SelectorMatcher(snapshot)

    async def run(self) -> None:
        """Poll the chosen peers until cancelled."""
        async with AsyncExitStack() as owned:
            owned.push_async_callback(self._mesh.close)
            tasks = await owned.enter_async_context(TaskGroup())
            while True:
                self._mesh.update(self._choose_regular(), tasks)
                self.zones.update(self._list_zone_states())
                await sleep(REPORT_INTERVAL * self._random.uniform(0.75, 1.25))

    def list_peers(self) -> list[PeerView]:
        """Return what is known of each peer."""
        return [
            self._mesh.view(peer, is_leaving=self._directory.is_leaving(peer))
            for peer in self._directory.list_peers()
        ]

    def list_live_proxies(self) -> list[ProxyId]:
        """List the names of proxies not known to be leaving or unreachable."""
        # A peer that is called only on demand may have no recent answer; it
        # counts as live until a call fails, or its report or the instance list
        # shows that it is leaving.
        gone = {PeerState.UNREACHABLE, PeerState.LEAVING}
        return sorted(
            ProxyId(view.peer.name)
            for view in self.list_peers()
            if view.peer.name is not None and view.state not in gone
        )

    async def query_primary(self, group: GroupId) -> Sequence[PrimaryReport]:
        """Return the reports that arrive within a short time; never raise."""
        async with TaskGroup() as tasks:
            asked = [
                tasks.create_task(self._ask_primary_of(peer, group))
                for peer in self._choose_panel(group)
            ]
        answers = (task.result() for task in asked)
        return [answer for answer in answers if answer is not None]

    async def copy_newer(self, known: Revision) -> ConfigurationCopy | None:
        """Ask one peer for a newer configuration; return None on failure."""
        peer = self._mesh.choose_source(self.list_peers(), known)
        if peer is None:
            return None
        client = self._mesh.find_client(peer.address)
        try:
            return await client.call(
                lambda connection: connection.copy_configuration(known),
                COPY_TIMEOUT,
            )
        except PeerUnreachable:
            return None

    async def announce_leaving(self, name: str) -> None:
        """Announce to all peers that an instance leaves, in a bounded time."""
        permits = Semaphore(MAX_CONCURRENT_ANNOUNCEMENTS)
        try:
            async with timeout(ANNOUNCE_TIMEOUT), TaskGroup() as tasks:
                for peer in self._directory.list_peers():
                    tasks.create_task(self._announce(peer, name, permits))
        except TimeoutError:
            # The other peers notice by the list or by a refused connection.
            return

    async def _ask_primary_of(
        self,
        peer: KnownPeer,
        group: GroupId,
    ) -> PrimaryReport | None:
        client = self._mesh.find_client(peer.address)
        try:
            return await client.call(
                lambda connection: connection.report_primary(group),
                PANEL_TIMEOUT,
            )
        except PeerUnreachable:
            return None

    async def _announce(
        self,
        peer: KnownPeer,
        name: str,
        permits: Semaphore,
    ) -> None:
        client = self._mesh.find_client(peer.address)
        async with permits:
            try:
                await client.call(
                    lambda connection: connection.announce_leaving(name),
                )
            except PeerUnreachable:
                return

    def _choose_panel(self, group: GroupId) -> list[KnownPeer]:
        serving = {
            proxy.name for proxy in self._reach.list_group_proxies(group)
        }
        peers = self._directory.list_peers()
        concerned = [peer for peer in peers if peer.name in serving]
        panel = rank_peers(group, concerned)[:PANEL_SIZE]
        panel.extend(
            peer
            for peer in peers
            if self._mesh.is_regular(peer.address) and peer not in panel
        )
        return [
            peer
            for peer in panel
            if self._mesh.find_client(peer.address).failures
            <= TOLERATED_FAILURES
        ]

    def _choose_regular(self) -> set[Address]:
        peers = self._directory.list_peers()
        if peers is not self._peers:
            chosen = choose_peers(self._proxy, self._zone, peers)
            self._regular = {peer.address for peer in chosen}
            self._peers = peers
        return self._regular

    def _list_zone_states(self) -> dict[ZoneId, list[PeerState]]:
        states: dict[ZoneId, list[PeerState]] = {}
        for view in self.list_peers():
            is_asked = self._mesh.is_regular(view.peer.address)
            if is_asked and view.peer.zone is not None:
                states.setdefault(view.peer.zone, []).append(view.state)
        return states
