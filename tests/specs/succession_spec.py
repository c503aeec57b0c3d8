"""Specify which primary two successive owners use during a replacement."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

# The first owner and the next one; each claim gets a higher token.
OWNERS = (0, 1)


class Safeguard(Enum):
    """Name the safeguards that can be removed."""

    CHECK_AFTER = 'an owner checks its ownership before it returns an answer'
    STOP_FIRST = 'an owner stops using a primary before it orders a promotion'
    INTENT = 'an order is recorded before it is sent, and completed later'
    DROP_ORDER = 'an order is discarded when its sender loses the group'
    SEARCH_AFTER_CLAIM = 'an owner queries the targets after its claim'
    RESTORE_WAIT = 'a claim after a restore waits for older orders'
    OWN_RECORDS = 'an owner remembers what it recorded before a restore'


class Primary(Enum):
    """Name the two targets that may be primary."""

    OLD = 'old'
    NEW = 'new'


class Owner(NamedTuple):
    """Hold the knowledge of one owner."""

    # The owner holds the group. That no other owner does so at the same time
    # is a property of ownership_spec.
    is_held: bool = False
    has_claimed: bool = False
    # The target that the owner uses as primary.
    uses: Primary | None = None
    # The target of an answer that arrived and was not passed on yet.
    answer: Primary | None = None
    # The owner has sent an order that has not arrived.
    has_order: bool = False
    # The owner remembers an order that it recorded or found at its claim.
    has_recorded: bool = False


class State(NamedTuple):
    """Hold both owners, the store's record and the databases."""

    owners: tuple[Owner, Owner]
    intent: bool = False
    # The store was restored to an older state without the intent.
    is_restored: bool = False
    # An order has arrived but has not taken effect.
    is_pending: bool = False
    primary: Primary = Primary.OLD
    # The highest token among the orders that arrived.
    last_token: int = 0
    has_token_decreased: bool = False
    # A write was acknowledged at the new primary.
    is_written: bool = False
    # A write was acknowledged at, or an answer passed on from, a superseded
    # primary.
    is_lost: bool = False
    is_stale: bool = False


Step = tuple[str, State]


def specify_succession(removed: Safeguard | None = None) -> Specification:
    """Specify an owner, the next owner and a primary that is replaced."""
    first = Owner(is_held=True, has_claimed=True, uses=Primary.OLD)
    return Specification(
        'succession',
        State._fields,
        State((first, Owner())),
        _SuccessionSteps(removed).list_steps,
        {
            'nothing is acknowledged at a superseded primary': _loses_nothing,
            'nothing is read from a superseded primary': _reads_nothing_stale,
            'tokens of orders never go down': _has_growing_tokens,
        },
    )


def _loses_nothing(fields: dict[str, Any]) -> bool:
    return not fields['is_lost']


def _reads_nothing_stale(fields: dict[str, Any]) -> bool:
    return not fields['is_stale']


def _has_growing_tokens(fields: dict[str, Any]) -> bool:
    return not fields['has_token_decreased']


