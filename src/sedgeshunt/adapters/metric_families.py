"""Keep a bounded number of series that differ by labels."""

from collections.abc import Mapping, Sequence
from heapq import nsmallest

# An instance uses some tens of targets. A page whose five metrics with labels
# are all at the bound has 90 KB and takes 15 ms to write.
MAX_SERIES = 256
# Label value of the series that counts what exceeds the bound.
OTHER = 'other'

Key = tuple[str, ...]


class MetricFamily:
    """Hold the series of one metric by the values of its labels."""

    def __init__(self, labels: Sequence[str]) -> None:
        """Start without series."""
        self.labels = tuple(labels)
        self.series: dict[Key, float] = {}

    def count(self, key: Key) -> None:
        """Add 1 to a series; at the bound, to the one for all others."""
        if key not in self.series and len(self.series) >= MAX_SERIES - 1:
            key = (OTHER,) * len(self.labels)
        self.series[key] = self.series.get(key, 0) + 1

    def set_largest(self, levels: Mapping[Key, float]) -> int:
        """Keep the largest levels; return how many are left out."""
        kept = nsmallest(
            MAX_SERIES,
            levels.items(),
            key=lambda pair: (-pair[1], pair[0]),
        )
        self.series = dict(kept)
        return len(levels) - len(kept)
