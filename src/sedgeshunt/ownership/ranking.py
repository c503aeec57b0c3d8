"""Order the instances by how well each would own a group."""

from collections.abc import Iterable, Sequence

from sedgeshunt.groups.ranks import compute_weight
from sedgeshunt.identifiers import GroupId, ProxyId, ZoneId
from sedgeshunt.registry.entries import InstanceEntry

# Instances that may claim one group; each of them has to promise its owner.
MAX_CANDIDATES = 8


def rank_owners(
    group: GroupId,
    instances: Iterable[InstanceEntry],
    zone: ZoneId | None,
) -> list[InstanceEntry]:
    """Order the instances, those in the primary's zone first."""
    # An owner next to the primary spares each statement a way between zones;
    # the hash spreads the groups over the zone's instances.
    return sorted(
        instances,
        key=lambda entry: (
            entry.zone == zone,
            entry.capacity,
            compute_weight(group, entry.name),
        ),
        reverse=True,
    )


def choose_candidates(
    group: GroupId,
    instances: Sequence[InstanceEntry],
    zone: ZoneId | None,
) -> tuple[ProxyId, ...]:
    """Choose who may claim a group, from all zones in turn."""
    ranked = rank_owners(group, instances, zone)
    chosen: list[ProxyId] = []
    # A zone that is lost must not take all candidates with it.
    while ranked and len(chosen) < MAX_CANDIDATES:
        seen: set[ZoneId] = set()
        for entry in tuple(ranked):
            if entry.zone in seen or len(chosen) >= MAX_CANDIDATES:
                continue
            seen.add(entry.zone)
            chosen.append(entry.name)
            ranked.remove(entry)
    return tuple(sorted(chosen))
