"""Specify which target owners take for the leader when several say so."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

TARGETS = (0, 1, 2)
LAST_TERM = 4


class Safeguard(Enum):
    """Name the safeguards that can be taken out."""

    SERVED = 'an owner remembers the newest term that it has served'
    NOTED = 'an owner minds the newest term that the store has noted'
    CARRIED = (
        'a promotion is noted together with the newest term that was served'
    )
    DOUBT = 'a target that was to lead and is lost may have led the next term'
    ALL_HEARD = 'after a return of the store all targets are heard first'
    OLD_INTENT = 'an intent is over once somebody leads in a newer term'


class Target(NamedTuple):
    """Hold one database."""

    leads: bool = False
    term: int = 1
    answers: bool = True


class State(NamedTuple):
    """Hold the databases, and what the owner and the store know."""

    targets: tuple[Target, ...]
    # The one that the owner uses, -1 for none.
    uses: int = 0
    # The newest term that the owner has served, and that the store has noted.
    served: int = 1
    noted: int = 1
    # A promotion that the store has noted, and whose end it has not; -1: none.
    intent: int = -1
    # The notes are those of a copy that the store came back from.
    is_copy: bool = False
    # The newest term of an acknowledged write.
    written: int = 0
    went_back: bool = False


Step = tuple[str, State]


def specify_leaders(removed: Safeguard | None = None) -> Specification:
    """Return three databases that fall silent and come back at any moment."""
    first = State((Target(leads=True), Target(), Target()))
    return Specification(
        'leaders',
        State._fields,
        first,
        _LeaderSteps(removed).list_steps,
        {'no write is acknowledged in an older term': _goes_on},
    )


def _goes_on(fields: dict[str, Any]) -> bool:
    return not fields['went_back']


class _LeaderSteps:
    """List what may happen next."""

    def __init__(self, removed: Safeguard | None) -> None:
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        """List all steps from a state."""
        steps = list(self._list_target_steps(state))
        if state.uses < 0:
            steps += self._list_looks(state)
        else:
            steps += _list_uses(state)
        # The next owner knows what the store has noted.
        steps.append(
            ('another owner claims', state._replace(uses=-1, served=0)),
        )
        if not state.is_copy:
            steps += _list_returns(state)
        elif state.served:
            kept = state._replace(
                noted=max(state.noted, state.served),
                intent=-1,
                is_copy=False,
            )
            steps.append(('the owner notes again what it knows', kept))
        return steps

    def _list_target_steps(self, state: State) -> Iterator[Step]:
        for place in TARGETS:
            target = state.targets[place]
            flipped = target._replace(answers=not target.answers)
            yield (
                f'{place} falls silent or is back',
                _put(state, place, flipped),
            )
            # One that led learns of a newer leader some time after it is back.
            newest = max(other.term for other in state.targets)
            if target.answers and target.term < newest:
                learnt = target._replace(leads=False, term=newest)
                yield f'{place} follows', _put(state, place, learnt)

    def _list_looks(self, state: State) -> Iterator[Step]:
        heard = [place for place in TARGETS if state.targets[place].answers]
        if self._may_miss_leader(state, heard):
            return
        if state.intent >= 0 and not state.served:
            if not self._is_over(state, heard):
                yield from self._list_ends(state)
                return
        least = self._find_least(state, heard)
        leading = [
            place
            for place in heard
            if state.targets[place].leads and state.targets[place].term >= least
        ]
        for place in leading:
            yield from _serve(state, place)
        if leading:
            return
        for place in heard:
            is_new = state.targets[place].term >= least
            if is_new or len(heard) == len(TARGETS):
                yield from self._promote(state, place)

    def _may_miss_leader(self, state: State, heard: list[int]) -> bool:
        if self._removed is Safeguard.ALL_HEARD:
            return False
        is_unsure = state.is_copy and not state.served
        return is_unsure and len(heard) < len(TARGETS)

    def _is_over(self, state: State, heard: list[int]) -> bool:
        if self._removed is Safeguard.OLD_INTENT:
            return False
        leading = [
            state.targets[place].term
            for place in heard
            if state.targets[place].leads
        ]
        return max(leading, default=0) > state.noted

    def _find_least(self, state: State, heard: list[int]) -> int:
        terms = [state.targets[place].term for place in heard]
        if self._removed is not Safeguard.SERVED:
            terms.append(state.served)
        if self._removed is not Safeguard.NOTED:
            terms.append(state.noted)
        return max(terms, default=0)

    def _promote(self, state: State, place: int) -> Iterator[Step]:
        term = max(target.term for target in state.targets) + 1
        if term > LAST_TERM:
            return
        carries = self._removed is not Safeguard.CARRIED
        ordered = state._replace(
            intent=place,
            noted=max(state.noted, state.served) if carries else state.noted,
        )
        promoted = state.targets[place]._replace(leads=True, term=term)
        yield from _serve(_put(ordered, place, promoted), place)

    def _list_ends(self, state: State) -> Iterator[Step]:
        """See the promotion of an earlier owner through."""
        target = state.targets[state.intent]
        if target.answers and target.leads:
            yield from _serve(state, state.intent)
        elif not target.answers:
            doubts = self._removed is not Safeguard.DOUBT
            noted = min(LAST_TERM, state.noted + 1) if doubts else state.noted
            after = state._replace(intent=-1, noted=noted)
            yield 'it notes that its target is lost', after
        else:
            yield from self._promote(state, state.intent)


def _list_returns(state: State) -> Iterator[Step]:
    """List copies: of the first note, alone or with an intent."""
    for intent in (-1, *TARGETS):
        copied = state._replace(noted=1, intent=intent, is_copy=True)
        yield f'the store comes back with the intent {intent}', copied


def _list_uses(state: State) -> Iterator[Step]:
    target = state.targets[state.uses]
    if not target.answers:
        yield 'it gives its primary up', state._replace(uses=-1)
    elif target.leads:
        yield (
            'it acknowledges a write',
            state._replace(
                written=max(state.written, target.term),
                went_back=state.went_back or target.term < state.written,
            ),
        )


def _serve(state: State, place: int) -> Iterator[Step]:
    """List its use with and without a note, which the store may not take."""
    term = state.targets[place].term
    used = state._replace(uses=place, served=max(state.served, term))
    noted = used._replace(
        noted=max(state.noted, term),
        intent=-1,
        is_copy=False,
    )
    yield f'it serves {place} and notes it', noted
    yield f'it serves {place}, unnoted', used


def _put(state: State, place: int, target: Target) -> State:
    targets = list(state.targets)
    targets[place] = target
    return state._replace(targets=tuple(targets))
