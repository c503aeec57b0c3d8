"""Keep metrics for whoever reads them as text over HTTP."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from sedgeshunt.identifiers import Seconds
from sedgeshunt.metrics import Metrics

PREFIX = 'sedgeshunt_'
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


class TextMetrics(Metrics):
    """Keep counters, histograms and levels of this process."""

    def __init__(self) -> None:
        """Keep nothing yet."""
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._times: dict[str, Histogram] = {}
        self._levels: dict[str, Gauge] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(_spell(name), name, registry=self._registry)
            self._counters[name] = counter
        counter.inc(amount)

    def time(self, name: str, spent: Seconds) -> None:
        """Note in a histogram how long something took."""
        times = self._times.get(name)
        if times is None:
            times = Histogram(
                _spell(f'{name}.seconds'),
                name,
                buckets=TIME_BUCKETS,
                registry=self._registry,
            )
            self._times[name] = times
        times.observe(spent)

    def gauge(self, name: str, level: float) -> None:
        """Set a level."""
        gauge = self._levels.get(name)
        if gauge is None:
            gauge = Gauge(_spell(name), name, registry=self._registry)
            self._levels[name] = gauge
        gauge.set(level)

    def write_page(self) -> bytes:
        """Return all that is kept, as text."""
        return bytes(generate_latest(self._registry))


def _spell(name: str) -> str:
    return PREFIX + name.replace('.', '_').replace('-', '_')
