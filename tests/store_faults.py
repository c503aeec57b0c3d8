"""Have the store fail for some proxies, and take keys from owners."""

from asyncio import sleep
from collections.abc import Callable, Sequence
from random import Random

from sedgeshunt.ports import Delete
from sedgeshunt.registry.keys import make_owner_key
from tests.features.platform_bench import GROUP
from tests.soak_scene import NAMES, Fault, Scene
from tests.standins.store_callers import StoreCaller

SHORTEST, LONGEST = 0.5, 6.0
OWNER_SHARE = 0.6
OWNER_KEY = make_owner_key(GROUP)


def refuse_overload(caller: StoreCaller) -> None:
    """Answer each call that there are too many."""
    caller.refusal = 429


def refuse_service(caller: StoreCaller) -> None:
    """Answer each call that the store is not available."""
    caller.refusal = 503


def silence(caller: StoreCaller) -> None:
    """Answer no call."""
    caller.is_silent = True


def reset(caller: StoreCaller) -> None:
    """Reset each connection."""
    caller.is_reset = True


REFUSALS: Sequence[Callable[[StoreCaller], None]] = (
    refuse_overload,
    refuse_service,
    silence,
    reset,
)


def refuse_caller(scene: Scene, name: str) -> None:
    """Have the store refuse a proxy in a way that is drawn."""
    refuse = scene.random.choice(REFUSALS)
    scene.note(f'store: {refuse.__name__} for {name}')
    refuse(scene.find_caller(name))


def slow_answers(scene: Scene, names: Sequence[str]) -> None:
    """Have the store answer a share of the calls of some proxies late."""
    share = scene.random.uniform(0.2, 1)
    scene.note(f'the store answers {share:.2f} of the calls of {names} late')
    for name in names:
        caller = scene.find_caller(name)
        caller.random = Random(scene.random.random())
        caller.slow_share = share


def take_key(scene: Scene) -> None:
    """Delete the owner's key while its lease stays."""
    scene.note(f'the key of {scene.find_owner()} is deleted')
    scene.bench.platform.front.service.store.commit((), (Delete(OWNER_KEY),))


def end_lease(scene: Scene) -> None:
    """End the owner's lease with all its keys."""
    scene.note(f'the lease of {scene.find_owner()} is ended')
    scene.bench.platform.front.service.store.revoke_lease_of(OWNER_KEY)


async def refuse_some(scene: Scene) -> None:
    """Have the store refuse one or two proxies and serve the rest."""
    first = scene.draw_name(OWNER_SHARE)
    rest = [name for name in NAMES if name != first]
    names = (first, *rest[: scene.random.choice((0, 0, 1))])
    for name in names:
        refuse_caller(scene, name)
    await sleep(scene.random.uniform(SHORTEST, LONGEST))
    for name in names:
        scene.find_caller(name).heal()


async def answer_late(scene: Scene) -> None:
    """Have the store answer some proxies late."""
    names = scene.random.sample(NAMES, scene.random.randint(1, len(NAMES)))
    slow_answers(scene, names)
    await sleep(scene.random.uniform(SHORTEST, LONGEST))
    for name in names:
        scene.find_caller(name).heal()


async def lose_answers(scene: Scene) -> None:
    """Have the store execute calls and lose the answers."""
    name = scene.draw_name(OWNER_SHARE)
    caller = scene.find_caller(name)
    caller.random = Random(scene.random.random())
    caller.lost_share = scene.random.uniform(0.2, 0.8)
    scene.note(f'the store loses {caller.lost_share:.2f} for {name}')
    await sleep(scene.random.uniform(SHORTEST, LONGEST))
    caller.heal()


async def execute_late(scene: Scene) -> None:
    """Have the store execute calls late and answer none of these."""
    name = scene.draw_name(OWNER_SHARE)
    caller = scene.find_caller(name)
    caller.random = Random(scene.random.random())
    caller.late_share = scene.random.uniform(0.2, 0.8)
    caller.late_by = scene.random.uniform(1, 6)
    scene.note(
        f'the store executes {caller.late_share:.2f} '
        f'{caller.late_by:.1f} s late for {name}',
    )
    await sleep(scene.random.uniform(SHORTEST, LONGEST))
    caller.heal()


async def take_key_once(scene: Scene) -> None:
    """Delete the owner's key."""
    take_key(scene)


async def end_lease_once(scene: Scene) -> None:
    """End the owner's lease early."""
    end_lease(scene)


async def refuse_and_take(scene: Scene) -> None:
    """Have the store refuse the owner, then take its key or its lease."""
    owner = scene.find_owner()
    if not owner:
        return
    refuse_caller(scene, owner)
    await sleep(scene.random.uniform(0, 1))
    if scene.find_owner() == owner:
        scene.random.choice((take_key, end_lease))(scene)
    await sleep(scene.random.uniform(SHORTEST, LONGEST))
    scene.find_caller(owner).heal()


STORE_FAULTS: tuple[Fault, ...] = (
    refuse_some,
    refuse_some,
    refuse_some,
    answer_late,
    answer_late,
    lose_answers,
    execute_late,
)
KEY_FAULTS: tuple[Fault, ...] = (
    take_key_once,
    end_lease_once,
    refuse_and_take,
    refuse_and_take,
)
