"""Specify how one proxy forwards changes of the store to another."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

# Number of changes of the store, and its last era.
CHANGES = 3
LAST_ERA = 1
# An era, and the number of known changes in it.
Place = tuple[int, int]
NOTHING: Place = (0, 0)
# The numbers of changes in the order of the store.
History = tuple[int, ...]


class Safeguard(Enum):
    """Name the safeguards that can be removed."""

    WATCHERS_ONLY = 'only watchers of the store forward changes'
    FOLLOWERS_END = 'a watcher that stops ends its feeds'
    ALL_IF_TOO_OLD = 'a follower that is too far behind gets a snapshot'
    NO_GAPS = 'changes after a gap are refused'
    OWN_ERA = 'a watch continues in its own era only'
    NEWEST_ERA = 'changes of an older era are refused'


class Source(Enum):
    """Name the sources of changes for a proxy."""

    NOBODY = 'nobody'
    STORE = 'store'
    PEER = 'peer'


class Message(NamedTuple):
    """Hold changes in transit, a snapshot if `is_whole`."""

    after: Place
    # How many changes the sender no longer keeps.
    left_out: int
    revision: Place
    is_whole: bool


class Proxy(NamedTuple):
    """Hold what one proxy knows, keeps and is about to receive."""

    revision: Place = NOTHING
    seen: frozenset[int] = frozenset()
    # Changes up to this place are no longer kept for followers.
    discarded: Place = NOTHING
    source: Source = Source.NOBODY
    # The place up to which changes were sent to the other proxy.
    sent: Place = NOTHING
    pending: tuple[Message, ...] = ()


class State(NamedTuple):
    """Hold the store's changes in each era and two proxies."""

    histories: tuple[History, ...]
    # Number of changes of the store across all eras.
    made: int
    proxies: tuple[Proxy, Proxy]

    @property
    def head(self) -> Place:
        """Return the newest place in the history of the store."""
        era = len(self.histories) - 1
        return era, len(self.histories[era])


Step = tuple[str, State]


def specify_feeds(removed: Safeguard | None = None) -> Specification:
    """Return a store and two proxies that may watch it or follow each other."""
    return Specification(
        'feeds',
        State._fields,
        State(((),), 0, (Proxy(), Proxy())),
        _Steps(removed).list_steps,
        {
            'no change up to the known place is missed': _is_whole,
            'every follower follows a watcher': _follows_watcher,
        },
    )


