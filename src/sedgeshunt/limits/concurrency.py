"""Limit how many statements a proxy runs at a target at once."""

from abc import ABC, abstractmethod
from collections import deque

from sedgeshunt.identifiers import Monotonic, Seconds

# Statements between two changes of the limit.
BATCH_SIZE = 20
# Multiples of the best mean latency below which the limit may grow, and above
# which it shrinks.
GROW_BELOW = 2
SHRINK_ABOVE = 4
# Age up to which a batch counts for the best mean latency.
BEST_WINDOW = Seconds(30)


class Concurrency(ABC):
    """Limit the statements that one proxy runs at a target at once."""

    value: int

    @abstractmethod
    def resize(self, share: int) -> None:
        """Change the share of the target's connections."""

    @abstractmethod
    def note_full(self) -> None:
        """Take in that a statement found no room."""

    @abstractmethod
    def note(self, latency: Seconds, *, ok: bool, now: Monotonic) -> None:
        """Take in the end of one statement."""


class FixedConcurrency(Concurrency):
    """Limit the statements by a number that is known beforehand."""

    # A target that reports its number of slots needs no estimate by latencies:
    # those of a mixed load vary by more than an overload adds.

    def __init__(self, value: int) -> None:
        """Run at most `value` at once."""
        self.value = max(1, value)

    def resize(self, share: int) -> None:
        """Change the limit."""
        self.value = max(1, share)

    def note_full(self) -> None:
        """Do nothing, as the limit does not adapt."""

    def note(self, latency: Seconds, *, ok: bool, now: Monotonic) -> None:
        """Do nothing, as the limit does not adapt."""


class AdaptiveConcurrency(Concurrency):
    """Adapt the limit between 1 and a share to the observed latencies."""

    def __init__(self, share: int, start: int) -> None:
        """Start at `start` and never exceed `share`."""
        self.value = min(start, share)
        self._share = share
        self._spent: float = 0
        self._answers = 0
        self._failures = 0
        self._was_full = False
        self._means: deque[tuple[Monotonic, float]] = deque()

    def resize(self, share: int) -> None:
        """Change the share."""
        self._share = share
        self.value = min(self.value, share)

    def note_full(self) -> None:
        """Take in that a statement found no room."""
        self._was_full = True

    def note(self, latency: Seconds, *, ok: bool, now: Monotonic) -> None:
        """Take in the end of one statement."""
        if ok:
            self._answers += 1
            self._spent += latency
        else:
            self._failures += 1
        if self._answers + self._failures >= BATCH_SIZE:
            self._adapt(now)

    def _adapt(self, now: Monotonic) -> None:
        self.value = max(1, min(self._share, self.value + self._find_step(now)))
        self._spent = 0
        self._answers = 0
        self._failures = 0
        self._was_full = False

    def _find_step(self, now: Monotonic) -> int:
        if self._failures > self._answers:
            return -1
        mean = self._spent / self._answers
        best = self._find_best(mean, now)
        if mean > SHRINK_ABOVE * best:
            return -1
        return 1 if self._was_full and mean < GROW_BELOW * best else 0

    def _find_best(self, mean: float, now: Monotonic) -> float:
        # Latencies differ by kind of statement, so the means of whole batches
        # are compared.
        self._means.append((now, mean))
        while self._means[0][0] < now - BEST_WINDOW:
            self._means.popleft()
        return min(value for _, value in self._means)
