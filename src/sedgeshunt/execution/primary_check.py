"""Check whether a primary has to be replaced."""

from asyncio import TaskGroup

from msgspec import Struct

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import LogRole, LogStatus
from sedgeshunt.execution.primary_context import PrimaryContext
from sedgeshunt.execution.statuses import read_status, read_statuses
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.successors import is_truncated
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    ProxyId,
    Seconds,
    TargetId,
)
from sedgeshunt.registry.directory import GroupMembers, KnownTarget

# The interval between checks of an idle primary, and the shortest one between
# checks of a busy primary.
CHECK_INTERVAL = Seconds(0.1)
MIN_CHECK_INTERVAL = Seconds(0.02)
# A busy primary that answers nothing for this long is probed.
STALL_TIMEOUT = Seconds(0.2)


class PrimaryCheck(Struct, frozen=True):
    """Hold the answers of a suspected primary, its peers and replicas."""

    status: LogStatus | None
    # The primary's log end, by its replies before the check.
    shown: Point | None
    # A peer that reaches the primary.
    next_owner: ProxyId | None
    others: dict[TargetId, LogStatus]

    def has_lost_log(self) -> bool:
        """Return whether the primary's log ends before `shown`."""
        if self.status is None:
            return False
        return is_truncated(self.status.received, self.shown)

    def is_leading(self) -> bool:
        """Return whether the target reports itself as primary."""
        return self.status is not None and self.status.role is LogRole.PRIMARY


async def check_primary(
    parts: PrimaryContext,
    group: GroupId,
    members: GroupMembers,
    known: KnownTarget,
    shown: Point | None,
) -> PrimaryCheck:
    """Query the primary, the peers and the other targets concurrently."""
    # Writes wait meanwhile, and each query may take its whole timeout.
    name = known.target.name
    async with TaskGroup() as tasks:
        status = tasks.create_task(read_status(parts.connector, known))
        next_owner = tasks.create_task(
            parts.peers.find_peer_reaching(group, name)
        )
        others = tasks.create_task(
            read_candidate_statuses(parts, members, name)
        )
    return PrimaryCheck(
        status.result(),
        shown,
        next_owner.result(),
        others.result(),
    )


async def read_candidate_statuses(
    parts: PrimaryContext,
    members: GroupMembers,
    primary: TargetId | None,
) -> dict[TargetId, LogStatus]:
    """Return the statuses of the targets that could be promoted."""
    others = [
        known
        for known in members.targets
        if known.target.name != primary and not known.target.is_leaving()
    ]
    return await read_statuses(parts.connector, others)


def is_replacement_due(members: GroupMembers, primary: TargetId) -> bool:
    """Return whether the primary is leaving and can be replaced."""
    known = members.find(primary)
    if known is not None and not known.target.is_leaving():
        return False
    return any(
        other.target.name != primary and not other.target.is_leaving()
        for other in members.targets
    )


def has_answered_since(executor: TargetExecutor, since: Monotonic) -> bool:
    """Return whether a target has answered anything since `since`."""
    answered_at = executor.answered_at
    return answered_at is not None and answered_at >= since


def find_check_delay(executor: TargetExecutor) -> Seconds:
    """Return the time until a stall could be detected."""
    since = executor.waiting_since
    if since is None:
        return CHECK_INTERVAL
    left = since + STALL_TIMEOUT - read_clock()
    return Seconds(min(CHECK_INTERVAL, max(MIN_CHECK_INTERVAL, left)))
