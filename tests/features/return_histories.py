"""Run random faults around restores of the store and check invariants."""

from asyncio import sleep
from collections.abc import Callable
from itertools import pairwise, repeat
from random import Random

from sedgeshunt.decisions import DecisionKind
from sedgeshunt.identifiers import TrafficClass
from sedgeshunt.registry.keys import INSTANCES_PREFIX, make_owner_key
from tests.features.node_bench import GROUP, ROUTES, NodeBench
from tests.features.node_callers import Callers
from tests.standins.network import PLATFORM

PROXIES = ('east-1', 'north-1', 'west-1', 'east-2', 'west-2')
STEPS = 12
# How many times as likely a restore is as each other fault.
RESTORE_SHARE = 4
LONGEST_PAUSE = 1.2
LONGEST_AWAY = 2.5
LONGEST_AGE = 6
# Time from the end of all faults to the checks, in seconds.
SETTLE_TIME = 14
WRITE_EVERY = 0.03


class RestoreHistory:
    """Run one random history of a group, its proxies and the store."""

    def __init__(self, seed: int, *, with_restores: bool = True) -> None:
        """Draw all random choices from `seed`."""
        self._random = Random(seed)
        self._with_restores = with_restores
        self.bench = NodeBench()
        self.callers = Callers(self.bench)
        self.steps: list[str] = []

    def run(self) -> None:
        """Start the proxies, run the faults, end them and wait."""
        bench = self.bench
        bench.group.synchronous = 1
        bench.declare_again()
        bench.start(*PROXIES)
        bench.time.watch(self.callers.watch_owners())
        for name in ('east-2', 'west-1'):
            bench.time.watch(self._write_on(name))
        for _ in range(STEPS):
            self._run_step()
        self._heal()
        bench.declare(tuple(one for one in ROUTES if one.name != 'browse'))
        bench.wait(SETTLE_TIME)

    def list_failures(self) -> list[str]:
        """List the checks that failed."""
        checks = (
            self._check_owners,
            self._check_writes,
            self._check_orders,
            self._check_versions,
            self._check_store,
        )
        return [broken for check in checks for broken in check()]

    def close(self) -> None:
        """Stop the callers and the proxies."""
        self.callers.is_over = True
        self.bench.close()

    async def _write_on(self, name: str) -> None:
        opened = await self.bench.nodes[name].service.open_session(
            TrafficClass('settle'),
        )
        number = 0
        while not self.callers.is_over:
            number += 1
            await self.callers.ask(
                opened.unwrap(),
                f'WRITE {name}.{number} {number}',
            )
            await sleep(WRITE_EVERY)

    def _run_step(self) -> None:
        steps: list[Callable[[], None]] = [
            self._kill,
            self._cut_store,
            self._cut_off,
            self._heal,
            self._crash_primary,
            self.bench.declare_again,
            self._lose_answer,
        ]
        if self._with_restores:
            steps.extend(repeat(self._restore_store, RESTORE_SHARE))
        step = self._random.choice(steps)
        now = self.bench.time.read_now()
        self.steps.append(f'{now:.3f} {step.__name__}')
        step()
        self.bench.wait(self._random.uniform(0, LONGEST_PAUSE))

    def _draw_proxy(self) -> str:
        return self._random.choice(PROXIES)

    def _kill(self) -> None:
        name = self._draw_proxy()
        self._describe(name)
        self.bench.time.act(self.bench.nodes[name].kill)
        self.bench.wait(self._random.uniform(0, LONGEST_PAUSE))
        self.bench.restart(name)

    def _cut_store(self) -> None:
        name = self._draw_proxy()
        self._describe(name)
        self.bench.network.cut(PLATFORM.name, name)

    def _cut_off(self) -> None:
        name = self._draw_proxy()
        self._describe(name)
        for other in (PLATFORM.name, *PROXIES):
            if other != name:
                self.bench.network.cut(name, other)

    def _heal(self) -> None:
        self.bench.time.act(self.bench.network.heal)
        for target in self.bench.group.targets.values():
            target.is_down = False

    def _crash_primary(self) -> None:
        # One synchronous replica tolerates the loss of one log at a time.
        if not any(one.is_down for one in self.bench.group.targets.values()):
            self.bench.group.find_primary().is_down = True

    def _lose_answer(self) -> None:
        self.bench.store.lose_next_answers(1)

    def _restore_store(self) -> None:
        away = self._random.uniform(0, LONGEST_AWAY)
        age = self._random.uniform(0, LONGEST_AGE)
        self._describe(f'away {away:.3f}, age {age:.3f}')
        self.bench.return_store(away, age)

    def _describe(self, what: str) -> None:
        self.steps.append(what)

    def _check_owners(self) -> list[str]:
        failures = self.bench.time.list_failures()
        broken = [f'watched: {failure}' for failure in failures]
        if self.bench.find_owner() is None:
            broken.append('nobody owns the group')
        return broken

    def _check_writes(self) -> list[str]:
        done = [
            result for result in self.callers.list_writes() if result.is_done
        ]
        lost = [result for result in done if not self._holds(result.text)]
        return [f'{len(lost)} of {len(done)} writes lost'] if lost else []

    def _holds(self, text: str) -> bool:
        _, item, data = text.split()
        found = self.bench.group.find_primary().read(item)
        return found == data

    def _check_orders(self) -> list[str]:
        tokens = [order.token for _, order in self.bench.group.orders]
        return [
            f'token {later} after {earlier}'
            for earlier, later in pairwise(tokens)
            if later < earlier
        ]

    def _check_versions(self) -> list[str]:
        broken = []
        for name, node in self.bench.nodes.items():
            applied = node.decisions.list_decisions(
                DecisionKind.CONFIGURATION_APPLIED,
            )
            versions = [int(one.reasons['version']) for one in applied]
            if versions != sorted(set(versions)):
                broken.append(f'versions of {name}: {versions}')
            opened = self.bench.run(
                node.service.open_session(TrafficClass('browse')),
            )
            if opened.is_ok():
                broken.append(f'{name} lets callers of a dropped route in')
        return broken

    def _check_store(self) -> list[str]:
        listed = {
            pair.key.removeprefix(INSTANCES_PREFIX)
            for pair in self.bench.store.store.list_matching(_is_instance).pairs
        }
        broken = []
        if listed != set(PROXIES):
            broken.append(f'listed: {sorted(listed)}')
        if self.bench.read(make_owner_key(GROUP)) is None:
            broken.append("no owner's key in the store")
        leases = {
            node.service.find_lease().id for node in self.bench.nodes.values()
        }
        if len(leases) < len(PROXIES):
            broken.append(f'leases: {leases}')
        return broken


def _is_instance(key: str) -> bool:
    return key.startswith(INSTANCES_PREFIX)
