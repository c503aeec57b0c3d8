"""Describe the state of a group's targets for operators."""

from dataclasses import dataclass

from sedgeshunt.groups.liveness import TargetLiveness
from sedgeshunt.groups.status import TargetStatus
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId


@dataclass(frozen=True, slots=True)
class TargetReport:
    """The known state of one target."""

    target: TargetId
    # None before the first answer, and while the target is missing records
    # that it had shown.
    status: TargetStatus | None
    is_connected: bool
    heard_ago: Seconds | None
    suspicion_time: Seconds
    # Proven upper bound of the age of the target's data, None if unproven.
    age: Seconds | None


def describe_target(
    target: TargetId,
    status: TargetStatus | None,
    liveness: TargetLiveness,
    age: Seconds | None,
    now: Monotonic,
) -> TargetReport:
    """Return the report on one target."""
    return TargetReport(
        target=target,
        status=status,
        is_connected=liveness.is_connected,
        heard_ago=liveness.measure_silence(now),
        suspicion_time=liveness.get_suspicion_time(now),
        age=age,
    )
