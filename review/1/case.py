"""Write one unreadable entry beside the databases' own, and count ends."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

from world import Client, is_troubled, main  # noqa: E402

ZONES = ('a', 'b', 'c')
# Within this time each process could end three times, restarts included.
WATCHED_S = 30
NEEDED_ENDS = 3
# About 4 kB that are no complete JSON document; a value may have 1 MiB.
UNREADABLE = b'{"x":' + b'[' * 4000


async def serve(world, proxy, served):
    """Write and read through one proxy, twice a second."""
    number = 0
    while True:
        await asyncio.sleep(0.5)
        number += 1
        try:
            client = Client(proxy, 'settle', proxy.name)
            if not (await client.open() or '').startswith('READY'):
                continue
            _, end = await client.query(
                f'{proxy.name}w{number}', f'WRITE 1a v{number}'
            )
            client.close()
        except (OSError, TimeoutError):
            world.record.note(f'client {proxy.name}: no connection')
            continue
        if (end or '').startswith('COMPLETE'):
            served.append(time.monotonic())


async def play(world):
    await world.start()
    for zone in ZONES:
        await world.start_proxy(f'frontend-{zone}-1', zone)
    if not await world.wait_ready():
        return None
    served = []
    clients = [
        asyncio.create_task(serve(world, proxy, served))
        for proxy in world.proxies.values()
    ]
    await asyncio.sleep(5)
    if not served:
        return None
    changed_at = time.monotonic()
    if is_troubled():
        world.record.say(
            'another writer adds servers/i-0000beef, which is unreadable'
        )
        world.store.put('servers/i-0000beef', UNREADABLE)
    await asyncio.sleep(WATCHED_S)
    for client in clients:
        client.cancel()
    late = [at for at in served if at > changed_at + 5]
    world.record.say(
        f'{len(late)} writes were served in the last {WATCHED_S - 5} s'
    )
    ended = {name: len(proxy.own_ends) for name, proxy in world.proxies.items()}
    world.record.say(f'processes that ended by themselves: {ended}')
    machines = [name for name, ends in ended.items() if ends >= NEEDED_ENDS]
    if len(machines) < 2:
        return []
    return [
        f'Fault: on {len(machines)} of 3 machines processes ended three times'
    ]


# What was sent, answered and run.
main(HERE / 'record.txt', play)
