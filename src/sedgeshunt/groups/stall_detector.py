"""Notice a primary whose group no longer copies from it."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import Monotonic, Seconds, Term

# No progress for this long, with writes waiting to be copied, is a stall.
STALL_TIME = Seconds(1.5)
LONGEST_STALL_TIME = Seconds(24)
GROWTH = 2


class StallDetector:
    """Measure for how long nothing has become durable."""

    # A primary cut off from its group, but not from the proxies, answers
    # every poll and takes every write, of which none can be acknowledged:
    # without this watch it would stay primary for as long as the cut lasts.

    def __init__(self, view: GroupView) -> None:
        """Watch the group of `view`."""
        self._view = view
        self._seen: tuple[Term, Point | None] | None = None
        self._since = Monotonic(0)
        self._limit = STALL_TIME

    def find_stall(self) -> Monotonic | None:
        """Return since when the group stalls, None if it doesn't."""
        now = read_clock()
        durable = self._view.quorum.find_durable()
        seen = (self._view.newest_term, durable)
        is_paused = self._since < self._view.pauses.resumed_at
        if seen != self._seen or is_paused or self._is_durable(durable):
            self._note_term(seen[0])
            self._seen = seen
            self._since = now
        return self._since if now - self._since > self._limit else None

    def _note_term(self, term: Term) -> None:
        # A group that copies nothing from any primary would otherwise go
        # from one to the next without end, each proxy in its turn.
        if self._seen is not None and self._seen[0] != term:
            longer = Seconds(GROWTH * self._limit)
            self._limit = min(LONGEST_STALL_TIME, longer)

    def _is_durable(self, durable: Point | None) -> bool:
        leader = self._view.find_newest_primary()
        if leader is None:
            return True
        status = self._view.get_status(leader)
        if durable is None or status is None:
            return False
        if not status.log_end.is_covered_by(durable):
            return False
        self._limit = STALL_TIME
        return True
