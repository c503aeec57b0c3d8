"""Hold the declared configuration and the entries of the targets."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from msgspec import Struct, field

from sedgeshunt.configuration.objects import Group, Route, Target
from sedgeshunt.customers.directory import CustomerDirectory
from sedgeshunt.identifiers import (
    CopyPlace,
    GroupId,
    TargetId,
    TargetLife,
    TrafficClass,
)
from sedgeshunt.ports import KeyValue


class KnownTarget(Struct, frozen=True):
    """Hold a target with what its entry reports."""

    target: Target
    # Number of statements that it runs concurrently.
    slots: int
    # It reports to be the primary of its group.
    is_primary: bool
    # Changes when the target restarts without its earlier data.
    life: TargetLife = TargetLife(0)


class DeclaredConfiguration(Struct, frozen=True):
    """Hold one version of the operator's groups, routes and customers."""

    version: int = 0
    groups: dict[GroupId, Group] = field(default_factory=dict)
    routes: dict[TrafficClass, Route] = field(default_factory=dict)
    # None if no customers are declared: then anybody may call.
    customers: CustomerDirectory | None = None


class PlatformDocuments(ABC):
    """Read the documents of the operator and of the targets."""

    @property
    @abstractmethod
    def configuration_key(self) -> str:
        """Return the key of the operator's document."""

    @property
    @abstractmethod
    def targets_prefix(self) -> str:
        """Return the prefix of the targets' documents."""

    @abstractmethod
    def read_declared(self, pair: KeyValue) -> DeclaredConfiguration:
        """Read the operator's document; raise DocumentUnreadable."""

    @abstractmethod
    def read_target(self, pair: KeyValue) -> KnownTarget:
        """Read a target's document; raise DocumentUnreadable."""


class GroupMembers(Struct, frozen=True):
    """Hold a group with its targets."""

    group: Group
    targets: Sequence[KnownTarget]

    def find(self, target: TargetId) -> KnownTarget | None:
        """Return one target, None if it is not listed."""
        for known in self.targets:
            if known.target.name == target:
                return known
        return None


def list_places(members: GroupMembers) -> frozenset[CopyPlace]:
    """Return the places where the targets of a group keep their logs."""
    # A log belongs to an address: the replacement of a target at its address
    # takes over its log.
    return frozenset(
        CopyPlace(f'{known.target.host}:{known.target.port}')
        for known in members.targets
    )
