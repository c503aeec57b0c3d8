"""Track whether the load balancer still sends callers to this instance."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic, Seconds

# Failed readiness checks in a row, one a second, after which the balancer
# removes an instance.
FAILED_CHECKS = 2
# Time after which the balancer has removed an instance even if its checks
# don't get through.
MAX_REMOVAL_TIME = Seconds(2.2)
# Time that the balancer takes to act on an answer.
SETTLE_TIME = Seconds(0.05)


class BalancerRotation:
    """Track the answers to the load balancer's readiness checks."""

    # Callers that are disconnected before the removal reconnect to the same
    # instance; after it, their statements are refused for longer than needed.
    # Waiting a fixed 2.2 s instead would extend the refusals in a partitioned
    # zone by up to 1.2 s.

    def __init__(self) -> None:
        """Start as in rotation."""
        self._unready_since: Monotonic | None = None
        self._failed_checks = 0
        self._removed_since: Monotonic | None = None

    def note_state(self, *, is_ready: bool) -> None:
        """Record whether this instance wants callers."""
        if is_ready:
            self._unready_since = None
        elif self._unready_since is None:
            self._unready_since = read_clock()

    def note_answer(self, *, is_ready: bool) -> None:
        """Record an answer to a readiness check."""
        self.note_state(is_ready=is_ready)
        if is_ready:
            self._failed_checks = 0
            self._removed_since = None
            return
        self._failed_checks += 1
        if self._failed_checks == FAILED_CHECKS:
            self._removed_since = read_clock()

    def is_removed(self) -> bool:
        """Return whether the balancer sends new callers elsewhere."""
        now = read_clock()
        since = self._unready_since
        if since is None:
            return False
        if now - since > MAX_REMOVAL_TIME:
            return True
        removed_since = self._removed_since
        return removed_since is not None and now - removed_since >= SETTLE_TIME
