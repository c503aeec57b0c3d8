"""Choose the instances that read a group's replicas, and their connections."""

from collections.abc import Mapping, Sequence
from functools import partial
from itertools import chain

from msgspec import Struct

from sedgeshunt.identifiers import GroupId, ProxyId, ZoneId
from sedgeshunt.membership.rendezvous import group_by_zone, rank_instances
from sedgeshunt.registry.entries import InstanceEntry

# Most readers of a group's replicas in each zone: one may be lost while
# another is stopping.
READERS_PER_ZONE = 3
# Least connections of a reader to each replica: an open transaction occupies
# one for hundreds of milliseconds, and other reads would wait for it.
MIN_CONNECTIONS = 3
# Connections to each target that are reserved for requests of the group's owner
# and for instances that have just started.
RESERVED_CONNECTIONS = 4
# Connections of a reader to a replica of another zone, for when the readers of
# that zone are unreachable: one for a transaction, one for single statements.
REMOTE_CONNECTIONS = 2


class ReaderShare(Struct, frozen=True):
    """Hold one reader's share of the connections to one replica."""

    connections: int
    # Readers that the replica's connections are divided among.
    readers: int = 1


class ReaderPlan(Struct, frozen=True):
    """Hold the readers of a group's replicas and their connections."""

    readers: Mapping[ZoneId, tuple[ProxyId, ...]]
    # Connections to each replica for all readers together.
    total_connections: int
    # Whether the readers of a replica's own zone get most connections to it.
    prefers_own_zone: bool = False

    def list_names(self) -> tuple[ProxyId, ...]:
        """List the readers of all zones."""
        return tuple(chain.from_iterable(self.readers.values()))

    def find_share(self, reader: ZoneId, target: ZoneId) -> ReaderShare:
        """Return a reader's share of a replica, by their zones."""
        near = len(self.readers.get(target, ()))
        count = len(self.list_names())
        for_near = self.total_connections - (count - near) * REMOTE_CONNECTIONS
        if (
            self.prefers_own_zone
            and near
            and for_near > near * REMOTE_CONNECTIONS
        ):
            connections = (
                for_near // near if reader == target else REMOTE_CONNECTIONS
            )
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
    """Choose the readers of replicas that take `limit` connections each.

    All instances compute the same plan. An instance that joins or leaves
    changes the readers of its own zone only.
    """
    total_connections = max(1, limit - RESERVED_CONNECTIONS)
    zones = group_by_zone(instances)
    per_zone = READERS_PER_ZONE
    if zones:
        most = total_connections // MIN_CONNECTIONS // len(zones)
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
