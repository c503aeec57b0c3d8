"""Admit the statements that a target can answer in time; refuse the rest."""

from asyncio import CancelledError, get_running_loop
from functools import partial
from random import uniform

from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.customers.directory import ANONYMOUS
from sedgeshunt.identifiers import (
    CustomerId,
    Monotonic,
    Seconds,
    TargetId,
    TrafficClass,
)
from sedgeshunt.limits.concurrency import AdaptiveConcurrency, Concurrency
from sedgeshunt.limits.fair_queue import DueTime, FairQueue, Waiter
from sedgeshunt.limits.permit import Permit
from sedgeshunt.limits.service_times import (
    ANY_WORK,
    ServiceTimes,
    WorkKind,
)
from sedgeshunt.requests.outcome import Cause, NotRun
from sedgeshunt.statements.waits import WaitCause, measure_wait

MAX_QUEUED = 1000
# Least time left, as a share of the expected service time, with which a
# statement is still sent after it has waited in the queue.
MIN_TIME_LEFT_SHARE = 0.5
# Share of the time left that a queued statement may spend on waiting. With
# more, benchmarks/overload.py shows answers that come too late; so does serving
# the newest waiter first, and then refusals come late as well.
QUEUE_TIME_SHARE = 0.5
# A target counts as stalled after this many average intervals without answers.
STALL_FACTOR = 4
MIN_RETRY_DELAY = Seconds(0.02)
MAX_RETRY_DELAY = Seconds(2)


_Turn = Result[Permit, NotRun]


