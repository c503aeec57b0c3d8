"""Measure how many reads replicas serve, and how fast."""

from asyncio import sleep
from contextlib import ExitStack
from dataclasses import dataclass, replace
from typing import Any
from unittest.mock import patch

from benchmarks.figures import (
    print_progress,
    print_table,
    show_percentiles,
    show_share,
)
from benchmarks.read_load import LENGTH, RATE, ReadLoad, ReadReport
from benchmarks.trials import run_trials
from sedgeshunt.identifiers import GroupId
from sedgeshunt.requests.group_service import GroupService
from sedgeshunt.routing.choice import Ranking
from sedgeshunt.sessions.session import SessionState
from tests.deployment import URUGUAY, Deployment

SERVICE_TIME = 0.005
FAR_BEHIND = 30
WARM_UP = 1


@dataclass(frozen=True, slots=True)
class ReadTrial:
    """Describe one run."""

    lag: float
    has_laggard: bool = False
    is_baseline: bool = False
    seed: int = 1

    def describe(self) -> str:
        """Name the lag."""
        name = f'{self.lag * 1000:.0f} ms'
        return f'{name}, one {FAR_BEHIND} s' if self.has_laggard else name


async def play(trial: ReadTrial) -> ReadReport:
    """Run one mix of reads and writes."""
    profile = replace(
        URUGUAY,
        groups=URUGUAY.groups[:1],
        service_time=SERVICE_TIME,
        lag=trial.lag,
    )
    with ExitStack() as owned:
        if trial.is_baseline:
            _send_all_to_primary(owned)
        async with Deployment(profile, trial.seed) as deployment:
            if trial.has_laggard:
                group = deployment.groups[GroupId(profile.groups[0])]
                group[f'{profile.groups[0]}-db3'].set_lag(FAR_BEHIND)
            await sleep(WARM_UP)
            load = ReadLoad(deployment, trial.seed)
            await load.run()
            return load.report


def _send_all_to_primary(owned: ExitStack) -> None:
    rank = GroupService.rank

    def rank_primary(service: GroupService, *given: Any) -> Ranking:
        """Rank nothing but the primary."""
        ranking = rank(service, *given)
        primary = service.view.get_primary()
        eligible = () if primary is None else (primary,)
        return Ranking(eligible, ranking.assessments, None)

    def need_nothing(session: SessionState, group: GroupId) -> bool:
        """Read with no barrier, as the primary has every write."""
        return False

    owned.enter_context(patch.object(GroupService, 'rank', rank_primary))
    owned.enter_context(
        patch.object(GroupService, 'pick_recent', return_value=None),
    )
    owned.enter_context(
        patch.object(SessionState, 'needs_barrier', need_nothing),
    )


def run() -> None:
    """Measure and print."""
    trials = [
        ReadTrial(lag, has_laggard, is_baseline)
        for lag, has_laggard in (
            (0.005, False),
            (0.05, False),
            (0.5, False),
            (0.05, True),
        )
        for is_baseline in (False, True)
    ]
    print_progress(f'reads: {len(trials)} runs of {LENGTH} s')
    rows: list[list[object]] = []
    for trial, report in zip(trials, run_trials(play, trials)):
        way = 'all to primary' if trial.is_baseline else 'sedgeshunt'
        eligible = len(report.spent_eligible)
        rows.append(
            [
                trial.describe(),
                way,
                report.reads,
                eligible,
                show_share(report.eligible_from_replicas, eligible),
                *show_percentiles(report.spent_eligible)[:2],
                show_share(report.from_replicas, report.reads),
                *show_percentiles(report.spent)[:2],
                report.refused,
                report.violations,
            ],
        )
    header = ['replica lag', 'way', 'reads', 'a replica can serve']
    header += ['replicas served', 'p50', 'p99', 'replicas served of all']
    header += ['p50', 'p99', 'refused', 'violations']
    print_table(
        f'Reads served by replicas, {RATE} statements/s, times in ms',
        header,
        rows,
    )


if __name__ == '__main__':
    run()
