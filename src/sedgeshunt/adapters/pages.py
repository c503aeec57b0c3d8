"""Serve small pages over HTTP."""

from asyncio import StreamReader, StreamWriter
from collections.abc import Callable, Mapping
from contextlib import suppress

from msgspec import Struct

from sedgeshunt.adapters.http_connection import HttpBroken, HttpConnection
from sedgeshunt.adapters.listener import StreamListener
from sedgeshunt.ports import Address

OK = 200
NOT_FOUND = 404
NOT_READY = 503
PLAIN_TEXT = 'text/plain; charset=utf-8'


class Page(Struct, frozen=True):
    """Hold one answer."""

    status: int
    body: bytes = b''


MakePage = Callable[[], Page]


class PageServer(StreamListener):
    """Answer each path with the page that is made for it at that moment."""

    def __init__(
        self,
        address: Address,
        pages: Mapping[bytes, MakePage],
    ) -> None:
        """Serve nothing before start()."""
        super().__init__(address)
        self._pages = pages

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        connection = HttpConnection(reader, writer, is_server=True)
        try:
            with suppress(HttpBroken):
                await self._answer(connection)
        finally:
            connection.close()

    async def _answer(self, connection: HttpConnection) -> None:
        while (request := await connection.serve_next()) is not None:
            path = request.target.partition(b'?')[0]
            make = self._pages.get(path)
            page = Page(NOT_FOUND) if make is None else make()
            connection.send_answer(page.status, page.body, PLAIN_TEXT)
