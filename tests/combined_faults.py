"""Break several things at once that independent draws rarely combine."""

from asyncio import gather, sleep
from collections.abc import Callable, Iterable
from http import HTTPStatus

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import ProxyId
from sedgeshunt.registry.keys import make_instance_key
from tests.features.platform_bench import ProxyUnderTest
from tests.link_faults import (
    DISTURBANCES,
    delay_link,
    hold_link,
    refuse_link,
)
from tests.soak_scene import NAMES, Fault, Scene
from tests.standins.store_callers import StoreCaller
from tests.store_faults import refuse_caller, slow_answers, take_key

SHORTEST, LONGEST = 2.0, 6.0
DISPLACED_TIME = 4.0
POLL_INTERVAL = 0.01
ATTEMPTS = 3
# By then a proxy has read the answer to its registration.
ANSWER_TIME = 0.06
RENEWED_TIME = 0.5
LEASE_TIME = 1.0
# A proxy is bound to owners for this long after its start.
STARTUP_PROMISE = 4.0
# A proxy that lost the store is bound for this long after that.
OUTAGE_PROMISE = 4.0
# Within this time a proxy waits for the answer to a claim.
CLAIM_TIMEOUT = 0.76
KILL_SHARE = 0.3


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
    await _wait_owner(scene)
    await sleep(1)
    await _wait_owner(scene)
    owner = scene.find_owner()
    take_key(scene)
    await _isolate(scene, owner)


async def outlive_claim(scene: Scene) -> None:
    """Have a claim answered after its lease was replaced, then isolate.

    Renewals are refused as reads beyond the limit, which all proxies share.
    """
    for _ in range(ATTEMPTS):
        await _wait_owner(scene)
        await sleep(STARTUP_PROMISE)
        await _wait_owner(scene)
        first = scene.find_owner()
        proxy = scene.reserve_named(first)
        if proxy is None:
            return
        owner = await _outlive(scene, proxy)
        if owner:
            await sleep(OUTAGE_PROMISE)
        # It may have claimed again.
        has_no_key = bool(owner) and not scene.find_owner()
        if has_no_key:
            scene.note(f'{owner} is isolated')
            await _isolate(scene, owner)
        proxy.start()
        scene.release(proxy)
        if has_no_key:
            return


async def _outlive(scene: Scene, proxy: ProxyUnderTest) -> str:
    """Return whose claim outlived its lease, empty for none."""
    scene.note(f'{proxy.name} is killed')
    scene.kill(proxy)
    await sleep(RENEWED_TIME)
    callers = list(scene.bench.callers.values())
    for caller in callers:
        caller.refuses_renewals = True
        caller.holds_claims = True
    give_up = read_clock() + LEASE_TIME
    former = {'', proxy.name}
    await _wait_until(lambda: scene.find_owner() not in former, give_up)
    owner = scene.find_owner()
    await _replace_lease(scene, owner, callers)
    return '' if owner in former else owner


async def _replace_lease(
    scene: Scene, owner: str, callers: Iterable[StoreCaller]
) -> None:
    """Let the lease of a claim end, and answer the claim under the next."""
    key = make_instance_key(ProxyId(owner))
    entry = scene.read_revision(key)
    give_up = read_clock() + CLAIM_TIMEOUT
    await _wait_until(lambda: not scene.find_owner(), give_up)
    for refused in callers:
        refused.refuses_renewals = False
    await _wait_until(
        lambda: scene.read_revision(key) not in {entry, 0}, give_up
    )
    await sleep(ANSWER_TIME)
    for healed in callers:
        healed.heal()


async def _wait_until(is_met: Callable[[], bool], give_up: float) -> None:
    while not is_met() and read_clock() < give_up:
        await sleep(POLL_INTERVAL)


async def _wait_owner(scene: Scene) -> None:
    while not scene.find_owner():
        await sleep(POLL_INTERVAL)


async def _isolate(scene: Scene, owner: str) -> None:
    """Part an owner from store and peers, and those from the primary."""
    primary = scene.bench.platform.group.find_primary().name
    scene.find_caller(owner).refusal = HTTPStatus.TOO_MANY_REQUESTS
    links = list(scene.bench.list_peer_links(owner))
    links += [
        scene.bench.find_link(name, primary) for name in NAMES if name != owner
    ]
    for link in links:
        link.refuse()
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


async def stress_claims(scene: Scene) -> None:
    """Make owners silent while the store answers late or not at all."""
    seconds = scene.random.uniform(SHORTEST, LONGEST)
    slow_answers(scene, NAMES)
    for caller in scene.bench.callers.values():
        caller.lost_share = scene.random.uniform(0, 0.4)
        caller.late_share = scene.random.choice((0, 0.1, 0.3))
        caller.late_by = scene.random.uniform(0.5, 3)
    links = scene.random.sample(
        list(scene.bench.links.values()), scene.random.randint(2, 8)
    )
    await gather(
        _silence_owners(scene, seconds),
        *(
            scene.random.choice(DISTURBANCES)(scene, link, seconds)
            for link in links
        ),
    )
    for healed in scene.bench.callers.values():
        healed.heal()


async def _silence_owners(scene: Scene, seconds: float) -> None:
    """Suspend or kill one owner after the other."""
    until = read_clock() + seconds
    while read_clock() < until:
        await sleep(scene.random.uniform(0.1, 0.8))
        proxy = scene.reserve_named(scene.draw_name(1))
        if proxy is None:
            continue
        if scene.random.random() < KILL_SHARE:
            scene.note(f'{proxy.name} is killed')
            scene.kill(proxy)
            await sleep(scene.random.uniform(0.1, 1))
            proxy.start()
        else:
            pause = scene.random.uniform(0.3, 2)
            scene.note(f'{proxy.name} is suspended for {pause:.2f} s')
            await scene.suspend(proxy, pause)
        scene.release(proxy)


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
    stress_claims,
    stress_claims,
)
COMBINED_KEY_FAULTS: tuple[Fault, ...] = (part_owner_and_take_key,)
# These take long and are run alone.
WHOLE_FAULTS: tuple[Fault, ...] = (displace_owner, outlive_claim)
