"""Copy the counts of other proxies, so that a restart loses few."""

from asyncio import sleep, timeout
from collections.abc import Callable, Iterable, Sequence
from contextlib import AsyncExitStack, suppress
from hashlib import blake2b
from random import Random

from msgspec import DecodeError

from sedgeshunt.burn.buckets import COARSE_RETENTION
from sedgeshunt.burn.copies import TallyCopies
from sedgeshunt.burn.tally import Tally
from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Proxy
from sedgeshunt.exceptions import PeerUnreachable
from sedgeshunt.identifiers import ProxyId, Seconds
from sedgeshunt.ports import Address, PeerConnector

FETCH_INTERVAL = Seconds(60)
FETCH_TIMEOUT = Seconds(3)
COPIES_PER_PROXY = 2
_DIGEST_SIZE = 8


class TallyExchange:
    """Fetch the counts of two other proxies, and serve the copies."""

    def __init__(
        self,
        proxy: ProxyId,
        tally: Tally,
        connector: PeerConnector,
        list_proxies: Callable[[], Iterable[Proxy]],
        random: Random,
    ) -> None:
        """Prepare to copy from declared proxies; run() starts fetching."""
        self._proxy = proxy
        self._tally = tally
        self._connector = connector
        self._list_proxies = list_proxies
        self._random = random
        self._copies = TallyCopies()

    async def run(self) -> None:
        """Fetch missing counts about every minute until cancelled."""
        while True:
            await sleep(FETCH_INTERVAL * self._random.uniform(0.75, 1.25))
            await self.fetch()

    async def fetch(self) -> None:
        """Fetch once the counts that the copies lack."""
        ring = _Ring(self._proxy, self._list_proxies())
        for held in ring.list_held():
            await self._fetch(held, ring)

    def list_documents(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> list[bytes]:
        """Return the own counts and the copies, for `proxies` or for all."""
        now = read_clock()
        copies = self._copies.encode(now, proxies)
        if proxies and self._proxy not in proxies:
            return copies
        return [self._tally.encode(now, since), *copies]

    async def _fetch(self, held: Proxy, ring: '_Ring') -> None:
        name = ProxyId(held.name)
        since = self._copies.find_missing(name, read_clock())
        if since is not None:
            await self._fetch_from(held, name, since)
            return
        # This proxy has just started. Counts of earlier runs of the other proxy
        # exist only at its second holder, which may restart next. Without
        # this copy, a rolling restart would lose them one by one.
        for source in (*ring.list_holders(held), held):
            missing = self._copies.find_missing(name, read_clock())
            await self._fetch_from(source, name, missing or COARSE_RETENTION)

    async def _fetch_from(
        self,
        source: Proxy,
        name: ProxyId,
        since: Seconds,
    ) -> None:
        address = Address(source.host, source.peer_port)
        # A proxy that does not answer, or answers in the format of another
        # release, is asked again in a minute for all counts missing by then.
        with suppress(PeerUnreachable, TimeoutError, DecodeError):
            async with timeout(FETCH_TIMEOUT), AsyncExitStack() as resources:
                connection = await self._connector.connect(address)
                resources.push_async_callback(connection.close)
                for copied in await connection.copy_tallies(since, (name,)):
                    self._copies.add(copied, read_clock())


class _Ring:
    """Order proxies so that each has two holders and copies two others."""

    # If each proxy ranked the others by itself and copied the first two, some
    # proxies would have no holder.

    def __init__(self, own: ProxyId, proxies: Iterable[Proxy]) -> None:
        others = [proxy for proxy in proxies if proxy.name != own]
        self._ring = sorted(others, key=_compute_position)
        own_position = _hash(own)
        before = [
            each
            for each in self._ring
            if _compute_position(each) < own_position
        ]
        # Start with the proxy that follows this one.
        self._ring = self._ring[len(before) :] + before

    def list_held(self) -> list[Proxy]:
        """List the following proxies, whose counts this proxy copies."""
        return self._ring[:COPIES_PER_PROXY]

    def list_holders(self, held: Proxy) -> list[Proxy]:
        """List the other proxies that hold the counts of `held`."""
        index = self._ring.index(held)
        if index:
            return self._ring[:index]
        return [self._ring[-1]] if len(self._ring) > 1 else []


def _compute_position(proxy: Proxy) -> bytes:
    return _hash(proxy.name)


def _hash(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=_DIGEST_SIZE).digest()
