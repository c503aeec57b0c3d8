"""Read the monotonic clock and notice when the process was paused."""

from asyncio import get_running_loop, sleep
from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime

from sedgeshunt.identifiers import Boottime, Monotonic, Seconds

CHECK_EVERY = Seconds(0.05)
PAUSE_TOLERANCE = Seconds(0.25)


def read_clock() -> Monotonic:
    """Return the running loop's monotonic time, in seconds."""
    return Monotonic(get_running_loop().time())


def read_boottime() -> Boottime:
    """Return the time since the instance started, in seconds."""
    # A suspended instance's monotonic clock stands still: a lease measured
    # by it would seem held long after another instance has taken it over.
    return Boottime(clock_gettime(CLOCK_BOOTTIME))


# Imported first by a process that makes promises; see PromisesMade.
PROCESS_STARTED_AT = read_boottime()


class PauseWatch:
    """Notice pauses of the whole process by a late timer."""

    def __init__(
        self,
        tolerance: Seconds = PAUSE_TOLERANCE,
        on_pause: Callable[[Seconds], None] | None = None,
    ) -> None:
        """Count a timer that is later than `tolerance` as a pause."""
        self._tolerance = tolerance
        self._on_pause = on_pause
        self._last_check: Monotonic | None = None
        self.resumed_at: Monotonic = Monotonic(0)
        self.pauses = 0

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self.check()
            await sleep(CHECK_EVERY)

    def check(self) -> bool:
        """Tell whether a pause has just ended; callable at any moment."""
        # A frozen proxy wakes with timers that all seem fresh. Callers that
        # act on old evidence check here first, so that a pause between
        # evidence and action is seen even before the timer task runs.
        now = read_clock()
        last = self._last_check
        self._last_check = now
        if last is None or now - last < CHECK_EVERY + self._tolerance:
            return False
        self.resumed_at = now
        self.pauses += 1
        if self._on_pause is not None:
            self._on_pause(Seconds(now - last))
        return True
