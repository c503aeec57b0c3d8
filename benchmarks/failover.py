"""Measure how long a group takes no writes after its primary fails."""

from asyncio import create_task, sleep
from collections import Counter
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass, replace
from enum import Enum
from random import Random

from benchmarks.figures import print_progress, print_table, show_percentiles
from benchmarks.lease_model import wait_for_lease
from benchmarks.slowness import measure_slowness
from benchmarks.trials import run_trials
from benchmarks.writers import SteadyWriters
from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import GroupId
from tests.deployment import KIGALI, URUGUAY, Deployment, Profile
from tests.standins.databases import Database
from tests.standins.network import PLATFORM

TRIALS = 40
BASELINE_TRIALS = 2
# The lease runs out alike after these two; the rest adds nothing.
BASELINE_FAULTS = ('killed', 'frozen')
WARM_UP = 1
LIMIT = 20
SETTLE = 2


class Fault(Enum):
    """Name what happens to the primary."""

    KILLED = 'killed'
    CUT = 'cut off with its zone'
    FROZEN = 'frozen'
    NO_SERVICE = 'killed, key-value service down'


@dataclass(frozen=True, slots=True)
class Trial:
    """Describe one failover."""

    profile: Profile
    fault: Fault
    seed: int
    is_baseline: bool = False


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold what callers saw of one failover; times in seconds."""

    gap: float
    # Until the last proxy that reaches a majority acknowledged again.
    gap_everywhere: float
    acknowledged: int
    lost: int
    doubled: int


async def play(trial: Trial) -> Outcome:
    """Run one failover."""
    with ExitStack() as owned:
        if trial.is_baseline:
            wait_for_lease(trial.seed, owned)
        # Proxies treat each group by itself, so one of the three is run.
        profile = replace(trial.profile, groups=trial.profile.groups[:1])
        async with Deployment(profile, trial.seed) as deployment:
            return await _fail_over(deployment, trial)


async def _fail_over(deployment: Deployment, trial: Trial) -> Outcome:
    group = deployment.groups[GroupId(deployment.profile.groups[0])]
    primary = group.find_leader()
    if primary is None:
        raise AssertionError('the group never had a primary')
    term = primary.leading_term
    writers = SteadyWriters(deployment)
    writing = create_task(writers.run())
    random = Random(trial.seed)
    await sleep(WARM_UP + random.random())
    failed_at = read_clock()
    await _bring_about(trial.fault, deployment, primary)
    reached = _list_reached(deployment, primary, trial.fault)
    while read_clock() < failed_at + LIMIT:
        if reached <= writers.find_first(term).keys():
            break
        await sleep(0.01)
    writers.is_over = True
    deployment.heal_all()
    await writing
    await sleep(SETTLE)
    first = writers.find_first(term)
    # A primary cut off may still have answers on their way.
    start = max(failed_at, writers.find_last(term))
    never = failed_at + LIMIT
    leader = group.find_leader() or primary
    rows = group.select(leader.name, 'SELECT ref FROM turns')
    kept = Counter(str(row[0]) for row in rows)
    refs = {write.ref for write in writers.acknowledged}
    return Outcome(
        min(first.values(), default=never) - start,
        max(first.get(name, never) for name in reached) - start,
        len(refs),
        len(refs - set(kept)),
        sum(copies > 1 for copies in kept.values()),
    )


async def _bring_about(
    fault: Fault,
    deployment: Deployment,
    primary: Database,
) -> None:
    zone = primary.place.zone
    if fault is Fault.FROZEN:
        primary.freeze()
    elif fault is Fault.CUT:
        for other in (*deployment.profile.zones, PLATFORM.name):
            if other != zone:
                deployment.network.cut(zone, other)
    else:
        if fault is Fault.NO_SERVICE:
            deployment.platform.outage()
        primary.kill()


def _list_reached(
    deployment: Deployment,
    primary: Database,
    fault: Fault,
) -> set[str]:
    lost = primary.place.zone if fault is Fault.CUT else None
    return {
        name
        for name, node in deployment.nodes.items()
        if node.place.zone != lost
    }


def _measure(name: str, profile: Profile, fault: Fault) -> list[list[object]]:
    rows = []
    for way, is_baseline, times in (
        ('sedgeshunt', False, TRIALS),
        ('lease model', True, BASELINE_TRIALS),
    ):
        if is_baseline and fault.value not in BASELINE_FAULTS:
            continue
        trials = [
            Trial(profile, fault, seed, is_baseline)
            for seed in range(1, times + 1)
        ]
        outcomes = list(run_trials(play, trials))
        rows.append([f'{name}, {fault.value}', way, *_sum_up(outcomes)])
    return rows


def _sum_up(outcomes: Sequence[Outcome]) -> list[object]:
    everywhere = [outcome.gap_everywhere for outcome in outcomes]
    return [
        len(outcomes),
        *show_percentiles([outcome.gap for outcome in outcomes]),
        show_percentiles(everywhere)[1],
        sum(outcome.acknowledged for outcome in outcomes),
        sum(outcome.lost for outcome in outcomes),
        sum(outcome.doubled for outcome in outcomes),
    ]


def run() -> None:
    """Measure and print."""
    rows: list[list[object]] = []
    for name, profile in (('Kigali', KIGALI), ('Uruguay', URUGUAY)):
        for fault in Fault:
            print_progress(f'failover: {name}, primary {fault.value}')
            rows += _measure(name, profile, fault)
    header = ['primary', 'way', 'trials', 'gap p50', 'p99', 'max']
    header += ['all proxies p99', 'acknowledged', 'lost', 'doubled']
    print_table('Failover gap in ms, about 100 writes/s', header, rows)
    measure_slowness()


if __name__ == '__main__':
    run()
