"""Answer other proxies over thrift."""

from asyncio import (
    Server,
    StreamReader,
    StreamWriter,
    Task,
    current_task,
    start_server,
    timeout,
    wait,
)
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from typing import Any

from thriftpy2.contrib.aio.processor import TAsyncProcessor
from thriftpy2.thrift import TApplicationException

from sedgeshunt.adapters.peer_protocol import (
    CONNECTION_FAILURES,
    make_protocol,
    peers_thrift,
    write_copy,
    write_primary,
    write_report,
)
from sedgeshunt.identifiers import GroupId, ProxyId, Revision, Seconds
from sedgeshunt.logs import EventLog, LogLevel, ProcessEvent
from sedgeshunt.ports import Address, PeerService

# A peer that is silent for so long has gone without a word.
IDLE_TIMEOUT = Seconds(600)
MAX_PEERS = 4096
# Time for the calls under way when the server stops.
STOP_PATIENCE = Seconds(2)


class PeerHandler:
    """Convert each call and its answer; the names are the protocol's."""

    def __init__(self, service: PeerService) -> None:
        """Answer by `service`."""
        self._service = service

    async def report(self) -> Any:
        """Tell what this proxy runs with."""
        return write_report(await self._service.report())

    async def report_primary(self, group: str) -> Any:
        """Tell when this proxy last heard a group's primary."""
        report = await self._service.report_primary(GroupId(group))
        return write_primary(report)

    async def copy_configuration(self, known: int) -> Any:
        """Return a configuration newer than `known`."""
        copy = await self._service.copy_configuration(Revision(known))
        return write_copy(copy)

    async def announce_leaving(self, name: str) -> None:
        """Take note that instance `name` is leaving."""
        await self._service.announce_leaving(name)

    async def explain(self, question: bytes) -> bytes:
        """Tell how a request would be routed."""
        return await self._service.explain(question)

    async def copy_tallies(
        self,
        since: float,
        proxies: Sequence[str],
    ) -> list[bytes]:
        """Return counts and copies."""
        named = [ProxyId(proxy) for proxy in proxies]
        copied = await self._service.copy_tallies(Seconds(since), named)
        return list(copied)


class ThriftPeerServer:
    """Serve every peer in a task of its own."""

    def __init__(
        self,
        listen: Address,
        service: PeerService,
        log: EventLog | None = None,
    ) -> None:
        """Listen to nothing yet."""
        self._listen = listen
        self._log = log or EventLog()
        self._processor = TAsyncProcessor(
            peers_thrift.PeerService,
            PeerHandler(service),
        )
        self._server: Server | None = None
        self._writers: dict[Task[None], StreamWriter] = {}

    @property
    def address(self) -> Address:
        """Return where peers are listened to, once started."""
        if self._server is None:
            return self._listen
        host, port, *_ = self._server.sockets[0].getsockname()
        return Address(host, port)

    async def start(self) -> None:
        """Begin to listen; raise OSError if the address is taken."""
        self._server = await start_server(
            self._serve,
            self._listen.host,
            self._listen.port,
        )

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers.values():
            writer.close()
        if self._writers:
            await wait(tuple(self._writers), timeout=STOP_PATIENCE)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        task = current_task()
        if task is None or len(self._writers) >= MAX_PEERS:
            writer.close()
            return
        self._writers[task] = writer
        protocol = make_protocol(reader, writer)
        try:
            with suppress(*CONNECTION_FAILURES):
                while not writer.is_closing():
                    await self._answer(protocol)
        finally:
            self._writers.pop(task)
            writer.close()

    async def _answer(self, protocol: Any) -> None:
        async with timeout(IDLE_TIMEOUT):
            incoming = await self._processor.process_in(protocol)
        name, number, result, run = incoming
        if run is not None:
            result = await self._run(name, result, run)
        await self._find_sender(result)(protocol, name, result, number)

    def _find_sender(self, result: Any) -> Any:
        if isinstance(result, TApplicationException):
            return self._processor.send_exception
        return self._processor.send_result

    async def _run(
        self,
        name: str,
        result: Any,
        run: Callable[[], Awaitable[Any]],
    ) -> Any:
        # A call that fails is answered too: its peer would else wait for
        # nothing and take this proxy for cut off.
        try:
            result.success = await run()
        except Exception as failure:
            self._note_failure(name, failure)
            return TApplicationException(
                TApplicationException.INTERNAL_ERROR,
                f'{name} failed: {failure}',
            )
        return result

    def _note_failure(self, name: str, failure: Exception) -> None:
        self._log.note(
            ProcessEvent.PEER_FAILED,
            LogLevel.ERROR,
            call=name,
            failure=repr(failure),
        )
