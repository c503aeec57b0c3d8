"""Carry frames between proxies over TCP."""

from asyncio import (
    StreamReader,
    StreamWriter,
    open_connection,
    timeout,
)
from collections.abc import Awaitable, Callable

from sedgeshunt.adapters.channel import ProtocolBroken
from sedgeshunt.adapters.forwarding_codec import encode_frame, read_frame
from sedgeshunt.adapters.frame_values import LONGEST_FRAME
from sedgeshunt.adapters.listener import StreamListener
from sedgeshunt.exceptions import FrameTooLong, PeerUnreachable
from sedgeshunt.forwarding.channel import FrameChannel, FrameConnector
from sedgeshunt.forwarding.messages import Frame
from sedgeshunt.identifiers import Seconds
from sedgeshunt.ports import Address

# A peer that takes in nothing while so much waits for it is as good as gone.
MAX_UNSENT = 2 * LONGEST_FRAME

PeerHandler = Callable[[FrameChannel], Awaitable[None]]
# Is told what was wrong with a peer's bytes.
NoteBroken = Callable[[ProtocolBroken], None]


class StreamChannel(FrameChannel):
    """Carry frames on one TCP connection."""

    def __init__(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        note_broken: NoteBroken,
    ) -> None:
        """Own an open connection."""
        self._reader = reader
        self._writer = writer
        self._note_broken = note_broken

    async def receive(self) -> Frame | None:
        """Return the next frame, None once the connection has ended."""
        try:
            return await read_frame(self._reader)
        except OSError:
            # The connection's end is noted by whoever misses its answers.
            return None
        except ProtocolBroken as failure:
            self._note_broken(failure)
            return None

    def send(self, frame: Frame) -> None:
        """Send a frame without waiting; a broken connection takes any."""
        encoded = encode_frame(frame)
        has_words = frame.call is not None or frame.reply is not None
        if has_words and len(encoded) > LONGEST_FRAME:
            # The peer would close the connection and lose all calls on it.
            raise FrameTooLong(len(encoded), LONGEST_FRAME)
        transport = self._writer.transport
        if transport.get_write_buffer_size() > MAX_UNSENT:
            transport.abort()
        if not transport.is_closing():
            self._writer.write(encoded)

    def close(self) -> None:
        """Drop the connection at once; closing twice does no harm."""
        self._writer.transport.abort()


class StreamConnector(FrameConnector):
    """Open TCP connections to other proxies."""

    def __init__(self, note_broken: NoteBroken) -> None:
        """Tell `note_broken` of bytes that are no frames."""
        self._note_broken = note_broken

    async def connect(self, address: Address, limit: Seconds) -> FrameChannel:
        """Open a connection; raise PeerUnreachable."""
        try:
            async with timeout(limit):
                reader, writer = await open_connection(
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError, ValueError) as failure:
            # ValueError: a host name that has no form for DNS.
            peer = f'{address.host}:{address.port}'
            reason = str(failure) or f'no answer in {limit} s'
            raise PeerUnreachable(peer, reason) from failure
        return StreamChannel(reader, writer, self._note_broken)


class ForwardingServer(StreamListener):
    """Let other proxies in."""

    def __init__(
        self,
        address: Address,
        handle: PeerHandler,
        note_broken: NoteBroken,
    ) -> None:
        """Hand each connection to `handle`."""
        super().__init__(address)
        self._handle = handle
        self._note_broken = note_broken

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        channel = StreamChannel(reader, writer, self._note_broken)
        try:
            await self._handle(channel)
        finally:
            channel.close()
