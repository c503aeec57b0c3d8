"""Find times at which two proxies owned a group, by their logs."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import combinations
from json import loads

# A loss is logged this much after it at the latest, with a margin.
LATE_LINES = 0.3
CLAIMED = 'group-claimed'
ENDS = frozenset(('group-lost', 'group-released'))
# Lines of a process that owns nothing.
KILLED = 'proxy-killed'
PROCESS_ENDS = frozenset(('proxy-started', 'proxy-stopped', KILLED))


@dataclass(frozen=True, slots=True)
class Span:
    """Hold a time from its begin to its end."""

    began_at: float
    ended_at: float

    @property
    def length(self) -> float:
        """Return its length, 0 if it ends before it begins."""
        return max(0, self.ended_at - self.began_at)

    def intersect(self, other: 'Span') -> 'Span':
        """Return the time that is in both."""
        return Span(
            max(self.began_at, other.began_at),
            min(self.ended_at, other.ended_at),
        )


@dataclass(frozen=True, slots=True)
class Line:
    """Hold a line of a log that begins or ends an ownership."""

    at: float
    event: str
    group: str = ''


@dataclass
class ProxyHistory:
    """Hold what one proxy logged, and what happened to its process."""

    lines: Sequence[Line] = ()
    kills: list[float] = field(default_factory=list)
    # Times at which the process was suspended.
    pauses: list[Span] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Period:
    """Hold one ownership of a group."""

    proxy: str
    group: str
    span: Span


@dataclass(frozen=True, slots=True)
class Overlap:
    """Hold two ownerships of a group that overlap."""

    one: Period
    other: Period
    span: Span
    # Its length without the time in which one of the two was suspended.
    length: float

    def describe(self) -> str:
        """Return it as one line."""
        return (
            f'{self.one.proxy} and {self.other.proxy} own {self.one.group} '
            f'for {self.length:.2f} s from {self.span.began_at:.3f}'
        )


def read_lines(log: str) -> list[Line]:
    """Read the lines of a log that begin or end an ownership."""
    found = []
    for text in log.splitlines():
        if not text.startswith('{'):
            continue
        document = loads(text)
        event = document.get('message_type', '')
        if event == CLAIMED or event in ENDS or event in PROCESS_ENDS:
            group = document.get('group', '')
            found.append(Line(document['timestamp'], event, group))
    return found


def list_overlaps(
    proxies: Mapping[str, ProxyHistory],
    until: float,
) -> list[Overlap]:
    """List the times at which two proxies owned a group."""
    periods = [
        period
        for name, proxy in proxies.items()
        for period in _list_periods(name, proxy, until)
    ]
    found = []
    for one, other in combinations(periods, 2):
        if one.group != other.group or one.proxy == other.proxy:
            continue
        span = one.span.intersect(other.span)
        pauses = (*proxies[one.proxy].pauses, *proxies[other.proxy].pauses)
        length = _measure_without(span, pauses)
        if length > 0:
            found.append(Overlap(one, other, span, length))
    return sorted(found, key=lambda overlap: overlap.span.began_at)


def list_violations(overlaps: Iterable[Overlap]) -> list[Overlap]:
    """Return the overlaps that late lines don't explain."""
    return [one for one in overlaps if one.length > LATE_LINES]


def _list_periods(
    name: str,
    proxy: ProxyHistory,
    until: float,
) -> Iterator[Period]:
    began: dict[str, float] = {}
    kills = [Line(at, KILLED) for at in proxy.kills]
    lines = sorted((*proxy.lines, *kills), key=lambda line: line.at)
    for line in lines:
        if line.event == CLAIMED:
            began.setdefault(line.group, line.at)
        elif line.event in ENDS:
            if line.group in began:
                span = Span(began.pop(line.group), line.at)
                yield Period(name, line.group, span)
        elif line.event in PROCESS_ENDS:
            for group, began_at in began.items():
                yield Period(name, group, Span(began_at, line.at))
            began.clear()
    for group, began_at in began.items():
        yield Period(name, group, Span(began_at, until))


def _measure_without(span: Span, pauses: Iterable[Span]) -> float:
    """Return the length of a time without some others."""
    length = float(0)
    reached = span.began_at
    for pause in sorted(pauses, key=lambda one: one.began_at):
        length += max(0, min(pause.began_at, span.ended_at) - reached)
        reached = max(reached, pause.ended_at)
    return length + max(0, span.ended_at - reached)
