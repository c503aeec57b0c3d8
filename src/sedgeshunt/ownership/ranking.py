"""Rank the instances as owners of a group."""

from collections.abc import Iterable, Sequence

from sedgeshunt.groups.ranks import compute_weight
from sedgeshunt.identifiers import GroupId, ProxyId, ZoneId
from sedgeshunt.registry.entries import InstanceEntry

# Bounded because each candidate has to send promises to the owner.
MAX_CANDIDATES = 8


def rank_owners(
    group: GroupId,
    instances: Iterable[InstanceEntry],
    zone: ZoneId | None,
) -> list[InstanceEntry]:
    """Rank the instances, those in the zone of the primary first."""
    # An owner in the zone of the primary saves each statement a round trip
    # between zones; the hash spreads groups over the instances of the zone.
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
    """Choose the candidates of a group from all zones in turn."""
    ranked = rank_owners(group, instances, zone)
    chosen: list[ProxyId] = []
    # The loss of one zone must leave candidates in the others.
    while ranked and len(chosen) < MAX_CANDIDATES:
        seen: set[ZoneId] = set()
        for entry in tuple(ranked):
            if entry.zone in seen or len(chosen) >= MAX_CANDIDATES:
                continue
            seen.add(entry.zone)
            chosen.append(entry.name)
            ranked.remove(entry)
    return tuple(sorted(chosen))
