"""Receive and send bytes over one connection, with bounded buffers."""

from asyncio import Future, Protocol, Transport, get_running_loop, timeout
from asyncio.transports import BaseTransport
from collections.abc import Callable
from ssl import SSLContext
from typing import cast

from sedgeshunt.identifiers import Seconds

# More unread bytes than this from a caller that waits for an answer.
MAX_UNREAD = 64 * 1024
# A caller that takes in nothing for so long holds up what it was lent.
SEND_TIMEOUT = Seconds(30)
TLS_TIMEOUT = Seconds(10)


class ConnectionClosed(Exception):
    """Say that the other side has closed the connection."""


class ReceivingStopped(Exception):
    """Say that nothing further is to be waited for."""


class ProtocolBroken(Exception):
    """Say that the other side does not keep to the protocol."""


class ByteChannel(Protocol):
    """Carry one connection's bytes; one task receives and sends."""

    # Thousands of idle callers are common: no reader and writer objects, and
    # no buffers kept while nothing is under way.
    __slots__ = (
        '_drained',
        '_is_closed',
        '_is_full',
        '_is_stopped',
        '_is_suspended',
        '_on_connected',
        '_transport',
        '_waiter',
        '_wanted',
        'received',
    )

    def __init__(self, on_connected: Callable[['ByteChannel'], None]) -> None:
        """Call `on_connected` once the transport is there."""
        self.received = bytearray()
        self._on_connected = on_connected
        self._wanted = 1
        self._is_closed = False
        self._is_full = False
        self._is_stopped = False
        self._is_suspended = False
        self._waiter: Future[None] | None = None
        self._drained: Future[None] | None = None
        self._transport: Transport | None = None

    @property
    def transport(self) -> Transport:
        """Return the transport; raise ConnectionClosed without one."""
        transport = self._transport
        if transport is None or self._is_closed or transport.is_closing():
            raise ConnectionClosed
        return transport

    def connection_made(self, transport: BaseTransport) -> None:
        """Take over the transport."""
        self._transport = cast(Transport, transport)
        self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Keep the bytes until they are read."""
        self.received += data
        if len(self.received) >= self._wanted:
            _wake(self._waiter)
        # A caller that sends on without waiting for answers must not fill
        # the memory.
        if self._waiter is None and len(self.received) > MAX_UNREAD:
            self._is_suspended = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Let the transport close itself."""
        self._is_closed = True
        _wake(self._waiter)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End all waits."""
        self._is_closed = True
        self._transport = None
        _wake(self._waiter)
        _wake(self._drained)

    def pause_writing(self) -> None:
        """Let what is sent wait."""
        self._is_full = True

    def resume_writing(self) -> None:
        """End the wait of what is sent."""
        self._is_full = False
        _wake(self._drained)

    async def receive(self, size: int) -> None:
        """Wait until `size` bytes are there; raise when they won't come."""
        while len(self.received) < size:
            if self._is_stopped:
                raise ReceivingStopped
            if self._is_suspended:
                self._is_suspended = False
                self.transport.resume_reading()
            await self._wait_for(size)
        # Nobody waits for the answer any more: what a caller sent just
        # before it left is not run.
        if self._is_closed:
            raise ConnectionClosed

    async def send(self, data: bytearray) -> None:
        """Send `data`; raise ConnectionClosed."""
        self.transport.write(data)
        if not self._is_full:
            return
        self._drained = get_running_loop().create_future()
        try:
            async with timeout(SEND_TIMEOUT):
                await self._drained
        except TimeoutError:
            self.transport.abort()
            raise ConnectionClosed from None
        finally:
            self._drained = None

    async def start_tls(self, context: SSLContext) -> None:
        """Encrypt the rest of the connection, as its server side."""
        # What came in before the handshake may be anybody's: read after it,
        # it would pass for the caller's own words.
        if self.received:
            raise ProtocolBroken('bytes came before the TLS handshake')
        self._transport = await get_running_loop().start_tls(
            self.transport,
            self,
            context,
            server_side=True,
            ssl_handshake_timeout=TLS_TIMEOUT,
        )

    def stop_receiving(self) -> None:
        """End the wait for bytes that are not there yet."""
        self._is_stopped = True
        _wake(self._waiter)

    async def finish(self, patience: Seconds) -> None:
        """Close, once the other side has taken in the last words."""
        # Closing with bytes unread resets the connection, and the reset may
        # overtake the last answer: the caller would not know what became of
        # its statement. So only the way out is closed first.
        try:
            async with timeout(patience):
                await self._wait_closed()
        except (TimeoutError, ConnectionClosed):
            self.close()

    def close(self) -> None:
        """Close at once; closing twice does no harm."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.close()

    async def _wait_closed(self) -> None:
        transport = self.transport
        if transport.can_write_eof():
            transport.write_eof()
        while not self._is_closed:
            self.received.clear()
            await self._wait_for(1)

    async def _wait_for(self, size: int) -> None:
        if self._is_closed:
            raise ConnectionClosed
        self._wanted = size
        self._waiter = get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None


def _wake(waiter: Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
