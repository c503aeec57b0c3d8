"""Bound the time of calls to a target, longer if the target is slow."""

from asyncio import timeout
from collections.abc import Awaitable

from sedgeshunt.groups.status import TargetStatus
from sedgeshunt.identifiers import Seconds

MIN_CALL_TIMEOUT = Seconds(0.6)
MAX_CALL_TIMEOUT = Seconds(4)
# Multiple of the suspicion time that a call may take.
SUSPICION_FACTOR = 1.2
GROWTH_FACTOR = 2


class AdaptiveTimeout:
    """Double the timeout of a target's calls after each that times out."""

    def __init__(self) -> None:
        """Start with the minimum timeout."""
        self._timeout = MIN_CALL_TIMEOUT

    async def run(
        self,
        answer: Awaitable[TargetStatus],
        wait: Seconds,
        suspicion_time: Seconds,
    ) -> TargetStatus:
        """Return the answer of a call; raise TimeoutError.

        `wait` is the time for which the target may hold the call open.
        """
        # The caller must close the connection after a timeout: the late
        # answer would be read as the answer to the next call.
        minimum = SUSPICION_FACTOR * suspicion_time
        try:
            async with timeout(wait + max(minimum, self._timeout)):
                status = await answer
        except TimeoutError:
            longer = Seconds(GROWTH_FACTOR * self._timeout)
            self._timeout = min(MAX_CALL_TIMEOUT, longer)
            raise
        self._timeout = MIN_CALL_TIMEOUT
        return status
