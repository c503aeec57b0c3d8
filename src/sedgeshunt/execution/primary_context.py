"""Hold the dependencies that the primary managers of one proxy share."""

from abc import ABC, abstractmethod

from msgspec import Struct

from sedgeshunt.connections.target_session import TargetSessionConnector
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.execution.primary_lines import PrimaryLines
from sedgeshunt.execution.replacement import PrimaryReplacement
from sedgeshunt.identifiers import GroupId, ProxyId, TargetId
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.registry.configuration import LiveConfiguration


class NextOwnerFinder(ABC):
    """Find a peer that can own a group in place of this proxy."""

    @abstractmethod
    async def find_peer_reaching(
        self,
        group: GroupId,
        target: TargetId,
    ) -> ProxyId | None:
        """Return a peer that reaches the primary `target`, None if none."""

    @abstractmethod
    def find_next_owner(self, group: GroupId) -> ProxyId | None:
        """Return the best candidate that reaches the store, None if none."""


class PrimaryContext(Struct, frozen=True):
    """Hold the dependencies shared by all primary managers."""

    configuration: LiveConfiguration
    connector: TargetSessionConnector
    replacement: PrimaryReplacement
    records: GroupRecords
    peers: NextOwnerFinder
    decisions: DecisionLog
    lines: PrimaryLines

    def record_decision(
        self,
        kind: DecisionKind,
        ownership: GroupOwnership,
        target: TargetId,
        **reasons: object,
    ) -> None:
        """Record a decision about a group's primary."""
        details = {name: str(reason) for name, reason in reasons.items()}
        details['token'] = str(ownership.token)
        self.decisions.record(Decision(kind, ownership.group, target, details))
