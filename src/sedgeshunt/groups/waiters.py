"""Wake the tasks that wait until something has advanced far enough."""

from asyncio import Future, get_running_loop, timeout_at
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Generic, TypeVar

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Monotonic

# Entries of tasks that gave up are swept once there are this many.
SLACK = 256

Level = TypeVar('Level', Point, Monotonic)


class ThresholdWaiters(Generic[Level]):
    """Keep waiting tasks in the order of the level that they wait for."""

    # All writes of a proxy wait for the same few answers. Waking each of
    # them at each answer would cost more than the writes themselves; the
    # heap wakes only those whose level has been reached.

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._heap: list[tuple[Level, int, Future[None]]] = []
        self._order = count()
        self._waiting = 0

    def __len__(self) -> int:
        """Count the tasks that wait."""
        return self._waiting

    async def wait(self, level: Level, deadline: Monotonic) -> None:
        """Wait until `level` is released or the deadline has passed."""
        released: Future[None] = get_running_loop().create_future()
        self._sweep()
        heappush(self._heap, (level, next(self._order), released))
        with self._count(), suppress(TimeoutError):
            async with timeout_at(deadline):
                await released

    def release(self, reached: Level) -> None:
        """Wake all who wait for `reached` or less."""
        while self._heap and self._heap[0][0] <= reached:
            _wake(heappop(self._heap)[-1])

    def release_all(self) -> None:
        """Wake everyone, to look again."""
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

    def _sweep(self) -> None:
        if len(self._heap) < 2 * self._waiting + SLACK:
            return
        self._heap = [entry for entry in self._heap if not entry[-1].done()]
        heapify(self._heap)


class ChangeSignal:
    """Wake all who wait for the next change."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._next: Future[None] | None = None

    async def wait(self, deadline: Monotonic) -> bool:
        """Tell whether a change came by the deadline."""
        if self._next is None:
            self._next = get_running_loop().create_future()
        # Shared by all who wait: one that gives up must not cancel it.
        shared = self._next
        with suppress(TimeoutError):
            async with timeout_at(deadline):
                await _follow(shared)
        return shared.done()

    def notify(self) -> None:
        """Wake all who wait."""
        if self._next is not None:
            _wake(self._next)
            self._next = None


async def _follow(shared: Future[None]) -> None:
    follower: Future[None] = get_running_loop().create_future()
    shared.add_done_callback(lambda _done: _wake(follower))
    await follower


def _wake(waiting: Future[None]) -> None:
    if not waiting.done():
        waiting.set_result(None)
