"""Start, stop and look up the groups that the operator declares."""

from asyncio import Event, Task, TaskGroup
from collections.abc import Iterator, Sequence

from msgspec import Struct

from sedgeshunt.configuration.objects import Group
from sedgeshunt.connections.target_session import TargetSessionConnector
from sedgeshunt.execution.group_access import GroupAccess
from sedgeshunt.execution.primary_context import PrimaryContext
from sedgeshunt.execution.primary_probe import PrimaryProbe
from sedgeshunt.execution.replica_reader import ReplicaReader, list_replicas
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import (
    Boottime,
    CustomerId,
    GroupId,
    ProxyId,
    ZoneId,
)
from sedgeshunt.membership.affinity import count_affinity_readers, rank_readers
from sedgeshunt.membership.readers import ReaderPlan, ReaderShare, plan_readers
from sedgeshunt.ownership.claims import ClaimContext, GroupClaim
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.registry.entries import InstanceEntry
from sedgeshunt.registry.store_view import StoreView
from sedgeshunt.routing.freshness_history import FreshnessHistory


class _CachedPlan(Struct, frozen=True):
    """Hold the reader plan of a group for one list of instances."""

    instances: Sequence[InstanceEntry]
    limit: int
    plan: ReaderPlan

    def matches(
        self,
        instances: Sequence[InstanceEntry],
        limit: int,
        *,
        prefers_own_zone: bool,
    ) -> bool:
        """Return whether the plan was made for these inputs."""
        is_same = (
            self.limit == limit
            and self.plan.prefers_own_zone == prefers_own_zone
        )
        return is_same and self.instances is instances


class GroupTable:
    """Hold one GroupAccess for each declared group."""

    def __init__(
        self,
        own: InstanceEntry,
        configuration: LiveConfiguration,
        view: StoreView,
        connector: TargetSessionConnector,
        claims: ClaimContext,
        parts: PrimaryContext,
    ) -> None:
        """Start empty, until the first configuration is applied."""
        self.changed = Event()
        self._own = own
        self._configuration = configuration
        self._view = view
        self._connector = connector
        self._claims = claims
        self._parts = parts
        self._groups: dict[GroupId, GroupAccess] = {}
        self._tasks: dict[GroupId, Task[None]] = {}
        self._plans: dict[GroupId, _CachedPlan] = {}
        configuration.listen(self.changed.set)
        view.listen(self._note_change)

    @property
    def zone(self) -> ZoneId:
        """Return the availability zone of this instance."""
        return self._own.zone

    def __iter__(self) -> Iterator[GroupAccess]:
        """Iterate over the running groups."""
        return iter(tuple(self._groups.values()))

    def list_names(self) -> tuple[GroupId, ...]:
        """Return the names of the running groups."""
        return tuple(self._groups)

    def get(self, group: GroupId) -> GroupAccess | None:
        """Return a group's access, None if the group is not declared."""
        return self._groups.get(group)

    def read_tip(self, group: GroupId) -> Point | None:
        """Return a group's log end, None unless it is owned here."""
        access = self._groups.get(group)
        return None if access is None else access.read_tip()

    def record_tip(
        self, group: GroupId, asked_at: Boottime, tip: Point
    ) -> None:
        """Record a primary's log end and when it was requested."""
        access = self._groups.get(group)
        if access is not None:
            access.freshness.record(asked_at, tip)

    async def apply_configuration(self, tasks: TaskGroup) -> None:
        """Start newly declared groups and stop removed ones."""
        declared = {group.name for group in self._configuration.list_groups()}
        for gone in set(self._groups) - declared:
            self._tasks.pop(gone).cancel()
            self._groups.pop(gone)
        for name in declared:
            if name not in self._groups:
                access = self._make_access(name)
                self._groups[name] = access
                self._tasks[name] = tasks.create_task(self._run(access))
            await self._groups[name].reader.apply_configuration()

    def find_zone(self, group: GroupId) -> ZoneId | None:
        """Return the availability zone of a group's primary."""
        return find_primary_zone(self._configuration, group)

    def has_primary_alone(self, group: GroupId) -> bool:
        """Return whether this zone has a group's primary but no replica."""
        members = self._configuration.find_members(group)
        if members is None or self.find_zone(group) != self.zone:
            return False
        replicas = list_replicas(members)
        return all(known.target.zone != self.zone for known in replicas)

    def _make_access(self, name: GroupId) -> GroupAccess:
        return GroupAccess(
            name,
            GroupClaim(name, self._claims, self.find_zone),
            ReplicaReader(
                name,
                self._own.zone,
                self._configuration,
                self._connector,
                FreshnessHistory(),
                self._find_share,
            ),
            PrimaryProbe(
                name,
                self._configuration,
                self._parts.records,
                self._connector,
            ),
            self._parts,
        )

    async def _run(self, access: GroupAccess) -> None:
        await self._view.loaded.wait()
        await access.run()

    def _find_share(self, group: Group, zone: ZoneId) -> ReaderShare | None:
        plan = self._plan_readers(group)
        if self._own.name not in plan.readers.get(self._own.zone, ()):
            return None
        return plan.find_share(self._own.zone, zone)

    def list_readers(self, name: GroupId) -> Sequence[ProxyId]:
        """List the readers of a group's replicas in this proxy's zone."""
        members = self._configuration.find_members(name)
        if members is None:
            return ()
        return self._plan_readers(members.group).readers.get(self._own.zone, ())

    def list_customer_readers(
        self,
        name: GroupId,
        customer: CustomerId,
    ) -> tuple[Sequence[ProxyId], int]:
        """List a customer's readers by preference, and how many share."""
        members = self._configuration.find_members(name)
        if members is None:
            return (), 0
        zones = [known.target.zone for known in list_replicas(members)]
        readers = self._plan_readers(members.group).readers
        ranked = rank_readers(name, customer, zones, readers)
        share = self._configuration.find_part(customer)
        return ranked, count_affinity_readers(share, len(ranked))

    def _plan_readers(self, group: Group) -> ReaderPlan:
        # Cached, as each read needs the plan and it changes only with the list
        # of instances or the configuration.
        instances = self._claims.list_instances()
        limit = group.connection_limit
        known = self._plans.get(group.name)
        prefers_own_zone = self._configuration.has_customers()
        if known is None or not known.matches(
            instances, limit, prefers_own_zone=prefers_own_zone
        ):
            plan = plan_readers(
                group.name,
                instances,
                limit,
                prefers_own_zone=prefers_own_zone,
            )
            known = _CachedPlan(instances, limit, plan)
            self._plans[group.name] = known
        return known.plan

    def wake(self) -> None:
        """Make each group check again whether its owner is present."""
        for access in self._groups.values():
            access.claim.changed.set()
            access.probe.wake()

    def _note_change(self, key: str) -> None:
        self.wake()


def find_primary_zone(
    configuration: LiveConfiguration,
    group: GroupId,
) -> ZoneId | None:
    """Return the availability zone of the target listed as primary."""
    members = configuration.find_members(group)
    if members is None:
        return None
    leading = (
        known.target.zone for known in members.targets if known.is_primary
    )
    return next(leading, None)
