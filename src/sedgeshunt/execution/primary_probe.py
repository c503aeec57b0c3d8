"""Probe a group's primary while the group's owner is unresponsive."""

from asyncio import Event, sleep
from collections.abc import Callable

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import (
    LogRole,
    TargetSessionConnector,
)
from sedgeshunt.execution.statuses import read_status
from sedgeshunt.identifiers import GroupId, Monotonic, Seconds
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.registry.directory import KnownTarget

PROBE_INTERVAL = Seconds(0.2)
# Longest time between a probe and the claim that uses its result.
MAX_RESULT_AGE = Seconds(0.5)


class PrimaryProbe:
    """Detect an unreachable primary before this proxy claims the group."""

    # An owner is often lost together with the primary, for example when their
    # zone is cut off. Detecting that the primary does not answer takes a
    # quarter of a second. Probing early hides this time in the wait for the
    # owner's lease.

    def __init__(
        self,
        group: GroupId,
        configuration: LiveConfiguration,
        records: GroupRecords,
        connector: TargetSessionConnector,
    ) -> None:
        """Start without a result."""
        self._group = group
        self._configuration = configuration
        self._records = records
        self._connector = connector
        self._failed_at: Monotonic | None = None
        self._wake_event = Event()

    def wake(self) -> None:
        """Check again whether a probe is wanted."""
        self._wake_event.set()

    async def run(self, is_wanted: Callable[[], bool]) -> None:
        """Probe repeatedly while `is_wanted`, until cancelled."""
        while True:
            self._wake_event.clear()
            if is_wanted():
                await self._probe()
                await sleep(PROBE_INTERVAL)
            else:
                await self._wake_event.wait()

    def is_unreachable(self) -> bool:
        """Return whether the latest probe is recent and failed."""
        failed_at = self._failed_at
        return (
            failed_at is not None and read_clock() - failed_at < MAX_RESULT_AGE
        )

    def find_recorded_primary(self) -> KnownTarget | None:
        """Return the target that the latest owner recorded as primary."""
        record = self._records.find_record(self._group)
        members = self._configuration.find_members(self._group)
        if record is None or record.leader is None or members is None:
            return None
        return members.find(record.leader.target)

    async def _probe(self) -> None:
        known = self.find_recorded_primary()
        if known is None:
            return
        status = await read_status(self._connector, known)
        leads = status is not None and status.role is LogRole.PRIMARY
        self._failed_at = None if leads else read_clock()
