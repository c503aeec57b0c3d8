"""Run one proxy for statement sessions as a process."""

import sys
from asyncio import Event, Runner, TaskGroup, get_running_loop, sleep
from contextlib import AsyncExitStack
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM

from uvloop import new_event_loop

from sedgeshunt.adapters.forwarding import ForwardingServer, StreamConnector
from sedgeshunt.clocks import read_clock
from sedgeshunt.exceptions import SedgeshuntError
from sedgeshunt.identifiers import Seconds
from sedgeshunt.logs import EventLog, LogLevel, ProcessEvent, open_log
from sedgeshunt.statement_lines import StatementLines
from sedgeshunt.node_service import NodeService
from sedgeshunt.node_settings import NodeSettings, read_node_settings
from sedgeshunt.platform.callers import CallerServer
from sedgeshunt.platform.documents import StoreDocuments
from sedgeshunt.platform.promotions import PlatformPromotions
from sedgeshunt.platform.readiness import ReadinessServer
from sedgeshunt.platform.store import MetadataStore
from sedgeshunt.platform.targets import WireTargetConnector

SETTINGS_OPTION = '--settings'
# The balancer asks each second, and leaves an instance out after two misses.
ROTATION_TIME = Seconds(2.2)
# How often callers that came nevertheless are sent away from a zone that is
# cut off.
SEND_EVERY = Seconds(0.3)
# Share of the grace in which open transactions may end, and share that is
# left then for statements under way.
DRAIN_SHARE = 0.5
LAST_SHARE = 0.25


class NodeProcess:
    """Own one proxy and its listeners to a graceful stop."""

    def __init__(self, settings: NodeSettings, log: EventLog) -> None:
        """Start nothing yet."""
        self._settings = settings
        self._log = log
        self._stopping = Event()

    async def run(self) -> None:
        """Serve until a signal, then let what is under way finish."""
        loop = get_running_loop()
        for signal in (SIGTERM, SIGINT):
            loop.add_signal_handler(signal, self._stopping.set)
        loop.add_signal_handler(SIGHUP, self._note_reload)
        async with AsyncExitStack() as owned:
            node = self._open_node(owned)
            callers = await self._listen(node, owned)
            self._log.note(ProcessEvent.STARTED)
            await self._serve(node, callers)
        self._log.note(ProcessEvent.STOPPED)

    async def _serve(self, node: NodeService, callers: CallerServer) -> None:
        async with TaskGroup() as tasks:
            running = tasks.create_task(node.run())
            sending = tasks.create_task(self._watch_isolation(node, callers))
            await self._stopping.wait()
            self._log.note(ProcessEvent.STOPPING)
            await self._stop(node, callers)
            sending.cancel()
            running.cancel()

    async def _watch_isolation(
        self,
        node: NodeService,
        callers: CallerServer,
    ) -> None:
        """Send callers to other zones while this one is cut off."""
        while True:
            await sleep(SEND_EVERY)
            if node.isolation.measure() > ROTATION_TIME:
                callers.send_idle_away()

    def _open_node(self, owned: AsyncExitStack) -> NodeService:
        settings = self._settings
        store = MetadataStore(settings.store.place)
        owned.push_async_callback(store.close)
        promotions = PlatformPromotions(settings.promotions.place)
        owned.push_async_callback(promotions.close)
        return NodeService(
            settings,
            store,
            StoreDocuments(),
            WireTargetConnector(),
            promotions,
            StreamConnector(),
            self._log,
            StatementLines(self._log),
        )

    async def _listen(
        self,
        node: NodeService,
        owned: AsyncExitStack,
    ) -> CallerServer:
        settings = self._settings
        peers = ForwardingServer(
            settings.peers.place,
            node.serve_peer,
        )
        readiness = ReadinessServer(
            settings.readiness.place,
            node.is_ready,
        )
        callers = CallerServer(
            settings.callers.place,
            node.open_session,
        )
        for server in (peers, readiness):
            await server.start()
            owned.push_async_callback(server.stop)
        await callers.start()
        return callers

    async def _stop(self, node: NodeService, callers: CallerServer) -> None:
        """Stop so that nobody who comes or is there notices."""
        grace = self._settings.grace
        began = read_clock()
        await node.hand_over()
        # The balancer sends callers here until it has asked twice in vain.
        await sleep(max(0, began + ROTATION_TIME - read_clock()))
        callers.close()
        patience = began + grace * DRAIN_SHARE - read_clock()
        await callers.send_away(Seconds(max(0, patience)))
        await callers.abort(Seconds(grace * LAST_SHARE))
        await node.leave()

    def _note_reload(self) -> None:
        self._log.note(ProcessEvent.RELOADED)


def run_node(arguments: list[str]) -> None:
    """Run a proxy until a signal; exit with the error's own code."""
    try:
        settings = read_node_settings(_find_settings(arguments))
        log = open_log(settings.proxy, settings.zone_id, LogLevel.INFO)
        with Runner(loop_factory=new_event_loop) as runner:
            runner.run(NodeProcess(settings, log).run())
    except SedgeshuntError as error:
        sys.stderr.write(f'{error.format_message()}\n')
        sys.exit(error.exit_code)


def _find_settings(arguments: list[str]) -> Path:
    return Path(arguments[arguments.index(SETTINGS_OPTION) + 1])
