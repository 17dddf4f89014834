"""Gateways that run on act on an old configuration for over two seconds."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.path.insert(1, str(HERE.parent.parent / 'target/deps'))

import platform_standin as standin  # noqa: E402
from ragwortgw_gateway import routes as gateway_routes  # noqa: E402

GATEWAYS = 5
#: herd_kill of the site: share 0.55, power, dark for 2.0 s.
KILLED = 3
DARK_S = 2.0
#: config_storm of the site: gap_s 0.33 and 0.08.
GAP_S = 0.1
APPLY_S = standin.BOUNDS['configApplyMs'] / 1000
ROUNDS = 3


def configuration(version, service):
    """The route 'status' belongs to one of two services."""
    other = 'ledger-new' if service == 'ledger-old' else 'ledger-old'
    return standin.configuration(
        version,
        [
            standin.route('status', 'idempotent', service),
            standin.route('other', 'idempotent', other),
        ],
    )


async def ask_all(gateways, sent, asked, until):
    """Asks gateways at a steady pace on new channels."""
    tasks = []

    async def one(gateway):
        at = standin.now()
        attempt, reply = await standin.ask(gateway, 'GET', '/status/1', 1500)
        sent[attempt] = (at, gateway.name)
        asked.append(0 if reply is None else reply.status)

    while standin.now() < until:
        tasks += [asyncio.create_task(one(each)) for each in gateways]
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def main():
    record = standin.Record(HERE)
    async with standin.Fleet(record) as fleet:
        old = await fleet.add_runner('i-old', 'ledger-old')
        new = await fleet.add_runner('i-new', 'ledger-new')
        version = 10
        fleet.store.put('op/config', configuration(version, 'ledger-old'))
        zones = ('celje-a', 'celje-a', 'celje-b', 'celje-b', 'velenje')
        for n, zone in zip(range(GATEWAYS), zones, strict=True):
            fleet.add_gateway(f'edge-{zone}-{n}', zone)
        await fleet.wait_ready()
        ranked = sorted(
            fleet.gateways,
            key=lambda each: gateway_routes.hash_fraction(each.name),
        )
        killed, calm = ranked[:KILLED], ranked[KILLED:]
        names = ', '.join(each.name for each in calm)
        record.line(f'gateways that run on: {names}')
        broken = 0
        services = {'ledger-old': old, 'ledger-new': new}
        before, after = 'ledger-old', 'ledger-new'
        for turn in range(ROUNDS):
            await asyncio.sleep(8)
            sent, asked = {}, []
            version += 3
            fleet.store.put('op/config', configuration(version, before))
            record.line(f'version {version}, nothing moves')
            await asyncio.sleep(GAP_S / 2)
            if standin.trouble():
                for gateway in killed:
                    gateway.end()
                record.line(f'{KILLED} gateways lose power')
            dark_until = standin.now() + DARK_S
            await asyncio.sleep(GAP_S / 2)
            version += 3
            fleet.store.put('op/config', configuration(version, after))
            confirmed = standin.now()
            record.line(f'version {version} is confirmed: to {after}')
            asking = asyncio.create_task(
                ask_all(calm, sent, asked, confirmed + 4)
            )
            await asyncio.sleep(max(0, dark_until - standin.now()))
            if standin.trouble():
                for gateway in killed:
                    gateway.start()
                record.line('they start again')
            await asking
            late = []
            for at, attempt, _ in services[before].runs:
                if attempt in sent and sent[attempt][0] > confirmed + APPLY_S:
                    late.append((sent[attempt][0] - confirmed, attempt))
            last = max(
                (
                    sent[attempt][0] - confirmed
                    for _, attempt, _ in services[before].runs
                    if attempt in sent
                ),
                default=0.0,
            )
            statuses = {each: asked.count(each) for each in set(asked)}
            record.line(
                f'answers {statuses}; {before} ran requests that were sent '
                f'up to {last:.3f} s after the confirmation'
            )
            for after_s, attempt in late:
                gateway = sent[attempt][1]
                record.line(
                    f'{attempt} sent {after_s:.3f} s after it to {gateway}: '
                    f'run by {before}'
                )
            broken += len(late)
            before, after = after, before
            await fleet.wait_ready()
        record.line(f'{broken} requests were handled as of an old version')
        return 1 if broken else 0


standin.run(main)
