"""Hold what all that looks after primaries in one proxy shares."""

from abc import ABC, abstractmethod

from msgspec import Struct

from sedgeshunt.connections.target_session import TargetSessionConnector
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.execution.replacement import PrimaryReplacement
from sedgeshunt.identifiers import GroupId, ProxyId, TargetId
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.registry.configuration import LiveConfiguration


class PeerQueries(ABC):
    """Ask peers about what can't be reached from here."""

    @abstractmethod
    async def find_reaching(
        self,
        group: GroupId,
        target: TargetId,
    ) -> ProxyId | None:
        """Return a peer that reaches a target that leads; None for none."""

    @abstractmethod
    def find_heir(self, group: GroupId) -> ProxyId | None:
        """Return the best candidate that reaches the store, None for none."""


class PrimaryContext(Struct, frozen=True):
    """Hold what all keepers of one proxy share."""

    configuration: LiveConfiguration
    connector: TargetSessionConnector
    replacement: PrimaryReplacement
    records: GroupRecords
    peers: PeerQueries
    decisions: DecisionLog

    def tell(
        self,
        kind: DecisionKind,
        reign: GroupOwnership,
        target: TargetId,
        **reasons: object,
    ) -> None:
        """Take down a decision about a group's primary."""
        said = {name: str(reason) for name, reason in reasons.items()}
        said['token'] = str(reign.token)
        self.decisions.record(Decision(kind, reign.group, target, said))
