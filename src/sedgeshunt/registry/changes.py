"""Hold the store's latest changes, for those who follow them from here."""

from collections import deque
from collections.abc import Iterable, Sequence

from msgspec import Struct

from sedgeshunt.identifiers import Revision
from sedgeshunt.ports import KeyValue, WatchEvent

# Changes that are kept. A follower that is further behind gets all items; a
# fleet of 1,500 that starts makes this many in a second.
MOST_CHANGES = 2000


class StoreChanges(Struct, frozen=True):
    """Hold what changed in the store from one revision to another."""

    # Who is not as far as this has missed something.
    after: Revision
    revision: Revision
    events: Sequence[WatchEvent] = ()
    # The events are all items that there are, and what is not there is gone.
    is_whole: bool = False


class ChangeLog:
    """Keep the latest changes in the order in which they were made."""

    def __init__(self) -> None:
        """Know of no change."""
        self.revision = Revision(0)
        self._begins_after = Revision(0)
        self._events: deque[WatchEvent] = deque()

    def begin(self, revision: Revision) -> None:
        """Start anew after a listing of all items."""
        self.revision = revision
        self._begins_after = revision
        self._events.clear()

    def note(self, events: Iterable[WatchEvent], revision: Revision) -> None:
        """Take in all changes up to a revision."""
        self._events.extend(events)
        self.revision = Revision(max(self.revision, revision))
        while len(self._events) > MOST_CHANGES:
            self._begins_after = self._events.popleft().revision

    def measure_latest(self) -> int:
        """Return how many bytes the latest change brought."""
        latest = self._events[-1].value if self._events else None
        return 0 if latest is None else len(latest)

    def list_since(
        self,
        revision: Revision,
        items: Iterable[KeyValue],
    ) -> StoreChanges:
        """Return what changed after a revision, all `items` if unknown."""
        if revision < self._begins_after:
            events = tuple(
                WatchEvent(pair.key, pair.value, pair.revision, pair.created)
                for pair in items
            )
            return StoreChanges(revision, self.revision, events, is_whole=True)
        newer = tuple(one for one in self._events if one.revision > revision)
        return StoreChanges(revision, self.revision, newer)
