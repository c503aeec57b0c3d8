"""Bound the load that retries add."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic

# Retries allowed for each first attempt.
RETRY_RATIO = 0.1
# Retries allowed a second even without any first attempt.
MIN_RETRIES_PER_SECOND = 3
# Most unused retries that accumulate.
MAX_SAVED_RETRIES = 20


class RetryBudget:
    """Limit retries to a small share of the first attempts."""

    # When a target fails, retries of all its requests would double the load of
    # the remaining targets and make them fail too.

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        min_per_second: float = MIN_RETRIES_PER_SECOND,
        max_saved: float = MAX_SAVED_RETRIES,
    ) -> None:
        """Start with the retries of one second."""
        self._ratio = ratio
        self._min_per_second = min_per_second
        self._max_saved = max_saved
        self._tokens = min_per_second
        self._filled_at: Monotonic | None = None

    def note_request(self) -> None:
        """Record a first attempt."""
        self._tokens = min(self._max_saved, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Count one retry if it is allowed, and return whether it is."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self) -> None:
        now = read_clock()
        since = now if self._filled_at is None else self._filled_at
        self._filled_at = now
        earned = (now - since) * self._min_per_second
        self._tokens = min(self._max_saved, self._tokens + earned)
