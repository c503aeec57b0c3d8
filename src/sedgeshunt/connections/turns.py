"""Let those who wait for a connection go on in the order of their coming."""

from asyncio import CancelledError, Future, get_running_loop
from collections import deque


class TurnQueue:
    """Hold those who wait, and wake one at a time."""

    def __init__(self) -> None:
        """Start with nobody."""
        self._waiters: deque[Future[None]] = deque()

    def __bool__(self) -> bool:
        """Tell whether anybody waits."""
        return bool(self._waiters)

    async def wait(self) -> None:
        """Wait until woken."""
        turn: Future[None] = get_running_loop().create_future()
        self._waiters.append(turn)
        try:
            await turn
        except CancelledError:
            # A turn that was granted to a caller that has just given up
            # goes to the next one, who would else wait for nothing.
            if turn.done() and not turn.cancelled():
                self.wake_one()
            raise

    def wake_one(self) -> None:
        """Wake the first who still waits."""
        while self._waiters:
            turn = self._waiters.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def wake_all(self) -> None:
        """Wake everybody."""
        while self._waiters:
            self.wake_one()
