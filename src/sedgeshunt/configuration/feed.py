"""Keep one proxy's configuration up to date."""

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

# A watch can hang without an error, so peers are polled during a watch too.
PEER_INTERVAL_DURING_WATCH = Seconds(2)
PEER_INTERVAL_WITHOUT_WATCH = Seconds(0.5)
LIST_TIMEOUT = Seconds(5)
FIRST_RETRY_DELAY = Seconds(0.2)
MAX_RETRY_DELAY = Seconds(5)
MIN_DELAY_LIMIT = Seconds(1)
FLEET_RETRIES_PER_SECOND = 200
MAX_DOUBLINGS = 6
NO_REVISION = Revision(0)


class PeerSource(ABC):
    """Fetch newer configurations from other proxies."""

    @abstractmethod
    async def copy_newer(self, known: Revision) -> ConfigurationCopy | None:
        """Ask one peer briefly; return None if not newer or unreachable."""


class ConfigurationFeed:
    """Follow the platform's watch and poll peers in case it fails."""

    def __init__(
        self,
        platform: KeyValueService,
        peers: PeerSource,
        on_change: Callable[[Snapshot], None],
        decisions: DecisionLog,
        random: Random | None = None,
    ) -> None:
        """Call `on_change` with each snapshot that becomes active."""
        self._platform = platform
        self._peers = peers
        self._active = ActiveConfiguration(on_change, decisions)
        self._random = random or Random()
        self._watch_is_up = False
        self._failures = 0
        # A watch cannot start at or below this revision, as nothing was read
        # yet or later changes were compacted. None: no resync is needed.
        self._resync_after: Revision | None = NO_REVISION

    @property
    def snapshot(self) -> Snapshot:
        """Return the active configuration."""
        return self._active.snapshot

    async def wait_revision(self, revision: Revision) -> Snapshot:
        """Wait until `revision` or a newer one is active."""
        return await self._active.wait_revision(revision)

    def encode_copy(
        self,
        known: Revision = NO_REVISION,
    ) -> ConfigurationCopy | None:
        """Return the encoded configuration, or None if `known` is as new."""
        return self._active.encode_copy(known)

    async def run(self) -> None:
        """Follow platform and peers until cancelled."""
        async with TaskGroup() as tasks:
            tasks.create_task(self._follow_platform())
            tasks.create_task(self._follow_peers())

    async def _follow_platform(self) -> None:
        # Listings by thousands of proxies that restart after an outage would
        # exhaust the store's read capacity. With a peer's copy a proxy needs
        # no listing; the watch then sends only the changes after the copy.
        await self._ask_peer()
        while True:
            try:
                await self._follow_until_failure()
            except (WatchCompacted, EventsOutOfOrder):
                self._resync_after = self._active.known_revision
                await self._ask_peer()
            self._watch_is_up = False
            await self._wait_before_retry()

    async def _follow_until_failure(self) -> None:
        with suppress(PlatformUnavailable, TimeoutError):
            await self._follow_watch()

    async def _follow_watch(self) -> None:
        if self._resync_after is not None and not await self._resync(
            self._resync_after,
        ):
            return
        self._resync_after = None
        watch = self._platform.watch(
            OBJECTS_PREFIX,
            self._active.known_revision,
        )
        async with AsyncExitStack() as owned:
            if isinstance(watch, AsyncGenerator):
                owned.push_async_callback(watch.aclose)
            self._watch_is_up = True
            async for events in watch:
                self._active.apply_events(events)
                self._watch_is_up = True
                self._failures = 0

    async def _resync(self, revision: Revision) -> bool:
        if self._active.known_revision > revision:
            return True
        async with timeout(LIST_TIMEOUT):
            listing = await self._platform.list_prefix(OBJECTS_PREFIX)
        return self._active.apply_listing(listing)

    async def _follow_peers(self) -> None:
        while True:
            interval = (
                PEER_INTERVAL_DURING_WATCH
                if self._watch_is_up
                else PEER_INTERVAL_WITHOUT_WATCH
            )
            await sleep(interval * self._random.uniform(0.75, 1.25))
            await self._ask_peer()

    async def _ask_peer(self) -> None:
        copy = await self._peers.copy_newer(self._active.snapshot.revision)
        if copy is not None and self._active.apply_copy(copy):
            # A peer was ahead of the watch, so the watch may hang. Peers are
            # polled faster until the watch sends an event.
            self._watch_is_up = False

    async def _wait_before_retry(self) -> None:
        limit = min(
            self._compute_delay_limit(),
            FIRST_RETRY_DELAY * 2**self._failures,
        )
        self._failures = min(MAX_DOUBLINGS, self._failures + 1)
        await sleep(limit * self._random.uniform(0.5, 1))

    def _compute_delay_limit(self) -> float:
        # Limits the retry rate of all proxies together, so that retries do
        # not use up the store's request rate; small fleets retry sooner.
        proxy_count = len(self._active.snapshot.proxies)
        return min(
            MAX_RETRY_DELAY,
            max(MIN_DELAY_LIMIT, proxy_count / FLEET_RETRIES_PER_SECOND),
        )
