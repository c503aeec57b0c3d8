"""Hand calls to the task that owns a control connection."""

from asyncio import Future, get_running_loop, timeout
from collections import deque
from collections.abc import Awaitable, Callable

from sedgeshunt.exceptions import TargetLost, TargetUnreachable
from sedgeshunt.groups.status import TargetStatus
from sedgeshunt.identifiers import Seconds, TargetId
from sedgeshunt.ports import ControlConnection

# A command may have to wait behind a poll that is not answered.
COMMAND_TIMEOUT = Seconds(1)

ControlCall = Callable[[ControlConnection], Awaitable[TargetStatus]]


class Command:
    """Hold one call and whoever waits for its answer."""

    def __init__(self, call: ControlCall) -> None:
        """Wait to be run."""
        self.call = call
        self._answer: Future[TargetStatus] = get_running_loop().create_future()

    async def wait(self) -> TargetStatus:
        """Return the answer; raise what the call raised or TimeoutError."""
        async with timeout(COMMAND_TIMEOUT):
            return await self._answer

    def is_abandoned(self) -> bool:
        """Tell whether nobody waits any more."""
        # A fence or promotion that is run long after its round has ended
        # would only disturb the next one.
        return self._answer.done()

    def finish(self, status: TargetStatus) -> None:
        """Hand the answer to whoever waits."""
        if not self._answer.done():
            self._answer.set_result(status)

    def fail(self, error: Exception) -> None:
        """Hand an error to whoever waits."""
        if not self._answer.done():
            self._answer.set_exception(error)


class CommandQueue:
    """Keep the commands for one target until its task runs them."""

    def __init__(self, target: TargetId) -> None:
        """Refuse commands until opened."""
        self._target = target
        self._waiting: deque[Command] = deque()
        self._running: Command | None = None
        self._opened = False

    def open(self) -> None:
        """Accept commands."""
        self._opened = True

    def close(self) -> None:
        """Refuse further commands and fail those that wait."""
        self._opened = False
        if self._running is not None:
            self._running.fail(TargetLost(self._target, 'connection closed'))
        self._running = None
        while self._waiting:
            self._waiting.popleft().fail(self._refuse())

    async def submit(self, call: ControlCall) -> TargetStatus:
        """Have `call` run; raise TargetUnreachable or what it raises."""
        if not self._opened:
            raise self._refuse()
        command = Command(call)
        self._waiting.append(command)
        return await command.wait()

    def take(self) -> Command | None:
        """Return the next command that somebody still waits for."""
        self._running = None
        while self._waiting:
            command = self._waiting.popleft()
            if not command.is_abandoned():
                self._running = command
                return command
        return None

    def _refuse(self) -> TargetUnreachable:
        return TargetUnreachable(self._target, 'no control connection')
