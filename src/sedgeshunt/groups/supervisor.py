"""Monitor the targets of a group and replace its primary if needed."""

from asyncio import Task, TaskGroup
from collections.abc import Sequence
from contextlib import AsyncExitStack
from types import TracebackType

from sedgeshunt.configuration.objects import Target
from sedgeshunt.decisions import DecisionLog
from sedgeshunt.groups.monitor_context import MonitorContext
from sedgeshunt.groups.peer_query import PeerQuery
from sedgeshunt.groups.promoter import Promoter
from sedgeshunt.groups.promotion_deferral import PromotionDeferral
from sedgeshunt.groups.ranks import rank_proxy
from sedgeshunt.groups.repair import ReplicaRepair
from sedgeshunt.groups.target_monitor import TargetMonitor
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import GroupId, ProxyId, TargetId
from sedgeshunt.ports import Address, TargetConnector


class GroupSupervisor:
    """Run a monitor task for each target of a group, and the promoter."""

    def __init__(
        self,
        group: GroupId,
        view: GroupView,
        connector: TargetConnector,
        peers: PeerQuery,
        proxy: ProxyId,
        decisions: DecisionLog,
    ) -> None:
        """Supervise `group` on behalf of `proxy`, recording into `view`."""
        self._group = group
        self._view = view
        self._proxy = proxy
        self._repair = ReplicaRepair(view)
        self._context = MonitorContext(connector, view, self._repair, decisions)
        self._monitors: dict[TargetId, TargetMonitor] = {}
        self._promoter = Promoter(
            view,
            self._monitors,
            PromotionDeferral(view, peers, decisions),
            decisions,
        )
        self._tasks: dict[TargetId, Task[None]] = {}
        self._stack = AsyncExitStack()
        self._task_group: TaskGroup | None = None

    async def __aenter__(self) -> 'GroupSupervisor':
        """Start the tasks; an unexpected error cancels the entering task."""
        task_group = await self._stack.enter_async_context(TaskGroup())
        self._task_group = task_group
        promoting = task_group.create_task(self._promoter.run())
        self._stack.callback(self._stop_monitors)
        self._stack.callback(promoting.cancel)
        self._start_monitors()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Stop all tasks and close their connections."""
        return await self._stack.__aexit__(kind, error, trace)

    def set_targets(
        self,
        targets: Sequence[Target],
        proxies: Sequence[ProxyId],
    ) -> None:
        """Apply the configuration of the group, before or after the start."""
        rank = rank_proxy(self._group, self._proxy, proxies)
        self._repair.rank = rank
        self._promoter.rank = rank
        self._promoter.detector.leaving = frozenset(
            target.name for target in targets if target.is_leaving()
        )
        self._view.set_members([target.name for target in targets])
        addresses = {
            target.name: Address(target.host, target.port) for target in targets
        }
        for removed in self._find_removed(addresses):
            self._stop_monitor(removed)
        for name, address in addresses.items():
            self._monitors.setdefault(
                name,
                TargetMonitor(name, address, self._context),
            )
        self._start_monitors()

    def _find_removed(
        self,
        addresses: dict[TargetId, Address],
    ) -> list[TargetId]:
        return [
            name
            for name, monitor in self._monitors.items()
            if addresses.get(name) != monitor.address
        ]

    def _start_monitors(self) -> None:
        if self._task_group is None:
            return
        for name, monitor in self._monitors.items():
            if name not in self._tasks:
                self._tasks[name] = self._task_group.create_task(monitor.run())

    def _stop_monitor(self, name: TargetId) -> None:
        del self._monitors[name]
        self._view.record_disconnect(name)
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    def _stop_monitors(self) -> None:
        self._task_group = None
        for task in self._tasks.values():
            task.cancel()
