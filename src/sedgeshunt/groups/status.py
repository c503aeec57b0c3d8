"""Describe what one target says of itself in a single answer."""

from enum import Enum

from msgspec import Struct

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Monotonic, TargetId, Term


class Role(Enum):
    """Name the part that a target plays in its group."""

    PRIMARY = 'primary'
    REPLICA = 'replica'
    FENCED = 'fenced'


class TargetStatus(Struct, frozen=True):
    """Hold one target's fencing term and log end, read together."""

    # Both come from one answer: read apart, a record that arrives after the
    # fence would count for the old term and be lost with the old primary.
    target: TargetId
    fencing_term: Term
    log_end: Point
    role: Role
    following: TargetId | None = None

    def retains(self, point: Point) -> bool:
        """Tell whether the log includes `point` and will not drop it."""
        # A replica whose source leads again may copy records of a term above
        # its own. A late order to follow the primary of a term in between is
        # then still accepted and drops them, and a session would miss its
        # write there. Only the fence at their term turns the order away.
        if self.log_end.term > self.fencing_term:
            return False
        return point.is_covered_by(self.log_end)


class Observation(Struct, frozen=True):
    """Hold a status with the reading taken before it was asked for."""

    status: TargetStatus
    asked_at: Monotonic
    answered_at: Monotonic
