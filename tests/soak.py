"""Run many random histories on several cores and count what they broke."""

from argparse import ArgumentParser
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from os import cpu_count
from sys import exit as leave
from time import monotonic

from tests.deployment import Profile
from tests.histories import HistoryReport, run_history

# Half of the machine is left to others.
WORKERS = max(1, (cpu_count() or 2) // 2)
SHOWN_VIOLATIONS = 40
PROFILE = Profile(proxies=3, connection_limit=20, slots=3)


@dataclass
class Totals:
    """Add up many histories."""

    histories: int = 0
    requests: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    decisions: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def add(self, report: HistoryReport) -> None:
        """Take in one history."""
        self.histories += 1
        self.faults.update(report.faults)
        self.outcomes.update(report.ledger.outcomes)
        self.decisions.update(report.decisions)
        self.requests += report.ledger.outcomes.total()
        self.violations += [
            f'seed {report.seed}: {violation.promise.value}: {violation.detail}'
            for violation in report.ledger.violations
        ]

    def describe(self) -> list[str]:
        """Tell the totals, a line each."""
        lines = [
            f'histories {self.histories}',
            f'requests {self.requests}',
            f'faults {self.faults.total()}',
        ]
        for name, counter in (
            ('fault', self.faults),
            ('outcome', self.outcomes),
            ('decision', self.decisions),
        ):
            for key, count in sorted(counter.items()):
                lines.append(f'  {name} {key}: {count}')
        lines.append(f'violations {len(self.violations)}')
        return lines + self.violations[:SHOWN_VIOLATIONS]


def run_many(
    profile: Profile,
    seeds: Sequence[int],
    workers: int = WORKERS,
) -> Totals:
    """Run a history for each seed and add them up."""
    totals = Totals()
    with ProcessPoolExecutor(workers) as pool:
        for report in pool.map(partial(run_history, profile), seeds):
            totals.add(report)
    return totals


def main() -> int:
    """Run the histories that the command line asks for."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('--histories', type=int, default=1000)
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument('--workers', type=int, default=WORKERS)
    asked = parser.parse_args()
    started = monotonic()
    seeds = range(asked.first_seed, asked.first_seed + asked.histories)
    totals = run_many(PROFILE, seeds, asked.workers)
    print('\n'.join(totals.describe()))
    print(f'took {monotonic() - started:.0f} s on {asked.workers} cores')
    return 1 if totals.violations else 0


if __name__ == '__main__':
    leave(main())
