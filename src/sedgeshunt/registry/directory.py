"""Put together what is declared and what the targets say of themselves."""

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
    """Hold a target with what it says of itself."""

    target: Target
    # Statements that it runs at once.
    slots: int
    # It believes that it leads its group.
    is_primary: bool
    # Started again, it holds nothing of what it held before.
    life: TargetLife = TargetLife(0)


class DeclaredConfiguration(Struct, frozen=True):
    """Hold one version of the operator's groups and routes."""

    version: int = 0
    groups: dict[GroupId, Group] = field(default_factory=dict)
    routes: dict[TrafficClass, Route] = field(default_factory=dict)
    # None where nothing is said of customers: anybody may call.
    customers: CustomerDirectory | None = None


class PlatformDocuments(ABC):
    """Read what the operator and the targets write."""

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
    """Return where the targets of a group keep their logs."""
    # A target that is replaced hands its log to the next one at its address.
    return frozenset(
        CopyPlace(f'{known.target.host}:{known.target.port}')
        for known in members.targets
    )
