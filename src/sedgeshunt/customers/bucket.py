"""Limit operations to a rate and a burst with a token bucket."""

from math import floor, inf

from sedgeshunt.identifiers import Monotonic, Seconds


class TokenBucket:
    """Hold one token for each operation that may begin now."""

    # In any time span at most rate x span + capacity operations begin. Source:
    # Tanenbaum, Computer Networks, on the token bucket.

    def __init__(self, rate: float, tokens: float, now: Monotonic) -> None:
        """Start with `tokens` and add `rate` tokens a second."""
        self.rate = rate
        self._capacity = inf
        self._tokens = tokens
        self._filled_at = now

    def resize(self, rate: float, capacity: float, now: Monotonic) -> None:
        """Change the rate from now on, and the capacity."""
        self._fill(now)
        self.rate = rate
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def take(self, wanted: int, now: Monotonic) -> int:
        """Take up to `wanted` whole tokens; return the number taken."""
        self._fill(now)
        taken = min(wanted, floor(self._tokens))
        self._tokens -= taken
        return taken

    def lend(self, wanted: int, now: Monotonic) -> int:
        """Take up to `wanted` tokens for another bucket, at most half."""
        # A bucket that lends all its tokens would soon have to borrow itself.
        self._fill(now)
        return self.take(min(wanted, max(1, floor(self._tokens / 2))), now)

    def add(self, tokens: int, now: Monotonic) -> None:
        """Add tokens borrowed from another bucket."""
        self._fill(now)
        self._tokens = min(self._capacity, self._tokens + tokens)

    def find_wait(self, now: Monotonic) -> Seconds:
        """Return the time until a whole token is available."""
        self._fill(now)
        return Seconds(max(0, 1 - self._tokens) / self.rate)

    def find_room(self, now: Monotonic) -> int:
        """Return how many more whole tokens the bucket can hold."""
        self._fill(now)
        return floor(self._capacity - self._tokens)

    def _fill(self, now: Monotonic) -> None:
        gained = (now - self._filled_at) * self.rate
        self._tokens = min(self._capacity, self._tokens + gained)
        self._filled_at = now
