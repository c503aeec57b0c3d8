"""Wait for what a majority of a group has to show."""

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

# An acknowledgement goes out at most this long after its evidence was asked
# for; later it is asked for again.
MAX_EVIDENCE_AGE = Seconds(0.5)
# Polls stay frequent this long after somebody needed fresh answers.
FRESH_FOR = Seconds(1)


class QuorumTracker:
    """Tell waiting tasks what the latest answers prove together."""

    def __init__(
        self,
        members: MemberStates,
        terms: TermHistory,
        pauses: PauseWatch,
    ) -> None:
        """Draw on the answers in `members` and the terms in `terms`."""
        self.changed = ChangeSignal()
        self.fresh_until = Monotonic(0)
        self._members = members
        self._terms = terms
        self._pauses = pauses
        self._series = WatermarkSeries()
        self._durable: ThresholdWaiters[Point] = ThresholdWaiters()
        self._barriers: ThresholdWaiters[Monotonic] = ThresholdWaiters()

    @property
    def writes_waiting(self) -> int:
        """Count the writes that wait for their acknowledgement."""
        return len(self._durable)

    @property
    def reads_waiting(self) -> int:
        """Count the reads that wait for a watermark."""
        return len(self._barriers)

    def update(self, has_new_term: bool) -> None:
        """Draw the conclusions after an answer and wake who waited."""
        observations = self._members.list_observations()
        majority = self._members.majority
        for mark in find_watermarks(observations, majority):
            self._series.add(mark)
        newest = self._series.get_newest()
        if newest is not None:
            self._barriers.release(newest.moment)
        if has_new_term:
            # Writes of the earlier terms learn that they were superseded.
            self._durable.release_all()
        durable = self.find_durable()
        if durable is not None:
            self._durable.release(durable)
        self.changed.notify()

    def find_durable(self) -> Point | None:
        """Return the highest point kept by a majority in the newest term."""
        return find_durable(
            self._members.list_observations(),
            self._members.majority,
            self._terms.newest,
        )

    def find_covered(self, end: Point) -> Watermark | None:
        """Return the latest watermark that a log ending at `end` covers."""
        return self._series.find_covered(end)

    def request_frequent_polls(self) -> None:
        """Have the members asked often for a while."""
        self.fresh_until = Monotonic(read_clock() + FRESH_FOR)

    async def wait_barrier(
        self,
        since: Monotonic,
        deadline: Monotonic,
    ) -> Point | None:
        """Return the first watermark from `since` on, None if too late."""
        while True:
            mark = self._series.find_since(since)
            if mark is not None:
                return mark.point
            if has_passed(deadline):
                return None
            self.request_frequent_polls()
            await self._barriers.wait(since, deadline)

    async def wait_durable(self, point: Point, deadline: Monotonic) -> bool:
        """Tell whether a majority showed `point` while its term was newest."""
        while self._terms.is_current(point.term):
            if self._is_proven(point):
                return True
            if has_passed(deadline):
                return False
            await self._wait_for_evidence(point, deadline)
        return False

    def _is_proven(self, point: Point) -> bool:
        if point.term != self._terms.newest:
            return False
        dated = self._date(point)
        if dated is None:
            return False
        # A proxy frozen after the evidence came would acknowledge in the name
        # of a primary that was superseded meanwhile. Only answers that were
        # asked for after the pause can tell that the term is still newest.
        self._pauses.check()
        oldest = read_clock() - MAX_EVIDENCE_AGE
        return dated >= max(oldest, self._pauses.resumed_at)

    async def _wait_for_evidence(
        self,
        point: Point,
        deadline: Monotonic,
    ) -> None:
        if self._date(point) is None:
            await self._durable.wait(point, deadline)
            return
        self.request_frequent_polls()
        await self.changed.wait(deadline)

    def _date(self, point: Point) -> Monotonic | None:
        return find_confirmation_time(
            self._members.list_observations(),
            self._members.majority,
            point,
        )
