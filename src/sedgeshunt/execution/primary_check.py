"""Read the signs by which a primary has to be replaced."""

from asyncio import TaskGroup

from msgspec import Struct

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import LogRole, LogStatus
from sedgeshunt.execution.primary_context import PrimaryContext
from sedgeshunt.execution.statuses import read_status, read_statuses
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.successors import is_behind
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    ProxyId,
    Seconds,
    TargetId,
)
from sedgeshunt.registry.directory import GroupMembers, KnownTarget

# How often an idle primary's signs of life are looked at, and the shortest
# pause between two looks at a busy one.
CHECK_INTERVAL = Seconds(0.1)
MIN_CHECK_INTERVAL = Seconds(0.02)
# A primary with work that answers nothing for so long is probed.
STALL_TIMEOUT = Seconds(0.2)


class PrimaryCheck(Struct, frozen=True):
    """Hold what a primary under suspicion and those around it answered."""

    status: LogStatus | None
    # The end of its log that it had shown when it was asked.
    shown: Point | None
    # A peer that reaches it.
    next_owner: ProxyId | None
    others: dict[TargetId, LogStatus]

    def has_lost_log(self) -> bool:
        """Tell whether the primary's log ends before what it had shown."""
        if self.status is None:
            return False
        return is_behind(self.status.received, self.shown)

    def is_leading(self) -> bool:
        """Tell whether the primary says that it leads."""
        return self.status is not None and self.status.role is LogRole.PRIMARY


async def check_primary(
    parts: PrimaryContext,
    group: GroupId,
    members: GroupMembers,
    known: KnownTarget,
    shown: Point | None,
) -> PrimaryCheck:
    """Ask the primary, the peers and the other targets."""
    # Each question may take its whole limit, and writes wait meanwhile.
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
    """Return the statuses of the targets that could lead next."""
    others = [
        known
        for known in members.targets
        if known.target.name != primary and not known.target.is_leaving()
    ]
    return await read_statuses(parts.connector, others)


def is_replacement_due(members: GroupMembers, primary: TargetId) -> bool:
    """Tell whether another target should lead soon."""
    known = members.find(primary)
    if known is not None and not known.target.is_leaving():
        return False
    return any(
        other.target.name != primary and not other.target.is_leaving()
        for other in members.targets
    )


def has_answered_since(executor: TargetExecutor, since: Monotonic) -> bool:
    """Tell whether a target has answered anything since a moment."""
    answered_at = executor.answered_at
    return answered_at is not None and answered_at >= since


def find_check_delay(executor: TargetExecutor) -> Seconds:
    """Return the time until a stall would show."""
    since = executor.waiting_since
    if since is None:
        return CHECK_INTERVAL
    left = since + STALL_TIMEOUT - read_clock()
    return Seconds(min(CHECK_INTERVAL, max(MIN_CHECK_INTERVAL, left)))
