"""Forecast when a replica will have a point of its group's log."""

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Boottime, Seconds
from sedgeshunt.routing.freshness_history import FreshnessHistory

# How often a replica that is predicted to lack a point is asked anyway. Each of
# some nine readers asks for itself, and the attempts add up. A replica that
# caught up earlier than predicted is used again after this time.
PROBE_INTERVAL = Seconds(1)
# How long a replica is taken to lack a point that it refused a read for, where
# the lag seemed shorter: between two log ends of the primary it is not known.
REFUSAL_HOLD = Seconds(0.1)


class LagForecast:
    """Predict a replica's log end by its lag behind the primary's."""

    # Load: replicas that stay behind the accepted age of all reads. Each
    # refusal costs a round trip, often between zones, and a slot. The target
    # still checks each read, so a wrong forecast only costs an attempt.

    def __init__(self, freshness: FreshnessHistory) -> None:
        """Compare with the primary's log ends in `freshness`."""
        self._freshness = freshness
        # Least lag that the latest answer proves, None before the first one.
        self._lag: Seconds | None = None
        self._refused: Point | None = None
        self._refused_until = Boottime(0)
        self._probed_at: Boottime | None = None

    def record(self, point: Point, now: Boottime) -> None:
        """Record the log end in an answer of the replica."""
        # When the primary had more than that, as far as is known. The lag is
        # longer by a sample's interval at most.
        passed_at = self._freshness.find_passed(point)
        self._lag = Seconds(0 if passed_at is None else now - passed_at)

    def record_refusal(self, required: Point, now: Boottime) -> None:
        """Record that the replica lacked a required point."""
        self._refused = required
        self._refused_until = Boottime(now + REFUSAL_HOLD)

    def predict(self, point: Point) -> Boottime | None:
        """Return when the replica will have a point at the earliest.

        Return None without an answer to predict from.
        """
        reached_at = self._freshness.find_reached(point)
        if self._lag is None or reached_at is None:
            return None
        predicted = reached_at + self._lag
        if self._refused is not None and point >= self._refused:
            predicted = max(predicted, self._refused_until)
        return Boottime(predicted)

    def may_ask(self, point: Point, now: Boottime) -> bool:
        """Return whether to ask the replica, as it has a point or to probe."""
        since = self._probed_at
        if since is None or now - since >= PROBE_INTERVAL:
            return True
        predicted = self.predict(point)
        return predicted is None or predicted <= now

    def note_request(self, point: Point, now: Boottime) -> None:
        """Record that the replica is asked for a point."""
        predicted = self.predict(point)
        if predicted is not None and predicted > now:
            self._probed_at = now
