"""DRAIN: a leaving primary gets requests long after drain_ms."""

import sys
from asyncio import Event, sleep
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

import world as standins  # noqa: E402

# How long the platform takes promotion calls and answers none.
OUTAGE = 3.0
# How much longer than drain_ms the database goes on.
LINGER = 8.0


def make_world(folder, record):
    """Return a service of three databases and one to come."""
    names = [
        ('i-7f3a91c1', standins.ZONES[0]),
        ('i-7f3a91c2', standins.ZONES[1]),
        ('i-7f3a91c3', standins.ZONES[2]),
        ('i-7f3a91c4', standins.ZONES[0]),
    ]
    world = standins.World(folder, record, names)
    world.draining_at = None
    return world


async def play(world, with_trouble):
    """Replace the primary while the platform is silent for a moment."""
    primary, second, third, new = world.databases
    await world.start([one.name for one in (primary, second, third)])
    world.add_clients(8)
    await world.wait_served()
    await sleep(3)
    new.publish()
    await sleep(1)
    if with_trouble:
        world.record.note('the platform answers no promotion for', OUTAGE, 's')
        world.store.on_promote = keep_silent
        world.spawn(recover(world))
    primary.state = 'draining'
    primary.publish()
    world.draining_at = world.record.now()
    world.record.note(primary.name, 'is draining')
    await sleep(standins.DRAIN + LINGER)
    primary.stop()
    world.store.remove(f'servers/{primary.name}')
    await sleep(4)


async def keep_silent(*call):
    """Neither carry a call out nor answer it."""
    await Event().wait()


async def recover(world):
    """End the outage."""
    await sleep(OUTAGE)
    world.store.on_promote = world.promote
    world.record.note('the platform answers promotions again')


def judge(world):
    """List the requests that reached the database later than drain_ms."""
    name = world.databases[0].name
    end = world.draining_at + standins.DRAIN
    return [
        f'{statement} reached {where} at {at:.3f}, '
        f'{at - world.draining_at:.1f} s after it was draining'
        for at, where, statement in world.arrivals
        if where == name and at > end and statement != '-'
    ]


if __name__ == '__main__':
    standins.run_case(sys.modules[__name__], __file__)
