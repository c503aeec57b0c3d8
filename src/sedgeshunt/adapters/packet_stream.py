"""Frame MySQL packets over a channel."""

from sedgeshunt.adapters.channel import ByteChannel, ProtocolBroken

HEADER_SIZE = 4
# A packet of this length is followed by another that continues it.
FULL_PACKET = 0xFFFFFF
MAX_PAYLOAD = 16 * 1024 * 1024
# Answers go to the channel in pieces of about this size.
FLUSH_SIZE = 64 * 1024


class PacketStream:
    """Read and write one connection's packets in their order."""

    __slots__ = ('_outgoing', '_sequence', 'channel')

    def __init__(self, channel: ByteChannel) -> None:
        """Start with the first packet of the connection."""
        self.channel = channel
        self._outgoing = bytearray()
        self._sequence = 0

    def begin_command(self) -> None:
        """Expect a packet that begins a command."""
        self._sequence = 0

    async def read(self) -> bytes:
        """Return the next payload; raise as the channel does."""
        payload = await self._read_packet()
        if len(payload) < FULL_PACKET:
            return payload
        parts = bytearray(payload)
        while len(payload) == FULL_PACKET:
            payload = await self._read_packet()
            parts += payload
            if len(parts) > MAX_PAYLOAD:
                raise ProtocolBroken(
                    f'a statement may hold {MAX_PAYLOAD} bytes at most',
                )
        return bytes(parts)

    def write(self, payload: bytes) -> None:
        """Add a packet to what the next flush sends."""
        while len(payload) >= FULL_PACKET:
            self._write_packet(payload[:FULL_PACKET])
            payload = payload[FULL_PACKET:]
        self._write_packet(payload)

    def write_unasked(self, payload: bytes) -> None:
        """Add a packet that answers the command to come."""
        self._sequence = 1
        self.write(payload)

    @property
    def is_flush_due(self) -> bool:
        """Tell whether enough waits to be sent."""
        return len(self._outgoing) >= FLUSH_SIZE

    async def flush(self) -> None:
        """Send what was written; raise ConnectionClosed."""
        await self.channel.send(self.take_outgoing())

    def take_outgoing(self) -> bytearray:
        """Take over what was written and not sent."""
        outgoing = self._outgoing
        self._outgoing = bytearray()
        return outgoing

    async def _read_packet(self) -> bytes:
        channel = self.channel
        await channel.receive(HEADER_SIZE)
        header = int.from_bytes(channel.received[:HEADER_SIZE], 'little')
        if header >> 24 != self._sequence:
            raise ProtocolBroken('a packet is out of order')
        end = HEADER_SIZE + (header & FULL_PACKET)
        await channel.receive(end)
        payload = bytes(channel.received[HEADER_SIZE:end])
        del channel.received[:end]
        self._sequence = (self._sequence + 1) & 0xFF
        return payload

    def _write_packet(self, payload: bytes) -> None:
        header = len(payload) | self._sequence << 24
        self._outgoing += header.to_bytes(HEADER_SIZE, 'little')
        self._outgoing += payload
        self._sequence = (self._sequence + 1) & 0xFF
