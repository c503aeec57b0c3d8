"""Check that a set of objects makes sense together."""

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
    note_error,
    note_warning,
)
from sedgeshunt.configuration.selector_matcher import SelectorMatcher
from sedgeshunt.configuration.snapshot import Snapshot

_LEAST_BY_FIELD = {
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
    """List everything wrong with the objects, errors first."""
    problems: list[Problem] = []
    for declared in snapshot.list_objects():
        problems.extend(_check_labels(declared))
        problems.extend(_check_selectors(declared))
        problems.extend(_check_numbers(declared))
    problems.extend(check_addresses(snapshot))
    problems.extend(check_groups(snapshot))
    problems.extend(_check_reach(snapshot))
    problems.extend(_check_objectives(snapshot))
    return sorted(problems, key=lambda problem: problem.severity.value)


def list_errors(snapshot: Snapshot) -> list[Problem]:
    """List only what keeps the objects from being applied."""
    return [
        problem
        for problem in check_objects(snapshot)
        if problem.severity is Severity.ERROR
    ]


def _check_labels(declared: ConfigurationObject) -> Iterator[Problem]:
    for key, content in declared.labels.items():
        if key in COMPUTED_LABELS:
            yield note_error(
                declared,
                f'label "{key}" is computed from the field; remove it',
            )
        elif not is_label_key(key) or not is_label_value(content):
            yield note_error(
                declared,
                f'label "{key}={content}" cannot be selected; use letters, '
                + 'digits, ".", "_" and "-", and "/" in the key, at most 63',
            )
    state = declared.labels.get(STATE_LABEL, LEAVING)
    if state != LEAVING:
        # A mistyped state would look like a drain and drain nothing.
        yield note_error(
            declared,
            f'label "{STATE_LABEL}={state}" means nothing; write '
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
            yield note_error(declared, f'selector "{name}": {read.err()}')


def _check_numbers(declared: ConfigurationObject) -> Iterator[Problem]:
    for name, least in _LEAST_BY_FIELD.items():
        number = getattr(declared, name, least)
        if number < least:
            yield note_error(
                declared,
                f'{name} is {number}; set it to {least} or more',
            )
    if isinstance(declared, Objective) and not 0 < declared.answered_share < 1:
        yield note_error(
            declared,
            f'answered_share is {declared.answered_share}; '
            + 'set it between 0 and 1, for example 0.999',
        )


def _check_reach(snapshot: Snapshot) -> Iterator[Problem]:
    reach = SelectorMatcher(snapshot)
    for proxy in snapshot.proxies.values():
        if snapshot.groups and not reach.list_proxy_groups(proxy):
            yield note_warning(
                proxy,
                'the selector matches no group; compare it with '
                + '"sedgeshunt get group"',
            )
    for route in snapshot.routes.values():
        if not reach.list_route_targets(route):
            yield note_warning(
                route,
                'the selectors match no target; compare them with '
                + '"sedgeshunt get target"',
            )
    yield from _check_overlaps(snapshot, reach)


def _check_overlaps(
    snapshot: Snapshot, reach: SelectorMatcher
) -> Iterator[Problem]:
    # With two routes for one class and group it depends on the reader which
    # deadline and age hold; operators could not tell from the outside.
    first: dict[tuple[str, str], Route] = {}
    for route in snapshot.routes.values():
        for group in reach.list_route_groups(route):
            rival = first.setdefault((route.traffic_class, group), route)
            if rival is not route:
                yield note_error(
                    route,
                    f'class {route.traffic_class} has route {rival.name} for '
                    + f'group {group} already; make the selectors of groups '
                    + 'exclude each other',
                )
                break


def _check_objectives(snapshot: Snapshot) -> Iterator[Problem]:
    routed = {route.traffic_class for route in snapshot.routes.values()}
    first: dict[str, Objective] = {}
    for objective in snapshot.objectives.values():
        rival = first.setdefault(objective.traffic_class, objective)
        if rival is not objective:
            yield note_error(
                objective,
                f'class {objective.traffic_class} has objective {rival.name} '
                + 'already; keep one of the two',
            )
        if objective.traffic_class not in routed:
            yield note_warning(
                objective,
                f'no route declares class {objective.traffic_class}; '
                + 'add one or correct the class',
            )
