"""Stand-ins for the cases 6 to 10: store, runners, callers, gateways.

Only the standard library is used. The store and the runners run inside the
process of a case; the gateways are processes of their own, started with the
command of the deploy file. Every address is a loopback address, one for each
machine, so that all machines can use the same ports.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEY = 'n2ctnfzs989anu6wsjnb'
HOST = 'ficu95.example'
#: Bounds of the site savinja-malica.
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'downgradeSlackMs': 250,
    'outerBoundMs': 5000,
    'revokeStrict': False,
    'revokeMs': 5000,
    'retryRatio': 0.9,
    'retryWindowS': 10,
    'retrySlack': 56,
    'exposureShare': 0.15,
    'exposureTolerance': 30,
    'rollbackMs': 5000,
    'recoveryS': 12,
    'deliveryMs': 120,
    'retryAfterS': 8.7,
    'sessionTtlS': 5,
}
MODELS = ('daka510000', 'rada7437b5', 'ravo486f6a')
FRONTEND, READY, CONTROL, INNER = 8227, 8220, 8229, 7340


def now():
    return time.monotonic()


class Record:
    """Writes record.txt of a case."""

    def __init__(self, directory):
        self._file = open(directory / 'record.txt', 'w')
        self._began = now()

    def line(self, text):
        self._file.write(f'{now() - self._began:8.3f} {text}\n')
        self._file.flush()


class Message:
    """A request or an answer."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split(' ', 2)[1])

    def get(self, name, default=''):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads start line and headers; None at the end of the channel."""
    try:
        block = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError('head is cut') from error
        return None
    lines = block.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers, b'')


async def read_body(reader, head):
    """Reads a whole body with a length or in chunks."""
    if head.get('transfer-encoding').lower() == 'chunked':
        pieces = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return b''.join(pieces)
            pieces.append(piece[:-2])
    length = int(head.get('content-length', '0') or 0)
    return await reader.readexactly(length) if length else b''


def answer(status, headers=(), body=b''):
    """Encodes a whole answer."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Server:
    """Serves one request at a time on each channel."""

    async def listen(self, ip, port=0):
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=1 << 20, backlog=1024
        )
        self.ip, self.port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{self.ip}:{self.port}'

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                request.body = await read_body(reader, request)
                await self.handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Store(Server):
    """The platform's store, as PROTOCOL.md tells it."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self._leases = {}
        self._lease = 10
        self._changed = asyncio.Event()

    def put(self, key, document, lease=0):
        data = document
        if not isinstance(data, bytes):
            data = json.dumps(document).encode()
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'data': base64.b64encode(data).decode(),
            'revision': self.revision,
            'created': created,
            'leaseId': lease,
        }
        self.items[key] = item
        self.history.append(item)
        self._notify()
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append(
            {'key': key, 'revision': self.revision, 'deleted': True}
        )
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        for lease, (until, _) in list(self._leases.items()):
            if until <= now():
                self._end(lease)

    def _end(self, lease):
        self._leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['leaseId'] == lease:
                self.remove(key)

    async def handle(self, request, writer):
        method, target, _ = request.first.split(' ')
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self._expire()
        status, body = await self._call(method, path, fields, request.body)
        writer.write(
            answer(
                status,
                (('Content-Type', 'application/json'),),
                json.dumps(body).encode(),
            )
        )

    async def _call(self, method, path, fields, body):
        name, _, argument = path.removeprefix('/-/').partition('/')
        if name == 'kv-key':
            item = self.items.get(fields['key'])
            return (200, item) if item else (404, {})
        if name == 'kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(fields.get('prefix', ''))
                and key > fields.get('after', '')
            )
            return 200, {
                'entries': [self.items[key] for key in keys[:500]],
                'hasMore': len(keys) > 500,
                'at': self.revision,
            }
        if name == 'kv-watch':
            return await self._watch(fields)
        if name == 'kv-lease':
            self._lease += 1
            ttl_ms = json.loads(body)['ttlMs']
            self._leases[self._lease] = (now() + ttl_ms / 1000, ttl_ms)
            return 200, {'leaseId': self._lease, 'ttlMs': ttl_ms}
        if name == 'kv-keep':
            kept = self._leases.get(int(argument))
            if kept is None:
                return 404, {}
            self._leases[int(argument)] = (now() + kept[1] / 1000, kept[1])
            return 200, {'ttlMs': kept[1]}
        if name == 'kv-lease-end':
            if int(argument) not in self._leases:
                return 404, {}
            self._end(int(argument))
            return 200, {}
        if name == 'kv-txn':
            return self._transact(json.loads(body))
        return 404, {}

    async def _watch(self, fields):
        after, end = int(fields['after']), now() + int(fields['waitMs']) / 1000
        while True:
            found = [
                event
                for event in self.history[-2000:]
                if event['revision'] > after
                and event['key'].startswith(fields.get('prefix', ''))
            ]
            left = end - now()
            if found or left <= 0:
                return 200, {'events': found, 'at': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, body):
        for row in body.get('expected', ()):
            held = self.items.get(row['key'], {}).get('revision', 0)
            if held != row['revision']:
                entries = [
                    self.items.get(each['key'], {**each, 'revision': 0})
                    for each in body['expected']
                ]
                return 412, {'entries': entries}
        for write in body.get('write', ()):
            lease = write.get('leaseId', 0)
            if lease and lease not in self._leases:
                return 404, {}
        for write in body.get('write', ()):
            data = base64.b64decode(write['data'])
            self.put(write['key'], data, write.get('leaseId', 0))
        for key in body.get('remove', ()):
            self.remove(key)
        return 200, {'revision': self.revision}


class Runner(Server):
    """A runner: a plain service, or a model runner if it has models."""

    def __init__(self, name, service, work_s=0.015, models=()):
        self.name = name
        self.service = service
        self.work_s = work_s
        self.models = models
        #: (time, attempt id, path) of what it ran.
        self.runs = []
        self.refused = 0
        self.events = 5

    def entry(self, zone, phase='serving', version='v1'):
        return {
            'service': self.service,
            'address': self.address,
            'zone': zone,
            'version': version,
            'slots': 64 if self.models else 6,
            'phase': phase,
            'coldLeftMs': 0,
            'sequence': 0,
            'born': 1_700_000_000_000,
        }

    async def handle(self, request, writer):
        method, target, _ = request.first.split(' ')
        attempt = request.get('attempt-id')
        echo = [('Attempt-Id', attempt)]
        if request.get('target-instance', self.name) != self.name:
            writer.write(answer(421, echo))
            return
        if not attempt:
            writer.write(answer(400, [('Not-Executed', '1')]))
            return
        if self.models and request.get('model') not in self.models:
            # PROTOCOL.md: 'Any other value receives 421.'
            self.refused += 1
            writer.write(answer(421, echo))
            return
        self.runs.append((now(), attempt, target))
        seal = [*echo, ('Server-Seal', f'{self.name}.{attempt}')]
        if self.work_s:
            await asyncio.sleep(self.work_s)
        if not self.models:
            body = f'{self.name} {attempt}'.encode()
            writer.write(answer(200, seal, body))
            return
        lines = ['HTTP/1.1 200 X', 'Content-Type: text/event-stream']
        lines += ['Transfer-Encoding: chunked', 'Confidence: 90']
        lines += [f'{name}: {value}' for name, value in seal]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1'))
        first = int(request.get('last-event-id', '0') or 0) + 1
        for number in range(first, self.events + 1):
            event = f'id: {number}\ndata: {target} {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b'0\r\n\r\n')


def route(name, kind, service, **fields):
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'type': kind,
        'timeoutMs': 1500,
        'goalMs': 125,
        'priority': 2,
        'service': service,
        'maxAttempts': 3 if kind == 'idempotent' else 1,
        'public': False,
        **fields,
    }


def stream_route(name, service, **fields):
    return route(
        name,
        'streaming',
        service,
        **{
            'timeoutMs': 12000,
            'goalMs': 3000,
            'maxAttempts': 3,
            'sticky': True,
            'resumable': True,
            'gapGoalMs': 3000,
            'modelTiers': list(MODELS),
            **fields,
        },
    )


def configuration(version, routes):
    """Makes a configuration with the limits of the site's pages."""
    engine = {
        'slots': 64,
        'kvCapacity': 353536,
        'kvBytes': 18432,
        'linkMbps': 180000.0,
        'stride': 7,
        'models': [
            {'name': name, 'cost': cost}
            for name, cost in zip(MODELS, (0.0075, 0.056, 0.11), strict=True)
        ],
    }
    services = sorted({each['service'] for each in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthPath': '/healthz',
                'maxConns': 370,
                'protocol': 'h1',
                'tls': False,
                **({'backend': engine} if name == 'assistant-pool' else {}),
            }
            for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'hule930', 'apiKeys': [KEY], 'priority': 1}],
    }


