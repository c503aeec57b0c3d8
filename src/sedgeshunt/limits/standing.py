"""Distinguish a standing queue from one that a burst has left."""

from collections import OrderedDict

from msgspec import Struct

from sedgeshunt.customers.directory import ANONYMOUS
from sedgeshunt.identifiers import (
    CustomerId,
    Monotonic,
    Seconds,
    TrafficClass,
)

# Waiting out a burst is worth it: it ends soon, and late answers are better
# than none. A queue counts as standing if no statement was in time for this
# long, and as over once none was late or refused for this long.
STANDING_TIME = Seconds(0.5)
# Share of the time to the objective that statements may spend in queues; the
# rest is for the work itself.
QUEUE_TIME_SHARE = 0.5


class Flow(Struct, frozen=True):
    """Name the statements whose waits are judged together."""

    traffic_class: TrafficClass
    # ANONYMOUS: the statements of all customers.
    customer: CustomerId = ANONYMOUS


class _Lateness(Struct):
    """Hold how late the statements of one flow were admitted."""

    # When a statement was last admitted too late, or refused.
    late_at: Monotonic
    # Since when no statement was admitted soon enough.
    late_since: Monotonic
    is_standing: bool = False


class StandingQueue:
    """Track whether admitted statements could still meet their objective."""

    # Under a lasting overload, a queue as long as callers' deadlines makes
    # every answer late without more answers. With refusals instead, as many
    # statements are answered, and in time. Source: Nichols and Jacobson,
    # Controlling Queue Delay, ACM Queue 2012.

    def __init__(self) -> None:
        """Start without a standing queue."""
        # By class, as classes of one priority differ in their objectives. A
        # statement in time for a long one says nothing about a short one. By
        # customer as well, as the queue of one customer's excess stands while
        # the others of its class are in time.
        # The flow that was late or refused least recently is first.
        self._known: OrderedDict[Flow, _Lateness] = OrderedDict()

    def __len__(self) -> int:
        """Count the flows whose lateness is kept."""
        return len(self._known)

    def note_wait(
        self,
        flow: Flow,
        waited: Seconds,
        aim_left: Seconds,
        now: Monotonic,
    ) -> None:
        """Record the wait of a statement with `aim_left` to its objective."""
        known = self._find(flow, now)
        is_late = waited > aim_left * QUEUE_TIME_SHARE
        if not is_late and (known is None or not known.is_standing):
            self._known.pop(flow, None)
        elif is_late:
            known = known or _Lateness(now, now)
            self._note_late(flow, known, now)
            if now - known.late_since >= STANDING_TIME:
                known.is_standing = True

    def note_refusal(self, flow: Flow, now: Monotonic) -> None:
        """Record a refusal because of the length of the queue."""
        known = self._find(flow, now)
        if known is not None:
            self._note_late(flow, known, now)

    def find_due_time(
        self,
        flow: Flow,
        aim_left: Seconds,
        deadline: Monotonic,
        now: Monotonic,
    ) -> Monotonic:
        """Return the time by which an answer is due."""
        known = self._find(flow, now)
        if known is None or not known.is_standing:
            return deadline
        # A statement that already missed its objective gives way to the others.
        return Monotonic(min(deadline, now + max(Seconds(0), aim_left)))

    def _note_late(self, flow: Flow, known: _Lateness, now: Monotonic) -> None:
        known.late_at = now
        self._known[flow] = known
        self._known.move_to_end(flow)

    def _find(self, flow: Flow, now: Monotonic) -> _Lateness | None:
        # All that is over is dropped. Customers that were late once and never
        # came back would otherwise be kept for good.
        while self._known:
            first, lateness = next(iter(self._known.items()))
            if now - lateness.late_at <= STANDING_TIME:
                break
            self._known.pop(first)
        return self._known.get(flow)
