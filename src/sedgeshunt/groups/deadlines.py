"""Check deadlines against the event loop's clock."""

from sedgeshunt.clocks import read_clock

# Event loops fire timers early by up to their resolution. Without this margin
# a wait that wakes just before its deadline would spin.
TIMER_RESOLUTION = 0.00001


def has_passed(deadline: float) -> bool:
    """Return whether the loop's clock has reached `deadline`."""
    return read_clock() + TIMER_RESOLUTION >= deadline
