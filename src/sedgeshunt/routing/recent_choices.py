"""Remember for a moment which replica a route's last read was given."""

from msgspec import Struct

from sedgeshunt.identifiers import (
    Monotonic,
    Seconds,
    TargetId,
    TrafficClass,
)
from sedgeshunt.routing.choice import Ranking

# Long enough for the reads of a burst, short enough that a nearer, fresher
# or idler replica is soon found again.
REMEMBERED_FOR = Seconds(0.01)


class _Choice(Struct, frozen=True):
    target: TargetId
    until: Monotonic


class RecentChoices:
    """Hold the latest choice of each traffic class."""

    # Ranking all targets for each read costs more than the rest of its
    # routing. The choice of a moment ago is as good while that replica has
    # room and covers what this read needs, which the caller checks anew.

    def __init__(self) -> None:
        """Remember nothing yet."""
        self._choices: dict[TrafficClass, _Choice] = {}

    def record(
        self,
        traffic_class: TrafficClass,
        ranking: Ranking,
        now: Monotonic,
    ) -> None:
        """Remember the first of a ranking if it is an ordinary replica."""
        if (
            ranking.catch_up_candidate is not None
            or not ranking.is_replica_first
        ):
            self._choices.pop(traffic_class, None)
            return
        until = Monotonic(now + REMEMBERED_FOR)
        self._choices[traffic_class] = _Choice(ranking.eligible[0], until)

    def find(
        self,
        traffic_class: TrafficClass,
        now: Monotonic,
    ) -> TargetId | None:
        """Return the remembered replica while it counts."""
        choice = self._choices.get(traffic_class)
        if choice is None or now >= choice.until:
            return None
        return choice.target
