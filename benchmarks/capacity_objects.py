"""Measure what a configuration of a chosen size costs one proxy."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from time import perf_counter
from tracemalloc import get_traced_memory, start, stop
from typing import Any

from benchmarks.capacity_fit import Fit, fit_line
from benchmarks.figures import print_progress
from sedgeshunt.configuration.active import ActiveConfiguration
from sedgeshunt.configuration.encoding import encode_object
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import (
    ConfigurationObject,
    Group,
    Proxy,
    Target,
)
from sedgeshunt.configuration.selector_matcher import SelectorMatcher
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.decisions import MemoryDecisionLog
from sedgeshunt.identifiers import GroupId, Revision, TargetId, ZoneId
from sedgeshunt.ports import KeyValue, Listing, WatchEvent

# The last is 800 groups, 2,400 targets, 1,500 proxies and 20 more.
SIZES = (100, 400, 1600, 4720)
# Of each 47 objects 8 are groups, 24 targets and 15 proxies, as at 800
# groups, 2,400 databases and 1,500 proxies.
GROUPS_SHARE = 8 / 47
PROXIES_SHARE = 15 / 47
TIMES = 5
SERVED = 3
MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Costs:
    """Hold what one size costs; times in ms, sizes in KB."""

    listing: float
    change: float
    copying: float
    memory: float
    copy_size: float
    chosen: float
    asked: float


def declare(count: int) -> list[ConfigurationObject]:
    """Declare about so many objects in the shares of the letter's size."""
    groups = max(1, round(count * GROUPS_SHARE))
    proxies = max(1, round(count * PROXIES_SHARE))
    random = Random(count)
    declared: list[ConfigurationObject] = []
    for number in range(groups):
        name = GroupId(f'songbook-{number:04}')
        labels = {'share': f's{number % max(1, groups // SERVED)}'}
        declared.append(Group(name, labels))
        for member in range(3):
            declared.append(
                Target(
                    TargetId(f'{name}-db{member}'),
                    name,
                    f'10.{member}.{number // 250}.{number % 250}',
                    3306,
                    ZoneId(f'kg-zone-{random.randrange(10)}'),
                ),
            )
    for number in range(proxies):
        declared.append(
            Proxy(
                f'entry-{number:04}',
                ZoneId(f'kg-zone-{number % 10}'),
                f'10.9.{number // 250}.{number % 250}',
                7100,
                groups=f'share=s{number % max(1, groups // SERVED)}',
            ),
        )
    return declared


def measure_objects() -> list[Fit]:
    """Measure listing, change, copy and the questions to the snapshot."""
    found = []
    for size in SIZES:
        print_progress(f'capacity: configuration of {size} objects')
        found.append(_measure_size(size))
    readings: tuple[tuple[str, str, Callable[[Costs], float]], ...] = (
        ('apply a whole listing', 'ms', lambda costs: costs.listing),
        ('apply one change of a watch', 'ms', lambda costs: costs.change),
        ('encode a copy for a peer', 'ms', lambda costs: costs.copying),
        ('memory of a configuration', 'KB', lambda costs: costs.memory),
        ('a whole copy', 'KB', lambda costs: costs.copy_size),
        ('choose the served groups', 'ms', lambda costs: costs.chosen),
        ('find the proxies of a group', 'ms', lambda costs: costs.asked),
    )
    return [
        fit_line(name, unit, 'object', SIZES, [read(each) for each in found])
        for name, unit, read in readings
    ]


def _measure_size(size: int) -> Costs:
    listing = _make_listing(declare(size))
    active = _make_active()
    event = _make_event(listing)
    start()
    active.apply_listing(listing)
    memory = get_traced_memory()[0]
    stop()
    copy = active.encode_copy(Revision(0))
    reach = SelectorMatcher(active.snapshot)
    proxy = next(iter(active.snapshot.proxies.values()))
    group = next(iter(active.snapshot.groups))
    return Costs(
        _time(_make_active, lambda fresh: _list(fresh, listing)),
        _time(
            lambda: _make_loaded(listing),
            lambda loaded: _change(loaded, event),
        ),
        _time(
            lambda: _make_loaded(listing),
            lambda loaded: loaded.encode_copy(Revision(0)),
        ),
        memory / 1024,
        len(copy.document) / 1024 if copy else 0,
        _time(lambda: reach, lambda known: known.list_proxy_groups(proxy)),
        _time(lambda: reach, lambda known: known.list_group_proxies(group)),
    )


def _list(active: ActiveConfiguration, listing: Listing) -> None:
    active.apply_listing(listing)
    active.snapshot.list_targets(GroupId('songbook-0000'))


def _change(active: ActiveConfiguration, event: WatchEvent) -> None:
    active.apply_events([event])
    # The index is built at the first question after a change.
    active.snapshot.list_targets(GroupId('songbook-0000'))


def _time(
    prepare: Callable[[], Any],
    action: Callable[[Any], object],
) -> float:
    spent = []
    for _ in range(TIMES):
        prepared = prepare()
        started = perf_counter()
        action(prepared)
        spent.append(perf_counter() - started)
    # The least is what it costs when nothing else takes the core.
    return min(spent) * MILLISECONDS


def _make_active() -> ActiveConfiguration:
    return ActiveConfiguration(_ignore, MemoryDecisionLog())


def _ignore(snapshot: Snapshot) -> None:
    """Do nothing with a new configuration."""


def _make_loaded(listing: Listing) -> ActiveConfiguration:
    active = _make_active()
    active.apply_listing(listing)
    return active


def _make_listing(declared: Sequence[ConfigurationObject]) -> Listing:
    pairs = [
        KeyValue(
            ObjectKey.of(each).path,
            encode_object(each),
            Revision(number),
        )
        for number, each in enumerate(declared, 1)
    ]
    return Listing(Revision(len(pairs)), pairs)


def _make_event(listing: Listing) -> WatchEvent:
    pair = listing.pairs[-1]
    return WatchEvent(pair.key, pair.value, Revision(listing.revision + 1))
