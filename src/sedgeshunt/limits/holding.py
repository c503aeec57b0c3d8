"""Decide whether to hold a statement until it can run, or to refuse it."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic, Seconds

# Least time that has to be left after the expected wait: a statement and its
# round trip take some tens of milliseconds.
MIN_TIME_LEFT = Seconds(0.05)
# Bounds of the retry delay that a refused caller gets.
MIN_RETRY_DELAY = Seconds(0.05)
MAX_RETRY_DELAY = Seconds(1)


def is_worth_holding(
    expected_at: Monotonic | None,
    deadline: Monotonic,
) -> bool:
    """Return whether a wait until `expected_at` leaves time to run.

    None means that the end is unknown, so the wait may be in vain.
    """
    if expected_at is None:
        return False
    return max(expected_at, read_clock()) + MIN_TIME_LEFT < deadline


def find_retry_delay(expected_at: Monotonic | None) -> Seconds:
    """Return the delay after which a refused caller may retry."""
    if expected_at is None:
        return MAX_RETRY_DELAY
    ahead = expected_at - read_clock()
    return Seconds(min(MAX_RETRY_DELAY, max(MIN_RETRY_DELAY, ahead)))
