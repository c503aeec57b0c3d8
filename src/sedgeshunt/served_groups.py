"""Run the groups that one proxy serves, as the configuration declares."""

from asyncio import Event, Task, TaskGroup
from contextlib import AsyncExitStack
from dataclasses import dataclass
from functools import partial

from sedgeshunt.burn.gap_detector import GapDetector, GapRecorder
from sedgeshunt.clocks import PauseWatch
from sedgeshunt.configuration.objects import Group, Target
from sedgeshunt.configuration.selector_matcher import SelectorMatcher
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.connections.pool import TargetPool
from sedgeshunt.connections.seats import SeatHolder
from sedgeshunt.connections.shares import compute_share
from sedgeshunt.decisions import DecisionLog
from sedgeshunt.group_runtime import GroupRuntime
from sedgeshunt.groups.supervisor import GroupSupervisor
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import GroupId, ProxyId, ZoneId
from sedgeshunt.limits.admission import TargetAdmission
from sedgeshunt.membership.instances import InstanceWatch
from sedgeshunt.membership.peers import PeerRoster
from sedgeshunt.ports import Address, TargetConnector
from sedgeshunt.requests.group_service import GroupService
from sedgeshunt.requests.target_service import TargetService
from sedgeshunt.routing.health import GroupHealth, TargetHealth


@dataclass(frozen=True, slots=True)
class GroupParts:
    """Hold what all groups of one proxy share."""

    proxy: ProxyId
    zone: ZoneId
    connector: TargetConnector
    decisions: DecisionLog
    pauses: PauseWatch
    roster: PeerRoster
    instances: InstanceWatch
    seat: SeatHolder
    record_gap: GapRecorder


class ServedGroups:
    """Start, follow and stop the groups that are served here."""

    def __init__(self, parts: GroupParts) -> None:
        """Serve no group before the first snapshot."""
        self.runtimes: dict[GroupId, GroupRuntime] = {}
        self._parts = parts
        self._snapshot = Snapshot()
        self._changed = Event()
        self._tasks: dict[GroupId, Task[None]] = {}

    def note_change(self, snapshot: Snapshot) -> None:
        """Follow `snapshot` soon, also when only the seat changed."""
        self._snapshot = snapshot
        self._changed.set()

    async def run(self) -> None:
        """Follow every change until cancelled."""
        async with AsyncExitStack() as owned:
            running = await owned.enter_async_context(TaskGroup())
            owned.callback(self._stop_all)
            while True:
                await self._changed.wait()
                self._changed.clear()
                await self._apply(self._snapshot, running)

    async def _apply(self, snapshot: Snapshot, running: TaskGroup) -> None:
        served = self._choose(snapshot)
        for gone in set(self.runtimes) - set(served):
            self._stop(gone)
        is_seated = self._parts.seat.is_seated()
        for name in served:
            runtime = self.runtimes.get(name)
            if runtime is None:
                runtime = self._make_runtime(snapshot.groups[name])
                self._tasks[name] = running.create_task(runtime.run())
            await runtime.apply(snapshot)
            await runtime.service.resize(is_seated=is_seated)
            self.runtimes[name] = runtime

    def _stop(self, name: GroupId) -> None:
        self.runtimes.pop(name)
        self._tasks.pop(name).cancel()

    def _stop_all(self) -> None:
        for name in tuple(self.runtimes):
            self._stop(name)

    def _choose(self, snapshot: Snapshot) -> list[GroupId]:
        own = snapshot.proxies.get(str(self._parts.proxy))
        if own is None:
            # Not declared yet: an instance that was just added serves all.
            return list(snapshot.groups)
        return SelectorMatcher(snapshot).list_proxy_groups(own)

    def _make_runtime(self, group: Group) -> GroupRuntime:
        parts = self._parts
        view = GroupView(group.name, parts.pauses)
        service = GroupService(
            group,
            view,
            parts.zone,
            GroupHealth(group.name, parts.decisions),
            self._make_service,
        )
        keeper = GroupSupervisor(
            group.name,
            view,
            parts.connector,
            parts.roster,
            parts.proxy,
            parts.decisions,
        )
        return GroupRuntime(
            service,
            keeper,
            parts.instances.is_target_leaving,
            partial(self._list_proxies, group.name),
            GapDetector(view, parts.record_gap, parts.decisions),
        )

    def _make_service(
        self,
        group: Group,
        target: Target,
        health: TargetHealth,
    ) -> TargetService:
        share = compute_share(group.connection_limit, group.seats)
        is_seated = self._parts.seat.is_seated()
        size = share.seated if is_seated else share.unseated
        pool = TargetPool(
            self._parts.connector,
            target.name,
            Address(target.host, target.port),
            group.name,
            size,
        )
        admission = TargetAdmission(
            target.name,
            size,
            group.slots,
            group.seats,
        )
        return TargetService(target, pool, admission, health)

    def _list_proxies(self, group: GroupId) -> list[ProxyId]:
        # Proxies that serve other groups never promote this one; ranked with
        # them, its promoter would hold back for each of a whole fleet.
        reach = SelectorMatcher(self._snapshot)
        serving = {proxy.name for proxy in reach.list_group_proxies(group)}
        live = self._parts.roster.list_live_proxies()
        declared = [proxy for proxy in live if proxy in serving]
        return sorted({self._parts.proxy, *declared})
