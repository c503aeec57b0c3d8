"""Break several things at once that independent draws rarely combine."""

from asyncio import gather, sleep
from http import HTTPStatus

from tests.link_faults import (
    DISTURBANCES,
    delay_link,
    hold_link,
    refuse_link,
)
from tests.soak_scene import NAMES, Fault, Scene
from tests.store_faults import refuse_caller, slow_answers, take_key

SHORTEST, LONGEST = 2.0, 6.0
DISPLACED_TIME = 4.0
POLL_INTERVAL = 0.05


async def starve_some(scene: Scene) -> None:
    """Suspend some proxies again and again, as a busy machine does."""
    names = scene.random.sample(NAMES, scene.random.randint(1, len(NAMES)))
    seconds = scene.random.uniform(SHORTEST, LONGEST)
    scene.note(f'{names} are starved for {seconds:.1f} s')
    await gather(*(_starve(scene, name, seconds) for name in names))


async def part_owner(scene: Scene) -> None:
    """Part the owner from the store and from the links to it."""
    await _part_owner(scene, takes_key=False)


async def part_owner_and_take_key(scene: Scene) -> None:
    """Part the owner, then delete its key."""
    await _part_owner(scene, takes_key=True)


async def part_and_starve(scene: Scene) -> None:
    """Part the owner while proxies are starved."""
    await gather(part_owner(scene), starve_some(scene))


async def part_and_cut_primary(scene: Scene) -> None:
    """Part the owner while the others don't reach the primary."""
    owner = scene.find_owner()
    if not owner:
        return
    primary = scene.bench.platform.group.find_primary().name
    links = [
        scene.bench.find_link(name, primary) for name in NAMES if name != owner
    ]
    disturb = scene.random.choice((refuse_link, hold_link))
    scene.note(f'{disturb.__name__} of all but {owner} to {primary}')
    seconds = scene.random.uniform(SHORTEST, LONGEST)
    await gather(
        part_owner(scene),
        *(disturb(scene, link, seconds) for link in links),
    )


async def displace_owner(scene: Scene) -> None:
    """Delete the key of an owner that hears neither store nor peers.

    The other proxies don't reach the primary, so the next owner replaces it.
    """
    while not scene.find_owner():
        await sleep(POLL_INTERVAL)
    await sleep(1)
    owner = scene.find_owner()
    primary = scene.bench.platform.group.find_primary().name
    scene.find_caller(owner).refusal = HTTPStatus.TOO_MANY_REQUESTS
    links = list(scene.bench.list_peer_links(owner))
    links += [
        scene.bench.find_link(name, primary) for name in NAMES if name != owner
    ]
    for link in links:
        link.refuse()
    take_key(scene)
    await sleep(DISPLACED_TIME)
    for healed in links:
        await healed.heal()
    scene.find_caller(owner).heal()


async def starve_and_delay(scene: Scene) -> None:
    """Starve proxies while links are slow and the store answers late."""
    seconds = scene.random.uniform(SHORTEST, LONGEST)
    links = [
        link
        for ends, link in scene.bench.links.items()
        if set(ends) < set(NAMES)
    ]
    slow_answers(scene, NAMES)
    scene.note('delay_link of all links')
    await gather(
        starve_some(scene),
        *(delay_link(scene, link, seconds) for link in links),
    )
    for caller in scene.bench.callers.values():
        caller.heal()


async def _part_owner(scene: Scene, *, takes_key: bool) -> None:
    owner = scene.find_owner()
    if not owner:
        return
    seconds = scene.random.uniform(SHORTEST, LONGEST)
    refuse_caller(scene, owner)
    disturb = scene.random.choice(DISTURBANCES)
    scene.note(f'{disturb.__name__} of all to {owner}')
    work = [
        disturb(scene, link, seconds)
        for link in scene.bench.list_peer_links(owner)
    ]
    if takes_key:
        work.append(_take_later(scene, owner, scene.random.uniform(0, 1.5)))
    await gather(*work)
    scene.find_caller(owner).heal()


async def _take_later(scene: Scene, owner: str, pause: float) -> None:
    await sleep(pause)
    if scene.find_owner() == owner:
        take_key(scene)


async def _starve(scene: Scene, name: str, seconds: float) -> None:
    proxy = scene.reserve_named(name)
    if proxy is None:
        return
    spent = float(0)
    while spent < seconds and proxy.is_running():
        stopped = scene.random.uniform(0.2, 0.7)
        running = scene.random.uniform(0.02, 0.4)
        await scene.suspend(proxy, stopped)
        await sleep(running)
        spent += stopped + running
    scene.release(proxy)


STARVING_FAULTS: tuple[Fault, ...] = (starve_some, starve_and_delay)
COMBINED_FAULTS: tuple[Fault, ...] = (
    part_owner,
    part_and_starve,
    part_and_cut_primary,
)
COMBINED_KEY_FAULTS: tuple[Fault, ...] = (
    part_owner_and_take_key,
    displace_owner,
)
