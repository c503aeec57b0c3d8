"""Keep a view of the store up to date, by a watch or a peer."""

from asyncio import (
    FIRST_COMPLETED,
    Event,
    Task,
    TaskGroup,
    create_task,
    sleep,
    timeout,
    wait,
)
from collections.abc import (
    AsyncGenerator,
    Callable,
    Coroutine,
    Iterator,
    Sequence,
)
from contextlib import AsyncExitStack, suppress

from sedgeshunt.clocks import read_clock
from sedgeshunt.decoding import Undecodable
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.exceptions import PlatformUnavailable
from sedgeshunt.groups.backoff import Backoff
from sedgeshunt.identifiers import Monotonic, Revision, Seconds
from sedgeshunt.ports import (
    KeyValue,
    WatchCompacted,
    WatchEvent,
)
from sedgeshunt.registry.changes import ChangeLog, StoreChanges
from sedgeshunt.registry.current_store import CurrentStore
from sedgeshunt.registry.entries import Entry, read_entry
from sedgeshunt.registry.feeds import ChangeFeed, Followers, NoFeed
from sedgeshunt.registry.gathering import MIN_BATCH_DELAY, WatchBatching
from sedgeshunt.registry.unreadable import UnreadableEntries
from sedgeshunt.revisions import NOTHING, begin_era, read_era

# Delays before retries while the store does not answer; the longest is short
# against the 3 s in which a configuration has to come into force.
MIN_RETRY_DELAY = Seconds(0.1)
MAX_RETRY_DELAY = Seconds(0.8)
# How often one proxy polls the revision of the store, and for how long a watch
# may lag behind it: longer than changes are batched. Together they fit into the
# 3 s in which a configuration has to come into force.
REVISION_CHECK_INTERVAL = Seconds(1)
MAX_WATCH_LAG = Seconds(0.8)
# How often a proxy that watches the store checks for a peer to follow.
FEED_CHECK_INTERVAL = Seconds(0.25)
# How long a proxy that should follow a peer waits for one before it watches the
# store. At the end of an outage each proxy that does not wait would make one
# call, and another for each change by the others. Together with the second in
# which the loss of a peer shows, it fits into the 3 s for a configuration.
FEED_WAIT = Seconds(1)
# Prefix of all keys; irrelevant items are filtered out on receipt.
ALL_KEYS = ''
# A key that never exists: its listing returns the revision only.
ABSENT_KEY = 'sedgeshunt/none/'

Listener = Callable[[str], None]


