"""Specify how one proxy hands the store's changes on to another."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

# Changes that the store makes in all, and its eras.
CHANGES = 3
LAST_ERA = 1
# How many changes are known, after the era that they are counted in.
Place = tuple[int, int]
NOTHING: Place = (0, 0)
# The numbers of changes, in the order in which the store has them.
History = tuple[int, ...]


class Safeguard(Enum):
    """Name the safeguards that can be taken out."""

    WATCHERS_ONLY = 'only who watches the store hands changes on'
    FOLLOWERS_END = 'who stops watching ends its feeds'
    ALL_IF_TOO_OLD = 'who is too far behind gets all items'
    NO_GAPS = 'changes that begin later than what is known are refused'
    OWN_ERA = 'a watch goes on in its own era only'
    NEWEST_ERA = 'changes of an older era are refused'


class Source(Enum):
    """Tell where a proxy hears of changes."""

    NOBODY = 'nobody'
    STORE = 'store'
    PEER = 'peer'


class Message(NamedTuple):
    """Hold changes on their way; whole ones are all that there are."""

    after: Place
    # The first ones may not be kept any more.
    left_out: int
    revision: Place
    is_whole: bool


class Proxy(NamedTuple):
    """Hold what one proxy knows, what it keeps, and what is on its way."""

    revision: Place = NOTHING
    seen: frozenset[int] = frozenset()
    # The changes up to this one are not kept for others any more.
    forgotten: Place = NOTHING
    source: Source = Source.NOBODY
    # What was handed on to the other proxy.
    handed: Place = NOTHING
    coming: tuple[Message, ...] = ()


class State(NamedTuple):
    """Hold the store's changes in each era and two proxies."""

    histories: tuple[History, ...]
    # How many changes the store has made in all.
    made: int
    proxies: tuple[Proxy, Proxy]

    @property
    def head(self) -> Place:
        """Return the newest place of the store's history."""
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
            'nothing is missed up to what is known': _is_whole,
            'who is fed is fed by a watcher': _follows_watcher,
        },
    )


class _Steps:
    """List what may happen next."""

    def __init__(self, removed: Safeguard | None) -> None:
        """Leave one safeguard out."""
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        """List the steps from a state."""
        return list(self._list(state))

    def _list(self, state: State) -> Iterator[Step]:
        yield from _list_store_steps(state)
        for place in (0, 1):
            one, other = state.proxies[place], state.proxies[1 - place]
            for label, after, peer in self._list_of(one, other, state):
                pair = (after, peer) if place == 0 else (peer, after)
                yield f'{place} {label}', state._replace(proxies=pair)

    def _list_of(
        self,
        one: Proxy,
        other: Proxy,
        state: State,
    ) -> Iterator[tuple[str, Proxy, Proxy]]:
        yield 'starts anew', Proxy(), _lose_feed(other)
        yield 'forgets', one._replace(forgotten=one.revision), other
        if one.source is Source.NOBODY:
            yield 'watches', one._replace(source=Source.STORE), other
            yield from self._list_follows(one, other)
        else:
            yield from self._list_ends(one, other)
        if one.source is Source.STORE:
            yield from self._list_hears(one, other, state)
        if one.coming:
            yield 'is handed changes', self._take(one, state), other
            rest = one._replace(coming=one.coming[1:])
            yield 'loses what is handed to it', rest, other

    def _list_follows(
        self,
        one: Proxy,
        other: Proxy,
    ) -> Iterator[tuple[str, Proxy, Proxy]]:
        is_watched = other.source is Source.STORE
        if is_watched or self._removed is Safeguard.WATCHERS_ONLY:
            message = self._make(other, one.revision)
            fed = one._replace(source=Source.PEER, coming=(message,))
            yield 'follows', fed, other._replace(handed=other.revision)

    def _list_ends(
        self,
        one: Proxy,
        other: Proxy,
    ) -> Iterator[tuple[str, Proxy, Proxy]]:
        stopped = one._replace(source=Source.NOBODY, coming=())
        if self._removed is Safeguard.FOLLOWERS_END:
            yield 'stops', stopped, other
        else:
            yield 'stops', stopped, _lose_feed(other)

    def _list_hears(
        self,
        one: Proxy,
        other: Proxy,
        state: State,
    ) -> Iterator[tuple[str, Proxy, Proxy]]:
        era, count = state.head
        known_era, known = one.revision
        history = state.histories[era]
        if known_era < era and self._removed is not Safeguard.OWN_ERA:
            # It lists all, and hands on nothing of before.
            listed = one._replace(
                revision=state.head,
                seen=frozenset(history),
                forgotten=state.head,
                source=Source.NOBODY,
            )
            yield 'lists a new era', listed, _lose_feed(other)
        elif known < count:
            seen = one.seen | set(history[known:])
            heard = one._replace(revision=state.head, seen=seen)
            yield self._hand_on(heard, other)

    def _hand_on(
        self,
        heard: Proxy,
        other: Proxy,
    ) -> tuple[str, Proxy, Proxy]:
        head = heard.revision
        if other.source is Source.PEER:
            message = self._make(heard, heard.handed)
            heard = heard._replace(handed=head)
            other = other._replace(coming=(*other.coming, message))
        return 'hears of changes', heard, other

    def _make(self, sender: Proxy, after: Place) -> Message:
        is_kept = after >= sender.forgotten
        if is_kept or self._removed is Safeguard.ALL_IF_TOO_OLD:
            _, left_out = max(after, sender.forgotten)
            return Message(after, left_out, sender.revision, is_whole=False)
        return Message(after, 0, sender.revision, is_whole=True)

    def _take(self, one: Proxy, state: State) -> Proxy:
        message, *rest = one.coming
        coming = tuple(rest)
        era, count = message.revision
        brought = frozenset(state.histories[era][message.left_out : count])
        if message.is_whole:
            if message.revision <= one.revision:
                return one._replace(coming=coming)
            return one._replace(
                revision=message.revision,
                seen=brought,
                coming=coming,
            )
        if era < one.revision[0]:
            if self._removed is not Safeguard.NEWEST_ERA:
                return one._replace(source=Source.NOBODY, coming=())
        if message.after > one.revision:
            if self._removed is not Safeguard.NO_GAPS:
                return one._replace(source=Source.NOBODY, coming=())
        return one._replace(
            revision=max(one.revision, message.revision),
            seen=one.seen | brought,
            coming=coming,
        )


def _lose_feed(proxy: Proxy) -> Proxy:
    if proxy.source is not Source.PEER:
        return proxy
    return proxy._replace(source=Source.NOBODY, coming=())


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
        # It comes back without its last change.
        returned = (*state.histories, newest[:-1])
        yield 'the store comes back', state._replace(histories=returned)


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
