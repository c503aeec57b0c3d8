"""Let the store shed all calls for 4.5 s and close its connections meanwhile.

From 3 s before until 8 s after, each answer carries "Connection: close", and the
connection is closed after it, as HTTP/1.1 wants it. No case of the review: the
pages name the outage, but not how the store ends connections.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

from world import is_troubled, main  # noqa: E402


async def play(world):
    await world.start()
    for zone in ('a', 'b', 'c'):
        await world.start_proxy(f'frontend-{zone}-1', zone)
    if not await world.wait_ready():
        return None
    await asyncio.sleep(3)
    if is_troubled():
        world.store.closes = lambda status, path: True
    await asyncio.sleep(3)
    world.store.is_shedding = True
    await asyncio.sleep(4.5)
    world.store.is_shedding = False
    await asyncio.sleep(8)
    world.store.closes = lambda status, path: False
    await asyncio.sleep(5)
    ended = {name: len(one.own_ends) for name, one in world.proxies.items()}
    world.record.say(f'{world.store.closed} connections were closed so')
    world.record.say(f'processes that ended by themselves: {ended}')
    machines = [name for name, ends in ended.items() if ends >= 3]
    if len(machines) < 2:
        return (
            []
            if not any(ended.values())
            else ['processes ended, fewer than the rule counts']
        )
    return [
        f'Fault: on {len(machines)} of 3 machines processes ended three times'
    ]


# What was sent, answered and run.
main(HERE / 'record.txt', play)
