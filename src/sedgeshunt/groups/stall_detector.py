"""Detect a primary whose group no longer replicates from it."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import Monotonic, Seconds, Term

# A stall is no progress for this long while records wait to be replicated.
STALL_TIME = Seconds(1.5)
MAX_STALL_TIME = Seconds(24)
GROWTH_FACTOR = 2


class StallDetector:
    """Measure for how long no record has become durable."""

    # A primary partitioned from its group but not from the proxies answers
    # polls and takes writes, none of which can be acknowledged. Without this
    # check it would stay primary until the partition ends.

    def __init__(self, view: GroupView) -> None:
        """Observe the group of `view`."""
        self._view = view
        self._seen: tuple[Term, Point | None] | None = None
        self._since = Monotonic(0)
        self._limit = STALL_TIME

    def find_stall(self) -> Monotonic | None:
        """Return since when the group is stalled, None if it isn't."""
        now = read_clock()
        durable = self._view.quorum.find_durable()
        seen = (self._view.newest_term, durable)
        is_paused = self._since < self._view.pauses.resumed_at
        if seen != self._seen or is_paused or self._is_durable(durable):
            self._extend_limit(seen[0])
            self._seen = seen
            self._since = now
        return self._since if now - self._since > self._limit else None

    def _extend_limit(self, term: Term) -> None:
        # If the group replicates from no primary at all, the growing limit
        # keeps the proxies from replacing one primary after the other.
        if self._seen is not None and self._seen[0] != term:
            longer = Seconds(GROWTH_FACTOR * self._limit)
            self._limit = min(MAX_STALL_TIME, longer)

    def _is_durable(self, durable: Point | None) -> bool:
        primary = self._view.find_newest_primary()
        if primary is None:
            return True
        status = self._view.get_status(primary)
        if durable is None or status is None:
            return False
        if not status.log_end.is_covered_by(durable):
            return False
        self._limit = STALL_TIME
        return True
