"""Accept connections and own the tasks that serve them."""

from abc import ABC, abstractmethod
from asyncio import (
    CancelledError,
    Server,
    StreamReader,
    StreamWriter,
    Task,
    current_task,
    start_server,
    wait,
)
from sedgeshunt.identifiers import Seconds
from sedgeshunt.ports import Address

# Time for what a connection had begun to be undone: one round trip to a target.
END_LIMIT = Seconds(0.5)


class StreamListener(ABC):
    """Listen at one address and serve each connection."""

    def __init__(self, address: Address) -> None:
        """Accept nothing before start()."""
        self.address = address
        self._server: Server | None = None
        self._tasks: set[Task[None]] = set()
        self._is_stopping = False

    async def start(self) -> None:
        """Listen; raise OSError."""
        self._server = await start_server(
            self._run,
            self.address.host,
            self.address.port,
        )

    def close(self) -> None:
        """Stop accepting connections; closing twice is harmless."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Listen no more, and end what is served."""
        self._is_stopping = True
        self.close()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await wait(tuple(self._tasks), timeout=END_LIMIT)

    @abstractmethod
    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serve one connection to its end."""

    async def _run(self, reader: StreamReader, writer: StreamWriter) -> None:
        task = current_task()
        if task is not None:
            self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except CancelledError:
            # The library takes a cancelled connection for a fault, and logs a
            # traceback for each; these have been ended on purpose.
            if not self._is_stopping:
                raise
        finally:
            if task is not None:
                self._tasks.discard(task)
