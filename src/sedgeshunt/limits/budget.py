"""Bound how much load repeated attempts may add."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic

# Retries allowed for each first attempt.
RATIO = 0.1
# Retries allowed in each second without any first attempt.
MIN_PER_SECOND = 3
# The budget saves up at most this many retries.
LARGEST = 20


class RetryBudget:
    """Allow few retries for many first attempts."""

    # When a target fails, each of its requests would be sent again, and
    # the targets left would fail under twice their load.

    def __init__(
        self,
        ratio: float = RATIO,
        min_per_second: float = MIN_PER_SECOND,
        largest: float = LARGEST,
    ) -> None:
        """Start with a second's worth."""
        self._ratio = ratio
        self._min_per_second = min_per_second
        self._largest = largest
        self._tokens = min_per_second
        self._filled_at: Monotonic | None = None

    def note_request(self) -> None:
        """Take in a first attempt."""
        self._tokens = min(self._largest, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Return whether one more retry is allowed, and count it."""
        self._fill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self) -> None:
        now = read_clock()
        since = now if self._filled_at is None else self._filled_at
        self._filled_at = now
        earned = (now - since) * self._min_per_second
        self._tokens = min(self._largest, self._tokens + earned)
