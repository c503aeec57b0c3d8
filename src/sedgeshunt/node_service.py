"""Put one proxy for statement sessions together."""

from asyncio import TaskGroup, gather, sleep
from contextlib import suppress
from secrets import token_hex

from result import Err, Ok, Result

from sedgeshunt.clocks import PROCESS_STARTED_AT, read_clock
from sedgeshunt.connections.target_session import TargetSessionConnector
from sedgeshunt.customers.directory import NO_KEY
from sedgeshunt.customers.gate import QuotaGate
from sedgeshunt.customers.part_assignment import HeldParts
from sedgeshunt.customers.quota_server import QuotaServer
from sedgeshunt.decisions import DecisionLog
from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.execution.group_access import GroupAccess
from sedgeshunt.execution.group_table import GroupTable, find_primary_zone
from sedgeshunt.execution.load_levels import measure_load
from sedgeshunt.execution.primary_context import PrimaryContext
from sedgeshunt.execution.primary_lines import PrimaryLines
from sedgeshunt.execution.replacement import PrimaryReplacement
from sedgeshunt.forwarding.channel import FrameChannel, FrameConnector
from sedgeshunt.forwarding.server import PeerConnectionHandler
from sedgeshunt.groups.orders import PromotionService
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    Incarnation,
    KeyDigest,
    Monotonic,
    ProxyId,
    Seconds,
    TrafficClass,
    ZoneId,
)
from sedgeshunt.membership.feed_server import FeedServer
from sedgeshunt.membership.heartbeats import Heartbeats
from sedgeshunt.membership.isolation import IsolationDetector
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.membership.quota_links import BORROW_TIMEOUT, PeerQuotaLinks
from sedgeshunt.membership.registration import StoreViewRegistration
from sedgeshunt.membership.topology import Topology
from sedgeshunt.membership.zone_feed import ZoneFeed
from sedgeshunt.metrics import PageMetrics
from sedgeshunt.node_settings import NodeSettings
from sedgeshunt.ownership.claims import ClaimContext
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.ownership.promises import PromisesMade, PromisesReceived
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.ownership.releases import Releases
from sedgeshunt.ports import KeyValueService
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.registry.current_store import CurrentStore
from sedgeshunt.registry.directory import PlatformDocuments
from sedgeshunt.registry.entries import InstanceEntry
from sedgeshunt.registry.keys import OWN_PREFIX, OWNERS_PREFIX
from sedgeshunt.registry.store_view import StoreView
from sedgeshunt.requests.outcome import Rejected
from sedgeshunt.revisions import read_count
from sedgeshunt.statements.dispatch import Dispatcher
from sedgeshunt.statements.owners import OwnerDirectory
from sedgeshunt.statements.peer_requests import (
    LocalRequestHandler,
    ReachablePeers,
)
from sedgeshunt.statements.records import StatementRecorder
from sedgeshunt.statements.session import (
    NO_CUSTOMER,
    NO_DATABASE,
    StatementSession,
)

# How long a stopping proxy waits for others to claim its groups.
HANDOVER_LIMIT = Seconds(1)
FINISH_CHECK_INTERVAL = Seconds(0.01)
# Time for peers to read the last answers: one network trip, and a connection
# that is behind.
PEER_CLOSE_LIMIT = Seconds(0.3)
MILLISECONDS = 1000
# Two processes of one instance draw the same once in 2.8e14.
INCARNATION_BYTES = 6


