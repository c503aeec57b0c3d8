"""Keep a group with a primary from one proxy."""

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
    """Own one task for each target of a group, and the promoter."""

    def __init__(
        self,
        group: GroupId,
        view: GroupView,
        connector: TargetConnector,
        peers: PeerQuery,
        proxy: ProxyId,
        decisions: DecisionLog,
    ) -> None:
        """Keep `group` as `proxy`, filling `view`."""
        self._group = group
        self._view = view
        self._proxy = proxy
        self._repair = ReplicaRepair(view)
        self._context = MonitorContext(connector, view, self._repair, decisions)
        self._links: dict[TargetId, TargetMonitor] = {}
        self._promoter = Promoter(
            view,
            self._links,
            PromotionDeferral(view, peers, decisions),
            decisions,
        )
        self._tasks: dict[TargetId, Task[None]] = {}
        self._owned = AsyncExitStack()
        self._running: TaskGroup | None = None

    async def __aenter__(self) -> 'GroupSupervisor':
        """Start watching; an unexpected error ends the owner's task."""
        running = await self._owned.enter_async_context(TaskGroup())
        self._running = running
        promoting = running.create_task(self._promoter.run())
        self._owned.callback(self._stop_links)
        self._owned.callback(promoting.cancel)
        self._start_links()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Stop all tasks and close their connections."""
        return await self._owned.__aexit__(kind, error, trace)

    def set_targets(
        self,
        targets: Sequence[Target],
        proxies: Sequence[ProxyId],
    ) -> None:
        """Apply the configuration of the group; callable at any time."""
        rank = rank_proxy(self._group, self._proxy, proxies)
        self._repair.rank = rank
        self._promoter.rank = rank
        self._promoter.judge.leaving = frozenset(
            target.name for target in targets if target.is_leaving()
        )
        self._view.set_members([target.name for target in targets])
        addresses = {
            target.name: Address(target.host, target.port) for target in targets
        }
        for gone in self._find_gone(addresses):
            self._stop_link(gone)
        for name, address in addresses.items():
            self._links.setdefault(
                name,
                TargetMonitor(name, address, self._context),
            )
        self._start_links()

    def _find_gone(self, addresses: dict[TargetId, Address]) -> list[TargetId]:
        return [
            name
            for name, link in self._links.items()
            if addresses.get(name) != link.address
        ]

    def _start_links(self) -> None:
        if self._running is None:
            return
        for name, link in self._links.items():
            if name not in self._tasks:
                self._tasks[name] = self._running.create_task(link.run())

    def _stop_link(self, name: TargetId) -> None:
        del self._links[name]
        self._view.record_disconnect(name)
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    def _stop_links(self) -> None:
        self._running = None
        for task in self._tasks.values():
            task.cancel()
