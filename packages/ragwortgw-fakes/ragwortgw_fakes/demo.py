"""Brings up a whole system, sends requests and shows what happened."""

import contextlib
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time

import openai
import uuid_utils

from ragwortgw_fakes import calls
from ragwortgw_fakes import processes
from ragwortgw_fakes import system

DIRECTORY = pathlib.Path('.demo')

CONFIGURATION = f"""
create model proof-small input 100 output 300 quality 0.6
create model proof-large input 1000 output 3000 quality 0.95
create model lunch kind service call 20 routes GET:/balance:repeatable:interactive, POST:/topups:once:interactive
create version proof-small@v1
create version proof-large@v1
create version lunch@v1
create cascade proof stages proof-small, proof-large target 0.8
create organisation litoral permits proof, proof-large rate 50 burst 100
create organisation savinja permits lunch rate 50 burst 100
create key {system.hash_of('litoral-key')} organisation litoral label demo
create key {system.hash_of('savinja-key')} organisation savinja label demo
"""  # noqa: E501


def start(whole: system.System) -> None:
    """Starts the stand-ins, agents and entries, and configures them."""
    whole.start_backend('engine-small', 'proof-small@v1=0.6')
    whole.start_backend('engine-large', 'proof-large@v1=0.95', zone='zone-b')
    whole.start_backend('accounts', 'lunch@v1', kind='service')
    whole.start_entry('entry-1', zone='zone-a')
    whole.start_entry('entry-2', zone='zone-b')
    whole.commands(CONFIGURATION)
    whole.wait_in_force()
    whole.wait_connected(3)


def show(title: str, answer: calls.Answer) -> None:
    """Prints who served a request."""
    served = answer.headers.get('ragwortgw-version', '-')
    identity = answer.headers.get('ragwortgw-request-id', '-')
    print(f'{title}: {answer.status} by {served}, request {identity}')


def send_requests(whole: system.System) -> None:
    """Sends requests of both deployments' kinds through both entries."""
    first, second = whole.entries_by_id.values()
    brief = 'Design an entry band for the dawn gate. difficulty=0.9 ' * 40
    show('long brief', system.chat(first, 'proof', brief, 'litoral-key'))
    question = 'Which colour has the day ticket? difficulty=0.1'
    show(
        'sales question', system.chat(second, 'proof', question, 'litoral-key')
    )
    streamed = stream(first, question)
    print(f'streamed question: {streamed} pieces')
    balance = system.service(
        first, 'GET', '/lunch/balance/ana', key='savinja-key'
    )
    show('balance check', balance)
    key = {'Idempotency-Key': str(uuid_utils.uuid7())}
    for entry, title in ((first, 'top-up'), (second, 'top-up, sent again')):
        show(title, top_up(entry, key))
    refused = system.service(first, 'GET', '/lunch/balance/ana', key='wrong')
    show('wrong key', refused)
    runs = whole.backends_by_name['accounts'].server.records()['runs']
    topups = [run for run in runs if 'topup' in str(run)]
    print(f'the service ran {len(topups)} top-up(s)')


def top_up(entry: processes.Process, headers: dict[str, str]) -> calls.Answer:
    """Sends a top-up; comes back once when told to."""
    for _ in range(2):
        answer = system.service(
            entry,
            'POST',
            '/lunch/topups',
            b'{"card": "ana", "cents": 500}',
            'savinja-key',
            headers,
        )
        if 'retry-after' not in answer.headers:
            break
        time.sleep(int(answer.headers['retry-after']))
    return answer


def stream(entry: processes.Process, prompt: str) -> int:
    """Streams a completion by the OpenAI client; counts its pieces."""
    client = openai.OpenAI(
        api_key='litoral-key',
        base_url=f'http://{entry.ready["caller_address"]}/v1',
        max_retries=0,
    )
    with client:
        chunks = client.chat.completions.create(
            model='proof-large',
            messages=[{'role': 'user', 'content': prompt}],
            stream=True,
        )
        return sum(
            1
            for chunk in chunks
            if chunk.choices and chunk.choices[0].delta.content
        )


