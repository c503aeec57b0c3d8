"""Compare ways to meet overload, in virtual time against one target.

Run with `python benchmarks/overload.py`; equal seeds give equal figures.
"""

import random
from abc import ABC, abstractmethod
from asyncio import (
    Semaphore,
    Task,
    create_task,
    gather,
    shield,
    sleep,
    timeout_at,
)
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from async_solipsism import EventLoop
from result import Err

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId, TrafficClass
from sedgeshunt.limits.admission import TargetAdmission

SLOTS = 3
SHARE = 3
# One-way latency from each proxy to the target, in seconds.
PROXIES = (0.0002, 0.0002, 0.0015, 0.0015, 0.0015, 0.0015)
WORK = 0.02
CONNECT = 0.01
DEADLINES = (0.2, 0.5, 1.0)
WARM_UP = 2
DURATION = 32
SEEDS = (1, 2, 3)
LOADS = (1, 2, 5)
TRAFFIC_CLASS = TrafficClass('status')


class Fate(Enum):
    """Name how a request ended for its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    # Its deadline passed with the work sent: the outcome is unknown.
    LATE = 'late'


class SimulatedTarget:
    """Run statements on a few slots, first come first served."""

    def __init__(self) -> None:
        """Start idle."""
        self._slots = Semaphore(SLOTS)
        self._running: set[Task[None]] = set()

    async def execute(
        self,
        work: float,
        latency: float,
        deadline: Monotonic,
    ) -> bool:
        """Tell whether the answer came in time; the work is done anyway."""
        running = create_task(self._run(work, latency))
        self._running.add(running)
        running.add_done_callback(self._running.discard)
        try:
            async with timeout_at(deadline):
                await shield(running)
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Drop the work that is left."""
        left = tuple(self._running)
        for running in left:
            running.cancel()
        await gather(*left, return_exceptions=True)

    async def _run(self, work: float, latency: float) -> None:
        await sleep(latency)
        async with self._slots:
            await sleep(work)
        await sleep(latency)


@dataclass(frozen=True, slots=True)
class Statement:
    """Hold one statement and how long a slot works on it."""

    work: float
    deadline: Monotonic


class Gate(ABC):
    """Carry statements from one proxy to the target."""

    def __init__(self, target: SimulatedTarget, latency: float) -> None:
        """Reach `target` with a one-way latency."""
        self.target = target
        self.latency = latency

    @abstractmethod
    async def run(self, statement: Statement) -> Fate:
        """Carry one statement to its end."""

    async def send(self, statement: Statement) -> Fate:
        """Send one statement and wait for it until its deadline."""
        is_answered = await self.target.execute(
            statement.work,
            self.latency,
            statement.deadline,
        )
        return Fate.ANSWERED if is_answered else Fate.LATE


class OpenGate(Gate):
    """Send everything at once."""

    async def run(self, statement: Statement) -> Fate:
        """Send the statement."""
        return await self.send(statement)


class PoolGate(Gate):
    """Wait in line for one of a fixed number of connections."""

    def __init__(self, target: SimulatedTarget, latency: float) -> None:
        """Open a share of connections."""
        super().__init__(target, latency)
        self._connections = Semaphore(SHARE)

    async def run(self, statement: Statement) -> Fate:
        """Send the statement over the first connection that is free."""
        try:
            async with timeout_at(statement.deadline):
                await self._connections.acquire()
        except TimeoutError:
            return Fate.REFUSED
        fate = await self.send(statement)
        if fate is Fate.LATE:
            await sleep(CONNECT)
        self._connections.release()
        return fate


