"""Take measurements, and keep counts for reports."""

from abc import ABC, abstractmethod
from bisect import bisect_left
from collections import Counter
from collections.abc import Mapping, Sequence

from msgspec import Struct

from sedgeshunt.identifiers import Seconds
from sedgeshunt.ports import Address


class Metrics(ABC):
    """Take measurements; no call may block or raise."""

    @abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""

    @abstractmethod
    def time(self, name: str, spent: Seconds) -> None:
        """Note how long something took."""

    @abstractmethod
    def gauge(self, name: str, level: float) -> None:
        """Set a level."""


class PageMetrics(Metrics):
    """Keep measurements for a page, some of them apart by labels."""

    # Labels name groups, targets, traffic classes and causes. They never
    # contain a caller's text, such as a key, and each family is bounded.

    @abstractmethod
    def count_by(
        self,
        name: str,
        labels: Sequence[str],
        key: tuple[str, ...],
    ) -> None:
        """Add 1 to the counter of a key, which has a value for each label."""

    @abstractmethod
    def replace_levels(
        self,
        name: str,
        labels: Sequence[str],
        levels: Mapping[tuple[str, ...], float],
    ) -> None:
        """Replace all levels of a family; keys that are left out end."""


class MetricSample(Struct, frozen=True):
    """Hold one value of a metrics page."""

    labels: Mapping[str, str]
    amount: float


# The samples of a page, by metric.
Samples = Mapping[str, Sequence[MetricSample]]


class MetricsReader(ABC):
    """Read the metrics pages of instances."""

    @abstractmethod
    async def read(self, address: Address) -> str:
        """Return an instance's page; raise PeerUnreachable."""

    @abstractmethod
    def parse(self, page: str) -> Samples:
        """Return the samples of a page; raise ValueError."""


class TimeCounts:
    """Count times by the range that they fall into."""

    def __init__(self, ends: Sequence[float]) -> None:
        """Divide by the upper ends of ranges, in seconds."""
        self.ends = tuple(ends)
        self.counts = [0 for _ in (*self.ends, None)]
        self.total = Seconds(0)

    def add(self, spent: Seconds) -> None:
        """Count one time; one that is on an end is below it."""
        self.counts[bisect_left(self.ends, spent)] += 1
        self.total = Seconds(self.total + spent)


class NoMetrics(Metrics):
    """Drop every measurement."""

    def count(self, name: str, amount: int = 1) -> None:
        """Drop the count."""

    def time(self, name: str, spent: Seconds) -> None:
        """Drop the time."""

    def gauge(self, name: str, level: float) -> None:
        """Drop the level."""


class CountingMetrics(Metrics):
    """Keep all counts in memory and pass every measurement on."""

    def __init__(self, onward: Metrics) -> None:
        """Start at zero."""
        self._onward = onward
        self._counts: Counter[str] = Counter()

    def read_counts(self) -> Mapping[str, int]:
        """Return a copy of the counts since the start."""
        return dict(self._counts)

    def count(self, name: str, amount: int = 1) -> None:
        """Keep the count and pass it on."""
        self._counts[name] += amount
        self._onward.count(name, amount)

    def time(self, name: str, spent: Seconds) -> None:
        """Pass the time on."""
        self._onward.time(name, spent)

    def gauge(self, name: str, level: float) -> None:
        """Pass the level on."""
        self._onward.gauge(name, level)
