"""Define the snapshot of all objects at one revision."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cached_property

from sedgeshunt.configuration.objects import (
    ConfigurationObject,
    Group,
    Objective,
    Proxy,
    Route,
    Target,
)
from sedgeshunt.identifiers import GroupId, Revision, TargetId


@dataclass(frozen=True)
class Snapshot:
    """Hold one revision of the configuration, indexed for fast lookup."""

    revision: Revision = Revision(0)
    groups: dict[GroupId, Group] = field(default_factory=dict)
    targets: dict[TargetId, Target] = field(default_factory=dict)
    proxies: dict[str, Proxy] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    objectives: dict[str, Objective] = field(default_factory=dict)

    @cached_property
    def members(self) -> dict[GroupId, tuple[Target, ...]]:
        """Return the targets of each group, sorted by name."""
        members: dict[GroupId, list[Target]] = {}
        for name in sorted(self.targets):
            target = self.targets[name]
            members.setdefault(target.group, []).append(target)
        return {group: tuple(listed) for group, listed in members.items()}

    def list_targets(self, group: GroupId) -> list[Target]:
        """List the targets of one group, sorted by name."""
        return list(self.members.get(group, ()))

    def list_objects(self) -> Iterator[ConfigurationObject]:
        """Yield every object, ordered by kind."""
        yield from self.groups.values()
        yield from self.targets.values()
        yield from self.proxies.values()
        yield from self.routes.values()
        yield from self.objectives.values()
