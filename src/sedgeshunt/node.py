"""Run one proxy for statement sessions as a process."""

import sys
from asyncio import (
    Event,
    Runner,
    TaskGroup,
    get_running_loop,
    sleep,
    timeout,
    timeout_at,
)
from contextlib import AsyncExitStack, suppress
from functools import partial
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM

from uvloop import new_event_loop

from sedgeshunt.adapters.channel import ProtocolBroken
from sedgeshunt.adapters.forwarding import ForwardingServer, StreamConnector
from sedgeshunt.adapters.listener import StreamListener
from sedgeshunt.adapters.pages import PageServer
from sedgeshunt.adapters.text_metrics import TextMetrics
from sedgeshunt.clocks import read_clock
from sedgeshunt.exceptions import SedgeshuntError, SettingsInvalid
from sedgeshunt.identifiers import Seconds
from sedgeshunt.lateness import LatenessLines
from sedgeshunt.logs import EventLog, LogLevel, ProcessEvent, open_log
from sedgeshunt.membership.rotation import BalancerRotation
from sedgeshunt.membership.stop_schedule import StopSchedule, plan_stop
from sedgeshunt.node_service import NodeService
from sedgeshunt.node_settings import (
    LIVE_FIELDS,
    NodeSettings,
    list_changed,
    read_node_settings,
    take_live,
)
from sedgeshunt.platform.callers import CallerServer
from sedgeshunt.platform.documents import StoreDocuments
from sedgeshunt.platform.promotions import PlatformPromotions
from sedgeshunt.platform.readiness import (
    list_metrics_pages,
    list_readiness_pages,
)
from sedgeshunt.platform.store import MetadataStore
from sedgeshunt.platform.targets import WireTargetConnector
from sedgeshunt.statement_lines import StatementLines
from sedgeshunt.statements.counts import DecisionCounts, StatementCounts

SETTINGS_OPTION = '--settings'
# How often callers are looked after that are better served elsewhere.
SEND_EVERY = Seconds(0.05)
# The platform may change the settings' file without a signal.
LOOK_EVERY = Seconds(2)


