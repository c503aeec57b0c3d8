"""Measure what callers get around a return of the store, in virtual time."""

from asyncio import sleep
from collections import Counter
from dataclasses import dataclass

from sedgeshunt.identifiers import TrafficClass
from tests.features.node_bench import NodeBench
from tests.features.node_callers import CallerResult, Callers
from tests.features.steps.fleets_steps import name_proxies
from tests.features.steps.store_changes_steps import charge_calls

BEFORE = 2
AFTER = 5
PAUSE = 0.05
OBJECTIVES = {'settle': 0.15, 'browse': 0.5}


@dataclass(frozen=True)
class Trial:
    """Hold one return: the fleet, and the seconds away and gone back."""

    proxies: int
    away: float
    age: float
    kills_owner: bool = False


TRIALS = (
    Trial(6, 0.1, 3),
    Trial(6, 2.5, 9),
    Trial(6, 0.5, 60),
    Trial(6, 0.1, 3, kills_owner=True),
    Trial(24, 0.1, 3),
    Trial(24, 2.5, 9),
)


class Measurement:
    """Hold one trial and the results of its callers."""

    def __init__(self, trial: Trial) -> None:
        """Start the fleet and its callers."""
        self.trial = trial
        self.bench = NodeBench()
        self.callers = {name: Callers(self.bench) for name in OBJECTIVES}
        self.bench.start(*name_proxies(trial.proxies))
        self.bench.wait(AFTER)

    def run(self) -> str:
        """Play the return and return a line of the table."""
        bench, trial = self.bench, self.trial
        for caller in list(bench.nodes)[:3]:
            bench.time.watch(self._call(caller, 'settle', 'WRITE'))
            bench.time.watch(self._call(caller, 'browse', 'READ'))
        bench.wait(BEFORE)
        before = Counter(bench.store.counts)
        if trial.kills_owner:
            owner = bench.find_owner()
            assert owner is not None
            bench.time.act(bench.nodes[owner].kill)
        bench.return_store(trial.away, trial.age)
        bench.wait(AFTER)
        calls = charge_calls(bench.store.counts - before) / trial.proxies
        shares = [self._describe(name) for name in OBJECTIVES]
        return ' | '.join((_describe_trial(trial), *shares, f'{calls:.1f}'))

    def close(self) -> None:
        """End all."""
        for callers in self.callers.values():
            callers.is_over = True
        self.bench.close()

    async def _call(self, name: str, database: str, verb: str) -> None:
        callers = self.callers[database]
        opened = await self.bench.nodes[name].service.open_session(
            TrafficClass(database),
        )
        number = 0
        while not callers.is_over:
            number += 1
            text = f'{verb} {name}{number}'
            text = f'{text} {number}' if verb == 'WRITE' else text
            await callers.ask(opened.unwrap(), text)
            await sleep(PAUSE)

    def _describe(self, name: str) -> str:
        results = self.callers[name].results
        in_time = [one for one in results if _is_in_time(one, OBJECTIVES[name])]
        return f'{100 * len(in_time) / len(results):.1f} % of {len(results)}'


def run() -> None:
    """Print one line for each trial."""
    print('proxies, s away, s back | writes | reads | calls of a proxy')
    for trial in TRIALS:
        measurement = Measurement(trial)
        try:
            print(measurement.run(), flush=True)
        finally:
            measurement.close()


def _is_in_time(result: CallerResult, objective: float) -> bool:
    return result.is_done and result.answered_at - result.asked_at <= objective


def _describe_trial(trial: Trial) -> str:
    lost = ', owner killed' if trial.kills_owner else ''
    return f'{trial.proxies}, {trial.away}, {trial.age}{lost}'
