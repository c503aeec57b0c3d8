"""Share state among the target monitors of one group."""

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
    """Collaborators that the target monitors of one group share."""

    connector: TargetConnector
    view: GroupView
    repair: ReplicaRepair
    decisions: DecisionLog

    def record(self, observation: Observation) -> None:
        """Record an answer in the view and log invariants that it breaks."""
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
