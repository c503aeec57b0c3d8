"""Follow everything in the store that concerns this proxy."""

from asyncio import (
    FIRST_COMPLETED,
    Event,
    TaskGroup,
    create_task,
    sleep,
    wait,
)
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import AsyncExitStack, suppress

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.exceptions import PlatformUnavailable
from sedgeshunt.groups.backoff import Backoff
from sedgeshunt.identifiers import Monotonic, Revision, Seconds
from sedgeshunt.ports import (
    KeyValue,
    KeyValueService,
    WatchCompacted,
    WatchEvent,
)

# Times between attempts at a store that does not answer, in seconds; the
# longest is short against the 3 s in which a configuration comes into force.
SHORTEST_PAUSE = Seconds(0.1)
LONGEST_PAUSE = Seconds(0.8)
# How often one proxy asks how far the store is, and for how long a watch may
# be behind that; together they fit into the 3 s of a configuration.
CHECK_EVERY = Seconds(1)
WATCH_LAG = Seconds(0.3)
# For how long changes are gathered, at first and at the most: a configuration
# has 3 s to come into force, and its check takes up to 1.3 s of them. A burst
# is over after a gap.
SHORTEST_GATHER = Seconds(0.15)
LONGEST_GATHER = Seconds(0.6)
GATHER_GROWTH = 1.5
BURST_GAP = Seconds(1.5)
# A key that is never there: its listing brings the revision alone.
NO_KEY = 'sedgeshunt/none/'

Listener = Callable[[str], None]


class Gathering:
    """Say how long to gather changes before a watch is armed again."""

    # Each arming is a call of each instance, and changes come in bursts: a
    # fleet that starts, an instance that is lost with what it owned. The first
    # changes of a burst are taken in at once, the later ones more together.

    def __init__(self) -> None:
        """Start with no burst."""
        self._pause = SHORTEST_GATHER
        self._noted_at: Monotonic | None = None

    def find_pause(self, now: Monotonic) -> Seconds:
        """Return how long to wait after changes that came at `now`."""
        before = self._noted_at
        self._noted_at = now
        if before is None or now - before > BURST_GAP:
            self._pause = SHORTEST_GATHER
        else:
            longer = GATHER_GROWTH * self._pause
            self._pause = Seconds(min(LONGEST_GATHER, longer))
        return self._pause


class StoreView:
    """Hold the store's items as of the newest revision that was seen."""

    def __init__(
        self,
        store: KeyValueService,
        prefixes: Sequence[str],
        decisions: DecisionLog,
        is_checker: Callable[[], bool],
    ) -> None:
        """Follow the items under `prefixes`; nothing runs before run()."""
        self.revision = Revision(0)
        self.loaded = Event()
        self.is_reached = False
        self._store = store
        self._prefixes = tuple(prefixes)
        self._decisions = decisions
        # Tells whether it falls to this proxy to ask how far the store is.
        self._is_checker = is_checker
        self._is_deaf = Event()
        self._newest_elsewhere = Revision(0)
        self._missed_since: Monotonic | None = None
        self._items: dict[str, KeyValue] = {}
        self._listeners: list[Listener] = []
        self._backoff = Backoff(SHORTEST_PAUSE, LONGEST_PAUSE)
        self._gathering = Gathering()

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

    def note_newer(self, revision: Revision) -> None:
        """Take in that the store has reached a revision."""
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
            self._is_deaf.set()

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
                self.note_newer(listing.revision)

    async def _run(self) -> None:
        while True:
            try:
                await self._follow()
            except WatchCompacted:
                # What happened since is unknown: list anew.
                self._note_reach(is_reached=True)
                self.loaded.clear()
            except PlatformUnavailable as failure:
                self._note_reach(is_reached=False, why=str(failure))
                await sleep(self._backoff.draw())

    async def refresh(self) -> None:
        """List everything anew; raise PlatformUnavailable."""
        listed: dict[str, KeyValue] = {}
        oldest: Revision | None = None
        for prefix in self._prefixes:
            listing = await self._store.list_prefix(prefix)
            listed.update((pair.key, pair) for pair in listing.pairs)
            # The pages are no snapshot; the watch goes on from the first.
            oldest = listing.revision if oldest is None else oldest
        self._replace(listed, oldest or Revision(0))

    def note(self, pair: KeyValue) -> None:
        """Take in an item that this proxy has just written or read."""
        known = self._items.get(pair.key)
        if known is None or known.revision < pair.revision:
            self._items[pair.key] = pair
            self._tell(pair.key)

    async def _follow(self) -> None:
        if not self.loaded.is_set():
            await self.refresh()
            self.loaded.set()
        listening = create_task(self._listen())
        deaf = create_task(self._is_deaf.wait())
        try:
            await wait((listening, deaf), return_when=FIRST_COMPLETED)
            if listening.done():
                listening.result()
        finally:
            deaf.cancel()
            listening.cancel()
        self._is_deaf.clear()
        raise WatchCompacted

    async def _listen(self) -> None:
        watch = self._store.watch('', self.revision)
        async with AsyncExitStack() as owned:
            if isinstance(watch, AsyncGenerator):
                owned.push_async_callback(watch.aclose)
            async for events in watch:
                self._note_reach(is_reached=True)
                self._take(events)
                await sleep(self._gathering.find_pause(read_clock()))

    def _take(self, events: Sequence[WatchEvent]) -> None:
        for event in events:
            self.revision = Revision(max(self.revision, event.revision))
            if not event.key.startswith(self._prefixes):
                continue
            known = self._items.get(event.key)
            if known is not None and known.revision >= event.revision:
                continue
            if event.value is None:
                self._items.pop(event.key, None)
            else:
                self._items[event.key] = KeyValue(
                    event.key,
                    event.value,
                    event.revision,
                    event.created,
                )
            self._tell(event.key)

    def _replace(
        self,
        listed: dict[str, KeyValue],
        revision: Revision,
    ) -> None:
        self._items = listed
        self.revision = Revision(max(self.revision, revision))
        self._note_reach(is_reached=True)
        self._tell('')

    def _tell(self, key: str) -> None:
        for listener in self._listeners:
            listener(key)

    def _note_reach(self, *, is_reached: bool, why: str = '') -> None:
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
