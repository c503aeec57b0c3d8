"""Break proxies, databases and the store for a while, from outside."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from signal import SIGCONT, SIGHUP, SIGSTOP, SIGTERM

from sedgeshunt.clocks import read_clock
from tests.features.platform_bench import (
    GRACE_SECONDS,
    PlatformBench,
    ProxyUnderTest,
)
from tests.standins.statement_group import WORK

# A process that ended may be noticed this much later.
CHECK_DELAY = 0.3
NAMES = ('east-1', 'north-1', 'west-1')


@dataclass
class Scene:
    """Hold what can be broken, and the processes that are broken now."""

    bench: PlatformBench
    random: Random
    busy: set[str] = field(default_factory=set)
    # When each proxy was killed last.
    killed_at: dict[str, float] = field(default_factory=dict)
    # Stops that took longer than the grace.
    overdue: list[str] = field(default_factory=list)


Fault = Callable[[Scene], Awaitable[None]]


async def pause_proxy(scene: Scene) -> None:
    """Suspend a proxy's process for a while."""
    proxy = _take_proxy(scene)
    if proxy is None:
        return
    proxy.signal(SIGSTOP)
    await sleep(scene.random.uniform(0.2, 3))
    proxy.signal(SIGCONT)
    scene.busy.discard(proxy.name)


async def kill_proxy(scene: Scene) -> None:
    """Kill a proxy's process and start it again."""
    proxy = _take_proxy(scene)
    if proxy is None:
        return
    scene.killed_at[proxy.name] = read_clock()
    proxy.close()
    await sleep(scene.random.uniform(0.1, 1.5))
    proxy.start()
    scene.busy.discard(proxy.name)


async def stop_proxy(scene: Scene) -> None:
    """Stop a proxy gracefully and start it again."""
    proxy = _take_proxy(scene)
    if proxy is None:
        return
    proxy.signal(SIGTERM)
    stopped_at = read_clock()
    while proxy.is_running():
        await sleep(0.1)
    if read_clock() - stopped_at > GRACE_SECONDS + CHECK_DELAY:
        scene.overdue.append(proxy.name)
    proxy.start()
    scene.busy.discard(proxy.name)


async def reload_proxy(scene: Scene) -> None:
    """Have a proxy read its settings again."""
    proxy = _take_proxy(scene)
    if proxy is None:
        return
    proxy.signal(SIGHUP)
    scene.busy.discard(proxy.name)


async def slow_targets(scene: Scene) -> None:
    """Have all databases take longer for a while."""
    for target in scene.bench.platform.group.targets.values():
        target.work = scene.random.uniform(0.1, 0.6)
    await sleep(scene.random.uniform(0.5, 3))
    for target in scene.bench.platform.group.targets.values():
        target.work = WORK


async def silence_store(scene: Scene) -> None:
    """Have the store answer nobody."""
    scene.bench.platform.front.is_silent = True
    await sleep(scene.random.uniform(0.3, 4))
    scene.bench.platform.front.is_silent = False


async def refuse_calls(scene: Scene) -> None:
    """Have the store refuse all calls."""
    scene.bench.platform.front.refusal = 503
    await sleep(scene.random.uniform(0.3, 4))
    scene.bench.platform.front.refusal = None


async def return_store(scene: Scene) -> None:
    """Have the store come back as it was some seconds before."""
    platform = scene.bench.platform
    platform.front.refusal = 503
    await sleep(scene.random.uniform(0.1, 3))
    platform.front.service.store.restore_copy(scene.random.uniform(0.1, 6))
    platform.front.refusal = None
    await sleep(scene.random.uniform(0, 0.5))
    await platform.publish_all()


async def freeze_primary(scene: Scene) -> None:
    """Have the primary stand still."""
    primary = scene.bench.platform.group.find_primary()
    primary.thawed.clear()
    await sleep(scene.random.uniform(0.1, 2))
    primary.thawed.set()


async def freeze_replica(scene: Scene) -> None:
    """Have a replica stand still."""
    group = scene.bench.platform.group
    replica = scene.random.choice(list(group.list_replicas()))
    replica.thawed.clear()
    await sleep(scene.random.uniform(0.1, 2))
    replica.thawed.set()


async def crash_primary(scene: Scene) -> None:
    """Have the primary refuse connections for a while."""
    primary = scene.bench.platform.group.find_primary()
    primary.is_down = True
    await sleep(scene.random.uniform(0.2, 3))
    primary.is_down = False


FAULTS: tuple[Fault, ...] = (
    pause_proxy,
    kill_proxy,
    stop_proxy,
    silence_store,
    refuse_calls,
    freeze_primary,
    freeze_replica,
    crash_primary,
    return_store,
    reload_proxy,
    slow_targets,
    stop_proxy,
    stop_proxy,
)


def _take_proxy(scene: Scene) -> ProxyUnderTest | None:
    idle = [name for name in NAMES if name not in scene.busy]
    if not idle:
        return None
    name = scene.random.choice(idle)
    scene.busy.add(name)
    return scene.bench.proxies[name]
