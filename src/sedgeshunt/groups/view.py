"""The state of one group as known to one proxy."""

from collections.abc import Sequence

from sedgeshunt.clocks import PauseWatch, read_clock
from sedgeshunt.groups.invariants import Violation
from sedgeshunt.groups.members import MemberStates
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.polling import PollUrgency
from sedgeshunt.groups.quorum_tracker import QuorumTracker
from sedgeshunt.groups.reports import TargetReport, describe_target
from sedgeshunt.groups.status import Observation, Role, TargetStatus
from sedgeshunt.groups.terms import TermHistory
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    Seconds,
    TargetId,
    Term,
)
from sedgeshunt.ports import PrimaryReport

# A primary that is silent for this long is polled more often.
PRIMARY_OVERDUE_AFTER = Seconds(0.2)


class GroupView:
    """The answers of a group's targets and the state derived from them."""

    def __init__(self, group: GroupId, pauses: PauseWatch) -> None:
        """Create a view of `group` without members."""
        self.group = group
        self.pauses = pauses
        self.states = MemberStates(pauses)
        self.terms = TermHistory()
        self.quorum = QuorumTracker(self.states, self.terms, pauses)
        self._violations: list[Violation] = []

    @property
    def newest_term(self) -> Term:
        """Return the highest known fencing term."""
        return self.terms.newest

    def set_members(self, targets: Sequence[TargetId]) -> None:
        """Set the targets of the group."""
        self.states.set_members(targets)

    def record(self, observation: Observation) -> None:
        """Record a member's answer; ignore one of a non-member."""
        status = observation.status
        if status.target not in self.states:
            return
        violation = self.states.record(observation)
        if violation is None:
            violation = self.terms.record_primary(status)
        if violation is not None:
            self._violations.append(violation)
        has_new_term = self.terms.record(
            status.fencing_term,
            observation.answered_at,
        )
        self.quorum.update(has_new_term)

    def record_write(
        self,
        target: TargetId,
        point: Point,
        asked_at: Monotonic,
    ) -> None:
        """Record that `target` answered a write with `point`."""
        # A target only takes writes as primary of its fencing term, so the
        # answer shows term and log end together, as a status does.
        status = TargetStatus(target, point.term, point, Role.PRIMARY)
        self.record(Observation(status, asked_at, read_clock()))

    def record_term(self, term: Term) -> None:
        """Record the current term that a target named in a refusal."""
        if self.terms.record(term, read_clock()):
            self.quorum.update(has_new_term=True)

    def record_disconnect(
        self,
        target: TargetId,
        refused: bool = False,
    ) -> None:
        """Record that a control connection was lost or refused."""
        self.states.record_disconnect(target, refused)
        self.quorum.changed.notify()

    def get_status(self, target: TargetId) -> TargetStatus | None:
        """Return the latest answer of `target`, unless it lost data."""
        return self.states.get_status(target)

    def find_newest_primary(self) -> TargetId | None:
        """Return the primary of the newest term, responsive or not."""
        primary = self.terms.get_primary()
        if primary is None:
            return None
        status = self.states.get_status(primary)
        if status is None or status.role is not Role.PRIMARY:
            return None
        return primary if status.fencing_term == self.newest_term else None

    def get_primary(self) -> TargetId | None:
        """Return the primary of the newest term if it is responsive."""
        primary = self.find_newest_primary()
        if primary is None:
            return None
        liveness = self.states.find_liveness(primary)
        return primary if liveness.is_responsive(read_clock()) else None

    def reaches_majority(self) -> bool:
        """Return whether enough members respond for a quorum."""
        responsive = self.states.list_responsive(read_clock())
        return len(responsive) >= self.states.majority

    def is_responsive(self, target: TargetId, now: Monotonic) -> bool:
        """Return whether `target` is connected and not suspected."""
        return self.states.find_liveness(target).is_responsive(now)

    def get_observation(self, target: TargetId) -> Observation | None:
        """Return the latest answer of `target` with its times."""
        return self.states.get_observation(target)

    def covers(self, target: TargetId, point: Point) -> bool:
        """Return whether the log of `target` includes `point`."""
        status = self.states.get_status(target)
        return status is not None and status.retains(point)

    def measure_age(self, target: TargetId, now: Monotonic) -> Seconds | None:
        """Return the maximum age of the target's data, None if unproven."""
        # The latest status counts even if the target became unreachable
        # since: a log never drops acknowledged records.
        status = self.states.get_status(target)
        if status is None:
            return None
        watermark = self.quorum.find_covered(status.log_end)
        if watermark is None or not status.retains(watermark.point):
            return None
        return Seconds(now - watermark.moment)

    async def wait_barrier(
        self,
        since: Monotonic,
        deadline: Monotonic,
    ) -> Point | None:
        """Return the first watermark from `since` on, None after `deadline`."""
        return await self.quorum.wait_barrier(since, deadline)

    async def wait_change(self, deadline: Monotonic) -> bool:
        """Return whether the view changed by the deadline."""
        return await self.quorum.changed.wait(deadline)

    async def wait_durable(self, point: Point, deadline: Monotonic) -> bool:
        """Return whether a majority confirmed `point` in the newest term."""
        return await self.quorum.wait_durable(point, deadline)

    def request_frequent_polls(self) -> None:
        """Poll the members frequently for a while."""
        self.quorum.request_frequent_polls()

    def choose_poll_urgency(self) -> PollUrgency:
        """Return how soon the next answers are needed."""
        now = read_clock()
        # Without a majority no read can be proven fresh, so frequent polls
        # would be useless.
        if self.quorum.reads_waiting and self.reaches_majority():
            return PollUrgency.FRESH
        if self._is_primary_overdue(now):
            return PollUrgency.PRIMARY
        if self.quorum.writes_waiting:
            return PollUrgency.WRITES
        if now < self.quorum.frequent_polls_until:
            return PollUrgency.RECENT
        return PollUrgency.NONE

    def report_primary(self) -> PrimaryReport:
        """Return the primary and how long ago it was asked, for peers."""
        primary = self.find_newest_primary()
        if primary is None:
            return PrimaryReport(self.group, self.newest_term, None, None)
        silence = self.states.find_liveness(primary).measure_silence(
            read_clock(),
        )
        return PrimaryReport(self.group, self.newest_term, primary, silence)

    def take_violations(self) -> list[Violation]:
        """Return and clear the invariants broken since the last call."""
        taken = self._violations.copy()
        self._violations.clear()
        return taken

    def describe(self) -> list[TargetReport]:
        """Describe each member for operators."""
        now = read_clock()
        return [
            describe_target(
                target,
                self.get_status(target),
                self.states.find_liveness(target),
                self.measure_age(target, now),
                now,
            )
            for target in self.states.list_members()
        ]

    def _is_primary_overdue(self, now: Monotonic) -> bool:
        primary = self.find_newest_primary()
        if primary is None:
            return True
        silence = self.states.find_liveness(primary).measure_silence(now)
        return silence is None or silence > PRIMARY_OVERDUE_AFTER
