"""Specify how two counters keep one customer's limit between them."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

# What each counter's part gains in one step of time, and holds at the most.
PART_RATE = 1
PART_CAPACITY = 2
# Each counter has one question for more under way at the most.
MOST_LENT = 2
MOST_TICKS = 3
COUNTERS = 2


class Safeguard(Enum):
    """Name the safeguards that can be taken out."""

    TAKEN_FIRST = 'who lends takes it out of its own part first'
    EMPTY_START = 'a counter that starts has an empty part'
    FIXED_PARTS = 'a part stays as it is when the others are not heard'
    FULL_IS_FULL = 'what is lent fills a part no further than it holds'
    DROPPED_LATE = 'what is lent is used once'


class Counter(NamedTuple):
    """Hold one counter's part, and what is on its way to it."""

    tokens: int = PART_CAPACITY
    coming: int = 0


class State(NamedTuple):
    """Hold a window of time, what began in it, and both counters."""

    is_marked: bool
    ticks: int
    spent: int
    hear_each_other: bool
    counters: tuple[Counter, Counter]


Step = tuple[str, State]


def specify_limits(removed: Safeguard | None = None) -> Specification:
    """Return two counters that may be cut off, start anew and lend."""
    return Specification(
        'limits',
        State._fields,
        State(False, 0, 0, True, (Counter(), Counter())),
        _Steps(removed).list_steps,
        {'no window has more than the limit': _keeps_limit},
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
        if state.ticks < MOST_TICKS:
            yield 'time goes by', self._go_by(state)
        if not state.is_marked:
            begun = state._replace(is_marked=True, ticks=0, spent=0)
            yield 'a window begins', begun
        heard = not state.hear_each_other
        yield 'the network changes', state._replace(hear_each_other=heard)
        for place in range(COUNTERS):
            for label, after in self._list_of(state, place):
                yield f'{place} {label}', after

    def _list_of(self, state: State, place: int) -> Iterator[Step]:
        one, other = state.counters[place], state.counters[1 - place]
        yield 'starts anew', _put(state, place, self._start())
        if one.tokens:
            spent = state._replace(spent=state.spent + 1)
            yield (
                'spends',
                _put(spent, place, one._replace(tokens=one.tokens - 1)),
            )
        if state.hear_each_other and other.tokens and not one.coming:
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

    def _go_by(self, state: State) -> State:
        parts = 1
        if self._removed is Safeguard.FIXED_PARTS:
            # Who hears nobody takes the whole limit for its own.
            parts = 1 if state.hear_each_other else COUNTERS
        one, other = state.counters
        return state._replace(
            ticks=state.ticks + 1,
            counters=(_gain(one, parts), _gain(other, parts)),
        )

    def _start(self) -> Counter:
        if self._removed is Safeguard.EMPTY_START:
            return Counter()
        return Counter(0)

    def _lend(self, state: State, place: int) -> State:
        other = state.counters[1 - place]
        if self._removed is not Safeguard.TAKEN_FIRST:
            other = other._replace(tokens=other.tokens - 1)
        lent = _put(state, 1 - place, other)
        return _put(lent, place, lent.counters[place]._replace(coming=1))

    def _take(self, one: Counter) -> Counter:
        tokens = one.tokens + one.coming
        if self._removed is not Safeguard.FULL_IS_FULL:
            tokens = min(PART_CAPACITY, tokens)
        coming = 0
        if self._removed is Safeguard.DROPPED_LATE:
            coming = one.coming
        return Counter(tokens, coming)


def _gain(counter: Counter, parts: int) -> Counter:
    gained = counter.tokens + PART_RATE * parts
    most = max(counter.tokens, PART_CAPACITY * parts)
    return counter._replace(tokens=min(most, gained))


def _put(state: State, place: int, counter: Counter) -> State:
    counters = list(state.counters)
    counters[place] = counter
    return state._replace(counters=(counters[0], counters[1]))


def _keeps_limit(fields: dict[str, Any]) -> bool:
    gained = COUNTERS * PART_RATE * fields['ticks']
    most = gained + COUNTERS * PART_CAPACITY + MOST_LENT
    return int(fields['spent']) <= most
