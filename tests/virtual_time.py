"""Make event loops whose clock jumps from timer to timer."""

from math import floor

from async_solipsism import EventLoop
from async_solipsism.clock import Clock

RESOLUTION = 1e-9
# Below any float error of a reading, so that no timer is early.
TOLERANCE = 1e-12


class LateClock(Clock):
    """Move a little past each timer, never short of it."""

    # A timer that fires early wakes a loop that waits for its deadline; it
    # would find the deadline ahead, wait for nothing, and stay there.

    def advance(self, delta: float) -> None:
        """Move on by at least `delta` seconds."""
        if delta:
            self._ticks += floor(delta / self._resolution) + 1


def make_loop() -> EventLoop:
    """Return a loop on a virtual clock that starts at zero."""
    clock = LateClock(resolution=RESOLUTION)
    loop = EventLoop()
    # The library takes no clock from outside.
    loop._selector.clock = clock
    loop._EventLoop__clock = clock
    loop._clock_resolution = TOLERANCE
    return loop