class StoreView:
    """Hold the items of the store at the newest revision received."""

    # Changes come from a watch of the store or from a peer that has one. If all
    # proxies watched the store, each change would cost a call by every proxy,
    # and a start of N proxies N squared calls.

    def __init__(
        self,
        store: CurrentStore,
        prefixes: Sequence[str],
        decisions: DecisionLog,
        is_checker: Callable[[], bool],
    ) -> None:
        """Follow the items under `prefixes` once run() is called."""
        self.revision = Revision(0)
        self.loaded = Event()
        self.is_reached = False
        # Changes come from a watch of the store, not from a peer.
        self.is_watching = False
        # Watches that the store refused because their start revision was
        # compacted.
        self.refused_watches = 0
        self._store = store
        store.listen(self._refresh_after_restore)
        self._prefixes = tuple(prefixes)
        self._decisions = decisions
        # Returns whether this proxy is to poll the revision of the store.
        self._is_checker = is_checker
        self._feed: ChangeFeed = NoFeed()
        self._is_behind = Event()
        self._newest_reported = Revision(0)
        self._behind_since: Monotonic | None = None
        self._items: dict[str, KeyValue] = {}
        self._unreadable = UnreadableEntries(decisions)
        self._log = ChangeLog()
        self.followers = Followers(self._log, self._items.values)
        self._listeners: list[Listener] = []
        self._backoff = Backoff(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
        # Separate, as a listing resets the other even if its watch fails.
        self._watch_backoff = Backoff(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
        self._listed_at = Monotonic(0)
        self._batching = WatchBatching()
        # A caller waits for a change that may be among those not requested yet.
        self._is_awaited = Event()

    def bind(self, feed: ChangeFeed) -> None:
        """Follow `feed` whenever it is available."""
        self._feed = feed

    def listen(self, listener: Listener) -> None:
        """Call `listener` with the key of each change, '' after a listing."""
        self._listeners.append(listener)

    def get(self, key: str) -> KeyValue | None:
        """Return one item, None if it is not there."""
        return self._items.get(key)

    def read_entry(self, pair: KeyValue, kind: type[Entry]) -> Entry | None:
        """Decode an entry of a proxy; report it and return None if invalid."""
        try:
            return read_entry(pair.value, kind)
        except Undecodable as failure:
            self._unreadable.report(pair, failure)
            return None

    def list_prefix(self, prefix: str) -> list[KeyValue]:
        """List the items under `prefix` in the order of their keys."""
        return [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix)
        ]

    @property
    def newest(self) -> Revision:
        """Return the newest known revision, at least the start of the era."""
        return max(self.revision, begin_era(self._store.era))

    def measure_era_age(self) -> Seconds:
        """Return for how long the newest era of the store has been known."""
        return self._store.measure_era_age()

    def end_batch(self) -> None:
        """Request changes as soon as possible, as a caller waits for one."""
        self._is_awaited.set()

    def observe_revision(self, revision: Revision) -> None:
        """Record a revision of the store that was seen elsewhere."""
        if revision != NOTHING:
            self._store.observe_era(read_era(revision))
        # A watch can stop delivering changes without an error. If it lags for
        # too long behind a revision seen elsewhere, the store is listed again.
        self._newest_reported = Revision(max(self._newest_reported, revision))
        if self._newest_reported <= self.revision:
            self._behind_since = None
            return
        now = read_clock()
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > MAX_WATCH_LAG:
            self._behind_since = None
            self._is_behind.set()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with TaskGroup() as tasks:
            tasks.create_task(self._check_revision())
            await self._run()

    async def _check_revision(self) -> None:
        while True:
            await sleep(
                REVISION_CHECK_INTERVAL
                if self._behind_since is None
                else MAX_WATCH_LAG
            )
            if not self._is_checker():
                continue
            with suppress(PlatformUnavailable):
                listing = await self._store.list_prefix(ABSENT_KEY)
                self.observe_revision(listing.revision)

    async def _run(self) -> None:
        while True:
            try:
                await self._follow()
            except WatchCompacted:
                # Changes since then are lost, so list all items again.
                self.refused_watches += 1
                self._record_reachability(is_reached=True)
                self.loaded.clear()
                await self._wait_before_listing()
            except PlatformUnavailable as failure:
                self._record_reachability(is_reached=False, why=str(failure))
                await sleep(self._backoff.compute_delay())

    async def _wait_before_listing(self) -> None:
        """Delay the next listing if the watch after the last one failed."""
        if read_clock() - self._listed_at < MAX_WATCH_LAG:
            await sleep(self._watch_backoff.compute_delay())
        else:
            self._watch_backoff.reset()

    async def refresh(self, *, may_be_old: bool = False) -> None:
        """List all items; raise PlatformUnavailable."""
        listing = await self._store.list_prefix(ALL_KEYS, may_be_old=may_be_old)
        # The pages are no consistent snapshot, so the watch starts at the
        # revision of the first page.
        self._replace(
            {
                pair.key: pair
                for pair in listing.pairs
                if pair.key.startswith(self._prefixes)
            },
            listing.revision,
        )

    def record(self, pair: KeyValue) -> None:
        """Record an item that this proxy has just written or read."""
        known = self._items.get(pair.key)
        if known is None:
            # The answer to a write may arrive after the watch has shown that
            # the item was deleted again.
            is_newer = pair.revision > self.revision
        else:
            is_newer = pair.revision > known.revision
        if is_newer:
            self._items[pair.key] = pair
            self._notify(pair.key)

    async def _follow(self) -> None:
        if not self.loaded.is_set():
            # At startup a stale listing will do, as the watch brings later
            # changes. After that it might be older than the known state.
            await self.refresh(may_be_old=self.revision == 0)
            self.loaded.set()
        if self._feed.is_expected():
            await self._wait_feed()
        if self._feed.is_available():
            await self._follow_peer()
        else:
            await self._follow_store()

    async def _follow_peer(self) -> None:
        """Apply changes from a peer until it stops or lags behind."""
        await self._run_until_behind(self._apply_feed())
        self._feed.suspend_peer()

    async def _follow_store(self) -> None:
        """Watch the store until a feed is available or the watch lags."""
        try:
            is_behind = await self._run_until_behind(
                self._watch_store(),
                self._wait_available_feed(),
            )
        finally:
            # A follower must not forward changes: two proxies that follow each
            # other would miss all changes without an error.
            self.is_watching = False
            self.followers.end_all()
        if is_behind:
            raise WatchCompacted

    async def _run_until_behind(
        self,
        *coroutines: Coroutine[None, None, None],
    ) -> bool:
        """Run until one coroutine ends; return whether the view lags behind."""
        self._is_behind.clear()
        tasks = [create_task(coroutine) for coroutine in coroutines]
        behind = create_task(self._is_behind.wait())
        try:
            await wait((behind, *tasks), return_when=FIRST_COMPLETED)
            for task in filter(Task.done, tasks):
                task.result()
        finally:
            for started in (behind, *tasks):
                started.cancel()
        return self._is_behind.is_set()

    async def _apply_feed(self) -> None:
        feed = self._feed.open(self.revision)
        async with AsyncExitStack() as owned:
            owned.push_async_callback(feed.aclose)
            async for changes in feed:
                if not self._apply_changes(changes):
                    return

    def _apply_changes(self, changes: StoreChanges) -> bool:
        """Apply changes from a peer; return whether they are complete."""
        self._store.observe_era(read_era(changes.revision))
        if read_era(changes.revision) != self._store.era:
            # The peer has not learned of the latest restore yet.
            return False
        if changes.is_whole:
            if changes.revision > self.revision:
                self._replace(dict(_list_pairs(changes)), changes.revision)
            return True
        if changes.after > self.revision:
            return False
        self._apply(changes.events, changes.revision)
        return True

    async def _wait_feed(self) -> None:
        with suppress(TimeoutError):
            async with timeout(FEED_WAIT):
                await self._wait_available_feed()

    async def _wait_available_feed(self) -> None:
        while not self._feed.is_available():
            await sleep(FEED_CHECK_INTERVAL)

    async def _watch_store(self) -> None:
        watch = self._store.watch(ALL_KEYS, self.revision)
        self.is_watching = True
        async with AsyncExitStack() as owned:
            if isinstance(watch, AsyncGenerator):
                owned.push_async_callback(watch.aclose)
            async for events in watch:
                self._record_reachability(is_reached=True)
                newest = max((one.revision for one in events), default=0)
                self._apply(events, Revision(newest))
                await self._batch_changes()

    async def _batch_changes(self) -> None:
        """Let changes gather before the next request, unless one is awaited."""
        delay = self._batching.find_pause(read_clock())
        await sleep(MIN_BATCH_DELAY)
        self._is_awaited.clear()
        with suppress(TimeoutError):
            async with timeout(delay - MIN_BATCH_DELAY):
                await self._is_awaited.wait()

    def _apply(self, events: Sequence[WatchEvent], revision: Revision) -> None:
        relevant = [one for one in events if one.key.startswith(self._prefixes)]
        self.revision = Revision(max(self.revision, revision))
        self._log.append(relevant, revision)
        for event in relevant:
            self._apply_event(event)
        self.followers.send_changes()

    def _apply_event(self, event: WatchEvent) -> None:
        known = self._items.get(event.key)
        if known is not None and known.revision >= event.revision:
            return
        if event.value is None:
            self._items.pop(event.key, None)
            self._unreadable.forget(event.key)
        else:
            self._items[event.key] = KeyValue(
                event.key,
                event.value,
                event.revision,
                event.created,
            )
        self._notify(event.key)

    def _replace(
        self,
        listed: dict[str, KeyValue],
        revision: Revision,
    ) -> None:
        # Items that this proxy has written may be newer than the listing.
        own = {
            key: pair
            for key, pair in self._items.items()
            if pair.revision > revision
        }
        self._items.clear()
        self._items.update(listed | own)
        self._unreadable.retain(self._items)
        self._listed_at = read_clock()
        self.revision = Revision(max(self.revision, revision))
        self._log.reset(self.revision)
        self._record_reachability(is_reached=True)
        self._notify('')
        self.followers.send_changes()

    def _notify(self, key: str) -> None:
        for listener in self._listeners:
            listener(key)

    def _refresh_after_restore(self) -> None:
        # Followers wait for their watcher instead, so that a restore does not
        # cause a listing by every proxy.
        if self.is_watching:
            self._is_behind.set()

    def _record_reachability(self, *, is_reached: bool, why: str = '') -> None:
        if is_reached:
            self._backoff.reset()
        if is_reached == self.is_reached:
            return
        self.is_reached = is_reached
        kind = (
            DecisionKind.STORE_REGAINED
            if is_reached
            else DecisionKind.STORE_LOST
        )
        self._decisions.record(Decision(kind, reasons={'why': why}))


def _list_pairs(changes: StoreChanges) -> Iterator[tuple[str, KeyValue]]:
    for event in changes.events:
        if event.value is not None:
            yield (
                event.key,
                KeyValue(event.key, event.value, event.revision, event.created),
            )
