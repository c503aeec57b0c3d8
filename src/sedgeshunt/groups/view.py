"""Tell what one proxy knows of one group."""

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

# A primary silent for this long may soon be suspected.
UNEASY_AFTER = Seconds(0.2)


class GroupView:
    """Hold the answers of a group's targets and what follows from them."""

    def __init__(self, group: GroupId, pauses: PauseWatch) -> None:
        """Know nothing of `group` yet."""
        self.group = group
        self.pauses = pauses
        self.states = MemberStates(pauses)
        self.terms = TermHistory()
        self.quorum = QuorumTracker(self.states, self.terms, pauses)
        self._violations: list[Violation] = []

    @property
    def newest_term(self) -> Term:
        """Return the highest fencing term seen."""
        return self.terms.newest

    def set_members(self, targets: Sequence[TargetId]) -> None:
        """Declare which targets make up the group."""
        self.states.set_members(targets)

    def record(self, observation: Observation) -> None:
        """Take in what a member answered."""
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
        """Take in that `target` answered a write with `point`."""
        # A target takes writes only in the term that it leads in, so the
        # answer shows term and log end together, as a status does.
        status = TargetStatus(target, point.term, point, Role.PRIMARY)
        self.record(Observation(status, asked_at, read_clock()))

    def record_term(self, term: Term) -> None:
        """Take in a term that a target named in a refusal."""
        if self.terms.record(term, read_clock()):
            self.quorum.update(has_new_term=True)

    def record_disconnect(
        self, target: TargetId, refused: bool = False
    ) -> None:
        """Take in that a control link broke, or was refused."""
        self.states.record_disconnect(target, refused)
        self.quorum.changed.notify()

    def get_status(self, target: TargetId) -> TargetStatus | None:
        """Return the latest answer of `target`, unless it lost data."""
        return self.states.get_status(target)

    def find_newest_primary(self) -> TargetId | None:
        """Return who leads in the newest term, be it reachable or not."""
        leader = self.terms.get_primary()
        if leader is None:
            return None
        status = self.states.get_status(leader)
        if status is None or status.role is not Role.PRIMARY:
            return None
        return leader if status.fencing_term == self.newest_term else None

    def get_primary(self) -> TargetId | None:
        """Return who leads in the newest term if it is heard."""
        leader = self.find_newest_primary()
        if leader is None:
            return None
        liveness = self.states.find_liveness(leader)
        return leader if liveness.is_responsive(read_clock()) else None

    def reaches_majority(self) -> bool:
        """Tell whether a write could be acknowledged or a term be won."""
        heard = self.states.list_responsive(read_clock())
        return len(heard) >= self.states.majority

    def is_responsive(self, target: TargetId, now: Monotonic) -> bool:
        """Tell whether `target` is linked and not suspected."""
        return self.states.find_liveness(target).is_responsive(now)

    def get_observation(self, target: TargetId) -> Observation | None:
        """Return the latest answer of `target` with its readings."""
        return self.states.get_observation(target)

    def covers(self, target: TargetId, point: Point) -> bool:
        """Tell whether the target's latest answer includes `point`."""
        status = self.states.get_status(target)
        return status is not None and status.retains(point)

    def measure_age(self, target: TargetId, now: Monotonic) -> Seconds | None:
        """Return how old the target's data is at most, None if unproven."""
        # Once covered, always covered: a log only ever drops records that
        # were never acknowledged, also when its target is cut off later.
        status = self.states.get_status(target)
        if status is None:
            return None
        mark = self.quorum.find_covered(status.log_end)
        if mark is None or not status.retains(mark.point):
            return None
        return Seconds(now - mark.moment)

    async def wait_barrier(
        self,
        since: Monotonic,
        deadline: Monotonic,
    ) -> Point | None:
        """Return the first watermark from `since` on, None if too late."""
        return await self.quorum.wait_barrier(since, deadline)

    async def wait_change(self, deadline: Monotonic) -> bool:
        """Tell whether anything was learnt by the deadline."""
        return await self.quorum.changed.wait(deadline)

    async def wait_durable(self, point: Point, deadline: Monotonic) -> bool:
        """Tell whether a majority showed `point` while its term was newest."""
        return await self.quorum.wait_durable(point, deadline)

    def request_frequent_polls(self) -> None:
        """Have the members asked often for a while."""
        self.quorum.request_frequent_polls()

    def choose_poll_urgency(self) -> PollUrgency:
        """Tell how urgently the next answers are needed."""
        now = read_clock()
        # Without a majority no read can be proven fresh, however often the
        # few that still answer are asked.
        if self.quorum.reads_waiting and self.reaches_majority():
            return PollUrgency.FRESH
        if self._is_uneasy(now):
            return PollUrgency.PRIMARY
        if self.quorum.writes_waiting:
            return PollUrgency.WRITES
        if now < self.quorum.fresh_until:
            return PollUrgency.RECENT
        return PollUrgency.NONE

    def report_primary(self) -> PrimaryReport:
        """Tell peers when the primary was last heard."""
        leader = self.find_newest_primary()
        if leader is None:
            return PrimaryReport(self.group, self.newest_term, None, None)
        silence = self.states.find_liveness(leader).measure_silence(
            read_clock(),
        )
        return PrimaryReport(self.group, self.newest_term, leader, silence)

    def take_violations(self) -> list[Violation]:
        """Return the broken invariants seen since the last call."""
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

    def _is_uneasy(self, now: Monotonic) -> bool:
        leader = self.find_newest_primary()
        if leader is None:
            return True
        silence = self.states.find_liveness(leader).measure_silence(now)
        return silence is None or silence > UNEASY_AFTER
