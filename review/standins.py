"""Stand-ins for the scripts of the review: store, runners, requesters.

Everything runs on loopback addresses, in the process of the script. Only the
gateways are processes of their own, started with the command of the deploy
file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
METRICS_PORT = 9464
HEADER_END = b'\r\n\r\n'
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
#: The disruption is left out where this is '0'.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Lines of record.txt, with the time since the start."""

    def __init__(self, directory):
        self._file = open(pathlib.Path(directory) / 'record.txt', 'w')
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, who, text):
        self._file.write(f'{self.now():9.3f} {who}: {text}\n')

    def close(self):
        self._file.close()


class Head:
    """Start line and headers of a message."""

    def __init__(self, block):
        lines = block.decode('latin-1').split('\r\n')
        self.start = lines[0]
        self.lines = [
            (name.strip().lower(), value.strip())
            for name, _, value in (line.partition(':') for line in lines[1:])
            if name
        ]
        self.headers = dict(self.lines)

    def get(self, name, default=''):
        return self.headers.get(name, default)


async def read_message(reader):
    """Reads a head and a body with a length or in chunks; None at an end."""
    try:
        block = await reader.readuntil(HEADER_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    head = Head(block[: -len(HEADER_END)])
    try:
        if head.get('transfer-encoding').lower() == 'chunked':
            return head, await read_chunks(reader)
        length = int(head.get('content-length', '0') or 0)
        return head, await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return head, None


async def read_chunks(reader, on_piece=lambda piece: None):
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).strip() or b'0', 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return body
        on_piece(piece[:-2])
        body += piece[:-2]


def answer(status, headers=(), body=b'', reason='X'):
    """Encodes a whole answer."""
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def no_content(headers):
    """Encodes an answer without a body or a length."""
    lines = ['HTTP/1.1 204 No Content']
    lines += [f'{name}: {value}' for name, value in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def reset(writer):
    """Resets a connection; bytes that are still on their way may be lost."""
    sock = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Server:
    """A TCP server that serves one connection with one task."""

    def __init__(self, ip='127.0.0.1'):
        self.ip = ip
        self.address = ''
        self._server = None
        self._writers = set()

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, 0, limit=4 * 1024 * 1024
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self.ip}:{port}'
        return self

    def close(self):
        self._server.close()
        self.reset_all()

    def reset_all(self):
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()

    def put(self, *pairs):
        """Writes documents, or bytes, as the operator and runners do."""
        for key, value in pairs:
            if not isinstance(value, bytes):
                value = json.dumps(value).encode()
            self._write(key, base64.b64encode(value).decode(), 0)
        self._notify()

    def delete(self, *keys):
        for key in keys:
            self._remove(key)
        self._notify()

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item['data'])

    def _write(self, key, data, lease):
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'data': data,
            'revision': self.revision,
            'created': created,
            'leaseId': lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [each for each, end in self.leases.items() if end < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['leaseId'] == lease:
                self._remove(key)
        self._notify()

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None or message[1] is None:
                return
            status, document = await self._handle(*message)
            headers = [('Content-Type', 'application/json'), ('Store-Era', 1)]
            body = json.dumps(document).encode()
            writer.write(answer(status, headers, body))
            await writer.drain()

    async def _handle(self, head, body):
        self._expire()
        target = urllib.parse.urlsplit(head.start.split(' ')[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        name, _, argument = target.path.removeprefix('/-/').partition('/')
        if name == 'kv-key':
            item = self.items.get(query['key'])
            return (200, item) if item else (404, {})
        if name == 'kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get('prefix', ''))
                and key > query.get('after', '')
            )
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {'entries': page, 'hasMore': more, 'at': self.revision}
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-lease':
            self._next_lease += 1
            ttl = json.loads(body)['ttlMs']
            self.leases[self._next_lease] = time.monotonic() + ttl / 1000
            return 200, {'leaseId': self._next_lease, 'ttlMs': ttl}
        if name == 'kv-keep':
            if int(argument) not in self.leases:
                return 404, {}
            self.leases[int(argument)] = time.monotonic() + 8
            return 200, {'leaseId': int(argument), 'ttlMs': 8000}
        if name == 'kv-lease-end':
            self._end_lease(int(argument))
            return 200, {}
        if name == 'kv-txn':
            return self._transact(json.loads(body))
        return 404, {}

    async def _watch(self, query):
        after = int(query['after'])
        prefix = query.get('prefix', '')
        end = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'at': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, call):
        def revision(key):
            return self.items.get(key, {}).get('revision', 0)

        expected = call.get('expected', [])
        if any(revision(row['key']) != row['revision'] for row in expected):
            entries = [
                self.items.get(row['key'], {'key': row['key'], 'revision': 0})
                for row in expected
            ]
            return 412, {'entries': entries}
        if any(
            row.get('leaseId') and row['leaseId'] not in self.leases
            for row in call.get('write', [])
        ):
            return 404, {}
        for row in call.get('write', []):
            self._write(row['key'], row['data'], row.get('leaseId', 0))
        for key in call.get('remove', []):
            self._remove(key)
        self._notify()
        return 200, {'revision': self.revision}


class Runner(Server):
    """A runner of one service; subclasses say how it answers."""

    def __init__(self, runner_id, service, record, ip='127.0.0.1', **fields):
        super().__init__(ip)
        self.id = runner_id
        self.service = service
        self.record = record
        self.fields = fields
        self.born = int(time.time() * 1000)
        self.phase = 'serving'
        self.runs = []

    def entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'celje-a',
            'version': 'v1',
            'slots': 6,
            'phase': self.phase,
            'coldLeftMs': 0,
            'sequence': 1,
            'born': self.born,
            **self.fields,
        }

    def register(self, store):
        store.put((f'servers/{self.id}', self.entry()))

    def begin(self, head):
        """Notes that a request runs."""
        attempt = head.get('attempt-id')
        self.runs.append((attempt, time.monotonic()))
        self.record.write(self.id, f'runs {attempt}')
        return attempt

    def echo(self, head, *more):
        return [
            ('Attempt-Id', head.get('attempt-id')),
            ('Keep-Alive', 'timeout=20'),
            *more,
        ]

    def seal(self):
        return ('Server-Seal', f'3e1b.{self.id}')

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None or message[1] is None:
                return
            head, body = message
            if head.get('target-instance', self.id) != self.id:
                more = ('Instance-Id', self.id)
                writer.write(answer(421, self.echo(head, more)))
                continue
            await self.handle(head, body, reader, writer)
            await writer.drain()

    async def handle(self, head, body, reader, writer):
        raise NotImplementedError


