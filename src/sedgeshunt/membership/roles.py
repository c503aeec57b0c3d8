"""Know which roles this instance and its peers have in groups."""

from collections import defaultdict
from collections.abc import Sequence

from msgspec import Struct

from sedgeshunt.identifiers import GroupId, ProxyId
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.registry.configuration import LiveConfiguration


class Roles(Struct, frozen=True):
    """Hold the roles in all declared groups."""

    # Whether this instance may claim a group.
    is_candidate: bool
    # Who may get a group that this instance owns.
    next_owners: frozenset[ProxyId]
    # The groups of each owner.
    owned: dict[ProxyId, list[GroupId]]


class GroupRoles:
    """Derive the roles from the records, once for each change of them."""

    # Each heartbeat and several checks 20 times a second ask for them; without
    # the cache, each would read the records of all groups.

    def __init__(
        self,
        own: ProxyId,
        configuration: LiveConfiguration,
        records: GroupRecords,
    ) -> None:
        """Derive the roles of the instance `own` and its peers."""
        self._own = own
        self._configuration = configuration
        self._records = records
        self._known: Roles | None = None
        self._known_changes = 0
        self._known_groups: object = None

    def read(self) -> Roles:
        """Return the roles by the records known now."""
        groups = self._configuration.declared.groups
        if (
            self._known is None
            or self._known_changes != self._records.changes
            or self._known_groups is not groups
        ):
            self._known = self._derive(tuple(groups))
            self._known_changes = self._records.changes
            self._known_groups = groups
        return self._known

    def _derive(self, groups: Sequence[GroupId]) -> Roles:
        found = (self._records.find_record(group) for group in groups)
        records = [record for record in found if record is not None]
        owned = defaultdict(list)
        for group in groups:
            owner = self._records.find_owner(group)
            if owner is not None:
                owned[owner.owner].append(group)
        return Roles(
            any(self._own in record.candidates for record in records),
            frozenset(
                name
                for record in records
                if record.owner == self._own
                for name in record.candidates
            ),
            dict(owned),
        )
