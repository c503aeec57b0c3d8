"""Specify which primary owners use while one of them has it replaced."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

# The first owner, and the one after it; each claim brings a higher token.
OWNERS = (0, 1)


class Safeguard(Enum):
    """Name the safeguards that can be taken out."""

    CHECK_AFTER = 'an owner looks again before it passes an answer on'
    STOP_FIRST = 'an owner stops using a primary before it orders another'
    INTENT = 'an order is noted before it is sent, and seen through'
    DROP_ORDER = 'an order is dropped with the end of its sender'
    FRESH_LOOK = 'an owner looks which target leads after it has claimed'
    RETURN_WAIT = 'who claims after a return waits for older orders'
    OWN_NOTES = 'an owner remembers what it has noted before a return'


class Primary(Enum):
    """Name the two targets that may lead."""

    OLD = 'old'
    NEW = 'new'


class Owner(NamedTuple):
    """Hold what one owner knows."""

    # It holds the group; the specification of ownership has it that no other
    # does so at the same time.
    is_held: bool = False
    has_claimed: bool = False
    # The target that it takes for the primary.
    uses: Primary | None = None
    # An answer that arrived and was not passed on yet.
    answer: Primary | None = None
    # It has sent an order that has not arrived.
    has_order: bool = False
    # It remembers an order that it has noted, or found noted at its claim.
    has_noted: bool = False


class State(NamedTuple):
    """Hold both owners, the store's note, and the databases."""

    owners: tuple[Owner, Owner]
    intent: bool = False
    # The store has come back from a copy without the intent.
    is_copy: bool = False
    # An order has arrived and is about to take effect.
    is_pending: bool = False
    leader: Primary = Primary.OLD
    # The highest token among the orders that arrived.
    last_token: int = 0
    orders_went_down: bool = False
    # A write was acknowledged at the new primary.
    is_written: bool = False
    # Something was acknowledged at, or passed on from, a superseded primary.
    is_lost: bool = False
    is_stale: bool = False


Step = tuple[str, State]


def specify_succession(removed: Safeguard | None = None) -> Specification:
    """Return an owner, its successor, and a primary that is replaced."""
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
    return not fields['orders_went_down']


class _SuccessionSteps:
    """List what may happen next."""

    def __init__(self, removed: Safeguard | None) -> None:
        self._removed = removed

    def list_steps(self, state: State) -> list[Step]:
        """List all steps from a state."""
        steps = list(self._list_database_steps(state))
        if not state.is_copy:
            copied = state._replace(intent=False, is_copy=True)
            steps.append(('the store comes back', copied))
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
                'the new primary leads',
                state._replace(is_pending=False, leader=Primary.NEW),
            )

    def _list_changes(self, state: State, index: int) -> Iterator[Step]:
        owner = state.owners[index]
        if owner.is_held:
            drops = self._removed is not Safeguard.DROP_ORDER
            ended = owner._replace(
                is_held=False,
                has_order=owner.has_order and not drops,
            )
            yield f'{index} loses the group', _put(state, index, ended)
        elif self._may_claim(state, owner):
            looks = self._removed is not Safeguard.FRESH_LOOK
            claimed = owner._replace(
                is_held=True,
                has_claimed=True,
                has_noted=state.intent,
                uses=None if looks else Primary.OLD,
            )
            yield f'{index} claims', _put(state, index, claimed)

    def _may_claim(self, state: State, owner: Owner) -> bool:
        if owner.has_claimed or state.owners[0].is_held:
            return False
        if not state.is_copy or self._removed is Safeguard.RETURN_WAIT:
            return True
        return not (state.is_pending or state.owners[0].has_order)

    def _list_answers(self, state: State, index: int) -> Iterator[Step]:
        owner = state.owners[index]
        if owner.answer is None:
            return
        checks = self._removed is not Safeguard.CHECK_AFTER
        rest = _put(state, index, owner._replace(answer=None))
        if checks and not (owner.is_held and owner.uses is owner.answer):
            yield f'{index} drops an answer', rest
            return
        is_stale = owner.answer is not state.leader and state.is_written
        yield (
            f'{index} passes an answer on',
            rest._replace(is_stale=state.is_stale or is_stale),
        )

    def _list_uses(self, state: State, index: int) -> Iterator[Step]:
        owner = state.owners[index]
        if owner.uses is None:
            yield from self._list_looks(state, index)
            return
        if owner.answer is None:
            asked = owner._replace(answer=owner.uses)
            yield f'{index} reads', _put(state, index, asked)
        yield f'{index} writes', _write(state, owner.uses)
        if owner.uses is Primary.OLD and not owner.has_order:
            stops = self._removed is not Safeguard.STOP_FIRST
            ordered = owner._replace(
                has_order=True,
                has_noted=True,
                uses=None if stops else owner.uses,
            )
            after = _put(state, index, ordered)
            yield f'{index} orders', after._replace(intent=True)

    def _list_looks(self, state: State, index: int) -> Iterator[Step]:
        owner = state.owners[index]
        minds = self._removed is not Safeguard.INTENT
        remembers = self._removed is not Safeguard.OWN_NOTES
        is_noted = state.intent or (remembers and owner.has_noted)
        if minds and is_noted and state.leader is Primary.OLD:
            # It sees the order through: gives it again until it took effect.
            if not (owner.has_order or state.is_pending):
                ordered = owner._replace(has_order=True)
                yield f'{index} orders again', _put(state, index, ordered)
            return
        found = owner._replace(uses=state.leader, has_noted=False)
        after = _put(state, index, found)
        yield f'{index} finds the primary', after._replace(intent=False)


def _arrive(state: State, index: int) -> State:
    owner = state.owners[index]
    token = index + 1
    return _put(state, index, owner._replace(has_order=False))._replace(
        is_pending=state.leader is Primary.OLD,
        last_token=max(state.last_token, token),
        orders_went_down=state.orders_went_down or token < state.last_token,
    )


def _write(state: State, target: Primary) -> State:
    if target is not state.leader:
        return state._replace(is_lost=True)
    is_written = state.is_written or target is Primary.NEW
    return state._replace(is_written=is_written)


def _put(state: State, index: int, owner: Owner) -> State:
    owners = list(state.owners)
    owners[index] = owner
    return state._replace(owners=(owners[0], owners[1]))
