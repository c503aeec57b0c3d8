"""Keep the latest changes of the store for peers that follow them."""

from collections import deque
from collections.abc import Iterable, Sequence

from msgspec import Struct

from sedgeshunt.identifiers import Revision
from sedgeshunt.ports import KeyValue, WatchEvent

# Number of changes that are kept. A follower that is further behind gets a
# snapshot; a fleet of 1,500 makes this many changes a second when it starts.
MAX_CHANGES = 2000


class StoreChanges(Struct, frozen=True):
    """Hold the changes of the store between two revisions."""

    # A receiver whose revision is lower has missed changes.
    after: Revision
    revision: Revision
    events: Sequence[WatchEvent] = ()
    # The events are a snapshot: items that they lack have been deleted.
    is_whole: bool = False


class ChangeLog:
    """Keep the latest changes in the order of their revisions."""

    def __init__(self) -> None:
        """Start without any change."""
        self.revision = Revision(0)
        self._complete_after = Revision(0)
        self._events: deque[WatchEvent] = deque()

    def reset(self, revision: Revision) -> None:
        """Discard all changes after a listing of all items."""
        self.revision = revision
        self._complete_after = revision
        self._events.clear()

    def append(self, events: Iterable[WatchEvent], revision: Revision) -> None:
        """Append all changes up to a revision."""
        self._events.extend(events)
        self.revision = Revision(max(self.revision, revision))
        while len(self._events) > MAX_CHANGES:
            self._complete_after = self._events.popleft().revision

    def measure_latest_size(self) -> int:
        """Return the size of the latest changed value in bytes."""
        latest = self._events[-1].value if self._events else None
        return 0 if latest is None else len(latest)

    def list_since(
        self,
        revision: Revision,
        items: Iterable[KeyValue],
    ) -> StoreChanges:
        """Return the changes after a revision, or a snapshot of `items`."""
        if revision < self._complete_after:
            events = tuple(
                WatchEvent(pair.key, pair.value, pair.revision, pair.created)
                for pair in items
            )
            return StoreChanges(revision, self.revision, events, is_whole=True)
        newer = tuple(one for one in self._events if one.revision > revision)
        return StoreChanges(revision, self.revision, newer)
