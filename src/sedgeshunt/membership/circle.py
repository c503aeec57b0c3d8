"""Choose whom an instance keeps in touch with, and who reads replicas."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from functools import partial
from itertools import chain
from math import log

from msgspec import Struct

from sedgeshunt.configuration.objects import Group
from sedgeshunt.groups.ranks import weigh
from sedgeshunt.identifiers import GroupId, ProxyId, ZoneId
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.registry.entries import InstanceEntry

# Up to so many instances all know each other: a heartbeat a second to each
# costs them less than a second way for a call.
SMALL_FLEET = 12
# Instances of each zone that read a group's replicas at the most: one may be
# gone and another be stopping.
READERS_PER_ZONE = 3
# Connections that a reader needs to each replica: an open transaction keeps one
# for hundreds of milliseconds, and reads behind it wait. With one or two each
# in the hands of seven instances, a zone's reads came late that three in one
# hand serve in time: worth .77 against .79, mean of 18 days played with both.
SMALLEST_SHARE = 3
# Connections to each target that are left for its owner's questions and for
# instances that have just come.
RESERVED_CONNECTIONS = 4
# Instances of each zone that any other one knows whatever it does, so that it
# notices being cut off and hears of a new configuration.
WITNESSES_PER_ZONE = 1
# Instances of each zone that watch the store for all of it, beside those who
# may own a group: one may be lost while the other takes over its followers.
WATCHERS_PER_ZONE = 2
LARGEST_WEIGHT = 2**64


class ReaderPlan(Struct, frozen=True):
    """Hold who reads a group's replicas, with how many connections each."""

    readers: frozenset[ProxyId]
    # Connections of each reader to each replica.
    share: int


class _KnownWatchers(Struct, frozen=True):
    """Hold who watches the store for a zone, for one list of instances."""

    instances: Sequence[InstanceEntry]
    names: tuple[ProxyId, ...]


class Circle:
    """Know the part of the fleet that one instance has to do with."""

    def __init__(
        self,
        own: InstanceEntry,
        configuration: LiveConfiguration,
        records: GroupRecords,
    ) -> None:
        """Choose for the instance `own`."""
        self._own = own
        self._configuration = configuration
        self._records = records
        self._watchers = _KnownWatchers((), ())

    def choose(self, instances: Sequence[InstanceEntry]) -> frozenset[ProxyId]:
        """Return the instances to keep in touch with."""
        if len(instances) <= SMALL_FLEET:
            return frozenset(entry.name for entry in instances)
        groups = self._configuration.list_groups()
        parts = (self._list_partners(group, instances) for group in groups)
        witnesses = _choose_witnesses(self._own.name, instances)
        watchers = self.list_watchers(instances)
        return frozenset(chain(witnesses, watchers, *parts))

    def list_watchers(
        self,
        instances: Sequence[InstanceEntry],
    ) -> tuple[ProxyId, ...]:
        """List who watches the store for the own zone."""
        if self._watchers.instances is not instances:
            chosen = choose_watchers(self._own.zone, instances)
            self._watchers = _KnownWatchers(instances, chosen)
        return self._watchers.names

    def is_watcher(self, instances: Sequence[InstanceEntry]) -> bool:
        """Tell whether this instance watches the store itself."""
        if len(instances) <= SMALL_FLEET:
            return True
        # Who may claim a group has to see at once that its owner is gone.
        if self.is_candidate_of_any():
            return True
        return self._own.name in self.list_watchers(instances)

    def is_candidate(self, group: GroupId) -> bool:
        """Tell whether this instance may claim a group."""
        record = self._records.find_record(group)
        return record is not None and self._own.name in record.candidates

    def is_candidate_of_any(self) -> bool:
        """Tell whether this instance may claim any group."""
        groups = self._configuration.declared.groups
        return any(map(self.is_candidate, groups))

    def _list_partners(
        self,
        group: Group,
        instances: Sequence[InstanceEntry],
    ) -> Iterator[ProxyId]:
        owner = self._records.find_owner(group.name)
        if owner is not None:
            yield owner.owner
        record = self._records.find_record(group.name)
        if record is not None:
            yield record.owner
            # Each candidate hears the owner, and the owner all candidates.
            if self._own.name in (*record.candidates, record.owner):
                yield from record.candidates
        zone = [entry for entry in instances if entry.zone == self._own.zone]
        plan = plan_readers(group.name, instances, group.connection_limit)
        yield from (entry.name for entry in zone if entry.name in plan.readers)


def plan_readers(
    group: GroupId,
    instances: Sequence[InstanceEntry],
    limit: int,
) -> ReaderPlan:
    """Choose who reads replicas that take `limit` connections each.

    Each instance finds the same by itself; one that comes or goes changes the
    readers of its own zone only.
    """
    open_to_all = max(1, limit - RESERVED_CONNECTIONS)
    if not instances:
        return ReaderPlan(frozenset(), 1)
    readers = _choose_readers(group, instances, open_to_all // SMALLEST_SHARE)
    return ReaderPlan(readers, max(1, open_to_all // len(readers)))


def choose_watchers(
    zone: ZoneId,
    instances: Iterable[InstanceEntry],
) -> tuple[ProxyId, ...]:
    """Choose who watches the store for a zone; all find the same."""
    members = [entry for entry in instances if entry.zone == zone]
    ranked = _rank(f'watchers of {zone}', members)
    return tuple(entry.name for entry in ranked[:WATCHERS_PER_ZONE])


def _choose_readers(
    group: GroupId,
    instances: Sequence[InstanceEntry],
    most: int,
) -> frozenset[ProxyId]:
    zones = _sort_by_zone(instances)
    per_zone = min(READERS_PER_ZONE, max(1, most // len(zones)))
    return frozenset(
        entry.name
        for members in zones.values()
        for entry in _rank(f'readers of {group}', members)[:per_zone]
    )


def _choose_witnesses(
    own: ProxyId,
    instances: Sequence[InstanceEntry],
) -> Iterator[ProxyId]:
    others = [entry for entry in instances if entry.name != own]
    for members in _sort_by_zone(others).values():
        ranked = _rank(f'witnesses of {own}', members)
        yield from (entry.name for entry in ranked[:WITNESSES_PER_ZONE])


def _sort_by_zone(
    instances: Iterable[InstanceEntry],
) -> dict[ZoneId, list[InstanceEntry]]:
    zones = defaultdict(list)
    for entry in instances:
        zones[entry.zone].append(entry)
    return zones


def _rank(
    place: str,
    instances: Iterable[InstanceEntry],
) -> list[InstanceEntry]:
    return sorted(instances, key=partial(_weigh, place), reverse=True)


def _weigh(place: str, entry: InstanceEntry) -> float:
    """Return a weight that is the largest as often as the instance is fast.

    Source: weighted rendezvous hashing, Schindelhauer and Schomaker, Weighted
    Distributed Hash Tables, SPAA 2005.
    """
    drawn = int.from_bytes(weigh(place, entry.name), 'big')
    return -entry.capacity / log((drawn + 1) / (LARGEST_WEIGHT + 1))
