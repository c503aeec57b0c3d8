"""Run the model checker and read its verdict."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from minicheck import (
    IntBoundExceeded,
    Protocol,
    check_liveness,
    check_safety,
)

MOST_STATES = 2_000_000

# A state's fields, as the checker hands them to a property.
Property = Callable[[dict[str, Any]], bool]
Steps = Callable[[Any], list[tuple[str, Any]]]


@dataclass(frozen=True, slots=True)
class Specification:
    """Hold the first state, the steps and what must always hold."""

    name: str
    fields: tuple[str, ...]
    first: Any
    list_steps: Steps
    properties: Mapping[str, Property]


@dataclass(frozen=True, slots=True)
class Finding:
    """Hold what a search found; exhaustive ones prove what holds."""

    states: int
    is_exhaustive: bool
    # The shortest way to break each property that can be broken.
    broken: Mapping[str, tuple[str, ...]]


def explore(specification: Specification) -> Finding:
    """Visit all states."""
    return _search(specification, specification.list_steps)


def refute(specification: Specification) -> Finding:
    """Search until a property is broken; the way there is a shortest one."""
    watch = _Watch(specification)
    watched = Specification(
        specification.name,
        specification.fields,
        specification.first,
        watch.list_steps,
        {name: watch.wrap(name) for name in specification.properties},
    )
    return _search(watched, watched.list_steps)


def always_reaches(specification: Specification, goal: Property) -> bool:
    """Tell whether the goal stays within reach whatever has happened."""
    protocol = _build(specification, specification.list_steps)
    protocol.goal = goal
    return check_liveness(protocol)['holds'] is True


class _Watch:
    """End a search as soon as a property is broken."""

    def __init__(self, specification: Specification) -> None:
        self._specification = specification
        self._is_broken = False

    def list_steps(self, state: Any) -> list[tuple[str, Any]]:
        if self._is_broken:
            # The checker takes this for the end of what it can visit, and
            # keeps the counterexample.
            raise IntBoundExceeded('a property is broken')
        return self._specification.list_steps(state)

    def wrap(self, name: str) -> Property:
        holds = self._specification.properties[name]

        def watch(fields: dict[str, Any]) -> bool:
            is_held = holds(fields)
            self._is_broken = self._is_broken or not is_held
            return is_held

        return watch


def _search(specification: Specification, list_steps: Steps) -> Finding:
    protocol = _build(specification, list_steps)
    report = check_safety(protocol, max_states=MOST_STATES)
    broken = {
        name: tuple(step['label'] for step in verdict['counterexample'][1:])
        for name, verdict in report['properties'].items()
        if verdict['holds'] is False
    }
    return Finding(report['reachable_states'], report['exhaustive'], broken)


def _build(specification: Specification, list_steps: Steps) -> Protocol:
    return Protocol(
        name=specification.name,
        candidate=False,
        fields=specification.fields,
        initial=specification.first,
        transitions=list_steps,
        invariants=dict(specification.properties),
    )
