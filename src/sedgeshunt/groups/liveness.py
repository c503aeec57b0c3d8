"""Keep when a target was heard and how long to wait before suspecting it."""

from sedgeshunt.groups.status import Observation
from sedgeshunt.identifiers import Monotonic, Seconds

SUSPICION_TIME = Seconds(0.5)
LONGEST_SUSPICION_TIME = Seconds(3)
# A silence becomes suspicious at this many times the slowest recent answer.
SLOWNESS_FACTOR = 3
# A slow answer counts half as much after this time.
SLOWNESS_HALF_LIFE = Seconds(10)
# A restarting target may refuse for a moment; two refusals this far apart
# mean that nothing listens there.
REFUSALS_APART = Seconds(0.05)


class TargetLiveness:
    """Hold the evidence that one target runs."""

    def __init__(self) -> None:
        """Start without evidence."""
        self.linked = False
        self.last_answer_at: Monotonic | None = None
        self.asked_at: Monotonic | None = None
        self._slowest = Seconds(0)
        self._slowest_at = Monotonic(0)
        self._refused_at: Monotonic | None = None
        self._refused_again_at: Monotonic | None = None

    def hear(self, observation: Observation, resumed_at: Monotonic) -> None:
        """Take in an answer."""
        self.linked = True
        now = observation.answered_at
        self.last_answer_at = max(now, self.last_answer_at or now)
        self.asked_at = max(observation.asked_at, self.asked_at or now)
        self._refused_at = None
        self._refused_again_at = None
        # Our own pause makes an answer look slow that was not.
        if observation.asked_at >= resumed_at:
            self._note_slowness(observation)

    def record_disconnect(
        self,
        now: Monotonic,
        resumed_at: Monotonic,
        refused: bool,
    ) -> None:
        """Take in that the link broke, or that a new one was refused."""
        self.linked = False
        if not refused:
            return
        if self._refused_at is None or self._refused_at < resumed_at:
            self._refused_at = now
        self._refused_again_at = now

    def find_refusal(self, resumed_at: Monotonic) -> Monotonic | None:
        """Return since when the target surely refuses, if it does."""
        since = self._refused_at
        if since is None or self._refused_again_at is None:
            return None
        apart = self._refused_again_at - since
        if since < resumed_at or apart < REFUSALS_APART:
            return None
        return since

    def get_suspicion_time(self, now: Monotonic) -> Seconds:
        """Return the silence after which the target is suspected."""
        # A primary on a loaded machine answers late, all the later under the
        # writes of a failover. Replacing it for that costs a gap and helps
        # nobody, so the time grows with the answers seen of late.
        slowest = Seconds(SLOWNESS_FACTOR * self._read_slowness(now))
        return min(LONGEST_SUSPICION_TIME, max(SUSPICION_TIME, slowest))

    def is_responsive(self, now: Monotonic) -> bool:
        """Tell whether the target is linked and not suspected."""
        if not self.linked or self.last_answer_at is None:
            return False
        return now - self.last_answer_at <= self.get_suspicion_time(now)

    def measure_silence(self, now: Monotonic) -> Seconds | None:
        """Return the time since the last answered question, None if none."""
        return None if self.asked_at is None else Seconds(now - self.asked_at)

    def _note_slowness(self, observation: Observation) -> None:
        now = observation.answered_at
        took = Seconds(now - observation.asked_at)
        if took >= self._read_slowness(now):
            self._slowest = took
            self._slowest_at = now

    def _read_slowness(self, now: Monotonic) -> Seconds:
        halvings = (now - self._slowest_at) / SLOWNESS_HALF_LIFE
        return Seconds(self._slowest * 0.5**halvings)
