"""Space out repeated attempts."""

from random import uniform

from sedgeshunt.identifiers import Seconds

SHORTEST = Seconds(0.05)
LONGEST = Seconds(1)
GROWTH = 2
JITTER = 0.5


class Backoff:
    """Return growing delays with jitter."""

    def __init__(
        self,
        shortest: Seconds = SHORTEST,
        longest: Seconds = LONGEST,
    ) -> None:
        """Grow from `shortest` to `longest`."""
        self._shortest = shortest
        self._longest = longest
        self._next = shortest

    def reset(self) -> None:
        """Start again with the shortest delay."""
        self._next = self._shortest

    def compute_delay(self) -> Seconds:
        """Return the next delay, never below the shortest."""
        delay = self._next
        self._next = Seconds(min(self._longest, GROWTH * delay))
        return Seconds(delay * uniform(1, 1 + JITTER))
