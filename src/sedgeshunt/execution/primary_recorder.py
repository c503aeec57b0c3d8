"""Keep the served primary recorded in the store."""

from asyncio import Task, create_task

from sedgeshunt.clocks import read_clock
from sedgeshunt.execution.order_lines import OrderLines
from sedgeshunt.execution.primary_finder import FoundPrimary
from sedgeshunt.execution.primary_state import PrimaryState
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.ownership.records import GroupRecords

# The store refuses a change if the record has changed at the same time, and all
# changes while it is overloaded.
RETRY_PAUSE = Seconds(0.5)


class PrimaryRecorder:
    """Record the served primary, again if the store did not take it.

    The next owner relies on the record: without it, it may drop a promotion
    under way, or accept a superseded primary.
    """

    def __init__(
        self,
        ownership: GroupOwnership,
        records: GroupRecords,
        state: PrimaryState,
        lines: OrderLines,
    ) -> None:
        """Record while `ownership` is held."""
        self._ownership = ownership
        self._records = records
        self._state = state
        self._lines = lines
        self._served: FoundPrimary | None = None
        self._retry_at = Monotonic(0)
        self._task: Task[None] | None = None

    async def record(self, served: FoundPrimary) -> None:
        """Record a primary that is served from now on."""
        self._served = served
        await self._record()

    def check(self) -> None:
        """Record the primary in the background if the record differs."""
        is_busy = self._task is not None and not self._task.done()
        if is_busy or read_clock() < self._retry_at or self._is_recorded():
            return
        self._task = create_task(self._record())

    def close(self) -> None:
        """Stop recording."""
        if self._task is not None:
            self._task.cancel()

    def _is_recorded(self) -> bool:
        record = self._records.find_record(self._ownership.group)
        served = self._served
        if record is None or served is None:
            return True
        leader = record.leader
        if leader is None:
            return False
        if leader.term > served.status.term:
            return True
        recorded = (leader.target, leader.term, record.intent)
        return recorded == (served.known.target.name, served.status.term, None)

    async def _record(self) -> None:
        served = self._served
        self._retry_at = Monotonic(read_clock() + RETRY_PAUSE)
        # Once the primary is given up, the record may hold a new intent, which
        # must stay.
        if served is None or self._state.executor is None:
            return
        intent = self._records.find_intent(self._ownership.group)
        name = served.known.target.name
        is_stored = await self._records.record_primary(
            self._ownership, name, served.status.term, served.known.life
        )
        if intent is not None:
            self._lines.record_cleared(
                self._ownership,
                intent.target,
                f'{name} is served',
                is_stored=is_stored,
            )
