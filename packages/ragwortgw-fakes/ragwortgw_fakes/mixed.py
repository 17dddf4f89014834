"""Runs the load tool with both deployments' mixes on a whole system."""

import subprocess
import sys

from ragwortgw_fakes import invariants
from ragwortgw_fakes import system

KEY = 'mixed-key'
RUN_TIMEOUT_S = 300
TARGETS = (
    'brief=proof,check=proof,question=proof,order=orders,'
    'balance=lunch,topup=lunch,statement=assistant'
)
ROUTES = 'GET:/:repeatable:interactive, POST:/:once:interactive'
CONFIGURATION = f"""
create model small input 100 output 300 quality 0.6
create model large input 1000 output 3000 quality 0.95
create model assistant input 100 output 300 quality 0.9 priority background
create model lunch kind service call 20 routes {ROUTES}
create model orders kind service call 20 routes {ROUTES}
create version small@v1
create version large@v1
create version assistant@v1
create version lunch@v1
create version orders@v1
create cascade proof stages small, large target 0.75
create organisation mixed permits proof, small, large, lunch, orders, assistant
set organisation mixed rate 100000 burst 100000 concurrency 10000
create key {system.hash_of(KEY)} organisation mixed
"""
ENGINES = (
    ('small-1', 'small@v1=0.6'),
    ('small-2', 'small@v1=0.6'),
    ('large-1', 'large@v1=0.95'),
    ('large-2', 'large@v1=0.95'),
    ('assistant', 'assistant@v1=0.9'),
)
SERVICES = ('lunch', 'orders')


def start(whole: system.System) -> None:
    """Starts seven backend servers and two entries, and configures them."""
    for name, versions in ENGINES:
        flags = ('--tokens-per-s', '400')
        whole.start_backend(name, versions, slots=16, flags=flags)
    for name in SERVICES:
        whole.start_backend(name, f'{name}@v1', kind='service')
    for name in ('entry-1', 'entry-2'):
        whole.start_entry(name)
    whole.commands(CONFIGURATION)
    whole.wait_in_force()
    whole.wait_connected(len(ENGINES) + len(SERVICES))


def main(
    *, rate: float = 60.0, duration_s: float = 20.0, result: str = 'mixed.json'
) -> None:
    """Sends the mix through two entries and checks the stand-ins' records.

    Args:
      rate: Requests a second, on average.
      duration_s: Time during which requests are sent.
      result: File for the load tool's result as JSON.
    """
    with system.System() as whole:
        start(whole)
        addresses = ','.join(
            entry.ready['caller_address']
            for entry in whole.entries_by_id.values()
        )
        subprocess.run(
            [
                *(sys.executable, '-m', 'ragwortgw_fakes', 'load'),
                *('--addresses', addresses, '--keys', KEY),
                *('--rate', str(rate), '--duration-s', str(duration_s)),
                *('--targets', TARGETS, '--result', result),
            ],
            check=True,
            timeout=RUN_TIMEOUT_S,
        )
        found = invariants.runs(whole)
        invariants.check_at_most_once(found)
        print(f'{len(found)} runs, {len(invariants.bills(whole))} bills')
