"""Stand-ins for the platform, its store and its databases, and a driver.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = '127.0.0.1'
HEARTBEAT_S = 1.2
REPLICA_LAG_S = 0.02
PROMOTE_S = 0.3
WORK_S = 0.004
CONNECTION_LIMIT = 22
SLOTS = 3


# Below the ports that the system gives to outgoing connections: a process that
# starts again must find its own ports free.
FIRST_PORT, LAST_PORT = 12000, 30000
_taken = set()


def free_port():
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in _taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _taken.add(port)
        return port


class Record:
    """Write what was sent, answered and run, with the time."""

    def __init__(self, path):
        self.file = Path(path).open('w')
        self.began = time.monotonic()

    def note(self, text):
        spent = time.monotonic() - self.began
        self.file.write(f'{spent:9.3f} {text}\n')
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


class Store:
    """Serve the metadata store, and the calls of the promotion duty."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.promote = None
        self.server = None
        # Every call is answered with 503.
        self.is_shedding = False
        # Whether an answer is the last one on its connection.
        self.closes = lambda status, path: False
        self.closed = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.sweeper = asyncio.create_task(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (until, _) in tuple(self.leases.items()):
                if until < now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, v in self.items.items() if v['lease_id'] == lease]
        if keys:
            self.apply([], keys)

    def put(self, key, document):
        raw = document if isinstance(document, bytes) else None
        raw = json.dumps(document).encode() if raw is None else raw
        self.apply([(key, raw, 0)], [])

    def apply(self, writes, removes):
        self.revision += 1
        for key, raw, lease in writes:
            known = self.items.get(key)
            item = {
                'key': key,
                'value': base64.b64encode(raw).decode(),
                'revision': self.revision,
                'created': known['created'] if known else self.revision,
                'lease_id': lease,
            }
            self.items[key] = item
            self.events.append(item)
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.events.append(
                    {'key': key, 'revision': self.revision, 'deleted': True}
                )
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                first, *lines = head.decode().split('\r\n')
                method, target, _ = first.split(' ')
                headers = {
                    k.lower(): v.strip()
                    for k, _, v in (x.partition(':') for x in lines if x)
                }
                length = int(headers.get('content-length', '0'))
                body = await reader.readexactly(length) if length else b''
                url = urllib.parse.urlsplit(target)
                query = dict(
                    urllib.parse.parse_qsl(url.query, keep_blank_values=True)
                )
                await asyncio.sleep(0.004)
                if self.is_shedding:
                    status, answer = 503, {}
                else:
                    status, answer = await self._answer(
                        method, url.path, query, body, headers
                    )
                raw = json.dumps(answer).encode()
                closes = self.closes(status, url.path)
                writer.write(
                    f'HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n'
                    f'content-length: {len(raw)}\r\n'.encode()
                    + (b'connection: close\r\n\r\n' if closes else b'\r\n')
                    + raw
                )
                await writer.drain()
                if closes:
                    self.closed += 1
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, query, body, headers):
        if path == '/kv-range':
            prefix, after = query['prefix'], query.get('after', '')
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            return 200, {
                'items': [self.items[k] for k in keys[:500]],
                'has_more': len(keys) > 500,
                'at_revision': self.revision,
            }
        if path == '/kv-key':
            item = self.items.get(query['key'])
            return (404, {}) if item is None else (200, item)
        if path == '/kv-watch':
            return await self._watch(query)
        document = json.loads(body) if body else {}
        if path == '/kv-txn':
            return self._transact(document)
        if path == '/kv-lease':
            lease = self.next_lease
            self.next_lease += 1
            ttl = max(1000, document['ttl_ms'])
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {'lease_id': lease, 'ttl_ms': ttl}
        if path.startswith('/kv-keep/'):
            lease = int(path.rpartition('/')[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {'lease_id': lease, 'ttl_ms': ttl}
        if path.startswith('/kv-lease-end/'):
            self._end_lease(int(path.rpartition('/')[2]))
            return 200, {}
        if path == '/promote':
            holder = headers.get('x-lease-holder')
            token = headers.get('x-fencing-token')
            self.record.note(f'platform: promote {document} {holder} {token}')
            return self.promote(document['id']), {}
        return 404, {}

    async def _watch(self, query):
        prefix, after = query['prefix'], int(query['after'])
        until = time.monotonic() + int(query['wait_timeout_ms']) / 1000
        while True:
            found = [
                e
                for e in self.events
                if e['revision'] > after and e['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {'events': found, 'at_revision': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, document):
        expected = document.get('expected', [])
        for one in expected:
            item = self.items.get(one['key'])
            if (item['revision'] if item else 0) != one['revision']:
                return 412, {
                    'items': [
                        self.items.get(
                            e['key'], {'key': e['key'], 'revision': 0}
                        )
                        for e in expected
                    ]
                }
        writes = []
        for one in document.get('write', []):
            lease = one.get('lease_id', 0)
            if lease and lease not in self.leases:
                return 404, {}
            if one['key'].startswith(('op/', 'servers/')):
                return 403, {}
            writes.append((one['key'], base64.b64decode(one['value']), lease))
        self.apply(writes, document.get('remove', []))
        return 200, {'revision': self.revision}


class Database:
    """Serve one database of a service over the wire protocol."""

    def __init__(self, world, name, service, zone, role):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.role = role
        self.term = 1
        self.log = [(1, 0)]
        self.data = {}
        self.connections = 0
        self.next_connection = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.sequence = 0
        # Return an error code for a message, or None; the day's disruption.
        self.fail = lambda text: None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, HOST, 0, limit=2 * 1024 * 1024
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        self.sequence += 1
        self.world.store.put(
            f'servers/{self.name}',
            {
                'service': self.service,
                'address': f'{HOST}:{self.port}',
                'zone': self.zone,
                'version': '1',
                'capacity_slots': SLOTS,
                'state': 'ready',
                'cold_remaining_ms': 0,
                'sequence': self.sequence,
                'db_role': self.role,
            },
        )

    @property
    def end(self):
        return '{}.{}'.format(*self.log[-1])

    async def _serve(self, reader, writer):
        self.next_connection += 1
        link = f'{self.name}#{self.next_connection}'
        if self.connections >= CONNECTION_LIMIT:
            writer.write(b'ERROR TOOMANY full\r\n')
            writer.close()
            return
        self.connections += 1
        session = Session(self, link)
        try:
            start = await read_crlf(reader)
            fields = (start or '').split(' ')
            if len(fields) < 3 or fields[1] != self.service:
                writer.write(b'ERROR MISROUTED service\r\n')
                return
            if len(fields) > 3 and fields[3] != self.name:
                writer.write(b'ERROR MISROUTED id\r\n')
                return
            await asyncio.sleep(0.012)
            writer.write(f'READY I {self.end}\r\n'.encode())
            while (line := await read_crlf(reader)) is not None:
                word, _, rest = line.partition(' ')
                if word == 'CLOSE':
                    return
                if word != 'QUERY':
                    self.world.record.note(f'{link} not a message {line!r}')
                    return
                name, _, text = rest.partition(' ')
                rows, done, error = await session.run(name, text)
                out = [f'ROW {row}' for row in rows]
                out.append(
                    f'COMPLETE {done}' if error is None else f'ERROR {error}'
                )
                out.append(f'READY {session.state} {self.end}')
                writer.write(''.join(x + '\r\n' for x in out).encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    def commit(self, writes, by):
        self.log.append((self.term, self.log[-1][1] + 1))
        for item, text in writes:
            self.data[item] = text
        self.world.ship(self, tuple(writes), self.log[-1])


async def read_crlf(reader):
    """Return one message; only CR LF ends a line."""
    try:
        line = await reader.readuntil(b'\r\n')
    except asyncio.IncompleteReadError:
        return None
    return line[:-2].decode()


class Session:
    """Hold the state of one connection at a database."""

    def __init__(self, database, link):
        self.database = database
        self.link = link
        self.state = 'I'
        self.is_read_only = False
        self.writes = []
        self.values = {}
        self.prepared = {}

    async def run(self, name, text):
        """Return rows, the digest and an error."""
        base = self.database
        sent = text
        world = base.world
        word, _, rest = text.partition(' ')
        if word == 'AFTER':
            place, _, text = rest.partition(' ')
            term, _, number = place.partition('.')
            if (int(term), int(number)) > base.log[-1]:
                return [], None, 'LAGGING behind'
            word, _, rest = text.partition(' ')
        code = base.fail(sent)
        if code is not None:
            world.record.note(f'{self.link} id={name} {sent!r} -> {code}')
            if self.state == 'T':
                self.state = 'E'
            return [], None, f'{code} grey'
        if word == 'STATUS':
            row = f'{base.role} {base.term} {base.end} 0 0 0 {base.connections}'
            return [row], '-', None
        result = await self._run(name, word, rest, text)
        world.record.note(
            f'{self.link} id={name} {sent!r} values={self.values} -> '
            + (f'{result[1]}' if result[2] is None else f'ERROR {result[2]}')
        )
        return result

    async def _run(self, name, word, rest, text):
        base = self.database
        done = ([], '-', None)
        if self.state == 'E' and word not in ('ROLLBACK', 'COMMIT'):
            return [], None, 'MALFORMED failed transaction'
        if word == 'RESET':
            self.values, self.prepared = {}, {}
            return done
        if word == 'SET':
            key, _, value = rest.partition(' ')
            self.values = {**self.values, key: value}
            return done
        if word == 'PREPARE':
            key, kind, shape = rest.split(' ', 2)
            self.prepared[key] = (kind, shape)
            return done
        if word == 'DEALLOC':
            self.prepared.pop(rest, None)
            return done
        if word == 'BEGIN':
            if base.role != 'primary' and rest != 'READ':
                return [], None, 'READONLY replica'
            self.state, self.is_read_only = 'T', rest == 'READ'
            return done
        if word == 'ROLLBACK':
            self.state, self.writes = 'I', []
            return done
        if word == 'COMMIT':
            failed, writes = self.state == 'E', self.writes
            self.state, self.writes = 'I', []
            if failed:
                return [], None, 'FAILED rolled back'
            async with base.slots:
                await asyncio.sleep(WORK_S)
            if writes:
                base.commit(writes, name)
            return [], base.world.digest(base, name, text, self), None
        kind, item, data = word, rest, ''
        if word == 'EXECUTE':
            key, _, arguments = rest.partition(' ')
            if key not in self.prepared:
                return [], None, 'NOSTMT no such name'
            kind, item = self.prepared[key][0], arguments
        if kind == 'WRITE':
            item, _, data = item.partition(' ')
            if base.role != 'primary':
                return [], None, 'READONLY replica'
        elif kind != 'READ':
            return [], None, 'MALFORMED no statement'
        async with base.slots:
            await asyncio.sleep(WORK_S)
        digest = base.world.digest(base, name, text, self)
        if kind == 'READ':
            return [base.data.get(item, 'none')], digest, None
        if self.state == 'T':
            self.writes.append((item, data))
        else:
            base.commit([(item, data)], name)
        return [], digest, None


class World:
    """Run the store, one group of databases, and proxies as processes."""

    def __init__(self, folder, record):
        self.folder = Path(folder)
        self.record = record
        self.store = Store(record)
        self.databases = {}
        self.runs = []
        self.proxies = {}
        self.is_ended = False

    async def start(self, zones=('a', 'b', 'c'), service='songbook', routes=()):
        self.service = service
        await self.store.start()
        self.store.promote = self.promote
        for number, zone in enumerate(zones):
            role = 'replica' if number else 'primary'
            name = f'i-{number + 1:08x}'
            base = Database(self, name, service, zone, role)
            self.databases[name] = base
            await base.start()
        self.store.put(
            'op/config',
            {
                'version': 3,
                'routes': [
                    {
                        'name': f'route-{kind}',
                        'host': host,
                        'service': service,
                        'type': kind,
                        'timeout_ms': timeout_ms,
                        'target_latency_ms': latency_ms,
                        'priority': 1,
                        'max_staleness_ms': stale_ms,
                    }
                    for host, kind, timeout_ms, latency_ms, stale_ms in (
                        ('settle', 'primary', 800, 150, 0),
                        ('browse', 'bounded_staleness', 2000, 500, 1500),
                        ('admin', 'read_your_writes', 800, 250, 2500),
                    )
                ],
                'services': [
                    {
                        'name': service,
                        'max_connections': CONNECTION_LIMIT,
                        'sync_replicas': 0,
                    }
                ],
                'limits': {'tx_idle_ms': 5000},
            },
        )

    def digest(self, base, name, text, session):
        self.runs.append((name, text, session.link, dict(session.values)))
        return f'7.{len(self.runs):x}.{base.name}'

    def ship(self, primary, writes, place):
        async def take(base):
            await asyncio.sleep(REPLICA_LAG_S)
            if base.role == 'replica' and place > base.log[-1]:
                base.log.append(place)
                base.term = place[0]
                base.data.update(writes)

        for base in self.databases.values():
            if base is not primary:
                asyncio.get_running_loop().create_task(take(base))

    def promote(self, name):
        base = self.databases.get(name)
        if base is None:
            return 409

        async def lead():
            await asyncio.sleep(PROMOTE_S)
            if base.role == 'primary':
                return
            newest = max(one.term for one in self.databases.values())
            for one in self.databases.values():
                one.role = 'replica'
            base.term, base.role = newest + 1, 'primary'
            base.log.append((base.term, base.log[-1][1] + 1))
            for one in self.databases.values():
                one.register()

        asyncio.get_running_loop().create_task(lead())
        return 200

    def settings(self, name, zone):
        ports = {
            key: free_port() for key in ('front', 'ready', 'peer', 'metrics')
        }
        template = (ROOT / 'deploy' / 'settings.toml').read_text()
        values = {
            'node_name': name,
            'zone': zone,
            'bounds.grace_s': '6',
            'listen_addrs.front': f'{HOST}:{ports["front"]}',
            'listen_addrs.ready': f'{HOST}:{ports["ready"]}',
            'ip': HOST,
            'internal_port_range.0': str(ports['peer']),
            'internal_port_range.1': str(ports['metrics']),
            'platform.address': f'{HOST}:{self.store.port}',
            'platform.min_ttl_ms': '1000',
            'cloud_api.address': f'{HOST}:{self.store.port}',
            'limits.cpu_share': '0.537',
            'limits.cpu_cores': '2',
            'limits.memory_mb': '300',
            'limits.link_mbps': '1000.0',
            'limits.max_fds': '4300',
            'bounds.drain_ms': '7000',
            'bounds.config_apply_ms': '3000',
        }
        # The section for limits of tenants is not in force here.
        head, _, rest = template.partition('{{#bounds.quota_slack}}')
        template = head + rest.partition('{{/bounds.quota_slack}}')[2]
        for key, value in values.items():
            template = template.replace('{{' + key + '}}', value)
        path = self.folder / f'{name}.toml'
        path.write_text(template)
        return path, ports

    async def start_proxy(self, name, zone, is_restarted=True):
        path, ports = self.settings(name, zone)
        proxy = Proxy(self, name, path, ports, is_restarted)
        self.proxies[name] = proxy
        await proxy.start()
        return proxy

    async def wait_ready(self, limit=20):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            ready = [await proxy.is_ready() for proxy in self.proxies.values()]
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        self.is_ended = True
        for proxy in self.proxies.values():
            await proxy.kill()


class Proxy:
    """Run one proxy by the command of the deploy file, as the platform does."""

    def __init__(self, world, name, path, ports, is_restarted):
        self.world = world
        self.name = name
        self.path = path
        self.ports = ports
        self.is_restarted = is_restarted
        # Exit codes of processes that ended by themselves.
        self.own_ends = []
        self.process = None
        self.watcher = None
        # Held while a process is being started or ended.
        self.starting = asyncio.Lock()

    async def start(self):
        async with self.starting:
            if not self.world.is_ended:
                await self._start()

    async def _start(self):
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        self.log = (self.world.folder / f'{self.name}.log').open('a')
        self.process = await asyncio.create_subprocess_exec(
            'python3',
            'deploy/start.py',
            '--settings',
            str(self.path),
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )
        self.world.record.note(
            f'platform: {self.name} starts, pid {self.process.pid}'
        )
        self.watcher = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process):
        code = await process.wait()
        if self.world.is_ended or process is not self.process:
            return
        self.own_ends.append(code)
        self.world.record.note(
            f'platform: {self.name} ended by itself, exit code {code}'
        )
        if self.is_restarted:
            await asyncio.sleep(0.5)
            if not self.world.is_ended:
                await self.start()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.ports['ready']
            )
            writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def kill(self):
        async with self.starting:
            process, self.process = self.process, None
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()


class Client:
    """Speak the wire protocol as a client does."""

    def __init__(self, proxy, database, label):
        self.proxy = proxy
        self.database = database
        self.label = label
        self.record = proxy.world.record

    async def open(self, limit=3):
        async with asyncio.timeout(limit):
            self.reader, self.writer = await asyncio.open_connection(
                HOST, self.proxy.ports['front'], limit=2 * 1024 * 1024
            )
            self.writer.write(f'START {self.database} key\r\n'.encode())
            return await read_crlf(self.reader)

    async def query(self, name, text, limit=5):
        """Send one message; return its rows and the line that ends it."""
        self.record.note(f'client {self.label}: id={name} sends {text!r}')
        self.writer.write(f'QUERY {name} {text}\r\n'.encode())
        rows, end = [], None
        try:
            async with asyncio.timeout(limit):
                while (line := await read_crlf(self.reader)) is not None:
                    if line.startswith('ROW '):
                        rows.append(line[4:])
                    elif line.startswith('READY'):
                        break
                    else:
                        end = line
                else:
                    end = end or 'closed'
        except TimeoutError:
            end = 'no answer'
        except OSError as failure:
            end = f'closed: {failure}'
        self.record.note(f'client {self.label}: id={name} gets {rows} {end!r}')
        return rows, end

    def close(self):
        self.writer.close()


def record_failures(record, name, log):
    """Record the errors in a proxy's log, without the traces."""
    seen = set()
    for line in log.read_text().splitlines():
        text = line.strip(' |+-')
        kind = text.partition(':')[0]
        if kind.replace('.', '').isidentifier() and kind.endswith(
            ('Error', 'Exception')
        ):
            if text not in seen:
                seen.add(text)
                record.note(f'log of {name}: {text}')


def is_troubled():
    return os.environ.get('TROUBLE', '1') != '0'


def main(path, play, limit=110):
    """Run `play(world)`, recorded at `path`; exit with 1 if a rule broke."""
    record = Record(path)
    if not (ROOT / 'target' / 'deps').is_dir():
        record.say('the case could not run: build the deploy file first')
        sys.exit(2)
    with tempfile.TemporaryDirectory() as place:

        async def run():
            world = World(place, record)
            playing = asyncio.current_task()
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGTERM, playing.cancel
            )
            try:
                async with asyncio.timeout(limit):
                    return await play(world)
            finally:
                await world.stop()
                for name in world.proxies:
                    record_failures(record, name, Path(place) / f'{name}.log')

        try:
            verdict = asyncio.run(run())
        except (
            OSError,
            TimeoutError,
            RuntimeError,
            asyncio.CancelledError,
        ) as failure:
            record.say(f'the case could not run: {failure!r}')
            sys.exit(2)
    if verdict is None:
        record.say('the case could not run')
        sys.exit(2)
    record.say('; '.join(verdict) if verdict else 'the rule held')
    sys.exit(1 if verdict else 0)
