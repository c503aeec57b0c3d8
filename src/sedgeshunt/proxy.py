"""Put one proxy together: every instance runs this and is alike."""

from asyncio import Event, Task, TaskGroup
from collections.abc import Sequence
from contextlib import AsyncExitStack
from random import Random
from types import TracebackType

from result import Ok

from sedgeshunt.burn.exchange import TallyExchange
from sedgeshunt.burn.gap_watch import GapWatch
from sedgeshunt.burn.tally import Tally
from sedgeshunt.clocks import PauseWatch, read_clock
from sedgeshunt.configuration.feed import ConfigurationFeed
from sedgeshunt.configuration.labels import list_labels, read_selector
from sedgeshunt.configuration.objects import Group, Target
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.connections.pool import TargetPool
from sedgeshunt.connections.seats import SeatHolder
from sedgeshunt.connections.shares import compute_share
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.explanation import Explainer
from sedgeshunt.group_runtime import GroupRuntime
from sedgeshunt.groups.keeper import GroupKeeper
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import (
    GroupId,
    ProxyId,
    Revision,
    Seconds,
    Term,
    TraceId,
)
from sedgeshunt.limits.admission import TargetAdmission
from sedgeshunt.logs import StatementLog
from sedgeshunt.membership.directory import PeerDirectory
from sedgeshunt.membership.instances import InstanceWatch
from sedgeshunt.membership.peer_service import PeerService
from sedgeshunt.membership.peers import PeerRoster
from sedgeshunt.metrics import Metrics
from sedgeshunt.ports import (
    Address,
    ConfigurationCopy,
    InstanceList,
    KeyValueService,
    PeerConnector,
    PrimaryReport,
    ProxyReport,
    TargetConnector,
)
from sedgeshunt.requests.gate import CallerGate, CallerSession
from sedgeshunt.requests.group_service import GroupService
from sedgeshunt.requests.handler import RefusingSession, RequestHandler
from sedgeshunt.requests.recorder import OutcomeRecorder
from sedgeshunt.requests.target_service import TargetService
from sedgeshunt.routing.health import GroupHealth, TargetHealth
from sedgeshunt.sessions.session import SessionState
from sedgeshunt.sessions.token import SigningKey, TokenKeys
from sedgeshunt.settings import Settings


