"""Put adapters and proxy together, and own both to a graceful stop."""

from asyncio import Event, create_task, timeout
from contextlib import AsyncExitStack, suppress
from ssl import PROTOCOL_TLS_SERVER, SSLContext

from sedgeshunt.adapters.callers import CallerServer
from sedgeshunt.adapters.instances import HttpInstanceList
from sedgeshunt.adapters.peer_server import ThriftPeerServer
from sedgeshunt.adapters.peers import ThriftPeerConnector
from sedgeshunt.adapters.platform import EtcdGateway
from sedgeshunt.adapters.statsd_metrics import StatsdMetrics
from sedgeshunt.adapters.targets import MysqlConnector
from sedgeshunt.exceptions import (
    ExitCode,
    SedgeshuntError,
    SettingsInvalid,
)
from sedgeshunt.identifiers import Seconds
from sedgeshunt.logs import EventLog, ProcessEvent, StatementLog
from sedgeshunt.metrics import (
    CountingMetrics,
    Metrics,
    NoMetrics,
)
from sedgeshunt.ports import Address
from sedgeshunt.proxy import ProxyInstance
from sedgeshunt.settings import CallersSettings, Settings

ANNOUNCE_TIMEOUT = Seconds(2)


class ListenFailed(SedgeshuntError):
    """Say that an address of the settings can't be listened on."""

    exit_code = ExitCode.SETTINGS

    def __init__(self, address: Address, reason: str) -> None:
        """Keep the address and the reason of the system."""
        super().__init__(address, reason)
        self.address = address
        self.reason = reason

    def format_message(self) -> str:
        """Name the address and the remedy."""
        return (
            f'cannot listen on {self.address.host}:{self.address.port} '
            + f'({self.reason}); give a free address of this instance'
        )


class ProxyProcess:
    """Put the adapters and the proxy together and own them."""

    def __init__(self, settings: Settings, log: EventLog) -> None:
        """Start nothing yet."""
        self.started = Event()
        self.stopping = Event()
        self._settings = settings
        self._log = log

    async def run(self) -> None:
        """Serve until told to stop, then let everything under way finish."""
        try:
            await self._run()
        except ExceptionGroup as failures:
            # The proxy's tasks end as a group; an error that names its
            # remedy must not get lost among them.
            typed = _find_typed(failures)
            if typed is None:
                raise
            raise typed from failures

    async def _run(self) -> None:
        async with AsyncExitStack() as owned:
            owned.callback(self._log.note, ProcessEvent.STOPPED)
            instance = await self._open_instance(owned)
            await self._open_servers(instance, owned)
            self._log.note(ProcessEvent.STARTED)
            self.started.set()
            await self.stopping.wait()
            self._log.note(ProcessEvent.STOPPING)

    async def _open_instance(self, owned: AsyncExitStack) -> ProxyInstance:
        settings = self._settings
        return await owned.enter_async_context(
            ProxyInstance(
                settings,
                MysqlConnector(settings.zone_id, settings.targets.password),
                self._open_platform(owned),
                self._open_instances(owned),
                ThriftPeerConnector(),
                CountingMetrics(self._open_metrics(owned)),
                self._log,
                StatementLog(self._log),
            ),
        )

    def _open_platform(self, owned: AsyncExitStack) -> EtcdGateway:
        first, *others = (
            endpoint.get_address()
            for endpoint in self._settings.platform.endpoints
        )
        platform = EtcdGateway(first.host, first.port, others)
        owned.push_async_callback(platform.close)
        return platform

    def _open_instances(self, owned: AsyncExitStack) -> HttpInstanceList:
        listing = self._settings.platform.instance_list.get_address()
        instances = HttpInstanceList(listing.host, listing.port)
        owned.push_async_callback(instances.close)
        return instances

    def _open_metrics(self, owned: AsyncExitStack) -> Metrics:
        statsd = self._settings.statsd
        if statsd is None:
            return NoMetrics()
        metrics = StatsdMetrics(statsd.get_address(), statsd.prefix)
        owned.callback(metrics.close)
        owned.callback(create_task(metrics.run()).cancel)
        return metrics

    async def _open_servers(
        self,
        instance: ProxyInstance,
        owned: AsyncExitStack,
    ) -> None:
        settings = self._settings
        peers = ThriftPeerServer(
            settings.peers.get_address(),
            instance,
            self._log,
        )
        callers = CallerServer(
            settings.callers.get_address(),
            instance,
            _open_tls(settings.callers),
            settings.callers.users,
            self._log,
        )
        owned.push_async_callback(peers.stop)
        await _listen(peers)
        owned.push_async_callback(callers.stop, settings.grace)
        await _listen(callers)
        # The first to end: callers and peers learn that this proxy goes.
        owned.push_async_callback(_announce_stop, instance)


def _find_typed(failure: Exception | None) -> Exception | None:
    if not isinstance(failure, ExceptionGroup):
        return failure
    typed = failure.subgroup(SedgeshuntError)
    return None if typed is None else _find_typed(typed.exceptions[0])


async def _listen(server: CallerServer | ThriftPeerServer) -> None:
    try:
        await server.start()
    except OSError as failure:
        raise ListenFailed(server.address, str(failure)) from failure


async def _announce_stop(instance: ProxyInstance) -> None:
    # Peers that don't answer must not keep callers waiting.
    with suppress(TimeoutError):
        async with timeout(ANNOUNCE_TIMEOUT):
            await instance.stop_gracefully()


def _open_tls(callers: CallersSettings) -> SSLContext | None:
    if callers.tls_certificate is None:
        return None
    context = SSLContext(PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(callers.tls_certificate, callers.tls_key)
    except OSError as failure:
        problem = f'{failure}; give a certificate and its key as PEM files'
        raise SettingsInvalid(callers.tls_certificate, [problem]) from failure
    return context
