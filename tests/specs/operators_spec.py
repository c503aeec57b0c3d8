"""Specify concurrent changes to the store when answers are lost."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

ATTEMPTS = 2
# Copies of one request that can be in flight at the same time.
COPIES = 2


class Safeguard(Enum):
    """List the safeguards that can be removed."""

    COMPARE = 'a commit demands the head that its author has read'
    READ_BACK = 'a lost answer is looked up before a new attempt'
    SAME_AGAIN = 'a change that is not found is sent again, the same'


class Phase(Enum):
    """List the phases of an operator's attempt."""

    IDLE = 0
    # Waiting for the first answer.
    SENT = 1
    # An answer was lost: the change may have taken effect.
    UNKNOWN = 2
    # The same request was resent after a lost answer.
    REPEATED = 3
    DONE = 4
    # The attempt did not take effect and cannot take effect later.
    REFUSED = 5


class Attempt(NamedTuple):
    """Identify one transaction by author, number and the head it read."""

    operator: int
    number: int
    base: int


class Operator(NamedTuple):
    """Hold the state of one operator."""

    phase: Phase
    attempt: Attempt


class State(NamedTuple):
    """Hold the store's commits, the requests in flight, the operators."""

    commits: tuple[Attempt, ...]
    # One entry for each copy that was sent and has not arrived.
    in_flight: tuple[Attempt, ...]
    operators: tuple[Operator, ...]
    # Attempts reported to their authors as not having taken effect.
    refused: frozenset[Attempt]


Step = tuple[str, State]


def specify_operators(removed: Safeguard | None = None) -> Specification:
    """Return two operators who each make one change, exactly once."""
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
    """List the possible next steps of operators, network and store."""

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
        # A request can arrive late, even after its author gave up on it.
        for attempt in set(state.in_flight):
            is_free = attempt.base == len(state.commits)
            if self._removed is Safeguard.COMPARE:
                is_free = attempt not in state.commits
            after = _arrive(state, attempt, is_free)
            verb = 'takes effect' if is_free else 'fails its compare'
            yield f'{attempt.operator} {verb}, answer lost', after
            yield from self._list_answers(after, attempt, is_free)

    def _list_answers(
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
            yield (
                f'{index} gets a success',
                _set_phase(state, index, Phase.DONE),
            )
        if not is_free and operator.phase is Phase.SENT:
            yield f'{index} is refused', _refuse(state, index)
        if not is_free and operator.phase is Phase.REPEATED:
            # Refused after a retry: the record shows whether the first copy
            # took effect, and no other copy can take effect later.
            found = attempt in state.commits
            after = _set_phase(state, index, Phase.DONE)
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
            yield f'{index} times out', _set_phase(state, index, Phase.UNKNOWN)
        if operator.phase is Phase.UNKNOWN:
            yield from self._list_resolutions(state, index)

    def _list_resolutions(self, state: State, index: int) -> Iterator[Step]:
        attempt = state.operators[index].attempt
        if self._removed is Safeguard.READ_BACK:
            if attempt.number < ATTEMPTS:
                yield f'{index} starts a new attempt', _send(state, index)
            return
        if attempt in state.commits:
            yield f'{index} finds it', _set_phase(state, index, Phase.DONE)
        elif self._removed is Safeguard.SAME_AGAIN:
            yield f'{index} does not find it', _refuse(state, index)
        elif state.in_flight.count(attempt) < COPIES:
            repeated = _set_phase(state, index, Phase.REPEATED)
            in_flight = _sort(*state.in_flight, attempt)
            after = repeated._replace(in_flight=in_flight)
            yield f'{index} sends it again', after


def _arrive(state: State, attempt: Attempt, is_free: bool) -> State:
    in_flight = list(state.in_flight)
    in_flight.remove(attempt)
    commits = state.commits
    if is_free:
        commits = (*commits, attempt)
    return state._replace(commits=commits, in_flight=tuple(in_flight))


def _sort(*attempts: Attempt) -> tuple[Attempt, ...]:
    return tuple(sorted(attempts))


def _set_phase(state: State, index: int, phase: Phase) -> State:
    operators = list(state.operators)
    operators[index] = operators[index]._replace(phase=phase)
    return state._replace(operators=tuple(operators))


def _refuse(state: State, index: int) -> State:
    refused = state.refused | {state.operators[index].attempt}
    return _set_phase(state, index, Phase.REFUSED)._replace(refused=refused)


def _send(state: State, index: int) -> State:
    number = state.operators[index].attempt.number + 1
    attempt = Attempt(index, number, len(state.commits))
    operators = list(state.operators)
    operators[index] = Operator(Phase.SENT, attempt)
    return state._replace(
        operators=tuple(operators),
        in_flight=_sort(*state.in_flight, attempt),
    )
