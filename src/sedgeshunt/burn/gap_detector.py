"""Detect the periods in which a group accepts no writes."""

from collections.abc import Callable

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import GroupId, Monotonic, Seconds, TargetId

GapRecorder = Callable[[GroupId, Seconds, Monotonic], None]


class GapDetector:
    """Measure the periods in which a group is not known to accept writes."""

    # A gap is recorded even if no write arrived during it, because the
    # objective covers the availability of the group, not its traffic.

    def __init__(
        self,
        view: GroupView,
        record_gap: GapRecorder,
        decisions: DecisionLog,
    ) -> None:
        """Call `record_gap` for each gap of the view's group once it ends."""
        self._decisions = decisions
        self._view = view
        self._record_gap = record_gap
        self._accepted_at: Monotonic | None = None
        self._is_gap_open = False

    def check(self) -> None:
        """Check whether a gap has started or ended; to be called regularly."""
        now = read_clock()
        if not self._accepts_writes():
            # The time from the start of the proxy until the group is first
            # seen to accept writes is not a gap.
            if self._accepted_at is not None and not self._is_gap_open:
                self._is_gap_open = True
                self._record_refusal()
            return
        if self._is_gap_open and self._accepted_at is not None:
            # A pause of this process is not a gap of the group, although no
            # answers were received during it.
            started_at = max(self._accepted_at, self._view.pauses.resumed_at)
            self._record_gap(self._view.group, Seconds(now - started_at), now)
        self._is_gap_open = False
        self._accepted_at = self._find_last_acceptance()

    def _record_refusal(self) -> None:
        why = 'no majority of the targets answers'
        if self._view.reaches_majority():
            why = 'no primary is known'
        self._decisions.record(
            Decision(
                DecisionKind.WRITES_REFUSED,
                self._view.group,
                reasons={'why': why},
            ),
        )

    def _accepts_writes(self) -> bool:
        view = self._view
        return view.get_primary() is not None and view.reaches_majority()

    def _find_last_acceptance(self) -> Monotonic | None:
        # Writes fail before a missing answer raises suspicion, so a gap
        # starts at the last answers of the primary and of a majority.
        states = self._view.states
        answers = sorted(map(self._get_last_answer, states.list_members()))
        primary = self._view.get_primary()
        if primary is None or len(answers) < states.majority:
            return self._accepted_at
        return min(self._get_last_answer(primary), answers[-states.majority])

    def _get_last_answer(self, target: TargetId) -> Monotonic:
        answered_at = self._view.states.find_liveness(target).last_answer_at
        return Monotonic(0) if answered_at is None else answered_at