class ProxyInstance(CallerGate, PeerService):
    """Serve callers, peers and operators on one instance."""

    def __init__(
        self,
        settings: Settings,
        targets: TargetConnector,
        platform: KeyValueService,
        instances: InstanceList,
        peers: PeerConnector,
        metrics: Metrics,
        decisions: DecisionLog,
        statements: StatementLog,
    ) -> None:
        """Bring the parts together; nothing runs before it is entered."""
        self.name = settings.proxy
        self.zone = settings.zone_id
        self.pauses = PauseWatch(on_pause=self._note_pause)
        self.runtimes: dict[GroupId, GroupRuntime] = {}
        self.keys = TokenKeys(
            [
                SigningKey(key.id, key.secret.encode())
                for key in settings.session_keys
            ],
        )
        self.recorder = OutcomeRecorder(
            Tally(str(self.name)),
            metrics,
            statements,
        )
        self.instance_watch = InstanceWatch(
            instances,
            decisions,
            self._count_proxies,
            Random(f'{self.name}-list'),
        )
        self.roster = PeerRoster(
            self.name,
            self.zone,
            PeerDirectory(
                self.name,
                settings.peers.get_address(),
                [seed.get_address() for seed in settings.peers.seeds],
                self.instance_watch,
            ),
            peers,
            decisions,
            Random(f'{self.name}-peers'),
        )
        self.feed = ConfigurationFeed(
            platform,
            self.roster,
            self._note_configuration,
            decisions,
            Random(f'{self.name}-feed'),
        )
        self.seat = SeatHolder(
            platform,
            self.name,
            decisions,
            self._note_seat,
        )
        self.tallies = TallyExchange(
            self.name,
            self.recorder.tally,
            peers,
            lambda: self.feed.snapshot.proxies.values(),
            Random(f'{self.name}-tallies'),
        )
        self.explainer = Explainer(self.name, self.runtimes, self.keys)
        self._connector = targets
        self._decisions = decisions
        self._changed = Event()
        self._owned = AsyncExitStack()
        self._running: TaskGroup | None = None
        self._group_tasks: dict[GroupId, Task[None]] = {}

    async def __aenter__(self) -> 'ProxyInstance':
        """Start all tasks."""
        self._owned.push_async_callback(self.seat.release)
        running = await self._owned.enter_async_context(TaskGroup())
        self._running = running
        self._owned.callback(self._stop_groups)
        for task in (
            self.pauses.run(),
            self.instance_watch.run(),
            self.roster.run(),
            self.feed.run(),
            self.seat.run(),
            self.tallies.run(),
            self._apply_changes(),
        ):
            self._owned.callback(running.create_task(task).cancel)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Stop all tasks and close all connections."""
        return await self._owned.__aexit__(kind, error, trace)

    async def open_session(
        self,
        group: GroupId,
        trace: TraceId,
    ) -> CallerSession:
        """Open a session for a caller of `group`."""
        runtime = self.runtimes.get(group)
        if runtime is None:
            return RefusingSession(group, sorted(map(str, self.runtimes)))
        session = SessionState(read_clock())
        return RequestHandler(
            runtime.service,
            session,
            self.keys,
            self.recorder,
        )

    async def stop_gracefully(self) -> None:
        """Take no new work, and say so to callers and peers."""
        self.recorder.is_stopping = True
        await self.roster.announce_leaving(str(self.name))

    async def report(self) -> ProxyReport:
        """Tell what this proxy runs with."""
        return ProxyReport(
            self.name,
            self.zone,
            self.feed.snapshot.revision,
            self.recorder.is_stopping,
            b'',
        )

    async def report_primary(self, group: GroupId) -> PrimaryReport:
        """Tell when this proxy last heard a group's primary."""
        runtime = self.runtimes.get(group)
        if runtime is None:
            return PrimaryReport(group, Term(0), None, None)
        return runtime.service.view.report_primary()

    async def copy_configuration(
        self,
        known: Revision,
    ) -> ConfigurationCopy | None:
        """Return the configuration in force if it is newer than `known`."""
        return self.feed.encode_copy(known)

    async def announce_leaving(self, name: str) -> None:
        """Take note that instance `name` is leaving."""
        self.instance_watch.note_leaving(name)

    async def explain(self, question: bytes) -> bytes:
        """Answer an operator's question; both are JSON documents."""
        return self.explainer.answer(question)

    async def copy_tallies(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> Sequence[bytes]:
        """Return counts and copies, those of `proxies` or all."""
        return self.tallies.answer(since, proxies)

    def _count_proxies(self) -> int:
        return max(1, len(self.feed.snapshot.proxies))

    def _note_configuration(self, snapshot: Snapshot) -> None:
        self.roster.apply(snapshot)
        seats = [group.seats for group in snapshot.groups.values()]
        self.seat.seats = min(seats, default=0)
        self._changed.set()

    def _note_pause(self, length: Seconds) -> None:
        reasons = {'length': f'{length:.3f} s'}
        self._decisions.record(Decision(DecisionKind.PAUSED, reasons=reasons))

    def _note_seat(self) -> None:
        self._changed.set()

    async def _apply_changes(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._apply(self.feed.snapshot)

    async def _apply(self, snapshot: Snapshot) -> None:
        served = self._choose_groups(snapshot)
        for gone in set(self.runtimes) - set(served):
            self._stop_group(gone)
        for name, group in served.items():
            runtime = self.runtimes.get(name)
            if runtime is None:
                runtime = self._make_runtime(group)
                await runtime.apply(snapshot)
                self._start_group(name, runtime)
            else:
                await runtime.apply(snapshot)
            await runtime.service.resize(is_seated=self.seat.is_seated())

    def _start_group(self, name: GroupId, runtime: GroupRuntime) -> None:
        if self._running is None:
            return
        self.runtimes[name] = runtime
        self._group_tasks[name] = self._running.create_task(runtime.run())

    def _stop_group(self, name: GroupId) -> None:
        self.runtimes.pop(name)
        self._group_tasks.pop(name).cancel()

    def _stop_groups(self) -> None:
        for name in tuple(self.runtimes):
            self._stop_group(name)

    def _choose_groups(self, snapshot: Snapshot) -> dict[GroupId, Group]:
        own = snapshot.proxies.get(str(self.name))
        selector = read_selector(own.groups if own else '')
        if not isinstance(selector, Ok):
            return snapshot.groups
        return {
            name: group
            for name, group in snapshot.groups.items()
            if selector.ok_value.matches(list_labels(group))
        }

    def _make_runtime(self, group: Group) -> GroupRuntime:
        view = GroupView(group.name, self.pauses)
        health = GroupHealth(group.name, self._decisions)
        service = GroupService(
            group,
            view,
            self.zone,
            health,
            self._make_service,
        )
        keeper = GroupKeeper(
            group.name,
            view,
            self._connector,
            self.roster,
            self.name,
            self._decisions,
        )
        return GroupRuntime(
            service,
            keeper,
            self.instance_watch.is_target_leaving,
            self._list_proxies,
            GapWatch(view, self.recorder.tally.note_gap),
        )

    def _make_service(
        self,
        group: Group,
        target: Target,
        health: TargetHealth,
    ) -> TargetService:
        share = compute_share(group.connection_limit, group.seats)
        size = share.seated if self.seat.is_seated() else share.unseated
        pool = TargetPool(
            self._connector,
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

    def _list_proxies(self) -> list[ProxyId]:
        return sorted({self.name, *self.roster.live_proxies()})
