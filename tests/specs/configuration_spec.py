"""Specify how proxies apply the newest configuration."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

CHANGES = 3
# Changes write this number of keys in rotation.
KEYS = 2

# The last change to each key, 0 before any.
Content = tuple[int, ...]
EMPTY: Content = (0,) * KEYS


class Safeguard(Enum):
    """List the safeguards that can be removed."""

    NEWER_LISTINGS = 'a listing that is older is refused'
    NEWER_COPIES = "a peer's copy that is not newer is refused"
    NEWER_EVENTS = 'events below what is in force are passed over'
    LIST_AGAIN = 'a watch that goes backwards is replaced by a listing'
    # Guaranteed by the store; the proxies rely on it.
    ORDERED_WATCH = 'a watch leaves out no change between two others'


class Proxy(NamedTuple):
    """Hold one proxy's active configuration and its position in the log."""

    revision: int
    content: Content
    read_up_to: int
    must_list: bool


class State(NamedTuple):
    """Hold the store's revision, the proxies, and whether one reverted."""

    head: int
    proxies: tuple[Proxy, ...]
    reverted: bool


Step = tuple[str, State]


def specify_configuration(removed: Safeguard | None = None) -> Specification:
    """Return a store, its watches and listings, and two proxies."""
    first = Proxy(0, EMPTY, 0, must_list=False)
    return Specification(
        'configuration',
        State._fields,
        State(0, (first, first), reverted=False),
        _ProxySteps(removed).list_steps,
        {
            'an accepted change is never reverted': _never_reverts,
            'what is in force is whole': _is_whole,
        },
    )


def is_active_everywhere(fields: dict[str, Any]) -> bool:
    """Return whether all proxies have all changes."""
    last = compute_content(CHANGES)
    return all(proxy.content == last for proxy in fields['proxies'])


def compute_content(revision: int) -> Content:
    """Return the content after the changes up to `revision`."""
    content = EMPTY
    for change in range(1, revision + 1):
        content = _apply(content, change)
    return content


def _never_reverts(fields: dict[str, Any]) -> bool:
    return not fields['reverted']


def _is_whole(fields: dict[str, Any]) -> bool:
    return all(
        proxy.content == compute_content(proxy.revision)
        for proxy in fields['proxies']
    )


class _ProxySteps:
    """List the possible next steps of store, watches and peers."""

    # An outage of the store, a hanging watch, and a frozen or partitioned
    # proxy are modelled as steps that do not happen.

    def __init__(self, removed: Safeguard | None) -> None:
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        steps: list[Step] = []
        if state.head < CHANGES:
            committed = state._replace(head=state.head + 1)
            steps.append((f'change {committed.head} is committed', committed))
        for index, proxy in enumerate(state.proxies):
            followed = [
                *self._list_events(proxy, state.head),
                *self._list_listings(proxy, state.head),
                *self._list_copies(proxy, state.proxies[1 - index]),
            ]
            steps.extend(
                (f'{index} {label}', _replace_proxy(state, index, after))
                for label, after in followed
            )
        return steps

    def _list_events(
        self,
        proxy: Proxy,
        head: int,
    ) -> Iterator[tuple[str, Proxy]]:
        if proxy.must_list:
            return
        yield 'restarts its watch', _restart(proxy)
        # A restarted watch may connect to a member that resends old events
        # or reports that it has compacted them.
        for change in range(1, head + 1):
            is_next = change == proxy.read_up_to + 1
            if change <= proxy.read_up_to:
                yield f'gets {change} late', self._receive_late(proxy, change)
            elif is_next or self._removed is Safeguard.ORDERED_WATCH:
                yield f'gets {change}', self._receive(proxy, change)

    def _receive(self, proxy: Proxy, change: int) -> Proxy:
        after = proxy._replace(read_up_to=change)
        is_newer = change > proxy.revision
        if not is_newer and self._removed is not Safeguard.NEWER_EVENTS:
            return after
        return after._replace(
            revision=max(change, proxy.revision),
            content=_apply(proxy.content, change),
        )

    def _receive_late(self, proxy: Proxy, change: int) -> Proxy:
        if self._removed is Safeguard.LIST_AGAIN:
            return proxy._replace(content=_apply(proxy.content, change))
        return proxy._replace(must_list=True)

    def _list_listings(
        self,
        proxy: Proxy,
        head: int,
    ) -> Iterator[tuple[str, Proxy]]:
        known = max(proxy.read_up_to, proxy.revision)
        accepts_older = self._removed is Safeguard.NEWER_LISTINGS
        # A lagging member of the store lists an older state.
        for listed in range(0 if accepts_older else known, head + 1):
            yield (
                f'lists up to {listed}',
                Proxy(listed, compute_content(listed), listed, must_list=False),
            )

    def _list_copies(
        self,
        proxy: Proxy,
        peer: Proxy,
    ) -> Iterator[tuple[str, Proxy]]:
        is_newer = peer.revision > proxy.revision
        if is_newer or self._removed is Safeguard.NEWER_COPIES:
            yield (
                f'copies {peer.revision} from its peer',
                proxy._replace(revision=peer.revision, content=peer.content),
            )


def _restart(proxy: Proxy) -> Proxy:
    known = max(proxy.read_up_to, proxy.revision)
    return proxy._replace(read_up_to=known)


def _apply(content: Content, change: int) -> Content:
    key = change % KEYS
    return (*content[:key], change, *content[key + 1 :])


def _replace_proxy(state: State, index: int, after: Proxy) -> State:
    before = state.proxies[index]
    lost = any(
        new < old
        for new, old in zip(after.content, before.content, strict=True)
    )
    reverted = lost or after.revision < before.revision
    proxies = list(state.proxies)
    proxies[index] = after
    return State(state.head, tuple(proxies), state.reverted or reverted)
