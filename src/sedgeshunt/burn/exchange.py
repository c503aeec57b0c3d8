"""Hold copies of other proxies' counts, so that a restart loses few."""

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

FETCH_EVERY = Seconds(60)
FETCH_TIMEOUT = Seconds(3)
HELD_PROXIES = 2
_DIGEST_SIZE = 8


class TallyExchange:
    """Fetch the counts of two other proxies, and pass on what is held."""

    def __init__(
        self,
        proxy: ProxyId,
        tally: Tally,
        connector: PeerConnector,
        list_proxies: Callable[[], Iterable[Proxy]],
        random: Random,
    ) -> None:
        """Hold copies for the declared proxies; fetch none before run()."""
        self._proxy = proxy
        self._tally = tally
        self._connector = connector
        self._list_proxies = list_proxies
        self._random = random
        self._copies = TallyCopies()

    async def run(self) -> None:
        """Fetch what is missing every minute until cancelled."""
        while True:
            await sleep(FETCH_EVERY * self._random.uniform(0.75, 1.25))
            await self.fetch()

    async def fetch(self) -> None:
        """Fetch once what the held copies lack."""
        ring = _Ring(self._proxy, self._list_proxies())
        for held in ring.list_held():
            await self._fetch(held, ring)

    def list_documents(
        self,
        since: Seconds,
        proxies: Sequence[ProxyId] = (),
    ) -> list[bytes]:
        """Return own counts and copies, those of `proxies` or all."""
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
        # This proxy is new itself. Runs of the other one that have ended are
        # with its second holder only, which may be the next to restart: a
        # rolling restart would else lose them one by one.
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
        # Whoever does not answer, or in another release's form, is asked
        # again in a minute for all that is missing by then.
        with suppress(PeerUnreachable, TimeoutError, DecodeError):
            async with timeout(FETCH_TIMEOUT), AsyncExitStack() as owned:
                connection = await self._connector.connect(address)
                owned.push_async_callback(connection.close)
                for copied in await connection.copy_tallies(since, (name,)):
                    self._copies.add(copied, read_clock())


class _Ring:
    """Order proxies so that each is held by two, and each holds two."""

    # Two chosen by rank for each holder would leave some held by nobody.

    def __init__(self, own: ProxyId, proxies: Iterable[Proxy]) -> None:
        others = [proxy for proxy in proxies if proxy.name != own]
        self._ring = sorted(others, key=_place)
        own_place = _hash(own)
        before = [each for each in self._ring if _place(each) < own_place]
        # Begin with the one that follows this proxy.
        self._ring = self._ring[len(before) :] + before

    def list_held(self) -> list[Proxy]:
        """List the next ones, whose counts this proxy holds."""
        return self._ring[:HELD_PROXIES]

    def list_holders(self, held: Proxy) -> list[Proxy]:
        """List who else holds the counts of `held`."""
        place = self._ring.index(held)
        if place:
            return self._ring[:place]
        return [self._ring[-1]] if len(self._ring) > 1 else []


def _place(proxy: Proxy) -> bytes:
    return _hash(proxy.name)


def _hash(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=_DIGEST_SIZE).digest()
