"""Query a group's targets for the state of their logs."""

from asyncio import TaskGroup, timeout
from collections.abc import Sequence

from sedgeshunt.connections.target_session import (
    LogStatus,
    TargetSessionConnector,
)
from sedgeshunt.exceptions import SedgeshuntError
from sedgeshunt.identifiers import Seconds, TargetId
from sedgeshunt.registry.directory import KnownTarget

# A target answers after 12 ms for the connection and a wait for a slot.
STATUS_TIMEOUT = Seconds(0.25)


async def read_statuses(
    connector: TargetSessionConnector,
    targets: Sequence[KnownTarget],
) -> dict[TargetId, LogStatus]:
    """Return the status of each target that answers in time."""
    async with TaskGroup() as tasks:
        asked = [
            tasks.create_task(read_status(connector, known))
            for known in targets
        ]
    statuses = (task.result() for task in asked)
    return {
        known.target.name: status
        for known, status in zip(targets, statuses, strict=True)
        if status is not None
    }


async def read_status(
    connector: TargetSessionConnector,
    known: KnownTarget,
) -> LogStatus | None:
    """Return one target's status, None if it does not answer in time."""
    target = known.target
    try:
        async with timeout(STATUS_TIMEOUT):
            session = await connector.connect(
                target,
                target.group,
                STATUS_TIMEOUT,
            )
            try:
                return await session.read_status()
            finally:
                await session.close()
    except (SedgeshuntError, TimeoutError):
        return None