class NodeService:
    """Serve callers and peers on one instance."""

    def __init__(
        self,
        settings: NodeSettings,
        store: KeyValueService,
        documents: PlatformDocuments,
        connector: TargetSessionConnector,
        promotions: PromotionService,
        peers: FrameConnector,
        decisions: DecisionLog,
        recorder: StatementRecorder,
        started_at: Boottime = PROCESS_STARTED_AT,
    ) -> None:
        """Bring the parts together; nothing runs before run()."""
        self.entry = _make_entry(settings)
        self._sessions = 0
        self._peer_handlers: set[PeerConnectionHandler] = set()
        self._recorder = recorder
        self._store = CurrentStore(store, decisions)
        self._view = StoreView(
            self._store,
            (
                documents.configuration_key,
                documents.targets_prefix,
                OWN_PREFIX,
            ),
            decisions,
            self._is_checker,
        )
        self._configuration = LiveConfiguration(
            self._view,
            documents,
            decisions,
        )
        self._lease = InstanceLease(self._store, self.entry, decisions)
        self._records = GroupRecords(
            self._store,
            self._view,
            self._lease,
            self.entry.name,
            self.entry.incarnation,
        )
        topology = Topology(self.entry, self._configuration, self._records)
        self._parts = HeldParts()
        made, held = PromisesMade(started_at), PromisesReceived()
        releases = Releases()
        self._heartbeats = Heartbeats(
            self.entry,
            self._view,
            self._configuration,
            self._lease,
            made,
            held,
            releases,
            self._records,
            topology,
            decisions,
        )
        self._neighbours = Neighbours(
            self.entry,
            self._view,
            topology,
            peers,
            self._heartbeats,
        )
        self._claims = ClaimContext(
            self._records,
            self._lease,
            made,
            held,
            releases,
            self._neighbours,
            decisions,
        )
        self._opinions = ReachablePeers(
            self._neighbours,
            self._records,
            self._find_zone,
        )
        self._lines = PrimaryLines(decisions)
        self._groups = GroupTable(
            self.entry,
            self._configuration,
            self._view,
            connector,
            self._claims,
            PrimaryContext(
                self._configuration,
                connector,
                PrimaryReplacement(
                    connector,
                    promotions,
                    self._records,
                    decisions,
                ),
                self._records,
                self._opinions,
                decisions,
                self._lines,
            ),
        )
        self._feed = ZoneFeed(self.entry, topology, self._neighbours)
        self._view.bind(self._feed)
        self._feeds = FeedServer(self._view, self._lease)
        self._quota_links = PeerQuotaLinks(self.entry, self._neighbours)
        self._quota_server = QuotaServer(
            self.entry.name,
            self._quota_links,
            self._parts,
            BORROW_TIMEOUT,
            settings.bounds.customer_slack,
        )
        self._heartbeats.bind(
            self._neighbours,
            self._groups,
            self._feed,
            self._quota_links,
            self._parts,
        )
        owners = OwnerDirectory(
            self._groups,
            self._neighbours,
            self._records,
            self._lease,
            self._heartbeats.owners_changed,
            self._view.end_batch,
        )
        self.isolation = IsolationDetector(
            self.entry.zone,
            self._lease,
            self._neighbours,
            owners,
            self._configuration,
            decisions,
        )
        self._dispatcher = Dispatcher(owners)
        self._gate = QuotaGate(
            self.entry.name,
            self._quota_links,
            self._quota_server,
            self._configuration.find_limit,
        )
        self._desk = LocalRequestHandler(
            self._groups,
            owners,
            self._heartbeats,
            self._configuration,
            connector,
            self._store,
            self._feeds,
            self._gate,
            decisions,
        )
        self._lease.bind(
            self._opinions,
            self._feed,
            StoreViewRegistration(self._view, self.entry),
        )
        self._view.listen(self._note_change)

    async def run(self) -> None:
        """Run until cancelled."""
        async with TaskGroup() as tasks:
            for part in (
                self._lease,
                self._view,
                self.isolation,
                self._feeds,
            ):
                tasks.create_task(part.run())
            while True:
                await self._groups.changed.wait()
                self._groups.changed.clear()
                self._neighbours.update(tasks)
                while self._heartbeats.new_instances:
                    self._neighbours.connect(
                        self._heartbeats.new_instances.pop(),
                        tasks,
                    )
                await self._groups.apply_configuration(tasks)

    def is_ready(self) -> bool:
        """Tell whether callers can be served here."""
        if self._heartbeats.is_stopping or self.isolation.is_isolated():
            return False
        return self._configuration.is_loaded

    async def open_session(
        self,
        database: TrafficClass,
        key: KeyDigest = NO_KEY,
    ) -> Result[StatementSession, Rejected]:
        """Open a caller's session if a route leads there and its key does."""
        await self._configuration.wait_loaded()
        route = self._configuration.find_route(database)
        if route is None:
            reason = f'no route leads to {database}'
            return Err(Rejected(0, NO_DATABASE, reason))
        if self._configuration.identify(key, route) is None:
            reason = f"the key {key} is no customer's; use one that is"
            return Err(Rejected(0, NO_CUSTOMER, reason))
        self._sessions += 1
        return Ok(
            StatementSession(
                database,
                key,
                f'{self.entry.name}-{self.entry.incarnation}-{self._sessions}',
                self._configuration,
                self._dispatcher,
                self._gate,
                self._recorder,
            ),
        )

    def find_access(self, group: GroupId) -> GroupAccess | None:
        """Return what runs here for a group, None when it is not declared."""
        return self._groups.get(group)

    def find_lease(self) -> InstanceLease:
        """Return this instance's lease in the store."""
        return self._lease

    def list_links(self) -> list[ProxyId]:
        """List the instances that this one keeps in touch with."""
        return self._neighbours.list_known()

    def watches_store(self) -> bool:
        """Tell whether this instance follows the store itself."""
        return self._view.is_watching

    def measure(self, metrics: PageMetrics) -> None:
        """Set the levels of this moment."""
        executors = [
            executor
            for access in self._groups
            for executor in access.list_executors()
        ]
        owned = sum(access.owner is not None for access in self._groups)
        levels: dict[str, float] = {
            'groups.owned': owned,
            'peers.answering': len(self._neighbours.list_answering()),
            'store.reached': self._lease.reaches_store(),
            'store.watched': self._view.is_watching,
            'store.followers': len(self._view.followers),
            'store.revision': read_count(self._view.revision),
            'store.era': self._store.era,
            'store.refused_watches': self._view.refused_watches,
            'configuration.version': self._configuration.declared.version,
            'zone.isolated': self.isolation.is_isolated(),
            'ownership.voided': self._lines.voided,
            'ownership.sent_near_end': self._lines.sent_near_end,
            'ownership.sent_unheld': self._lines.sent_unheld,
            'ownership.relayed_renewals': self._lease.relayed_renewals,
            'ownership.promises_seconds': self._claims.times.by_promises,
            'statements.running': sum(
                executor.admission.running for executor in executors
            ),
            'statements.queued': sum(
                executor.admission.queued for executor in executors
            ),
            'connections.opened': sum(
                executor.pool.opened for executor in executors
            ),
            'connections.wait_ms': max(
                (
                    executor.pool.wait.value * MILLISECONDS
                    for executor in executors
                ),
                default=0,
            ),
            'connections.open': sum(
                executor.pool.open_count for executor in executors
            ),
        }
        for name, level in levels.items():
            metrics.gauge(name, level)
        measure_load(self._groups, self._configuration, metrics)

    async def serve_peer(self, channel: FrameChannel) -> None:
        """Serve one peer's connection."""
        handler = PeerConnectionHandler(channel, self._desk)
        self._peer_handlers.add(handler)
        try:
            await handler.run()
        finally:
            self._peer_handlers.discard(handler)

    async def finish_calls(
        self,
        transactions_end: Monotonic,
        give_up: Monotonic,
    ) -> None:
        """Answer peers' calls by `give_up`; let their transactions end."""
        while self._has_peer_transactions() and read_clock() < transactions_end:
            await sleep(FINISH_CHECK_INTERVAL)
        handlers = tuple(self._peer_handlers)
        await gather(*(handler.finish(give_up) for handler in handlers))
        # Peers close their connections once they have read all answers.
        closed_by = read_clock() + PEER_CLOSE_LIMIT
        while self._peer_handlers and read_clock() < closed_by:
            await sleep(FINISH_CHECK_INTERVAL)

    async def hand_over(self, limit: Seconds) -> None:
        """Give up all that is owned here, each group to the best peer.

        A group's open transactions may end within `limit`.
        """
        self._heartbeats.is_stopping = True
        self._claims.is_stopping = True
        for access in self._groups:
            if access.owner is not None:
                access.owner.request_handover(limit)
        give_up = Monotonic(read_clock() + limit + HANDOVER_LIMIT)
        while self._owns_any() and read_clock() < give_up:
            await self._heartbeats.owners_changed.wait(give_up)

    async def leave(self) -> None:
        """End the lease and with it all that is still owned."""
        with suppress(PlatformUnavailable, AnswerLost):
            await self._lease.release()

    def _has_peer_transactions(self) -> bool:
        return any(handler.has_transactions for handler in self._peer_handlers)

    def _owns_any(self) -> bool:
        return any(access.owner is not None for access in self._groups)

    def _find_zone(self, group: GroupId) -> ZoneId | None:
        return find_primary_zone(self._configuration, group)

    def _is_checker(self) -> bool:
        if not self._lease.has_own_answer():
            return False
        # All keep in touch with owners, and so hear what one of them has seen.
        first = min(self._groups.list_names(), default=None)
        if first is not None and self._hears_checker(first):
            access = self._groups.get(first)
            return access is not None and access.owner is not None
        others = (
            link.peer.name
            for link in self._neighbours.list_alive()
            if link.reaches_store
        )
        return all(self.entry.name < other for other in others)

    def _hears_checker(self, group: GroupId) -> bool:
        owner = self._records.find_owner(group)
        if owner is None:
            return False
        if owner.owner == self.entry.name:
            return self._records.is_own(owner)
        link = self._neighbours.find_link(owner.owner)
        return link is not None and link.reaches_store

    def _note_change(self, key: str) -> None:
        self._quota_server.refresh_parts()
        self._groups.changed.set()
        self._heartbeats.owners_changed.notify()
        if key.startswith(OWNERS_PREFIX):
            self._neighbours.wake_all()


def _make_entry(settings: NodeSettings) -> InstanceEntry:
    address = settings.peers.place
    capacity = settings.capacity
    return InstanceEntry(
        settings.proxy,
        Incarnation(token_hex(INCARNATION_BYTES)),
        settings.zone_id,
        address.host,
        address.port,
        capacity.processor_share * capacity.processor_speed,
    )
