"""Let one database fail part of its requests; compare session values."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

from world import Client, is_troubled, main  # noqa: E402

ZONES = ('a', 'b', 'c')
SEED = 38
# The largest doses of `srv_grey` that fit three databases: one of them fails
# two requests in five for six seconds. STATUS, its status check, is good.
FAILED_SHARE = 0.4
GREY_S = 6
LENGTH_S = 15
SESSIONS = 12


async def visit(world, proxy, label, dice, expected):
    """Open one session after the other; each with values of its own."""
    number = 0
    while True:
        number += 1
        client = Client(
            proxy, dice.choice(('settle', 'browse', 'admin')), label
        )
        try:
            if not (await client.open() or '').startswith('READY'):
                continue
            values = {}
            for step in range(6):
                name = f'{label}.{number}.{step}'
                if dice.random() < 0.3:
                    key, value = dice.choice('xyz'), f'{label}v{number}'
                    _, end = await client.query(
                        f'{name}s', f'SET {key} {value}'
                    )
                    if not (end or '').startswith('COMPLETE'):
                        break
                    values = {**values, key: value}
                expected[name] = values
                text = f'READ {step}a'
                if client.database == 'settle' and dice.random() < 0.4:
                    text = f'WRITE {step}a {label}'
                _, end = await client.query(name, text)
                if (end or 'closed').startswith(('closed', 'no answer')):
                    break
                await asyncio.sleep(0.03)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.1)
        finally:
            client.close()


async def play(world):
    await world.start()
    for zone in ZONES:
        await world.start_proxy(f'frontend-{zone}-1', zone)
    if not await world.wait_ready():
        return None
    await asyncio.sleep(2)
    expected = {}
    proxies = list(world.proxies.values())
    visits = [
        asyncio.create_task(
            visit(
                world,
                proxies[one % 3],
                f'c{one}',
                random.Random(SEED + one),
                expected,
            )
        )
        for one in range(SESSIONS)
    ]
    await asyncio.sleep(3)
    if is_troubled():
        dice = random.Random(SEED)
        grey = next(iter(world.databases.values()))
        world.record.say(f'{grey.name} fails part of its requests')
        grey.fail = lambda text: (
            'BUSY'
            if text != 'STATUS' and dice.random() < FAILED_SHARE
            else None
        )
        await asyncio.sleep(GREY_S)
        grey.fail = lambda text: None
        world.record.say(f'{grey.name} is well again')
    await asyncio.sleep(LENGTH_S - GREY_S)
    for one in visits:
        one.cancel()
    broken = [
        f'PINNED: {link} ran {name} {text!r} with {values}, acknowledged were {expected[name]}'
        for name, text, link, values in world.runs
        if name in expected and values != expected[name]
    ]
    world.record.say(f'{len(world.runs)} statements were run')
    for line in broken[:10]:
        world.record.say(line)
    if len(world.runs) < 100:
        return None
    return [f'PINNED: broken {len(broken)} times'] if broken else []


# What was sent, answered and run.
main(HERE / 'record.txt', play)
