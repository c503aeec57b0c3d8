"""Call JSON services and tell what surely did not arrive."""

from asyncio import open_connection, timeout
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from json import dumps
from typing import Any

from msgspec import Struct, field

from sedgeshunt.adapters.http_connection import (
    HttpBroken,
    HttpConnection,
    HttpReply,
    HttpRequest,
)
from sedgeshunt.adapters.sockets import watch_silence
from sedgeshunt.decoding import Undecodable, describe_failure, load_document
from sedgeshunt.identifiers import Seconds
from sedgeshunt.ports import Address

CONNECT_TIMEOUT = Seconds(1)
CALL_TIMEOUT = Seconds(3)
MAX_LINE = 32 * 1024 * 1024
MAX_REASON = 200
FIRST_BAD_STATUS = 400
FIRST_SERVER_STATUS = 500
NOT_FOUND_STATUS = 404
UNAVAILABLE_STATUS = 503

# A service that is overloaded or has no leader says so before it does
# anything; with these words it does not know itself what it did.
UNSURE_WORDS = ('timed out', 'leader changed', 'server stopped')


class CallFailed(Exception):
    """Say that a call got no answer; it may have taken effect."""


class CallRefused(CallFailed):
    """Say that a call took no effect."""


class ServiceAway(CallRefused):
    """Say that an address did not take a call; another one may."""


class NotFound(CallRefused):
    """Say that what a call is about is not there."""


class JsonReply(Struct, frozen=True):
    """Hold the status and the document of one answer."""

    status: int
    # None when the answer has no body.
    document: Any
    # By their names in lower case.
    headers: Mapping[str, str] = field(default_factory=dict)


