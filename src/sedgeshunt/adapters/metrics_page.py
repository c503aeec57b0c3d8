"""Write metrics as the text that monitoring systems read."""

from collections.abc import Iterator, Mapping, Sequence
from itertools import accumulate

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from sedgeshunt.adapters.metric_families import MetricFamily
from sedgeshunt.metrics import TimeCounts

PREFIX = 'sedgeshunt_'
LAST_BUCKET = '+Inf'


class MetricsPage(Collector):
    """Hand what is kept to the library."""

    def __init__(
        self,
        counters: Mapping[str, int],
        times: Mapping[str, TimeCounts],
        levels: Mapping[str, float],
        counted: Mapping[str, MetricFamily],
        measured: Mapping[str, MetricFamily],
    ) -> None:
        """Read them at each writing; the last two have labels."""
        self._counters = counters
        self._times = times
        self._levels = levels
        self._counted = counted
        self._measured = measured

    def collect(self) -> Iterator[Metric]:
        """Yield all that is kept."""
        for name, count in self._counters.items():
            yield CounterMetricFamily(_spell(name), name, count)
        for name, level in self._levels.items():
            yield GaugeMetricFamily(_spell(name), name, level)
        for name, times in self._times.items():
            yield HistogramMetricFamily(
                _spell(f'{name}.seconds'),
                name,
                _list_buckets(times),
                times.total,
            )
        yield from self._list_families()

    def write(self) -> bytes:
        """Return all that is kept, as text."""
        registry = CollectorRegistry()
        registry.register(self)
        return bytes(generate_latest(registry))

    def _list_families(self) -> Iterator[Metric]:
        for name, family in self._counted.items():
            counter = CounterMetricFamily(
                _spell(name), name, labels=family.labels
            )
            _add_series(counter, family)
            yield counter
        for name, family in self._measured.items():
            gauge = GaugeMetricFamily(_spell(name), name, labels=family.labels)
            _add_series(gauge, family)
            yield gauge


def _add_series(
    metric: CounterMetricFamily | GaugeMetricFamily,
    family: MetricFamily,
) -> None:
    for key, amount in family.series.items():
        metric.add_metric(key, amount)


def _list_buckets(times: TimeCounts) -> Sequence[tuple[str, float]]:
    ends = [*map(str, map(float, times.ends)), LAST_BUCKET]
    return list(zip(ends, accumulate(times.counts), strict=True))


def _spell(name: str) -> str:
    return PREFIX + name.replace('.', '_').replace('-', '_')
