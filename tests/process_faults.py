"""Break proxies, databases and the store for a while, from outside."""

from asyncio import sleep
from random import Random
from signal import SIGHUP, SIGTERM

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import RefusalKind
from tests.features.platform_bench import GRACE_SECONDS
from tests.soak_scene import Fault, Scene
from tests.standins.foreign import draw_entry
from tests.standins.statement_group import (
    WORK,
    SetupMessage,
    SetupRefusals,
)

# A process that ended may be noticed this much later.
CHECK_DELAY = 0.3
REFUSALS = (
    RefusalKind.BUSY,
    RefusalKind.BEHIND,
    RefusalKind.FAILED,
    RefusalKind.TIMED_OUT,
)


async def pause_proxy(scene: Scene) -> None:
    """Suspend a proxy's process for a while."""
    proxy = scene.reserve()
    if proxy is None:
        return
    seconds = scene.random.uniform(0.2, 3)
    scene.note(f'{proxy.name} is suspended for {seconds:.2f} s')
    await scene.suspend(proxy, seconds)
    scene.release(proxy)


async def kill_proxy(scene: Scene) -> None:
    """Kill a proxy's process and start it again."""
    proxy = scene.reserve()
    if proxy is None:
        return
    scene.note(f'{proxy.name} is killed')
    scene.kill(proxy)
    await sleep(scene.random.uniform(0.1, 1.5))
    proxy.start()
    scene.release(proxy)


async def stop_proxy(scene: Scene) -> None:
    """Stop a proxy gracefully and start it again."""
    proxy = scene.reserve()
    if proxy is None:
        return
    proxy.signal(SIGTERM)
    stopped_at = read_clock()
    while proxy.is_running():
        await sleep(0.1)
    if read_clock() - stopped_at > GRACE_SECONDS + CHECK_DELAY:
        scene.overdue.append(proxy.name)
    proxy.start()
    scene.release(proxy)


async def reload_proxy(scene: Scene) -> None:
    """Have a proxy read its settings again."""
    proxy = scene.reserve()
    if proxy is None:
        return
    proxy.signal(SIGHUP)
    scene.release(proxy)


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


async def write_entries(scene: Scene) -> None:
    """Have another client write entries beside those of the databases."""
    platform = scene.bench.platform
    for number in range(scene.random.randrange(1, 5)):
        key = f'servers/foreign-{number}'
        await platform.write_entry(key, draw_entry(scene.random))
        await sleep(scene.random.uniform(0, 0.3))


async def refuse_setup(scene: Scene) -> None:
    """Have a database refuse part of the messages that set up connections."""
    target = scene.random.choice(list(scene.bench.platform.group.targets))
    grey = scene.bench.platform.group.targets[target]
    grey.setup_refusals = SetupRefusals(
        frozenset(SetupMessage),
        REFUSALS,
        scene.random.uniform(0.1, 0.6),
        Random(scene.random.random()),
    )
    await sleep(scene.random.uniform(0.5, 3))
    grey.setup_refusals = None


async def garble_statuses(scene: Scene) -> None:
    """Have all databases answer STATUS with a row that can't be read."""
    lines = scene.bench.platform.databases.lines
    lines['STATUS'] = scene.random.choice(('ROW', 'ROW primary x', 'ROWS 1'))
    await sleep(scene.random.uniform(0.1, 1))
    lines.pop('STATUS', None)


async def garble_store(scene: Scene) -> None:
    """Have the store answer with documents that can't be read."""
    front = scene.bench.platform.front
    front.body = scene.random.choice(('', '[]', '{}', '[' * 5000))
    await sleep(scene.random.uniform(0.1, 2))
    front.body = None


async def end_connections(scene: Scene) -> None:
    """Have the store end each connection after one answer."""
    front = scene.bench.platform.front
    front.ends_connections = True
    await sleep(scene.random.uniform(0.5, 4))
    front.ends_connections = False


PROCESS_FAULTS: tuple[Fault, ...] = (
    write_entries,
    refuse_setup,
    refuse_setup,
    garble_statuses,
    garble_store,
    end_connections,
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
