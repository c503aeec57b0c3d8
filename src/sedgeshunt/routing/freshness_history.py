"""Prove the maximum age of a replica's data without asking the replica."""

from collections import deque

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Boottime, Seconds

# Minimum time between samples; more samples would hardly be more precise.
MIN_SAMPLE_INTERVAL = Seconds(0.05)
# Longest age that can be proven; older samples are dropped.
MAX_SAMPLE_AGE = Seconds(10)


class FreshnessHistory:
    """Log ends of the primary, each with the time it was requested."""

    # A log end of the primary covers all commits acknowledged before it was
    # requested. The data of a replica that has it is therefore no older than
    # the request. Of the samples that prove an age, the oldest is used, as the
    # most replicas have it.

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: deque[tuple[Boottime, Point]] = deque()

    @property
    def newest(self) -> Point | None:
        """Return the newest known log end."""
        return self._samples[-1][1] if self._samples else None

    def record(self, asked_at: Boottime, log_end: Point) -> None:
        """Record a log end and when it was requested."""
        samples = self._samples
        if samples and samples[-1][1].term > log_end.term:
            return
        # After a failover, the last commits of the former primary may have
        # been dropped, so that no replica would ever cover them.
        if samples and samples[-1][1].term < log_end.term:
            samples.clear()
        if samples and asked_at < samples[-1][0] + MIN_SAMPLE_INTERVAL:
            return
        if samples and log_end < samples[-1][1]:
            return
        samples.append((asked_at, log_end))
        while samples[0][0] < asked_at - MAX_SAMPLE_AGE:
            samples.popleft()

    def find_passed(self, point: Point) -> Boottime | None:
        """Return when the primary was first known to be past a point."""
        later = (
            asked_at for asked_at, log_end in self._samples if log_end > point
        )
        return next(later, None)

    def find_reached(self, point: Point) -> Boottime | None:
        """Return when the primary had a point at the earliest.

        That is the time of the newest sample if the point is newer; None
        without samples.
        """
        for asked_at, log_end in self._samples:
            if log_end >= point:
                return asked_at
        return self._samples[-1][0] if self._samples else None

    def find_covering(
        self,
        since: Boottime,
        after: Point | None = None,
    ) -> Point | None:
        """Return a log end that covers all commits before `since`.

        It also covers the session's commit `after`. Return None if no sample
        is recent enough.
        """
        newest = self.newest
        if newest is None:
            return None
        covering = next(
            (
                log_end
                for asked_at, log_end in self._samples
                if asked_at >= since
            ),
            None,
        )
        if covering is None or after is None:
            return covering
        # The log of the newest primary has all kept commits of earlier terms.
        if after.term < newest.term:
            return covering
        return max(covering, after)
