"""Call JSON services and tell what surely did not arrive."""

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from json import JSONDecodeError, loads
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    SocketTimeoutError,
    TCPConnector,
)

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


@dataclass(frozen=True, slots=True)
class JsonReply:
    """Hold the status and the document of one answer."""

    status: int
    # None when the answer has no body.
    document: Any


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
        self._owned = AsyncExitStack()
        self._session: ClientSession | None = None

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
        call = self._open_session().request(
            method,
            self._make_url(path),
            json=body,
            headers=headers,
            timeout=ClientTimeout(limit, sock_connect=limit),
            allow_redirects=False,
        )
        try:
            async with call as response:
                return JsonReply(
                    response.status,
                    _read_body(await response.read()),
                )
        except (ClientConnectorError, ConnectionTimeoutError) as failure:
            raise ServiceAway(_describe(failure)) from failure
        except (ClientError, TimeoutError, ValueError) as failure:
            raise CallFailed(_describe(failure)) from failure

    @asynccontextmanager
    async def stream(
        self,
        path: str,
        body: Any,
        silence: Seconds,
    ) -> AsyncIterator[AsyncIterator[Any]]:
        """Open a stream of documents that ends after a `silence`."""
        limits = ClientTimeout(sock_connect=CONNECT_TIMEOUT, sock_read=silence)
        async with AsyncExitStack() as owned:
            try:
                response = await owned.enter_async_context(
                    self._open_session().post(
                        self._make_url(path),
                        json=body,
                        timeout=limits,
                    ),
                )
            except (ClientError, TimeoutError) as failure:
                self._rotate()
                raise CallFailed(_describe(failure)) from failure
            await _check(response)
            yield _read_documents(response)

    async def close(self) -> None:
        """Close all connections."""
        await self._owned.aclose()
        self._session = None

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
        call = self._open_session().request(
            method,
            self._make_url(path),
            json=body,
            timeout=ClientTimeout(CALL_TIMEOUT, sock_connect=CONNECT_TIMEOUT),
            allow_redirects=False,
        )
        try:
            async with call as response:
                await _check(response)
                return await response.json(content_type=None)
        except (ClientConnectorError, ConnectionTimeoutError) as failure:
            # Not a byte of the call has left.
            raise ServiceAway(_describe(failure)) from failure
        except (ClientError, TimeoutError, JSONDecodeError) as failure:
            raise CallFailed(_describe(failure)) from failure

    def _open_session(self) -> ClientSession:
        if self._session is None:
            # A kept connection may have been closed by the other side, and
            # what is sent into it is lost without a trace: for a change,
            # nobody could tell. Calls are few enough for new connections.
            connector = TCPConnector(force_close=not self._keeps_connections)
            self._session = ClientSession(connector=connector)
            self._owned.push_async_callback(self._session.close)
        return self._session

    def _make_url(self, path: str) -> str:
        address = self._addresses[0]
        host = f'[{address.host}]' if ':' in address.host else address.host
        return f'http://{host}:{address.port}{path}'

    def _rotate(self) -> None:
        self._addresses.append(self._addresses.pop(0))


async def _check(response: ClientResponse) -> None:
    if response.status >= FIRST_BAD_STATUS:
        text = (await response.text())[:MAX_REASON]
        raise _explain(response.status, f'status {response.status}: {text}')


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
    return loads(body) if body.strip() else None


async def _read_documents(response: ClientResponse) -> AsyncIterator[Any]:
    # Lines hold values of up to a megabyte, more than a reader of lines
    # takes.
    kept = bytearray()
    try:
        async for chunk in response.content.iter_any():
            kept += chunk
            *lines, rest = kept.split(b'\n')
            kept = rest
            for line in lines:
                yield loads(line)
            if len(kept) > MAX_LINE:
                raise CallFailed('a line of the stream never ends')
    except SocketTimeoutError:
        return
    except (ClientError, TimeoutError, JSONDecodeError) as failure:
        raise CallFailed(_describe(failure)) from failure
    raise CallFailed('the stream has ended')


def _describe(failure: Exception) -> str:
    return str(failure) or type(failure).__name__
