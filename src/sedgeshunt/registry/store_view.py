"""Follow everything in the store that concerns this proxy."""

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
from sedgeshunt.registry.feeds import ChangeFeed, Followers, NoFeed
from sedgeshunt.registry.gathering import Gathering
from sedgeshunt.revisions import NOTHING, begin_era, read_era

# Times between attempts at a store that does not answer, in seconds; the
# longest is short against the 3 s in which a configuration comes into force.
SHORTEST_PAUSE = Seconds(0.1)
LONGEST_PAUSE = Seconds(0.8)
# How often one proxy asks how far the store is, and for how long a watch may
# be behind that: longer than changes are gathered. Together they fit into the
# 3 s of a configuration.
CHECK_EVERY = Seconds(1)
WATCH_LAG = Seconds(0.8)
# How often a proxy that follows the store itself looks for a peer to do so.
FEED_LOOK = Seconds(0.25)
# How long a proxy that is to follow a peer waits for one before it watches the
# store itself. At the end of an outage each one that does not wait makes a
# call, and another for each change of the others. It fits into the 3 s of a
# configuration with the second in which a peer's silence shows.
FEED_WAIT = Seconds(1)
# Everything that there is; what concerns nobody here is left out.
ALL_KEYS = ''
# A key that is never there: its listing brings the revision alone.
NO_KEY = 'sedgeshunt/none/'

Listener = Callable[[str], None]


