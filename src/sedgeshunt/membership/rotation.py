"""Tell whether the balancer still sends callers to this instance."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic, Seconds

# The balancer leaves an instance out after so many questions in a row without
# a yes; it asks each second.
MISSES = 2
# By then it has done so, should its questions not get through to here.
MAX_REMOVAL_TIME = Seconds(2.2)
# What it has just been told takes a moment to act on.
SETTLE_TIME = Seconds(0.05)


class BalancerRotation:
    """Follow what the balancer was told."""

    # Callers that are sent away any sooner come back to the same place; later,
    # they are refused meanwhile. By a fixed time of 2.2 s instead, a caller in
    # a zone that is cut off was refused for up to 1.2 s more.

    def __init__(self) -> None:
        """Be in rotation."""
        self._unready_since: Monotonic | None = None
        self._misses = 0
        self._out_since: Monotonic | None = None

    def note_state(self, *, is_ready: bool) -> None:
        """Take in whether callers are wanted here."""
        if is_ready:
            self._unready_since = None
        elif self._unready_since is None:
            self._unready_since = read_clock()

    def note_answer(self, *, is_ready: bool) -> None:
        """Take in what the balancer is being told."""
        self.note_state(is_ready=is_ready)
        if is_ready:
            self._misses = 0
            self._out_since = None
            return
        self._misses += 1
        if self._misses == MISSES:
            self._out_since = read_clock()

    def is_removed(self) -> bool:
        """Tell whether callers that connect now are led elsewhere."""
        now = read_clock()
        since = self._unready_since
        if since is None:
            return False
        if now - since > MAX_REMOVAL_TIME:
            return True
        out_since = self._out_since
        return out_since is not None and now - out_since >= SETTLE_TIME
