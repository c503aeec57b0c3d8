"""Select the quota servers of customers and send them requests."""

from collections.abc import Sequence

from msgspec import Struct

from sedgeshunt.clocks import read_boottime
from sedgeshunt.customers.part_assignment import PartAssignment
from sedgeshunt.customers.quotas import (
    QuotaGrant,
    QuotaLinks,
    QuotaRequest,
    QuotaServerPlan,
)
from sedgeshunt.groups.ranks import compute_weight
from sedgeshunt.identifiers import Boottime, ProxyId, Seconds
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.membership.rendezvous import choose_quota_servers, group_by_zone
from sedgeshunt.registry.entries import InstanceEntry

# A quota server that lends tokens answers within one round trip and the time
# of its own work.
BORROW_TIMEOUT = Seconds(0.05)
# Instances that the store no longer lists may still serve behind a network
# partition for up to this time.
MAX_PARTITION_TIME = Seconds(60)


class _KnownPlan(Struct, frozen=True):
    """Cache the quota servers for one list of instances."""

    instances: Sequence[InstanceEntry]
    plan: QuotaServerPlan


class PeerQuotaLinks(QuotaLinks):
    """Reach the quota servers over the links between instances."""

    def __init__(self, own: InstanceEntry, neighbours: Neighbours) -> None:
        """Send requests from the instance `own`."""
        self._own = own
        self._neighbours = neighbours
        self._known: _KnownPlan | None = None
        self._assignment = PartAssignment()
        # The largest recent size of the fleet, and when it was last seen.
        self._fleet = 1
        self._fleet_at = Boottime(0)

    def plan(self) -> QuotaServerPlan:
        """Return the quota servers among the instances known now."""
        instances = self._neighbours.list_instances()
        known = self._known
        if known is None or known.instances is not instances:
            plan = plan_quota_servers(
                self._own,
                instances,
                self._measure_fleet(len(instances)),
            )
            known = _KnownPlan(instances, plan)
            self._known = known
        return known.plan

    def gives_part(self, peer: ProxyId) -> bool:
        """Assign the own part to `peer` if it may get it; return whether so."""
        return self._assignment.assign(peer, self.find_quota_server())

    def keeps_own_part(self) -> bool:
        """Assign the own part to this proxy if possible; return whether so."""
        return self._assignment.assign(self._own.name, self.find_quota_server())

    def find_quota_server(self) -> ProxyId | None:
        """Return the quota server to ask first, None if all are unreachable."""
        plan = self.plan()
        for name in (*plan.near, *plan.far):
            if name == self._own.name or self._is_answering(name):
                return name
        return None

    async def ask(
        self,
        server: ProxyId,
        request: QuotaRequest,
        limit: Seconds,
    ) -> QuotaGrant | None:
        """Ask a quota server; return None without an answer in `limit`."""
        link = self._neighbours.find_link(server)
        if link is None or not link.is_answering():
            return None
        return await link.request_quota(request, limit)

    def _is_answering(self, name: ProxyId) -> bool:
        link = self._neighbours.find_link(name)
        return link is not None and link.is_answering()

    def _measure_fleet(self, listed: int) -> int:
        # Partitioned instances disappear from the list after a while but still
        # use their parts of the limits.
        now = read_boottime()
        if listed >= self._fleet or now - self._fleet_at > MAX_PARTITION_TIME:
            self._fleet = max(1, listed)
            self._fleet_at = now
        return self._fleet


def plan_quota_servers(
    own: InstanceEntry,
    instances: Sequence[InstanceEntry],
    fleet: int,
) -> QuotaServerPlan:
    """Choose the quota servers for the callers of one instance."""
    near = choose_quota_servers(own.zone, instances)
    far = [
        name
        for zone in sorted(group_by_zone(instances).keys() - {own.zone})
        for name in choose_quota_servers(zone, instances)
    ]
    return QuotaServerPlan(
        _spread(own.name, near),
        _spread(own.name, far),
        fleet,
    )


def _spread(own: ProxyId, servers: Sequence[ProxyId]) -> tuple[ProxyId, ...]:
    # Instances prefer different servers, so that parts are used up evenly.
    return tuple(sorted(servers, key=lambda name: compute_weight(own, name)))
