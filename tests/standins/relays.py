"""Pass TCP connections on, and disturb them on the way."""

from asyncio import (
    Event,
    IncompleteReadError,
    Queue,
    Server,
    StreamReader,
    StreamWriter,
    TaskGroup,
    get_running_loop,
    open_connection,
    sleep,
    start_server,
)
from contextlib import suppress
from enum import Enum

from tests.standins.ports import find_port

HOST = '127.0.0.1'
CHUNK = 65536
RETRY_PAUSE = 0.02


class Way(Enum):
    """Name the two ways of a connection."""

    REQUESTS = 'requests'
    ANSWERS = 'answers'


BOTH_WAYS = frozenset(Way)


class Relay:
    """Pass the connections of one client on to one server."""

    def __init__(self, destination: int) -> None:
        """Pass on to a port; start() listens."""
        self.port = find_port()
        self.destination = destination
        # Ways on which nothing passes; what was sent arrives afterwards.
        self.held: frozenset[Way] = frozenset()
        # By how much later everything arrives, each way.
        self.delay: float = 0
        # Whether connections are reset once they are accepted.
        self.is_resetting = False
        self._server: Server | None = None
        self._open: set[StreamWriter] = set()
        self._changed = Event()

    async def start(self) -> None:
        """Listen, on the same port if it did before."""
        while self._server is None:
            try:
                self._server = await start_server(self._serve, HOST, self.port)
            except OSError:
                # Connections of the former listener may not be closed yet.
                await sleep(RETRY_PAUSE)

    def refuse(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._open):
            writer.transport.abort()

    def hold(self, ways: frozenset[Way] = BOTH_WAYS) -> None:
        """Let nothing pass on some ways."""
        self.held = ways
        self._change()

    async def heal(self) -> None:
        """End all disturbances."""
        self.delay = 0
        self.is_resetting = False
        self.hold(frozenset())
        await self.start()

    def _change(self) -> None:
        self._changed.set()
        self._changed = Event()

    async def _serve(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        if self.is_resetting:
            writer.transport.abort()
            return
        self._open.add(writer)
        try:
            await self._connect(reader, writer)
        finally:
            self._open.discard(writer)
            writer.transport.abort()

    async def _connect(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        try:
            far_reader, far_writer = await open_connection(
                HOST, self.destination
            )
        except OSError:
            return
        try:
            with suppress(BaseExceptionGroup):
                async with TaskGroup() as tasks:
                    tasks.create_task(
                        self._pass_on(reader, far_writer, Way.REQUESTS)
                    )
                    tasks.create_task(
                        self._pass_on(far_reader, writer, Way.ANSWERS)
                    )
        finally:
            far_writer.transport.abort()

    async def _pass_on(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        way: Way,
    ) -> None:
        """Pass on what is sent one way; raise at the end of it."""
        sent: Queue[tuple[float, bytes]] = Queue()
        async with TaskGroup() as tasks:
            tasks.create_task(self._read(reader, sent))
            tasks.create_task(self._write(writer, sent, way))

    async def _read(
        self,
        reader: StreamReader,
        sent: 'Queue[tuple[float, bytes]]',
    ) -> None:
        while data := await reader.read(CHUNK):
            sent.put_nowait((_read_time() + self.delay, data))
        sent.put_nowait((_read_time() + self.delay, b''))

    async def _write(
        self,
        writer: StreamWriter,
        sent: 'Queue[tuple[float, bytes]]',
        way: Way,
    ) -> None:
        while True:
            due, data = await sent.get()
            if due > _read_time():
                await sleep(due - _read_time())
            while way in self.held:
                await self._changed.wait()
            if not data:
                # The other way ends as well.
                raise IncompleteReadError(b'', None)
            writer.write(data)
            await writer.drain()


def _read_time() -> float:
    return get_running_loop().time()
