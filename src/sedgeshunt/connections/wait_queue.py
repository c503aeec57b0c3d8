"""Let those who wait for a connection go on, who has least first."""

from asyncio import CancelledError, Future, get_running_loop
from collections import deque
from collections.abc import Callable

from msgspec import Struct

IsReady = Callable[[], bool]
# Tells how much the one who waits has already: the less, the sooner its turn.
Measure = Callable[[], int]


class _Waiter(Struct, frozen=True, eq=False):
    """Hold one who waits."""

    turn: 'Future[None]'
    is_ready: IsReady
    measure: Measure


def _is_always_ready() -> bool:
    return True


def _has_nothing() -> int:
    return 0


class WaitQueue:
    """Hold those who wait, and wake one at a time."""

    def __init__(self) -> None:
        """Start with nobody."""
        self._waiters: deque[_Waiter] = deque()

    def __bool__(self) -> bool:
        """Tell whether anybody waits."""
        return bool(self._waiters)

    def __len__(self) -> int:
        """Count those who wait."""
        return len(self._waiters)

    def has_ready(self) -> bool:
        """Tell whether anybody waits who could go on now."""
        return any(waiting.is_ready() for waiting in self._waiters)

    async def wait(
        self,
        is_ready: IsReady = _is_always_ready,
        measure: Measure = _has_nothing,
    ) -> None:
        """Wait until woken, which happens only while `is_ready`."""
        turn: Future[None] = get_running_loop().create_future()
        waiting = _Waiter(turn, is_ready, measure)
        self._waiters.append(waiting)
        try:
            await turn
        except CancelledError:
            if not turn.done() or turn.cancelled():
                self._forget(waiting)
                raise
            # A turn that was granted to a caller that has just given up
            # goes to the next one, who would else wait for nothing.
            self.wake_one()
            raise

    def wake_one(self) -> None:
        """Wake who has least of those who can go on, the first of several."""
        ready = (
            one
            for one in self._waiters
            if not one.turn.done() and one.is_ready()
        )
        chosen = min(ready, key=_measure, default=None)
        if chosen is not None:
            self._forget(chosen)
            chosen.turn.set_result(None)

    def wake_all(self) -> None:
        """Wake everybody."""
        while self._waiters:
            turn = self._waiters.popleft().turn
            if not turn.done():
                turn.set_result(None)

    def _forget(self, waiting: _Waiter) -> None:
        if waiting in self._waiters:
            self._waiters.remove(waiting)


def _measure(waiting: _Waiter) -> int:
    return waiting.measure()
