"""Tell the platform's balancer whether this proxy takes callers."""

from asyncio import Server, StreamReader, StreamWriter, start_server
from collections.abc import Callable
from contextlib import suppress

from sedgeshunt.adapters.http_connection import HttpBroken, HttpConnection
from sedgeshunt.ports import Address

READY = 200
NOT_FOUND = 404
NOT_READY = 503
PATH = b'/ready'


class ReadinessServer:
    """Answer the balancer's question."""

    def __init__(self, address: Address, is_ready: Callable[[], bool]) -> None:
        """Ask `is_ready` at each question."""
        self.address = address
        self._is_ready = is_ready
        self._server: Server | None = None

    async def start(self) -> None:
        """Listen; raise OSError."""
        self._server = await start_server(
            self._serve,
            self.address.host,
            self.address.port,
        )

    async def stop(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        connection = HttpConnection(reader, writer, is_server=True)
        try:
            with suppress(HttpBroken):
                await self._answer(connection)
        finally:
            connection.close()

    async def _answer(self, connection: HttpConnection) -> None:
        while (request := await connection.serve_next()) is not None:
            if request.target.partition(b'?')[0] != PATH:
                connection.send_answer(NOT_FOUND)
            else:
                connection.send_answer(
                    READY if self._is_ready() else NOT_READY,
                )
