"""Steps that send requests."""

import itertools
import time

import behave
import uuid_utils

from ragwortgw_fakes import system
from ragwortgw_fakes import traffic

TOPUP_BODY = b'{"card": "ana", "cents": 500}'
MAX_RETURNS = 5
numbers = itertools.count()


def running_entries(context):
    entries = context.system.entries_by_id.values()
    return [entry for entry in entries if entry.running()]


def chat(entry, session='', tokens=20, extra=''):
    headers = (('Ragwortgw-Session', session),) if session else ()
    prompt = f'brief {next(numbers)} tokens={tokens} {extra}'
    return traffic.Wanted(entry, 'proof', prompt, headers=headers)


def top_up(entry, key=''):
    key = key or str(uuid_utils.uuid7())
    return traffic.Wanted(
        entry,
        'lunch',
        '',
        'POST',
        '/lunch/topups',
        TOPUP_BODY,
        headers=(('Idempotency-Key', key),),
    )


def balance(entry):
    return traffic.Wanted(entry, 'lunch', '', 'GET', '/lunch/balance/ana')


def spread(context, make, count):
    entries = running_entries(context)
    return [make(entries[n % len(entries)]) for n in range(count)]


@behave.when('{count:d} chats are sent')
def step_chats(context, count):
    context.last = traffic.send_all(spread(context, chat, count))
    context.sent += context.last


@behave.when('{count:d} chats are sent to {name:Name}')
def step_chats_to(context, count, name):
    entry = context.system.entries_by_id[name]
    context.last = traffic.send_all([chat(entry) for _ in range(count)])
    context.sent += context.last


@behave.when('{count:d} chats with "{marker}" are sent')
def step_chats_marked(context, count, marker):
    context.last = traffic.send_all(
        spread(context, lambda entry: chat(entry, extra=marker), count),
        at_once=1,
    )
    context.sent += context.last


@behave.when('the same chat with "{marker}" is sent {count:d} times')
def step_same_chat(context, marker, count):
    entries = running_entries(context)
    context.last = [
        traffic.send(
            traffic.Wanted(entries[n % len(entries)], 'proof', marker)
        )
        for n in range(count)
    ]
    context.sent += context.last


@behave.when('a chat of the other organisation is sent')
def step_foreign(context):
    wanted = chat(running_entries(context)[0])
    context.last = [traffic.send(wanted._replace(key='savinja-key'))]
    context.sent += context.last


@behave.when('{count:d} sessions each send {each:d} chats over all entries')
def step_sessions(context, count, each):
    entries = running_entries(context)
    if not hasattr(context, 'sessions'):
        context.sessions = []
    new = count - len(context.sessions)
    context.sessions += [str(uuid_utils.uuid7()) for _ in range(new)]
    context.last = traffic.send_all(
        [
            chat(entries[n % len(entries)], session, tokens=4)
            for session in context.sessions
            for n in range(each)
        ]
    )
    context.sent += context.last


@behave.when('{count:d} top-ups are sent')
def step_topups(context, count):
    context.last = traffic.send_all(spread(context, top_up, count))
    context.sent += context.last


@behave.when('a top-up is sent to {names} at once with one key')
def step_same_topup(context, names):
    context.key = str(uuid_utils.uuid7())
    entries = [context.system.entries_by_id[n] for n in names.split(' and ')]
    context.last = traffic.send_all(
        [top_up(entry, context.key) for entry in entries for _ in range(3)]
    )
    context.sent += context.last


@behave.when('a top-up begins at {name:Name}')
def step_begin_topup(context, name):
    context.key = str(uuid_utils.uuid7())
    entry = context.system.entries_by_id[name]
    whole = context.system
    before = count_runs(whole)
    context.background = traffic.Background(
        lambda n: top_up(entry, context.key), 1, pause_s=60
    )
    context.background.__enter__()
    system.wait_for(lambda: count_runs(whole) > before, 'the top-up runs')


def count_runs(whole):
    return sum(
        len(backend.server.records()['runs'])
        for backend in whole.backends_by_name.values()
    )


@behave.when('the same top-up is sent to {name:Name}')
def step_again(context, name):
    """Sends it as often as an answer in progress says to come back."""
    entry = context.system.entries_by_id[name]
    for _ in range(MAX_RETURNS):
        context.last = [traffic.send(top_up(entry, context.key))]
        context.sent += context.last
        problem = context.last[0].problem()
        if not problem.get('type', '').endswith(':in-progress'):
            return
        time.sleep(problem['retry_after_ms'] / 1000)


@behave.when('chats go on in the background')
def step_background_chats(context):
    start_background(context, chat)


@behave.when('long chats go on in the background')
def step_background_long(context):
    start_background(context, lambda entry: chat(entry, tokens=150))


@behave.when('short chats go on in the background')
def step_background_short(context):
    start_background(context, lambda entry: chat(entry, tokens=3), 12)


@behave.when('short chats go on at {name:Name}')
def step_background_at(context, name):
    entry = context.system.entries_by_id[name]
    context.background = traffic.Background(
        lambda n: chat(entry, tokens=3), 12
    )
    context.background.__enter__()
    context.background.wait_sent(5)


@behave.when('top-ups go on in the background')
def step_background_topups(context):
    start_background(context, top_up)


@behave.when('balance checks go on in the background')
def step_background_balances(context):
    start_background(context, balance)


def start_background(context, make, at_once=4):
    entries = running_entries(context)
    context.background = traffic.Background(
        lambda n: make(entries[n % len(entries)]), at_once
    )
    context.background.__enter__()
    context.background.wait_sent(5)


@behave.when('{count:d} more have ended')
def step_more(context, count):
    background = context.background
    background.wait_sent(len(background.sent) + count)


@behave.when('the background ends')
def step_background_ends(context):
    context.background.stop()
    context.last = context.background.sent
    context.sent += context.last
    context.background = None
