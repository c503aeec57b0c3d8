"""Hold one revision of everything that operators declared."""

from dataclasses import dataclass, field

from sedgeshunt.configuration.objects import (
    Group,
    Objective,
    Proxy,
    Route,
    Target,
)
from sedgeshunt.identifiers import GroupId, Revision, TargetId


@dataclass(frozen=True)
class Snapshot:
    """Hold one revision of the configuration, indexed for the hot path."""

    revision: Revision = Revision(0)
    groups: dict[GroupId, Group] = field(default_factory=dict)
    targets: dict[TargetId, Target] = field(default_factory=dict)
    proxies: dict[str, Proxy] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    objectives: dict[str, Objective] = field(default_factory=dict)

    def list_targets(self, group: GroupId) -> list[Target]:
        """List the targets of one group in the order of their names."""
        members = [
            target for target in self.targets.values() if target.group == group
        ]
        return sorted(members, key=lambda target: target.name)
