"""Hold what callers were told against what the databases saw."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from re import compile as compile_pattern
from typing import Any

from examples.demo.ledger import Kind, Ledger, Outcome

Event = Mapping[str, Any]
DRAIN_TIME = 3
REFERENCE = compile_pattern(r'(?:turn|play)-\d+')
SELECT = compile_pattern(r'^\s*(?:/\*.*?\*/\s*)?SELECT[^@]*\bFROM\b')


@dataclass(frozen=True, slots=True)
class Promise:
    """Hold one promise and what breaks it; nothing means it was kept."""

    name: str
    checked: int
    broken: Sequence[str]


@dataclass(frozen=True, slots=True)
class Service:
    """Hold the two figures that users measure; None if not seen."""

    replica_share: float | None
    failover_gap: float | None


@dataclass(frozen=True, slots=True)
class Drained:
    """Hold which target was told to leave, and when."""

    target: str
    # The monotonic clock is the same in all processes of one machine.
    at: float


def find_primary(history: Iterable[Event]) -> str:
    """Return who was promoted last."""
    return [
        str(event['database'])
        for event in history
        if event['kind'] == 'promoted'
    ][-1]


def check_drain(drained: Drained, history: Iterable[Event]) -> Promise:
    """Check that a leaving target got no work after a few seconds."""
    late = [
        event['sql']
        for event in history
        if event['kind'] == 'ran'
        and event['database'] == drained.target
        and event['at'] > drained.at + DRAIN_TIME
    ]
    return Promise('a leaving target gets no new work after 3 s', 1, late)


def measure_service(history: Iterable[Event]) -> Service:
    """Measure the share of replicas and the first failover's gap."""
    primary = ''
    killed_at: float | None = None
    gap: float | None = None
    reads: Counter[bool] = Counter()
    for event in history:
        kind = event['kind']
        if kind == 'promoted':
            primary = event['database']
        elif kind == 'killed' and event['database'] == primary:
            killed_at = event['at']
        elif kind == 'ran' and SELECT.match(event['sql']):
            reads[event['database'] != primary] += 1
        elif kind == 'committed' and killed_at is not None and gap is None:
            gap = event['at'] - killed_at
    total = reads.total()
    return Service(reads[True] / total if total else None, gap)


def check_promises(
    ledger: Ledger,
    history: Sequence[Event],
    kept: Sequence[str],
) -> list[Promise]:
    """Check each promise; `kept` are the rows there at the end."""
    writes = (Kind.TURN, Kind.PLAY)
    acknowledged = ledger.list_references(writes, Outcome.DONE)
    refused = ledger.list_references([Kind.PLAY], Outcome.NOT_RUN)
    counts = Counter(kept)
    runs = _count_runs(history)
    plays = [name for name in runs if name.startswith('play')]
    reads = ledger.count(Kind.OWN)[Outcome.DONE]
    return [
        Promise(
            'a session reads its own write, on any proxy',
            reads,
            ledger.not_found,
        ),
        Promise(
            'an acknowledged write is there at the end',
            len(acknowledged),
            sorted(acknowledged - set(counts)),
        ),
        Promise(
            'what was refused as "not run" did not run',
            len(refused),
            sorted(refused & set(runs)),
        ),
        Promise(
            'a request that is not repeatable ran at most once',
            len(plays),
            sorted(name for name in plays if runs[name] > 1),
        ),
        Promise(
            'a request with an id took effect at most once',
            len(counts),
            sorted(name for name in counts if counts[name] > 1),
        ),
    ]


def _count_runs(history: Iterable[Event]) -> Counter[str]:
    return Counter(
        reference
        for event in history
        if event['kind'] == 'ran' and 'INSERT INTO plays' in event['sql']
        for reference in REFERENCE.findall(event['sql'])
    )
