"""Estimate when a replica will have caught up with a point."""

from collections import deque
from collections.abc import Callable, Iterable

from sedgeshunt.clocks import read_clock
from sedgeshunt.groups.points import ORIGIN, Point
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId
from sedgeshunt.limits.average import MovingAverage
from sedgeshunt.routing.views import WatchableView

# Longer waits than the primary's are accepted up to this much, to keep the
# read off the primary.
PATIENCE = Seconds(0.02)
# The share of the time left that may be spent on waiting.
SHARE_OF_TIME_LEFT = 0.25
FIRST_GUESS = Seconds(0.02)
SHORTEST_LAG = Seconds(0.002)
WEIGHT = 0.1
# The lag is taken as the average and this many mean deviations.
DEVIATIONS = 2
KEPT_POINTS = 256
WATCH_EVERY = Seconds(1)

ListTargets = Callable[[], Iterable[TargetId]]


class CatchUpEstimator:
    """Follow how long the replicas of one group take to apply records."""

    def __init__(self, patience: Seconds = PATIENCE) -> None:
        """Know no lag yet."""
        self._patience = patience
        # New highest points of the group and when each was first seen.
        self._seen: deque[tuple[Point, Monotonic]] = deque(maxlen=KEPT_POINTS)
        self._ends: dict[TargetId, Point] = {}
        self._lags: dict[TargetId, MovingAverage] = {}

    async def track(
        self,
        view: WatchableView,
        list_targets: ListTargets,
    ) -> None:
        """Follow the group until cancelled."""
        while True:
            now = read_clock()
            targets = set(list_targets())
            self._keep_only(targets)
            for target in targets:
                status = view.get_status(target)
                if status is not None:
                    self.record_log_end(target, status.log_end, now)
            await view.wait_change(Monotonic(now + WATCH_EVERY))

    def record_log_end(
        self,
        target: TargetId,
        log_end: Point,
        now: Monotonic,
    ) -> None:
        """Take in how far one target's log reaches."""
        earlier = self._ends.get(target)
        self._ends[target] = log_end
        if not self._seen or log_end > self._seen[-1][0]:
            self._seen.append((log_end, now))
        if earlier is not None and earlier < log_end:
            self._note_lags(target, earlier, log_end, now)

    def estimate_wait(
        self,
        target: TargetId,
        point: Point | None,
        now: Monotonic,
    ) -> Seconds | None:
        """Return when `target` will cover `point`, None if it seems stuck.

        With no point, or one that it has, tell it of the next it lacks.
        """
        lag = self._get_lag(target)
        since = self._find_missing_since(target, point, now)
        waited = now - since
        if waited <= lag:
            return Seconds(lag - waited)
        # Overdue: a replica that is late by once its usual lag may come any
        # moment, a later one follows no usual lag at all.
        return lag if waited <= 2 * lag else None

    def choose_wait(
        self,
        target: TargetId,
        point: Point | None,
        now: Monotonic,
        deadline: Monotonic,
        primary_wait: Seconds | None,
    ) -> Seconds | None:
        """Return how long to wait for `target`, None to go elsewhere.

        `primary_wait` is None when the primary cannot serve.
        """
        expected = self.estimate_wait(target, point, now)
        if expected is None:
            return None
        longest = (deadline - now) * SHARE_OF_TIME_LEFT
        if primary_wait is not None:
            longest = min(longest, primary_wait + self._patience)
        return Seconds(longest) if expected <= longest else None

    def _note_lags(
        self,
        target: TargetId,
        earlier: Point,
        log_end: Point,
        now: Monotonic,
    ) -> None:
        lags = self._lags.setdefault(target, MovingAverage(WEIGHT))
        for point, since in reversed(self._seen):
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
        for seen, since in reversed(self._seen):
            if seen <= end:
                break
            missing_since = since
        return missing_since

    def _find_first_seen(self, point: Point, now: Monotonic) -> Monotonic:
        # Stays at `now` for a point written through another proxy, of which
        # no target was heard yet.
        first_seen = now
        for seen, since in reversed(self._seen):
            if seen < point:
                break
            first_seen = since
        return first_seen

    def _get_lag(self, target: TargetId) -> Seconds:
        lag = self._lags.get(target)
        if lag is None or not lag.samples:
            return FIRST_GUESS
        spread = DEVIATIONS * lag.deviation
        return Seconds(max(SHORTEST_LAG, lag.value + spread))

    def _keep_only(self, targets: set[TargetId]) -> None:
        for name in set(self._ends) - targets:
            self._ends.pop(name)
            self._lags.pop(name, None)
