"""Measure how long a change takes until it is in force everywhere."""

from asyncio import sleep
from collections import Counter
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random

from benchmarks.figures import print_progress, print_table, show_percentiles
from benchmarks.trials import run_trials
from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import ObjectKind
from sedgeshunt.configuration.registry import ConfigurationRegistry
from sedgeshunt.exceptions import AnswerLost, PlatformUnavailable
from sedgeshunt.identifiers import Revision
from tests.deployment import KIGALI, URUGUAY, Deployment, Profile
from tests.standins.network import Place
from tests.standins.platform import MemoryKeyValue

CHANGES = 100
OUTAGES = 20
LONGEST_OUTAGE = 60
STEP = 0.001
LIMIT = 30
IDLE = 60
RETRY = 0.05


@dataclass(frozen=True, slots=True)
class ChangeTrial:
    """Describe one run."""

    name: str
    profile: Profile
    seed: int = 1


@dataclass
class ChangeReport:
    """Hold what one run showed; times in seconds."""

    usual: list[float] = field(default_factory=list)
    after_outage: list[float] = field(default_factory=list)
    # Calls a second by all proxies, with nothing to do and after an outage.
    idle_rate: float = 0
    peak_calls: int = 0


class Operator:
    """Change a label and see when it is in force."""

    def __init__(self, deployment: Deployment) -> None:
        """Stand in the first zone."""
        self._deployment = deployment
        place = Place('operator', deployment.profile.zones[0])
        self._registry = ConfigurationRegistry(
            MemoryKeyValue(deployment.platform, place),
            'ann',
        )
        target = f'{deployment.profile.groups[0]}-db2'
        self._key = ObjectKey(ObjectKind.TARGET, target)
        self._numbers = count()

    async def change(self) -> Revision:
        """Change the label, again until the service takes it."""
        labels = {'shade': str(next(self._numbers))}
        while True:
            try:
                applied = await self._registry.set_labels(
                    self._key,
                    labels,
                    'benchmark',
                )
            except (PlatformUnavailable, AnswerLost):
                await sleep(RETRY)
            else:
                return applied.revision

    async def wait_in_force(self, revision: Revision) -> float:
        """Wait until all proxies run with a revision."""
        deadline = read_clock() + LIMIT
        while read_clock() < deadline:
            if all(
                node.proxy.feed.snapshot.revision >= revision
                for node in self._deployment.nodes.values()
            ):
                break
            await sleep(STEP)
        return read_clock()


async def play(trial: ChangeTrial) -> ChangeReport:
    """Change with the service up, then after outages."""
    report = ChangeReport()
    random = Random(trial.seed)
    profile = replace(trial.profile, groups=trial.profile.groups[:1])
    async with Deployment(profile, trial.seed) as deployment:
        operator = Operator(deployment)
        for _ in range(CHANGES):
            await sleep(random.uniform(0, 0.5))
            started = read_clock()
            revision = await operator.change()
            done = await operator.wait_in_force(revision)
            report.usual.append(done - started)
        report.idle_rate = await _count_idle(deployment)
        for _ in range(OUTAGES):
            await _pass_outage(deployment, operator, random, report)
    return report


async def _count_idle(deployment: Deployment) -> float:
    before = deployment.platform.counts.total()
    await sleep(IDLE)
    return (deployment.platform.counts.total() - before) / IDLE


async def _pass_outage(
    deployment: Deployment,
    operator: Operator,
    random: Random,
    report: ChangeReport,
) -> None:
    deployment.platform.outage()
    await sleep(random.uniform(1, LONGEST_OUTAGE))
    before = Counter(deployment.platform.counts)
    deployment.platform.recover()
    returned = read_clock()
    revision = await operator.change()
    done = await operator.wait_in_force(revision)
    report.after_outage.append(done - returned)
    # Calls within the first second after the return.
    await sleep(max(0, returned + 1 - read_clock()))
    calls = deployment.platform.counts.total() - before.total()
    report.peak_calls = max(report.peak_calls, calls)
    await sleep(random.uniform(1, 2))


def run() -> None:
    """Measure and print."""
    trials = [ChangeTrial('Kigali', KIGALI), ChangeTrial('Uruguay', URUGUAY)]
    print_progress(f'configuration: {CHANGES} changes, {OUTAGES} outages')
    rows: list[list[object]] = []
    for trial, report in zip(trials, run_trials(play, trials)):
        calls = f'{report.idle_rate:.2f}'
        for name, spent in (
            ('service up', report.usual),
            ('since its return', report.after_outage),
        ):
            rows.append(
                [
                    f'{trial.name}, {name}',
                    len(spent),
                    *show_percentiles(spent),
                    calls,
                ],
            )
            calls = f'{report.peak_calls} in the first second'
    header = ['change', 'times', 'p50', 'p99', 'max', 'calls/s']
    print_table('In force on all six proxies after, in ms', header, rows)


if __name__ == '__main__':
    run()
