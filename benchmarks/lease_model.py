"""Model a failover that waits for a lease, as a baseline."""

from contextlib import ExitStack
from random import Random
from unittest.mock import patch

from sedgeshunt.groups.liveness import TargetLiveness
from sedgeshunt.groups.stall_detector import StallDetector
from sedgeshunt.identifiers import Seconds

# A lease of 10 s is renewed every 3 s, so that what is left of it when the
# primary dies is between these.
LEASE_LEFT = (7, 10)


def wait_for_lease(seed: int, owned: ExitStack) -> None:
    """Let promotions begin once the lease has run out, until closed."""
    left = Seconds(Random(seed).uniform(*LEASE_LEFT))

    def get_lease_left(liveness: TargetLiveness, now: float) -> Seconds:
        """Suspect nothing while the lease lasts."""
        return left

    def ignore_refusal(liveness: TargetLiveness, resumed_at: float) -> None:
        """Take no refused connection for a proof."""

    def ignore_stall(stall: StallDetector) -> None:
        """Take a group that copies nothing for no cause."""

    for owner, name, double in (
        (TargetLiveness, 'get_suspicion_time', get_lease_left),
        (TargetLiveness, 'find_refusal', ignore_refusal),
        (StallDetector, 'find_stall', ignore_stall),
    ):
        owned.enter_context(patch.object(owner, name, double))
