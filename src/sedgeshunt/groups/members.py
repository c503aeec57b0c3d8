"""Track the latest answer of each member of a group."""

from collections.abc import Sequence

from sedgeshunt.clocks import PauseWatch, read_clock
from sedgeshunt.groups.invariants import (
    AnswerRelation,
    Violation,
    classify_answer,
    find_regression,
)
from sedgeshunt.groups.liveness import TargetLiveness
from sedgeshunt.groups.quorum import count_majority
from sedgeshunt.groups.status import Observation, TargetStatus
from sedgeshunt.identifiers import Monotonic, TargetId


class MemberStates:
    """Latest answer and liveness of each member, except if it lost data."""

    def __init__(self, pauses: PauseWatch) -> None:
        """Start without members."""
        self.majority = 1
        self._pauses = pauses
        self._liveness: dict[TargetId, TargetLiveness] = {}
        self._latest: dict[TargetId, Observation] = {}
        self._excluded: set[TargetId] = set()

    def __contains__(self, target: TargetId) -> bool:
        """Return whether `target` is a member."""
        return target in self._liveness

    def set_members(self, targets: Sequence[TargetId]) -> None:
        """Set the members, keeping the state of those that remain."""
        self.majority = count_majority(len(targets))
        self._liveness = {
            target: self._liveness.get(target) or TargetLiveness()
            for target in targets
        }
        self._latest = {
            target: observation
            for target, observation in self._latest.items()
            if target in self._liveness
        }
        self._excluded.intersection_update(targets)

    def record(self, observation: Observation) -> Violation | None:
        """Record an answer unless it is outdated; return a broken invariant."""
        target = observation.status.target
        self._liveness[target].record_answer(
            observation,
            self._pauses.resumed_at,
        )
        earlier = self._latest.get(target)
        if earlier is None:
            self._latest[target] = observation
            return None
        relation = classify_answer(earlier, observation)
        if relation is AnswerRelation.NEXT:
            self._latest[target] = observation
            self._excluded.discard(target)
        if relation is not AnswerRelation.BROKEN or target in self._excluded:
            return None
        # Excluded until its answers reach its last recorded one again. Once
        # copied from the primary, the log is complete again.
        self._excluded.add(target)
        return find_regression(earlier.status, observation.status)

    def record_disconnect(self, target: TargetId, refused: bool) -> None:
        """Record that the connection to `target` was lost or refused."""
        liveness = self._liveness.get(target)
        if liveness is not None:
            liveness.record_disconnect(
                read_clock(),
                self._pauses.resumed_at,
                refused,
            )

    def get_status(self, target: TargetId) -> TargetStatus | None:
        """Return the latest answer of `target`, unless it lost data."""
        observation = self._latest.get(target)
        if observation is None or target in self._excluded:
            return None
        return observation.status

    def get_observation(self, target: TargetId) -> Observation | None:
        """Return the latest answer with its times, as get_status does."""
        return None if target in self._excluded else self._latest.get(target)

    def find_liveness(self, target: TargetId) -> TargetLiveness:
        """Return the liveness of `target`, an empty one for a non-member."""
        return self._liveness.get(target) or TargetLiveness()

    def list_members(self) -> list[TargetId]:
        """Return the names of all members."""
        return list(self._liveness)

    def list_observations(self) -> list[Observation]:
        """Return the latest answers, without those of excluded members."""
        if not self._excluded:
            return list(self._latest.values())
        return [
            observation
            for target, observation in self._latest.items()
            if target not in self._excluded
        ]

    def list_responsive(self, now: Monotonic) -> list[TargetId]:
        """Return the members that are connected and not suspected."""
        return [
            target
            for target, liveness in self._liveness.items()
            if liveness.is_responsive(now) and target not in self._excluded
        ]
