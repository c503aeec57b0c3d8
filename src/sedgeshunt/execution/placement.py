"""Order the replicas for a read by when they are expected to answer."""

from collections.abc import Callable, Iterable
from operator import itemgetter
from typing import TypeVar

from msgspec import Struct

from sedgeshunt.identifiers import Seconds

# Delay that a read accepts to stay in its zone, as a share of the time left to
# its objective. Targets refuse a statement that would wait for half of that
# time, so the read spills over to another zone shortly before.
CROSS_ZONE_SHARE = 0.4
# Weight of one arrival in a replica's saturation: some 50 arrivals count.
SATURATION_WEIGHT = 0.02
# A replica is saturated if this share of the reads finds no free slot there. A
# queue forms for fewer of them in bursts, which the zone can serve in time.
SATURATED_SHARE = 0.5

Place = TypeVar('Place')


class PlacementEstimate(Struct, frozen=True):
    """Hold what is expected of a read at one replica."""

    # Expected time in the queue.
    wait: Seconds
    # Average time from sending a statement to its answer, which includes the
    # round trip.
    service_time: Seconds
    # The replica is in the zone of the reader.
    is_near: bool
    # The replica is known to have the point that the read requires.
    has_point: bool
    # Share of recent reads that found no free slot.
    saturation: float = 0

    @property
    def finish(self) -> Seconds:
        """Return the expected time to the answer."""
        return Seconds(self.wait + self.service_time)


def rank_places(
    places: Iterable[Place],
    estimate: Callable[[Place], PlacementEstimate],
    objective_left: Seconds,
) -> list[Place]:
    """Order places for a read with `objective_left` left, best first.

    Load: zones whose demand is out of phase. The own zone serves a read while
    it is in time there, as traffic between zones is expensive.
    """
    estimated = [(estimate(place), place) for place in places]
    saturation = min(
        (known.saturation for known, _ in estimated if known.is_near),
        default=0,
    )
    ranked = [
        (_weigh(known, objective_left, saturation), place)
        for known, place in estimated
    ]
    ranked.sort(key=itemgetter(0))
    return [place for _, place in ranked]


def _weigh(
    estimate: PlacementEstimate,
    objective_left: Seconds,
    near_saturation: float,
) -> tuple[bool, float]:
    left = max(0, objective_left)
    penalty: float = 0
    if not estimate.is_near:
        # A queue that stands in the own zone saves no traffic: what arrives
        # beyond the zone's capacity leaves it in any case. It leaves early if
        # the other zone has free slots.
        saturated = min(1, near_saturation / SATURATED_SHARE)
        excess = saturated * (1 - estimate.saturation)
        penalty = left * CROSS_ZONE_SHARE * (1 - excess)
    # A replica that was not asked lately may have the point as well. If it has
    # not, its refusal takes as long as an answer at most.
    doubt = 0 if estimate.has_point else estimate.service_time
    return (
        estimate.finish > left,
        estimate.finish + penalty + doubt,
    )
