"""Compute exponential backoff delays."""

from random import uniform

from sedgeshunt.identifiers import Seconds

MIN_DELAY = Seconds(0.05)
MAX_DELAY = Seconds(1)
GROWTH_FACTOR = 2
MAX_JITTER = 0.5


class Backoff:
    """Produce exponentially growing delays with jitter."""

    def __init__(
        self,
        min_delay: Seconds = MIN_DELAY,
        max_delay: Seconds = MAX_DELAY,
    ) -> None:
        """Set the bounds of the delay before jitter is added."""
        self._min_delay = min_delay
        self._max_delay = max_delay
        self._next_delay = min_delay

    def reset(self) -> None:
        """Start again with the minimum delay."""
        self._next_delay = self._min_delay

    def compute_delay(self) -> Seconds:
        """Return the next delay; jitter only ever adds to it."""
        delay = self._next_delay
        self._next_delay = Seconds(min(self._max_delay, GROWTH_FACTOR * delay))
        return Seconds(delay * uniform(1, 1 + MAX_JITTER))
