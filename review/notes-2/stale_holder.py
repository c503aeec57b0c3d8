"""Freeze the holder of the duty between its look at its lease and its call.

No case: the moment is shorter than a millisecond. Each of 12 planned
replacements tries it with another delay after the platform accepts the
connection, and prints the delay, whether the call had not been sent before the
freeze, and how many calls came with a lower token than the platform had seen.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import threading
import time
from asyncio import sleep
from base64 import b64decode
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

import world as standins  # noqa: E402

FROZEN = 3.5
TRIES = 12
# In seconds, after the platform has accepted the connection.
DELAYS = (0.0002, 0.0003, 0.0001)
OWNERS = 'sedgeshunt/owners/'


def make_world(folder, record):
    """Return a service of three databases and some to come."""
    names = [
        (f'i-7f3a91c{number + 1}', standins.ZONES[number % 3])
        for number in range(3 + TRIES)
    ]
    world = standins.World(folder, record, names)
    world.calls = []
    return world


async def play(world, with_trouble):
    """Replace primaries until a holder was frozen as it connects."""
    door = Door(world)
    world.store.on_promote = door.promote
    door.open_for(world.store)
    await world.start([one.name for one in world.databases[:3]])
    world.add_clients(8)
    await world.wait_served()
    await sleep(2)
    for number, new in enumerate(world.databases[3:]):
        new.publish()
        await sleep(0.5)
        primary = world.leader()
        if with_trouble:
            door.arm(find_owner(world), DELAYS[number % len(DELAYS)])
        primary.state = 'draining'
        primary.publish()
        world.record.note(primary.name, 'is draining')
        world.spawn(leave(world, primary))
        before = len(judge(world))
        await sleep(6)
        stale = len(judge(world)) - before
        print(DELAYS[number % len(DELAYS)], door.was_hit, stale, flush=True)
        door.was_hit = False


async def leave(world, primary):
    """End a leaving database after its time."""
    await sleep(8)
    primary.stop()
    world.store.remove(f'servers/{primary.name}')


def find_owner(world):
    """Return the process that holds the duty, by the store."""
    keys = [key for key in world.store.items if key.startswith(OWNERS)]
    entry = json.loads(b64decode(world.store.items[keys[0]]['value']))
    return next(one for one in world.proxies if one.name == entry['owner'])


class Door:
    """Accept the calls to the platform, and freeze a holder that connects."""

    def __init__(self, world):
        self.world = world
        self.was_hit = False
        self._armed = None
        self._loop = asyncio.get_running_loop()
        self._socket = socket.create_server((standins.HOST, 0))

    def open_for(self, store):
        """Take the place of the platform's address."""
        start = store.start

        async def start_both():
            await start()
            store.cloud_port = self._socket.getsockname()[1]

        store.start = start_both
        threading.Thread(target=self._accept, daemon=True).start()

    def arm(self, proxy, delay=0):
        """Freeze a process as soon as it connects."""
        self._armed = proxy
        self._delay = delay

    def _accept(self):
        while True:
            accepted, _ = self._socket.accept()
            proxy, self._armed = self._armed, None
            is_hit = False
            if proxy is not None:
                time.sleep(self._delay)
                os.kill(proxy.child.pid, signal.SIGSTOP)
                time.sleep(0.005)
                try:
                    accepted.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
                except BlockingIOError:
                    is_hit = True
                if not is_hit:
                    os.kill(proxy.child.pid, signal.SIGCONT)
            self._loop.call_soon_threadsafe(self._take, accepted, proxy, is_hit)

    def _take(self, accepted, proxy, is_hit):
        if is_hit:
            self.was_hit = True
            self.world.record.note(proxy.name, 'is frozen for', FROZEN, 's')
            self.world.spawn(self._wake(proxy))
        self.world.spawn(self._serve(accepted))

    async def _wake(self, proxy):
        await sleep(FROZEN)
        proxy.child.send_signal(signal.SIGCONT)
        self.world.record.note(proxy.name, 'wakes')

    async def _serve(self, accepted):
        reader, writer = await asyncio.open_connection(sock=accepted)
        await self.world.store._serve(reader, writer)

    async def promote(self, *call):
        self.world.calls.append((self.world.record.now(), *call[1:]))
        return await self.world.promote(*call)


def judge(world):
    """List the calls with a lower token than the platform has seen."""
    found = []
    newest = 0
    for at, name, holder, token in world.calls:
        if token < newest:
            found.append(
                f'{holder} called with the token {token} at {at:.3f} for '
                f'{name}; the platform had seen {newest}'
            )
        newest = max(newest, token)
    return found


if __name__ == '__main__':
    standins.run_case(sys.modules[__name__], __file__)
