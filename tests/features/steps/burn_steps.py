"""Check the report on service-level burn."""

from itertools import chain
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from behave import given, then, when

from sedgeshunt.burn.copies import TallyCopies
from sedgeshunt.burn.plot import draw_report
from sedgeshunt.burn.report import build_report
from sedgeshunt.burn.tally import Tally
from sedgeshunt.configuration.objects import Objective
from sedgeshunt.identifiers import (
    GroupId,
    Monotonic,
    ProxyId,
    Seconds,
    TrafficClass,
)

HOUR = 3600
SIGNATURES = {'png': b'\x89PNG', 'svg': b'<?xml'}


class SimulatedProxies:
    """Hold tallies of proxies with different clocks, and their copies."""

    def __init__(self, objective: Objective) -> None:
        self.objective = objective
        self.now: float = 0
        self.offsets: dict[str, float] = {}
        self.tallies: dict[str, Tally] = {}
        self.copies: dict[str, TallyCopies] = {}

    def start(self, name: str) -> None:
        self.tallies[name] = Tally(name)
        self.copies[name] = TallyCopies()
        # The origin of the clock differs between runs of a process.
        self.offsets[name] = 1000 * len(self.offsets) + 77 - self.now / 2

    def read_clock(self, name: str) -> Monotonic:
        return Monotonic(self.now + self.offsets[name])

    def encode(self, name: str) -> list[bytes]:
        now = self.read_clock(name)
        return [self.tallies[name].encode(now), *self.copies[name].encode(now)]


@given(
    'proxies whose objective is {share:d} % of "{name}" within {within:d} ms'
)
def start_proxies(context: Any, share: int, name: str, within: int) -> None:
    context.proxies = SimulatedProxies(
        Objective(
            name,
            TrafficClass(name),
            answered_share=share / 100,
            within_ms=within,
        ),
    )
    context.proxies.start('p1')
    context.proxies.start('p2')


@when('"{proxy}" counts {count:d} "{what}" of "{name}" in {spent:d} ms')
def count(
    context: Any,
    proxy: str,
    count: int,
    what: str,
    name: str,
    spent: int,
) -> None:
    ended, _, target = what.partition(' at ')
    outcome, _, cause = ended.partition(' ')
    now = context.proxies.read_clock(proxy)
    outcome_args = (name, outcome, cause, target, Seconds(spent / 1000), now)
    for _ in range(count):
        context.proxies.tallies[proxy].record_outcome(*outcome_args)


@when(
    '"{proxy}" counts in each of {hours:d} hours {number:d} "{what}" '
    'of "{name}" in {spent:d} ms',
)
def count_hourly(
    context: Any, hours: int, number: int, **outcome_args: Any
) -> None:
    for _ in range(hours):
        context.proxies.now += HOUR
        count(context, count=number, **outcome_args)


@when('"{proxy}" counts {number:d} distinct classes and targets')
def count_distinct(context: Any, proxy: str, number: int) -> None:
    for each in range(number):
        count(context, proxy, 1, 'not-run attribute', f'class-{each}', 0)
        count(context, proxy, 1, f'done at target-{each}', 'status', 0)


@when('"{owner}" fetches the counts of "{proxy}"')
@when('"{owner}" fetches the counts of "{proxy}" after {seconds:d} s')
def fetch(context: Any, owner: str, proxy: str, seconds: int = 0) -> None:
    proxies = context.proxies
    proxies.now += seconds
    now = proxies.read_clock(owner)
    since = proxies.copies[owner].find_missing(ProxyId(proxy), now)
    encoded = proxies.tallies[proxy].encode(proxies.read_clock(proxy), since)
    proxies.copies[owner].add(encoded, now)


@when('"{proxy}" is replaced by a new run')
def replace_proxy(context: Any, proxy: str) -> None:
    context.proxies.start(proxy)


@when('these periods without writes are recorded')
def record_gaps(context: Any) -> None:
    for row in context.table:
        context.proxies.now = float(row['ended at'])
        context.proxies.tallies[row['proxy']].record_gap(
            GroupId('songbook'),
            Seconds(float(row['seconds'])),
            context.proxies.read_clock(row['proxy']),
        )


@then('the burn report of "{names}" is "{state}"')
def check_state(context: Any, names: str, state: str) -> None:
    proxies = context.proxies
    expected = [ProxyId(name) for name in names.split(', ')]
    running = [name for name in expected if name in proxies.tallies]
    documents = chain.from_iterable(map(proxies.encode, running))
    context.report = build_report(documents, [proxies.objective], expected)
    context.burn = context.report.objectives[0]
    assert context.burn.state.value == state, context.report


@then('it names "{proxy}" as missing')
def check_missing(context: Any, proxy: str) -> None:
    assert context.report.missing == (proxy,)


@then('its main causes are "{causes}"')
def check_causes(context: Any, causes: str) -> None:
    found = [
        f'{cause.count} {cause.kind.outcome} '
        + (cause.kind.cause or f'at {cause.kind.target}')
        for cause in context.burn.causes
    ]
    assert ', '.join(found) == causes, found


@then('between {low:d} % and {high:d} % of the budget are left')
def check_budget(context: Any, low: int, high: int) -> None:
    assert low <= context.burn.budget_left * 100 <= high, context.burn


@then('it counts {total:d} requests, {bad:d} of them bad')
def check_counts(context: Any, total: int, bad: int) -> None:
    for window in context.burn.windows[1:]:
        spending = window.spending
        assert (spending.total, spending.bad) == (total, bad), window


@then('it has gaps of "{lengths}" s, {over:d} over the objective')
def check_gaps(context: Any, lengths: str, over: int) -> None:
    found = [f'{gap.seconds:g}' for gap in context.report.gaps[0].gaps]
    assert ', '.join(found) == lengths, found
    assert context.burn.gaps_over == over


@then('the counts of "{proxy}" take less than {size:d} bytes')
def check_size(context: Any, proxy: str, size: int) -> None:
    assert len(context.proxies.encode(proxy)[0]) < size


@then('it is drawn as PNG and SVG')
def check_drawn(context: Any) -> None:
    with TemporaryDirectory() as folder:
        for suffix, signature in SIGNATURES.items():
            path = Path(folder) / f'burn.{suffix}'
            draw_report(context.report, path)
            assert path.read_bytes().startswith(signature)
