"""Forward changes of the store from proxies that watch it to followers."""

from abc import ABC, abstractmethod
from asyncio import get_running_loop
from collections.abc import AsyncGenerator, Callable, Iterable

from sedgeshunt.identifiers import Revision, Seconds
from sedgeshunt.ports import KeyValue
from sedgeshunt.registry.changes import ChangeLog, StoreChanges

# A configuration with many customers that was sent to all followers at once
# filled the link of the watcher for half a second and delayed other calls.
# Large documents are sent to one follower after the other, with pauses.
LARGE_DOCUMENT_BYTES = 4096
# Bytes a second, before compression.
SEND_RATE = 400_000
# The last follower gets it after this time at most, well within the 3 s for
# a configuration to come into force.
MAX_SPREAD_TIME = Seconds(1)
# Receives changes for a follower, None at the end of the feed.
ChangeReceiver = Callable[[StoreChanges | None], None]


class ChangeFeed(ABC):
    """Receive changes of the store from a peer that watches it."""

    @abstractmethod
    def is_expected(self) -> bool:
        """Return whether peers watch the store for this proxy."""

    @abstractmethod
    def is_available(self) -> bool:
        """Return whether a peer can forward changes to this proxy."""

    @abstractmethod
    def open(self, after: Revision) -> AsyncGenerator[StoreChanges, None]:
        """Yield the changes after a revision, until the peer stops."""

    @abstractmethod
    def suspend_peer(self) -> None:
        """Don't follow the current peer for a while."""


class NoFeed(ChangeFeed):
    """Provide no changes."""

    def is_expected(self) -> bool:
        """Return False."""
        return False

    def is_available(self) -> bool:
        """Return False."""
        return False

    async def open(self, after: Revision) -> AsyncGenerator[StoreChanges, None]:
        """Yield nothing."""
        nothing: tuple[StoreChanges, ...] = ()
        for changes in nothing:
            yield changes

    def suspend_peer(self) -> None:
        """Do nothing."""


class Followers:
    """Send changes of the store to the peers that follow this proxy."""

    def __init__(
        self,
        log: ChangeLog,
        list_items: Callable[[], Iterable[KeyValue]],
    ) -> None:
        """Start without followers."""
        self._log = log
        self._list_items = list_items
        self._revisions: dict[ChangeReceiver, Revision] = {}

    def __len__(self) -> int:
        """Count the followers."""
        return len(self._revisions)

    def add(self, receive: ChangeReceiver, after: Revision) -> None:
        """Send a follower all changes after a revision."""
        self._revisions[receive] = after
        self._send_since(receive, after)

    def remove(self, receive: ChangeReceiver) -> None:
        """Remove a follower, if it is still there."""
        self._revisions.pop(receive, None)

    def send_changes(self) -> None:
        """Send new changes; space out the sends of a large document."""
        behind = [
            receive
            for receive, seen in self._revisions.items()
            if seen < self._log.revision
        ]
        pause = self._choose_pause(len(behind))
        for place, receive in enumerate(behind):
            if place and pause:
                get_running_loop().call_later(
                    place * pause,
                    self._send_late,
                    receive,
                )
            else:
                self._send_since(receive, self._revisions[receive])

    def end_all(self) -> None:
        """End the feeds of all followers."""
        for receive in tuple(self._revisions):
            self.remove(receive)
            receive(None)

    def _choose_pause(self, followers: int) -> float:
        """Return the time between the sends to two followers."""
        size = self._log.measure_latest_size()
        if size < LARGE_DOCUMENT_BYTES or not followers:
            return 0
        return min(size / SEND_RATE, MAX_SPREAD_TIME / followers)

    def _send_late(self, receive: ChangeReceiver) -> None:
        seen = self._revisions.get(receive)
        if seen is not None and seen < self._log.revision:
            self._send_since(receive, seen)

    def _send_since(self, receive: ChangeReceiver, seen: Revision) -> None:
        # Sent even without changes, to show that the feed is open.
        changes = self._log.list_since(seen, self._list_items())
        self._revisions[receive] = changes.revision
        receive(changes)
