"""A small deployment on loopback addresses, for the scripts of the review.

Starts the project's program with the command of deploy/system.toml and settings rendered from its template, and plays
what surrounds it: the platform's store, the list of machines, the minions and the clients, as the users' pages
describe them. Needs only Python's standard library.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), '..', '..'))
BOUNDS = {'hold_max_ms': 6000, 'lease_ttl_ms': 3000, 'status_s': 120, 'grace_s': 6, 'far_x': 3, 'stop_timeout_ms': 400,
          'cancel_ms': 3000, 'visible_ms': 3000, 'finish_s': 14, 'contact_ms': 3000, 'config_apply_ms': 2000,
          'ack_timeout_ms': 4000}


def now():
    return time.monotonic()


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.began = now()
        self.file = open(os.path.join(folder, 'record.txt'), 'w')

    def at(self):
        return now() - self.began

    def __call__(self, *words):
        line = f'{self.at():9.3f} ' + ' '.join(str(word) for word in words)
        self.file.write(line + '\n')
        self.file.flush()

    def say(self, *words):
        self(*words)
        print(f'{self.at():9.3f}', *words, flush=True)


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if ':' in line:
            name, value = line.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    return lines[0], headers, body


class ResetConnection(Exception):
    """The connection on which a call has arrived is to be reset."""


class HttpServer:
    """An HTTP/1.1 server that passes each request to `answer(method, path, headers, body)`, which returns a status and
    a JSON value. None as a value is an empty body; None instead of the pair closes nothing and answers nothing."""

    def __init__(self, address, port=None):
        self.address = address
        self.port = port or free_port(address)
        self.server = None
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    def stop(self):
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not message:
                    return
                method, target, _ = message[0].split(' ', 2)
                try:
                    parsed = json.loads(message[2]) if message[2] else {}
                except ValueError:
                    parsed = None
                reply = await self.answer(method, target, message[1], parsed)
                if reply is None:
                    await asyncio.sleep(3600)
                status, value = reply
                text = b'' if value is None else json.dumps(value).encode()
                writer.write(f'HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {len(text)}'
                             f'\r\n\r\n'.encode() + text)
                await writer.drain()
        except ResetConnection:
            Store.reset(writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's store. While `mode` is 'reset', it resets each connection on which a call arrives; while it is
    'silent', it answers no call, and a connection on which an answer was lost returns nothing further."""
    delay = 0.004
    mode = 'up'

    def reset_connections(self):
        for writer in list(self.open):
            self.reset(writer)

    @staticmethod
    def reset(writer):
        if not writer.is_closing():
            writer.get_extra_info('socket').setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
        writer.transport.abort()

    def __init__(self, address):
        super().__init__(address)
        self.items = {}
        self.revision = 1
        self.events = []
        self.changed = asyncio.Condition()

    @staticmethod
    def row(key, item):
        return {'key': key, 'value': base64.b64encode(item['value']).decode(), 'revision': item['revision'],
                'created': item['created'], 'lease': 0}

    async def put(self, key, value):
        """A write of the operator or of a minion."""
        await self.apply([(key, value if isinstance(value, bytes) else json.dumps(value).encode())], [])

    async def remove(self, key):
        await self.apply([], [key])

    async def apply(self, puts, deletes):
        self.revision += 1
        for key, value in puts:
            created = self.items[key]['created'] if key in self.items else self.revision
            self.items[key] = {'value': value, 'revision': self.revision, 'created': created}
            self.events.append((self.revision, key, self.row(key, self.items[key])))
        for key in deletes:
            if self.items.pop(key, None):
                self.events.append((self.revision, key, {'key': key, 'revision': self.revision, 'removed': True}))
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, method, target, headers, body):
        if self.mode == 'reset':
            raise ResetConnection
        if self.mode == 'silent':
            return None
        reply = await self.handle(target, body)
        return None if self.mode == 'silent' else reply

    async def handle(self, target, body):
        await asyncio.sleep(self.delay)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == '/v1/kv-key':
            item = self.items.get(query['key'])
            return (200, {**self.row(query['key'], item), 'current_rev': self.revision}) if item else (404, {})
        if parts.path == '/v1/kv-range':
            prefix, after = query.get('prefix', ''), query.get('after', '')
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            rows = [self.row(key, self.items[key]) for key in keys[:500]]
            return 200, {'items': rows, 'has_more': len(keys) > 500, 'current_rev': self.revision}
        if parts.path == '/v1/kv-watch':
            return await self.watch(query['prefix'], int(query['after']), int(query['wait_ms']))
        if parts.path == '/v1/kv-txn' and isinstance(body, dict):
            return await self.transact(body)
        return 404, {}

    async def watch(self, prefix, after, wait_ms):
        until = now() + wait_ms / 1000
        while True:
            events = [row for revision, key, row in self.events if revision > after and key.startswith(prefix)]
            if events or now() >= until:
                return 200, {'events': events, 'current_rev': self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass

    async def transact(self, body):
        expected = body.get('expected_rev') or []
        for row in expected:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                return 412, {'items': [self.row(row['key'], self.items[row['key']]) for row in expected
                                       if row['key'] in self.items]}
        puts = [(row['key'], base64.b64decode(row['value'])) for row in body.get('puts') or []]
        await self.apply(puts, body.get('deletes') or [])
        return 200, {'revision': self.revision}


class Minion(HttpServer):
    """One minion: runs tasks for as long as their `spec` says ("ms=N"; tasks that last run until they are stopped)."""

    def __init__(self, site, name, address, service, machine, capacity, labels):
        super().__init__(address)
        self.site, self.name, self.service, self.machine = site, name, service, machine
        self.capacity, self.labels = capacity, labels
        self.began = now()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.lease_ms = 0
        self.running = {}
        self.ended = []
        self.ends = 0
        self.highest = {}
        self.sequence = 0
        self.acknowledged = 0
        self.is_up = True
        self.end_listed = asyncio.Condition()

    def clock(self):
        return int((now() - self.began) * 1000)

    async def start(self, first_beat_s=0):
        await super().start()
        self.tasks = [asyncio.create_task(self.beat(first_beat_s)), asyncio.create_task(self.tick())]

    def crash(self):
        """Ends this life: everything that runs is gone, and nobody is told."""
        for task in self.tasks:
            task.cancel()
        self.stop()
        self.is_up = False
        for key in self.running:
            self.site.record('minion', self.name, 'crash ends', key[0], 'run', key[1])
        self.running = {}
        self.site.record('minion', self.name, 'crashes')

    async def restart(self, first_beat_s):
        """Begins a new life under the same id and address, which knows nothing of the one before."""
        self.began, self.born = now(), int(time.time() * 1000)
        self.token, self.lease_ms, self.ends, self.acknowledged, self.sequence = 0, 0, 0, 0, 0
        self.ended, self.highest = [], {}
        self.is_up = True
        self.site.record('minion', self.name, 'starts again, born', self.born)
        await self.start(first_beat_s)

    async def beat(self, first_beat_s):
        await asyncio.sleep(first_beat_s)
        while True:
            self.sequence += 1
            await self.site.store.put('servers/' + self.name, {
                'service': self.service, 'address': f'{self.address}:{self.port}', 'zone': 'zone-a', 'version': 'v1',
                'slots': 8, 'state': 'ready', 'cold_left_ms': 0, 'capacity': self.capacity, 'labels': self.labels,
                'clock_ms': self.clock(), 'seq': self.sequence, 'born': self.born})
            await asyncio.sleep(1.5)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            for key, run in list(self.running.items()):
                if self.clock() > self.lease_ms:
                    await self.end(key, 'lapsed')
                elif run['until'] is not None and now() >= run['until']:
                    await self.end(key, run['as'])

    async def end(self, key, how):
        run = self.running.pop(key, None)
        if not run:
            return
        self.ends += 1
        self.ended.append([self.ends, key[0], key[1], how, ''])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.site.record('minion', self.name, 'end', key[0], 'run', key[1], how)
        self.site.ends.append((now(), self.name, key[0], key[1], how))
        async with self.end_listed:
            self.end_listed.notify_all()

    def used(self):
        return sum(run['demand']['cpu'] for run in self.running.values())

    def extend(self, body):
        if 'deadline_ms' in body:
            self.lease_ms = max(self.lease_ms, min(body['deadline_ms'], self.clock() + BOUNDS['hold_max_ms']))

    async def answer(self, method, target, headers, body):
        if target == '/healthz':
            return 200, {}
        if headers.get('x-expect-instance', self.name) != self.name:
            return 421, {'clock_ms': self.clock()}
        if not isinstance(body, dict):
            return 400, {'clock_ms': self.clock()}
        if body.get('fencing_token', 0) < self.token:
            return 409, {'clock_ms': self.clock(), 'reason': 'fence'}
        if target == '/v1/run-start' and self.site.holds_up and self.site.holds_up(self, body):
            return None
        self.token = body.get('fencing_token', 0)
        if target == '/v1/run-start':
            return self.run_start(body)
        if target == '/v1/run-stop':
            return await self.run_stop(body)
        if target == '/v1/hold':
            return await self.hold(body)
        if target == '/v1/pace':
            return 200, {'clock_ms': self.clock()}
        return 404, {'clock_ms': self.clock()}

    def carry_out_late(self, body):
        """A start order that was held up arrives. Nobody gets the answer."""
        if body['fencing_token'] < self.token:
            reply = 409, {'reason': 'fence'}
        else:
            self.token = body['fencing_token']
            reply = self.run_start(body)
        self.site.record('minion', self.name, 'gets the order that was held up,', body['task'], 'run', body['run'],
                         'deadline', body['deadline_ms'], 'clock', self.clock(), 'and answers', reply)
        return reply[0] == 200

    def run_start(self, body):
        key = (body['task'], body['run'])
        clock = {'clock_ms': self.clock()}
        if key in self.running:
            return 200, clock
        if body['deadline_ms'] <= self.clock():
            return 409, {**clock, 'reason': 'late'}
        self.extend(body)
        if body['run'] <= self.highest.get(body['task'], 0):
            return 409, {**clock, 'reason': 'old'}
        demand = self.site.demand_of(body['task'])
        if demand['cpu'] + self.used() > self.capacity['cpu']:
            return 409, {**clock, 'reason': 'room'}
        length = re.search(r'ms=(\d+)', body['spec'])
        self.running[key] = {'until': now() + int(length.group(1)) / 1000 if length else None, 'as': 'done',
                             'demand': demand}
        self.site.record('minion', self.name, 'start', body['task'], 'run', body['run'], 'token', self.token)
        self.site.starts.append((now(), self.name, body['task'], body['run']))
        return 200, clock

    async def run_stop(self, body):
        key = (body['task'], body['run'])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        if key in self.running:
            self.running[key]['until'] = min(self.running[key]['until'] or now() + 0.1, now() + 0.1)
            self.running[key]['as'] = 'stopped'
        return 200, {'clock_ms': self.clock()}

    async def hold(self, body):
        self.extend(body)
        self.acknowledged = max(self.acknowledged, body.get('ack_cursor', 0))
        self.ended = [row for row in self.ended if row[0] > body.get('ack_cursor', 0)]
        until = now() + min(body.get('wait_ms', 0), 2000) / 1000
        while not self.ended and now() < until:
            try:
                async with self.end_listed:
                    await asyncio.wait_for(self.end_listed.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        rows = [[task, run, '', 100, state['demand']['cpu']] for (task, run), state in self.running.items()]
        return 200, {'clock_ms': self.clock(), 'born': self.born, 'running': rows, 'ended': self.ended[:500]}


class Machines(HttpServer):
    """The list of machines. It carries out no order, since the deployments of the review have no spare pool."""

    def __init__(self, site, address):
        super().__init__(address)
        self.site = site

    async def answer(self, method, target, headers, body):
        if not target.startswith('/v1/machines'):
            return 409, {'reason': 'busy'}
        rows = [{'machine': minion.machine, 'pool': minion.service, 'state': 'up' if minion.is_up else 'down',
                 'zone': 'zone-a', 'labels': minion.labels, 'capacity': minion.capacity,
                 'id': minion.name if minion.is_up else None}
                for minion in self.site.minions]
        return 200, {'machines': rows, 'next_token': None}


class Daemon:
    """One process of the system."""

    def __init__(self, site, number):
        self.site, self.name = site, f'front-zone-a-{number}'
        self.address = f'127.81.0.{number}'
        self.front, self.ready = free_port(self.address), free_port(self.address)
        self.process = None

    async def start(self):
        folder = os.path.join(self.site.temporary, self.name)
        os.makedirs(folder, exist_ok=True)
        values = {'node_name': self.name, 'zone': 'zone-a', 'ip': self.address, 'limits.cpu_share': 0.25,
                  'limits.cores': 1, 'listen_addrs.front': f'{self.address}:{self.front}',
                  'listen_addrs.ready': f'{self.address}:{self.ready}',
                  'platform.address': f'{self.site.store.address}:{self.site.store.port}',
                  'cloud_api.address': f'{self.site.machines.address}:{self.site.machines.port}', 'advice': '',
                  **{'bounds.' + name: value for name, value in BOUNDS.items()}}
        with open(os.path.join(REPO, 'deploy', 'settings.ini')) as template:
            text = re.sub(r'{{([^}]*)}}', lambda match: str(values[match.group(1)]), template.read())
        path = os.path.join(folder, 'boot.ini')
        with open(path, 'w') as settings:
            settings.write(text)
        with open(os.path.join(REPO, 'deploy', 'system.toml')) as deploy:
            command = re.search(r'^run = "([^"]*)"', deploy.read(), re.M).group(1).split()
        log = open(os.path.join(folder, 'log'), 'ab')
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(REPO, command[0]), *command[1:], cwd=REPO, stdout=log, stderr=log,
            env={'PATH': '/usr/bin:/bin', 'HOME': folder, 'LANG': 'C', 'GREENGAGEGAP_CONFIG': path})
        log.close()
        self.site.record('process', self.name, 'started')

    def signal(self, number):
        self.site.record('process', self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        status, _ = await self.call('GET', '/v1/readyz', port=self.ready, timeout=0.5)
        return status == 200

    async def call(self, method, path, body=None, headers=None, port=None, timeout=3.0):
        """One call on a connection of its own. Returns the status (None without an answer in time) and the body."""
        writer = None
        try:
            async def exchange():
                nonlocal writer
                reader, writer = await asyncio.open_connection(
                    self.address, port or self.front, local_addr=('127.84.0.1', 0))
                text = b'' if body is None else json.dumps(body).encode()
                lines = {'Host': self.site.host, 'Content-Type': 'application/json', 'Content-Length': len(text),
                         **(headers or {})}
                writer.write(f'{method} {path} HTTP/1.1\r\n'.encode()
                             + ''.join(f'{name}: {value}\r\n' for name, value in lines.items()).encode() + b'\r\n'
                             + text)
                return await read_message(reader)
            message = await asyncio.wait_for(exchange(), timeout)
            if not message:
                return None, None
            return int(message[0].split()[1]), json.loads(message[2]) if message[2] else None
        except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
            return None, None
        finally:
            if writer:
                writer.close()


class Site:
    host = 'orders.example'
    prefix = '/orders/'
    service = 'bench-a'

    def __init__(self, folder, daemons=3, minions=4, cpu=16000):
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix='review-3-')
        self.starts, self.ends, self.jobs = [], [], {}
        # Decides of a start order that arrives whether it is held up; it gets no answer then.
        self.holds_up = None
        self.store = Store('127.83.0.1')
        self.machines = Machines(self, '127.83.0.2')
        self.minions = [Minion(self, f'i-{number:08x}', f'127.82.0.{number}', self.service, f'm-{number:05x}',
                               {'cpu': cpu, 'mem_mb': 65536, 'gpu': 0}, ['a', f'r1-{number}'])
                        for number in range(1, minions + 1)]
        self.daemons = [Daemon(self, number) for number in range(1, daemons + 1)]
        self.version = 0

    def demand_of(self, task):
        job, _, step, _ = task.split('.')
        row = self.jobs[job]['steps'][int(step)]
        return {'cpu': row.get('cpu', 0), 'mem_mb': row.get('mem_mb', 0)}

    async def configure(self, maximum_cpu=0, max_attempts=3, more_prefixes=()):
        self.version += 3
        await self.store.put('op/config', {
            'version': self.version,
            'routes': [{'name': name, 'host': self.host, 'prefix': prefix, 'kind': 'non_idempotent',
                        'timeout_ms': 3000, 'slo_ms': 600, 'priority': 0, 'service': self.service,
                        'max_attempts': max_attempts, 'stretch': 1.6, 'public': False}
                       for name, prefix in [('r-orders', self.prefix), *((f'r{path.strip("/")}', path)
                                                                         for path in more_prefixes)]],
            'services': [{'name': self.service, 'enforces_capacity': True, 'spare': False}],
            'tenants': [{'name': 'tenant-1', 'api_keys': ['key-of-tenant-1'], 'weight': 1,
                         'maximum': {'cpu': maximum_cpu, 'mem_mb': 0, 'gpu': 0}}],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144, 'header_timeout_ms': 3000,
                       'idle_timeout_ms': 15000}})
        self.record('operator', 'configuration', self.version, 'maximum cpu', maximum_cpu, 'more routes',
                    list(more_prefixes), 'acknowledged')
        return now()

    async def start(self, **configuration):
        """Starts everything and waits until all processes are ready and one leads."""
        await self.store.start()
        await self.machines.start()
        await self.configure(**configuration)
        for minion in self.minions:
            await minion.start()
        for daemon in self.daemons:
            await daemon.start()
        until = now() + 20
        while now() < until:
            await asyncio.sleep(0.2)
            if self.leader() and all([await daemon.is_ready() for daemon in self.daemons]):
                await asyncio.sleep(2)
                self.record('all processes are ready; leader', self.leader().name)
                return
        raise RuntimeError('the deployment did not become ready')

    def leader(self):
        """The process whose name stands in the system's own record of its leader; for choosing whom to disturb."""
        item = self.store.items.get('gg/lead/holder')
        found = [daemon for daemon in self.daemons if item and daemon.name.encode() in item['value']]
        return found[0] if found else None

    async def client(self, daemon, method, job, body=None, timeout=3.0):
        """One attempt of a client; waits for as long as its deadline says."""
        if body:
            self.jobs[job] = body
        self.record('client', method, job, 'to', daemon.name)
        status, value = await daemon.call(method, self.prefix + job, body, timeout=timeout, headers={
            'Authorization': 'Token key-of-tenant-1', 'X-Deadline-Ms': int(timeout * 1000)})
        self.record('client', method, job, 'from', daemon.name, 'gets',
                    'no answer in time, and leaves' if status is None else status, value if value else '')
        return status, value

    async def submit(self, job, body):
        """A client that hands a job in and repeats its attempt at another node after no answer, 502 or 504."""
        for attempt in range(5):
            status, _ = await self.client(self.daemons[attempt % len(self.daemons)], 'POST', job, body)
            if status not in (None, 502, 504):
                return status
        return None

    async def state(self, job, daemon=None):
        _, value = await self.client(daemon or self.daemons[0], 'GET', job)
        return value.get('state') if value else None

    def running(self, job):
        return [key for minion in self.minions for key in minion.running if key[0].startswith(job + '.')]

    async def close(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                await daemon.process.wait()
        if os.environ.get('KEEP_LOGS'):
            print('logs:', self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def play(folder, body, **options):
    """Plays `body(site, trouble)`, which returns whether the rule held, and exits with 0, 1 or 2."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        site = Site(folder, **options)
        try:
            return await asyncio.wait_for(body(site, trouble), 110)
        finally:
            await site.close()

    try:
        held = asyncio.run(run())
    except Exception as error:  # Anything that keeps the case from running.
        print('the case could not run:', repr(error), flush=True)
        sys.exit(2)
    sys.exit(0 if held else 1)
