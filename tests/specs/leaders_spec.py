"""Specify which target owners use when several report being the primary."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

TARGETS = (0, 1, 2)
LAST_TERM = 4


class Safeguard(Enum):
    """Name the safeguards that can be removed."""

    SERVED = 'an owner remembers the newest term that it has served'
    RECORDED = 'an owner respects the newest term recorded in the store'
    CARRIED = (
        'a promotion is recorded together with the newest term that was served'
    )
    DOUBT = 'a lost target of a promotion may have led the next term'
    ALL_ANSWERED = 'after a restore of the store all targets must answer first'
    OLD_INTENT = 'an intent is obsolete once a target leads in a newer term'


class Target(NamedTuple):
    """Hold one database."""

    leads: bool = False
    term: int = 1
    answers: bool = True


class State(NamedTuple):
    """Hold the databases and the knowledge of the owner and the store."""

    targets: tuple[Target, ...]
    # The target that the owner uses, -1 for none.
    uses: int = 0
    # The newest term that the owner has served, and the one recorded in the
    # store.
    served: int = 1
    recorded: int = 1
    # The target of a promotion recorded as pending in the store, -1 for none.
    intent: int = -1
    # The store's records are those of an older state that was restored.
    is_restored: bool = False
    # The newest term of an acknowledged write.
    written: int = 0
    has_older_write: bool = False


Step = tuple[str, State]


def specify_leaders(removed: Safeguard | None = None) -> Specification:
    """Specify three databases that stop and resume answering at any time."""
    first = State((Target(leads=True), Target(), Target()))
    return Specification(
        'leaders',
        State._fields,
        first,
        _LeaderSteps(removed).list_steps,
        {'no write is acknowledged in an older term': _has_no_older_write},
    )


def _has_no_older_write(fields: dict[str, Any]) -> bool:
    return not fields['has_older_write']


class _LeaderSteps:
    """Generate the steps of the specification."""

    def __init__(self, removed: Safeguard | None) -> None:
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        """List all steps from a state."""
        steps = list(self._list_target_steps(state))
        if state.uses < 0:
            steps += self._list_searches(state)
        else:
            steps += _list_uses(state)
        # The next owner knows only what the store has recorded.
        steps.append(
            ('another owner claims', state._replace(uses=-1, served=0)),
        )
        if not state.is_restored:
            steps += _list_restores(state)
        elif state.served:
            kept = state._replace(
                recorded=max(state.recorded, state.served),
                intent=-1,
                is_restored=False,
            )
            steps.append(('the owner records its knowledge again', kept))
        return steps

    def _list_target_steps(self, state: State) -> Iterator[Step]:
        for index in TARGETS:
            target = state.targets[index]
            flipped = target._replace(answers=not target.answers)
            yield (
                f'{index} stops or resumes answering',
                _replace_target(state, index, flipped),
            )
            # A superseded primary learns of the newer term some time after it
            # resumes.
            newest = max(other.term for other in state.targets)
            if target.answers and target.term < newest:
                demoted = target._replace(leads=False, term=newest)
                yield f'{index} follows', _replace_target(state, index, demoted)

    def _list_searches(self, state: State) -> Iterator[Step]:
        answering = [index for index in TARGETS if state.targets[index].answers]
        if self._may_miss_primary(state, answering):
            return
        if state.intent >= 0 and not state.served:
            if not self._is_obsolete(state, answering):
                yield from self._list_completions(state)
                return
        min_term = self._find_min_term(state, answering)
        leading = [
            index
            for index in answering
            if state.targets[index].leads
            and state.targets[index].term >= min_term
        ]
        for index in leading:
            yield from _serve(state, index)
        if leading:
            return
        for index in answering:
            is_new = state.targets[index].term >= min_term
            if is_new or len(answering) == len(TARGETS):
                yield from self._promote(state, index)

    def _may_miss_primary(self, state: State, answering: list[int]) -> bool:
        if self._removed is Safeguard.ALL_ANSWERED:
            return False
        is_uncertain = state.is_restored and not state.served
        return is_uncertain and len(answering) < len(TARGETS)

    def _is_obsolete(self, state: State, answering: list[int]) -> bool:
        if self._removed is Safeguard.OLD_INTENT:
            return False
        leading = [
            state.targets[index].term
            for index in answering
            if state.targets[index].leads
        ]
        return max(leading, default=0) > state.recorded

    def _find_min_term(self, state: State, answering: list[int]) -> int:
        terms = [state.targets[index].term for index in answering]
        if self._removed is not Safeguard.SERVED:
            terms.append(state.served)
        if self._removed is not Safeguard.RECORDED:
            terms.append(state.recorded)
        return max(terms, default=0)

    def _promote(self, state: State, index: int) -> Iterator[Step]:
        term = max(target.term for target in state.targets) + 1
        if term > LAST_TERM:
            return
        carries = self._removed is not Safeguard.CARRIED
        ordered = state._replace(
            intent=index,
            recorded=max(state.recorded, state.served)
            if carries
            else state.recorded,
        )
        promoted = state.targets[index]._replace(leads=True, term=term)
        yield from _serve(_replace_target(ordered, index, promoted), index)

    def _list_completions(self, state: State) -> Iterator[Step]:
        """List the steps that complete an earlier owner's promotion."""
        target = state.targets[state.intent]
        if target.answers and target.leads:
            yield from _serve(state, state.intent)
        elif not target.answers:
            doubts = self._removed is not Safeguard.DOUBT
            recorded = (
                min(LAST_TERM, state.recorded + 1) if doubts else state.recorded
            )
            after = state._replace(intent=-1, recorded=recorded)
            yield 'it records that the target is lost', after
        else:
            yield from self._promote(state, state.intent)


def _list_restores(state: State) -> Iterator[Step]:
    """List restores of the first record, with and without an intent."""
    for intent in (-1, *TARGETS):
        copied = state._replace(recorded=1, intent=intent, is_restored=True)
        yield f'the store is restored with the intent {intent}', copied


def _list_uses(state: State) -> Iterator[Step]:
    target = state.targets[state.uses]
    if not target.answers:
        yield 'it gives its primary up', state._replace(uses=-1)
    elif target.leads:
        yield (
            'it acknowledges a write',
            state._replace(
                written=max(state.written, target.term),
                has_older_write=state.has_older_write
                or target.term < state.written,
            ),
        )


def _serve(state: State, index: int) -> Iterator[Step]:
    """List the use of a target, recorded in the store or not."""
    term = state.targets[index].term
    used = state._replace(uses=index, served=max(state.served, term))
    recorded = used._replace(
        recorded=max(state.recorded, term),
        intent=-1,
        is_restored=False,
    )
    yield f'it serves {index} and records it', recorded
    yield f'it serves {index} without a record', used


def _replace_target(state: State, index: int, target: Target) -> State:
    targets = list(state.targets)
    targets[index] = target
    return state._replace(targets=tuple(targets))
