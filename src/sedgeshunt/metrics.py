"""Take measurements, and keep counts for reports."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Mapping

from sedgeshunt.identifiers import Seconds


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
