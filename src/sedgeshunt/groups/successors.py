"""Find the primary of a group and choose its successor."""

from collections.abc import Mapping

from sedgeshunt.connections.target_session import LogRole, LogStatus
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.ranks import compute_weight
from sedgeshunt.identifiers import GroupId, TargetId, Term


def find_primary(
    statuses: Mapping[TargetId, LogStatus],
    min_term: Term,
    last_seen: Point | None = None,
) -> TargetId | None:
    """Return the primary of the newest term, None if there is none.

    `min_term` is the newest term known to have had a primary. `last_seen` is
    the newest log end that any primary had shown before the statuses were read.
    """
    # A superseded primary that was partitioned or silent reports itself as
    # primary for up to a second after its return. If its successor is lost
    # meanwhile, it is the only one to do so, but its log lacks the writes made
    # since.
    newest = max(
        (status.term for status in statuses.values()),
        default=min_term,
    )
    for target, status in statuses.items():
        if status.role is not LogRole.PRIMARY:
            continue
        # A primary of a newer term may lack the last records of the earlier.
        is_of_term = last_seen is not None and status.term <= last_seen.term
        if is_of_term and is_truncated(status.received, last_seen):
            continue
        if status.term >= max(newest, min_term):
            return target
    return None


def is_truncated(point: Point | None, last_seen: Point | None) -> bool:
    """Return whether a primary's log ends before its earlier end.

    A target that was restarted without its log may still report itself as
    primary of its old term. Reads from it would miss acknowledged writes, and
    replicas would copy its log. A primary's log never gets shorter within a
    term, so a shorter one proves the loss. `last_seen` must have been read
    before `point` was requested, as the log of a live primary grows meanwhile.
    """
    return point is not None and last_seen is not None and point < last_seen


def choose_successor(
    group: GroupId,
    statuses: Mapping[TargetId, LogStatus],
) -> TargetId | None:
    """Return the replica with the highest log end."""
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
    """Return whether a log has all writes known as acknowledged."""
    return acknowledged is None or acknowledged <= status.received


def is_safe_choice(
    unanswered: int,
    synchronous_replicas: int,
    *,
    covers_all: bool,
) -> bool:
    """Return whether the highest known log must have all acknowledged writes.

    `unanswered` is the number of replicas that didn't report their log end.
    `covers_all` is whether the log has all writes that this owner acknowledged.
    """
    # Each acknowledged write is on `synchronous_replicas` replicas. If fewer
    # than these are missing, one of the others has the write, and the highest
    # log has all of them.
    if not synchronous_replicas:
        return True
    return covers_all or unanswered < synchronous_replicas
