"""Cache the replica chosen for the latest read of each traffic class."""

from msgspec import Struct

from sedgeshunt.identifiers import (
    Monotonic,
    Seconds,
    TargetId,
    TrafficClass,
)
from sedgeshunt.routing.choice import Ranking

# Long enough for the reads of a burst, short enough that a closer, fresher or
# less busy replica is soon chosen.
MAX_CHOICE_AGE = Seconds(0.01)


class _Choice(Struct, frozen=True):
    target: TargetId
    until: Monotonic


class RecentChoices:
    """The latest choice of each traffic class."""

    # Ranking all targets for each read costs more than the rest of its
    # routing. A recent choice is as good while the replica has capacity and
    # covers the needs of the read, both of which the calling code checks.

    def __init__(self) -> None:
        """Start without choices."""
        self._choices: dict[TrafficClass, _Choice] = {}

    def record(
        self,
        traffic_class: TrafficClass,
        ranking: Ranking,
        now: Monotonic,
    ) -> None:
        """Record the first target of a ranking if it is a healthy replica."""
        if (
            ranking.catch_up_candidate is not None
            or not ranking.is_replica_first
        ):
            self._choices.pop(traffic_class, None)
            return
        until = Monotonic(now + MAX_CHOICE_AGE)
        self._choices[traffic_class] = _Choice(ranking.eligible[0], until)

    def find(
        self,
        traffic_class: TrafficClass,
        now: Monotonic,
    ) -> TargetId | None:
        """Return the replica chosen last, None if the choice is too old."""
        choice = self._choices.get(traffic_class)
        if choice is None or now >= choice.until:
            return None
        return choice.target
