"""Wake tasks that wait for a threshold or for a change."""

from asyncio import Future, get_running_loop, timeout_at
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Generic, TypeVar

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Monotonic

# Number of entries of timed-out tasks above which they are removed.
MAX_DONE_ENTRIES = 256

Threshold = TypeVar('Threshold', Point, Monotonic)


class ThresholdWaiters(Generic[Threshold]):
    """Waiting tasks in the order of the threshold that they wait for."""

    # All writes of a proxy wait for answers of the same few targets. Waking
    # each write at each answer would cost more than the writes themselves, so
    # a heap finds those whose threshold is reached.

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self._heap: list[tuple[Threshold, int, Future[None]]] = []
        self._order = count()
        self._waiting = 0

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return self._waiting

    async def wait(self, threshold: Threshold, deadline: Monotonic) -> None:
        """Wait until `threshold` is reached or the deadline has passed."""
        released: Future[None] = get_running_loop().create_future()
        self._remove_done()
        heappush(self._heap, (threshold, next(self._order), released))
        with self._count(), suppress(TimeoutError):
            async with timeout_at(deadline):
                await released

    def release(self, reached: Threshold) -> None:
        """Wake the tasks with a threshold of at most `reached`."""
        while self._heap and self._heap[0][0] <= reached:
            _wake(heappop(self._heap)[-1])

    def release_all(self) -> None:
        """Wake all tasks to check their condition again."""
        for entry in self._heap:
            _wake(entry[-1])
        self._heap.clear()

    @contextmanager
    def _count(self) -> Iterator[None]:
        self._waiting += 1
        try:
            yield
        finally:
            self._waiting -= 1

    def _remove_done(self) -> None:
        if len(self._heap) < 2 * self._waiting + MAX_DONE_ENTRIES:
            return
        self._heap = [entry for entry in self._heap if not entry[-1].done()]
        heapify(self._heap)


class ChangeSignal:
    """Signal that wakes all tasks waiting for the next change."""

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self._next: Future[None] | None = None

    async def wait(self, deadline: Monotonic) -> bool:
        """Return whether a change was signalled by the deadline."""
        if self._next is None:
            self._next = get_running_loop().create_future()
        # All waiting tasks share the future; a timeout must not cancel it.
        shared = self._next
        with suppress(TimeoutError):
            async with timeout_at(deadline):
                await _wait_shared(shared)
        return shared.done()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        if self._next is not None:
            _wake(self._next)
            self._next = None


async def _wait_shared(shared: Future[None]) -> None:
    woken: Future[None] = get_running_loop().create_future()
    shared.add_done_callback(lambda _done: _wake(woken))
    await woken


def _wake(waiting: Future[None]) -> None:
    if not waiting.done():
        waiting.set_result(None)
