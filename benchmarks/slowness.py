"""Count promotions while the primary is slow but alive."""

from asyncio import create_task, sleep
from dataclasses import dataclass, replace
from random import Random

from benchmarks.figures import print_progress, print_table
from benchmarks.trials import run_trials
from benchmarks.writers import SteadyWriters
from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import DecisionKind
from sedgeshunt.identifiers import GroupId
from tests.deployment import KIGALI, URUGUAY, Deployment, Profile

# Ten runs of half a minute with a change every second stand for an hour with
# a change every twelve seconds.
RUNS = 10
LENGTH = 30
CHANGE_EVERY = 1
# A write with a request id holds a lock over four slow round trips.
WRITE_EVERY = 1
SLOWNESS = (5, 50)
ROUND_TRIP = (0.1, 0.4)


@dataclass(frozen=True, slots=True)
class SlowTrial:
    """Describe one run."""

    profile: Profile
    seed: int


@dataclass(frozen=True, slots=True)
class SlowOutcome:
    """Hold what one run showed."""

    promotions: int
    deferred: int
    acknowledged: int


async def play_slow(trial: SlowTrial) -> SlowOutcome:
    """Slow the primary and its network down, by leaps, for a while."""
    random = Random(trial.seed)
    profile = replace(trial.profile, groups=trial.profile.groups[:1])
    async with Deployment(profile, trial.seed) as deployment:
        writers = SteadyWriters(deployment, WRITE_EVERY)
        writing = create_task(writers.run())
        await sleep(1)
        end = read_clock() + LENGTH
        while read_clock() < end:
            _slow_down(deployment, random)
            await sleep(CHANGE_EVERY)
        writers.is_over = True
        await writing
        return SlowOutcome(
            deployment.count_decisions(DecisionKind.PROMOTED),
            deployment.count_decisions(DecisionKind.PROMOTION_DEFERRED),
            len(writers.acknowledged),
        )


def _slow_down(deployment: Deployment, random: Random) -> None:
    group = deployment.groups[GroupId(deployment.profile.groups[0])]
    primary = group.find_leader()
    if primary is None:
        return
    primary.slow(random.uniform(*SLOWNESS))
    one_way = random.uniform(*ROUND_TRIP) / 2
    for zone in deployment.profile.zones:
        deployment.network.set_latency(primary.place.zone, zone, one_way)


def measure_slowness() -> None:
    """Measure and print."""
    rows = []
    for name, profile in (('Kigali', KIGALI), ('Uruguay', URUGUAY)):
        print_progress(f'failover: {name}, slow primary')
        trials = [SlowTrial(profile, seed) for seed in range(1, RUNS + 1)]
        outcomes = list(run_trials(play_slow, trials))
        rows.append(
            [
                name,
                RUNS * LENGTH,
                sum(outcome.promotions for outcome in outcomes),
                sum(outcome.deferred for outcome in outcomes),
                sum(outcome.acknowledged for outcome in outcomes),
            ],
        )
    print_table(
        'Slow but live primary: answers 5 to 50 times as slow, round trips '
        + 'of 100 to 400 ms, by leaps',
        ('size', 'seconds', 'promotions', 'deferred', 'acknowledged'),
        rows,
    )


if __name__ == '__main__':
    measure_slowness()
