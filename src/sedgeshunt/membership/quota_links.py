"""Know which instances count what customers begin, and reach them."""

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

# A counter that lends answers within two ways and its own work.
BORROW_TIMEOUT = Seconds(0.05)
# Instances that the store has lost may be cut off for so long.
LONGEST_CUT = Seconds(60)


class _KnownPlan(Struct, frozen=True):
    """Hold who counts, for one list of instances."""

    instances: Sequence[InstanceEntry]
    plan: QuotaServerPlan


class PeerQuotaLinks(QuotaLinks):
    """Reach the counters over the links that exist anyway."""

    def __init__(self, own: InstanceEntry, neighbours: Neighbours) -> None:
        """Ask as the instance `own`."""
        self._own = own
        self._neighbours = neighbours
        self._known: _KnownPlan | None = None
        self._assignment = PartAssignment()
        # The largest fleet of late, and when it was seen.
        self._fleet = 1
        self._fleet_at = Boottime(0)

    def plan(self) -> QuotaServerPlan:
        """Tell who counts, by the instances that are known now."""
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
        """Tell whether a heartbeat to a peer is to bring the own part."""
        return self._assignment.assign(peer, self.find_quota_server())

    def keeps_own_part(self) -> bool:
        """Tell whether this proxy counts its own part of limits itself."""
        return self._assignment.assign(self._own.name, self.find_quota_server())

    def find_quota_server(self) -> ProxyId | None:
        """Return the counter to ask first, None when none is reached."""
        plan = self.plan()
        for name in (*plan.near, *plan.far):
            if name == self._own.name or self._is_answering(name):
                return name
        return None

    async def ask(
        self,
        counter: ProxyId,
        request: QuotaRequest,
        limit: Seconds,
    ) -> QuotaGrant | None:
        """Ask a counter; None when it gives no answer within `limit`."""
        link = self._neighbours.find_link(counter)
        if link is None or not link.is_answering():
            return None
        return await link.request_quota(request, limit)

    def _is_answering(self, name: ProxyId) -> bool:
        link = self._neighbours.find_link(name)
        return link is not None and link.is_answering()

    def _measure_fleet(self, listed: int) -> int:
        # Those that are cut off are listed no more after a while, and spend
        # their parts all the same.
        now = read_boottime()
        if listed >= self._fleet or now - self._fleet_at > LONGEST_CUT:
            self._fleet = max(1, listed)
            self._fleet_at = now
        return self._fleet


def plan_quota_servers(
    own: InstanceEntry,
    instances: Sequence[InstanceEntry],
    fleet: int,
) -> QuotaServerPlan:
    """Choose who counts for the callers of one instance."""
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


def _spread(own: ProxyId, counters: Sequence[ProxyId]) -> tuple[ProxyId, ...]:
    # Each instance asks another one first, so that the parts are spent alike.
    return tuple(sorted(counters, key=lambda name: compute_weight(own, name)))
