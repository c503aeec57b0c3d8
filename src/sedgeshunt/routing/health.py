"""Leave out targets that fail or are slow, and take them back with care."""

from collections.abc import Collection
from enum import Enum
from statistics import median_low

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.groups.backoff import Backoff
from sedgeshunt.identifiers import GroupId, Monotonic, Seconds, TargetId
from sedgeshunt.limits.average import MovingAverage

WEIGHT = 0.1
ENOUGH_SAMPLES = 10
FAILURES_IN_A_ROW = 3
FAILURE_SHARE = 0.5
# Slow is this many times the group's median, and by this much.
SLOW_FACTOR = 4
SLOW_MARGIN = Seconds(0.02)
SHORTEST_EJECTION = Seconds(1)
LONGEST_EJECTION = Seconds(60)
# Healthy for this long, a target's next ejection is a short one again.
FORGIVEN_AFTER = Seconds(60)
PROBE_EVERY = Seconds(0.25)
PROBES_NEEDED = 3


class HealthState(Enum):
    """Name how far a target is trusted."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    # One probe at a time decides whether it is taken back.
    PROBATION = 'probation'


class TargetHealth:
    """Follow the outcomes and latencies of one target."""

    def __init__(self, target: TargetId, group: 'GroupHealth') -> None:
        """Trust `target` until it fails."""
        self.target = target
        self.state = HealthState.HEALTHY
        self.latency = MovingAverage(WEIGHT)
        self._group = group
        self._failures = MovingAverage(WEIGHT)
        self._failures_in_a_row = 0
        self._probes_passed = 0
        self._next_probe = Monotonic(0)
        self._readmitted_at = Monotonic(0)
        self._pauses = Backoff(SHORTEST_EJECTION, LONGEST_EJECTION)

    def record_outcome(self, latency: Seconds, *, ok: bool) -> None:
        """Take in one outcome; `ok` means that the target answered."""
        # While ejected, answers belong to statements of before; they say
        # nothing of the target's state now.
        if self.state is HealthState.EJECTED:
            return
        self._count(latency, ok=ok)
        fault = self._find_fault()
        if fault is not None:
            self._group.eject(self, fault)
        elif self.state is HealthState.PROBATION and ok:
            self._pass_probe()

    def is_excluded(self) -> bool:
        """Tell whether the target is left out, but for probes."""
        return self.state is not HealthState.HEALTHY

    def claim_probe(self, now: Monotonic) -> bool:
        """Tell whether the next read may be a probe, and count it as one."""
        if self.state is HealthState.HEALTHY or now < self._next_probe:
            return False
        # A crowd let back at once would slow the target down again; probes
        # go one at a time, also when one is never heard of again.
        self.state = HealthState.PROBATION
        self._next_probe = Monotonic(now + PROBE_EVERY)
        return True

    def eject(self) -> Seconds:
        """Leave the target out; return for how long."""
        now = read_clock()
        if self.state is HealthState.HEALTHY:
            if now - self._readmitted_at > FORGIVEN_AFTER:
                self._pauses.reset()
        pause = self._pauses.compute_delay()
        self.state = HealthState.EJECTED
        self._next_probe = Monotonic(now + pause)
        self._forget()
        return pause

    def _count(self, latency: Seconds, *, ok: bool) -> None:
        self._failures.add(0 if ok else 1)
        self._failures_in_a_row = 0 if ok else self._failures_in_a_row + 1
        if ok:
            self.latency.add(latency)

    def _find_fault(self) -> str | None:
        failures = self._failures_in_a_row
        is_probed = self.state is HealthState.PROBATION
        if failures >= FAILURES_IN_A_ROW or (is_probed and failures):
            return f'{failures} statements in a row failed'
        is_sampled = self._failures.samples >= ENOUGH_SAMPLES
        if is_sampled and self._failures.value > FAILURE_SHARE:
            return f'{self._failures.value:.0%} of its statements failed'
        if is_probed or self.latency.samples >= ENOUGH_SAMPLES:
            return self._group.find_slowness(self)
        return None

    def _pass_probe(self) -> None:
        self._probes_passed += 1
        if self._probes_passed < PROBES_NEEDED:
            return
        self.state = HealthState.HEALTHY
        self._readmitted_at = read_clock()
        self._group.note_readmitted(self)

    def _forget(self) -> None:
        self.latency = MovingAverage(WEIGHT)
        self._failures = MovingAverage(WEIGHT)
        self._failures_in_a_row = 0
        self._probes_passed = 0


class GroupHealth:
    """Compare the targets of one group and limit how many are left out."""

    def __init__(self, group: GroupId, decisions: DecisionLog) -> None:
        """Start with no target; get() adds one."""
        self._group = group
        self._decisions = decisions
        self._targets: dict[TargetId, TargetHealth] = {}

    def get(self, target: TargetId) -> TargetHealth:
        """Return the health of `target`, a new one for a new target."""
        known = self._targets.get(target)
        if known is None:
            known = TargetHealth(target, self)
            self._targets[target] = known
        return known

    def keep_only(self, targets: Collection[TargetId]) -> None:
        """Forget the targets that were removed."""
        for name in set(self._targets) - set(targets):
            self._targets.pop(name)

    def is_excluded(self, target: TargetId) -> bool:
        """Tell whether `target` is left out, but for probes."""
        known = self._targets.get(target)
        return known is not None and known.state is not HealthState.HEALTHY

    def claim_probe(self, target: TargetId, now: Monotonic) -> bool:
        """Tell whether the next read may probe `target`."""
        known = self._targets.get(target)
        return known is not None and known.claim_probe(now)

    def find_slowness(self, health: TargetHealth) -> str | None:
        """Say how much slower a target is than the others, if clearly."""
        others = [
            other.latency.value
            for other in self._targets.values()
            if other is not health and other.latency.samples >= ENOUGH_SAMPLES
        ]
        if not others:
            return None
        usual = median_low(others)
        latency = health.latency.value
        if latency < max(SLOW_FACTOR * usual, usual + SLOW_MARGIN):
            return None
        return f'it takes {latency:.3f} s, the others {usual:.3f} s'

    def eject(self, health: TargetHealth, fault: str) -> None:
        """Leave a target out unless too many are left out already."""
        # When most of them look bad the cause is elsewhere, such as this
        # proxy's own network; leaving them out would answer nobody.
        others_out = sum(
            other.state is not HealthState.HEALTHY
            for other in self._targets.values()
            if other is not health
        )
        if others_out >= (len(self._targets) - 1) // 2:
            return
        pause = health.eject()
        self._tell(
            DecisionKind.EJECTED,
            health.target,
            {'why': fault, 'pause': f'{pause:.1f} s'},
        )

    def note_readmitted(self, health: TargetHealth) -> None:
        """Take down that a target is trusted again."""
        reasons = {'why': f'{PROBES_NEEDED} probes were answered in time'}
        self._tell(DecisionKind.READMITTED, health.target, reasons)

    def _tell(
        self,
        kind: DecisionKind,
        target: TargetId,
        reasons: dict[str, str],
    ) -> None:
        self._decisions.record(Decision(kind, self._group, target, reasons))
