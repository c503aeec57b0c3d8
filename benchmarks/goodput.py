"""Measure what whole proxies answer in time under overload."""

from asyncio import Task, create_task, gather, sleep
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from itertools import product
from random import Random
from unittest.mock import patch

from result import Ok, Result

from benchmarks.figures import (
    find_percentile,
    print_progress,
    print_table,
    show_milliseconds,
    show_share,
)
from benchmarks.trials import run_trials
from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic, TrafficClass
from sedgeshunt.limits.admission import TargetAdmission
from sedgeshunt.limits.permit import Permit
from sedgeshunt.limits.service_times import ANY_WORK
from sedgeshunt.requests.outcome import NotRun
from tests.deployment import KIGALI, URUGUAY, Deployment, Profile

SERVICE_TIME = 0.02
DEADLINE = 0.2
WARM_UP = 2
LENGTH = 6
LOADS = (1, 2, 5)
TARGETS = 3


@dataclass(frozen=True, slots=True)
class LoadTrial:
    """Describe one run."""

    name: str
    profile: Profile
    load: float
    is_baseline: bool
    seed: int = 1

    @property
    def capacity(self) -> float:
        """Return the statements that all targets can run in a second."""
        return TARGETS * self.profile.slots / SERVICE_TIME


@dataclass
class LoadReport:
    """Count the ends of requests and how long each took."""

    answered: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    late: int = 0


async def play(trial: LoadTrial) -> LoadReport:
    """Offer a multiple of the capacity to all proxies."""
    profile = replace(
        trial.profile,
        groups=trial.profile.groups[:1],
        service_time=SERVICE_TIME,
    )
    with ExitStack() as owned:
        if trial.is_baseline:
            owned.enter_context(
                patch.object(TargetAdmission, 'admit', _admit_all),
            )
        async with Deployment(profile, trial.seed) as deployment:
            return await _offer(deployment, trial)


async def _admit_all(
    admission: TargetAdmission,
    traffic_class: TrafficClass,
    weight: int,
    deadline: Monotonic,
) -> Result[Permit, NotRun]:
    # Without admission a statement waits for a connection only.
    return Ok(admission._start(traffic_class, ANY_WORK, read_clock()))


async def _offer(deployment: Deployment, trial: LoadTrial) -> LoadReport:
    random = Random(trial.seed)
    report = LoadReport()
    tasks: set[Task[None]] = set()
    names = list(deployment.nodes)
    rate = trial.capacity * trial.load
    start = read_clock()
    while read_clock() < start + WARM_UP + LENGTH:
        await sleep(random.expovariate(rate))
        is_counted = read_clock() >= start + WARM_UP
        task = create_task(
            _ask(
                deployment,
                random.choice(names),
                report if is_counted else LoadReport(),
            ),
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await gather(*tasks)
    return report


async def _ask(deployment: Deployment, proxy: str, report: LoadReport) -> None:
    caller = deployment.open_caller()
    await caller.connect(proxy)
    asked_at = read_clock()
    outcome = await caller.ask(
        'SELECT 1',
        deadline=DEADLINE,
        accepted_age=float(1),
    )
    spent = read_clock() - asked_at
    await caller.leave()
    if outcome.is_ok():
        report.answered.append(spent)
    elif isinstance(outcome.err(), NotRun):
        report.refused.append(spent)
    else:
        report.late += 1


def run() -> None:
    """Measure and print."""
    sizes = (('Kigali', KIGALI), ('Uruguay', URUGUAY))
    trials = [
        LoadTrial(name, profile, load, is_baseline)
        for (name, profile), is_baseline, load in product(
            sizes,
            (False, True),
            LOADS,
        )
    ]
    print_progress(f'goodput: {len(trials)} runs of {LENGTH} s')
    rows: list[list[object]] = []
    for trial, report in zip(trials, run_trials(play, trials)):
        refused = find_percentile(report.refused, 0.99)
        rows.append(
            [
                f'{trial.name}, {trial.load}x',
                'connections only' if trial.is_baseline else 'sedgeshunt',
                show_share(len(report.answered), trial.capacity * LENGTH),
                show_share(report.late, trial.capacity * LENGTH),
                show_milliseconds(find_percentile(report.answered, 0.99)),
                len(report.refused),
                show_milliseconds(refused),
            ],
        )
    header = ['load', 'way', 'answered in time', 'late', 'answer p99']
    header += ['refused', 'refusal p99']
    print_table(
        f'Share of capacity, deadline {DEADLINE * 1000:.0f} ms, times in ms',
        header,
        rows,
    )


if __name__ == '__main__':
    run()