class Gateway:
    """A gateway's process, with the command of the deploy file."""

    def __init__(self, name, ips, directory, store, ports, **bounds):
        ip = ips[int(name.rpartition('-')[2]) - 1]
        self.name = name
        self.frontend = (ip, ports[0])
        self.ready_address = (ip, ports[1])
        self.process = None
        self._directory = directory
        self._path = directory / f'{name}.json'
        self.log = directory / f'{name}.log'
        control = f'{ip}:{ports[2]}'
        seeds = [f'{each}:{ports[2]}' for each in ips[:3]]
        self._path.write_text(
            json.dumps(
                {
                    'nodeName': name,
                    'role': 'gateway',
                    'machineClass': 'edge',
                    'serves': ['edge', 'controller'],
                    'ip': ip,
                    'zone': 'celje-a',
                    'region': 'si-east',
                    'zones': {'celje-a': 'si-east'},
                    'listen': {
                        'frontend': f'{ip}:{ports[0]}',
                        'ready': f'{ip}:{ports[1]}',
                        'controlPlane': control,
                    },
                    'internalPorts': [ports[3], ports[3] + 15],
                    'seedNodes': seeds,
                    'bootstrap': True,
                    'limits': {
                        'cpuQuota': 0.817,
                        'cpuCores': 1,
                        'memoryMb': 150,
                        'maxFds': 4100,
                        'linkMbps': 1000.0,
                        'diskMb': 0,
                    },
                    'dataPath': None,
                    'discovery': 'platform',
                    'entry': 'virtual_ip',
                    'heartbeatMs': 1200,
                    'bounds': {
                        'contactMs': 3000,
                        'drainMs': 2000,
                        'graceS': 8,
                        'lossSlackMs': 200,
                        'configApplyMs': 2000,
                        'retryRatio': 0.9,
                        'retryWindowS': 10,
                        'retrySlack': 56,
                        'exposureShare': 0.15,
                        'exposureTolerance': 30,
                        'rollbackMs': 5000,
                        'recoveryS': 12,
                        'sessionTtlS': 5,
                        **bounds,
                    },
                    'platform': {
                        'address': store.address,
                        'form': 'kv',
                        'writesPerS': 400,
                        'readsPerS': 2000,
                        'retentionS': 20,
                        'valueBytes': 1048576,
                        'ttlMinMs': 1000,
                    },
                }
            )
        )

    async def start(self):
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['RAGWORTGW_SETTINGS'] = str(self._path)
        with open(self.log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'ragwortgw_platform',
                str(METRICS_PORT),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def running(self):
        return self.process is not None and self.process.returncode is None

    async def ready(self):
        """Asks as the platform does, once."""
        try:
            reader, writer = await asyncio.open_connection(*self.ready_address)
        except OSError:
            return False
        try:
            writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            message = await asyncio.wait_for(read_message(reader), 2)
            return message is not None and ' 200 ' in message[0].start
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.ready():
                return
            if not self.running:
                break
            await asyncio.sleep(0.1)
        ended = None if self.process is None else self.process.returncode
        last = self.log.read_text(errors='replace')[-2000:]
        raise CouldNotRun(
            f'{self.name} is not ready, exit status {ended}: {last}'
        )

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)


