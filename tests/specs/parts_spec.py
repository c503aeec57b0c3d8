"""Specify how a proxy reassigns its part of all limits to another server."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

# Steps of time for which a part is held, and of the whole history.
HOLD_TIME = 2
LAST_MOMENT = 6
SERVERS = (0, 1)
MAX_UNDER_WAY = 2


class Safeguard(Enum):
    """Name the safeguards that can be removed."""

    COUNTERS_CLOCK = "a part is held from what was heard of the counter's clock"
    WAIT_TO_GIVE = 'a part is given to nobody else while it may be held'
    LATEST_SENT = 'each time it is given, the wait begins anew'


class Message(NamedTuple):
    """Hold a part under way, with the server's clock as last received."""

    server: int
    heard: int


class State(NamedTuple):
    """Hold the proxy's assignment, its messages and the servers' parts."""

    now: int = 0
    heard: tuple[int, int] = (0, 0)
    holder: int | None = None
    free_at: int = 0
    under_way: tuple[Message, ...] = ()
    until: tuple[int, int] = (0, 0)


Step = tuple[str, State]


def specify_parts(removed: Safeguard | None = None) -> Specification:
    """Return a proxy that assigns its part to one of two servers."""
    return Specification(
        'parts',
        State._fields,
        State(),
        _Steps(removed).list_steps,
        {'no two counters hold one part': _is_held_once},
    )


class _Steps:
    """List the possible next steps."""

    def __init__(self, removed: Safeguard | None) -> None:
        """Remove one safeguard."""
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        """List the steps from a state."""
        return list(self._list(state))

    def _list(self, state: State) -> Iterator[Step]:
        if state.now < LAST_MOMENT:
            yield 'time goes by', state._replace(now=state.now + 1)
        for server in SERVERS:
            heard = _put(state.heard, server, state.now)
            yield f'{server} is heard', state._replace(heard=heard)
            if self._may_assign(state, server):
                yield f'gives to {server}', self._assign(state, server)
        for message in set(state.under_way):
            rest = list(state.under_way)
            rest.remove(message)
            left = state._replace(under_way=tuple(rest))
            yield 'it is lost', left
            yield 'it arrives', self._take(left, message)

    def _may_assign(self, state: State, server: int) -> bool:
        if len(state.under_way) == MAX_UNDER_WAY:
            return False
        if self._removed is Safeguard.WAIT_TO_GIVE:
            return True
        return state.holder in (server, None) or state.now >= state.free_at

    def _assign(self, state: State, server: int) -> State:
        message = Message(server, state.heard[server])
        free_at = state.now + HOLD_TIME
        if self._removed is Safeguard.LATEST_SENT and state.holder == server:
            free_at = state.free_at
        return state._replace(
            holder=server,
            free_at=free_at,
            under_way=(*state.under_way, message),
        )

    def _take(self, state: State, message: Message) -> State:
        since = message.heard
        if self._removed is Safeguard.COUNTERS_CLOCK:
            since = state.now
        until = max(state.until[message.server], since + HOLD_TIME)
        return state._replace(until=_put(state.until, message.server, until))


def _put(pair: tuple[int, int], place: int, one: int) -> tuple[int, int]:
    return (one, pair[1]) if place == 0 else (pair[0], one)


def _is_held_once(fields: dict[str, Any]) -> bool:
    return not all(until > fields['now'] for until in fields['until'])
