"""Keep what one caller's session has to see in its next read."""

from collections.abc import Mapping

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import GroupId, Monotonic


class SessionState:
    """Hold a session's points, ordered by their last use."""

    def __init__(self, opened_at: Monotonic) -> None:
        """Open at a reading taken before the first statement came."""
        self.opened_at = opened_at
        self._points: dict[GroupId, Point] = {}
        # Groups with a write of unknown outcome, and when that was known.
        self._unsure: dict[GroupId, Monotonic] = {}

    @property
    def points(self) -> Mapping[GroupId, Point]:
        """Return the points, the latest used last."""
        return self._points

    def note_write(self, group: GroupId, point: Point) -> None:
        """Demand that later reads see an acknowledged write."""
        self._advance(group, point)

    def note_unknown_write(self, group: GroupId, now: Monotonic) -> None:
        """Demand a new barrier after a write whose outcome is unknown."""
        # The caller is told to look with a read. A replica that lags would
        # show it the state before its write, and it would write again.
        self._unsure[group] = now

    def merge_points(self, points: Mapping[GroupId, Point]) -> None:
        """Take in the points of a verified token."""
        for group, point in points.items():
            self._advance(group, point)

    def get_required_point(self, group: GroupId) -> Point | None:
        """Return the point that a read has to cover."""
        return self._points.get(group)

    def needs_barrier(self, group: GroupId) -> bool:
        """Tell whether reads of the group wait for a watermark first."""
        # True also of a group that a token does not name: it was left out
        # for the token's size, or written before the first token was issued.
        return group not in self._points or group in self._unsure

    def get_barrier_start(self, group: GroupId) -> Monotonic:
        """Return the moment after which the watermark is to be taken."""
        return self._unsure.get(group, self.opened_at)

    def complete_barrier(self, group: GroupId, point: Point) -> None:
        """Keep the watermark as the group's point."""
        self._unsure.pop(group, None)
        self._advance(group, point)

    def _advance(self, group: GroupId, point: Point) -> None:
        # Taken out and put back, so that the order stays that of last use.
        known = self._points.pop(group, point)
        self._points[group] = max(known, point)