class NodeProcess:
    """Own one proxy and its listeners to a graceful stop."""

    def __init__(
        self,
        path: Path,
        settings: NodeSettings,
        log: EventLog,
    ) -> None:
        """Start nothing yet; `path` is where the settings were read."""
        self._path = path
        self._settings = settings
        self._log = log
        self._stopping = Event()
        self._signalled = Event()
        self._metrics = TextMetrics()
        self._decisions = DecisionCounts(self._metrics, log)
        self._rotation = BalancerRotation()
        self._peer_listener: StreamListener | None = None
        self._store = MetadataStore(settings.store.place)
        self._promotions = PlatformPromotions(settings.promotions.place)

    async def run(self) -> None:
        """Serve until a signal, then let what is under way finish."""
        loop = get_running_loop()
        for signal in (SIGTERM, SIGINT):
            loop.add_signal_handler(signal, self._stopping.set)
        loop.add_signal_handler(SIGHUP, self._signalled.set)
        async with AsyncExitStack() as owned:
            node = self._open_node(owned)
            callers = await self._listen(node, owned)
            self._log.note(
                ProcessEvent.STARTED,
                callers=self._settings.callers.address,
                incarnation=node.entry.incarnation,
                settings=str(self._path),
            )
            await self._serve(node, callers)
        self._log.note(ProcessEvent.STOPPED, sessions=callers.count_ends())

    async def _serve(self, node: NodeService, callers: CallerServer) -> None:
        async with TaskGroup() as tasks:
            running = tasks.create_task(node.run())
            beside = [
                tasks.create_task(self._watch_isolation(node, callers)),
                tasks.create_task(self._watch_file()),
                tasks.create_task(LatenessLines(self._decisions).run()),
            ]
            await self._stopping.wait()
            self._log.note(ProcessEvent.STOPPING)
            await self._stop(node, callers)
            for task in beside:
                task.cancel()
            running.cancel()

    async def _watch_isolation(
        self,
        node: NodeService,
        callers: CallerServer,
    ) -> None:
        """Send callers to other zones while this one is cut off."""
        while True:
            await sleep(SEND_EVERY)
            self._rotation.note_state(is_ready=node.is_ready())
            if node.isolation.is_isolated() and self._rotation.is_removed():
                callers.end_idle_sessions()

    def _open_node(self, owned: AsyncExitStack) -> NodeService:
        settings = self._settings
        owned.push_async_callback(self._store.close)
        owned.push_async_callback(self._promotions.close)
        return NodeService(
            settings,
            self._store,
            StoreDocuments(),
            WireTargetConnector(),
            self._promotions,
            StreamConnector(self._note_broken),
            self._decisions,
            StatementCounts(self._metrics, StatementLines(self._log)),
        )

    async def _listen(
        self,
        node: NodeService,
        owned: AsyncExitStack,
    ) -> CallerServer:
        settings = self._settings
        callers = CallerServer(
            settings.callers.place,
            settings.capacity.most_callers,
            node.open_session,
            self._decisions,
        )
        self._peer_listener = ForwardingServer(
            settings.peers.place,
            node.serve_peer,
            self._note_broken,
        )
        servers: list[StreamListener] = [
            self._peer_listener,
            PageServer(
                settings.readiness.place,
                list_readiness_pages(partial(self._tell_readiness, node)),
            ),
        ]
        if settings.metrics is not None:
            measure = partial(self._measure, node, callers)
            servers.append(
                PageServer(settings.metrics.place, list_metrics_pages(measure)),
            )
        for server in servers:
            await server.start()
            owned.push_async_callback(server.stop)
        await callers.start()
        return callers

    def _tell_readiness(self, node: NodeService) -> bool:
        is_ready = node.is_ready()
        self._rotation.note_answer(is_ready=is_ready)
        return is_ready

    def _note_broken(self, failure: ProtocolBroken) -> None:
        self._log.note(
            ProcessEvent.PEER_FAILED,
            LogLevel.WARNING,
            failure=str(failure),
        )

    def _measure(self, node: NodeService, callers: CallerServer) -> bytes:
        node.measure(self._metrics)
        self._metrics.gauge('callers.connected', callers.count_open())
        return self._metrics.write_page()

    async def _stop(self, node: NodeService, callers: CallerServer) -> None:
        """Stop so that nobody who comes or is there notices."""
        schedule = plan_stop(read_clock(), self._settings.grace)
        callers.finish_by(schedule.last_answer)
        async with TaskGroup() as tasks:
            tasks.create_task(self._hand_over(node, schedule))
            await sleep(schedule.idle_end - read_clock())
            callers.close()
            await callers.end_sessions(schedule.transactions_end)
            await callers.abort(schedule.last_answer)
        # Without an answer of the store, the lease runs out by itself.
        with suppress(TimeoutError):
            async with timeout_at(schedule.end):
                await self._finish_peers(node, schedule)
                await node.leave()

    async def _finish_peers(
        self,
        node: NodeService,
        schedule: StopSchedule,
    ) -> None:
        if self._peer_listener is not None:
            self._peer_listener.close()
        await node.finish_calls(schedule.transactions_end, schedule.last_answer)

    async def _hand_over(
        self,
        node: NodeService,
        schedule: StopSchedule,
    ) -> None:
        limit = Seconds(schedule.transactions_end - read_clock())
        try:
            await node.hand_over(limit)
        except Exception as failure:
            # Sessions must be served to their end all the same.
            self._log.note(
                ProcessEvent.HANDOVER_FAILED,
                LogLevel.ERROR,
                failure=repr(failure),
            )

    async def _watch_file(self) -> None:
        """Take the settings in again whenever their file has changed."""
        seen = _read_change(self._path)
        while True:
            with suppress(TimeoutError):
                async with timeout(LOOK_EVERY):
                    await self._signalled.wait()
            changed_at = _read_change(self._path)
            if self._signalled.is_set() or changed_at != seen:
                self._signalled.clear()
                seen = changed_at
                self._reload()

    def _reload(self) -> None:
        """Take in what can change while the proxy runs."""
        try:
            newer = read_node_settings(self._path)
        except SettingsInvalid as failure:
            # The proxy goes on by the settings that it has.
            self._log.note(
                ProcessEvent.RELOADED,
                LogLevel.WARNING,
                problems=failure.problems,
            )
            return
        changed = list_changed(self._settings, newer)
        self._settings = take_live(self._settings, newer)
        if 'store' in changed:
            self._store.move(newer.store.place)
        if 'promotions' in changed:
            self._promotions.move(newer.promotions.place)
        self._log.note(
            ProcessEvent.RELOADED,
            changed=changed,
            needs_restart=[name for name in changed if name not in LIVE_FIELDS],
        )


def _read_change(path: Path) -> float:
    """Return when a file was last changed, 0 when there is none."""
    try:
        return path.stat().st_mtime
    except OSError:
        return 0


def run_node(arguments: list[str]) -> None:
    """Run a proxy until a signal; exit with the error's own code."""
    try:
        path = _find_settings(arguments)
        settings = read_node_settings(path)
        log = open_log(settings.proxy, settings.zone_id, LogLevel.INFO)
        with Runner(loop_factory=new_event_loop) as runner:
            runner.run(NodeProcess(path, settings, log).run())
    except SedgeshuntError as error:
        sys.stderr.write(f'{error.format_message()}\n')
        sys.exit(error.exit_code)


def _find_settings(arguments: list[str]) -> Path:
    return Path(arguments[arguments.index(SETTINGS_OPTION) + 1])
