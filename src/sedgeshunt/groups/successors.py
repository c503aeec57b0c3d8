"""Choose the target that takes over from a primary."""

from collections.abc import Mapping

from sedgeshunt.connections.target_session import LogRole, LogStatus
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.ranks import compute_weight
from sedgeshunt.identifiers import GroupId, TargetId, Term


def find_primary(
    statuses: Mapping[TargetId, LogStatus],
    least: Term,
    seen: Point | None = None,
) -> TargetId | None:
    """Return the target that leads in the newest term, if one does.

    `least` is the newest term in which a target is known to have led, `seen`
    the newest end of its log that any primary had shown when they were asked.
    """
    # A primary that was cut off or silent still says that it leads for up to a
    # second after it is back. If the one that replaced it is lost meanwhile,
    # the old one is all that says so; what was written since is not in its log.
    newest = max((status.term for status in statuses.values()), default=least)
    for target, status in statuses.items():
        if status.role is not LogRole.PRIMARY:
            continue
        # One of a newer term may lack what an earlier one showed last.
        is_of_term = seen is not None and status.term <= seen.term
        if is_of_term and is_truncated(status.received, seen):
            continue
        if status.term >= max(newest, least):
            return target
    return None


def is_truncated(point: Point | None, seen: Point | None) -> bool:
    """Tell whether a primary's log ends before what it has shown.

    Safeguard: a target that has started again without its log may still say
    that it leads, in its old term. Trusted, it would serve reads that miss
    acknowledged writes, and replicas would follow it. A primary's log never
    gets shorter within a term, so a shorter one is proof enough, if `seen` was
    shown before the question: a live primary's log grows while others answer.
    """
    return point is not None and seen is not None and point < seen


def choose_successor(
    group: GroupId,
    statuses: Mapping[TargetId, LogStatus],
) -> TargetId | None:
    """Return the replica whose log is furthest."""
    if not statuses:
        return None
    return max(
        statuses,
        key=lambda target: (
            statuses[target].received,
            compute_weight(group, target),
        ),
    )


def covers(status: LogStatus, acknowledged: Point | None) -> bool:
    """Tell whether a log has received all that is known as acknowledged."""
    return acknowledged is None or acknowledged <= status.received


def is_safe_choice(
    unheard: int,
    synchronous: int,
    *,
    covers_all: bool,
) -> bool:
    """Tell whether the furthest log heard must hold all acknowledged writes.

    `unheard` counts the replicas that did not tell their logs; `covers_all`
    says that the log holds all that this owner acknowledged itself.
    """
    # Each acknowledged write is on `synchronous` of the replicas. If fewer
    # than this are missing, one that was heard has it, and the furthest log
    # has all of them.
    if not synchronous:
        return True
    return covers_all or unheard < synchronous
