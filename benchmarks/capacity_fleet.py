"""Measure in virtual time what grows with the fleet and its failures."""

from statistics import mean

from benchmarks.capacity_fit import Fit, fit_line
from benchmarks.capacity_trials import FleetTrial, Kind, play
from benchmarks.figures import print_progress
from benchmarks.trials import run_trials

PROXIES = (2, 4, 8, 16)
FAILED_GROUPS = (1, 2, 4, 8)
DECLARED = (6, 24, 48, 96)
SEEDS = (1, 2, 3, 4, 5)


def measure_fleet() -> list[Fit]:
    """Measure calls and failover gaps over several sizes."""
    print_progress('capacity: calls to the key-value service')
    kinds = (
        ('with a seat', [FleetTrial(Kind.CALLS, each) for each in PROXIES]),
        (
            'most without a seat',
            [FleetTrial(Kind.CALLS, each, seats=1) for each in PROXIES],
        ),
        (
            'first 1.2 s after an outage',
            [FleetTrial(Kind.RETURN, each) for each in PROXIES],
        ),
    )
    calls = [
        fit_line(
            f'calls to the service, {name}',
            '1/s',
            'proxy',
            PROXIES,
            list(run_trials(play, trials)),
        )
        for name, trials in kinds
    ]
    return calls + _measure_gaps()


def _measure_gaps() -> list[Fit]:
    print_progress('capacity: failovers')
    failed = [
        FleetTrial(Kind.GAP, groups=count, seed=seed)
        for count in FAILED_GROUPS
        for seed in SEEDS
    ]
    others = [
        FleetTrial(Kind.GAP, declared=count, seed=seed)
        for count in DECLARED
        for seed in SEEDS
    ]
    gaps = list(run_trials(play, [*failed, *others]))
    return [
        fit_line(
            'slowest failover of 5 runs',
            's',
            'group whose primary fails',
            FAILED_GROUPS,
            _find_slowest(gaps[: len(failed)]),
        ),
        fit_line(
            'mean failover of 5 groups',
            's',
            'proxy declared',
            DECLARED,
            _find_means(gaps[len(failed) :]),
        ),
    ]


def _find_slowest(gaps: list[float]) -> list[float]:
    runs = len(SEEDS)
    return [
        max(gaps[first : first + runs]) for first in range(0, len(gaps), runs)
    ]


def _find_means(gaps: list[float]) -> list[float]:
    runs = len(SEEDS)
    return [
        mean(gaps[first : first + runs]) for first in range(0, len(gaps), runs)
    ]