class CouldNotRun(Exception):
    """The case could not be played."""


class System:
    """Store, runners and gateways of one play; ends all that it started."""

    def __init__(self, record):
        self.record = record
        self.directory = pathlib.Path(tempfile.mkdtemp())
        self.store = Store()
        self.runners = []
        self.gateways = []

    async def __aenter__(self):
        await self.store.open()
        return self

    async def __aexit__(self, *exc_info):
        for gateway in self.gateways:
            gateway.signal(signal.SIGKILL)
        for gateway in self.gateways:
            if gateway.process is not None:
                await gateway.process.wait()
        for server in [self.store, *self.runners]:
            server.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)

    async def add_runner(self, runner):
        await runner.open()
        self.runners.append(runner)
        runner.register(self.store)
        return runner

    async def add_gateways(self, count, **bounds):
        """Starts gateways: each on an address of its own, with equal ports."""
        if not (ROOT / 'target' / 'deps' / 'ragwortgw_platform').is_dir():
            raise CouldNotRun('the build of the deploy file is missing')
        ips = free_addresses(count)
        ports = free_ports(ips)
        for number in range(count):
            name = f'edge-celje-a-{number + 1}'
            self.gateways.append(
                Gateway(name, ips, self.directory, self.store, ports, **bounds)
            )
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()


def free_addresses(count):
    """Returns loopback addresses on which the port for metrics is free."""
    for net in random.sample(range(1, 250), 20):
        ips = [f'127.77.{net}.{n + 1}' for n in range(count)]
        with contextlib.ExitStack() as stack:
            try:
                for ip in ips:
                    sock = stack.enter_context(socket.socket())
                    sock.bind((ip, METRICS_PORT))
            except OSError:
                continue
            return ips
    raise CouldNotRun(f'port {METRICS_PORT} is not free')


def free_ports(ips):
    """Returns ports that are free on all of some addresses."""
    found = []
    while len(found) < 4:
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
            try:
                for ip in ips[1:]:
                    stack.enter_context(socket.socket()).bind((ip, port))
                for ip in ips:
                    datagrams = socket.socket(type=socket.SOCK_DGRAM)
                    stack.enter_context(datagrams).bind((ip, port))
            except OSError:
                continue
            if port < 60_000:
                found.append(port)
    return found


HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'


def route(name, kind, service, **fields):
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'type': kind,
        'timeoutMs': 1500,
        'goalMs': 125,
        'priority': 1,
        'service': service,
        'maxAttempts': 1,
        'public': False,
        **fields,
    }


def configuration(version, routes, **fields):
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'assistant',
                'maxConns': 370,
                'backend': {
                    'kvCapacity': 353_536,
                    'kvBytes': 18_432,
                    'linkMbps': 180_000.0,
                    'stride': 7,
                    'models': [{'name': 'm0', 'cost': 0.01}],
                },
            },
            {'name': 'ledger', 'maxConns': 110},
        ],
        'limits': {
            'maxHeaderBytes': 8192,
            'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 5000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {'name': 'hule930', 'apiKeys': [KEY]},
            {'name': 'zupa411', 'apiKeys': ['otherkeyotherkeyothe']},
        ],
        **fields,
    }


def encode_request(method, path, attempt, deadline_ms, body=b'', **headers):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: {attempt}',
        f'Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {KEY}',
    ]
    lines += [
        f'{name.replace("_", "-")}: {value}' for name, value in headers.items()
    ]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def play(case, limit_s=115):
    """Plays a case and ends the script with its exit status.

    Args:
      case: Coroutine function (record) that returns the broken rules, as
        lines of text.
    """
    directory = pathlib.Path(sys.argv[1])
    record = Record(directory)

    async def limited():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        # What was started is ended also if the script is told to end.
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        broken = asyncio.run(limited())
    except (
        CouldNotRun,
        TimeoutError,
        OSError,
        asyncio.CancelledError,
    ) as error:
        record.write('script', f'could not run: {error!r}')
        record.close()
        finish(f'could not run: {error!r}', COULD_NOT_RUN)
    for line in broken:
        record.write('check', line)
    record.write('check', 'rule broken' if broken else 'rule held')
    record.close()
    finish('\n'.join(broken) or 'rule held', BROKEN if broken else HELD)


def finish(text, status):
    """Ends the script without the clean-up of streams left open."""
    print(text, flush=True)
    os._exit(status)