class Gateway:
    """A gateway's machine and process."""

    def __init__(self, name, ip, zone, settings_path, log_path):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.settings_path = settings_path
        self._log_path = log_path
        self.process = None

    def start(self):
        command = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = command['roles']['gateway']['run'].split()
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            **{name: os.environ[name] for name in kept if name in os.environ},
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'RAGWORTGW_SETTINGS': str(self.settings_path),
        }
        with open(self._log_path, 'ab') as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def memory_mb(self):
        """Returns its memory without that of files, 0 if it has ended.

        What it maps of programs and libraries is left out, in its favour.
        """
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('RssAnon:'):
                return int(line.split()[1]) / 1024
        return 0.0

    def log(self):
        return self._log_path.read_text('utf-8', 'replace')


class Fleet:
    """Store, runners and gateways of one case; a context manager."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.runners = []
        self.gateways = []
        self._net = None
        self._machines = 0

    async def __aenter__(self):
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = pathlib.Path(self._folder.name)
        self._choose_net()
        await self.store.listen(self.ip(), 8223)
        return self

    async def __aexit__(self, *exc_info):
        for gateway in self.gateways:
            gateway.end()
        self._folder.cleanup()

    def _choose_net(self):
        """Chooses loopback addresses that nobody uses."""
        for _ in range(100):
            net = f'127.{random.randint(2, 250)}.{random.randint(1, 250)}'
            try:
                for port in (8223, FRONTEND, READY, CONTROL, INNER, 9464):
                    with socket.socket() as sock:
                        sock.bind((f'{net}.1', port))
            except OSError:
                continue
            self._net = net
            return
        sys.exit(2)

    def ip(self):
        self._machines += 1
        return f'{self._net}.{self._machines}'

    async def add_runner(self, name, service, zone='celje-a', **options):
        runner = Runner(name, service, **options)
        await runner.listen(self.ip())
        self.runners.append(runner)
        self.store.put(f'servers/{name}', runner.entry(zone))
        return runner

    def add_gateway(self, name, zone='celje-a', memory_mb=150):
        ip = self.ip()
        seeds = [f'{each.ip}:{CONTROL}' for each in self.gateways[:3]]
        settings = {
            'nodeName': name,
            'role': 'gateway',
            'machineClass': 'edge',
            'serves': ['edge', 'controller'],
            'ip': ip,
            'zone': zone,
            'region': 'si-east',
            'zones': {
                'celje-a': 'si-east',
                'celje-b': 'si-east',
                'velenje': 'si-east',
            },
            'listen': {
                'frontend': f'{ip}:{FRONTEND}',
                'ready': f'{ip}:{READY}',
                'controlPlane': f'{ip}:{CONTROL}',
            },
            'internalPorts': [INNER, INNER + 15],
            'seedNodes': seeds or [f'{ip}:{CONTROL}'],
            'bootstrap': True,
            'inTolerance': False,
            'limits': {
                'cpuQuota': 0.817,
                'cpuCores': 1,
                'memoryMb': memory_mb,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataPath': None,
            'discovery': 'platform',
            'entry': 'virtual_ip',
            'heartbeatMs': 1200,
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': self.store.address,
                'form': 'kv',
                'writesPerS': 400,
                'readsPerS': 2000,
                'retentionS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        gateway = Gateway(name, ip, zone, path, self.folder / f'{name}.log')
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    async def wait_ready(self, limit_s=20):
        """Waits until every gateway answers /-/readyz with 200."""
        end = now() + limit_s
        for gateway in self.gateways:
            while not await is_ready(gateway):
                if now() > end:
                    self.record.line(f'{gateway.name} is not ready')
                    sys.exit(2)
                await asyncio.sleep(0.05)


async def is_ready(gateway):
    try:
        reply = await exchange(
            (gateway.ip, READY), b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n'
        )
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return False
    return reply is not None and reply.status == 200


async def exchange(address, data, limit_s=15):
    """Sends a request on a new channel; None if no whole answer came."""
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        try:
            writer.write(data)
            head = await read_head(reader)
            if head is not None:
                head.body = await read_body(reader, head)
            return head
        finally:
            writer.close()


_numbers = iter(range(1, 1 << 40))


def encode(method, path, deadline_ms, headers=(), body=b''):
    """Encodes a caller's request; returns its attempt id and the bytes."""
    attempt = f'{next(_numbers):016x}'
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
    lines += [f'Attempt-Id: {attempt}', f'Deadline-Ms: {deadline_ms}']
    lines += [f'Authorization: Bearer {KEY}']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    data = '\r\n'.join(lines) + '\r\n\r\n'
    return attempt, data.encode('latin-1') + body


async def ask(gateway, method, path, deadline_ms, headers=(), body=b''):
    """Makes a request; returns its attempt id and the answer or None."""
    attempt, data = encode(method, path, deadline_ms, headers, body)
    try:
        reply = await exchange((gateway.ip, FRONTEND), data)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        reply = None
    return attempt, reply


def decode(item):
    """Returns the text of an item of the store, '' for none."""
    return base64.b64decode(item['data']).decode() if item else ''


def trouble():
    """Returns whether the disruption is wanted: run.sh sets TROUBLE."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(case):
    """Runs a case; an error of the case itself is no broken rule."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        status = asyncio.run(case())
    except SystemExit:
        raise
    except BaseException:
        traceback.print_exc()
        status = 2
    sys.exit(status)
