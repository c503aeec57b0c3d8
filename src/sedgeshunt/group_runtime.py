"""Run all that one proxy does for one group."""

from asyncio import TaskGroup
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack

from msgspec.structs import replace

from sedgeshunt.burn.gap_detector import GapDetector
from sedgeshunt.configuration.objects import LEAVING, STATE_LABEL, Target
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.groups.supervisor import GroupSupervisor
from sedgeshunt.identifiers import ProxyId
from sedgeshunt.requests.group_service import GroupService


class GroupRuntime:
    """Own the keeper, the services and the tasks of one group."""

    def __init__(
        self,
        service: GroupService,
        keeper: GroupSupervisor,
        is_leaving: Callable[[Target], bool],
        list_proxies: Callable[[], Sequence[ProxyId]],
        gaps: GapDetector,
    ) -> None:
        """Bring the parts together; nothing runs before run()."""
        self.service = service
        self._keeper = keeper
        self._is_leaving = is_leaving
        self._list_proxies = list_proxies
        self._gaps = gaps
        self._declared: list[Target] = []

    async def run(self) -> None:
        """Keep the group and watch its targets until cancelled."""
        async with AsyncExitStack() as owned:
            owned.push_async_callback(self.service.close)
            await owned.enter_async_context(self._keeper)
            tasks = await owned.enter_async_context(TaskGroup())
            following = tasks.create_task(self.service.track_replica_lag())
            owned.callback(following.cancel)
            await self.service.watch_targets(self.refresh)

    async def apply(self, snapshot: Snapshot) -> None:
        """Follow a new configuration."""
        self._declared = snapshot.list_targets(self.service.name)
        await self.service.apply(snapshot)
        self._tell(self._mark_leaving())

    def refresh(self) -> None:
        """Look for gaps and for targets that leave; called often."""
        self._gaps.check()
        marked = self._mark_leaving()
        if marked != self.service.targets:
            self._tell(marked)

    def _tell(self, targets: list[Target]) -> None:
        self.service.replace_targets(targets)
        self._keeper.set_targets(targets, self._list_proxies())

    def _mark_leaving(self) -> list[Target]:
        return [
            _mark(target) if self._is_leaving(target) else target
            for target in self._declared
        ]


def _mark(target: Target) -> Target:
    # The platform's word and a peer's count like the operators' own label,
    # so that every rule has one thing to look at.
    return replace(target, labels={**target.labels, STATE_LABEL: LEAVING})