class StoreView:
    """Hold the store's items as of the newest revision that was seen."""

    # Changes come by a watch of the store or by a peer that has one. Watched by
    # all, each change would cost a call of every proxy: with N proxies that
    # start at once, N squared.

    def __init__(
        self,
        store: CurrentStore,
        prefixes: Sequence[str],
        decisions: DecisionLog,
        is_checker: Callable[[], bool],
    ) -> None:
        """Follow the items under `prefixes`; nothing runs before run()."""
        self.revision = Revision(0)
        self.loaded = Event()
        self.is_reached = False
        # Changes are brought by the store itself.
        self.is_watching = False
        # Watches that the store refused, as it lacks what they begin after.
        self.refused_watches = 0
        self._store = store
        store.listen(self._end_watch)
        self._prefixes = tuple(prefixes)
        self._decisions = decisions
        # Tells whether it falls to this proxy to ask how far the store is.
        self._is_checker = is_checker
        self._feed: ChangeFeed = NoFeed()
        self._is_behind = Event()
        self._newest_elsewhere = Revision(0)
        self._missed_since: Monotonic | None = None
        self._items: dict[str, KeyValue] = {}
        self._log = ChangeLog()
        self.followers = Followers(self._log, self._items.values)
        self._listeners: list[Listener] = []
        self._backoff = Backoff(SHORTEST_PAUSE, LONGEST_PAUSE)
        # A listing resets the one above, also when the watch after it fails.
        self._watch_backoff = Backoff(SHORTEST_PAUSE, LONGEST_PAUSE)
        self._listed_at = Monotonic(0)
        self._gathering = Gathering()

    def bind(self, feed: ChangeFeed) -> None:
        """Let `feed` bring changes where it offers to."""
        self._feed = feed

    def listen(self, listener: Listener) -> None:
        """Call `listener` with the key of each change, '' after a listing."""
        self._listeners.append(listener)

    def get(self, key: str) -> KeyValue | None:
        """Return one item, None if it is not there."""
        return self._items.get(key)

    def list_prefix(self, prefix: str) -> list[KeyValue]:
        """List the items under `prefix` in the order of their keys."""
        return [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix)
        ]

    @property
    def newest(self) -> Revision:
        """Return the newest place of the store's history known here."""
        return max(self.revision, begin_era(self._store.era))

    def measure_era_age(self) -> Seconds:
        """Return for how long the store's newest era has been known."""
        return self._store.measure_era_age()

    def observe_revision(self, revision: Revision) -> None:
        """Record that the store has reached a revision."""
        if revision != NOTHING:
            self._store.observe_era(read_era(revision))
        # A watch can go silent while changes are made. What somebody else has
        # seen, and the watch does not bring soon, is listed anew.
        self._newest_elsewhere = Revision(max(self._newest_elsewhere, revision))
        if self._newest_elsewhere <= self.revision:
            self._missed_since = None
            return
        now = read_clock()
        if self._missed_since is None:
            self._missed_since = now
        elif now - self._missed_since > WATCH_LAG:
            self._missed_since = None
            self._is_behind.set()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with TaskGroup() as tasks:
            tasks.create_task(self._check())
            await self._run()

    async def _check(self) -> None:
        while True:
            await sleep(
                CHECK_EVERY if self._missed_since is None else WATCH_LAG
            )
            if not self._is_checker():
                continue
            with suppress(PlatformUnavailable):
                listing = await self._store.list_prefix(NO_KEY)
                self.observe_revision(listing.revision)

    async def _run(self) -> None:
        while True:
            try:
                await self._follow()
            except WatchCompacted:
                # What happened since is unknown: list anew.
                self.refused_watches += 1
                self._record_reach(is_reached=True)
                self.loaded.clear()
                await self._pause_watch()
            except PlatformUnavailable as failure:
                self._record_reach(is_reached=False, why=str(failure))
                await sleep(self._backoff.compute_delay())

    async def _pause_watch(self) -> None:
        """Wait before the next listing if the latest one brought no watch."""
        if read_clock() - self._listed_at < WATCH_LAG:
            await sleep(self._watch_backoff.compute_delay())
        else:
            self._watch_backoff.reset()

    async def refresh(self, *, may_be_old: bool = False) -> None:
        """List everything anew; raise PlatformUnavailable."""
        listing = await self._store.list_prefix(ALL_KEYS, may_be_old=may_be_old)
        # The pages are no snapshot; the watch goes on from the first.
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
        if known is None or known.revision < pair.revision:
            self._items[pair.key] = pair
            self._notify(pair.key)

    async def _follow(self) -> None:
        if not self.loaded.is_set():
            # At a start an old state will do: what has changed since comes at
            # once. After a gap it might be older than what is known.
            await self.refresh(may_be_old=self.revision == 0)
            self.loaded.set()
        if self._feed.is_expected():
            await self._wait_feed()
        if self._feed.is_available():
            await self._follow_peer()
        else:
            await self._follow_store()

    async def _follow_peer(self) -> None:
        """Apply what a peer hands on, until it stops or is behind."""
        await self._run_until_behind(self._follow_feed())
        self._feed.suspend_peer()

    async def _follow_store(self) -> None:
        """Watch the store until a peer offers to, or the watch is behind."""
        try:
            is_behind = await self._run_until_behind(
                self._listen(),
                self._wait_offer(),
            )
        finally:
            # Who is handed changes must never hand them on: two that do it
            # for each other would hear of nothing, and not know it.
            self.is_watching = False
            self.followers.end_all()
        if is_behind:
            raise WatchCompacted

    async def _run_until_behind(
        self,
        *works: Coroutine[None, None, None],
    ) -> bool:
        """Run to the first end; tell whether others were seen to know more."""
        self._is_behind.clear()
        tasks = [create_task(work) for work in works]
        behind = create_task(self._is_behind.wait())
        try:
            await wait((behind, *tasks), return_when=FIRST_COMPLETED)
            for task in filter(Task.done, tasks):
                task.result()
        finally:
            for started in (behind, *tasks):
                started.cancel()
        return self._is_behind.is_set()

    async def _follow_feed(self) -> None:
        feed = self._feed.open(self.revision)
        async with AsyncExitStack() as owned:
            owned.push_async_callback(feed.aclose)
            async for changes in feed:
                if not self._apply_changes(changes):
                    return

    def _apply_changes(self, changes: StoreChanges) -> bool:
        """Apply what a peer hands on; tell whether nothing is missing."""
        self._store.observe_era(read_era(changes.revision))
        if read_era(changes.revision) != self._store.era:
            # The peer does not know yet that the store has come back.
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
                await self._wait_offer()

    async def _wait_offer(self) -> None:
        while not self._feed.is_available():
            await sleep(FEED_LOOK)

    async def _listen(self) -> None:
        watch = self._store.watch(ALL_KEYS, self.revision)
        self.is_watching = True
        async with AsyncExitStack() as owned:
            if isinstance(watch, AsyncGenerator):
                owned.push_async_callback(watch.aclose)
            async for events in watch:
                self._record_reach(is_reached=True)
                newest = max((one.revision for one in events), default=0)
                self._apply(events, Revision(newest))
                await sleep(self._gathering.find_pause(read_clock()))

    def _apply(self, events: Sequence[WatchEvent], revision: Revision) -> None:
        relevant = [one for one in events if one.key.startswith(self._prefixes)]
        self.revision = Revision(max(self.revision, revision))
        self._log.note(relevant, revision)
        for event in relevant:
            self._apply_event(event)
        self.followers.tell()

    def _apply_event(self, event: WatchEvent) -> None:
        known = self._items.get(event.key)
        if known is not None and known.revision >= event.revision:
            return
        if event.value is None:
            self._items.pop(event.key, None)
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
        # What this proxy wrote itself may be newer than the listing.
        own = {
            key: pair
            for key, pair in self._items.items()
            if pair.revision > revision
        }
        self._items.clear()
        self._items.update(listed | own)
        self._listed_at = read_clock()
        self.revision = Revision(max(self.revision, revision))
        self._log.begin(self.revision)
        self._record_reach(is_reached=True)
        self._notify('')
        self.followers.tell()

    def _notify(self, key: str) -> None:
        for listener in self._listeners:
            listener(key)

    def _end_watch(self) -> None:
        # A follower waits for its watcher instead, so that the end of an era
        # is not a listing by each proxy.
        if self.is_watching:
            self._is_behind.set()

    def _record_reach(self, *, is_reached: bool, why: str = '') -> None:
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
