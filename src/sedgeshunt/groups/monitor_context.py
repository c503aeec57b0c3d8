"""Share what the links of one group need."""

from collections.abc import Mapping
from dataclasses import dataclass

from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.groups.repair import ReplicaRepair
from sedgeshunt.groups.status import Observation
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import TargetId
from sedgeshunt.ports import TargetConnector


@dataclass(frozen=True, slots=True)
class MonitorContext:
    """Hold what the links of one group share."""

    connector: TargetConnector
    view: GroupView
    repair: ReplicaRepair
    decisions: DecisionLog

    def record(self, observation: Observation) -> None:
        """Hand an answer to the view and report what it breaks."""
        self.view.record(observation)
        for violation in self.view.take_violations():
            self.decide(
                DecisionKind.INVARIANT_BROKEN,
                violation.target,
                {
                    'invariant': violation.invariant.value,
                    'detail': violation.detail,
                },
            )

    def decide(
        self,
        kind: DecisionKind,
        target: TargetId,
        reasons: Mapping[str, str],
    ) -> None:
        """Record a decision about one target."""
        self.decisions.record(
            Decision(kind, self.view.group, target, reasons),
        )
