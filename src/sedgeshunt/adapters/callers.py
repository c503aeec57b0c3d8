"""Listen to callers that speak the MySQL protocol."""

from asyncio import Server, Task, create_task, get_running_loop, wait
from collections.abc import Mapping
from contextlib import suppress
from itertools import count
from secrets import token_hex
from socket import IPPROTO_TCP, SO_KEEPALIVE, SOL_SOCKET, TCP_KEEPIDLE
from ssl import SSLContext

from sedgeshunt.adapters.caller_connection import (
    CallerConnection,
    CallerContext,
)
from sedgeshunt.adapters.channel import ByteChannel
from sedgeshunt.adapters.handshake import Greeter
from sedgeshunt.adapters.packet_stream import PacketStream
from sedgeshunt.adapters.refusals import TOO_MANY_CALLERS, make_refusal
from sedgeshunt.identifiers import Seconds, TraceId
from sedgeshunt.logs import EventLog, LogLevel, ProcessEvent
from sedgeshunt.ports import Address
from sedgeshunt.requests.attribute_values import MAX_DEADLINE_MS
from sedgeshunt.requests.gate import CallerGate

MAX_CALLERS = 10_000
BACKLOG = 1024
# Phones vanish without a word; a silent caller is probed after so long.
PROBE_AFTER = 60
# The longest that a statement under way can still take.
LAST_STATEMENT = Seconds(MAX_DEADLINE_MS / 1000 + 5)
MAX_NUMBER = 0xFFFFFFFF


class CallerServer:
    """Serve every caller in a task of its own."""

    def __init__(
        self,
        listen: Address,
        gate: CallerGate,
        tls: SSLContext | None,
        users: Mapping[str, str],
        log: EventLog | None = None,
    ) -> None:
        """Let everybody in when `users` is empty."""
        self._listen = listen
        self._context = CallerContext(
            gate,
            Greeter(users, tls),
            log or EventLog(),
        )
        self._connections: dict[Task[None], CallerConnection] = {}
        self._numbers = count(1)
        # Traces of different proxies must not be mixed up.
        self._trace_start = token_hex(4)
        self._server: Server | None = None

    @property
    def caller_count(self) -> int:
        """Count the connected callers."""
        return len(self._connections)

    @property
    def address(self) -> Address:
        """Return where callers are listened to, once started."""
        if self._server is None:
            return self._listen
        host, port, *_ = self._server.sockets[0].getsockname()
        return Address(host, port)

    async def start(self) -> None:
        """Begin to listen; raise OSError if the address is taken."""
        self._server = await get_running_loop().create_server(
            lambda: ByteChannel(self._accept),
            self._listen.host,
            self._listen.port,
            backlog=BACKLOG,
        )

    async def stop(self, grace: Seconds) -> None:
        """Let no caller in, and each one out at the end of its work.

        A statement under way is never cut; a transaction has `grace`.
        """
        if self._server is not None:
            self._server.close()
        for connection in self._connections.values():
            connection.stop()
        await self._wait(grace)
        for late in self._connections.values():
            late.stop(cut_short=True)
        await self._wait(LAST_STATEMENT)
        for task in self._connections:
            task.cancel()
        await self._wait(None)

    async def _wait(self, patience: Seconds | None) -> None:
        if self._connections:
            await wait(tuple(self._connections), timeout=patience)

    def _accept(self, channel: ByteChannel) -> None:
        if len(self._connections) >= MAX_CALLERS:
            _turn_away(channel)
            return
        _probe_silence(channel)
        number = next(self._numbers) & MAX_NUMBER
        trace = TraceId(f'{self._trace_start}-{number}')
        connection = CallerConnection(
            PacketStream(channel),
            self._context,
            number,
            trace,
        )
        task = create_task(connection.run())
        self._connections[task] = connection
        task.add_done_callback(self._forget)

    def _forget(self, task: Task[None]) -> None:
        self._connections.pop(task, None)
        failure = None if task.cancelled() else task.exception()
        if failure is not None:
            self._context.log.note(
                ProcessEvent.CALLER_FAILED,
                LogLevel.ERROR,
                failure=repr(failure),
            )


def _turn_away(channel: ByteChannel) -> None:
    stream = PacketStream(channel)
    refusal = TOO_MANY_CALLERS.reject('too many callers; try another proxy')
    stream.write(make_refusal(refusal))
    channel.transport.write(stream.take_outgoing())
    channel.close()


def _probe_silence(channel: ByteChannel) -> None:
    socket = channel.transport.get_extra_info('socket')
    with suppress(OSError):
        socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
        socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, PROBE_AFTER)
