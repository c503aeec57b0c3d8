"""Write that the timers of this process are late."""

from sedgeshunt.clocks import PauseWatch, read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.identifiers import Monotonic, Seconds

# Time between two lines.
LINE_INTERVAL = Seconds(1)
MILLISECONDS = 1000


class LatenessLines:
    """Write late timers, at most one line a second."""

    def __init__(self, decisions: DecisionLog) -> None:
        """Write to `decisions`."""
        self._decisions = decisions
        self._watch = PauseWatch(on_pause=self.record)
        self._written_at: Monotonic | None = None
        # Late timers since the last line, and the latest of them.
        self._dropped = 0
        self._longest = Seconds(0)

    async def run(self) -> None:
        """Check until cancelled."""
        await self._watch.run()

    def record(self, span: Seconds) -> None:
        """Write that a timer came `span` after the one before, or count it."""
        now = read_clock()
        self._longest = max(self._longest, span)
        if self._written_at is not None:
            if now - self._written_at < LINE_INTERVAL:
                self._dropped += 1
                return
        self._written_at = now
        reasons = {
            'length_ms': str(round(self._longest * MILLISECONDS)),
            'others': str(self._dropped),
        }
        self._dropped = 0
        self._longest = Seconds(0)
        self._decisions.record(Decision(DecisionKind.PAUSED, reasons=reasons))
