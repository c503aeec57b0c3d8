"""Queue statements with fair scheduling between classes and customers."""

from asyncio import Future
from collections import OrderedDict
from collections.abc import Callable
from typing import Generic, TypeVar

from msgspec import Struct

from sedgeshunt.customers.directory import ANONYMOUS
from sedgeshunt.identifiers import (
    CustomerId,
    Monotonic,
    Seconds,
    TrafficClass,
)
from sedgeshunt.limits.service_times import (
    ANY_WORK,
    INITIAL_LATENCY,
    WorkKind,
)

# Returns the time by which an answer is due, as of now.
DueTime = Callable[[], Monotonic]

# Time after a refusal for which its class counts as overloaded.
OVERLOAD_TIME = Seconds(1)

Outcome = TypeVar('Outcome')


class Waiter(Struct, Generic[Outcome], frozen=True, eq=False):
    """Hold one queued statement."""

    traffic_class: TrafficClass
    weight: int
    deadline: Monotonic
    turn: 'Future[Outcome]'
    customer: CustomerId = ANONYMOUS
    # Expected time in a slot.
    work: Seconds = INITIAL_LATENCY
    kind: WorkKind = ANY_WORK
    # None: an answer is due at the deadline.
    due: DueTime | None = None


class _ClassQueue(Generic[Outcome]):
    """Queue one class's waiters, round robin between its customers."""

    # In arrival order, one customer with many calls within its limit would
    # delay all others; round robin delays only that customer's own calls.

    def __init__(self) -> None:
        """Start empty."""
        self._size = 0
        # Expected work of all waiters.
        self.work: float = 0
        # The waiters of each customer, in the order of their arrival.
        self._waiting: OrderedDict[
            CustomerId,
            OrderedDict[Waiter[Outcome], None],
        ] = OrderedDict()
        # Virtual finish time of the class's last turn.
        self.finish_time: float = 0
        self.overloaded_until = Monotonic(0)

    def __len__(self) -> int:
        """Count the waiters."""
        return self._size

    def push(self, waiter: Waiter[Outcome]) -> None:
        """Add a waiter behind those of its customer."""
        own = self._waiting.setdefault(waiter.customer, OrderedDict())
        own[waiter] = None
        self._note_size(1, waiter)

    def pop(self) -> Waiter[Outcome]:
        """Remove and return the first waiter of the next customer."""
        customer, waiters = self._waiting.popitem(last=False)
        waiter, _ = waiters.popitem(last=False)
        if waiters:
            self._waiting[customer] = waiters
        self._note_size(-1, waiter)
        return waiter

    def remove(self, waiter: Waiter[Outcome]) -> bool:
        """Remove a waiter; return whether it was queued."""
        own = self._waiting.get(waiter.customer)
        if own is None or waiter not in own:
            return False
        own.pop(waiter)
        if not own:
            self._waiting.pop(waiter.customer)
        self._note_size(-1, waiter)
        return True

    def sum_before(self, customer: CustomerId) -> float:
        """Return the expected work that goes before a new arrival."""
        if not self._size:
            return 0
        own = len(self._waiting.get(customer, ()))
        before = own + sum(
            min(len(waiters), own + 1)
            for name, waiters in self._waiting.items()
            if name != customer
        )
        return before * self.work / self._size

    def sum_within(self, virtual_span: float, now: Monotonic) -> float:
        """Return the expected work that the class gets in a virtual span."""
        work = virtual_span * self._find_weight()
        # Refused callers of an overloaded class soon retry. Counting only the
        # current waiters would underestimate the wait of the other classes.
        if now < self.overloaded_until:
            return work
        return min(self.work, work)

    def _note_size(self, change: int, waiter: Waiter[Outcome]) -> None:
        self._size += change
        # Rounding errors of the sum end with the queue.
        self.work = self.work + change * waiter.work if self._size else 0

    def _find_weight(self) -> int:
        first = next(iter(self._waiting.values()))
        return next(iter(first)).weight


class FairQueue(Generic[Outcome]):
    """Order waiters by start-time fair queueing between classes.

    Source: Goyal, Vin, Cheng, Start-time Fair Queueing, SIGCOMM 1996.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._classes: dict[TrafficClass, _ClassQueue[Outcome]] = {}
        self._virtual_time: float = 0
        self._size = 0

    def __len__(self) -> int:
        """Count the waiters."""
        return self._size

    @property
    def work(self) -> float:
        """Return the expected work of all waiters."""
        return sum(queue.work for queue in self._classes.values())

    def push(self, waiter: Waiter[Outcome]) -> None:
        """Add a waiter behind those of its class."""
        queue = self._classes.setdefault(waiter.traffic_class, _ClassQueue())
        queue.push(waiter)
        self._size += 1

    def pop(self) -> Waiter[Outcome] | None:
        """Remove and return the next waiter; None if there is none."""
        queue = self._choose_class()
        if queue is None:
            return None
        self._size -= 1
        return queue.pop()

    def charge(self, waiter: Waiter[Outcome]) -> None:
        """Count the work of a removed waiter that runs."""
        # Those that are refused at their turn are not counted. Otherwise a
        # class whose queue is refused would get nothing after it.
        queue = self._classes[waiter.traffic_class]
        # A class that was idle starts at the current virtual time. Otherwise it
        # could make up for all the unused turns and starve the others.
        start = max(self._virtual_time, queue.finish_time)
        self._virtual_time = start
        # By work, not by turns: of two classes with one weight, that with slow
        # statements would get most of the target.
        queue.finish_time = start + waiter.work / waiter.weight

    def remove(self, waiter: Waiter[Outcome]) -> None:
        """Remove a waiter; removing it twice is harmless."""
        queue = self._classes.get(waiter.traffic_class)
        if queue is not None and queue.remove(waiter):
            self._size -= 1

    def note_refused(
        self,
        traffic_class: TrafficClass,
        now: Monotonic,
    ) -> None:
        """Record that a statement of the class was refused for overload."""
        queue = self._classes.get(traffic_class)
        if queue is not None:
            queue.overloaded_until = Monotonic(now + OVERLOAD_TIME)

    def sum_ahead(
        self,
        traffic_class: TrafficClass,
        weight: int,
        work: Seconds,
        now: Monotonic,
        customer: CustomerId = ANONYMOUS,
    ) -> float:
        """Return the expected work that goes before a new arrival."""
        own = self._classes.get(traffic_class)
        before = 0 if own is None else own.sum_before(customer)
        ahead: float = before
        for name, queue in self._classes.items():
            if name != traffic_class and queue:
                ahead += queue.sum_within((before + work) / weight, now)
        return ahead

    def _choose_class(self) -> _ClassQueue[Outcome] | None:
        chosen = None
        for queue in self._classes.values():
            if not queue:
                continue
            if chosen is None or queue.finish_time < chosen.finish_time:
                chosen = queue
        return chosen
