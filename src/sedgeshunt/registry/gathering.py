"""Choose how long to batch changes before the next call to the store."""

from sedgeshunt.identifiers import Monotonic, Seconds

# For how long changes are batched, at first and at most: a configuration has
# to come into force within 3 s, of which its check takes up to 1.9 s.
MIN_BATCH_DELAY = Seconds(0.15)
MAX_BATCH_DELAY = Seconds(0.6)
BATCH_DELAY_GROWTH = 1.5
# A burst ends after this time without changes.
BURST_GAP = Seconds(1.5)


class WatchBatching:
    """Choose how long to batch changes before the next watch request."""

    # Each watch request is a call, and changes come in bursts: a fleet that
    # starts, an instance that is lost with its groups. The delay is short for
    # the first changes of a burst and grows for later ones.

    def __init__(self) -> None:
        """Start outside of a burst."""
        self._pause = MIN_BATCH_DELAY
        self._latest_at: Monotonic | None = None

    def find_pause(self, now: Monotonic) -> Seconds:
        """Return how long to wait after changes received at `now`."""
        before = self._latest_at
        self._latest_at = now
        if before is None or now - before > BURST_GAP:
            self._pause = MIN_BATCH_DELAY
        else:
            longer = BATCH_DELAY_GROWTH * self._pause
            self._pause = Seconds(min(MAX_BATCH_DELAY, longer))
        return self._pause
