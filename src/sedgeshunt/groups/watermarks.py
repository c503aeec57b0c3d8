"""Keep recent watermarks to determine the age of a replica's data."""

from bisect import bisect_left, bisect_right
from itertools import pairwise

from sedgeshunt.groups.points import Point
from sedgeshunt.groups.quorum import Watermark
from sedgeshunt.identifiers import Monotonic, Seconds

# Older data can't be proven to be within an accepted age.
MAX_WATERMARK_AGE = Seconds(600)
# Number of watermarks above which the series is thinned out.
MAX_MARKS = 512
# Minimum distance of two watermarks as a share of their age. Dropping one
# increases a proven age by at most this share.
SPACING_SHARE = 0.05


class WatermarkSeries:
    """A series of watermarks with increasing moments and points."""

    def __init__(self) -> None:
        """Start without any watermark."""
        self._marks: list[Watermark] = []

    def add(self, mark: Watermark) -> None:
        """Add a watermark and drop those that it supersedes."""
        first = bisect_left(self._marks, mark.moment, key=_get_moment)
        # Redundant if a later moment has the same or a lower point.
        if first < len(self._marks):
            if self._marks[first].point <= mark.point:
                return
        last = bisect_right(self._marks, mark.moment, key=_get_moment)
        start = bisect_left(self._marks, mark.point, hi=last, key=_get_point)
        del self._marks[start:last]
        self._marks.insert(start, mark)
        if len(self._marks) > MAX_MARKS:
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
            # Dropped only if its neighbours are close enough to each other.
            if kept[-1].moment - older.moment > SPACING_SHARE * age:
                kept.append(mark)
        if newest.moment - self._marks[0].moment <= MAX_WATERMARK_AGE:
            kept.append(self._marks[0])
        self._marks = list(reversed(kept))


def _get_moment(mark: Watermark) -> Monotonic:
    return mark.moment


def _get_point(mark: Watermark) -> Point:
    return mark.point
