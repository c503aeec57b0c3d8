"""Check the answers of targets against their earlier answers."""

from dataclasses import dataclass
from enum import Enum

from sedgeshunt.groups.status import Observation, Role, TargetStatus
from sedgeshunt.identifiers import TargetId


class Invariant(Enum):
    """Invariants that the answers of a group's targets must satisfy."""

    ONE_PRIMARY = 'one primary in a term'
    TERM_RISES = 'the fencing term of a target never falls'
    LOG_GROWS = 'a log loses no record of its current term'


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that a target's answer broke."""

    invariant: Invariant
    target: TargetId
    detail: str


class AnswerRelation(Enum):
    """How an answer relates to the target's previous answer."""

    NEXT = 'next'
    # Requested before the earlier answer arrived; outdated, so ignored.
    LATE = 'late'
    # Requested after the earlier answer, but shows less than it.
    BROKEN = 'broken'


def classify_answer(earlier: Observation, later: Observation) -> AnswerRelation:
    """Return how `later` relates to `earlier`."""
    if find_regression(earlier.status, later.status) is None:
        return AnswerRelation.NEXT
    if later.asked_at < earlier.answered_at:
        return AnswerRelation.LATE
    return AnswerRelation.BROKEN


def find_regression(
    earlier: TargetStatus,
    later: TargetStatus,
) -> Violation | None:
    """Return the invariant broken between two answers of a target."""
    # A database restored from a backup loses its fence and part of its log.
    # If its answers still counted, the majority that acknowledged a write or
    # fenced an old primary would silently be one member short.
    if later.fencing_term < earlier.fencing_term:
        return Violation(
            Invariant.TERM_RISES,
            later.target,
            f'{earlier.fencing_term} fell to {later.fencing_term}',
        )
    if later.fencing_term > earlier.fencing_term:
        return None
    if not _must_keep_log(earlier, later):
        return None
    if later.log_end >= earlier.log_end:
        return None
    return Violation(
        Invariant.LOG_GROWS,
        later.target,
        f'{earlier.log_end} fell to {later.log_end}',
    )


def _must_keep_log(earlier: TargetStatus, later: TargetStatus) -> bool:
    # A replica may drop records of earlier terms that its new primary lacks,
    # possibly not before it connects to that primary.
    if earlier.log_end.term == earlier.fencing_term:
        return True
    return later.role is not Role.REPLICA
