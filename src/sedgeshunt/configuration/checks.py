"""Validate a set of objects and the references between them."""

from collections.abc import Iterator

from sedgeshunt.configuration.labels import (
    COMPUTED_LABELS,
    is_label_key,
    is_label_value,
    read_selector,
)
from sedgeshunt.configuration.objects import (
    LEAVING,
    STATE_LABEL,
    ConfigurationObject,
    Objective,
    Proxy,
    Route,
)
from sedgeshunt.configuration.placement_checks import (
    check_addresses,
    check_groups,
)
from sedgeshunt.configuration.problems import (
    Problem,
    Severity,
    make_error,
    make_warning,
)
from sedgeshunt.configuration.selector_matcher import SelectorMatcher
from sedgeshunt.configuration.snapshot import Snapshot

_MIN_BY_FIELD = {
    'slots': 1,
    'connection_limit': 1,
    'seats': 1,
    'accepted_age_ms': 0,
    'deadline_ms': 1,
    'weight': 1,
    'within_ms': 1,
    'failover_gap_ms': 1,
}


def check_objects(snapshot: Snapshot) -> list[Problem]:
    """List all problems of the objects, errors first."""
    problems: list[Problem] = []
    for declared in snapshot.list_objects():
        problems.extend(_check_labels(declared))
        problems.extend(_check_selectors(declared))
        problems.extend(_check_numbers(declared))
    problems.extend(check_addresses(snapshot))
    problems.extend(check_groups(snapshot))
    problems.extend(_check_matches(snapshot))
    problems.extend(_check_objectives(snapshot))
    return sorted(problems, key=lambda problem: problem.severity.value)


def list_errors(snapshot: Snapshot) -> list[Problem]:
    """List only the problems that prevent the objects from being applied."""
    return [
        problem
        for problem in check_objects(snapshot)
        if problem.severity is Severity.ERROR
    ]


def _check_labels(declared: ConfigurationObject) -> Iterator[Problem]:
    for key, content in declared.labels.items():
        if key in COMPUTED_LABELS:
            yield make_error(
                declared,
                f'label "{key}" is computed from the field; remove it',
            )
        elif not is_label_key(key) or not is_label_value(content):
            yield make_error(
                declared,
                f'label "{key}={content}" cannot be selected; use letters, '
                + 'digits, ".", "_" and "-", and "/" in the key, at most 63',
            )
    state = declared.labels.get(STATE_LABEL, LEAVING)
    if state != LEAVING:
        # A mistyped state would look like a drain but have no effect.
        yield make_error(
            declared,
            f'label "{STATE_LABEL}={state}" is not supported; write '
            + f'"{STATE_LABEL}={LEAVING}" or remove it',
        )


def _check_selectors(declared: ConfigurationObject) -> Iterator[Problem]:
    if not isinstance(declared, Proxy | Route):
        return
    selectors = {'groups': declared.groups}
    if isinstance(declared, Route):
        selectors['targets'] = declared.targets
    for name, text in selectors.items():
        read = read_selector(text)
        if read.is_err():
            yield make_error(declared, f'selector "{name}": {read.err()}')


def _check_numbers(declared: ConfigurationObject) -> Iterator[Problem]:
    for name, minimum in _MIN_BY_FIELD.items():
        number = getattr(declared, name, minimum)
        if number < minimum:
            yield make_error(
                declared,
                f'{name} is {number}; set it to {minimum} or more',
            )
    if isinstance(declared, Objective) and not 0 < declared.answered_share < 1:
        yield make_error(
            declared,
            f'answered_share is {declared.answered_share}; '
            + 'set it between 0 and 1, for example 0.999',
        )


def _check_matches(snapshot: Snapshot) -> Iterator[Problem]:
    matcher = SelectorMatcher(snapshot)
    for proxy in snapshot.proxies.values():
        if snapshot.groups and not matcher.list_proxy_groups(proxy):
            yield make_warning(
                proxy,
                'the selector matches no group; compare it with '
                + '"sedgeshunt get group"',
            )
    for route in snapshot.routes.values():
        if not matcher.list_route_targets(route):
            yield make_warning(
                route,
                'the selectors match no target; compare them with '
                + '"sedgeshunt get target"',
            )
    yield from _check_overlaps(snapshot, matcher)


def _check_overlaps(
    snapshot: Snapshot,
    matcher: SelectorMatcher,
) -> Iterator[Problem]:
    # With two routes for one class and group, the deadline and age that apply
    # would depend on lookup order, which operators cannot see.
    first: dict[tuple[str, str], Route] = {}
    for route in snapshot.routes.values():
        for group in matcher.list_route_groups(route):
            other = first.setdefault((route.traffic_class, group), route)
            if other is not route:
                yield make_error(
                    route,
                    f'class {route.traffic_class} has route {other.name} for '
                    + f'group {group} already; make the selectors of groups '
                    + 'exclude each other',
                )
                break


def _check_objectives(snapshot: Snapshot) -> Iterator[Problem]:
    routed = {route.traffic_class for route in snapshot.routes.values()}
    first: dict[str, Objective] = {}
    for objective in snapshot.objectives.values():
        other = first.setdefault(objective.traffic_class, objective)
        if other is not objective:
            yield make_error(
                objective,
                f'class {objective.traffic_class} has objective {other.name} '
                + 'already; keep one of the two',
            )
        if objective.traffic_class not in routed:
            yield make_warning(
                objective,
                f'no route declares class {objective.traffic_class}; '
                + 'add one or correct the class',
            )
