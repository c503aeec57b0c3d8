"""Plan a graceful stop within the grace period."""

from msgspec import Struct

from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.membership.rotation import MAX_REMOVAL_TIME

# Shares of the grace period after which open transactions are rolled back,
# after which no answer is awaited, and after which the process ends whatever
# the store and the peers do. The rest serves to close connections.
TRANSACTION_SHARE = 0.5
ANSWER_SHARE = 0.9
END_SHARE = 0.97


class StopSchedule(Struct, frozen=True):
    """Hold the moments of one graceful stop."""

    # Callers are asked to close idle sessions. The balancer sends callers here
    # until two of its checks have failed.
    idle_end: Monotonic
    # Open transactions are rolled back.
    transactions_end: Monotonic
    # Statements without an answer get an error.
    last_answer: Monotonic
    # The process ends.
    end: Monotonic


def plan_stop(now: Monotonic, grace: Seconds) -> StopSchedule:
    """Return the schedule of a stop that begins `now`."""
    transactions_end = Monotonic(now + grace * TRANSACTION_SHARE)
    return StopSchedule(
        min(Monotonic(now + MAX_REMOVAL_TIME), transactions_end),
        transactions_end,
        Monotonic(now + grace * ANSWER_SHARE),
        Monotonic(now + grace * END_SHARE),
    )
