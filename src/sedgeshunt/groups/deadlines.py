"""Tell whether a moment has come."""

from sedgeshunt.clocks import read_clock

# Event loops run timers up to their resolution early. A wait that then finds
# its deadline a hair ahead would go round without letting time pass.
RESOLUTION = 0.00001


def has_passed(deadline: float) -> bool:
    """Tell whether the loop's clock has reached `deadline`."""
    return read_clock() + RESOLUTION >= deadline
