"""Break links between proxies, and from proxies to databases."""

from asyncio import gather, sleep
from collections.abc import Awaitable, Callable, Iterable, Sequence

from tests.soak_scene import NAMES, Fault, Scene
from tests.standins.relays import BOTH_WAYS, Relay, Way

WAYS = (BOTH_WAYS, frozenset((Way.REQUESTS,)), frozenset((Way.ANSWERS,)))
SHORTEST, LONGEST = 0.3, 4.0
OWNER_SHARE = 0.6

Disturbance = Callable[[Scene, Relay, float], Awaitable[None]]


async def refuse_link(_scene: Scene, link: Relay, seconds: float) -> None:
    """Refuse connections on a link for some time."""
    link.refuse()
    await sleep(seconds)
    await link.heal()


async def reset_link(_scene: Scene, link: Relay, seconds: float) -> None:
    """Reset the connections on a link for some time."""
    link.is_resetting = True
    link.reset()
    await sleep(seconds)
    await link.heal()


async def hold_link(scene: Scene, link: Relay, seconds: float) -> None:
    """Let nothing pass on a link for some time, one way or both."""
    link.hold(scene.random.choice(WAYS))
    await sleep(seconds)
    await link.heal()


async def delay_link(scene: Scene, link: Relay, seconds: float) -> None:
    """Let everything on a link arrive late for some time."""
    link.delay = scene.random.uniform(0.2, 0.8)
    await sleep(seconds)
    await link.heal()


DISTURBANCES: Sequence[Disturbance] = (
    refuse_link,
    reset_link,
    hold_link,
    delay_link,
)


async def break_links(scene: Scene) -> None:
    """Break the links to a proxy, while its own to others work."""
    name = scene.draw_name(OWNER_SHARE)
    disturb = scene.random.choice(DISTURBANCES)
    scene.note(f'{disturb.__name__} of all to {name}')
    await disturb_all(scene, disturb, scene.bench.list_peer_links(name))


async def break_own_links(scene: Scene) -> None:
    """Break the links from a proxy to others, while those to it work."""
    name = scene.draw_name(OWNER_SHARE)
    disturb = scene.random.choice(DISTURBANCES)
    scene.note(f'{disturb.__name__} of {name} to all')
    links = [
        scene.bench.find_link(name, other) for other in NAMES if other != name
    ]
    await disturb_all(scene, disturb, links)


async def cut_off_proxy(scene: Scene) -> None:
    """Break all links between a proxy and the other proxies."""
    name = scene.draw_name(OWNER_SHARE)
    disturb = scene.random.choice(DISTURBANCES)
    scene.note(f'{disturb.__name__} of {name} with all')
    links = [
        link
        for (source, destination), link in scene.bench.links.items()
        if name in {source, destination} and {source, destination} < set(NAMES)
    ]
    await disturb_all(scene, disturb, links)


async def delay_all_links(scene: Scene) -> None:
    """Let everything between proxies arrive late."""
    scene.note('delay_link of all proxies')
    links = [
        link
        for ends, link in scene.bench.links.items()
        if set(ends) < set(NAMES)
    ]
    await disturb_all(scene, delay_link, links)


async def cut_primary(scene: Scene) -> None:
    """Cut the primary off from some of the proxies."""
    primary = scene.bench.platform.group.find_primary().name
    names = scene.random.sample(NAMES, scene.random.choice((1, 2)))
    disturb = scene.random.choice(DISTURBANCES)
    scene.note(f'{disturb.__name__} of {names} to {primary}')
    links = [scene.bench.find_link(name, primary) for name in names]
    await disturb_all(scene, disturb, links)


async def disturb_all(
    scene: Scene,
    disturb: Disturbance,
    links: Iterable[Relay],
) -> None:
    """Disturb several links for the same time."""
    seconds = scene.random.uniform(SHORTEST, LONGEST)
    await gather(*(disturb(scene, link, seconds) for link in links))


LINK_FAULTS: tuple[Fault, ...] = (
    break_links,
    break_links,
    break_own_links,
    cut_off_proxy,
    delay_all_links,
    cut_primary,
    cut_primary,
)
