"""Wait for evidence from a majority of a group."""

from sedgeshunt.clocks import PauseWatch, read_clock
from sedgeshunt.groups.deadlines import has_passed
from sedgeshunt.groups.members import MemberStates
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.quorum import (
    Watermark,
    find_confirmation_time,
    find_durable,
    find_watermarks,
)
from sedgeshunt.groups.terms import TermHistory
from sedgeshunt.groups.waiters import ChangeSignal, ThresholdWaiters
from sedgeshunt.groups.watermarks import WatermarkSeries
from sedgeshunt.identifiers import Monotonic, Seconds

# Evidence that was requested longer ago than this is requested again before
# a write is acknowledged.
MAX_EVIDENCE_AGE = Seconds(0.5)
# Polls stay frequent for this long after a task needed fresh answers.
FREQUENT_POLLS_FOR = Seconds(1)


class QuorumTracker:
    """Wake waiting tasks when the latest answers prove their condition."""

    def __init__(
        self,
        members: MemberStates,
        terms: TermHistory,
        pauses: PauseWatch,
    ) -> None:
        """Evaluate the answers in `members` and the terms in `terms`."""
        self.changed = ChangeSignal()
        self.frequent_polls_until = Monotonic(0)
        self._members = members
        self._terms = terms
        self._pauses = pauses
        self._watermarks = WatermarkSeries()
        self._write_waiters: ThresholdWaiters[Point] = ThresholdWaiters()
        self._read_waiters: ThresholdWaiters[Monotonic] = ThresholdWaiters()

    @property
    def writes_waiting(self) -> int:
        """Return the number of writes that wait for acknowledgement."""
        return len(self._write_waiters)

    @property
    def reads_waiting(self) -> int:
        """Return the number of reads that wait for a watermark."""
        return len(self._read_waiters)

    def update(self, has_new_term: bool) -> None:
        """Evaluate the answers and wake the tasks whose condition is met."""
        observations = self._members.list_observations()
        majority = self._members.majority
        for mark in find_watermarks(observations, majority):
            self._watermarks.add(mark)
        newest = self._watermarks.get_newest()
        if newest is not None:
            self._read_waiters.release(newest.moment)
        if has_new_term:
            # Writes of earlier terms must notice that they were superseded.
            self._write_waiters.release_all()
        durable = self.find_durable()
        if durable is not None:
            self._write_waiters.release(durable)
        self.changed.notify()

    def find_durable(self) -> Point | None:
        """Return the highest point held by a majority in the newest term."""
        return find_durable(
            self._members.list_observations(),
            self._members.majority,
            self._terms.newest,
        )

    def find_covered(self, end: Point) -> Watermark | None:
        """Return the latest watermark that a log ending at `end` covers."""
        return self._watermarks.find_covered(end)

    def request_frequent_polls(self) -> None:
        """Poll the members frequently for a while."""
        self.frequent_polls_until = Monotonic(read_clock() + FREQUENT_POLLS_FOR)

    async def wait_barrier(
        self,
        since: Monotonic,
        deadline: Monotonic,
    ) -> Point | None:
        """Return the first watermark from `since` on, None after `deadline`."""
        while True:
            mark = self._watermarks.find_since(since)
            if mark is not None:
                return mark.point
            if has_passed(deadline):
                return None
            self.request_frequent_polls()
            await self._read_waiters.wait(since, deadline)

    async def wait_durable(self, point: Point, deadline: Monotonic) -> bool:
        """Return whether a majority confirmed `point` in the newest term."""
        while self._terms.is_current(point.term):
            if self._is_confirmed(point):
                return True
            if has_passed(deadline):
                return False
            await self._wait_for_evidence(point, deadline)
        return False

    def _is_confirmed(self, point: Point) -> bool:
        if point.term != self._terms.newest:
            return False
        confirmed_at = self._find_confirmation_time(point)
        if confirmed_at is None:
            return False
        # The primary may have been superseded while this process was frozen.
        # Only answers requested after the pause show that the term is still
        # the newest, so older ones don't count for an acknowledgement.
        self._pauses.check()
        oldest = read_clock() - MAX_EVIDENCE_AGE
        return confirmed_at >= max(oldest, self._pauses.resumed_at)

    async def _wait_for_evidence(
        self,
        point: Point,
        deadline: Monotonic,
    ) -> None:
        if self._find_confirmation_time(point) is None:
            await self._write_waiters.wait(point, deadline)
            return
        self.request_frequent_polls()
        await self.changed.wait(deadline)

    def _find_confirmation_time(self, point: Point) -> Monotonic | None:
        return find_confirmation_time(
            self._members.list_observations(),
            self._members.majority,
            point,
        )
