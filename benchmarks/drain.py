"""Measure how soon a leaving instance gets no new work."""

from asyncio import Task, create_task, gather, sleep
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from itertools import count

from benchmarks.figures import (
    find_percentile,
    print_progress,
    print_table,
    show_milliseconds,
    show_percentiles,
)
from benchmarks.trials import run_trials
from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import ObjectKind
from sedgeshunt.configuration.registry import ConfigurationRegistry
from sedgeshunt.identifiers import GroupId, ZoneId
from sedgeshunt.ports import Address, InstanceState, ListedInstance
from tests.deployment import KIGALI, Deployment, ProxyGone
from tests.standins.network import Place
from tests.standins.platform import MemoryKeyValue
from tests.standins.records import EventKind

TRIALS = 5
EVERY = 0.005
WARM_UP = 1
WATCHED = 10
LIST_LAG = 5
LABEL, LIST, ANNOUNCEMENT, PRIMARY = (
    'label',
    f'list that lags {LIST_LAG} s',
    'announcement',
    'label, primary',
)
# A transaction stays open for this long.
THINK_TIME = 0.1


@dataclass(frozen=True, slots=True)
class DrainTrial:
    """Describe one run."""

    way: str
    seed: int


@dataclass
class StopReport:
    """Count the requests of callers while proxies stop."""

    asked: int = 0
    cut: int = 0
    stops: int = 0
    spent: list[float] = field(default_factory=list)


async def play_target(trial: DrainTrial) -> float:
    """Let a target leave; return the time to its last new statement."""
    profile = replace(KIGALI, groups=KIGALI.groups[:1])
    async with Deployment(profile, trial.seed) as deployment:
        loading = create_task(_load(deployment, StopReport()))
        await sleep(WARM_UP + trial.seed / TRIALS)
        name = f'{profile.groups[0]}-db2'
        if trial.way == PRIMARY:
            name = f'{profile.groups[0]}-db1'
        left_at = read_clock()
        await _announce(deployment, trial.way, name)
        await sleep(WATCHED)
        loading.cancel()
        group = deployment.groups[GroupId(profile.groups[0])]
        runs = [
            event.at
            for event in group.list_events(EventKind.RAN, 'turns')
            if event.database == name
        ]
        return max(0, max(runs, default=0) - left_at)


async def _announce(deployment: Deployment, way: str, name: str) -> None:
    if way == LIST:
        deployment.instances.lateness = LIST_LAG
        line = ListedInstance(
            name,
            Address('127.0.0.1', 3002),
            ZoneId(deployment.profile.zones[1]),
            InstanceState.LEAVING,
        )
        newest = deployment.instances.list_newest()
        deployment.instances.publish([*newest, line])
    elif way == ANNOUNCEMENT:
        for node in deployment.nodes.values():
            await node.proxy.announce_leaving(name)
    else:
        place = Place('operator', deployment.profile.zones[0])
        registry = ConfigurationRegistry(
            MemoryKeyValue(deployment.platform, place),
            'ann',
        )
        key = ObjectKey(ObjectKind.TARGET, name)
        await registry.set_labels(key, {'state': 'leaving'}, 'benchmark')


async def play_stop(trial: DrainTrial) -> StopReport:
    """Stop each proxy gracefully, one after the other, under load."""
    profile = replace(KIGALI, groups=KIGALI.groups[:1])
    report = StopReport()
    async with Deployment(profile, trial.seed) as deployment:
        loading = create_task(_load(deployment, report))
        await sleep(WARM_UP + trial.seed / TRIALS)
        for name in tuple(deployment.nodes):
            under_way = tuple(deployment.nodes[name].requests)
            started = read_clock()
            await deployment.stop_proxy(name)
            report.spent.append(read_clock() - started)
            report.stops += 1
            report.cut += sum(request.cancelled() for request in under_way)
            deployment.start_proxy(name)
            await sleep(WARM_UP)
        loading.cancel()
    return report


async def _load(deployment: Deployment, report: StopReport) -> None:
    tasks: set[Task[None]] = set()
    try:
        for number, proxy in zip(count(), _go_round(deployment)):
            task = create_task(_ask(deployment, proxy, number, report))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await sleep(EVERY)
    finally:
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)


def _go_round(deployment: Deployment) -> Iterator[str]:
    # A balancer sends new callers to proxies that take them only.
    for number in count():
        names = [
            name
            for name in deployment.list_running()
            if not deployment.nodes[name].proxy.recorder.is_stopping
        ]
        yield names[number % len(names)]


async def _ask(
    deployment: Deployment,
    proxy: str,
    number: int,
    report: StopReport,
) -> None:
    caller = deployment.open_caller()
    statements = ['SELECT count(*) FROM turns']
    age: float | None = 1
    if number % 5 == 0:
        age = None
        write = f"INSERT INTO turns (ref) VALUES ('d{number}')"
        statements = ['BEGIN', write, 'COMMIT']
    try:
        await caller.connect(proxy)
        for sql in statements:
            report.asked += 1
            await caller.ask(sql, accepted_age=age)
            if sql == 'BEGIN':
                await sleep(THINK_TIME)
    except ProxyGone:
        report.cut += 1
    await caller.leave()


def run() -> None:
    """Measure and print."""
    print_progress(f'drain: {TRIALS} runs of each way')
    rows: list[list[object]] = []
    for way in (LABEL, LIST, ANNOUNCEMENT, PRIMARY):
        trials = [DrainTrial(way, seed) for seed in range(1, TRIALS + 1)]
        spent = list(run_trials(play_target, trials))
        rows.append([way, TRIALS, *show_percentiles(spent)])
    header = ['way', 'times', 'p50', 'p99', 'max']
    print_table('Last new work on a leaving target after, in ms', header, rows)
    trials = [DrainTrial('stop', seed) for seed in range(1, TRIALS + 1)]
    reports = list(run_trials(play_stop, trials))
    spent = [each for report in reports for each in report.spent]
    print_table(
        'Graceful stops of proxies under load, times in ms',
        ['stops', 'requests', 'cut', 'stop p50', 'stop p99'],
        [
            [
                str(sum(report.stops for report in reports)),
                sum(report.asked for report in reports),
                sum(report.cut for report in reports),
                show_milliseconds(find_percentile(spent, 0.5)),
                show_milliseconds(find_percentile(spent, 0.99)),
            ],
        ],
    )


if __name__ == '__main__':
    run()
