"""Choose the instances that an instance keeps links to."""

from collections.abc import Iterator, Sequence
from itertools import chain

from msgspec import Struct

from sedgeshunt.configuration.objects import Group
from sedgeshunt.identifiers import GroupId, ProxyId, ZoneId
from sedgeshunt.membership.readers import plan_readers
from sedgeshunt.membership.rendezvous import (
    choose_quota_servers,
    choose_watchers,
    group_by_zone,
    rank_instances,
)
from sedgeshunt.membership.roles import GroupRoles
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.registry.entries import InstanceEntry

# Fleets of up to this many instances form a full mesh: one heartbeat a second
# to each costs less than relaying a call over another instance.
FULL_MESH_LIMIT = 12
# Instances of each zone that every other instance keeps a link to, whatever
# groups it serves, to notice a network partition and learn of a new
# configuration.
CONTACTS_PER_ZONE = 1


class _KnownNames(Struct, frozen=True):
    """Cache a choice from one list of instances."""

    instances: Sequence[InstanceEntry]
    names: tuple[ProxyId, ...]


class Topology:
    """Select the instances that one instance exchanges heartbeats with."""

    def __init__(
        self,
        own: InstanceEntry,
        configuration: LiveConfiguration,
        records: GroupRecords,
    ) -> None:
        """Select from the view of the instance `own`."""
        self._own = own
        self._configuration = configuration
        self._records = records
        self._roles = GroupRoles(own.name, configuration, records)
        self._watchers = _KnownNames((), ())
        self._contacts = _KnownNames((), ())

    def choose_neighbours(
        self,
        instances: Sequence[InstanceEntry],
    ) -> frozenset[ProxyId]:
        """Return the names of the instances to keep links to."""
        if len(instances) <= FULL_MESH_LIMIT:
            return frozenset(entry.name for entry in instances)
        groups = self._configuration.list_groups()
        parts = (self._list_partners(group, instances) for group in groups)
        return frozenset(
            chain(
                _choose_contacts(self._own.name, instances),
                self.list_watchers(instances),
                self._list_quota_servers(instances),
                *parts,
            ),
        )

    def list_watchers(
        self,
        instances: Sequence[InstanceEntry],
    ) -> tuple[ProxyId, ...]:
        """List the instances that watch the store for the own zone."""
        if self._watchers.instances is not instances:
            chosen = choose_watchers(self._own.zone, instances)
            self._watchers = _KnownNames(instances, chosen)
        return self._watchers.names

    def is_watcher(self, instances: Sequence[InstanceEntry]) -> bool:
        """Return whether this instance watches the store itself."""
        if len(instances) <= FULL_MESH_LIMIT:
            return True
        # A candidate has to notice at once when the owner of its group is lost.
        if self.is_candidate_of_any():
            return True
        return self._own.name in self.list_watchers(instances)

    def is_witness(
        self,
        peer: ProxyId,
        instances: Sequence[InstanceEntry],
    ) -> bool:
        """Return whether a peer shows the state of the store or of a zone."""
        # If the watcher that serves the feed is lost, another one of the zone
        # has to be known that reaches the store. Contacts show which other
        # zones a partition cuts off.
        if peer in self.list_watchers(instances):
            return not self.is_watcher(instances)
        return peer in self._list_far_contacts(instances)

    def may_get_group(self, peer: ProxyId) -> bool:
        """Return whether this instance may hand over a group to a peer."""
        return peer in self._roles.read().next_owners

    def list_owned_by(self, peer: ProxyId) -> Sequence[GroupId]:
        """List the declared groups that a peer owns by the store."""
        return self._roles.read().owned.get(peer, ())

    def is_candidate(self, group: GroupId) -> bool:
        """Return whether this instance may claim a group."""
        record = self._records.find_record(group)
        return record is not None and self._own.name in record.candidates

    def is_candidate_of_any(self) -> bool:
        """Return whether this instance may claim any group."""
        return self._roles.read().is_candidate

    def _list_far_contacts(
        self,
        instances: Sequence[InstanceEntry],
    ) -> tuple[ProxyId, ...]:
        # Cached, as ranking a large fleet takes milliseconds.
        if self._contacts.instances is not instances:
            far = [entry for entry in instances if entry.zone != self._own.zone]
            chosen = tuple(_choose_contacts(self._own.name, far))
            self._contacts = _KnownNames(instances, chosen)
        return self._contacts.names

    def _list_quota_servers(
        self,
        instances: Sequence[InstanceEntry],
    ) -> Iterator[ProxyId]:
        # An instance that can't reach the quota servers of its own zone asks
        # those of other zones, and quota servers borrow tokens from each other.
        if self._configuration.has_customers():
            for zone in group_by_zone(instances):
                yield from choose_quota_servers(zone, instances)

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
            # Candidates and the owner exchange heartbeats with each other.
            if self._own.name in (*record.candidates, record.owner):
                yield from record.candidates
        plan = plan_readers(
            group.name,
            instances,
            group.connection_limit,
            prefers_own_zone=self._configuration.has_customers(),
        )
        for zone in self._list_reading_zones(group.name):
            yield from plan.readers.get(zone, ())

    def _list_reading_zones(self, group: GroupId) -> set[ZoneId]:
        zones = {self._own.zone}
        members = self._configuration.find_members(group)
        if members is not None and self._configuration.has_customers():
            # A customer's reads go to the readers near any of the replicas.
            zones.update(known.target.zone for known in members.targets)
        return zones


def _choose_contacts(
    own: ProxyId,
    instances: Sequence[InstanceEntry],
) -> Iterator[ProxyId]:
    others = [entry for entry in instances if entry.name != own]
    for members in group_by_zone(others).values():
        ranked = rank_instances(f'witnesses of {own}', members)
        yield from (entry.name for entry in ranked[:CONTACTS_PER_ZONE])
