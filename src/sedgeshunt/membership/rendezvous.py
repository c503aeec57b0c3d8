"""Choose instances by rendezvous hashing; all instances agree on them."""

from collections import defaultdict
from collections.abc import Iterable
from functools import partial
from math import log

from sedgeshunt.groups.ranks import compute_weight
from sedgeshunt.identifiers import ProxyId, ZoneId
from sedgeshunt.registry.entries import InstanceEntry

# Instances of each zone that watch the store for the whole zone, besides the
# candidates of groups: if one is lost, the other takes over its followers.
WATCHERS_PER_ZONE = 2
# Quota servers in each zone: one may be lost.
QUOTA_SERVERS_PER_ZONE = 2
HASH_RANGE = 2**64


def choose_watchers(
    zone: ZoneId,
    instances: Iterable[InstanceEntry],
) -> tuple[ProxyId, ...]:
    """Choose the instances that watch the store for a zone."""
    return _choose('watchers', zone, instances)[:WATCHERS_PER_ZONE]


def choose_quota_servers(
    zone: ZoneId,
    instances: Iterable[InstanceEntry],
) -> tuple[ProxyId, ...]:
    """Choose the quota servers of a zone."""
    return _choose('counters', zone, instances)[:QUOTA_SERVERS_PER_ZONE]


def group_by_zone(
    instances: Iterable[InstanceEntry],
) -> dict[ZoneId, list[InstanceEntry]]:
    """Return the instances by zone."""
    zones = defaultdict(list)
    for entry in instances:
        zones[entry.zone].append(entry)
    return zones


def rank_instances(
    purpose: str,
    instances: Iterable[InstanceEntry],
) -> list[InstanceEntry]:
    """Return the instances in the order of preference for `purpose`."""
    return sorted(instances, key=partial(_weigh, purpose), reverse=True)


def _choose(
    purpose: str,
    zone: ZoneId,
    instances: Iterable[InstanceEntry],
) -> tuple[ProxyId, ...]:
    members = [entry for entry in instances if entry.zone == zone]
    ranked = rank_instances(f'{purpose} of {zone}', members)
    return tuple(entry.name for entry in ranked)


def _weigh(purpose: str, entry: InstanceEntry) -> float:
    """Return a score that is the highest in proportion to the capacity.

    Source: weighted rendezvous hashing, Schindelhauer and Schomaker, Weighted
    Distributed Hash Tables, SPAA 2005.
    """
    hashed = int.from_bytes(compute_weight(purpose, entry.name), 'big')
    return -entry.capacity / log((hashed + 1) / (HASH_RANGE + 1))
