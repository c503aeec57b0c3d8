"""Hand the store's changes on from those who watch it to those who don't."""

from abc import ABC, abstractmethod
from asyncio import get_running_loop
from collections.abc import AsyncGenerator, Callable, Iterable

from sedgeshunt.identifiers import Revision, Seconds
from sedgeshunt.ports import KeyValue
from sedgeshunt.registry.changes import ChangeLog, StoreChanges

# A configuration with many customers, handed to all followers at once, filled
# the watcher's link for half a second, and the calls behind it came late. One
# after the other, with a rest between, they leave room on a slow link.
LONG_DOCUMENT = 4096
# Bytes a second, before they are compressed.
SPREAD_RATE = 400_000
# All have it by then, well within the time in which it has to be in force.
LONGEST_SPREAD = Seconds(1)
# Takes changes in for a follower, None once no more will come.
ChangeReceiver = Callable[[StoreChanges | None], None]


class ChangeFeed(ABC):
    """Bring the store's changes by a peer that watches it."""

    @abstractmethod
    def is_expected(self) -> bool:
        """Tell whether others watch the store for this proxy."""

    @abstractmethod
    def is_available(self) -> bool:
        """Tell whether a peer would hand changes on, and is to be asked."""

    @abstractmethod
    def open(self, after: Revision) -> AsyncGenerator[StoreChanges, None]:
        """Yield what changes after a revision, until the peer stops."""

    @abstractmethod
    def suspend_peer(self) -> None:
        """Ask the present peer no more for a while."""


class NoFeed(ChangeFeed):
    """Leave it to the store."""

    def is_expected(self) -> bool:
        """Tell that nobody does."""
        return False

    def is_available(self) -> bool:
        """Tell that nobody would."""
        return False

    async def open(self, after: Revision) -> AsyncGenerator[StoreChanges, None]:
        """Yield nothing."""
        nothing: tuple[StoreChanges, ...] = ()
        for changes in nothing:
            yield changes

    def suspend_peer(self) -> None:
        """Do nothing."""


class Followers:
    """Know the peers that follow the store from here."""

    def __init__(
        self,
        log: ChangeLog,
        list_items: Callable[[], Iterable[KeyValue]],
    ) -> None:
        """Have no follower."""
        self._log = log
        self._list_items = list_items
        self._seen: dict[ChangeReceiver, Revision] = {}

    def __len__(self) -> int:
        """Count the followers."""
        return len(self._seen)

    def add(self, receive: ChangeReceiver, after: Revision) -> None:
        """Hand changes after a revision to a follower from now on."""
        self._seen[receive] = after
        self._bring_up(receive, after)

    def remove(self, receive: ChangeReceiver) -> None:
        """Hand nothing more to a follower; twice does no harm."""
        self._seen.pop(receive, None)

    def tell(self) -> None:
        """Hand on what is new, a long document to one after the other."""
        behind = [
            receive
            for receive, seen in self._seen.items()
            if seen < self._log.revision
        ]
        pause = self._find_pause(len(behind))
        for place, receive in enumerate(behind):
            if place and pause:
                get_running_loop().call_later(
                    place * pause,
                    self._bring_up_late,
                    receive,
                )
            else:
                self._bring_up(receive, self._seen[receive])

    def end_all(self) -> None:
        """Tell all that no more will come."""
        for receive in tuple(self._seen):
            self.remove(receive)
            receive(None)

    def _find_pause(self, followers: int) -> float:
        """Return the time between two followers."""
        size = self._log.measure_latest()
        if size < LONG_DOCUMENT or not followers:
            return 0
        return min(size / SPREAD_RATE, LONGEST_SPREAD / followers)

    def _bring_up_late(self, receive: ChangeReceiver) -> None:
        seen = self._seen.get(receive)
        if seen is not None and seen < self._log.revision:
            self._bring_up(receive, seen)

    def _bring_up(self, receive: ChangeReceiver, seen: Revision) -> None:
        # Sent even when nothing is new: it shows that the feed is open.
        changes = self._log.list_since(seen, self._list_items())
        self._seen[receive] = changes.revision
        receive(changes)
