"""Hold what faults break in a soak, and when processes did not run."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from json import loads
from random import Random
from signal import SIGCONT, SIGSTOP
from time import time

from sedgeshunt.clocks import read_clock
from sedgeshunt.registry.keys import make_owner_key
from tests.features.linked_bench import LinkedBench
from tests.features.platform_bench import GROUP, ProxyUnderTest
from tests.owner_periods import Span
from tests.standins.store_callers import StoreCaller

NAMES = ('east-1', 'north-1', 'west-1')
POLL_INTERVAL = 0.01


@dataclass
class Scene:
    """Hold what can be broken, and the processes that are broken now."""

    bench: LinkedBench
    random: Random
    busy: set[str] = field(default_factory=set)
    # When each proxy was killed last, by the clock of the loop.
    killed_at: dict[str, float] = field(default_factory=dict)
    # All kills and suspensions of each proxy, by the time of day.
    kills: dict[str, list[float]] = field(default_factory=dict)
    pauses: dict[str, list[Span]] = field(default_factory=dict)
    # Stops that took longer than the grace.
    overdue: list[str] = field(default_factory=list)
    # Processes that ended by themselves.
    ended: list[str] = field(default_factory=list)
    # What faults did and when, by the time of day.
    notes: list[tuple[float, str]] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Record what a fault does."""
        self.notes.append((time(), text))

    def find_owner(self) -> str:
        """Return the owner of the group in the store, empty for none."""
        store = self.bench.platform.front.service.store
        pairs = store.list_matching(make_owner_key(GROUP).__eq__).pairs
        return str(loads(pairs[0].value)['owner']) if pairs else ''

    def read_revision(self, key: str) -> int:
        """Return the revision of a key in the store, 0 if it is absent."""
        store = self.bench.platform.front.service.store
        pairs = store.list_matching(key.__eq__).pairs
        return pairs[0].revision if pairs else 0

    async def follow_owner(self) -> None:
        """Note each change of the owner's key, until cancelled."""
        known = ''
        while True:
            owner = self.find_owner()
            if owner != known:
                self.note(f'the key is of {owner or "nobody"}')
                known = owner
            await sleep(POLL_INTERVAL)

    def draw_name(self, owner_share: float) -> str:
        """Return the owner's name with a probability, else any name."""
        drawn = self.random.random()
        name = self.random.choice(NAMES)
        owner = self.find_owner()
        return owner if owner and drawn < owner_share else name

    def find_caller(self, name: str) -> StoreCaller:
        """Return what the store does to the calls of a proxy."""
        return self.bench.callers[name]

    def reserve(self) -> ProxyUnderTest | None:
        """Return a proxy that no other fault stops, None if there is none."""
        idle = [name for name in NAMES if name not in self.busy]
        return self.reserve_named(self.random.choice(idle)) if idle else None

    def reserve_named(self, name: str) -> ProxyUnderTest | None:
        """Return a proxy by its name unless another fault stops it."""
        if name in self.busy:
            return None
        self.busy.add(name)
        proxy = self.bench.proxies[name]
        if not proxy.is_running():
            self.ended.append(name)
        return proxy

    def release(self, proxy: ProxyUnderTest) -> None:
        """Let other faults stop a proxy again."""
        self.busy.discard(proxy.name)

    async def suspend(self, proxy: ProxyUnderTest, seconds: float) -> None:
        """Suspend a proxy's process for some time."""
        began_at = time()
        proxy.signal(SIGSTOP)
        try:
            await sleep(seconds)
        finally:
            proxy.signal(SIGCONT)
        pause = Span(began_at, time())
        self.pauses.setdefault(proxy.name, []).append(pause)

    def kill(self, proxy: ProxyUnderTest) -> None:
        """Kill a proxy's process."""
        self.killed_at[proxy.name] = read_clock()
        proxy.close()
        self.kills.setdefault(proxy.name, []).append(time())


Fault = Callable[[Scene], Awaitable[None]]
