"""Send frames between proxies in memory, over the emulated network."""

from asyncio import Queue, Task, create_task
from collections.abc import Awaitable, Callable

from sedgeshunt.adapters.forwarding_codec import decode_frame, encode_frame
from sedgeshunt.exceptions import PeerUnreachable
from sedgeshunt.forwarding.channel import FrameChannel, FrameConnector
from sedgeshunt.forwarding.messages import Frame
from sedgeshunt.identifiers import Seconds
from sedgeshunt.ports import Address
from tests.standins.network import Network, Place

Handler = Callable[[FrameChannel], Awaitable[None]]
LENGTH_BYTES = 4


class MemoryChannel(FrameChannel):
    """Hold one end of a connection."""

    def __init__(self, network: Network, here: Place, there: Place) -> None:
        """Send from `here` to `there`."""
        self.other: MemoryChannel | None = None
        self.sent: list[bytes] = []
        self._network = network
        self._here = here
        self._there = there
        self._received: Queue[bytes | None] = Queue()
        self._sending: Queue[bytes | None] = Queue()
        self._task: Task[None] = create_task(self._carry())

    async def receive(self) -> Frame | None:
        """Return the next frame, None once the connection is closed."""
        message = await self._received.get()
        return None if message is None else decode_frame(message)

    def send(self, frame: Frame) -> None:
        """Send a frame without waiting."""
        # Encoded, so that tests find values that the codec loses.
        message = encode_frame(frame)[LENGTH_BYTES:]
        self.sent.append(message)
        self._sending.put_nowait(message)

    def close(self) -> None:
        """Close the connection; the other end notices if it is reachable."""
        self._received.put_nowait(None)
        self._sending.put_nowait(None)

    async def _carry(self) -> None:
        while True:
            message = await self._sending.get()
            await self._network.cross(self._here, self._there)
            if self.other is not None:
                self.other._received.put_nowait(message)
            if message is None:
                return


class MemoryFrames(FrameConnector):
    """Connect one proxy to all others."""

    def __init__(
        self,
        network: Network,
        here: Place,
        listeners: dict[Address, tuple[Place, Handler]],
    ) -> None:
        """Connect from `here`; `listeners` are shared by all proxies."""
        self._network = network
        self._here = here
        self._listeners = listeners
        self._tasks: set[Task[None]] = set()
        # This proxy's ends of connections that others opened.
        self.served: list[MemoryChannel] = []
        # What was sent on connections that this proxy opened.
        self.sent: list[bytes] = []

    def listen(self, address: Address, handle: Handler) -> None:
        """Accept connections at `address`."""

        async def keep(channel: FrameChannel) -> None:
            if isinstance(channel, MemoryChannel):
                self.served.append(channel)
            await handle(channel)

        self._listeners[address] = (self._here, keep)

    def drop(self, address: Address) -> None:
        """Stop accepting connections, and close those that are open."""
        self._listeners.pop(address, None)
        for channel in self.served:
            channel.close()

    async def connect(self, address: Address, limit: Seconds) -> FrameChannel:
        """Open a connection; raise PeerUnreachable."""
        found = self._listeners.get(address)
        if found is None:
            raise PeerUnreachable(str(address), 'refused')
        there, handle = found
        if self._network.is_cut(self._here, there):
            raise PeerUnreachable(str(address), 'no answer')
        near = MemoryChannel(self._network, self._here, there)
        far = MemoryChannel(self._network, there, self._here)
        near.sent = self.sent
        near.other = far
        far.other = near
        task = create_task(_serve(handle, far))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return near


async def _serve(handle: Handler, channel: FrameChannel) -> None:
    try:
        await handle(channel)
    finally:
        channel.close()
