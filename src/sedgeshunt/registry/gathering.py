"""Say how long to gather changes before the store is asked again."""

from sedgeshunt.identifiers import Monotonic, Seconds

# For how long changes are gathered, at first and at the most: a configuration
# has 3 s to come into force, and its check takes up to 1.9 s of them. A burst
# is over after a gap.
SHORTEST_GATHER = Seconds(0.15)
LONGEST_GATHER = Seconds(0.6)
GATHER_GROWTH = 1.5
BURST_GAP = Seconds(1.5)


class Gathering:
    """Say how long to gather changes before a watch is armed again."""

    # Each arming is a call, and changes come in bursts: a fleet that starts, an
    # instance that is lost with what it owned. The first changes of a burst are
    # taken in at once, the later ones more together.

    def __init__(self) -> None:
        """Start with no burst."""
        self._pause = SHORTEST_GATHER
        self._noted_at: Monotonic | None = None

    def find_pause(self, now: Monotonic) -> Seconds:
        """Return how long to wait after changes that came at `now`."""
        before = self._noted_at
        self._noted_at = now
        if before is None or now - before > BURST_GAP:
            self._pause = SHORTEST_GATHER
        else:
            longer = GATHER_GROWTH * self._pause
            self._pause = Seconds(min(LONGEST_GATHER, longer))
        return self._pause
