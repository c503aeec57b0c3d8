"""Eject targets that fail or are slow, and readmit them after probes."""

from collections.abc import Collection
from enum import Enum
from statistics import median_low

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.groups.backoff import Backoff
from sedgeshunt.identifiers import GroupId, Monotonic, Seconds, TargetId
from sedgeshunt.limits.average import MovingAverage

AVERAGE_WEIGHT = 0.1
MIN_SAMPLES = 10
MAX_CONSECUTIVE_FAILURES = 3
MAX_FAILURE_SHARE = 0.5
# A target is slow if its latency exceeds the median of the others by this
# factor and by this margin.
SLOW_FACTOR = 4
SLOW_MARGIN = Seconds(0.02)
MIN_EJECTION = Seconds(1)
MAX_EJECTION = Seconds(60)
# A target that was healthy for this long gets a short ejection again.
BACKOFF_RESET_TIME = Seconds(60)
PROBE_INTERVAL = Seconds(0.25)
REQUIRED_PROBES = 3


class HealthState(Enum):
    """State of a target with regard to ejection."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    # Probes, one at a time, decide whether the target is readmitted.
    PROBATION = 'probation'


class TargetHealth:
    """Outcomes and latencies of one target."""

    def __init__(self, target: TargetId, group: 'GroupHealth') -> None:
        """Create the health of `target`, healthy at first."""
        self.target = target
        self.state = HealthState.HEALTHY
        self.latency = MovingAverage(AVERAGE_WEIGHT)
        self._group = group
        self._failures = MovingAverage(AVERAGE_WEIGHT)
        self._consecutive_failures = 0
        self._probes_passed = 0
        self._next_probe = Monotonic(0)
        self._readmitted_at = Monotonic(0)
        self._ejection_backoff = Backoff(MIN_EJECTION, MAX_EJECTION)

    def record_outcome(self, latency: Seconds, *, ok: bool) -> None:
        """Record one outcome; `ok` means that the target answered."""
        # Answers during an ejection belong to statements sent before it and
        # don't show the current state of the target.
        if self.state is HealthState.EJECTED:
            return
        self._count(latency, ok=ok)
        fault = self._find_fault()
        if fault is not None:
            self._group.eject(self, fault)
        elif self.state is HealthState.PROBATION and ok:
            self._pass_probe()

    def is_excluded(self) -> bool:
        """Return whether the target gets no reads except probes."""
        return self.state is not HealthState.HEALTHY

    def claim_probe(self, now: Monotonic) -> bool:
        """Return whether the next read may be a probe, and claim it."""
        if self.state is HealthState.HEALTHY or now < self._next_probe:
            return False
        # Readmitted with full load at once, the target could become slow
        # again, so it gets single probes, even if one is never answered.
        self.state = HealthState.PROBATION
        self._next_probe = Monotonic(now + PROBE_INTERVAL)
        return True

    def eject(self) -> Seconds:
        """Eject the target; return for how many seconds."""
        now = read_clock()
        if self.state is HealthState.HEALTHY:
            if now - self._readmitted_at > BACKOFF_RESET_TIME:
                self._ejection_backoff.reset()
        pause = self._ejection_backoff.compute_delay()
        self.state = HealthState.EJECTED
        self._next_probe = Monotonic(now + pause)
        self._reset_statistics()
        return pause

    def _count(self, latency: Seconds, *, ok: bool) -> None:
        self._failures.add(0 if ok else 1)
        self._consecutive_failures = 0 if ok else self._consecutive_failures + 1
        if ok:
            self.latency.add(latency)

    def _find_fault(self) -> str | None:
        failures = self._consecutive_failures
        is_probed = self.state is HealthState.PROBATION
        if failures >= MAX_CONSECUTIVE_FAILURES or (is_probed and failures):
            return f'{failures} statements in a row failed'
        is_sampled = self._failures.samples >= MIN_SAMPLES
        if is_sampled and self._failures.value > MAX_FAILURE_SHARE:
            return f'{self._failures.value:.0%} of its statements failed'
        if is_probed or self.latency.samples >= MIN_SAMPLES:
            return self._group.describe_slowness(self)
        return None

    def _pass_probe(self) -> None:
        self._probes_passed += 1
        if self._probes_passed < REQUIRED_PROBES:
            return
        self.state = HealthState.HEALTHY
        self._readmitted_at = read_clock()
        self._group.record_readmission(self)

    def _reset_statistics(self) -> None:
        self.latency = MovingAverage(AVERAGE_WEIGHT)
        self._failures = MovingAverage(AVERAGE_WEIGHT)
        self._consecutive_failures = 0
        self._probes_passed = 0


class GroupHealth:
    """Compare the targets of a group and limit how many are ejected."""

    def __init__(self, group: GroupId, decisions: DecisionLog) -> None:
        """Start without targets; `get` adds them."""
        self._group = group
        self._decisions = decisions
        self._targets: dict[TargetId, TargetHealth] = {}

    def get(self, target: TargetId) -> TargetHealth:
        """Return the health of `target`, creating it if needed."""
        known = self._targets.get(target)
        if known is None:
            known = TargetHealth(target, self)
            self._targets[target] = known
        return known

    def keep_only(self, targets: Collection[TargetId]) -> None:
        """Drop the health of all targets that aren't in `targets`."""
        for name in set(self._targets) - set(targets):
            self._targets.pop(name)

    def is_excluded(self, target: TargetId) -> bool:
        """Return whether `target` gets no reads except probes."""
        known = self._targets.get(target)
        return known is not None and known.state is not HealthState.HEALTHY

    def claim_probe(self, target: TargetId, now: Monotonic) -> bool:
        """Return whether the next read may probe `target`, and claim it."""
        known = self._targets.get(target)
        return known is not None and known.claim_probe(now)

    def describe_slowness(self, health: TargetHealth) -> str | None:
        """Return how much slower a target is than the others, None if not."""
        others = [
            other.latency.value
            for other in self._targets.values()
            if other is not health and other.latency.samples >= MIN_SAMPLES
        ]
        if not others:
            return None
        usual = median_low(others)
        latency = health.latency.value
        if latency < max(SLOW_FACTOR * usual, usual + SLOW_MARGIN):
            return None
        return f'it takes {latency:.3f} s, the others {usual:.3f} s'

    def eject(self, health: TargetHealth, fault: str) -> None:
        """Eject a target unless too many are ejected already."""
        # If most targets fail, the cause is probably elsewhere, such as this
        # proxy's network. Ejecting them would leave reads without a target.
        others_out = sum(
            other.state is not HealthState.HEALTHY
            for other in self._targets.values()
            if other is not health
        )
        if others_out >= (len(self._targets) - 1) // 2:
            return
        pause = health.eject()
        self._record_decision(
            DecisionKind.EJECTED,
            health.target,
            {'why': fault, 'pause': f'{pause:.1f} s'},
        )

    def record_readmission(self, health: TargetHealth) -> None:
        """Log that a target is readmitted."""
        reasons = {'why': f'{REQUIRED_PROBES} probes were answered in time'}
        self._record_decision(DecisionKind.READMITTED, health.target, reasons)

    def _record_decision(
        self,
        kind: DecisionKind,
        target: TargetId,
        reasons: dict[str, str],
    ) -> None:
        self._decisions.record(Decision(kind, self._group, target, reasons))
