"""Bring the newest configuration to one proxy."""

from abc import ABC, abstractmethod
from asyncio import TaskGroup, sleep, timeout
from collections.abc import AsyncGenerator, Callable
from contextlib import AsyncExitStack, suppress
from random import Random

from sedgeshunt.configuration.active import (
    ActiveConfiguration,
    EventsOutOfOrder,
)
from sedgeshunt.configuration.keys import OBJECTS_PREFIX
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.decisions import DecisionLog
from sedgeshunt.exceptions import PlatformUnavailable
from sedgeshunt.identifiers import Revision, Seconds
from sedgeshunt.ports import (
    ConfigurationCopy,
    KeyValueService,
    WatchCompacted,
)

# A watch can hang without an error, so peers are asked even while it is up.
CHECK_PEERS_EVERY = Seconds(2)
ASK_PEERS_EVERY = Seconds(0.5)
LIST_TIMEOUT = Seconds(5)
FIRST_PAUSE = Seconds(0.2)
LONGEST_PAUSE = Seconds(5)
SHORTEST_CEILING = Seconds(1)
TRIES_A_SECOND = 200
DOUBLINGS = 6
NOTHING = Revision(0)


class PeerSource(ABC):
    """Ask other proxies for a newer configuration."""

    @abstractmethod
    async def copy_newer(self, known: Revision) -> ConfigurationCopy | None:
        """Ask one peer within a short time; None if it has none, or is gone."""


class ConfigurationFeed:
    """Follow the platform's watch, and peers where it does not reach."""

    def __init__(
        self,
        platform: KeyValueService,
        peers: PeerSource,
        on_change: Callable[[Snapshot], None],
        decisions: DecisionLog,
        random: Random | None = None,
    ) -> None:
        """Call `on_change` with each snapshot that comes into force."""
        self._platform = platform
        self._peers = peers
        self._active = ActiveConfiguration(on_change, decisions)
        self._random = random or Random()
        self._watch_is_up = False
        self._failures = 0
        # A watch cannot start at or below this revision: nothing was read
        # yet, or the changes past it are no longer kept. None: it can.
        self._resync_after: Revision | None = NOTHING

    @property
    def snapshot(self) -> Snapshot:
        """Return the configuration in force."""
        return self._active.snapshot

    async def wait_revision(self, revision: Revision) -> Snapshot:
        """Wait until `revision` or a newer one is in force."""
        return await self._active.wait_revision(revision)

    def encode_copy(
        self,
        known: Revision = NOTHING,
    ) -> ConfigurationCopy | None:
        """Return the configuration for a peer, None if `known` is as new."""
        return self._active.encode_copy(known)

    async def run(self) -> None:
        """Follow platform and peers until cancelled."""
        async with TaskGroup() as tasks:
            tasks.create_task(self._follow_platform())
            tasks.create_task(self._follow_peers())

    async def _follow_platform(self) -> None:
        # Thousands of proxies that come back after an outage would spend the
        # service's reads on listings; a peer's copy saves each one its own,
        # and the watch then brings only what changed past the copy.
        await self._ask_peer()
        while True:
            try:
                await self._follow_until_down()
            except (WatchCompacted, EventsOutOfOrder):
                self._resync_after = self._active.known
                await self._ask_peer()
            self._watch_is_up = False
            await self._pause()

    async def _follow_until_down(self) -> None:
        with suppress(PlatformUnavailable, TimeoutError):
            await self._follow_watch()

    async def _follow_watch(self) -> None:
        if self._resync_after is not None and not await self._resync(
            self._resync_after,
        ):
            return
        self._resync_after = None
        watch = self._platform.watch(OBJECTS_PREFIX, self._active.known)
        async with AsyncExitStack() as owned:
            if isinstance(watch, AsyncGenerator):
                owned.push_async_callback(watch.aclose)
            self._watch_is_up = True
            async for events in watch:
                self._active.apply_events(events)
                self._watch_is_up = True
                self._failures = 0

    async def _resync(self, gap: Revision) -> bool:
        if self._active.known > gap:
            return True
        async with timeout(LIST_TIMEOUT):
            listing = await self._platform.list_prefix(OBJECTS_PREFIX)
        return self._active.apply_listing(listing)

    async def _follow_peers(self) -> None:
        while True:
            every = CHECK_PEERS_EVERY if self._watch_is_up else ASK_PEERS_EVERY
            await sleep(every * self._random.uniform(0.75, 1.25))
            await self._ask_peer()

    async def _ask_peer(self) -> None:
        copy = await self._peers.copy_newer(self._active.snapshot.revision)
        if copy is not None and self._active.apply_copy(copy):
            # A peer knew more than the watch brought, so the watch may hang.
            # Until it brings something, peers are the faster source.
            self._watch_is_up = False

    async def _pause(self) -> None:
        longest = min(self._find_longest(), FIRST_PAUSE * 2**self._failures)
        self._failures = min(DOUBLINGS, self._failures + 1)
        await sleep(longest * self._random.uniform(0.5, 1))

    def _find_longest(self) -> float:
        # The fewer proxies there are, the sooner each may try again without
        # the service's rates being used up by tries.
        fleet = len(self._active.snapshot.proxies)
        return min(LONGEST_PAUSE, max(SHORTEST_CEILING, fleet / TRIES_A_SECOND))
