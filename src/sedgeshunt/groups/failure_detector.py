"""Judge whether a group needs another primary, and why."""

from collections import deque
from collections.abc import Set
from dataclasses import dataclass
from enum import Enum

from sedgeshunt.clocks import read_clock
from sedgeshunt.groups.liveness import SUSPICION_TIME
from sedgeshunt.groups.points import ORIGIN, Point
from sedgeshunt.groups.stall_detector import StallDetector
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId, Term

# A replica that lags by at most this many judgements copies the rest during
# a planned move.
MOVE_LAG = 8
# A leaving primary whose replicas lag is replaced after this time; its last
# records, which nobody was promised, are left behind.
MOVE_PATIENCE = Seconds(3)


class SuspicionCause(Enum):
    """Name why a group needs another primary."""

    REFUSED = 'the primary refuses connections'
    SILENT = 'the primary does not answer'
    MISSING = 'no primary is known in the newest term'
    STALLED = 'the group copies nothing from the primary'
    LEAVING = 'the primary is leaving'
    REPLICAS_LAG = 'the primary is leaving and all others lag'


# Peers may have heard a primary that this proxy cannot reach.
REFUTABLE_CAUSES = frozenset(
    (SuspicionCause.REFUSED, SuspicionCause.SILENT, SuspicionCause.MISSING)
)


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Hold a cause, the primary concerned and since when it stands."""

    cause: SuspicionCause
    term: Term
    leader: TargetId | None
    since: Monotonic


class FailureDetector:
    """Judge by what one proxy sees."""

    def __init__(self, view: GroupView) -> None:
        """Judge the group of `view`."""
        self.leaving: Set[TargetId] = frozenset()
        self._stall = StallDetector(view)
        self._view = view
        self._leaving_since: Monotonic | None = None
        # The primary's log ends as seen by the last judgements.
        self._tips: deque[Point] = deque(maxlen=MOVE_LAG)

    def judge(self) -> Suspicion | None:
        """Return the first cause for another primary that stands now."""
        # A proxy that was frozen sees old answers and expired timers only,
        # and would replace a healthy primary; all counts start anew.
        self._view.pauses.check()
        stalled_since = self._stall.find_stall()
        # A proxy that hears no majority can only fence a minority, which
        # stops the writes of everyone else without electing anybody.
        if not self._view.reaches_majority():
            return None
        leader = self._view.find_newest_primary()
        if leader is None:
            return self._judge_missing()
        return (
            self._judge_silence(leader)
            or self._judge_stall(leader, stalled_since)
            or self._judge_leaving(leader)
        )

    def _judge_missing(self) -> Suspicion | None:
        # The promoter of this term may have died after its fence.
        seen_at = self._view.terms.newest_seen_at or Monotonic(0)
        since = max(seen_at, self._view.pauses.resumed_at)
        if read_clock() - since <= SUSPICION_TIME:
            return None
        return Suspicion(
            SuspicionCause.MISSING, self._view.newest_term, None, since
        )

    def _judge_silence(self, leader: TargetId) -> Suspicion | None:
        now = read_clock()
        resumed_at = self._view.pauses.resumed_at
        liveness = self._view.states.find_liveness(leader)
        refused_at = liveness.find_refusal(resumed_at)
        if refused_at is not None:
            return self._suspect(SuspicionCause.REFUSED, leader, refused_at)
        since = max(liveness.last_answer_at or Monotonic(0), resumed_at)
        if now - since <= liveness.get_suspicion_time(now):
            return None
        return self._suspect(SuspicionCause.SILENT, leader, since)

    def _judge_stall(
        self,
        leader: TargetId,
        since: Monotonic | None,
    ) -> Suspicion | None:
        if since is None:
            return None
        heard = self._view.states.list_responsive(read_clock())
        others = [target for target in heard if target != leader]
        if len(others) < self._view.states.majority:
            return None
        return self._suspect(SuspicionCause.STALLED, leader, since)

    def _judge_leaving(self, leader: TargetId) -> Suspicion | None:
        now = read_clock()
        if leader not in self.leaving:
            self._leaving_since = None
            self._tips.clear()
            return None
        if self._leaving_since is None:
            self._leaving_since = now
        heard = self._view.states.list_responsive(now)
        staying = [target for target in heard if target not in self.leaving]
        # A move stops the writes. It is not begun before it can succeed, or
        # a leaving primary without a successor would stop them for ever.
        tip = self._note_tip(leader)
        if any(self._view.covers(target, tip) for target in staying):
            return self._suspect(SuspicionCause.LEAVING, leader, now)
        is_patient = now - self._leaving_since <= MOVE_PATIENCE
        if is_patient or len(staying) < self._view.states.majority:
            return None
        return self._suspect(SuspicionCause.REPLICAS_LAG, leader, now)

    def _note_tip(self, leader: TargetId) -> Point:
        status = self._view.get_status(leader)
        self._tips.append(ORIGIN if status is None else status.log_end)
        return self._tips[0]

    def _suspect(
        self,
        cause: SuspicionCause,
        leader: TargetId,
        since: Monotonic,
    ) -> Suspicion:
        return Suspicion(cause, self._view.newest_term, leader, since)
