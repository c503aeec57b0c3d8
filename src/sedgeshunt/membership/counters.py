"""Know which instances count what customers begin, and reach them."""

from collections.abc import Sequence

from msgspec import Struct

from sedgeshunt.customers.counting import (
    CounterLinks,
    CounterPlan,
    Spend,
    Spent,
)
from sedgeshunt.groups.ranks import weigh
from sedgeshunt.identifiers import ProxyId, Seconds, ZoneId
from sedgeshunt.membership.drawing import choose_watchers, sort_by_zone
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.registry.entries import InstanceEntry

# A counter that lends answers within two ways and its own work.
BORROW_LIMIT = Seconds(0.05)


class _KnownPlan(Struct, frozen=True):
    """Hold who counts, for one list of instances."""

    instances: Sequence[InstanceEntry]
    plan: CounterPlan


class LinkedCounters(CounterLinks):
    """Reach the counters over the links that exist anyway."""

    def __init__(
        self,
        own: InstanceEntry,
        zones: Sequence[ZoneId],
        neighbours: Neighbours,
    ) -> None:
        """Count in each of `zones`, whoever is listed there."""
        self._own = own
        self._zones = zones
        self._neighbours = neighbours
        self._known: _KnownPlan | None = None

    def plan(self) -> CounterPlan:
        """Tell who counts, by the instances that are known now."""
        instances = self._neighbours.list_instances()
        known = self._known
        if known is None or known.instances is not instances:
            plan = plan_counters(self._own, self._zones, instances)
            known = _KnownPlan(instances, plan)
            self._known = known
        return known.plan

    async def ask(
        self,
        counter: ProxyId,
        spend: Spend,
        limit: Seconds,
    ) -> Spent | None:
        """Ask a counter; None when it gives no answer within `limit`."""
        link = self._neighbours.find_link(counter)
        if link is None or not link.is_answering():
            return None
        return await link.spend(spend, limit)


def plan_counters(
    own: InstanceEntry,
    zones: Sequence[ZoneId],
    instances: Sequence[InstanceEntry],
) -> CounterPlan:
    """Choose who counts for the callers of one instance.

    Each zone has the same part of a limit, whether or not it is listed.
    """
    # A zone that is cut off goes on with its part. If the others took it over
    # when the store forgets the zone, both would spend it.
    near = choose_watchers(own.zone, instances)
    listed = sort_by_zone(instances)
    far = [
        name
        for zone in sorted(listed.keys() - {own.zone})
        for name in choose_watchers(zone, instances)
    ]
    known = {*zones, *listed}
    part = 1 / max(1, len(known)) / max(1, len(near))
    return CounterPlan(_spread(own.name, near), _spread(own.name, far), part)


def _spread(own: ProxyId, counters: Sequence[ProxyId]) -> tuple[ProxyId, ...]:
    # Each instance asks another one first, so that the parts are spent alike.
    return tuple(sorted(counters, key=lambda name: weigh(own, name)))
