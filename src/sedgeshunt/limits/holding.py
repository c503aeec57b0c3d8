"""Decide whether to hold a statement until it can run, or to refuse it."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic, Seconds

# With less time left than this after the expected end of a wait, the answer
# would come too late: a statement and its way take some tens of milliseconds.
SHORTEST_USE = Seconds(0.05)
# A refused caller is told to come back no sooner, and no later, than this.
SHORTEST_RETRY = Seconds(0.05)
LONGEST_RETRY = Seconds(1)


def is_worth_holding(
    expected_at: Monotonic | None,
    deadline: Monotonic,
) -> bool:
    """Return whether a wait that is to end at `expected_at` leaves time.

    None means that nobody knows when, so that the wait may be for nothing.
    """
    if expected_at is None:
        return False
    return max(expected_at, read_clock()) + SHORTEST_USE < deadline


def find_retry_delay(expected_at: Monotonic | None) -> Seconds:
    """Return when a refused caller may come back."""
    if expected_at is None:
        return LONGEST_RETRY
    ahead = expected_at - read_clock()
    return Seconds(min(LONGEST_RETRY, max(SHORTEST_RETRY, ahead)))
