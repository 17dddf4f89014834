"""A requester that hides header lines, or a request, in its start line.

The requester separates path and version by a tab instead of a space. A
server may read that (RFC 9112, section 3: any white space may be taken for
the separator), and the gateway does. What follows up to the first space is
passed on as if it were part of the path.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

OTHER_TENANT = 'zupa411'
OWN_TENANT = 'hule930'
SYSTEM_HEADERS = ('kv-hold', 'pin-ms', 'kv-backup', 'kv-from')
TRIES = 10


class Ledger(standins.Runner):
    """A plain runner that reads start lines as RFC 9112 allows.

    Where a request has a length and is in chunks, the chunks count
    (section 6.3).
    """

    def __init__(self, *arguments, **fields):
        super().__init__(*arguments, **fields)
        self.heads = []

    async def handle(self, head, body, reader, writer):
        method, path, version = head.start.split()
        self.begin(head)
        self.heads.append((head, path))
        self.record.write(self.id, f'start line {head.start!r}')
        for name, value in head.lines:
            if name in ('tenant', *SYSTEM_HEADERS):
                self.record.write(self.id, f'  {name}: {value}')
        writer.write(
            standins.answer(200, self.echo(head, self.seal()), b'done')
        )


async def send(gateway, data, record, attempt):
    reader, writer = await asyncio.open_connection(*gateway.frontend)
    try:
        writer.write(data)
        message = await asyncio.wait_for(standins.read_message(reader), 3)
    except (OSError, TimeoutError):
        message = None
    finally:
        writer.close()
    status = 'no answer' if message is None else message[0].start
    record.write('requester', f'{attempt}: {status}')


def hidden_headers(attempt):
    """A request that names a tenant and a header of the system itself."""
    separator = '\t' if standins.TROUBLE else ' '
    return (
        f'POST /topup/1{separator}HTTP/1.1\r\n'
        f'Pin-Ms:4000\r\n'
        f'Tenant:{OTHER_TENANT}\r\n'
        'X-Client: app\r\n'
        f'Host: {standins.HOST}\r\n'
        f'Attempt-Id: {attempt}\r\n'
        'Deadline-Ms: 1500\r\n'
        f'Authorization: Bearer {standins.KEY}\r\n'
        'Content-Length: 8\r\n\r\namount=5'
    ).encode()


def hidden_request(attempt, smuggled):
    """A request whose body is another request of another tenant."""
    separator = '\t' if standins.TROUBLE else ' '
    inner = (
        '0\r\n\r\n'
        'POST /topup/9 HTTP/1.1\r\n'
        f'Host: {standins.HOST}\r\n'
        f'Attempt-Id: {smuggled}\r\n'
        f'Tenant: {OTHER_TENANT}\r\n'
        'Content-Length: 11\r\n\r\namount=1000'
    ).encode()
    head = (
        f'POST /topup/1{separator}HTTP/1.1\r\n'
        'Transfer-Encoding:chunked\r\n'
        'X-Client: app\r\n'
        f'Host: {standins.HOST}\r\n'
        f'Attempt-Id: {attempt}\r\n'
        'Deadline-Ms: 1500\r\n'
        f'Authorization: Bearer {standins.KEY}\r\n\r\n'
    ).encode()
    return head + b'%x\r\n%b\r\n0\r\n\r\n' % (len(inner), inner)


async def case(record):
    async with standins.System(record) as system:
        routes = [standins.route('topup', 'mutating', 'ledger')]
        system.store.put(('op/config', standins.configuration(3, routes)))
        for number in range(3):
            await system.add_runner(
                Ledger(f'i-ledger{number}', 'ledger', record)
            )
        await system.add_gateways(2)
        sent = set()
        for number in range(TRIES):
            gateway = system.gateways[number % 2]
            first, second = f'a{number:015x}', f'b{number:015x}'
            sent |= {first, second}
            await send(gateway, hidden_headers(first), record, first)
            data = hidden_request(second, f'c{number:015x}')
            await send(gateway, data, record, second)
        await asyncio.sleep(0.5)
        return check(system.runners, sent)


def check(runners, sent):
    """Returns what broke UNASKED."""
    if not any(runner.heads for runner in runners):
        raise standins.CouldNotRun('no request ran')
    broken = []
    for runner in runners:
        for head, path in runner.heads:
            attempt = head.get('attempt-id')
            if attempt not in sent:
                broken.append(
                    f'UNASKED: {runner.id} ran {attempt} ({path}), which was '
                    'smuggled inside another request'
                )
            tenants = [v for name, v in head.lines if name == 'tenant']
            if tenants[:1] != [OWN_TENANT] and attempt in sent:
                broken.append(
                    f'UNASKED: {runner.id} ran {attempt} with Tenant '
                    f'{tenants}, the key is of {OWN_TENANT}'
                )
            broken += [
                f'UNASKED: {runner.id} ran {attempt} with {name}: {value} as '
                'the requester sent it'
                for name, value in head.lines
                if name in SYSTEM_HEADERS
            ]
    return broken


standins.play(case)
