"""Define the status that a target reports in a single answer."""

from enum import Enum

from msgspec import Struct

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Monotonic, TargetId, Term


class Role(Enum):
    """Role of a target in its group."""

    PRIMARY = 'primary'
    REPLICA = 'replica'
    FENCED = 'fenced'


class TargetStatus(Struct, frozen=True):
    """Fencing term and log end of one target, read atomically."""

    # If both were read separately, a record that arrives after the fence would
    # count as evidence for the old term, although the new primary lacks it.
    target: TargetId
    fencing_term: Term
    log_end: Point
    role: Role
    following: TargetId | None = None

    def retains(self, point: Point) -> bool:
        """Return whether the log includes `point` and won't drop it."""
        # A replica whose source was promoted again may copy records of a term
        # above its own fencing term. It still accepts a late order to follow
        # the primary of a term in between and then drops these records, so
        # that a session would miss its own write. Only a fence at the term
        # of the records rejects such an order.
        if self.log_end.term > self.fencing_term:
            return False
        return point.is_covered_by(self.log_end)


class Observation(Struct, frozen=True):
    """A status with the times of its request and its answer."""

    status: TargetStatus
    asked_at: Monotonic
    answered_at: Monotonic
