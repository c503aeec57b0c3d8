"""Specify how rival operators change the store through lost answers."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

ATTEMPTS = 2
# Copies of one request that may be under way at the same time.
COPIES = 2


class Safeguard(Enum):
    """Name the safeguards that can be taken out."""

    COMPARE = 'a commit demands the head that its author has read'
    READ_BACK = 'a lost answer is looked up before a new attempt'
    SAME_AGAIN = 'a change that is not found is sent again, the same'


class Phase(Enum):
    """Tell how far an operator has got with an attempt."""

    IDLE = 0
    # The first answer is awaited.
    SENT = 1
    # An answer was lost: the change may have taken effect.
    UNSURE = 2
    # Sent the same again after a lost answer.
    REPEATED = 3
    DONE = 4
    # Told that the attempt did not take effect and never will.
    REFUSED = 5


class Attempt(NamedTuple):
    """Name one transaction: its author and number, and the head it read."""

    operator: int
    number: int
    base: int


class Operator(NamedTuple):
    """Hold what one operator knows."""

    phase: Phase
    attempt: Attempt


class State(NamedTuple):
    """Hold the store's commits, the requests under way, the operators."""

    commits: tuple[Attempt, ...]
    # One entry for each copy that was sent and has not arrived.
    under_way: tuple[Attempt, ...]
    operators: tuple[Operator, ...]
    # Attempts whose authors were told that they did not take effect.
    refused: frozenset[Attempt]


Step = tuple[str, State]


def specify_operators(removed: Safeguard | None = None) -> Specification:
    """Return two operators who each want one change made once."""
    operators = tuple(
        Operator(Phase.IDLE, Attempt(number, 0, 0)) for number in range(2)
    )
    return Specification(
        'operators',
        State._fields,
        State((), (), operators, frozenset()),
        _OperatorSteps(removed).list_steps,
        {
            'a change takes effect once': _is_once,
            'no change overwrites one unseen': _has_no_lost_update,
            'what was refused never takes effect': _keeps_refusals,
            'what was confirmed took effect': _keeps_confirmations,
        },
    )


def _is_once(fields: dict[str, Any]) -> bool:
    authors = [commit.operator for commit in fields['commits']]
    return len(authors) == len(set(authors))


def _has_no_lost_update(fields: dict[str, Any]) -> bool:
    commits = fields['commits']
    return all(commit.base == head for head, commit in enumerate(commits))


def _keeps_refusals(fields: dict[str, Any]) -> bool:
    return fields['refused'].isdisjoint(fields['commits'])


def _keeps_confirmations(fields: dict[str, Any]) -> bool:
    return all(
        operator.attempt in fields['commits']
        for operator in fields['operators']
        if operator.phase is Phase.DONE
    )


class _OperatorSteps:
    """List what operators, network and store may do next."""

    def __init__(self, removed: Safeguard | None) -> None:
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        return [
            *self._list_arrivals(state),
            *(
                step
                for index in range(len(state.operators))
                for step in self._list_operator_steps(state, index)
            ),
        ]

    def _list_arrivals(self, state: State) -> Iterator[Step]:
        # A request may come late, also after its author has given it up.
        for attempt in set(state.under_way):
            is_free = attempt.base == len(state.commits)
            if self._removed is Safeguard.COMPARE:
                is_free = attempt not in state.commits
            after = _arrive(state, attempt, is_free)
            verb = 'takes effect' if is_free else 'is compared in vain'
            yield f'{attempt.operator} {verb}, answer lost', after
            yield from self._answer(after, attempt, is_free)

    def _answer(
        self,
        state: State,
        attempt: Attempt,
        is_free: bool,
    ) -> Iterator[Step]:
        index = attempt.operator
        operator = state.operators[index]
        if operator.attempt != attempt:
            return
        is_waiting = operator.phase in {Phase.SENT, Phase.REPEATED}
        if is_free and is_waiting:
            yield f'{index} hears of success', _go(state, index, Phase.DONE)
        if not is_free and operator.phase is Phase.SENT:
            yield f'{index} is refused', _refuse(state, index)
        if not is_free and operator.phase is Phase.REPEATED:
            # Refused after a repeat: the record tells whether the first copy
            # took effect, and no other copy ever will.
            found = attempt in state.commits
            after = _go(state, index, Phase.DONE)
            yield (
                f'{index} looks the change up',
                after if found else _refuse(state, index),
            )

    def _list_operator_steps(self, state: State, index: int) -> Iterator[Step]:
        operator = state.operators[index]
        may_try = operator.attempt.number < ATTEMPTS
        if operator.phase in {Phase.IDLE, Phase.REFUSED} and may_try:
            yield f'{index} reads and sends', _send(state, index)
        if operator.phase in {Phase.SENT, Phase.REPEATED}:
            yield f'{index} waits in vain', _go(state, index, Phase.UNSURE)
        if operator.phase is Phase.UNSURE:
            yield from self._list_settlements(state, index)

    def _list_settlements(self, state: State, index: int) -> Iterator[Step]:
        attempt = state.operators[index].attempt
        if self._removed is Safeguard.READ_BACK:
            if attempt.number < ATTEMPTS:
                yield f'{index} tries anew', _send(state, index)
            return
        if attempt in state.commits:
            yield f'{index} finds it', _go(state, index, Phase.DONE)
        elif self._removed is Safeguard.SAME_AGAIN:
            yield f'{index} does not find it', _refuse(state, index)
        elif state.under_way.count(attempt) < COPIES:
            repeated = _go(state, index, Phase.REPEATED)
            under_way = _sort(*state.under_way, attempt)
            after = repeated._replace(under_way=under_way)
            yield f'{index} sends it again', after


def _arrive(state: State, attempt: Attempt, is_free: bool) -> State:
    under_way = list(state.under_way)
    under_way.remove(attempt)
    commits = state.commits
    if is_free:
        commits = (*commits, attempt)
    return state._replace(commits=commits, under_way=tuple(under_way))


def _sort(*attempts: Attempt) -> tuple[Attempt, ...]:
    return tuple(sorted(attempts))


def _go(state: State, index: int, phase: Phase) -> State:
    operators = list(state.operators)
    operators[index] = operators[index]._replace(phase=phase)
    return state._replace(operators=tuple(operators))


def _refuse(state: State, index: int) -> State:
    refused = state.refused | {state.operators[index].attempt}
    return _go(state, index, Phase.REFUSED)._replace(refused=refused)


def _send(state: State, index: int) -> State:
    number = state.operators[index].attempt.number + 1
    attempt = Attempt(index, number, len(state.commits))
    operators = list(state.operators)
    operators[index] = Operator(Phase.SENT, attempt)
    return state._replace(
        operators=tuple(operators),
        under_way=_sort(*state.under_way, attempt),
    )
