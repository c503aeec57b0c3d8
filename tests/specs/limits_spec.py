"""Specify how two quota servers enforce one customer's limit together."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

# Tokens that each server's part gains in a step of time, and its capacity.
PART_RATE = 1
PART_CAPACITY = 2
# Each server has at most one request to borrow under way.
MAX_LENT = 2
MAX_TICKS = 3
SERVERS = 2


class Safeguard(Enum):
    """Name the safeguards that can be removed."""

    TAKEN_FIRST = 'who lends takes it out of its own part first'
    EMPTY_START = 'a counter that starts has an empty part'
    FIXED_PARTS = 'a part stays as it is when the others are not heard'
    FULL_IS_FULL = 'what is lent fills a part no further than it holds'
    DROPPED_LATE = 'what is lent is used once'


class Server(NamedTuple):
    """Hold one quota server's tokens, and those lent on their way to it."""

    tokens: int = PART_CAPACITY
    coming: int = 0


class State(NamedTuple):
    """Hold a window of time, the tokens spent in it, and both servers."""

    is_marked: bool
    ticks: int
    spent: int
    can_communicate: bool
    servers: tuple[Server, Server]


Step = tuple[str, State]


def specify_limits(removed: Safeguard | None = None) -> Specification:
    """Return two servers that may be partitioned, restart and lend."""
    return Specification(
        'limits',
        State._fields,
        State(False, 0, 0, True, (Server(), Server())),
        _Steps(removed).list_steps,
        {'no window has more than the limit': _keeps_limit},
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
        if state.ticks < MAX_TICKS:
            yield 'time goes by', self._advance(state)
        if not state.is_marked:
            begun = state._replace(is_marked=True, ticks=0, spent=0)
            yield 'a window begins', begun
        connected = not state.can_communicate
        yield 'the network changes', state._replace(can_communicate=connected)
        for place in range(SERVERS):
            for label, after in self._list_of(state, place):
                yield f'{place} {label}', after

    def _list_of(self, state: State, place: int) -> Iterator[Step]:
        one, other = state.servers[place], state.servers[1 - place]
        yield 'starts anew', _put(state, place, self._start())
        if one.tokens:
            spent = state._replace(spent=state.spent + 1)
            yield (
                'spends',
                _put(spent, place, one._replace(tokens=one.tokens - 1)),
            )
        if state.can_communicate and other.tokens and not one.coming:
            yield 'is lent', self._lend(state, place)
        if one.coming:
            yield 'takes what is lent', _put(state, place, self._take(one))
            yield (
                'loses what is lent',
                _put(
                    state,
                    place,
                    one._replace(coming=0),
                ),
            )

    def _advance(self, state: State) -> State:
        parts = 1
        if self._removed is Safeguard.FIXED_PARTS:
            # A server that reaches no other one claims the whole limit.
            parts = 1 if state.can_communicate else SERVERS
        one, other = state.servers
        return state._replace(
            ticks=state.ticks + 1,
            servers=(_gain(one, parts), _gain(other, parts)),
        )

    def _start(self) -> Server:
        if self._removed is Safeguard.EMPTY_START:
            return Server()
        return Server(0)

    def _lend(self, state: State, place: int) -> State:
        other = state.servers[1 - place]
        if self._removed is not Safeguard.TAKEN_FIRST:
            other = other._replace(tokens=other.tokens - 1)
        lent = _put(state, 1 - place, other)
        return _put(lent, place, lent.servers[place]._replace(coming=1))

    def _take(self, one: Server) -> Server:
        tokens = one.tokens + one.coming
        if self._removed is not Safeguard.FULL_IS_FULL:
            tokens = min(PART_CAPACITY, tokens)
        coming = 0
        if self._removed is Safeguard.DROPPED_LATE:
            coming = one.coming
        return Server(tokens, coming)


def _gain(server: Server, parts: int) -> Server:
    gained = server.tokens + PART_RATE * parts
    most = max(server.tokens, PART_CAPACITY * parts)
    return server._replace(tokens=min(most, gained))


def _put(state: State, place: int, server: Server) -> State:
    servers = list(state.servers)
    servers[place] = server
    return state._replace(servers=(servers[0], servers[1]))


def _keeps_limit(fields: dict[str, Any]) -> bool:
    gained = SERVERS * PART_RATE * fields['ticks']
    most = gained + SERVERS * PART_CAPACITY + MAX_LENT
    return int(fields['spent']) <= most