class _Steps:
    """List the possible steps."""

    def __init__(self, removed: Safeguard | None) -> None:
        """Remove one safeguard."""
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        """List the steps from a state."""
        return list(self._list_all(state))

    def _list_all(self, state: State) -> Iterator[Step]:
        yield from _list_store_steps(state)
        for place in (0, 1):
            one, other = state.proxies[place], state.proxies[1 - place]
            for label, after, peer in self._list_proxy_steps(one, other, state):
                pair = (after, peer) if place == 0 else (peer, after)
                yield f'{place} {label}', state._replace(proxies=pair)

    def _list_proxy_steps(
        self,
        one: Proxy,
        other: Proxy,
        state: State,
    ) -> Iterator[tuple[str, Proxy, Proxy]]:
        yield 'restarts', Proxy(), _lose_feed(other)
        yield (
            'discards kept changes',
            one._replace(discarded=one.revision),
            other,
        )
        if one.source is Source.NOBODY:
            yield 'watches', one._replace(source=Source.STORE), other
            yield from self._list_follows(one, other)
        else:
            yield from self._list_ends(one, other)
        if one.source is Source.STORE:
            yield from self._list_store_changes(one, other, state)
        if one.pending:
            yield 'receives changes', self._receive(one, state), other
            rest = one._replace(pending=one.pending[1:])
            yield 'loses a message', rest, other

    def _list_follows(
        self,
        one: Proxy,
        other: Proxy,
    ) -> Iterator[tuple[str, Proxy, Proxy]]:
        is_watched = other.source is Source.STORE
        if is_watched or self._removed is Safeguard.WATCHERS_ONLY:
            message = self._make_message(other, one.revision)
            fed = one._replace(source=Source.PEER, pending=(message,))
            yield 'follows', fed, other._replace(sent=other.revision)

    def _list_ends(
        self,
        one: Proxy,
        other: Proxy,
    ) -> Iterator[tuple[str, Proxy, Proxy]]:
        stopped = one._replace(source=Source.NOBODY, pending=())
        if self._removed is Safeguard.FOLLOWERS_END:
            yield 'stops', stopped, other
        else:
            yield 'stops', stopped, _lose_feed(other)

    def _list_store_changes(
        self,
        one: Proxy,
        other: Proxy,
        state: State,
    ) -> Iterator[tuple[str, Proxy, Proxy]]:
        era, count = state.head
        known_era, known = one.revision
        history = state.histories[era]
        if known_era < era and self._removed is not Safeguard.OWN_ERA:
            # It lists all items, and forwards no earlier changes.
            listed = one._replace(
                revision=state.head,
                seen=frozenset(history),
                discarded=state.head,
                source=Source.NOBODY,
            )
            yield 'lists a new era', listed, _lose_feed(other)
        elif known < count:
            seen = one.seen | set(history[known:])
            updated = one._replace(revision=state.head, seen=seen)
            yield self._forward(updated, other)

    def _forward(
        self,
        updated: Proxy,
        other: Proxy,
    ) -> tuple[str, Proxy, Proxy]:
        head = updated.revision
        if other.source is Source.PEER:
            message = self._make_message(updated, updated.sent)
            updated = updated._replace(sent=head)
            other = other._replace(pending=(*other.pending, message))
        return 'sees changes', updated, other

    def _make_message(self, sender: Proxy, after: Place) -> Message:
        is_kept = after >= sender.discarded
        if is_kept or self._removed is Safeguard.ALL_IF_TOO_OLD:
            _, left_out = max(after, sender.discarded)
            return Message(after, left_out, sender.revision, is_whole=False)
        return Message(after, 0, sender.revision, is_whole=True)

    def _receive(self, one: Proxy, state: State) -> Proxy:
        message, *rest = one.pending
        pending = tuple(rest)
        era, count = message.revision
        brought = frozenset(state.histories[era][message.left_out : count])
        if message.is_whole:
            if message.revision <= one.revision:
                return one._replace(pending=pending)
            return one._replace(
                revision=message.revision,
                seen=brought,
                pending=pending,
            )
        if era < one.revision[0]:
            if self._removed is not Safeguard.NEWEST_ERA:
                return one._replace(source=Source.NOBODY, pending=())
        if message.after > one.revision:
            if self._removed is not Safeguard.NO_GAPS:
                return one._replace(source=Source.NOBODY, pending=())
        return one._replace(
            revision=max(one.revision, message.revision),
            seen=one.seen | brought,
            pending=pending,
        )


def _lose_feed(proxy: Proxy) -> Proxy:
    if proxy.source is not Source.PEER:
        return proxy
    return proxy._replace(source=Source.NOBODY, pending=())


def _list_store_steps(state: State) -> Iterator[Step]:
    newest = state.histories[-1]
    if state.made < CHANGES:
        number = state.made + 1
        changed = (*state.histories[:-1], (*newest, number))
        yield (
            'the store changes',
            state._replace(histories=changed, made=number),
        )
    if newest and len(state.histories) <= LAST_ERA:
        # The snapshot lacks the last change.
        returned = (*state.histories, newest[:-1])
        yield 'the store is restored', state._replace(histories=returned)


def _is_whole(fields: dict[str, Any]) -> bool:
    histories = fields['histories']
    return all(
        proxy.seen == frozenset(histories[era][:count])
        for proxy in fields['proxies']
        for era, count in (proxy.revision,)
    )


def _follows_watcher(fields: dict[str, Any]) -> bool:
    one, other = fields['proxies']
    return all(
        proxy.source is not Source.PEER or peer.source is Source.STORE
        for proxy, peer in ((one, other), (other, one))
    )
