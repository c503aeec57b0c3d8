"""Estimate when a replica will have caught up with a log position."""

from collections import deque
from collections.abc import Callable, Iterable

from sedgeshunt.clocks import read_clock
from sedgeshunt.groups.points import ORIGIN, Point
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId
from sedgeshunt.limits.average import MovingAverage
from sedgeshunt.routing.views import WatchableView

# Waiting for a replica may take this much longer than waiting for the primary,
# to keep reads off the primary.
MAX_EXTRA_WAIT = Seconds(0.02)
# Share of the time until the deadline that may be spent on waiting.
MAX_SHARE_OF_TIME_LEFT = 0.25
INITIAL_LAG = Seconds(0.02)
MIN_LAG = Seconds(0.002)
AVERAGE_WEIGHT = 0.1
# The estimated lag is the average plus this many mean deviations.
LAG_DEVIATIONS = 2
MAX_POINTS = 256
UPDATE_INTERVAL = Seconds(1)

ListTargets = Callable[[], Iterable[TargetId]]


class CatchUpEstimator:
    """Track how long the replicas of one group take to apply records."""

    def __init__(self, max_extra_wait: Seconds = MAX_EXTRA_WAIT) -> None:
        """Start without measured lags."""
        self._max_extra_wait = max_extra_wait
        # Highest points of the group, each with the time it was first seen.
        self._first_seen: deque[tuple[Point, Monotonic]] = deque(
            maxlen=MAX_POINTS,
        )
        self._ends: dict[TargetId, Point] = {}
        self._lags: dict[TargetId, MovingAverage] = {}

    async def track(
        self,
        view: WatchableView,
        list_targets: ListTargets,
    ) -> None:
        """Update the estimates from `view` until cancelled."""
        while True:
            now = read_clock()
            targets = set(list_targets())
            self._retain_only(targets)
            for target in targets:
                status = view.get_status(target)
                if status is not None:
                    self.record_log_end(target, status.log_end, now)
            await view.wait_change(Monotonic(now + UPDATE_INTERVAL))

    def record_log_end(
        self,
        target: TargetId,
        log_end: Point,
        now: Monotonic,
    ) -> None:
        """Record the log end of a target."""
        earlier = self._ends.get(target)
        self._ends[target] = log_end
        if not self._first_seen or log_end > self._first_seen[-1][0]:
            self._first_seen.append((log_end, now))
        if earlier is not None and earlier < log_end:
            self._record_lags(target, earlier, log_end, now)

    def estimate_wait(
        self,
        target: TargetId,
        point: Point | None,
        now: Monotonic,
    ) -> Seconds | None:
        """Return how long until `target` covers `point`, None if it is stuck.

        Without a point, or if the target covers it, return the time until the
        target covers the next point that it lacks.
        """
        lag = self._get_lag(target)
        since = self._find_missing_since(target, point, now)
        waited = now - since
        if waited <= lag:
            return Seconds(lag - waited)
        # A replica that is overdue by up to its usual lag may still catch up
        # soon. One that is overdue by more is considered stuck.
        return lag if waited <= 2 * lag else None

    def choose_wait(
        self,
        target: TargetId,
        point: Point | None,
        now: Monotonic,
        deadline: Monotonic,
        primary_wait: Seconds | None,
    ) -> Seconds | None:
        """Return how long to wait for `target`, None to use another target.

        `primary_wait` is None if the primary can't serve the read.
        """
        expected = self.estimate_wait(target, point, now)
        if expected is None:
            return None
        longest = (deadline - now) * MAX_SHARE_OF_TIME_LEFT
        if primary_wait is not None:
            longest = min(longest, primary_wait + self._max_extra_wait)
        return Seconds(longest) if expected <= longest else None

    def _record_lags(
        self,
        target: TargetId,
        earlier: Point,
        log_end: Point,
        now: Monotonic,
    ) -> None:
        lags = self._lags.setdefault(target, MovingAverage(AVERAGE_WEIGHT))
        for point, since in reversed(self._first_seen):
            if point <= earlier:
                break
            if point <= log_end:
                lags.add(now - since)

    def _find_missing_since(
        self,
        target: TargetId,
        point: Point | None,
        now: Monotonic,
    ) -> Monotonic:
        end = self._ends.get(target, ORIGIN)
        if point is not None and end < point:
            return self._find_first_seen(point, now)
        missing_since = now
        for seen, since in reversed(self._first_seen):
            if seen <= end:
                break
            missing_since = since
        return missing_since

    def _find_first_seen(self, point: Point, now: Monotonic) -> Monotonic:
        # Stays at `now` for a point that was written through another proxy and
        # that no target has reported yet.
        first_seen = now
        for seen, since in reversed(self._first_seen):
            if seen < point:
                break
            first_seen = since
        return first_seen

    def _get_lag(self, target: TargetId) -> Seconds:
        lag = self._lags.get(target)
        if lag is None or not lag.samples:
            return INITIAL_LAG
        spread = LAG_DEVIATIONS * lag.deviation
        return Seconds(max(MIN_LAG, lag.value + spread))

    def _retain_only(self, targets: set[TargetId]) -> None:
        for name in set(self._ends) - targets:
            self._ends.pop(name)
            self._lags.pop(name, None)
