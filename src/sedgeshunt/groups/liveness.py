"""Track the answers of a target and when to suspect that it failed."""

from sedgeshunt.groups.status import Observation
from sedgeshunt.identifiers import Monotonic, Seconds

SUSPICION_TIME = Seconds(0.5)
MAX_SUSPICION_TIME = Seconds(3)
# Multiple of the highest recent latency after which a target is suspected.
LATENCY_FACTOR = 3
# The highest recent latency decays by half in this time.
LATENCY_HALF_LIFE = Seconds(10)
# A restarting target may refuse connections for a moment. Two refusals this
# far apart mean that the target is down.
MIN_REFUSAL_INTERVAL = Seconds(0.05)


class TargetLiveness:
    """Evidence of whether one target is running."""

    def __init__(self) -> None:
        """Start without evidence."""
        self.is_connected = False
        self.last_answer_at: Monotonic | None = None
        self.asked_at: Monotonic | None = None
        self._max_latency = Seconds(0)
        self._max_latency_at = Monotonic(0)
        self._refused_at: Monotonic | None = None
        self._refused_again_at: Monotonic | None = None

    def record_answer(
        self,
        observation: Observation,
        resumed_at: Monotonic,
    ) -> None:
        """Record an answer."""
        self.is_connected = True
        now = observation.answered_at
        self.last_answer_at = max(now, self.last_answer_at or now)
        self.asked_at = max(observation.asked_at, self.asked_at or now)
        self._refused_at = None
        self._refused_again_at = None
        # A pause of this process inflates the measured latency.
        if observation.asked_at >= resumed_at:
            self._record_latency(observation)

    def record_disconnect(
        self,
        now: Monotonic,
        resumed_at: Monotonic,
        refused: bool,
    ) -> None:
        """Record that the connection was lost, or a new one refused."""
        self.is_connected = False
        if not refused:
            return
        if self._refused_at is None or self._refused_at < resumed_at:
            self._refused_at = now
        self._refused_again_at = now

    def find_refusal(self, resumed_at: Monotonic) -> Monotonic | None:
        """Return since when the target refuses connections, None if unsure."""
        since = self._refused_at
        if since is None or self._refused_again_at is None:
            return None
        interval = self._refused_again_at - since
        if since < resumed_at or interval < MIN_REFUSAL_INTERVAL:
            return None
        return since

    def get_suspicion_time(self, now: Monotonic) -> Seconds:
        """Return the silence after which the target is suspected."""
        # The time grows with the recent latency. A primary on a loaded
        # instance answers late, even more so during a failover, and
        # replacing it would interrupt writes without making them faster.
        max_latency = Seconds(LATENCY_FACTOR * self._decay_latency(now))
        return min(MAX_SUSPICION_TIME, max(SUSPICION_TIME, max_latency))

    def is_responsive(self, now: Monotonic) -> bool:
        """Return whether the target is connected and not suspected."""
        if not self.is_connected or self.last_answer_at is None:
            return False
        return now - self.last_answer_at <= self.get_suspicion_time(now)

    def measure_silence(self, now: Monotonic) -> Seconds | None:
        """Return the time since the last answered request was sent."""
        return None if self.asked_at is None else Seconds(now - self.asked_at)

    def _record_latency(self, observation: Observation) -> None:
        now = observation.answered_at
        latency = Seconds(now - observation.asked_at)
        if latency >= self._decay_latency(now):
            self._max_latency = latency
            self._max_latency_at = now

    def _decay_latency(self, now: Monotonic) -> Seconds:
        halvings = (now - self._max_latency_at) / LATENCY_HALF_LIFE
        return Seconds(self._max_latency * 0.5**halvings)