def operate(whole: system.System, *arguments: str) -> None:
    """Runs the operators' command and prints its output."""
    entries = ','.join(
        entry.ready['admin_address'] for entry in whole.entries_by_id.values()
    )
    print(f'\n$ ragwortgw {" ".join(arguments)}', flush=True)
    subprocess.run(
        [sys.executable, '-m', 'ragwortgw_cli.main', *arguments],
        env={
            **system.inherited_environment(),
            'RAGWORTGW_ENTRIES': entries,
            'RAGWORTGW_OPERATOR_KEY': system.OPERATOR_KEY,
        },
        check=True,
        timeout=calls.CALL_TIMEOUT_S,
    )


def wait_billed(whole: system.System, requests: int) -> None:
    """Waits until that many requests are billed."""

    def billed() -> bool:
        rows = whole.rows('show cost by organisation')
        return sum(row['requests'] for row in rows) >= requests

    system.wait_for(billed, f'{requests} requests billed')


def stop(whole: system.System) -> None:
    """Stops entries and agents by a planned stop; checks their status."""
    daemons = [
        *whole.entries_by_id.values(),
        *(backend.agent for backend in whole.backends_by_name.values()),
    ]
    statuses = [daemon.terminate() for daemon in daemons]
    print(f'\nplanned stop: exit statuses {statuses}')
    if any(statuses):
        raise SystemExit(1)


def print_addresses(whole: system.System) -> None:
    """Prints addresses and example commands for a person to try."""
    for name, entry in whole.entries_by_id.items():
        caller = entry.ready['caller_address']
        print(f'{name}: callers http://{caller}')
        print(f'  operators {entry.ready["admin_address"]}')
        print(
            f'  curl -s http://{caller}/v1/chat/completions'
            " -H 'Authorization: Bearer litoral-key' -d"
            ' \'{"model": "proof", "messages":'
            ' [{"role": "user", "content": "Hello"}]}\''
        )
        print(
            f'  curl -s http://{caller}/services/lunch/balance/ana'
            " -H 'Authorization: Bearer savinja-key'"
        )
    admins = ','.join(
        entry.ready['admin_address'] for entry in whole.entries_by_id.values()
    )
    bin_directory = pathlib.Path(sys.executable).parent
    first = next(iter(whole.entries_by_id.values()))
    print('\nin another terminal:')
    print(f'export PATH={bin_directory}:$PATH')
    if 'PYTHONPATH' in os.environ:
        print(f'export PYTHONPATH={os.environ["PYTHONPATH"]}')
    print(
        f'export RAGWORTGW_ENTRIES={admins}'
        f' RAGWORTGW_OPERATOR_KEY={system.OPERATOR_KEY}'
    )
    print(f'export CALLERS=http://{first.ready["caller_address"]}')
    print('ragwortgw run "show backends"')
    print('stop with Ctrl-C', flush=True)


def main(*, keep: bool = False) -> None:
    """Runs the demonstration.

    Args:
      keep: Leave the system up until SIGINT or SIGTERM.
    """
    shutil.rmtree(DIRECTORY, ignore_errors=True)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    whole = system.System(DIRECTORY)
    whole.group.shielded = True
    with whole:
        start(whole)
        send_requests(whole)
        wait_billed(whole, 5)
        operate(whole, 'run', 'show backends')
        operate(whole, 'run', 'show cost by organisation, version')
        timelines = [str(path) for path in DIRECTORY.glob('*.timeline')]
        operate(whole, 'timeline', *sorted(timelines), '--last', '25')
        if keep:
            print_addresses(whole)
            with contextlib.suppress(KeyboardInterrupt):
                signal.pause()
        stop(whole)
