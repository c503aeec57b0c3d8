"""Measure the load of targets and the expected waits of traffic classes."""

from collections import Counter
from collections.abc import Iterable, Iterator

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Consistency, Route
from sedgeshunt.execution.call_admission import weigh_priority
from sedgeshunt.execution.group_access import GroupAccess
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.identifiers import Monotonic
from sedgeshunt.metrics import PageMetrics
from sedgeshunt.registry.configuration import LiveConfiguration

TARGET_LABELS = ('group', 'target')
WAIT_LABELS = ('group', 'target', 'traffic_class')


def measure_load(
    groups: Iterable[GroupAccess],
    configuration: LiveConfiguration,
    metrics: PageMetrics,
) -> None:
    """Set the levels of each target, and of each traffic class there."""
    accesses = tuple(groups)
    for name, level in _sum_levels(accesses).items():
        metrics.replace_levels(name, TARGET_LABELS, level)
    metrics.replace_levels(
        'traffic.expected_wait.seconds',
        WAIT_LABELS,
        dict(_list_waits(accesses, configuration)),
    )


def _sum_levels(
    accesses: Iterable[GroupAccess],
) -> dict[str, Counter[tuple[str, ...]]]:
    # A target that has just changed its role may still be used in both.
    levels: dict[str, Counter[tuple[str, ...]]] = {
        name: Counter()
        for name in ('target.queued', 'target.running', 'target.connections')
    }
    for access in accesses:
        for executor in access.list_executors():
            key = (access.group, executor.target.name)
            levels['target.queued'][key] += executor.admission.queued
            levels['target.running'][key] += executor.admission.running
            levels['target.connections'][key] += executor.pool.open_count
    return levels


def _list_waits(
    accesses: Iterable[GroupAccess],
    configuration: LiveConfiguration,
) -> Iterator[tuple[tuple[str, ...], float]]:
    now = read_clock()
    by_group = {access.group: access for access in accesses}
    for route in configuration.declared.routes.values():
        access = by_group.get(configuration.find_group(route))
        if access is not None:
            yield from _list_route_waits(access, route, now)


def _list_route_waits(
    access: GroupAccess,
    route: Route,
    now: Monotonic,
) -> Iterator[tuple[tuple[str, ...], float]]:
    weight = weigh_priority(route.priority)
    for executor in _list_reached(access, route):
        key = (access.group, executor.target.name, route.traffic_class)
        yield (
            key,
            executor.admission.expect_class_wait(
                route.traffic_class, weight, now
            ),
        )


def _list_reached(
    access: GroupAccess,
    route: Route,
) -> list[TargetExecutor]:
    """List the targets here that statements of a route may run at."""
    if route.consistency is not Consistency.CURRENT:
        return access.list_executors()
    primary = None if access.owner is None else access.owner.executor
    return [] if primary is None else [primary]
