"""Have the platform mishandle promotion orders for a while."""

from asyncio import sleep
from random import Random

from tests.soak_scene import Fault, Scene
from tests.standins.statement_group import PROMPT, OrderHandling

# Longest time after which an order is begun, below that for which proxies
# expect it.
LONGEST_DELAY = 5
ERRORS = (500, 502, 503, 504)
REJECTIONS = (403, 429)


def draw_handling(random: Random) -> OrderHandling:
    """Draw how one order is answered and carried out."""
    late = random.uniform(0.3, LONGEST_DELAY)
    return random.choice(
        (
            PROMPT,
            # Answered late, after most callers gave up.
            OrderHandling(answered_after=random.uniform(0.3, 1.5)),
            # Carried out late, with and without an answer.
            OrderHandling(None, begun_after=(late,)),
            OrderHandling(begun_after=(random.uniform(0.1, 1),)),
            # Lost.
            OrderHandling(None, begun_after=()),
            # Answered by an error, carried out or not.
            OrderHandling(random.choice(ERRORS), begun_after=(late,)),
            OrderHandling(random.choice(ERRORS), begun_after=()),
            OrderHandling(random.choice(REJECTIONS), begun_after=()),
            # Carried out twice.
            OrderHandling(begun_after=(0, late)),
        ),
    )


async def mishandle_orders(scene: Scene) -> None:
    """Have the platform mishandle each order in another way."""
    group = scene.bench.platform.group
    group.draw_handling = lambda: draw_handling(scene.random)
    await sleep(scene.random.uniform(1, 6))
    group.draw_handling = lambda: PROMPT


async def mishandle_replacement(scene: Scene) -> None:
    """Mishandle the next orders, and freeze or crash the primary."""
    group = scene.bench.platform.group
    for _ in range(scene.random.randrange(1, 4)):
        group.next_handlings.append(draw_handling(scene.random))
    primary = group.find_primary()
    if scene.random.choice((True, False)):
        primary.thawed.clear()
    else:
        primary.is_down = True
    await sleep(scene.random.uniform(0.3, 3))
    primary.thawed.set()
    primary.is_down = False


async def lose_target(scene: Scene) -> None:
    """Lose the next order and its target for a while."""
    group = scene.bench.platform.group
    count = len(group.orders)
    late = scene.random.uniform(1, LONGEST_DELAY)
    group.next_handlings.append(OrderHandling(None, begun_after=(late,)))
    primary = group.find_primary()
    primary.thawed.clear()
    await sleep(scene.random.uniform(0.5, 1))
    primary.thawed.set()
    if len(group.orders) > count:
        target = group.targets[group.orders[-1][1].target]
        target.is_down = True
        await sleep(scene.random.uniform(0.2, 4))
        target.is_down = False


ORDER_FAULTS: tuple[Fault, ...] = (
    mishandle_orders,
    mishandle_replacement,
    mishandle_replacement,
    lose_target,
)
