"""Describe what is known of a group's targets, for people to read."""

from dataclasses import dataclass

from sedgeshunt.groups.liveness import TargetLiveness
from sedgeshunt.groups.status import TargetStatus
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Hold what is known of one target."""

    target: TargetId
    # None before the first answer, and while the target lacks what it had.
    status: TargetStatus | None
    linked: bool
    heard_ago: Seconds | None
    suspicion_time: Seconds
    # Provable age of the target's data; None when nothing proves it.
    age: Seconds | None


def describe_target(
    target: TargetId,
    status: TargetStatus | None,
    liveness: TargetLiveness,
    age: Seconds | None,
    now: Monotonic,
) -> TargetReport:
    """Put together what is known of one target."""
    return TargetReport(
        target=target,
        status=status,
        linked=liveness.linked,
        heard_ago=liveness.measure_silence(now),
        suspicion_time=liveness.get_suspicion_time(now),
        age=age,
    )
