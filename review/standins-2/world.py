"""Stand-ins for clients, databases, store and platform, on loopback.

They follow the pages of the system: one process, one event loop, the real
clock. Only the standard library is used.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.parse
from base64 import b64decode, b64encode
from itertools import count
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = '127.0.0.1'
SERVICE = 'songbook'
ZONES = ('kg-nyarugenge', 'kg-kicukiro', 'kg-gasabo')
CROSS_ZONE = 0.0014
HANDSHAKE = 0.012
PROMOTE_TIME = 0.3
DRAIN = 7.0
PING_INTERVAL = 1.2
PROMISES = frozenset(
    ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY'),
)


class Record:
    """Write what was sent, answered and run to a file."""

    def __init__(self, path):
        self.began = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    def now(self):
        return time.monotonic() - self.began

    def note(self, *words):
        text = ' '.join(str(word) for word in words)
        self._file.write(f'{self.now():9.4f} {text}\n')

    def close(self):
        self._file.close()


async def read_http(reader):
    """Return method, path, query, headers and body; None at the end."""
    head = await reader.readline()
    if not head.strip():
        return None
    method, target, _ = head.decode().split()
    headers = {}
    while (line := (await reader.readline()).decode().strip()) != '':
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    split = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(split.query, keep_blank_values=True))
    return method, split.path, query, headers, json.loads(body or b'null')


def http_reply(status, document):
    body = json.dumps(document).encode()
    return (
        f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


class Store:
    """The platform's metadata store and its singleton duty."""

    def __init__(self, world):
        self.world = world
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.lease_ids = count(1001)
        self.changed = asyncio.Event()
        # Answers a promotion call: (service, id, holder, token) -> status.
        self.on_promote = None
        self.servers = []

    async def start(self):
        self.port = await self._listen()
        self.cloud_port = await self._listen()
        self.world.spawn(self._expire())

    async def _listen(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def put(self, key, value, lease=0):
        self.revision += 1
        known = self.items.get(key)
        created = known['created'] if known else self.revision
        item = {
            'key': key,
            'value': b64encode(value).decode(),
            'revision': self.revision,
            'created': created,
            'lease_id': lease,
        }
        self.items[key] = item
        self.history.append(item)
        self._wake()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            gone = {'key': key, 'revision': self.revision, 'deleted': True}
            self.history.append(gone)
            self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for lease, (_, ends) in tuple(self.leases.items()):
                if ends <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease)
        for key, item in tuple(self.items.items()):
            if item['lease_id'] == lease:
                self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_http(reader)) is not None:
                status, document = await self._answer(*request)
                await asyncio.sleep(0.004)
                writer.write(http_reply(status, document))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, method, path, query, headers, body):
        if path == '/kv-range':
            return 200, self._range(query)
        if path == '/kv-watch':
            return await self._watch(query)
        if path == '/kv-key':
            item = self.items.get(query['key'])
            return (200, item) if item else (404, None)
        if path == '/kv-txn':
            return self._transact(body)
        if path == '/kv-lease':
            lease = next(self.lease_ids)
            ttl = max(1000, body['ttl_ms'])
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'lease_id': lease, 'ttl_ms': ttl}
        if path.startswith('/kv-keep/'):
            lease = int(path.rpartition('/')[2])
            if lease not in self.leases:
                return 404, None
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'ttl_ms': ttl}
        if path.startswith('/kv-lease-end/'):
            lease = int(path.rpartition('/')[2])
            if lease not in self.leases:
                return 404, None
            self._end_lease(lease)
            return 200, {}
        if path == '/promote':
            return await self._promote(headers, body)
        return 404, None

    def _range(self, query):
        after = query.get('after', '')
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(query['prefix']) and key > after
        ]
        return {
            'items': found[:500],
            'has_more': len(found) > 500,
            'at_revision': self.revision,
        }

    async def _watch(self, query):
        after = int(query['after'])
        until = time.monotonic() + int(query['wait_timeout_ms']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
        return 200, {'events': events, 'at_revision': self.revision}

    def _transact(self, body):
        def current(key):
            return self.items.get(key, {'key': key, 'revision': 0})

        rows = body.get('expected') or []
        if any(current(r['key'])['revision'] != r['revision'] for r in rows):
            return 412, {'items': [current(row['key']) for row in rows]}
        writes = body.get('write') or []
        for row in writes:
            if row.get('lease_id') and row['lease_id'] not in self.leases:
                return 404, None
            if row['key'].startswith(('op/', 'servers/')):
                return 403, None
        for row in writes:
            # All entries of a call are one change and have its revision.
            self.put(
                row['key'], b64decode(row['value']), row.get('lease_id') or 0
            )
        for key in body.get('remove') or []:
            self.remove(key)
        first = len(writes) + len(body.get('remove') or [])
        for event in self.history[len(self.history) - first :]:
            event['revision'] = self.revision
            if event.get('created', 0) > self.revision - first:
                event['created'] = self.revision
        return 200, {'revision': self.revision}

    async def _promote(self, headers, body):
        call = (
            body['service'],
            body['id'],
            headers['x-lease-holder'],
            int(headers['x-fencing-token']),
        )
        self.world.record.note('promote call', *call)
        status = await self.on_promote(*call)
        self.world.record.note('promote call', *call, 'answered', status)
        return status, {}


class Database:
    """One database of the service."""

    def __init__(self, world, name, zone, slots=3):
        self.world = world
        self.name = name
        self.zone = zone
        self.role = 'replica'
        self.term = 1
        # Entries: (term, number, item, data, statement).
        self.log = [(1, 1000, '', '', '-')]
        self.applied = 1
        self.lag = 0.06
        self.is_down = False
        self.is_deaf = False
        self.is_listed = False
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(slots)
        self.work = 0.006
        self.connections = set()
        self.port = 0
        self.received = asyncio.Condition()
        self.sequence = 0

    @property
    def end(self):
        return self.log[-1][:2] if self.log else (0, 0)

    @property
    def shown(self):
        return self.log[self.applied - 1][:2] if self.applied else (0, 0)

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=2**20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def publish(self):
        """Write the entry to the store, as the database does itself."""
        self.is_listed = True
        self.sequence += 1
        entry = {
            'service': SERVICE,
            'address': f'{HOST}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'capacity_slots': 3,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'db_role': self.role,
            'born': self.born,
        }
        self.world.store.put(f'servers/{self.name}', json.dumps(entry).encode())

    def stop(self):
        """Stop at once: connections are reset, new ones refused."""
        self.is_down = True
        self.server.close()
        for writer in tuple(self.connections):
            writer.transport.abort()
        self.world.record.note('database', self.name, 'is down')

    async def come_back(self):
        """Start again with the log."""
        self.is_down = False
        leader = self.world.leader()
        if leader is not self and leader.term > self.term:
            self.role = 'replica'
        await self.start()
        self.publish()
        self.world.record.note(
            'database', self.name, 'is back', self.role, self.end
        )

    async def restart_empty(self, down=0.05, entry_late=0):
        """Start again under the same id, holding nothing of before."""
        self.stop()
        await asyncio.sleep(down)
        self.is_down = False
        self.log = []
        self.applied = 0
        self.role = 'replica'
        self.term = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()
        self.world.record.note('database', self.name, 'started again, empty')
        self.world.spawn(self._register(entry_late))

    async def _register(self, late):
        if late:
            await asyncio.sleep(late)
        self.publish()
        self.world.record.note('entry of', self.name, 'with its new start')

    async def _serve(self, reader, writer):
        if self.is_down or len(self.connections) >= 22:
            writer.write(b'ERROR TOOMANY connections\r\n')
            writer.close()
            return
        self.connections.add(writer)
        try:
            await Conversation(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    def read(self, item):
        for entry in reversed(self.log[: self.applied]):
            if entry[2] == item:
                return entry[3]
        return ''

    async def commit(self, writes, statement):
        """Append writes and wait for the replicas that the service asks."""
        number = self.end[1] + 1
        for item, data in writes:
            self.log.append((self.term, number, item, data, statement))
        self.applied = len(self.log)
        point = self.end
        place, entry = len(self.log), self.log[-1]
        self.world.commits.append(
            (self.world.record.now(), self.name, point, statement)
        )
        self.world.record.note('commit', statement, 'at', self.name, point)
        for other in self.world.databases:
            if other is not self:
                self.world.spawn(self._ship(other, len(self.log), self.term))
        if self.world.sync:
            async with self.received:
                while not any(
                    other.log[place - 1 : place] == [entry]
                    and other.is_listed
                    and not other.is_down
                    for other in self.world.databases
                    if other is not self
                ):
                    await self.received.wait()

    async def _ship(self, other, upto, term):
        near = other.zone == self.zone
        await asyncio.sleep(0.0002 if near else CROSS_ZONE)
        if other.is_down or other.is_deaf or self.is_down:
            return
        if other.role == 'primary' or other.term > term or not other.log:
            return
        if upto > len(other.log):
            other.log = list(self.log[:upto])
            other.term = term
        async with self.received:
            self.received.notify_all()
        await asyncio.sleep(other.lag)
        other.applied = max(other.applied, min(upto, len(other.log)))

    async def copy_log(self, leader):
        """Take over the log of the primary, as after a gap."""
        self.term = leader.term
        self.log = list(leader.log)
        self.applied = len(self.log)
        self.world.record.note(self.name, 'has copied up to', self.end)
        async with leader.received:
            leader.received.notify_all()

    async def be_promoted(self):
        """Lead the next term with what was received, and nothing more."""
        await asyncio.sleep(PROMOTE_TIME)
        leads = self.role == 'primary' and self.world.leader() is self
        if self.is_down or leads:
            return
        self.term = max(one.term for one in self.world.databases) + 1
        self.role = 'primary'
        self.applied = len(self.log)
        held = frozenset(entry[4] for entry in self.log)
        self.world.promotions.append(
            (self.world.record.now(), self.name, self.term, held)
        )
        self.world.record.note(
            'promotion of', self.name, 'to term', self.term, 'has taken effect'
        )
        self.publish()
        for other in self.world.databases:
            if other is not self:
                self.world.spawn(other.follow(self))

    async def follow(self, leader):
        """Become a replica of a newer leader, a primary after a second."""
        await asyncio.sleep(1 if self.role == 'primary' else CROSS_ZONE)
        while self.is_down or self.is_deaf:
            await asyncio.sleep(0.05)
        if self.term < leader.term and leader.role == 'primary':
            was_primary = self.role == 'primary'
            self.role = 'replica'
            self.term = leader.term
            self.log = list(leader.log)
            self.applied = min(self.applied, len(self.log))
            if was_primary:
                self.world.record.note(self.name, 'follows', leader.name)
            if self.is_listed:
                self.publish()
            async with leader.received:
                leader.received.notify_all()
            await asyncio.sleep(self.lag)
            self.applied = len(self.log)


class Refused(Exception):
    """An ERROR with its code."""


class Conversation:
    """One connection at a database."""

    def __init__(self, database, reader, writer):
        self.database = database
        self.reader = reader
        self.writer = writer
        self.phase = 'I'
        self.is_plain = False
        self.writes = []
        self.values = {}
        self.prepared = {}

    async def _line(self):
        line = await self.reader.readuntil(b'\r\n')
        return line[:-2].decode()

    async def run(self):
        words = (await self._line()).split(' ')
        database = self.database
        if words[:2] != ['START', SERVICE] or words[3:] != [database.name]:
            self.writer.write(b'ERROR MISROUTED\r\n')
            return
        async with database.slots:
            await asyncio.sleep(HANDSHAKE)
        self._send(self._ready())
        while not (line := await self._line()).startswith('CLOSE'):
            _, statement, text = line.split(' ', 2)
            await self._query(statement, text)

    def _ready(self):
        term, number = self.database.shown
        place = f'{term}.{number}' if number else '-'
        return f'READY {self.phase} {place}'

    def _send(self, *lines):
        self.writer.write(''.join(f'{line}\r\n' for line in lines).encode())

    async def _query(self, statement, text):
        try:
            rows, digest = await self._run(statement, text)
        except Refused as refused:
            if self.phase == 'T':
                self.phase = 'E'
            self._send(f'ERROR {refused} {self.database.name}', self._ready())
        else:
            rows = [f'ROW {row}' for row in rows]
            self._send(*rows, f'COMPLETE {digest}', self._ready())
        await self.writer.drain()

    async def _run(self, statement, text):
        database = self.database
        after = None
        if text.startswith('AFTER '):
            _, place, text = text.split(' ', 2)
            after = tuple(map(int, place.split('.')))
        word, _, rest = text.partition(' ')
        if word == 'STATUS':
            return [await self._status()], '-'
        if word == 'SET':
            name, _, value = rest.partition(' ')
            self.values[name] = value
            return [], '-'
        if word == 'RESET':
            self.values.clear()
            self.prepared.clear()
            return [], '-'
        if word == 'PREPARE':
            name, _, shape = rest.partition(' ')
            self.prepared[name] = shape
            return [], '-'
        if word == 'ROLLBACK':
            self.phase, self.writes = 'I', []
            return [], '-'
        if after is not None and database.shown < after:
            raise Refused('LAGGING')
        if word == 'BEGIN':
            if rest != 'READ' and database.role != 'primary':
                raise Refused('READONLY')
            self.phase, self.is_plain = 'T', rest != 'READ'
            return [], '-'
        if self.phase == 'E':
            raise Refused('MALFORMED')
        if word == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in self.prepared:
                raise Refused('NOSTMT')
            word = self.prepared[name].partition(' ')[0]
        if word not in ('READ', 'WRITE', 'COMMIT'):
            raise Refused('MALFORMED')
        database.world.arrivals.append(
            (database.world.record.now(), database.name, statement)
        )
        async with database.slots:
            await asyncio.sleep(database.work)
            rows = await self._work(word, rest, statement)
        return rows, f'{database.name}.{statement}'

    async def _work(self, word, rest, statement):
        database = self.database
        if database.is_down:
            raise ConnectionResetError
        is_plain = self.phase == 'T' and self.is_plain
        if database.role != 'primary' and (word == 'WRITE' or is_plain):
            raise Refused('READONLY')
        if word == 'READ':
            held = frozenset(entry[4] for entry in database.log)
            database.world.reads.append(
                (
                    database.world.record.now(),
                    database.name,
                    statement,
                    database.end,
                    held,
                )
            )
            return [dict(self.writes).get(rest, database.read(rest))]
        if word == 'WRITE':
            item, _, data = rest.partition(' ')
            self.writes.append((item, data))
        if word == 'COMMIT' or self.phase == 'I':
            writes, self.writes, self.phase = self.writes, [], 'I'
            if writes:
                await database.commit(writes, statement)
        return []

    async def _status(self):
        database = self.database
        async with database.slots:
            await asyncio.sleep(0.0005)
        term, number = database.end
        return f'{database.role} {database.term} {term}.{number} 0 0 0 1'


class Proxy:
    """One process of the system, started by the deploy file's command."""

    def __init__(self, world, number):
        self.world = world
        self.zone = ZONES[number % len(ZONES)]
        self.name = f'frontend-{self.zone}-{number // len(ZONES) + 1}'
        self.ports = {name: free_port() for name in ('front', 'ready', 'peers')}
        self.child = None

    def start(self):
        ports = self.ports
        lines = [
            f'name = "{self.name}"',
            f'zone = "{self.zone}"',
            'grace_seconds = 6',
            '[callers]',
            f'address = "{HOST}:{ports["front"]}"',
            '[readiness]',
            f'address = "{HOST}:{ports["ready"]}"',
            '[peers]',
            f'address = "{HOST}:{ports["peers"]}"',
            '[store]',
            f'address = "{HOST}:{self.world.store.port}"',
            'shortest_lease_ms = 1000',
            '[promotions]',
            f'address = "{HOST}:{self.world.store.cloud_port}"',
            '[capacity]',
            'processor_share = 0.537',
            'processor_speed = 2',
            'memory_mb = 300',
            'link_mbps = 1000',
            'descriptors = 4300',
            '[bounds]',
            'drain_ms = 7000',
            'configuration_ms = 3000',
        ]
        path = self.world.folder / f'{self.name}.toml'
        path.write_text('\n'.join(lines))
        log = open(self.world.folder / f'{self.name}.log', 'ab')
        self.child = subprocess.Popen(
            ['python3', 'deploy/start.py', '--settings', str(path)],
            cwd=ROOT,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', ''),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.ports['ready']
            )
        except OSError:
            return False
        writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
        try:
            return b' 200 ' in await reader.readline()
        finally:
            writer.transport.abort()

    def kill(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


drawn_ports = set()


def free_port():
    """Return a free port below those that the system gives to connections."""
    draw = Random()
    while True:
        port = draw.randrange(20000, 32000)
        if port in drawn_ports:
            continue
        drawn_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


class Client:
    """A client with sessions of its own, one operation after the other."""

    def __init__(self, world, number, database, writes):
        self.world = world
        self.item = f'item{number}'
        self.number = number
        self.database = database
        self.share = writes
        self.pause = 0.02
        self.random = Random(number)

    async def run(self):
        while not self.world.is_over:
            proxy = self.random.choice(self.world.proxies)
            try:
                await self._use(proxy)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(self.pause)

    async def _use(self, proxy):
        reader, writer = await asyncio.open_connection(
            HOST, proxy.ports['front'], limit=2**20
        )
        try:
            writer.write(f'START {self.database} key\r\n'.encode())
            line = await asyncio.wait_for(reader.readuntil(b'\r\n'), 2)
            if not line.startswith(b'READY'):
                return
            for _ in range(20):
                if self.world.is_over:
                    break
                if not await self._operate(reader, writer, proxy):
                    return
                await asyncio.sleep(self.pause)
            writer.write(b'CLOSE\r\n')
        finally:
            writer.close()

    async def _operate(self, reader, writer, proxy):
        world = self.world
        while world.is_quiet:
            await asyncio.sleep(0.01)
        name = f'c{self.number}n{next(world.ids)}'
        is_write = self.random.random() < self.share
        text = f'WRITE {self.item} {name}' if is_write else f'READ {self.item}'
        sent = world.record.now()
        world.record.note('sent', name, 'to', proxy.name, text)
        writer.write(f'QUERY {name} {text}\r\n'.encode())
        code, row = 'none', ''
        try:
            while True:
                raw = await asyncio.wait_for(reader.readuntil(b'\r\n'), 5)
                word, _, rest = raw[:-2].decode().partition(' ')
                if word == 'ROW':
                    row = rest
                elif word == 'COMPLETE':
                    code = word
                elif word == 'ERROR':
                    code = rest.partition(' ')[0]
                elif word == 'READY':
                    return True
        finally:
            world.record.note('answer', name, code, row)
            world.answers[name] = (sent, world.record.now(), code, is_write)


class World:
    """All stand-ins of one case."""

    def __init__(self, folder, record, databases, proxies=6, sync=0):
        self.folder = folder
        self.record = record
        self.sync = sync
        self.is_over = False
        self.ids = count(1)
        self.arrivals = []
        self.commits = []
        self.promotions = []
        # Reads: when, where, which, and the log that they ran on.
        self.reads = []
        self.is_quiet = False
        self.answers = {}
        self._tasks = set()
        self.store = Store(self)
        self.store.on_promote = self.promote
        self.databases = [Database(self, *names) for names in databases]
        self.proxies = [Proxy(self, number) for number in range(proxies)]

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def find(self, name):
        return next(one for one in self.databases if one.name == name)

    def leader(self):
        leading = [one for one in self.databases if one.role == 'primary']
        return max(leading or self.databases, key=lambda one: one.term)

    async def promote(self, service, name, holder, token):
        """Take a promotion call as a sound platform does."""
        database = self.find(name)
        if database.is_down:
            return 409
        self.spawn(database.be_promoted())
        return 200

    async def start(self, listed):
        await self.store.start()
        for database in self.databases:
            await database.start()
        self.databases[0].role = 'primary'
        configuration = {
            'version': 3,
            'routes': [
                {
                    'name': 'queue-settle',
                    'host': 'settle',
                    'service': SERVICE,
                    'type': 'primary',
                    'timeout_ms': 800,
                    'target_latency_ms': 150,
                    'priority': 1,
                },
                {
                    'name': 'venue-admin',
                    'host': 'admin',
                    'service': SERVICE,
                    'type': 'read_your_writes',
                    'timeout_ms': 800,
                    'target_latency_ms': 250,
                    'max_staleness_ms': 2500,
                    'priority': 2,
                },
            ],
            'services': [
                {
                    'name': SERVICE,
                    'max_connections': 22,
                    'sync_replicas': self.sync,
                },
            ],
            'limits': {'tx_idle_ms': 5000},
        }
        self.store.put('op/config', json.dumps(configuration).encode())
        for name in listed:
            self.find(name).publish()
        for proxy in self.proxies:
            proxy.start()
        give_up = time.monotonic() + 30
        for proxy in self.proxies:
            while not await proxy.is_ready():
                if time.monotonic() > give_up:
                    keep_logs(self.folder)
                    raise NotRunnable(f'{proxy.name} is not ready')
                await asyncio.sleep(0.1)

    def add_clients(self, number, database='settle', writes=0.6):
        for _ in range(number):
            client = Client(self, next(self.ids), database, writes)
            self.spawn(client.run())

    async def wait_served(self, limit=15):
        """Wait until writes are acknowledged."""
        give_up = self.record.now() + limit
        began = len(self.commits)
        while len(self.commits) < began + 20:
            if self.record.now() > give_up:
                raise NotRunnable('no writes are served')
            await asyncio.sleep(0.05)

    def list_acknowledged(self):
        """Yield (statement, acknowledged at) of the writes with success."""
        for name, (_, ended, code, is_write) in self.answers.items():
            if is_write and code == 'COMPLETE':
                yield name, ended

    def find_one(self):
        """List acknowledged writes committed after a newer promotion."""
        acknowledged = dict(self.list_acknowledged())
        return [
            (at, name, point, statement, effect[:3])
            for at, name, point, statement in self.commits
            for effect in self.promotions
            if effect[0] < at
            and effect[2] > point[0]
            and statement in acknowledged
        ]

    def find_lost(self):
        """List acknowledged writes that a promoted database lacks."""
        return [
            (statement, ended, effect[:3])
            for statement, ended in self.list_acknowledged()
            for effect in self.promotions
            if ended < effect[0] and statement not in effect[3]
        ]

    def find_stale(self):
        """List reads with success that ran on a log without a commit.

        The commit was acknowledged before the first byte of the read, and no
        promotion has rolled it back. For clients of primary routes only.
        """
        kept = [
            (statement, ended)
            for statement, ended in self.list_acknowledged()
            if all(
                statement in effect[3] or effect[0] < ended
                for effect in self.promotions
            )
        ]
        found = []
        for at, name, statement, end, held in self.reads:
            sent, _, code, _ = self.answers.get(statement, (0, 0, '', False))
            if code != 'COMPLETE':
                continue
            missing = [
                (other, ended)
                for other, ended in kept
                if ended < sent and other not in held
            ]
            if missing:
                found.append((statement, sent, name, at, end, *missing[-1]))
        return found

    def stop(self):
        self.is_over = True
        for proxy in self.proxies:
            proxy.kill()


class NotRunnable(Exception):
    """The case could not run."""


def run_case(case, path):
    """Run a case; exit with 0, 1 or 2 as the review's pages ask."""
    with_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(path).resolve().parent / 'record.txt')
    status = 2
    try:
        with TemporaryDirectory() as folder:
            status = asyncio.run(
                asyncio.wait_for(
                    _run(case, Path(folder), record, with_trouble), 115
                )
            )
    except (NotRunnable, TimeoutError, OSError) as failure:
        record.note('could not run:', repr(failure))
        print(f'could not run: {failure!r}')
    finally:
        record.close()
    sys.exit(status)


def keep_logs(folder):
    """Copy the logs of the processes to a folder that is named."""
    keep = os.environ.get('KEEP_LOGS')
    for log in folder.glob('*.log') if keep else ():
        (Path(keep) / log.name).write_bytes(log.read_bytes())


async def _run(case, folder, record, with_trouble):
    world = None
    try:
        world = case.make_world(folder, record)
        await case.play(world, with_trouble)
        world.is_over = True
        await asyncio.sleep(1)
        keep_logs(folder)
        for proxy in world.proxies:
            if proxy.child.poll() is not None:
                raise NotRunnable(f'{proxy.name} has ended')
        broken = case.judge(world)
        for line in broken:
            record.note('BROKEN', line)
        record.note(len(broken), 'breaks of the rule')
        print(f'{len(broken)} breaks; first: {broken[0] if broken else "-"}')
        return 1 if broken else 0
    finally:
        # Connections that the end cancels are no faults.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        if world is not None:
            world.stop()
