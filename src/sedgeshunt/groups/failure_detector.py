"""Detect that a group needs another primary, and why."""

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

# A planned handover starts once a replica has what the primary had this many
# checks ago. The replica copies the rest during the handover.
MAX_HANDOVER_LAG_CHECKS = 8
# A leaving primary whose replicas lag is replaced after this time. Its last
# records, none of them acknowledged, are lost.
HANDOVER_TIMEOUT = Seconds(3)


class SuspicionCause(Enum):
    """Reasons for which a group needs another primary."""

    REFUSED = 'the primary refuses connections'
    SILENT = 'the primary does not answer'
    MISSING = 'no primary is known in the newest term'
    STALLED = 'the group copies nothing from the primary'
    LEAVING = 'the primary is leaving'
    REPLICAS_LAG = 'the primary is leaving and all others lag'


# Peers may still get answers from a primary that this proxy can't reach.
REFUTABLE_CAUSES = frozenset(
    (SuspicionCause.REFUSED, SuspicionCause.SILENT, SuspicionCause.MISSING),
)


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Why a group needs another primary, and since when."""

    cause: SuspicionCause
    term: Term
    primary: TargetId | None
    since: Monotonic


class FailureDetector:
    """Detect a failed or leaving primary from one proxy's observations."""

    def __init__(self, view: GroupView) -> None:
        """Observe the group of `view`."""
        self.leaving: Set[TargetId] = frozenset()
        self._stall_detector = StallDetector(view)
        self._view = view
        self._leaving_since: Monotonic | None = None
        # The primary's log end at each of the last checks.
        self._log_ends: deque[Point] = deque(maxlen=MAX_HANDOVER_LAG_CHECKS)

    def detect(self) -> Suspicion | None:
        """Return the first current cause for another primary, None if none."""
        # After this process was frozen, all answers are old and all timers
        # have expired. Checks restart from the end of the pause, so that a
        # healthy primary isn't replaced.
        self._view.pauses.check()
        stalled_since = self._stall_detector.find_stall()
        # Without a majority in reach, this proxy could only fence a
        # minority, which may stop writes but can't elect a primary.
        if not self._view.reaches_majority():
            return None
        primary = self._view.find_newest_primary()
        if primary is None:
            return self._check_missing()
        return (
            self._check_silence(primary)
            or self._check_stall(primary, stalled_since)
            or self._check_leaving(primary)
        )

    def _check_missing(self) -> Suspicion | None:
        # The proxy that opened this term may have crashed after fencing.
        seen_at = self._view.terms.newest_seen_at or Monotonic(0)
        since = max(seen_at, self._view.pauses.resumed_at)
        if read_clock() - since <= SUSPICION_TIME:
            return None
        return Suspicion(
            SuspicionCause.MISSING,
            self._view.newest_term,
            None,
            since,
        )

    def _check_silence(self, primary: TargetId) -> Suspicion | None:
        now = read_clock()
        resumed_at = self._view.pauses.resumed_at
        liveness = self._view.states.find_liveness(primary)
        refused_at = liveness.find_refusal(resumed_at)
        if refused_at is not None:
            return self._suspect(SuspicionCause.REFUSED, primary, refused_at)
        since = max(liveness.last_answer_at or Monotonic(0), resumed_at)
        if now - since <= liveness.get_suspicion_time(now):
            return None
        return self._suspect(SuspicionCause.SILENT, primary, since)

    def _check_stall(
        self,
        primary: TargetId,
        since: Monotonic | None,
    ) -> Suspicion | None:
        if since is None:
            return None
        responsive = self._view.states.list_responsive(read_clock())
        others = [target for target in responsive if target != primary]
        if len(others) < self._view.states.majority:
            return None
        return self._suspect(SuspicionCause.STALLED, primary, since)

    def _check_leaving(self, primary: TargetId) -> Suspicion | None:
        now = read_clock()
        if primary not in self.leaving:
            self._leaving_since = None
            self._log_ends.clear()
            return None
        if self._leaving_since is None:
            self._leaving_since = now
        responsive = self._view.states.list_responsive(now)
        staying = [
            target for target in responsive if target not in self.leaving
        ]
        # A handover stops writes, so it only starts once it can succeed.
        # Otherwise a leaving primary without a successor would block writes
        # forever.
        log_end = self._record_log_end(primary)
        if any(self._view.covers(target, log_end) for target in staying):
            return self._suspect(SuspicionCause.LEAVING, primary, now)
        is_waiting = now - self._leaving_since <= HANDOVER_TIMEOUT
        if is_waiting or len(staying) < self._view.states.majority:
            return None
        return self._suspect(SuspicionCause.REPLICAS_LAG, primary, now)

    def _record_log_end(self, primary: TargetId) -> Point:
        status = self._view.get_status(primary)
        self._log_ends.append(ORIGIN if status is None else status.log_end)
        return self._log_ends[0]

    def _suspect(
        self,
        cause: SuspicionCause,
        primary: TargetId,
        since: Monotonic,
    ) -> Suspicion:
        return Suspicion(cause, self._view.newest_term, primary, since)
