"""Keep the watermarks of the last minutes to date what a replica holds."""

from bisect import bisect_left, bisect_right
from itertools import pairwise

from sedgeshunt.groups.points import Point
from sedgeshunt.groups.quorum import Watermark
from sedgeshunt.identifiers import Monotonic, Seconds

# Older data than this is not served by age.
HORIZON = Seconds(600)
# Above this many marks the series is thinned out.
LIMIT = 512
# Marks are kept this far apart, as a share of their age; dropping one makes
# a provable age at most that much older.
SPACING = 0.05


class WatermarkSeries:
    """Keep watermarks in which a later moment has a higher point."""

    def __init__(self) -> None:
        """Start without any watermark."""
        self._marks: list[Watermark] = []

    def add(self, mark: Watermark) -> None:
        """Take in a watermark and drop those that it makes useless."""
        first = bisect_left(self._marks, mark.moment, key=_get_moment)
        # A later moment with a point as low says more than this mark.
        if first < len(self._marks):
            if self._marks[first].point <= mark.point:
                return
        last = bisect_right(self._marks, mark.moment, key=_get_moment)
        start = bisect_left(self._marks, mark.point, hi=last, key=_get_point)
        del self._marks[start:last]
        self._marks.insert(start, mark)
        if len(self._marks) > LIMIT:
            self._thin()

    def find_covered(self, end: Point) -> Watermark | None:
        """Return the latest watermark that a log ending at `end` covers."""
        index = bisect_right(self._marks, end, key=_get_point)
        if index == 0:
            return None
        return self._marks[index - 1]

    def find_since(self, moment: Monotonic) -> Watermark | None:
        """Return the lowest watermark whose moment is not before `moment`."""
        index = bisect_left(self._marks, moment, key=_get_moment)
        if index == len(self._marks):
            return None
        return self._marks[index]

    def get_newest(self) -> Watermark | None:
        """Return the watermark with the latest moment."""
        return self._marks[-1] if self._marks else None

    def _thin(self) -> None:
        newest = self._marks[-1]
        kept = [newest]
        for older, mark in reversed(tuple(pairwise(self._marks[:-1]))):
            age = newest.moment - mark.moment
            # A mark goes only if its neighbours stay close to each other.
            if kept[-1].moment - older.moment > SPACING * age:
                kept.append(mark)
        if newest.moment - self._marks[0].moment <= HORIZON:
            kept.append(self._marks[0])
        self._marks = list(reversed(kept))


def _get_moment(mark: Watermark) -> Monotonic:
    return mark.moment


def _get_point(mark: Watermark) -> Point:
    return mark.point
