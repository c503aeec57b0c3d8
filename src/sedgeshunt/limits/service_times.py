"""Expect how long a statement occupies a slot of its target."""

from collections import OrderedDict
from typing import NewType

from sedgeshunt.identifiers import Seconds, TrafficClass
from sedgeshunt.limits.average import MovingAverage

# Kind of work within a traffic class, such as reads or commits.
WorkKind = NewType('WorkKind', str)

ANY_WORK = WorkKind('')
# Expected before the first answer.
INITIAL_LATENCY = Seconds(0.02)
AVERAGE_WEIGHT = 0.1
# Bounds the memory where callers choose the names of traffic classes.
MAX_ENTRIES = 300


class ServiceTimes:
    """Average the service times by traffic class and kind of work."""

    # One average for all classes would make the expected wait of a queue of
    # slow statements too short, and that of fast ones too long.

    def __init__(self) -> None:
        """Start without samples."""
        self._overall = MovingAverage(AVERAGE_WEIGHT)
        # The one that got no sample for longest is first.
        self._averages: OrderedDict[
            tuple[TrafficClass, WorkKind], MovingAverage
        ] = OrderedDict()

    @property
    def mean(self) -> Seconds:
        """Return the mean of all statements."""
        if not self._overall.samples:
            return INITIAL_LATENCY
        return Seconds(self._overall.value)

    def expect(self, traffic_class: TrafficClass, kind: WorkKind) -> Seconds:
        """Return the expected service time, the overall mean if unknown."""
        average = self._averages.get((traffic_class, kind))
        return self.mean if average is None else Seconds(average.value)

    def record(
        self, traffic_class: TrafficClass, kind: WorkKind, spent: Seconds
    ) -> None:
        """Add the service time of one statement."""
        self._overall.add(spent)
        key = (traffic_class, kind)
        average = self._averages.pop(key, None)
        if average is None:
            average = MovingAverage(AVERAGE_WEIGHT)
        average.add(spent)
        self._averages[key] = average
        if len(self._averages) > MAX_ENTRIES:
            self._averages.popitem(last=False)