class JsonClient:
    """Call one of several addresses that serve the same."""

    def __init__(
        self,
        addresses: Sequence[Address],
        *,
        keeps_connections: bool = False,
    ) -> None:
        """Connect to nothing yet; the first address is tried first."""
        self._addresses = list(addresses)
        self._keeps_connections = keeps_connections
        self._idle: list[HttpConnection] = []
        self._is_closed = False
        self._moves = 0

    async def post(self, path: str, body: Any) -> Any:
        """Send a document and return the answer; raise CallFailed."""
        return await self._call('POST', path, body)

    async def get(self, path: str) -> Any:
        """Return a document; raise CallFailed."""
        return await self._call('GET', path, None)

    async def exchange(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        limit: Seconds = CALL_TIMEOUT,
    ) -> JsonReply:
        """Return any answer, whatever its status; raise CallFailed.

        Raise ServiceAway when not a byte of the call has left.
        """
        reply = await self._exchange(
            HttpRequest(method, path, headers or {}, _make_body(body)),
            limit,
        )
        try:
            document = _read_body(reply.body)
        except Undecodable as failure:
            raise CallFailed(failure.reason) from failure
        return JsonReply(reply.status, document, reply.headers)

    @asynccontextmanager
    async def stream(
        self,
        path: str,
        body: Any,
        silence: Seconds,
    ) -> AsyncIterator[AsyncIterator[Any]]:
        """Open a stream of documents that ends after a `silence`."""
        request = HttpRequest('POST', path, {}, _make_body(body))
        connection = await self._connect(CONNECT_TIMEOUT)
        try:
            connection.send_request(self._host, request)
            async with timeout(silence):
                status = await connection.read_status()
            if status >= FIRST_BAD_STATUS:
                text = await _read_reason(connection, silence)
                raise _explain(status, f'status {status}: {text}')
            yield _read_documents(connection, silence)
        except (HttpBroken, TimeoutError) as failure:
            self._rotate()
            raise CallFailed(describe_failure(failure)) from failure
        finally:
            connection.close()

    def move(self, address: Address) -> None:
        """Call another address from the next call on."""
        self._moves += 1
        self._addresses = [address]
        while self._idle:
            self._idle.pop().close()

    async def close(self) -> None:
        """Close all connections."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()

    async def _call(self, method: str, path: str, body: Any) -> Any:
        failure = ServiceAway('no address is known')
        for _ in tuple(self._addresses):
            try:
                return await self._call_one(method, path, body)
            except ServiceAway as away:
                failure = away
                self._rotate()
        raise failure

    async def _call_one(self, method: str, path: str, body: Any) -> Any:
        reply = await self._exchange(
            HttpRequest(method, path, {}, _make_body(body)),
            CALL_TIMEOUT,
        )
        if reply.status >= FIRST_BAD_STATUS:
            text = reply.body.decode(errors='replace')[:MAX_REASON]
            raise _explain(reply.status, f'status {reply.status}: {text}')
        try:
            return _read_body(reply.body)
        except Undecodable as failure:
            raise CallFailed(failure.reason) from failure

    async def _exchange(
        self,
        request: HttpRequest,
        limit: Seconds,
    ) -> HttpReply:
        connection = await self._take_connection(limit)
        moves = self._moves
        is_whole = False
        try:
            async with timeout(limit):
                reply = await connection.exchange(self._host, request)
            is_whole = True
        except (HttpBroken, TimeoutError) as failure:
            raise CallFailed(describe_failure(failure)) from failure
        finally:
            # A call may have been under way while the service moved: its
            # connection leads to where it was.
            is_current = moves == self._moves
            self._give_back(connection, is_kept=is_whole and is_current)
        return reply

    async def _take_connection(self, limit: Seconds) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return await self._connect(min(limit, CONNECT_TIMEOUT))

    async def _connect(self, limit: float) -> HttpConnection:
        address = self._addresses[0]
        try:
            async with timeout(limit):
                reader, writer = await open_connection(
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as failure:
            # Not a byte of the call has left.
            raise ServiceAway(describe_failure(failure)) from failure
        watch_silence(writer)
        return HttpConnection(reader, writer)

    def _give_back(
        self,
        connection: HttpConnection,
        *,
        is_kept: bool,
    ) -> None:
        # A kept connection may have been closed by the other side, and what
        # is sent into it is lost without a trace: for a change, nobody could
        # tell. So connections are kept only where the caller can bear that.
        keeps = is_kept and self._keeps_connections and not self._is_closed
        if keeps and connection.is_usable():
            self._idle.append(connection)
        else:
            connection.close()

    @property
    def _host(self) -> str:
        address = self._addresses[0]
        host = f'[{address.host}]' if ':' in address.host else address.host
        return f'{host}:{address.port}'

    def _rotate(self) -> None:
        self._addresses.append(self._addresses.pop(0))


def _make_body(body: Any) -> bytes:
    return b'' if body is None else dumps(body).encode()


async def _read_reason(connection: HttpConnection, limit: Seconds) -> str:
    async with timeout(limit):
        body = b''.join([chunk async for chunk in connection.read_body()])
    return body.decode(errors='replace')[:MAX_REASON]


def _explain(status: int, text: str) -> CallFailed:
    is_unsure = any(word in text for word in UNSURE_WORDS)
    if status == UNAVAILABLE_STATUS and not is_unsure:
        return ServiceAway(text)
    if status == NOT_FOUND_STATUS:
        return NotFound(text)
    if status < FIRST_SERVER_STATUS:
        return CallRefused(text)
    return CallFailed(text)


def _read_body(body: bytes) -> Any:
    return load_document(body) if body.strip() else None


async def _read_documents(
    connection: HttpConnection,
    silence: Seconds,
) -> AsyncIterator[Any]:
    # Lines hold values of up to a megabyte, more than a reader of lines
    # takes.
    kept = b''
    body = connection.read_body()
    while True:
        try:
            async with timeout(silence):
                kept += await anext(body)
        except TimeoutError:
            return
        except StopAsyncIteration as ended:
            raise CallFailed('the stream has ended') from ended
        for line in kept.split(b'\n')[:-1]:
            yield _read_line(line)
        kept = kept.rpartition(b'\n')[2]
        if len(kept) > MAX_LINE:
            raise CallFailed('a line of the stream never ends')


def _read_line(line: bytes) -> Any:
    try:
        return load_document(line)
    except Undecodable as failure:
        raise CallFailed(failure.reason) from failure
