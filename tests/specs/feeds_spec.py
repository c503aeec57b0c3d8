"""Specify how one proxy hands the store's changes on to another."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

CHANGES = 2


class Safeguard(Enum):
    """Name the safeguards that can be taken out."""

    WATCHERS_ONLY = 'only who watches the store hands changes on'
    FOLLOWERS_END = 'who stops watching ends its feeds'
    ALL_IF_TOO_OLD = 'who is too far behind gets all items'
    NO_GAPS = 'changes that begin later than what is known are refused'


class Source(Enum):
    """Tell where a proxy hears of changes."""

    NOBODY = 'nobody'
    STORE = 'store'
    PEER = 'peer'


class Message(NamedTuple):
    """Hold changes on their way; whole ones are all that there are."""

    after: int
    # The first ones may not be kept any more.
    left_out: int
    revision: int
    is_whole: bool


class Proxy(NamedTuple):
    """Hold what one proxy knows, what it keeps, and what is on its way."""

    revision: int = 0
    seen: frozenset[int] = frozenset()
    # The changes up to this one are not kept for others any more.
    forgotten: int = 0
    source: Source = Source.NOBODY
    # What was handed on to the other proxy.
    handed: int = 0
    coming: tuple[Message, ...] = ()


class State(NamedTuple):
    """Hold the store's newest revision and two proxies."""

    head: int
    proxies: tuple[Proxy, Proxy]


Step = tuple[str, State]


def specify_feeds(removed: Safeguard | None = None) -> Specification:
    """Return a store and two proxies that may watch it or follow each other."""
    return Specification(
        'feeds',
        State._fields,
        State(0, (Proxy(), Proxy())),
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
        if state.head < CHANGES:
            yield 'the store changes', state._replace(head=state.head + 1)
        for place in (0, 1):
            one, other = state.proxies[place], state.proxies[1 - place]
            for label, after, peer in self._list_of(one, other, state.head):
                pair = (after, peer) if place == 0 else (peer, after)
                yield f'{place} {label}', State(state.head, pair)

    def _list_of(
        self,
        one: Proxy,
        other: Proxy,
        head: int,
    ) -> Iterator[tuple[str, Proxy, Proxy]]:
        yield 'starts anew', Proxy(), _lose_feed(other)
        yield 'forgets', one._replace(forgotten=one.revision), other
        if one.source is Source.NOBODY:
            yield 'watches', one._replace(source=Source.STORE), other
            yield from self._list_follows(one, other)
        else:
            yield from self._list_ends(one, other)
        if one.source is Source.STORE and one.revision < head:
            yield self._hear(one, other, head)
        if one.coming:
            yield 'is handed changes', self._take(one), other
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

    def _hear(
        self,
        one: Proxy,
        other: Proxy,
        head: int,
    ) -> tuple[str, Proxy, Proxy]:
        heard = one._replace(revision=head, seen=_list_to(head))
        if other.source is Source.PEER:
            message = self._make(heard, one.handed)
            heard = heard._replace(handed=head)
            other = other._replace(coming=(*other.coming, message))
        return 'hears of changes', heard, other

    def _make(self, sender: Proxy, after: int) -> Message:
        is_kept = after >= sender.forgotten
        if is_kept or self._removed is Safeguard.ALL_IF_TOO_OLD:
            left_out = max(after, sender.forgotten)
            return Message(after, left_out, sender.revision, is_whole=False)
        return Message(after, 0, sender.revision, is_whole=True)

    def _take(self, one: Proxy) -> Proxy:
        message, *rest = one.coming
        coming = tuple(rest)
        if message.is_whole:
            if message.revision <= one.revision:
                return one._replace(coming=coming)
            seen = _list_to(message.revision)
            return one._replace(
                revision=message.revision,
                seen=seen,
                coming=coming,
            )
        if message.after > one.revision:
            if self._removed is not Safeguard.NO_GAPS:
                return one._replace(source=Source.NOBODY, coming=())
        brought = _list_to(message.revision) - _list_to(message.left_out)
        return one._replace(
            revision=max(one.revision, message.revision),
            seen=one.seen | brought,
            coming=coming,
        )


def _lose_feed(proxy: Proxy) -> Proxy:
    if proxy.source is not Source.PEER:
        return proxy
    return proxy._replace(source=Source.NOBODY, coming=())


def _list_to(revision: int) -> frozenset[int]:
    return frozenset(range(1, revision + 1))


def _is_whole(fields: dict[str, Any]) -> bool:
    return all(
        proxy.seen == _list_to(proxy.revision) for proxy in fields['proxies']
    )


def _follows_watcher(fields: dict[str, Any]) -> bool:
    one, other = fields['proxies']
    return all(
        proxy.source is not Source.PEER or peer.source is Source.STORE
        for proxy, peer in ((one, other), (other, one))
    )