class AdmittingGate(Gate):
    """Admit what can be answered in time."""

    def __init__(self, target: SimulatedTarget, latency: float) -> None:
        """Admit with the product's own rules."""
        super().__init__(target, latency)
        self._admission = TargetAdmission(
            TargetId('ada'),
            SHARE,
            SLOTS,
            len(PROXIES),
        )

    async def run(self, statement: Statement) -> Fate:
        """Send the statement once it is admitted."""
        admitted = await self._admission.admit(
            TRAFFIC_CLASS,
            1,
            statement.deadline,
        )
        if isinstance(admitted, Err):
            return Fate.REFUSED
        with admitted.ok_value.measure() as measured:
            fate = await self.send(statement)
            measured.ok = fate is Fate.ANSWERED
        return fate


@dataclass
class Tallied:
    """Gather the ends of all requests and how long each took."""

    spent: dict[Fate, list[float]] = field(
        default_factory=lambda: {fate: [] for fate in Fate},
    )

    def count(self, fate: Fate) -> int:
        """Count the requests with one fate."""
        return len(self.spent[fate])

    def find_percentile(self, fate: Fate) -> float:
        """Return the 99th percentile in milliseconds."""
        ordered = sorted(self.spent[fate])
        if not ordered:
            return 0
        return ordered[int(len(ordered) * 0.99)] * 1000


GateFactory = Callable[[SimulatedTarget, float], Gate]
Shares = Sequence[float]
EVEN: Shares = (1, 1, 1, 1, 1, 1)
ONE_BUSY: Shares = (20, 1, 1, 1, 1, 1)


async def offer(
    make_gate: GateFactory,
    load: float,
    shares: Shares,
    tallied: Tallied,
) -> None:
    """Offer a multiple of the target's capacity from all proxies."""
    target = SimulatedTarget()
    gates = [make_gate(target, latency) for latency in PROXIES]
    pending = []
    rate = load * SLOTS / WORK
    while read_clock() < DURATION:
        await sleep(random.expovariate(rate))
        gate = random.choices(gates, shares)[0]
        pending.append(create_task(carry(gate, tallied)))
    await gather(*pending)
    await target.close()


async def carry(gate: Gate, tallied: Tallied) -> None:
    """Carry one request and take down its end."""
    arrived = read_clock()
    statement = Statement(
        max(0.001, random.expovariate(1 / WORK)),
        Monotonic(arrived + Seconds(random.choice(DEADLINES))),
    )
    fate = await gate.run(statement)
    if WARM_UP <= read_clock() < DURATION:
        tallied.spent[fate].append(read_clock() - arrived)


def measure(make_gate: GateFactory, load: float, shares: Shares) -> Tallied:
    """Run all seeds of one row of the table."""
    tallied = Tallied()
    for seed in SEEDS:
        random.seed(seed)
        loop = EventLoop()
        loop.run_until_complete(offer(make_gate, load, shares, tallied))
        loop.close()
    return tallied


def print_row(name: str, load: str, tallied: Tallied) -> None:
    """Print one row."""
    capacity = SLOTS / WORK * (DURATION - WARM_UP) * len(SEEDS)
    goodput = tallied.count(Fate.ANSWERED) / capacity
    late = tallied.count(Fate.LATE) / capacity
    answered = tallied.find_percentile(Fate.ANSWERED)
    refused = tallied.find_percentile(Fate.REFUSED)
    print(
        f'{name:18} {load:>12} {goodput:8.1%} {late:8.1%} '
        + f'{answered:12.0f} {refused:11.1f}',
    )


def main() -> None:
    """Print the table."""
    print(f'{SLOTS} slots, {len(PROXIES)} proxies, {SHARE} connections each')
    print(
        f'{"way":18} {"load":>12} {"goodput":>8} {"late":>8} '
        + f'{"answer p99":>12} {"refusal p99":>11}   (ms)',
    )
    ways: dict[str, GateFactory] = {
        'send at once': OpenGate,
        'connections only': PoolGate,
        'admission': AdmittingGate,
    }
    for name, make_gate in ways.items():
        for load in LOADS:
            print_row(name, f'{load}x', measure(make_gate, load, EVEN))
        busy = measure(make_gate, 1, ONE_BUSY)
        print_row(name, '1x, one busy', busy)


if __name__ == '__main__':
    main()
