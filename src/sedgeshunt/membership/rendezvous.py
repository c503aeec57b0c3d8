"""Draw instances for a purpose, so that all of them find the same."""

from collections import defaultdict
from collections.abc import Iterable
from functools import partial
from math import log

from sedgeshunt.groups.ranks import compute_weight
from sedgeshunt.identifiers import ProxyId, ZoneId
from sedgeshunt.registry.entries import InstanceEntry

# Instances of each zone that watch the store for all of it, beside those who
# may own a group: one may be lost while the other takes over its followers.
WATCHERS_PER_ZONE = 2
# Instances of each zone that count what customers begin: one may be lost.
QUOTA_SERVERS_PER_ZONE = 2
LARGEST_WEIGHT = 2**64


def choose_watchers(
    zone: ZoneId,
    instances: Iterable[InstanceEntry],
) -> tuple[ProxyId, ...]:
    """Choose who watches the store for a zone; all find the same."""
    return _choose('watchers', zone, instances)[:WATCHERS_PER_ZONE]


def choose_quota_servers(
    zone: ZoneId,
    instances: Iterable[InstanceEntry],
) -> tuple[ProxyId, ...]:
    """Choose who counts in a zone; all find the same."""
    return _choose('counters', zone, instances)[:QUOTA_SERVERS_PER_ZONE]


def group_by_zone(
    instances: Iterable[InstanceEntry],
) -> dict[ZoneId, list[InstanceEntry]]:
    """Return the instances of each zone."""
    zones = defaultdict(list)
    for entry in instances:
        zones[entry.zone].append(entry)
    return zones


def rank_instances(
    place: str,
    instances: Iterable[InstanceEntry],
) -> list[InstanceEntry]:
    """Return the instances, the one drawn for `place` first."""
    return sorted(instances, key=partial(_weigh, place), reverse=True)


def _choose(
    purpose: str,
    zone: ZoneId,
    instances: Iterable[InstanceEntry],
) -> tuple[ProxyId, ...]:
    members = [entry for entry in instances if entry.zone == zone]
    ranked = rank_instances(f'{purpose} of {zone}', members)
    return tuple(entry.name for entry in ranked)


def _weigh(place: str, entry: InstanceEntry) -> float:
    """Return a weight that is the largest as often as the instance is fast.

    Source: weighted rendezvous hashing, Schindelhauer and Schomaker, Weighted
    Distributed Hash Tables, SPAA 2005.
    """
    drawn = int.from_bytes(compute_weight(place, entry.name), 'big')
    return -entry.capacity / log((drawn + 1) / (LARGEST_WEIGHT + 1))
