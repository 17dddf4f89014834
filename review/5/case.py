"""An entry of another writer that can't be read, and a restart of all.

Another writer leaves one entry below servers/ that can't be read: JSON that
is nested 2,000 deep, 4 kB. Later all gateways are killed at the same moment
and start again, as at the end of many days.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

RECOVERY_S = 12.0
GATEWAYS = 3
WORK_S = 0.0225
DEADLINE_MS = 1500
BEFORE_S, AFTER_S = 8.0, 10.0
GAP_S = 0.05
DOWN_S = 0.8
DEPTH = 2_000
FORGED = b'{"service":"ledger","extra":' + b'[' * DEPTH + b']' * DEPTH + b'}'


class Ledger(standins.Runner):
    """A plain runner."""

    async def handle(self, head, body, reader, writer):
        self.begin(head)
        await asyncio.sleep(WORK_S)
        writer.write(
            standins.answer(200, self.echo(head, self.seal()), b'done')
        )


class Load:
    """Balance checks at all gateways, one after the other."""

    def __init__(self, system, record):
        self._system = system
        self._record = record
        self.outcomes = []

    async def send(self, number):
        gateway = self._system.gateways[number % GATEWAYS]
        attempt = f'{number:016x}'
        sent = self._record.now()
        writer = None
        status = 'no answer'
        try:
            reader, writer = await asyncio.open_connection(*gateway.frontend)
            writer.write(
                standins.encode_request(
                    'GET', '/balance/1', attempt, DEADLINE_MS
                )
            )
            message = await asyncio.wait_for(
                standins.read_message(reader), DEADLINE_MS / 1000
            )
            if message is not None:
                status = message[0].start.split(' ')[1]
        except (OSError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.outcomes.append((sent, status))
        self._record.write('requester', f'{attempt} got {status}')

    async def run(self):
        tasks = set()
        number = 0
        while True:
            number += 1
            task = asyncio.create_task(self.send(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(GAP_S)

    def served(self, since, until):
        """Returns how many requests of a time were served, and sent."""
        found = [s for sent, s in self.outcomes if since <= sent < until]
        return sum(status == '200' for status in found), len(found)


async def case(record):
    async with standins.System(record) as system:
        routes = [standins.route('balance', 'idempotent', 'ledger')]
        system.store.put(('op/config', standins.configuration(3, routes)))
        for number in range(3):
            await system.add_runner(
                Ledger(f'i-ledger{number}', 'ledger', record)
            )
        await system.add_gateways(GATEWAYS)
        load = Load(system, record)
        traffic = asyncio.create_task(load.run())
        began = record.now()
        await asyncio.sleep(BEFORE_S / 2)
        if standins.TROUBLE:
            system.store.put(('servers/i-other', FORGED))
            record.write('store', 'another writer wrote servers/i-other')
        await asyncio.sleep(BEFORE_S / 2)
        system.store.put(('op/config', standins.configuration(7, routes)))
        record.write('operator', 'configuration 7 was acknowledged')
        killed = record.now()
        for gateway in system.gateways:
            gateway.signal(signal.SIGKILL)
        record.write('platform', 'all gateways are killed')
        for gateway in system.gateways:
            await gateway.process.wait()
        await asyncio.sleep(DOWN_S)
        for gateway in system.gateways:
            await gateway.start()
        back = record.now()
        record.write('platform', 'all gateways are started again')
        await asyncio.sleep(RECOVERY_S + AFTER_S)
        traffic.cancel()
        for gateway in system.gateways:
            ready = await gateway.ready()
            record.write('platform', f'{gateway.name} is ready: {ready}')
        return check(load, began, killed, back + RECOVERY_S, record)


def check(load, began, killed, recovered, record):
    """Returns what broke RECOVER."""
    served, sent = load.served(began, killed)
    served_after, sent_after = load.served(recovered, float('inf'))
    text = (
        f'before the final fault {served} of {sent} requests were served, '
        f'later than {RECOVERY_S:.0f} s after the machines were back '
        f'{served_after} of {sent_after}'
    )
    record.write('check', text)
    if served * 4 < sent:
        raise standins.CouldNotRun('too few requests were served before')
    return [f'RECOVER: {text}'] if served_after * 4 < sent_after else []


standins.play(case)
