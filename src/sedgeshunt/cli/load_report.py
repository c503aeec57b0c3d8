"""Bring the load that instances report together."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

from msgspec import Struct

from sedgeshunt.metrics import Samples

PREFIX = 'sedgeshunt_'
QUEUED = f'{PREFIX}target_queued'
RUNNING = f'{PREFIX}target_running'
CONNECTIONS = f'{PREFIX}target_connections'
EXPECTED_WAIT = f'{PREFIX}traffic_expected_wait_seconds'
REFUSALS = f'{PREFIX}traffic_refusals'
TARGET_LABELS = ('group', 'target')
CLASS_LABELS = ('group', 'target', 'traffic_class')
REFUSAL_LABELS = ('group', 'traffic_class', 'cause')
MILLISECONDS = 1000

Key = tuple[str, ...]


class PageAnswer(Struct, frozen=True):
    """Hold one instance's metrics, or why there are none."""

    instance: str
    samples: Samples | None
    failure: str = ''


class TargetLoad(Struct, frozen=True):
    """Hold the statements and connections at one target."""

    group: str
    target: str
    running: int
    queued: int
    connections: int
    # The number of instances that use the target.
    instances: int


class ClassWait(Struct, frozen=True):
    """Hold the longest wait that an instance expects for a class."""

    group: str
    target: str
    traffic_class: str
    expected_wait_ms: float


class ClassRefusals(Struct, frozen=True):
    """Hold the statements of a class refused since the instances' start."""

    group: str
    traffic_class: str
    by_cause: dict[str, int]


class MissingInstance(Struct, frozen=True):
    """Name an instance whose page could not be read."""

    instance: str
    failure: str


class LoadReport(Struct, frozen=True):
    """Hold the load of all instances that were read."""

    targets: list[TargetLoad]
    waits: list[ClassWait]
    refusals: list[ClassRefusals]
    missing: list[MissingInstance]


def build_load_report(answers: Iterable[PageAnswer]) -> LoadReport:
    """Add up what each instance reports of its own statements."""
    given = tuple(answers)
    pages = [each.samples for each in given if each.samples is not None]
    return LoadReport(
        _build_targets(pages),
        _build_waits(pages),
        _build_refusals(pages),
        [
            MissingInstance(each.instance, each.failure)
            for each in given
            if each.samples is None
        ],
    )


def _build_targets(pages: list[Samples]) -> list[TargetLoad]:
    running = _sum_by(pages, RUNNING, TARGET_LABELS)
    connections = _sum_by(pages, CONNECTIONS, TARGET_LABELS)
    queued = _sum_by(pages, QUEUED, TARGET_LABELS)
    users = Counter(
        key for key, _ in _list_amounts(pages, QUEUED, TARGET_LABELS)
    )
    # A page with more targets than its bound may list one in some metrics only.
    return [
        TargetLoad(
            key[0],
            key[1],
            running[key],
            queued[key],
            connections[key],
            users[key],
        )
        for key in sorted({*running, *connections, *queued})
    ]


def _build_waits(pages: list[Samples]) -> list[ClassWait]:
    longest: defaultdict[Key, float] = defaultdict(float)
    for key, wait in _list_amounts(pages, EXPECTED_WAIT, CLASS_LABELS):
        longest[key] = max(longest[key], wait)
    return [_make_wait(place, longest[place]) for place in sorted(longest)]


def _make_wait(key: Key, wait: float) -> ClassWait:
    group, target, traffic_class = key
    wait_ms = round(wait * MILLISECONDS, 1)
    return ClassWait(group, target, traffic_class, wait_ms)


def _build_refusals(pages: list[Samples]) -> list[ClassRefusals]:
    by_class: defaultdict[Key, dict[str, int]] = defaultdict(dict)
    totals = _sum_by(pages, REFUSALS, REFUSAL_LABELS)
    for key in sorted(totals):
        by_class[key[:2]][key[2]] = totals[key]
    return [
        ClassRefusals(place[0], place[1], by_class[place]) for place in by_class
    ]


def _sum_by(
    pages: list[Samples],
    metric: str,
    labels: tuple[str, ...],
) -> Counter[Key]:
    totals: Counter[Key] = Counter()
    for key, amount in _list_amounts(pages, metric, labels):
        totals[key] += int(amount)
    return totals


def _list_amounts(
    pages: list[Samples],
    metric: str,
    labels: tuple[str, ...],
) -> Iterator[tuple[Key, float]]:
    for page in pages:
        for sample in page.get(metric, ()):
            key = tuple(sample.labels.get(label, '') for label in labels)
            yield key, sample.amount
