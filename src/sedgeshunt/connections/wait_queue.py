"""Queue callers that wait for a connection, by rank."""

from asyncio import CancelledError, Future, get_running_loop
from collections import deque
from collections.abc import Callable

from msgspec import Struct

IsReady = Callable[[], bool]
# Returns the order of a waiter; the lowest goes first.
Rank = Callable[[], tuple[float, ...]]


class _Waiter(Struct, frozen=True, eq=False):
    """Hold one waiting caller."""

    future: 'Future[None]'
    is_ready: IsReady
    rank: Rank


def _is_always_ready() -> bool:
    return True


def _return_equal() -> tuple[float, ...]:
    return ()


class WaitQueue:
    """Queue waiting callers and wake them one at a time."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiters: deque[_Waiter] = deque()
        # Number of callers that are woken but have not resumed yet.
        self._woken = 0

    def __bool__(self) -> bool:
        """Return whether any caller waits."""
        return bool(self._waiters)

    def __len__(self) -> int:
        """Return the number of waiting callers."""
        return len(self._waiters)

    def has_ready(self) -> bool:
        """Return whether any waiting or woken caller could proceed now."""
        # What a caller was woken for could otherwise be taken by a new one that
        # runs first.
        return self._woken > 0 or any(
            waiter.is_ready() for waiter in self._waiters
        )

    def count_before(self, rank: Rank) -> int:
        """Count the waiting callers that go before a new one."""
        own = rank()
        return sum(waiter.rank() <= own for waiter in self._waiters)

    async def wait(
        self,
        is_ready: IsReady = _is_always_ready,
        rank: Rank = _return_equal,
    ) -> None:
        """Wait until woken, which wake_one does only while `is_ready()`."""
        future: Future[None] = get_running_loop().create_future()
        waiter = _Waiter(future, is_ready, rank)
        self._waiters.append(waiter)
        try:
            await future
        except CancelledError:
            if not future.done() or future.cancelled():
                self._remove(waiter)
                raise
            # The caller was woken but has been cancelled, so the next one is
            # woken instead of waiting in vain.
            self._woken -= 1
            self.wake_one()
            raise
        self._woken -= 1

    def wake_one(self) -> None:
        """Wake the ready caller of the lowest rank, the first of several."""
        ready = (
            one
            for one in self._waiters
            if not one.future.done() and one.is_ready()
        )
        chosen = min(ready, key=_get_rank, default=None)
        if chosen is not None:
            self._remove(chosen)
            self._wake(chosen)

    def wake_all(self) -> None:
        """Wake all waiting callers."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.future.done():
                self._wake(waiter)

    def _wake(self, waiter: _Waiter) -> None:
        self._woken += 1
        waiter.future.set_result(None)

    def _remove(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)


def _get_rank(waiter: _Waiter) -> tuple[float, ...]:
    return waiter.rank()
