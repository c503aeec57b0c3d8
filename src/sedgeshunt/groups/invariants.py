"""Check what targets say against what they said before."""

from dataclasses import dataclass
from enum import Enum

from sedgeshunt.groups.status import Observation, Role, TargetStatus
from sedgeshunt.identifiers import TargetId


class Invariant(Enum):
    """Name what no target and no pair of targets may ever show."""

    ONE_PRIMARY = 'one primary in a term'
    TERM_RISES = 'the fencing term of a target never falls'
    LOG_GROWS = 'a log loses no record of its current term'


@dataclass(frozen=True, slots=True)
class Violation:
    """Hold what broke which invariant."""

    invariant: Invariant
    target: TargetId
    detail: str


class AnswerOrder(Enum):
    """Tell how an answer relates to the one before it."""

    NEXT = 'next'
    # Asked before the earlier answer came, and read before it: no news.
    LATE = 'late'
    # The earlier answer came first, and yet the new one says less.
    BROKEN = 'broken'


def classify_answer(earlier: Observation, later: Observation) -> AnswerOrder:
    """Tell whether `later` may follow `earlier`."""
    if find_regression(earlier.status, later.status) is None:
        return AnswerOrder.NEXT
    if later.asked_at < earlier.answered_at:
        return AnswerOrder.LATE
    return AnswerOrder.BROKEN


def find_regression(
    earlier: TargetStatus,
    later: TargetStatus,
) -> Violation | None:
    """Return what a target has lost between two of its answers."""
    # A database restored from a backup forgets its fence and part of its
    # log: the majority that a write was acknowledged on, or that fenced an
    # old primary, would be one short without anybody noticing.
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
    # A follower drops what its new primary lacks, which are records of
    # earlier terms, and perhaps only once it reaches that primary.
    if earlier.log_end.term == earlier.fencing_term:
        return True
    return later.role is not Role.REPLICA