class _SuccessionSteps:
    """Generate the steps of the specification."""

    def __init__(self, removed: Safeguard | None) -> None:
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        """List all steps from a state."""
        steps = list(self._list_database_steps(state))
        if not state.is_restored:
            copied = state._replace(intent=False, is_restored=True)
            steps.append(('the store is restored', copied))
        for index in OWNERS:
            steps += self._list_changes(state, index)
            steps += self._list_answers(state, index)
            if state.owners[index].is_held:
                steps += self._list_uses(state, index)
        return steps

    def _list_database_steps(self, state: State) -> Iterator[Step]:
        for index in OWNERS:
            if state.owners[index].has_order:
                yield f'the order of {index} arrives', _arrive(state, index)
        if state.is_pending:
            yield (
                'the promotion takes effect',
                state._replace(is_pending=False, primary=Primary.NEW),
            )

    def _list_changes(self, state: State, index: int) -> Iterator[Step]:
        owner = state.owners[index]
        if owner.is_held:
            drops = self._removed is not Safeguard.DROP_ORDER
            ended = owner._replace(
                is_held=False,
                has_order=owner.has_order and not drops,
            )
            yield (
                f'{index} loses the group',
                _replace_owner(state, index, ended),
            )
        elif self._may_claim(state, owner):
            searches = self._removed is not Safeguard.SEARCH_AFTER_CLAIM
            claimed = owner._replace(
                is_held=True,
                has_claimed=True,
                has_recorded=state.intent,
                uses=None if searches else Primary.OLD,
            )
            yield f'{index} claims', _replace_owner(state, index, claimed)

    def _may_claim(self, state: State, owner: Owner) -> bool:
        if owner.has_claimed or state.owners[0].is_held:
            return False
        if not state.is_restored or self._removed is Safeguard.RESTORE_WAIT:
            return True
        return not (state.is_pending or state.owners[0].has_order)

    def _list_answers(self, state: State, index: int) -> Iterator[Step]:
        owner = state.owners[index]
        if owner.answer is None:
            return
        checks = self._removed is not Safeguard.CHECK_AFTER
        rest = _replace_owner(state, index, owner._replace(answer=None))
        if checks and not (owner.is_held and owner.uses is owner.answer):
            yield f'{index} drops an answer', rest
            return
        is_stale = owner.answer is not state.primary and state.is_written
        yield (
            f'{index} passes an answer on',
            rest._replace(is_stale=state.is_stale or is_stale),
        )

    def _list_uses(self, state: State, index: int) -> Iterator[Step]:
        owner = state.owners[index]
        if owner.uses is None:
            yield from self._list_searches(state, index)
            return
        if owner.answer is None:
            asked = owner._replace(answer=owner.uses)
            yield f'{index} reads', _replace_owner(state, index, asked)
        yield f'{index} writes', _write(state, owner.uses)
        if owner.uses is Primary.OLD and not owner.has_order:
            stops = self._removed is not Safeguard.STOP_FIRST
            ordered = owner._replace(
                has_order=True,
                has_recorded=True,
                uses=None if stops else owner.uses,
            )
            after = _replace_owner(state, index, ordered)
            yield f'{index} orders', after._replace(intent=True)

    def _list_searches(self, state: State, index: int) -> Iterator[Step]:
        owner = state.owners[index]
        checks_intent = self._removed is not Safeguard.INTENT
        keeps_records = self._removed is not Safeguard.OWN_RECORDS
        is_recorded = state.intent or (keeps_records and owner.has_recorded)
        if checks_intent and is_recorded and state.primary is Primary.OLD:
            # The owner repeats the order until it takes effect.
            if not (owner.has_order or state.is_pending):
                ordered = owner._replace(has_order=True)
                yield (
                    f'{index} orders again',
                    _replace_owner(state, index, ordered),
                )
            return
        found = owner._replace(uses=state.primary, has_recorded=False)
        after = _replace_owner(state, index, found)
        yield f'{index} finds the primary', after._replace(intent=False)


def _arrive(state: State, index: int) -> State:
    owner = state.owners[index]
    token = index + 1
    return _replace_owner(
        state, index, owner._replace(has_order=False)
    )._replace(
        is_pending=state.primary is Primary.OLD,
        last_token=max(state.last_token, token),
        has_token_decreased=state.has_token_decreased
        or token < state.last_token,
    )


def _write(state: State, target: Primary) -> State:
    if target is not state.primary:
        return state._replace(is_lost=True)
    is_written = state.is_written or target is Primary.NEW
    return state._replace(is_written=is_written)


def _replace_owner(state: State, index: int, owner: Owner) -> State:
    owners = list(state.owners)
    owners[index] = owner
    return state._replace(owners=(owners[0], owners[1]))