class TargetAdmission:
    """Limit and queue one proxy's statements to one target."""

    def __init__(
        self,
        target: TargetId,
        share: int,
        slots: int = 3,
        seats: int = 6,
        limit: Concurrency | None = None,
        *,
        counts_stalls: bool = True,
    ) -> None:
        """Run at most `share` at once; `seats` proxies share the slots.

        Without a `limit`, the concurrency limit adapts to the latencies.
        Clear `counts_stalls` where a silent target is soon replaced, so that
        a stall does not predict the wait.
        """
        self.target = target
        self._counts_stalls = counts_stalls
        self.running = 0
        self.limit = limit or AdaptiveConcurrency(
            share,
            max(1, slots // max(1, seats)),
        )
        self._queue: FairQueue[_Turn] = FairQueue()
        self._service_times = ServiceTimes()
        self._released_at = Monotonic(0)
        self._is_closed = False

    @property
    def queued(self) -> int:
        """Return the number of queued statements."""
        return len(self._queue)

    @property
    def latency(self) -> Seconds:
        """Return the average latency, an estimate before the first answer."""
        return self._service_times.mean

    def resize(self, share: int) -> None:
        """Change the share of the target's connections."""
        self.limit.resize(share)
        self._admit_waiters()

    def expected_wait(self, now: Monotonic) -> Seconds:
        """Return how long a new statement would wait in the queue."""
        if self.has_room():
            return Seconds(0)
        return self._estimate_wait(self._queue.work, now)

    def expect_class_wait(
        self,
        traffic_class: TrafficClass,
        weight: int,
        now: Monotonic,
    ) -> Seconds:
        """Return how long a new statement of a class would wait."""
        if self.has_room():
            return Seconds(0)
        work = self._service_times.expect(traffic_class, ANY_WORK)
        ahead = self._queue.sum_ahead(traffic_class, weight, work, now)
        return self._estimate_wait(ahead, now)

    async def admit(
        self,
        traffic_class: TrafficClass,
        weight: int,
        deadline: Monotonic,
        *,
        kind: WorkKind = ANY_WORK,
        customer: CustomerId = ANONYMOUS,
        is_begun: bool = False,
        due: DueTime | None = None,
    ) -> Result[Permit, NotRun]:
        """Return a permit, or refuse as soon as none can be granted in time.

        A statement of a transaction that has begun is not refused for the
        expected wait. Without `due`, an answer is due at the deadline.
        """
        now = read_clock()
        error = self._find_error(deadline, now)
        if error is not None:
            return Err(error)
        if self.has_room():
            return Ok(self._start(traffic_class, kind, now))
        self.limit.note_full()
        if not is_begun:
            refusal = self.find_refusal(
                traffic_class,
                weight,
                deadline,
                kind=kind,
                customer=customer,
                due=due,
            )
            if refusal is not None:
                return Err(refusal)
        turn = get_running_loop().create_future()
        work = self._service_times.expect(traffic_class, kind)
        with measure_wait(WaitCause.QUEUE):
            return await self._wait_turn(
                Waiter(
                    traffic_class,
                    weight,
                    deadline,
                    turn,
                    customer,
                    work,
                    kind,
                    None if is_begun else due,
                ),
            )

    def find_refusal(
        self,
        traffic_class: TrafficClass,
        weight: int,
        deadline: Monotonic,
        *,
        kind: WorkKind = ANY_WORK,
        customer: CustomerId = ANONYMOUS,
        due: DueTime | None = None,
    ) -> NotRun | None:
        """Return the refusal that a new statement would get, if any."""
        now = read_clock()
        refusal = self._find_error(deadline, now)
        if refusal is not None or self.has_room():
            return refusal
        work = self._service_times.expect(traffic_class, kind)
        wait = self._estimate_wait(
            self._queue.sum_ahead(traffic_class, weight, work, now, customer),
            now,
        )
        due_at = deadline if due is None else due()
        if not self._is_too_long(wait, due_at - now - work):
            return None
        self._queue.note_refused(traffic_class, now)
        return self._refuse_overload(wait)

    def close(self) -> None:
        """Refuse queued and new statements; the target is not used any more."""
        self._is_closed = True
        while (waiter := self._queue.pop()) is not None:
            if not waiter.turn.done():
                waiter.turn.set_result(Err(self._refuse_closed()))

    def has_room(self) -> bool:
        """Return whether a statement would be admitted without waiting."""
        return not self._queue and self.running < self.limit.value

    def _find_error(self, deadline: Monotonic, now: Monotonic) -> NotRun | None:
        if self._is_closed:
            return self._refuse_closed()
        if now >= deadline:
            return self._refuse(Cause.DEADLINE, 'its deadline has passed')
        return None

    def _start(
        self, traffic_class: TrafficClass, kind: WorkKind, now: Monotonic
    ) -> Permit:
        if not self.running:
            self._released_at = now
        self.running += 1
        return Permit(partial(self._note_release, traffic_class, kind))

    def _note_release(
        self,
        traffic_class: TrafficClass,
        kind: WorkKind,
        latency: Seconds | None,
        ok: bool,
    ) -> None:
        now = read_clock()
        self.running -= 1
        self._released_at = now
        if latency is not None:
            if ok:
                self._service_times.record(traffic_class, kind, latency)
            self.limit.note(latency, ok=ok, now=now)
        self._admit_waiters()

    def _estimate_wait(self, work: float, now: Monotonic) -> Seconds:
        """Return how long work ahead and one running statement take."""
        mean = self._service_times.mean
        wait = (work + mean) / self.limit.value
        if not self._counts_stalls:
            return Seconds(wait)
        # A frozen target gives no answers that would raise the average, but
        # the time without an answer shows it at once.
        stalled = (now - self._released_at) / STALL_FACTOR
        return Seconds(max(wait, (work / mean + 1) * stalled))

    def _is_too_long(self, wait: Seconds, left: float) -> bool:
        return self.queued >= MAX_QUEUED or wait > left * QUEUE_TIME_SHARE

    async def _wait_turn(self, waiter: Waiter[_Turn]) -> _Turn:
        self._queue.push(waiter)
        timer = get_running_loop().call_at(
            waiter.deadline,
            self._expire,
            waiter,
        )
        try:
            return await waiter.turn
        except CancelledError:
            self._withdraw(waiter)
            raise
        finally:
            timer.cancel()

    def _withdraw(self, waiter: Waiter[_Turn]) -> None:
        self._queue.remove(waiter)
        turn = waiter.turn
        # A permit granted at the moment its caller cancels has to be released
        # here, or the target would lose the slot for good.
        if turn.done() and not turn.cancelled():
            granted = turn.result()
            if isinstance(granted, Ok):
                granted.ok_value.cancel()

    def _expire(self, waiter: Waiter[_Turn]) -> None:
        self._queue.remove(waiter)
        if not waiter.turn.done():
            reason = 'no turn came before its deadline'
            waiter.turn.set_result(Err(self._refuse(Cause.DEADLINE, reason)))

    def _admit_waiters(self) -> None:
        while self._queue and self.running < self.limit.value:
            waiter = self._queue.pop()
            if waiter is None:
                return
            if not waiter.turn.done():
                waiter.turn.set_result(self._admit_waiter(waiter))

    def _admit_waiter(self, waiter: Waiter[_Turn]) -> _Turn:
        # A statement sent with too little time left would waste work and end
        # with an unknown outcome; refused now, it certainly did not run.
        now = read_clock()
        if waiter.deadline - now < waiter.work * MIN_TIME_LEFT_SHARE:
            reason = 'its turn came too late to be answered in time'
            return Err(self._refuse(Cause.DEADLINE, reason))
        # In a standing queue, those that waited longest are late already, and
        # answering them first would make the others late as well.
        if waiter.due is not None and waiter.due() < min(
            now + waiter.work, waiter.deadline
        ):
            self._queue.note_refused(waiter.traffic_class, now)
            reason = 'its turn came too late for its objective'
            return Err(self._refuse(Cause.OVERLOAD, reason))
        self._queue.charge(waiter)
        return Ok(self._start(waiter.traffic_class, waiter.kind, now))

    def _refuse_closed(self) -> NotRun:
        return self._refuse(Cause.CONNECTION_LOST, 'it is not used any more')

    def _refuse_overload(self, wait: Seconds) -> NotRun:
        # Jitter: callers that all retried at once would be refused again.
        retry = uniform(0.5, 1.5) * max(MIN_RETRY_DELAY, wait)
        return self._refuse(
            Cause.OVERLOAD,
            f'about {wait:.3f} s of work wait already',
            Seconds(min(MAX_RETRY_DELAY, retry)),
        )

    def _refuse(
        self,
        cause: Cause,
        reason: str,
        retry: Seconds = MIN_RETRY_DELAY,
    ) -> NotRun:
        return NotRun(cause, f'target {self.target}: {reason}', retry)
