"""Stand in for the key-value service and the list of instances."""

from asyncio import timeout
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import aclosing
from typing import TypeVar

from msgspec.structs import replace

from sedgeshunt.clocks import read_clock
from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.identifiers import Era, Revision, Seconds
from sedgeshunt.ports import (
    FIRST_ERA,
    CommitResult,
    Compare,
    Delete,
    GrantedLease,
    InstanceList,
    KeyValue,
    KeyValueService,
    ListedInstance,
    Listing,
    Put,
    WatchEvent,
)
from sedgeshunt.revisions import make_revision, read_count
from tests.standins.keyvalues import Matcher
from tests.standins.network import PLATFORM, Network, Place
from tests.standins.service import KeyValueStandIn

__all__ = (
    'InstanceListStandIn',
    'KeyValueStandIn',
    'MemoryInstanceList',
    'MemoryKeyValue',
)

Value = TypeVar('Value')
# As the client of the users' platform does, in seconds.
CALL_LIMIT = 0.8


class MemoryKeyValue(KeyValueService):
    """Call the stand-in as a client in one zone."""

    def __init__(self, service: KeyValueStandIn, client: Place) -> None:
        """Stand at `client`."""
        self._service = service
        self._store = service.store
        self._client = client
        self._era = FIRST_ERA

    @property
    def era(self) -> Era:
        """Return the newest era that an answer has told."""
        return self._era

    async def list_prefix(
        self,
        prefix: str,
        *,
        may_be_old: bool = False,
    ) -> Listing:
        """Read all pairs under `prefix`."""
        return await self._call(
            'old list' if may_be_old else 'list',
            lambda: self._list(_match_prefix(prefix)),
        )

    async def commit(
        self,
        compares: Sequence[Compare],
        changes: Sequence[Put | Delete],
    ) -> CommitResult:
        """Apply all or nothing; the answer may get lost."""
        counted = [
            Compare(one.key, Revision(read_count(one.revision)))
            for one in compares
        ]
        return await self._call(
            'commit',
            lambda: self._commit(counted, changes),
        )

    async def watch(
        self,
        prefix: str,
        after: Revision,
    ) -> AsyncIterator[Sequence[WatchEvent]]:
        """Yield changes past `after`."""
        matches = _match_prefix(prefix)
        counted = Revision(read_count(after))
        watch = self._service.watch(self._client, matches, counted)
        async with aclosing(watch):
            async for events in watch:
                self._era = max(self._era, self._store.era)
                yield [
                    replace(event, revision=self._place(event.revision))
                    for event in events
                ]

    async def grant_lease(self, ttl: Seconds) -> GrantedLease:
        """Create a lease."""
        lease = await self._call('grant', lambda: self._store.grant_lease(ttl))
        return GrantedLease(lease, min(ttl, Seconds(self._store.longest_ttl)))

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; tell False when it has lapsed."""
        return await self._call(
            'keep',
            lambda: self._store.keep_lease(lease) > 0,
        )

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
        await self._call('revoke', lambda: self._store.revoke_lease(lease))

    def _list(self, matches: Matcher) -> Listing:
        listing = self._store.list_matching(matches)
        pairs = list(map(self._place_pair, listing.pairs))
        return Listing(self._place(listing.revision), pairs)

    def _commit(
        self,
        compares: Sequence[Compare],
        changes: Sequence[Put | Delete],
    ) -> CommitResult:
        done = self._store.commit(compares, changes)
        return CommitResult(
            done.succeeded,
            self._place(done.revision),
            list(map(self._place_pair, done.current)),
        )

    def _place(self, count: int) -> Revision:
        return make_revision(self._store.era, count)

    def _place_pair(self, pair: KeyValue) -> KeyValue:
        return replace(pair, revision=self._place(pair.revision))

    async def _call(self, name: str, action: Callable[[], Value]) -> Value:
        era, found = await self._service.answer(
            self._client,
            name,
            lambda: (self._store.era, action()),
        )
        self._era = max(self._era, era)
        return found


class ImpatientKeyValue(MemoryKeyValue):
    """Call the stand-in, and give each call up after a while."""

    async def _call(self, name: str, action: Callable[[], Value]) -> Value:
        try:
            async with timeout(CALL_LIMIT):
                return await super()._call(name, action)
        except TimeoutError as failure:
            if name == 'commit':
                raise AnswerLost(name) from failure
            raise PlatformUnavailable('no answer in time') from failure


class InstanceListStandIn:
    """Tell the instances as they were some time ago."""

    def __init__(self, network: Network | None = None) -> None:
        """Start with an empty list that is up to date."""
        self.network = network or Network()
        self.lateness = float(0)
        self.down = False
        self._versions: list[tuple[float, tuple[ListedInstance, ...]]] = []

    def outage(self) -> None:
        """Refuse all readers."""
        self.down = True

    def recover(self) -> None:
        """Answer again."""
        self.down = False

    def publish(self, instances: Sequence[ListedInstance]) -> None:
        """Replace the list; readers see it `lateness` seconds later."""
        self._versions.append((read_clock(), tuple(instances)))

    def list_newest(self) -> tuple[ListedInstance, ...]:
        """Return the list as it truly is."""
        return self._versions[-1][1] if self._versions else ()

    def list_instances(self) -> tuple[ListedInstance, ...]:
        """Return the list as of `lateness` seconds ago."""
        seen = read_clock() - self.lateness
        known = [listed for at, listed in self._versions if at <= seen]
        return known[-1] if known else ()


class MemoryInstanceList(InstanceList):
    """Read the stand-in's list as a client in one zone."""

    def __init__(self, service: InstanceListStandIn, client: Place) -> None:
        """Stand at `client`."""
        self._service = service
        self._client = client

    async def read_instances(self) -> Sequence[ListedInstance]:
        """Return the list; hang in a cut until cancelled."""
        network = self._service.network
        await network.cross(self._client, PLATFORM)
        if self._service.down:
            raise PlatformUnavailable('connection refused')
        await network.cross(PLATFORM, self._client)
        return self._service.list_instances()


def _match_prefix(prefix: str) -> Matcher:
    return lambda key: key.startswith(prefix)
