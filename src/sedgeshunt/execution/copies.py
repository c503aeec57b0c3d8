"""Record which replicas may hold acknowledged writes."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import TargetSessionConnector
from sedgeshunt.execution.statuses import read_statuses
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.groups.successors import covers
from sedgeshunt.identifiers import CopyPlace, Monotonic, Seconds
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.registry.directory import GroupMembers, list_places

# A restarted target is listed again within seconds, one behind a network
# partition within tens of seconds. A target that is gone for good must not
# block promotions.
FORGET_DELAY = Seconds(30)
# Avoids repeating the attempt while the store or the replicas are unreachable.
RETRY_DELAY = Seconds(2)


class CopyRecorder:
    """Record the places of copies in the group's record while it is owned.

    A replica that cannot reach the store loses its entry there but continues
    to acknowledge writes for the primary. Without this record the listed
    replicas would look complete, and one that lacks these writes could be
    promoted. A place is removed only while a listed replica holds everything
    that the primary has acknowledged.
    """

    def __init__(
        self,
        ownership: GroupOwnership,
        records: GroupRecords,
        connector: TargetSessionConnector,
    ) -> None:
        """Record while `ownership` is held."""
        self._ownership = ownership
        self._records = records
        self._connector = connector
        self._absent_since: dict[CopyPlace, Monotonic] = {}
        self._paused_until = Monotonic(0)

    async def update(
        self,
        members: GroupMembers,
        executor: TargetExecutor,
    ) -> None:
        """Record new places and remove those unlisted for too long."""
        if not members.group.synchronous_replicas:
            return
        if read_clock() < self._paused_until:
            return
        recorded = self._records.find_copies(self._ownership.group)
        listed = list_places(members)
        gone = self._find_gone(recorded - listed)
        if listed - recorded:
            await self._record(recorded | listed)
        elif gone and await self._is_covered(members, executor):
            await self._record(recorded - gone)

    async def _record(self, places: frozenset[CopyPlace]) -> None:
        if not await self._records.record_copies(self._ownership, places):
            self._pause()

    def _find_gone(self, absent: frozenset[CopyPlace]) -> frozenset[CopyPlace]:
        now = read_clock()
        self._absent_since = {
            place: self._absent_since.get(place, now) for place in absent
        }
        return frozenset(
            place
            for place, since in self._absent_since.items()
            if now - since > FORGET_DELAY
        )

    async def _is_covered(
        self,
        members: GroupMembers,
        executor: TargetExecutor,
    ) -> bool:
        """Return whether a listed replica holds all acknowledged writes."""
        tip = executor.tip
        others = [
            known
            for known in members.targets
            if known.target.name != executor.target.name
        ]
        statuses = await read_statuses(self._connector, others)
        if any(covers(status, tip) for status in statuses.values()):
            return True
        self._pause()
        return False

    def _pause(self) -> None:
        self._paused_until = Monotonic(read_clock() + RETRY_DELAY)
