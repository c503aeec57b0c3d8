"""Queue calls for the task that owns a control connection."""

from asyncio import Future, get_running_loop, timeout
from collections import deque
from collections.abc import Awaitable, Callable

from sedgeshunt.exceptions import TargetLost, TargetUnreachable
from sedgeshunt.groups.status import TargetStatus
from sedgeshunt.identifiers import Seconds, TargetId
from sedgeshunt.ports import ControlConnection

# A command may be queued behind a poll that isn't answered.
COMMAND_TIMEOUT = Seconds(1)

ControlCall = Callable[[ControlConnection], Awaitable[TargetStatus]]


class Command:
    """One queued call and the future of its answer."""

    def __init__(self, call: ControlCall) -> None:
        """Create a command that has not run yet."""
        self.call = call
        self._answer: Future[TargetStatus] = get_running_loop().create_future()

    async def wait(self) -> TargetStatus:
        """Return the answer; raise the call's error or TimeoutError."""
        async with timeout(COMMAND_TIMEOUT):
            return await self._answer

    def is_abandoned(self) -> bool:
        """Return whether no task waits for the answer any more."""
        # A fence or promotion that runs after its round has ended would
        # interfere with the next round.
        return self._answer.done()

    def finish(self, status: TargetStatus) -> None:
        """Set the answer for the waiting task."""
        if not self._answer.done():
            self._answer.set_result(status)

    def fail(self, error: Exception) -> None:
        """Set an error for the waiting task."""
        if not self._answer.done():
            self._answer.set_exception(error)


class CommandQueue:
    """Queue the commands for one target until its task runs them."""

    def __init__(self, target: TargetId) -> None:
        """Create a queue that rejects commands until it is opened."""
        self._target = target
        self._waiting: deque[Command] = deque()
        self._running: Command | None = None
        self._opened = False

    def open(self) -> None:
        """Start accepting commands."""
        self._opened = True

    def close(self) -> None:
        """Reject further commands and fail the pending ones."""
        self._opened = False
        if self._running is not None:
            self._running.fail(TargetLost(self._target, 'connection closed'))
        self._running = None
        while self._waiting:
            self._waiting.popleft().fail(self._refuse())

    async def submit(self, call: ControlCall) -> TargetStatus:
        """Run `call` and return its answer.

        Raise TargetUnreachable, TimeoutError or the error of the call.
        """
        if not self._opened:
            raise self._refuse()
        command = Command(call)
        self._waiting.append(command)
        return await command.wait()

    def take(self) -> Command | None:
        """Return the next command that isn't abandoned, None if none."""
        self._running = None
        while self._waiting:
            command = self._waiting.popleft()
            if not command.is_abandoned():
                self._running = command
                return command
        return None

    def _refuse(self) -> TargetUnreachable:
        return TargetUnreachable(self._target, 'no control connection')
