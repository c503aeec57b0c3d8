"""Inject random faults into a group of databases and its proxies."""

from collections.abc import Callable
from functools import partial
from random import Random

from tests.features.group_bench import DATABASES, PROXIES, GroupBench

ZONES = tuple(PROXIES.values())
NAMES = tuple(DATABASES)


def inject_fault(bench: GroupBench, random: Random) -> None:
    """Inject one random fault, or end the faults of one kind."""
    fault = random.choice(FAULTS)
    fault(bench, random)


def _kill(bench: GroupBench, random: Random) -> None:
    bench.ask(bench.databases[random.choice(NAMES)].kill)


def _freeze(bench: GroupBench, random: Random) -> None:
    bench.ask(bench.databases[random.choice(NAMES)].freeze)


def _lag(bench: GroupBench, random: Random) -> None:
    seconds = random.choice((0, 0.2, 1))
    database = bench.databases[random.choice(NAMES)]
    bench.ask(partial(database.set_lag, seconds))


def _leave(bench: GroupBench, random: Random) -> None:
    bench.leaving = set(random.sample(NAMES, random.randrange(2)))
    bench.configure()


def _cut_zones(bench: GroupBench, random: Random) -> None:
    bench.cut(*random.sample(ZONES, 2))


def _cut_link(bench: GroupBench, random: Random) -> None:
    bench.cut(*random.sample((*NAMES, *PROXIES), 2))


def _pause(bench: GroupBench, random: Random) -> None:
    bench.pause(random.uniform(0.1, 2))


def _heal(bench: GroupBench, _random: Random) -> None:
    bench.ask(bench.databases.network.heal)


def _restart(bench: GroupBench, _random: Random) -> None:
    bench.restart_all()


FAULTS: tuple[Callable[[GroupBench, Random], None], ...] = (
    _kill,
    _freeze,
    _lag,
    _leave,
    _cut_zones,
    _cut_link,
    _pause,
    _heal,
    _heal,
    _restart,
    _restart,
)
