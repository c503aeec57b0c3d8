"""Ask a primary whether it still leads while its owner is silent."""

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
# Longest time between a look and the claim that makes use of it.
MAX_RESULT_AGE = Seconds(0.5)


class PrimaryProbe:
    """Know beforehand what the next owner would have to wait for."""

    # An owner is often lost together with the primary, as when their zone is
    # cut off. That the primary does not answer takes a quarter of a second to
    # find out, which passes while the claim has to wait anyway.

    def __init__(
        self,
        group: GroupId,
        configuration: LiveConfiguration,
        records: GroupRecords,
        connector: TargetSessionConnector,
    ) -> None:
        """Know nothing."""
        self._group = group
        self._configuration = configuration
        self._records = records
        self._connector = connector
        self._failed_at: Monotonic | None = None
        self._wake_event = Event()

    def wake(self) -> None:
        """Look whether a look is wanted."""
        self._wake_event.set()

    async def run(self, is_wanted: Callable[[], bool]) -> None:
        """Look again and again while it is wanted, until cancelled."""
        while True:
            self._wake_event.clear()
            if is_wanted():
                await self._probe()
                await sleep(PROBE_INTERVAL)
            else:
                await self._wake_event.wait()

    def is_unreachable(self) -> bool:
        """Tell whether the primary has just failed to answer."""
        failed_at = self._failed_at
        return (
            failed_at is not None and read_clock() - failed_at < MAX_RESULT_AGE
        )

    def find_recorded_primary(self) -> KnownTarget | None:
        """Return the target that the latest owner noted as primary."""
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
