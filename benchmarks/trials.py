"""Run many trials, each on a virtual clock and seeds of its own."""

from asyncio import Runner
from collections.abc import Callable, Coroutine, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from random import seed as seed_global
from typing import Any, TypeVar

from tests.virtual_time import make_loop

# A part of the machine is left to others.
WORKERS = 2

Trial = TypeVar('Trial')
Outcome = TypeVar('Outcome')
Play = Callable[[Trial], Coroutine[Any, Any, Outcome]]


def run_trial(play: Play[Trial, Outcome], seed: int, trial: Trial) -> Outcome:
    """Run one trial; equal seeds give equal outcomes."""
    seed_global(seed)
    with Runner(loop_factory=make_loop) as runner:
        return runner.run(play(trial))


def run_trials(
    play: Play[Trial, Outcome],
    trials: Sequence[Trial],
) -> Iterator[Outcome]:
    """Run trials on a few processes and yield outcomes in order."""
    with ProcessPoolExecutor(WORKERS) as pool:
        numbers = range(len(trials))
        yield from pool.map(partial(run_trial, play), numbers, trials)
