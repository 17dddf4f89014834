"""Runners that hand out wrong bytes in place of an answer.

One runner of three spoils 2 in 100 of its answers: the head has neither
Attempt-Id nor Server-Seal, and the body is not that of the answer.
"""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

RUNNERS = 3
GARBLING = 1  # a share of 0.33
SPOILT = 0.02
GARBLE_S, CALM_S = 5.5, 0.5
WORK_S = 0.0225
DEADLINE_MS = 1500
LENGTH_S, GAP_S = 60.0, 0.025


class Ledger(standins.Runner):
    """A plain runner, which closes idle channels after a second."""

    def __init__(self, *arguments, random_source, garbling, **fields):
        super().__init__(*arguments, **fields)
        self._random = random_source
        self._garbling = garbling

    def echo(self, head, *more):
        attempt = ('Attempt-Id', head.get('attempt-id'))
        return [attempt, ('Keep-Alive', 'timeout=1'), *more]

    async def handle(self, head, body, reader, writer):
        attempt = self.begin(head)
        await asyncio.sleep(WORK_S)
        garbles = self.record.now() % (GARBLE_S + CALM_S) < GARBLE_S
        if self._garbling and garbles and self._random.random() < SPOILT:
            self.record.write(self.id, f'spoils the answer to {attempt}')
            writer.write(standins.answer(200, (), b'wrong bytes'))
            return
        writer.write(
            standins.answer(
                200, self.echo(head, self.seal()), f'of {attempt}'.encode()
            )
        )


async def ask(gateway, number, record, broken):
    attempt = f'{number:016x}'
    if number % 2:
        data = standins.encode_request(
            'POST', '/topup/1', attempt, DEADLINE_MS, b'amount=5'
        )
    else:
        data = standins.encode_request(
            'GET', '/balance/1', attempt, DEADLINE_MS
        )
    reader, writer = await asyncio.open_connection(*gateway.frontend)
    try:
        writer.write(data)
        message = await asyncio.wait_for(standins.read_message(reader), 2)
    except (OSError, TimeoutError):
        message = None
    finally:
        writer.close()
    if message is None or message[1] is None:
        record.write('requester', f'{attempt}: no whole answer')
        return
    head, body = message
    status = head.start.split(' ')[1]
    seal = head.get('server-seal', 'none')
    record.write('requester', f'{attempt} got {status}, seal {seal}, {body}')
    if status.startswith('2') and seal == 'none':
        broken.append(
            f'MIXED: {attempt} got a success without a Server-Seal: {body}'
        )


async def case(record):
    source = random.Random()
    async with standins.System(record) as system:
        routes = [
            standins.route('topup', 'mutating', 'ledger'),
            standins.route('balance', 'idempotent', 'ledger', maxAttempts=2),
        ]
        system.store.put(('op/config', standins.configuration(3, routes)))
        for number in range(RUNNERS):
            await system.add_runner(
                Ledger(
                    f'i-ledger{number}',
                    'ledger',
                    record,
                    random_source=source,
                    garbling=standins.TROUBLE and number < GARBLING,
                )
            )
        await system.add_gateways(2)
        broken = []
        tasks = []
        for number in range(round(LENGTH_S / GAP_S)):
            gateway = system.gateways[number % 2]
            tasks.append(
                asyncio.create_task(ask(gateway, number, record, broken))
            )
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)
        return broken


standins.play(case)
