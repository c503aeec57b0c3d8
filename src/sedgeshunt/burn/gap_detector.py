"""Notice the spans in which a group takes no writes."""

from collections.abc import Callable

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import GroupId, Monotonic, Seconds, TargetId

GapRecorder = Callable[[GroupId, Seconds, Monotonic], None]


class GapDetector:
    """Measure from the last proof that writes are taken to the next."""

    # A gap counts also if no write came meanwhile: the objective is about
    # the group, and a group nobody wrote to was no better for it.

    def __init__(
        self,
        view: GroupView,
        record_gap: GapRecorder,
        decisions: DecisionLog,
    ) -> None:
        """Pass to `record_gap` each gap of the view's group that has ended."""
        self._decisions = decisions
        self._view = view
        self._record_gap = record_gap
        self._proven_at: Monotonic | None = None
        self._is_open = False

    def check(self) -> None:
        """Look whether a gap began or ended; called often."""
        now = read_clock()
        if not self._takes_writes():
            # Before the first proof the proxy starts; that is no gap.
            if self._proven_at is not None and not self._is_open:
                self._is_open = True
                self._tell_refused()
            return
        if self._is_open and self._proven_at is not None:
            # Our own pause is no gap of the group, though nothing was heard.
            began_at = max(self._proven_at, self._view.pauses.resumed_at)
            self._record_gap(self._view.group, Seconds(now - began_at), now)
        self._is_open = False
        self._proven_at = self._find_proof()

    def _tell_refused(self) -> None:
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

    def _takes_writes(self) -> bool:
        view = self._view
        return view.get_primary() is not None and view.reaches_majority()

    def _find_proof(self) -> Monotonic | None:
        # Silence is suspected only after a while, and writes fail before:
        # the gap begins with the last answers of a primary and a majority.
        states = self._view.states
        heard = sorted(map(self._read_heard, states.list_members()))
        primary = self._view.get_primary()
        if primary is None or len(heard) < states.majority:
            return self._proven_at
        return min(self._read_heard(primary), heard[-states.majority])

    def _read_heard(self, target: TargetId) -> Monotonic:
        heard_at = self._view.states.find_liveness(target).last_answer_at
        return Monotonic(0) if heard_at is None else heard_at
