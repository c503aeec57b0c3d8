"""Run every check and print one line with the real counts."""

import json
import subprocess  # the test runner starts checkers, no product process does
import sys
from collections import ChainMap
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PATHS = ('src', 'deploy', 'tests', 'benchmarks', 'examples', 'tools')
FEATURES = ROOT / 'tests' / 'features'
# The searches of the specifications take as long as all other scenarios
# together, and share neither ports nor files with them.
SEARCHES = 'specs.feature'
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
BEHAVE_LIMIT = 780


@dataclass(frozen=True)
class Check:
    """Name one command whose exit code is its verdict."""

    name: str
    arguments: tuple[str, ...]


CHECKS = (
    Check('format', ('ruff', 'format', '--check', '.')),
    Check('lint', ('flake8', *PATHS)),
    Check('types', ('mypy', *PATHS)),
)


@dataclass
class Tally:
    """Count verdicts."""

    passed: int = 0
    failed: int = 0


def run_check(check: Check) -> bool:
    """Run one checker and tell whether it passed."""
    tool = Path(sys.executable).parent / check.arguments[0]
    done = subprocess.run([str(tool), *check.arguments[1:]], cwd=ROOT)
    verdict = 'passed' if done.returncode == 0 else 'failed'
    print(f'{check.name}: {verdict}', flush=True)
    return done.returncode == 0


def run_behave() -> dict[str, str]:
    """Run the scenarios in two processes; return each status by name."""
    searches = [FEATURES / SEARCHES]
    others = sorted(set(FEATURES.glob('*.feature')) - set(searches))
    with ThreadPoolExecutor() as workers:
        ran = workers.map(
            run_features, ('searches', 'others'), (searches, others)
        )
        return dict(ChainMap(*ran))


def run_features(name: str, features: list[Path]) -> dict[str, str]:
    """Run the scenarios of some features; return each status by name."""
    report = ROOT / 'build' / f'behave-{name}.json'
    report.parent.mkdir(exist_ok=True)
    report.unlink(missing_ok=True)
    tool = Path(sys.executable).parent / 'behave'
    command = [str(tool), *map(str, features), '--format', 'json', '--outfile']
    command += [str(report), '--format', 'progress', '--no-capture']
    try:
        subprocess.run(command, cwd=ROOT, timeout=BEHAVE_LIMIT)
    except subprocess.TimeoutExpired:
        return {f'the {name}': f'cut off after {BEHAVE_LIMIT} s'}
    return read_statuses(report)


def read_statuses(report: Path) -> dict[str, str]:
    """Read each scenario's status from the runner's report."""
    if not report.exists():
        # The runner ended before its first scenario; its output says why.
        return {'all scenarios': 'not run'}
    statuses: dict[str, str] = {}
    for feature in json.loads(report.read_text()):
        for element in feature.get('elements', ()):
            if element['type'] != 'scenario':
                continue
            name = f'{element["location"]} {element["name"]}'
            statuses[name] = element.get('status', 'untested')
    return statuses


def read_known_red(listed: Path = KNOWN_RED) -> list[str]:
    """Return the names of tests that fail for a known fault.

    Raise ValueError for an entry without a name.
    """
    if not listed.exists():
        return []
    lines = filter(str.strip, listed.read_text().splitlines())
    names = [line.split(',')[0].strip() for line in lines]
    # An empty name would be found in the name of every test.
    if not all(names):
        raise ValueError(f'{listed.name} has an entry without a name')
    return names


def is_known(name: str, known: list[str]) -> bool:
    """Tell whether a failed scenario is listed as known."""
    return any(entry in name for entry in known)


def count_checks() -> Tally:
    """Run formatter, linter and types."""
    results = [run_check(check) for check in CHECKS]
    return Tally(results.count(True), results.count(False))


def count_scenarios() -> Tally:
    """Run the scenarios and count all but the known red ones."""
    tally = Tally()
    known = read_known_red()
    for name, status in run_behave().items():
        if status == 'passed':
            tally.passed += 1
        elif is_known(name, known):
            print(f'known red: {name}')
        else:
            print(f'failed: {name} ({status})')
            tally.failed += 1
    return tally


def main() -> int:
    """Run everything and return the exit code."""
    checks = count_checks()
    scenarios = count_scenarios()
    passed = checks.passed + scenarios.passed
    failed = checks.failed + scenarios.failed
    print(f'{passed} passed, {failed} failed', flush=True)
    return 1 if failed or not scenarios.passed else 0


if __name__ == '__main__':
    sys.exit(main())
