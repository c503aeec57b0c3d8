"""Track the log positions that reads of a session must include."""

from collections.abc import Mapping

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import GroupId, Monotonic


class SessionState:
    """Hold the points of a session by group, ordered by last use."""

    def __init__(self, opened_at: Monotonic) -> None:
        """Start with a clock reading taken before the first statement."""
        self.opened_at = opened_at
        self._points: dict[GroupId, Point] = {}
        # Groups with a write of unknown outcome, and when that was reported.
        self._unknown_writes: dict[GroupId, Monotonic] = {}

    @property
    def points(self) -> Mapping[GroupId, Point]:
        """Return the points by group, the most recently used one last."""
        return self._points

    def note_write(self, group: GroupId, point: Point) -> None:
        """Require that later reads include an acknowledged write."""
        self._advance(group, point)

    def note_unknown_write(self, group: GroupId, now: Monotonic) -> None:
        """Require a new barrier after a write of unknown outcome."""
        # The caller is asked to check with a read. A lagging replica would
        # return the state before the write, and the caller would write again.
        self._unknown_writes[group] = now

    def merge_points(self, points: Mapping[GroupId, Point]) -> None:
        """Add the points of a verified token."""
        for group, point in points.items():
            self._advance(group, point)

    def get_required_point(self, group: GroupId) -> Point | None:
        """Return the point that a read of the group must cover."""
        return self._points.get(group)

    def needs_barrier(self, group: GroupId) -> bool:
        """Return whether reads of the group must first wait for a watermark."""
        # True also for a group missing from the token: it may have been omitted
        # for size, or written before the first token was issued.
        return group not in self._points or group in self._unknown_writes

    def get_barrier_start(self, group: GroupId) -> Monotonic:
        """Return the time after which the watermark must be taken."""
        return self._unknown_writes.get(group, self.opened_at)

    def complete_barrier(self, group: GroupId, point: Point) -> None:
        """Use the watermark as the point of the group."""
        self._unknown_writes.pop(group, None)
        self._advance(group, point)

    def _advance(self, group: GroupId, point: Point) -> None:
        # Removed and inserted again to keep the order of last use.
        known = self._points.pop(group, point)
        self._points[group] = max(known, point)
