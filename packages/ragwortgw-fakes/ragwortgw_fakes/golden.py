"""Records whole sessions of real processes as golden files."""

import pathlib
import shutil
import time

import uuid_utils

from ragwortgw_fakes import demo
from ragwortgw_fakes import system

DIRECTORY = pathlib.Path('packages/ragwortgw-core/tests/golden')
SETTLE_S = 1.0


def start(whole: system.System, directory: pathlib.Path) -> None:
    """Starts a small system whose entry and agents record."""
    for name, versions, kind in (
        ('engine-small', 'proof-small@v1=0.6', 'chat'),
        ('engine-large', 'proof-large@v1=0.95', 'chat'),
        ('accounts', 'lunch@v1', 'service'),
    ):
        settings = {'recording': str(directory / f'{name}.jsonl')}
        whole.start_backend(name, versions, kind, agent_flags=settings)
    settings = {'recording': str(directory / 'entry.jsonl')}
    whole.start_entry('entry-1', settings=settings)
    whole.wait_connected(3)
    whole.commands(demo.CONFIGURATION)
    whole.wait_in_force()


def send_requests(whole: system.System) -> None:
    """Sends one request of each kind, a repeated one and a refused one."""
    entry = whole.entries_by_id['entry-1']
    question = 'Which colour has the day ticket? difficulty=0.1'
    system.chat(entry, 'proof', question, 'litoral-key')
    system.service(entry, 'GET', '/lunch/balance/ana', key='savinja-key')
    key = {'Idempotency-Key': str(uuid_utils.uuid7())}
    demo.top_up(entry, key)
    demo.top_up(entry, key)
    system.chat(entry, 'proof', question, 'savinja-key')
    whole.command('withdraw proof-large@v1 reason golden')
    whole.wait_in_force()
    system.chat(entry, 'proof-large', question, 'litoral-key')
    time.sleep(SETTLE_S)


def main() -> None:
    """Records the sessions anew; their diff is to be read."""
    shutil.rmtree(DIRECTORY, ignore_errors=True)
    DIRECTORY.mkdir(parents=True)
    with system.System() as whole:
        start(whole, DIRECTORY.resolve())
        send_requests(whole)
        demo.stop(whole)
