"""Let a test act step by step on one virtual clock."""

from asyncio import Runner, Task, create_task, gather, sleep
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from typing import Any, TypeVar

from sedgeshunt.clocks import read_clock
from tests.virtual_time import make_loop

LOOK_EVERY = 0.0001
LOOK_LIMIT = 20

Value = TypeVar('Value')


class VirtualTime:
    """Run work on a virtual clock that stands still between steps."""

    def __init__(self) -> None:
        """Start at zero."""
        self._tasks: list[Task[Any]] = []
        self._watching: list[Task[Any]] = []
        self._owned = ExitStack()
        self._runner = self._owned.enter_context(
            Runner(loop_factory=make_loop),
        )

    def read_now(self) -> float:
        """Return the clock, in seconds."""
        return self._runner.get_loop().time()

    def run(self, work: Coroutine[Any, Any, Value]) -> Value:
        """Run until `work` is done."""
        return self._runner.run(work)

    def act(self, action: Callable[[], None]) -> None:
        """Do something at once, at the present moment of the clock."""
        self.run(_act(action))

    def start(self, work: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Let `work` go on beside what comes next."""
        self.run(self._start(work))

    def finish(self) -> None:
        """Wait for all that was started."""
        self.run(self._finish())

    def wait_until(self, is_so: Callable[[], bool]) -> None:
        """Let time pass until something is so."""
        self.run(_wait_until(is_so))

    def watch(self, work: Coroutine[Any, Any, Any]) -> None:
        """Let `work` go on until the end."""
        self.act(lambda: self._watching.append(create_task(work)))

    def list_failures(self) -> list[BaseException]:
        """List what made watched work fail."""
        ended = [task for task in self._watching if task.done()]
        errors = (task.exception() for task in ended if not task.cancelled())
        return [error for error in errors if error is not None]

    def cancel_watches(self) -> None:
        """End what would go on for ever."""
        for task in self._watching:
            task.cancel()

    def close(self) -> None:
        """End the clock."""
        self._owned.close()

    async def _start(self, work: Callable[[], Any]) -> None:
        self._tasks.append(create_task(work()))
        await sleep(0)

    async def _finish(self) -> None:
        await gather(*self._tasks)
        self._tasks.clear()


async def _act(action: Callable[[], None]) -> None:
    action()


async def _wait_until(is_so: Callable[[], bool]) -> None:
    deadline = read_clock() + LOOK_LIMIT
    while not is_so():
        assert read_clock() < deadline, 'it did not come about'
        await sleep(LOOK_EVERY)
