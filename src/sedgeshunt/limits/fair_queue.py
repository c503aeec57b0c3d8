"""Queue statements and share turns out fairly to classes and customers."""

from asyncio import Future
from collections import OrderedDict
from typing import Generic, TypeVar

from msgspec import Struct

from sedgeshunt.customers.directory import ANONYMOUS
from sedgeshunt.identifiers import (
    CustomerId,
    Monotonic,
    Seconds,
    TrafficClass,
)

# A class stays known for asking too much this long after a refusal.
OVERFULL_FOR = Seconds(1)

Outcome = TypeVar('Outcome')


class Waiter(Struct, Generic[Outcome], frozen=True, eq=False):
    """Hold one statement that waits for its turn."""

    traffic_class: TrafficClass
    weight: int
    deadline: Monotonic
    turn: 'Future[Outcome]'
    customer: CustomerId = ANONYMOUS


class _Lane(Generic[Outcome]):
    """Hold one class's waiters; its customers take turns."""

    # One customer that asks much, within its limit, would make all others wait
    # behind its calls; a turn each costs only itself.

    def __init__(self) -> None:
        """Start empty."""
        self._size = 0
        # Those of each customer in the order of their arrival.
        self._waiting: OrderedDict[
            CustomerId,
            OrderedDict[Waiter[Outcome], None],
        ] = OrderedDict()
        # Virtual time at which the class's last turn is paid for.
        self.paid_until: float = 0
        self.overfull_until = Monotonic(0)

    def __len__(self) -> int:
        """Count the waiters."""
        return self._size

    def push(self, waiter: Waiter[Outcome]) -> None:
        """Add a waiter behind those of its customer."""
        own = self._waiting.setdefault(waiter.customer, OrderedDict())
        own[waiter] = None
        self._size += 1

    def pop(self) -> Waiter[Outcome]:
        """Remove the first waiter of the customer whose turn it is."""
        customer, waiters = self._waiting.popitem(last=False)
        waiter, _ = waiters.popitem(last=False)
        if waiters:
            self._waiting[customer] = waiters
        self._size -= 1
        return waiter

    def remove(self, waiter: Waiter[Outcome]) -> bool:
        """Take out a waiter; tell whether it was there."""
        own = self._waiting.get(waiter.customer)
        if own is None or waiter not in own:
            return False
        own.pop(waiter)
        if not own:
            self._waiting.pop(waiter.customer)
        self._size -= 1
        return True

    def count_before(self, customer: CustomerId) -> int:
        """Return how many turns of the class come before a new arrival's."""
        own = len(self._waiting.get(customer, ()))
        return own + sum(
            min(len(waiters), own + 1)
            for name, waiters in self._waiting.items()
            if name != customer
        )

    def count_turns(self, virtual_span: float, now: Monotonic) -> float:
        """Return how many turns the class takes in a virtual span."""
        turns = virtual_span * self._find_weight()
        # A class that was just refused some will be back before its turns
        # are over; counting only those that wait now would promise others a
        # turn that comes too late.
        if now < self.overfull_until:
            return turns
        return min(self._size, turns)

    def _find_weight(self) -> int:
        first = next(iter(self._waiting.values()))
        return next(iter(first)).weight


class FairQueue(Generic[Outcome]):
    """Order waiters by start-time fair queueing between classes.

    Source: Goyal, Vin, Cheng, Start-time Fair Queueing, SIGCOMM 1996.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._lanes: dict[TrafficClass, _Lane[Outcome]] = {}
        self._virtual_time: float = 0
        self._size = 0

    def __len__(self) -> int:
        """Count the waiters."""
        return self._size

    def push(self, waiter: Waiter[Outcome]) -> None:
        """Add a waiter behind those of its class."""
        lane = self._lanes.setdefault(waiter.traffic_class, _Lane())
        lane.push(waiter)
        self._size += 1

    def pop(self) -> Waiter[Outcome] | None:
        """Remove the waiter whose turn it is."""
        lane = self._choose_lane()
        if lane is None:
            return None
        waiter = lane.pop()
        self._size -= 1
        # A class that was idle starts at the present: it can't claim later
        # all the turns that it did not need, and starve the others.
        start = max(self._virtual_time, lane.paid_until)
        self._virtual_time = start
        lane.paid_until = start + 1 / waiter.weight
        return waiter

    def remove(self, waiter: Waiter[Outcome]) -> None:
        """Take out a waiter that gave up; removing it twice does no harm."""
        lane = self._lanes.get(waiter.traffic_class)
        if lane is not None and lane.remove(waiter):
            self._size -= 1

    def note_refused(
        self,
        traffic_class: TrafficClass,
        now: Monotonic,
    ) -> None:
        """Take in that the class asks for more than its share."""
        lane = self._lanes.get(traffic_class)
        if lane is not None:
            lane.overfull_until = Monotonic(now + OVERFULL_FOR)

    def count_ahead(
        self,
        traffic_class: TrafficClass,
        weight: int,
        now: Monotonic,
        customer: CustomerId = ANONYMOUS,
    ) -> float:
        """Return how many turns come before that of a new arrival."""
        own = self._lanes.get(traffic_class)
        before = 0 if own is None else own.count_before(customer)
        ahead: float = before
        for name, lane in self._lanes.items():
            if name != traffic_class and lane:
                ahead += lane.count_turns((before + 1) / weight, now)
        return ahead

    def _choose_lane(self) -> _Lane[Outcome] | None:
        chosen = None
        for lane in self._lanes.values():
            if not lane:
                continue
            if chosen is None or lane.paid_until < chosen.paid_until:
                chosen = lane
        return chosen
