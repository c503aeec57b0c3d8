"""Bound the time of calls, with more of it for a slow target."""

from asyncio import timeout
from collections.abc import Awaitable

from sedgeshunt.groups.status import TargetStatus
from sedgeshunt.identifiers import Seconds

CALL_TIMEOUT = Seconds(0.6)
LONGEST_CALL_TIMEOUT = Seconds(4)
# A call may take this many times the time after which it is suspected.
PATIENCE_FACTOR = 1.2
GROWTH = 2


class AdaptiveTimeout:
    """Give a target more time after each call that it did not answer."""

    def __init__(self) -> None:
        """Start with the usual time."""
        self._allowed = CALL_TIMEOUT

    async def run(
        self,
        answer: Awaitable[TargetStatus],
        wait: Seconds,
        suspicion_time: Seconds,
    ) -> TargetStatus:
        """Return the answer to a call that may wait; raise TimeoutError."""
        # A timed out call leaves its answer on the connection, where the
        # next call would take it for its own; the caller closes it.
        usual = PATIENCE_FACTOR * suspicion_time
        try:
            async with timeout(wait + max(usual, self._allowed)):
                status = await answer
        except TimeoutError:
            more = Seconds(GROWTH * self._allowed)
            self._allowed = min(LONGEST_CALL_TIMEOUT, more)
            raise
        self._allowed = CALL_TIMEOUT
        return status
