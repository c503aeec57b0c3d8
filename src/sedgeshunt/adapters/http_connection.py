"""Speak HTTP/1.1 on one connection, as the client or as the server."""

from asyncio import StreamReader, StreamWriter
from collections.abc import AsyncIterator, Mapping

from msgspec import Struct, field
from h11 import (
    CLIENT,
    DONE,
    IDLE,
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    Event,
    ProtocolError,
    Request,
    Response,
)

from sedgeshunt.exceptions import SedgeshuntError

READ_SIZE = 64 * 1024
# Longest body that is taken in, in bytes; a listing of the platform's store
# holds a megabyte, a key-value gateway's stream up to this.
LONGEST_BODY = 32 * 1024 * 1024


class HttpBroken(SedgeshuntError):
    """Say that a connection ended, or that what came is no HTTP."""

    def __init__(self, reason: str) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason

    def format_message(self) -> str:
        """Tell the reason and the remedy."""
        return f'{self.reason}; try again on a new connection'


class HttpRequest(Struct, frozen=True):
    """Hold one request."""

    method: str
    target: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''


class HttpReply(Struct, frozen=True):
    """Hold one whole answer."""

    status: int
    body: bytes
    # By their names in lower case.
    headers: Mapping[str, str] = field(default_factory=dict)


class HttpConnection:
    """Own one connection and the state of its protocol."""

    def __init__(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        *,
        is_server: bool = False,
    ) -> None:
        """Speak on an open connection."""
        self._reader = reader
        self._writer = writer
        self._protocol = Connection(SERVER if is_server else CLIENT)

    def is_usable(self) -> bool:
        """Tell whether another exchange may begin on it."""
        # HTTP may have ended the connection before its end of stream arrives.
        return self._is_open() and self._protocol.our_state is IDLE

    async def exchange(self, host: str, request: HttpRequest) -> HttpReply:
        """Send a request and return the whole answer; raise HttpBroken."""
        self.send_request(host, request)
        head = await self._read_head()
        body = b''.join([chunk async for chunk in self.read_body()])
        self._finish()
        headers = {
            name.decode(): content.decode('latin-1')
            for name, content in head.headers
        }
        return HttpReply(head.status_code, body, headers)

    def send_request(self, host: str, request: HttpRequest) -> None:
        """Send a request."""
        headers = {
            'Host': host,
            'Content-Type': 'application/json',
            'Content-Length': str(len(request.body)),
            **request.headers,
        }
        self._send(
            Request(
                method=request.method,
                target=request.target,
                headers=list(headers.items()),
            ),
            request.body,
        )

    async def read_status(self) -> int:
        """Return the status of the answer that begins; raise HttpBroken."""
        head = await self._read_head()
        return head.status_code

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of a body to its end; raise HttpBroken."""
        received = 0
        while True:
            event = await self._next_event()
            if not isinstance(event, Data):
                return
            received += len(event.data)
            if received > LONGEST_BODY:
                raise HttpBroken(f'a body exceeds {LONGEST_BODY} bytes')
            yield bytes(event.data)

    async def serve_next(self) -> Request | None:
        """Return the next request without its body, None at the end."""
        self._finish()
        event = await self._next_event()
        while not isinstance(event, Request):
            if isinstance(event, ConnectionClosed):
                return None
            event = await self._next_event()
        # The body, if any, says nothing here.
        ending = await self._next_event()
        while not isinstance(ending, EndOfMessage):
            ending = await self._next_event()
        return event

    def send_answer(
        self,
        status: int,
        body: bytes = b'',
        kind: str = 'text/plain',
    ) -> None:
        """Answer the request that was read last."""
        headers = [
            ('Content-Type', kind),
            ('Content-Length', str(len(body))),
        ]
        self._send(Response(status_code=status, headers=headers), body)

    def close(self) -> None:
        """Drop the connection at once; closing twice does no harm."""
        self._writer.transport.abort()

    def _send(self, head: Event, body: bytes) -> None:
        content = [Data(data=body)] if body else []
        events = [head, *content, EndOfMessage()]
        try:
            parts = [self._protocol.send(event) or b'' for event in events]
        except ProtocolError as failure:
            raise HttpBroken(str(failure)) from failure
        if not self._is_open():
            raise HttpBroken('the connection was closed')
        self._writer.write(b''.join(parts))

    def _is_open(self) -> bool:
        return not (self._writer.is_closing() or self._reader.at_eof())

    async def _read_head(self) -> Response:
        while True:
            event = await self._next_event()
            if isinstance(event, Response):
                return event
            if isinstance(event, ConnectionClosed):
                raise HttpBroken('the connection was closed')

    async def _next_event(self) -> Event | type:
        try:
            while (event := self._protocol.next_event()) is NEED_DATA:
                self._protocol.receive_data(await self._reader.read(READ_SIZE))
        except (ProtocolError, OSError) as failure:
            raise HttpBroken(str(failure)) from failure
        if event is PAUSED:
            raise HttpBroken('more came than was asked for')
        return event

    def _finish(self) -> None:
        """Make ready for the next exchange, if there may be one."""
        is_over = self._protocol.our_state is DONE
        if is_over and self._protocol.their_state is DONE:
            self._protocol.start_next_cycle()
