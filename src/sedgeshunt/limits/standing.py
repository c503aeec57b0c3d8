"""Tell a queue that stands from one that a burst has left."""

from msgspec import Struct

from sedgeshunt.identifiers import Monotonic, Seconds

# A burst is worth waiting through: late answers are better than none, and it is
# over soon. A queue in which nobody was in time for so long is none that a
# burst has left; and one is over once nobody was late or refused for so long.
STANDS_AFTER = Seconds(0.5)
# Share of the time to the objective that may go by in queues; the rest is for
# the work itself.
SHARE_FOR_QUEUE = 0.5


class _Pressure(Struct):
    """Hold what those of one priority went through."""

    # When one was last let in too late, or refused.
    pressed_at: Monotonic
    # Since when nobody was let in soon enough.
    late_since: Monotonic
    is_standing: bool = False


class StandingQueue:
    """Follow whether those who were let in could still be in time."""

    # Under an overload that lasts, a queue as long as callers' deadlines makes
    # every answer late and no answer more: its length is all that callers get
    # for their wait. Refused at once, as many are served, and in time. Source:
    # Nichols and Jacobson, Controlling Queue Delay, ACM Queue 2012.

    def __init__(self) -> None:
        """Start with no queue."""
        self._known: dict[int, _Pressure] = {}

    def note_wait(
        self,
        priority: int,
        waited: Seconds,
        aim_left: Seconds,
        now: Monotonic,
    ) -> None:
        """Take in how long one waited who had `aim_left` at the beginning."""
        known = self._find(priority, now)
        is_late = waited > aim_left * SHARE_FOR_QUEUE
        if not is_late and (known is None or not known.is_standing):
            self._known.pop(priority, None)
        elif is_late and known is None:
            self._known[priority] = _Pressure(now, now)
        elif is_late and known is not None:
            known.pressed_at = now
            if now - known.late_since >= STANDS_AFTER:
                known.is_standing = True

    def note_refusal(self, priority: int, now: Monotonic) -> None:
        """Take in that one was refused for the length of the queue."""
        known = self._find(priority, now)
        if known is not None:
            known.pressed_at = now

    def find_due_time(
        self,
        priority: int,
        aim_left: Seconds,
        deadline: Monotonic,
        now: Monotonic,
    ) -> Monotonic:
        """Return the moment by which an answer has to be expected."""
        known = self._find(priority, now)
        if known is None or not known.is_standing:
            return deadline
        # Who has missed the objective already gives way to those who have not.
        return Monotonic(min(deadline, now + max(Seconds(0), aim_left)))

    def _find(self, priority: int, now: Monotonic) -> _Pressure | None:
        known = self._known.get(priority)
        if known is not None and now - known.pressed_at > STANDS_AFTER:
            self._known.pop(priority)
            return None
        return known
