"""Run the steps of a test on one virtual clock."""

from asyncio import Runner, Task, create_task, gather, sleep
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from typing import Any, TypeVar

from sedgeshunt.clocks import read_clock
from tests.virtual_time import make_loop

POLL_INTERVAL = 0.0001
POLL_TIMEOUT = 20

Value = TypeVar('Value')


class VirtualTime:
    """Run work on a virtual clock that only advances during steps."""

    def __init__(self) -> None:
        """Start at zero."""
        self._tasks: list[Task[Any]] = []
        self._background: list[Task[Any]] = []
        self._owned = ExitStack()
        self._runner = self._owned.enter_context(
            Runner(loop_factory=make_loop),
        )

    def read_now(self) -> float:
        """Return the virtual time in seconds."""
        return self._runner.get_loop().time()

    def run(self, work: Coroutine[Any, Any, Value]) -> Value:
        """Run until `work` is done."""
        return self._runner.run(work)

    def act(self, action: Callable[[], None]) -> None:
        """Call `action` in the event loop at the current virtual time."""
        self.run(_act(action))

    def start(self, work: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Start `work` in parallel with the following steps."""
        self.run(self._start(work))

    def finish(self) -> None:
        """Wait for all started work."""
        self.run(self._finish())

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Advance time until the condition holds."""
        self.run(_wait_until(condition))

    def watch(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run `work` in the background until the end of the test."""
        self.act(lambda: self._background.append(create_task(work)))

    def list_failures(self) -> list[BaseException]:
        """Return the errors of background work."""
        ended = [task for task in self._background if task.done()]
        errors = (task.exception() for task in ended if not task.cancelled())
        return [error for error in errors if error is not None]

    def cancel_watches(self) -> None:
        """Cancel the background work."""
        for task in self._background:
            task.cancel()

    def close(self) -> None:
        """Close the event loop."""
        self._owned.close()

    async def _start(self, work: Callable[[], Any]) -> None:
        self._tasks.append(create_task(work()))
        await sleep(0)

    async def _finish(self) -> None:
        await gather(*self._tasks)
        self._tasks.clear()


async def _act(action: Callable[[], None]) -> None:
    action()


async def _wait_until(condition: Callable[[], bool]) -> None:
    deadline = read_clock() + POLL_TIMEOUT
    while not condition():
        assert read_clock() < deadline, 'the condition did not hold in time'
        await sleep(POLL_INTERVAL)
