"""Keep the latest answer of each member of a group."""

from collections.abc import Sequence

from sedgeshunt.clocks import PauseWatch, read_clock
from sedgeshunt.groups.invariants import (
    AnswerOrder,
    Violation,
    classify_answer,
    find_regression,
)
from sedgeshunt.groups.liveness import TargetLiveness
from sedgeshunt.groups.quorum import count_majority
from sedgeshunt.groups.status import Observation, TargetStatus
from sedgeshunt.identifiers import Monotonic, TargetId


class MemberStates:
    """Hold answer and liveness of each member, refusing what lost data."""

    def __init__(self, pauses: PauseWatch) -> None:
        """Start without members."""
        self.majority = 1
        self._pauses = pauses
        self._liveness: dict[TargetId, TargetLiveness] = {}
        self._latest: dict[TargetId, Observation] = {}
        self._barred: set[TargetId] = set()

    def __contains__(self, target: TargetId) -> bool:
        """Tell whether `target` is a member."""
        return target in self._liveness

    def set_members(self, targets: Sequence[TargetId]) -> None:
        """Keep what is known of `targets` and forget the others."""
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
        self._barred.intersection_update(targets)

    def record(self, observation: Observation) -> Violation | None:
        """Take in an answer unless it is late; return what it breaks."""
        target = observation.status.target
        self._liveness[target].hear(observation, self._pauses.resumed_at)
        earlier = self._latest.get(target)
        if earlier is None:
            self._latest[target] = observation
            return None
        succession = classify_answer(earlier, observation)
        if succession is AnswerOrder.NEXT:
            self._latest[target] = observation
            self._barred.discard(target)
        if succession is not AnswerOrder.BROKEN or target in self._barred:
            return None
        # Barred until it shows again all that it has shown before: copied
        # anew from the primary, the log is as good as it was.
        self._barred.add(target)
        return find_regression(earlier.status, observation.status)

    def record_disconnect(self, target: TargetId, refused: bool) -> None:
        """Take in that the link to `target` broke or was refused."""
        liveness = self._liveness.get(target)
        if liveness is not None:
            liveness.record_disconnect(
                read_clock(), self._pauses.resumed_at, refused
            )

    def get_status(self, target: TargetId) -> TargetStatus | None:
        """Return the latest answer of `target`, unless it lost data."""
        observation = self._latest.get(target)
        if observation is None or target in self._barred:
            return None
        return observation.status

    def get_observation(self, target: TargetId) -> Observation | None:
        """Return the latest answer with its readings, as get_status does."""
        return None if target in self._barred else self._latest.get(target)

    def find_liveness(self, target: TargetId) -> TargetLiveness:
        """Return the evidence that `target` runs, empty for strangers."""
        return self._liveness.get(target) or TargetLiveness()

    def list_members(self) -> list[TargetId]:
        """List the names of all members."""
        return list(self._liveness)

    def list_observations(self) -> list[Observation]:
        """List the latest answers that count."""
        if not self._barred:
            return list(self._latest.values())
        return [
            observation
            for target, observation in self._latest.items()
            if target not in self._barred
        ]

    def list_responsive(self, now: Monotonic) -> list[TargetId]:
        """List the members that are linked and not suspected."""
        return [
            target
            for target, liveness in self._liveness.items()
            if liveness.is_responsive(now) and target not in self._barred
        ]
