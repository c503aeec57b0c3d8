"""Specify what a proxy may acknowledge after it was frozen."""

from enum import Enum
from typing import Any, NamedTuple

from tests.specs.checking import Specification

MAJORITY = 2
OLD_TERM = 1
NEW_TERM = 2


class Evidence(Enum):
    """A proxy's evidence from one target for a write of the old term."""

    NONE = 0
    # Requested before the proxy was frozen.
    STALE = 1
    FRESH = 2


class State(NamedTuple):
    """The targets' fences, and a proxy's evidence and acknowledgement."""

    fences: tuple[int, ...]
    evidence: tuple[Evidence, ...]
    is_superseded: bool
    # A new primary existed when the proxy's last freeze ended.
    woke_late: bool
    acknowledged_late: bool


Step = tuple[str, State]


def specify_acknowledgement(needs_fresh: bool = True) -> Specification:
    """Specify a proxy that may be frozen at any time, and a second one."""
    return Specification(
        'acknowledgement',
        State._fields,
        State(
            (OLD_TERM,) * 3,
            (Evidence.NONE,) * 3,
            is_superseded=False,
            woke_late=False,
            acknowledged_late=False,
        ),
        _FreshSteps().list_steps if needs_fresh else _Steps().list_steps,
        {'nothing is acknowledged for a superseded primary': _is_kept},
    )


def _is_kept(fields: dict[str, Any]) -> bool:
    return not fields['acknowledged_late']


class _Steps:
    """List the steps of a proxy that trusts evidence of any age."""

    trusted = frozenset((Evidence.STALE, Evidence.FRESH))

    def list_steps(self, state: State) -> list[Step]:
        steps = [('a freeze ends', _wake(state))]
        for index, fence in enumerate(state.fences):
            if fence == OLD_TERM:
                fresh = _put(state.evidence, index, Evidence.FRESH)
                shown = state._replace(evidence=fresh)
                steps.append((f'{index} shows the write', shown))
                fenced = _put(state.fences, index, NEW_TERM)
                after = state._replace(fences=fenced)
                steps.append((f'{index} is fenced', after))
        if state.fences.count(NEW_TERM) >= MAJORITY:
            superseded = state._replace(is_superseded=True)
            steps.append(('a new primary leads', superseded))
        trusted = sum(known in self.trusted for known in state.evidence)
        if trusted >= MAJORITY:
            acknowledged = state._replace(acknowledged_late=state.woke_late)
            steps.append(('the write is acknowledged', acknowledged))
        return steps


class _FreshSteps(_Steps):
    """List the steps of a proxy that requests new evidence after a freeze."""

    trusted = frozenset((Evidence.FRESH,))


def _wake(state: State) -> State:
    stale = tuple(
        Evidence.NONE if known is Evidence.NONE else Evidence.STALE
        for known in state.evidence
    )
    return state._replace(evidence=stale, woke_late=state.is_superseded)


def _put(known: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    return (*known[:index], value, *known[index + 1 :])
