"""Specify promotions, fences, acknowledgements, tokens and watermarks."""

from typing import Any

from tests.specs.checking import Specification
from tests.specs.promotion_evidence import BIT_COUNTS
from tests.specs.promotion_state import (
    DATABASES,
    MAJORITY,
    RIVALS,
    Scope,
    State,
    is_primary,
    make_first_state,
)
from tests.specs.promotion_steps import PromotionSteps


def specify_promotion(scope: Scope) -> Specification:
    """Specify three databases, two proxies and any number of observers."""
    return Specification(
        'promotion',
        State._fields,
        make_first_state(scope),
        PromotionSteps(scope).list_steps,
        {
            'one primary in a term': has_one_primary,
            'acknowledged writes are kept': keeps_acknowledged,
            'a covered token is served': serves_tokens,
            'a watermark covers what was acknowledged': has_sound_watermarks,
        },
    )


def has_one_primary(fields: dict[str, Any]) -> bool:
    """Return whether each term had at most one primary."""
    return RIVALS not in fields['leaders']


def keeps_acknowledged(fields: dict[str, Any]) -> bool:
    """Return whether each later primary has all acknowledged writes."""
    state = State(**fields)
    return all(
        _has_record(state, index, number)
        for number, write in enumerate(state.writes, 1)
        if write.is_acknowledged
        for index in DATABASES
        if state.databases[index].fence > write.point[0]
        and is_primary(state, index)
    )


def serves_tokens(fields: dict[str, Any]) -> bool:
    """Return whether each database that covered a write still has it."""
    state = State(**fields)
    return all(
        _has_record(state, index, number)
        for number, write in enumerate(state.writes, 1)
        if write.is_acknowledged
        for index in DATABASES
        if write.covered & (1 << index)
    )


def has_sound_watermarks(fields: dict[str, Any]) -> bool:
    """Return whether no majority asked later ends below the write."""
    return all(
        BIT_COUNTS[write.behind] < MAJORITY
        for write in fields['writes']
        if write.is_acknowledged
    )


def _has_record(state: State, index: int, number: int) -> bool:
    record = (state.writes[number - 1].point[0], number)
    return record in state.databases[index].log
