"""Keep a group with a primary from one proxy."""

from asyncio import Task, TaskGroup
from collections.abc import Sequence
from contextlib import AsyncExitStack
from types import TracebackType

from sedgeshunt.configuration.objects import Target
from sedgeshunt.decisions import DecisionLog
from sedgeshunt.groups.context import LinkContext
from sedgeshunt.groups.link import TargetLink
from sedgeshunt.groups.objections import Objections
from sedgeshunt.groups.panel import PeerPanel
from sedgeshunt.groups.promoter import Promoter
from sedgeshunt.groups.ranks import rank_proxy
from sedgeshunt.groups.repair import Repair
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import GroupId, ProxyId, TargetId
from sedgeshunt.ports import Address, TargetConnector


class GroupKeeper:
    """Own one task for each target of a group, and the promoter."""

    def __init__(
        self,
        group: GroupId,
        view: GroupView,
        connector: TargetConnector,
        peers: PeerPanel,
        proxy: ProxyId,
        decisions: DecisionLog,
    ) -> None:
        """Keep `group` as `proxy`, filling `view`."""
        self._group = group
        self._view = view
        self._proxy = proxy
        self._repair = Repair(view)
        self._context = LinkContext(connector, view, self._repair, decisions)
        self._links: dict[TargetId, TargetLink] = {}
        self._promoter = Promoter(
            view,
            self._links,
            Objections(view, peers, decisions),
            decisions,
        )
        self._tasks: dict[TargetId, Task[None]] = {}
        self._owned = AsyncExitStack()
        self._running: TaskGroup | None = None

    async def __aenter__(self) -> 'GroupKeeper':
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
                TargetLink(name, address, self._context),
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
        self._view.lose(name)
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    def _stop_links(self) -> None:
        self._running = None
        for task in self._tasks.values():
            task.cancel()
