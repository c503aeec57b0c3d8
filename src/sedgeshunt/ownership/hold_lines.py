"""Write by what each group is held, and when that changes."""

from collections import Counter

from sedgeshunt.clocks import read_boottime
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.identifiers import Boottime, GroupId, Seconds
from sedgeshunt.ownership.evidence import Basis, HoldEvidence

# Lines of each kind for one ownership within a time: a store that answers now
# and then changes the evidence of all groups at each renewal.
MAX_LINES = 4
WINDOW = Seconds(30)


class HoldTimes:
    """Sum up by what the groups of a proxy were held."""

    def __init__(self) -> None:
        """Start at zero."""
        # Time by promises alone, added when it ends.
        self.by_promises = Seconds(0)


class HoldLines:
    """Write the start, each change and the end of holding one group."""

    def __init__(
        self,
        group: GroupId,
        decisions: DecisionLog,
        times: HoldTimes,
    ) -> None:
        """Write to `decisions` and add to `times`."""
        self._group = group
        self._decisions = decisions
        self._times = times
        self._changed_at = read_boottime()
        self._window = Boottime(0)
        self._written: Counter[DecisionKind] = Counter()
        self._dropped = 0

    def record(self, evidence: HoldEvidence, before: Basis) -> None:
        """Write one change, or count it if there were many."""
        self._add_time(before)
        is_held = evidence.basis is not Basis.NONE
        kind = (
            DecisionKind.GROUP_HELD if is_held else DecisionKind.GROUP_NOT_HELD
        )
        if not self._may_write(kind):
            self._dropped += 1
            return
        reasons = evidence.describe()
        reasons['before'] = before.value
        if self._dropped:
            reasons['dropped'] = str(self._dropped)
            self._dropped = 0
        self._decisions.record(Decision(kind, self._group, reasons=reasons))

    def _add_time(self, before: Basis) -> None:
        now = read_boottime()
        if before is Basis.PROMISES:
            spent = now - self._changed_at
            self._times.by_promises = Seconds(self._times.by_promises + spent)
        self._changed_at = now

    def _may_write(self, kind: DecisionKind) -> bool:
        now = read_boottime()
        if now - self._window > WINDOW:
            self._window = now
            self._written.clear()
        self._written[kind] += 1
        return self._written[kind] <= MAX_LINES
