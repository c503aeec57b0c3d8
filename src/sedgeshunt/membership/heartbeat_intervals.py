"""Choose how often each peer gets a heartbeat."""

from collections.abc import Collection, Mapping

from sedgeshunt.execution.group_table import GroupTable
from sedgeshunt.forwarding.link import (
    FAST_HEARTBEAT_INTERVAL,
    IDLE_HEARTBEAT_INTERVAL,
    SLOW_HEARTBEAT_INTERVAL,
    TIP_HEARTBEAT_INTERVAL,
)
from sedgeshunt.forwarding.messages import OwnedGroup
from sedgeshunt.identifiers import GroupId, ProxyId, Seconds
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.membership.quota_links import PeerQuotaLinks
from sedgeshunt.membership.topology import FULL_MESH_LIMIT, Topology
from sedgeshunt.membership.zone_feed import ZoneFeed
from sedgeshunt.ownership.claims import RESTORE_WAIT
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.registry.configuration import LiveConfiguration


class HeartbeatIntervals:
    """Choose the interval that the purpose of a link needs."""

    # Load: in a fleet of a hundred, most links lead to readers and owners that
    # have nothing to exchange but calls; their heartbeats at 1 s were most of
    # the 19 a second that each instance sent.

    def __init__(
        self,
        configuration: LiveConfiguration,
        lease: InstanceLease,
        records: GroupRecords,
        topology: Topology,
        neighbours: Neighbours,
        groups: GroupTable,
        feed: ZoneFeed,
        quota_links: PeerQuotaLinks,
    ) -> None:
        """Bind what tells the purpose of each link."""
        self._configuration = configuration
        self._lease = lease
        self._records = records
        self._topology = topology
        self._neighbours = neighbours
        self._groups = groups
        self._feed = feed
        self._quota_links = quota_links

    def find(
        self,
        peer: ProxyId,
        owned: Mapping[GroupId, OwnedGroup],
    ) -> Seconds:
        """Return the interval between heartbeats to a peer."""
        # While the store is unreachable, only heartbeats show who is live.
        if not self._lease.is_fresh():
            return FAST_HEARTBEAT_INTERVAL
        groups = {*owned, *self._topology.list_owned_by(peer)}
        # Promises are valid for less than a second.
        if any(map(self._topology.is_candidate, groups)):
            return FAST_HEARTBEAT_INTERVAL
        if self._needs_news(peer, groups):
            return TIP_HEARTBEAT_INTERVAL
        if self._is_idle(peer, groups):
            return IDLE_HEARTBEAT_INTERVAL
        return SLOW_HEARTBEAT_INTERVAL

    def _needs_news(self, peer: ProxyId, owned: Collection[GroupId]) -> bool:
        """Return whether reads, the feed or limits depend on the peer."""
        # Only log ends bound the age of reads served here, and the feed proves
        # that the store answers. Few instances of a large fleet read a group's
        # replicas (15 of 195), so the cost stays small.
        if self._feed.is_source(peer) or any(map(self._reads, owned)):
            return True
        # A quota server holds this instance's part of limits only as long as
        # heartbeats renew it.
        return (
            self._configuration.has_customers()
            and peer == self._quota_links.find_quota_server()
        )

    def _is_idle(self, peer: ProxyId, owned: Collection[GroupId]) -> bool:
        """Return whether the peer has nothing that must be known early."""
        instances = self._neighbours.list_instances()
        if len(instances) <= FULL_MESH_LIMIT:
            return False
        # After a restore a claim is refused while a peer reports to own the
        # group, so each peer's report has to be newer than the restore.
        if self._records.measure_era_age() < RESTORE_WAIT:
            return False
        if self._topology.is_witness(peer, instances):
            return False
        # A watch that delivers no more changes is detected by the revisions
        # that owners report.
        if owned and self._topology.is_watcher(instances):
            return False
        # An owner hands over only to a candidate that reaches the store.
        return not self._topology.may_get_group(peer)

    def _reads(self, group: GroupId) -> bool:
        access = self._groups.get(group)
        return access is not None and access.reader.has_replicas()
