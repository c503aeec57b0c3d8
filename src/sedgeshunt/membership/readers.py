"""Choose who reads a group's replicas, with how many connections."""

from collections.abc import Mapping, Sequence
from functools import partial
from itertools import chain

from msgspec import Struct

from sedgeshunt.identifiers import GroupId, ProxyId, ZoneId
from sedgeshunt.membership.rendezvous import group_by_zone, rank_instances
from sedgeshunt.registry.entries import InstanceEntry

# Instances of each zone that read a group's replicas at the most: one may be
# gone and another be stopping.
READERS_PER_ZONE = 3
# Connections that a reader needs to each replica: an open transaction keeps one
# for hundreds of milliseconds, and reads behind it wait.
SMALLEST_SHARE = 3
# Connections to each target that are left for its owner's questions and for
# instances that have just come.
RESERVED_CONNECTIONS = 4
# Connections of a reader to a replica of another zone, for when those of that
# zone are not reached: one for a transaction, one for single statements.
AWAY_SHARE = 2


class ReaderShare(Struct, frozen=True):
    """Hold what one reader has of one replica."""

    connections: int
    # Readers among which the replica's places are shared out.
    readers: int = 1


class ReaderPlan(Struct, frozen=True):
    """Hold who reads a group's replicas, with how many connections each."""

    readers: Mapping[ZoneId, tuple[ProxyId, ...]]
    # Connections to each replica for all readers together.
    total_connections: int
    # Most connections to a replica belong to the readers of its own zone.
    prefers_own_zone: bool = False

    def list_names(self) -> tuple[ProxyId, ...]:
        """List the readers of all zones."""
        return tuple(chain.from_iterable(self.readers.values()))

    def find_share(self, reader: ZoneId, target: ZoneId) -> ReaderShare:
        """Return a reader's share of a replica, by their zones."""
        near = len(self.readers.get(target, ()))
        count = len(self.list_names())
        for_near = self.total_connections - (count - near) * AWAY_SHARE
        if self.prefers_own_zone and near and for_near > near * AWAY_SHARE:
            connections = for_near // near if reader == target else AWAY_SHARE
            return ReaderShare(connections, near)
        equal = self.total_connections // max(1, count)
        return ReaderShare(max(1, equal), count)


def plan_readers(
    group: GroupId,
    instances: Sequence[InstanceEntry],
    limit: int,
    *,
    prefers_own_zone: bool = False,
) -> ReaderPlan:
    """Choose who reads replicas that take `limit` connections each.

    Each instance finds the same by itself; one that comes or goes changes the
    readers of its own zone only.
    """
    total_connections = max(1, limit - RESERVED_CONNECTIONS)
    zones = group_by_zone(instances)
    per_zone = READERS_PER_ZONE
    if zones:
        most = total_connections // SMALLEST_SHARE // len(zones)
        per_zone = min(per_zone, max(1, most))
    chosen = map(partial(_choose_readers, group, per_zone), zones.values())
    return ReaderPlan(
        dict(zip(zones, chosen)),
        total_connections,
        prefers_own_zone,
    )


def _choose_readers(
    group: GroupId,
    per_zone: int,
    members: Sequence[InstanceEntry],
) -> tuple[ProxyId, ...]:
    ranked = rank_instances(f'readers of {group}', members)
    return tuple(entry.name for entry in ranked[:per_zone])
