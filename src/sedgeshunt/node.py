"""Run one proxy for statement sessions as a process."""

import sys
from asyncio import Event, Runner, TaskGroup, get_running_loop
from contextlib import AsyncExitStack
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM

from uvloop import new_event_loop

from sedgeshunt.adapters.forwarding import ForwardingServer, StreamConnector
from sedgeshunt.exceptions import SedgeshuntError
from sedgeshunt.identifiers import Seconds
from sedgeshunt.logs import EventLog, LogLevel, ProcessEvent, open_log
from sedgeshunt.node_service import NodeService
from sedgeshunt.node_settings import NodeSettings, read_node_settings
from sedgeshunt.platform.callers import CallerServer
from sedgeshunt.platform.documents import StoreDocuments
from sedgeshunt.platform.promotions import PlatformPromotions
from sedgeshunt.platform.readiness import ReadinessServer
from sedgeshunt.platform.store import MetadataStore
from sedgeshunt.platform.targets import WireTargetConnector

SETTINGS_OPTION = '--settings'
# Share of the grace in which open transactions may end.
DRAIN_SHARE = 0.5


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
            await self._stopping.wait()
            self._log.note(ProcessEvent.STOPPING)
            await self._stop(node, callers)
            running.cancel()

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
        await node.hand_over()
        await callers.stop(Seconds(self._settings.grace * DRAIN_SHARE))
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
