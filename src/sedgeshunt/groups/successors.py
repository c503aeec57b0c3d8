"""Choose the target that takes over from a primary."""

from collections.abc import Mapping

from sedgeshunt.connections.target_session import LogRole, LogStatus
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.ranks import weigh
from sedgeshunt.identifiers import GroupId, TargetId, Term


def find_leader(
    statuses: Mapping[TargetId, LogStatus],
    least: Term,
) -> TargetId | None:
    """Return the target that leads in the newest term, if one does.

    `least` is the newest term in which a target is known to have led.
    """
    # A primary that was cut off or silent still says that it leads for up to a
    # second after it is back. If the one that replaced it is lost meanwhile,
    # the old one is all that says so; what was written since is not in its log.
    newest = max((status.term for status in statuses.values()), default=least)
    for target, status in statuses.items():
        if status.role is LogRole.PRIMARY:
            if status.term >= max(newest, least):
                return target
    return None


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
            weigh(group, target),
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
