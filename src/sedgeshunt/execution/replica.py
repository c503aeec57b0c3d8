"""Hold one replica as seen by the reads that this instance runs there."""

from sedgeshunt.clocks import read_boottime, read_clock
from sedgeshunt.execution.placement import SATURATION_WEIGHT
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.limits.average import MovingAverage
from sedgeshunt.registry.directory import KnownTarget
from sedgeshunt.requests.outcome import Cause, NotRun, Refusal
from sedgeshunt.routing.lag_forecast import LagForecast

# How long a failed replica is avoided; doubled at each further failure.
FAILED_PAUSE = Seconds(0.3)
MAX_FAILED_PAUSE = Seconds(4)


class Replica:
    """Hold one replica and the results of its recent reads."""

    def __init__(
        self,
        known: KnownTarget,
        executor: TargetExecutor,
        forecast: LagForecast,
    ) -> None:
        """Start without failures."""
        self.known = known
        self.executor = executor
        self._forecast = forecast
        self.avoided_until = Monotonic(0)
        # Statements that this proxy may run there without a long queue.
        self.max_running = 1
        self._failures = 0
        # Share of recent reads that found no free slot.
        self.saturation = MovingAverage(SATURATION_WEIGHT)

    def note_arrival(self) -> None:
        """Record whether a read that arrives now finds a free slot."""
        self.saturation.add(not self.executor.admission.has_room())

    def may_have(self, point: Point) -> bool:
        """Return whether to ask the replica for a point, or for its state."""
        if self.has_reached(point):
            return True
        return self._forecast.may_ask(point, read_boottime())

    def note_request(self, required: Point) -> None:
        """Record that the replica is asked for a required point."""
        if not self.has_reached(required):
            self._forecast.note_request(required, read_boottime())

    def record_outcome(self, refusal: Refusal | None, required: Point) -> None:
        """Record the outcome of one read."""
        cause = refusal.cause if isinstance(refusal, NotRun) else None
        if refusal is None or cause is Cause.TOO_STALE:
            self._record_tip()
        if refusal is None:
            self._failures = 0
        elif cause is Cause.TOO_STALE:
            self._forecast.record_refusal(required, read_boottime())
        elif cause is not Cause.OVERLOAD:
            pause = FAILED_PAUSE * 2**self._failures
            self._failures = min(self._failures + 1, 4)
            self._avoid(Seconds(min(MAX_FAILED_PAUSE, pause)))

    def is_superseded_by(self, listed: KnownTarget | None) -> bool:
        """Return whether the target was removed, restarted or moved."""
        if listed is None or self.known.life != listed.life:
            return True
        known, target = self.known.target, listed.target
        return (known.host, known.port) != (target.host, target.port)

    def has_reached(self, point: Point) -> bool:
        """Return whether the replica's log is known to include a point."""
        tip = self.executor.tip
        return tip is not None and point <= tip

    def _record_tip(self) -> None:
        if self.executor.tip is not None:
            self._forecast.record(self.executor.tip, read_boottime())

    def _avoid(self, pause: Seconds) -> None:
        self.avoided_until = Monotonic(read_clock() + pause)
