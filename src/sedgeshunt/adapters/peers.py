"""Call other proxies over thrift."""

from asyncio import Lock, open_connection, timeout
from collections.abc import Sequence
from typing import Any

from thriftpy2.contrib.aio.client import TAsyncClient
from thriftpy2.thrift import TApplicationException

from sedgeshunt.adapters.peer_protocol import (
    CONNECTION_FAILURES,
    make_protocol,
    peers_thrift,
    read_copy,
    read_primary,
    read_report,
)
from sedgeshunt.exceptions import PeerUnreachable
from sedgeshunt.identifiers import GroupId, ProxyId, Revision, Seconds
from sedgeshunt.ports import (
    Address,
    ConfigurationCopy,
    PeerConnection,
    PeerConnector,
    PrimaryReport,
    ProxyReport,
)

CONNECT_TIMEOUT = Seconds(1)
CALL_TIMEOUT = Seconds(2)
CALL_FAILURES = (TApplicationException, *CONNECTION_FAILURES)


class ThriftPeerConnection(PeerConnection):
    """Call one proxy, one call after the other."""

    def __init__(self, peer: str, protocol: Any) -> None:
        """Own the open connection under `protocol`."""
        self._peer = peer
        self._protocol = protocol
        self._client = TAsyncClient(peers_thrift.PeerService, protocol)
        self._turn = Lock()
        self._is_open = True

    async def report(self) -> ProxyReport:
        """Ask what the proxy runs with; raise PeerUnreachable."""
        return read_report(await self._call('report'))

    async def report_primary(self, group: GroupId) -> PrimaryReport:
        """Ask when the proxy heard the primary; raise PeerUnreachable."""
        return read_primary(await self._call('report_primary', group))

    async def copy_configuration(
        self,
        known: Revision,
    ) -> ConfigurationCopy | None:
        """Ask for a newer configuration than `known`, None if it has none."""
        return read_copy(await self._call('copy_configuration', known))

    async def announce_leaving(self, name: str) -> None:
        """Tell the proxy that instance `name` is leaving."""
        await self._call('announce_leaving', name)

    async def explain(self, question: bytes) -> bytes:
        """Ask how the proxy would route; both sides are JSON documents."""
        answer: bytes = await self._call('explain', question)
        return answer

    async def copy_tallies(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> Sequence[bytes]:
        """Ask for counts and copies; raise PeerUnreachable."""
        copied: list[bytes] = await self._call(
            'copy_tallies',
            since,
            list(proxies),
        )
        return copied

    async def close(self) -> None:
        """Drop the connection at once; closing twice does no harm."""
        if self._is_open:
            self._is_open = False
            self._protocol.trans.close()

    async def _call(self, method: str, *given: object) -> Any:
        try:
            async with timeout(CALL_TIMEOUT), self._turn:
                return await self._call_in_turn(method, given)
        except CALL_FAILURES as failure:
            raise _explain(self._peer, failure) from failure

    async def _call_in_turn(
        self,
        method: str,
        given: Sequence[object],
    ) -> Any:
        if not self._is_open:
            raise PeerUnreachable(self._peer, 'the connection broke')
        is_answered = False
        try:
            answer = await getattr(self._client, method)(*given)
            is_answered = True
        except TApplicationException:
            is_answered = True
            raise
        finally:
            # The answer to a call that was given up would be taken for the
            # answer to the next one.
            if not is_answered:
                await self.close()
        return answer


class ThriftPeerConnector(PeerConnector):
    """Open connections to other proxies."""

    async def connect(self, address: Address) -> PeerConnection:
        """Open a connection; raise PeerUnreachable."""
        peer = f'{address.host}:{address.port}'
        try:
            async with timeout(CONNECT_TIMEOUT):
                reader, writer = await open_connection(
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as failure:
            raise _explain(peer, failure) from failure
        return ThriftPeerConnection(peer, make_protocol(reader, writer))


def _explain(peer: str, failure: Exception) -> PeerUnreachable:
    return PeerUnreachable(peer, str(failure) or type(failure).__name__)
