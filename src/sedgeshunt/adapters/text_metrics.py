"""Keep metrics for whoever reads them as text over HTTP."""

from collections import Counter
from collections.abc import Mapping, Sequence

from sedgeshunt.adapters.metric_families import MetricFamily
from sedgeshunt.identifiers import Seconds
from sedgeshunt.metrics import PageMetrics, TimeCounts

# Upper ends in seconds: from an answer in the own availability zone to the
# longest time that a route gives a statement.
TIME_BUCKETS = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.15,
    0.25,
    0.5,
    0.8,
    1.5,
    3,
    5,
)


class TextMetrics(PageMetrics):
    """Keep counters, histograms and levels of this process."""

    def __init__(self) -> None:
        """Keep nothing yet."""
        self._counters: Counter[str] = Counter()
        self._times: dict[str, TimeCounts] = {}
        self._levels: dict[str, float] = {}
        # Counters and levels by labels.
        self._counted: dict[str, MetricFamily] = {}
        self._measured: dict[str, MetricFamily] = {}
        # The number of levels that exceeded the bound, by family.
        self._left_out: dict[str, int] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self._counters[name] += amount

    def time(self, name: str, spent: Seconds) -> None:
        """Note in a histogram how long something took."""
        times = self._times.get(name)
        if times is None:
            times = TimeCounts(TIME_BUCKETS)
            self._times[name] = times
        times.add(spent)

    def gauge(self, name: str, level: float) -> None:
        """Set a level."""
        self._levels[name] = level

    def count_by(
        self,
        name: str,
        labels: Sequence[str],
        key: tuple[str, ...],
    ) -> None:
        """Add 1 to the counter of a key, which has a value for each label."""
        family = self._counted.get(name)
        if family is None:
            family = MetricFamily(labels)
            self._counted[name] = family
        family.count(key)

    def replace_levels(
        self,
        name: str,
        labels: Sequence[str],
        levels: Mapping[tuple[str, ...], float],
    ) -> None:
        """Replace all levels of a family; keys that are left out end."""
        family = MetricFamily(labels)
        self._left_out[name] = family.set_largest(levels)
        self._measured[name] = family
        self._levels['series.left_out'] = sum(self._left_out.values())

    def write_page(self) -> bytes:
        """Return all that is kept, as text."""
        # The library that writes the page loads an HTTP server and more: 9% of
        # the time between a proxy's start and its first caller, which finds no
        # connection meanwhile. Most proxies are never asked for the page.
        from sedgeshunt.adapters.metrics_page import MetricsPage

        return MetricsPage(
            self._counters,
            self._times,
            self._levels,
            self._counted,
            self._measured,
        ).write()
