"""Steps of operators' orders."""

from concurrent import futures
import http.client

import behave
import msgspec
import uuid_utils

from ragwortgw_fakes import calls
from ragwortgw_fakes import system


def try_command(entry, text, key=system.OPERATOR_KEY, **fields):
    """Runs a statement; returns the HTTP answer, None where none came."""
    try:
        return calls.call(
            entry.ready['admin_address'],
            'POST',
            '/v1/commands',
            {'Authorization': f'Bearer {key}'},
            msgspec.json.encode({'text': text, **fields}),
        )
    except (OSError, http.client.HTTPException):
        return None


@behave.when('{count:d} pairs of orders on one revision come in')
def step_pairs(context, count):
    entries = list(context.system.entries_by_id.values())
    context.pairs = []
    with futures.ThreadPoolExecutor(2) as pool:
        for number in range(count):
            revision = context.system.wait_in_force()
            running = [
                pool.submit(
                    try_command,
                    entry,
                    f'set organisation litoral rate {100 + 10 * number + n}',
                    if_revision=revision,
                )
                for n, entry in enumerate(entries)
            ]
            context.pairs.append([each.result() for each in running])


@behave.then('of each pair exactly one was applied')
def step_one_wins(context):
    for pair in context.pairs:
        statuses = sorted(answer.status for answer in pair)
        assert statuses == [200, 409], [answer.body for answer in pair]


@behave.then('the losers are told by whom and what changed')
def step_losers(context):
    for pair in context.pairs:
        loser = next(answer for answer in pair if answer.status == 409)
        detail = loser.json()['detail']
        assert 'operator: bootstrap' in detail, detail
        assert 'organisation/litoral' in detail, detail


@behave.then('the audit lists each applied order once')
def step_audit(context):
    context.system.wait_in_force()
    rows = context.system.rows('show audit where operator = bootstrap')
    revisions = [row['revision'] for row in rows]
    assert len(revisions) == len(set(revisions))
    changes = [row for row in rows if 'litoral rate' in row['text']]
    texts = [row['text'] for row in changes]
    assert len(changes) == len(context.pairs), texts


@behave.when('order "{name:Name}" is "{text}" through {entry:Name}')
def step_named_order(context, name, text, entry):
    ids_by_name = context.__dict__.setdefault('ids_by_name', {})
    command_id = ids_by_name.setdefault(name, str(uuid_utils.uuid7()))
    answer = try_command(
        context.system.entries_by_id[entry], text, command_id=command_id
    )
    assert answer is not None and answer.status == 200, answer


@behave.when('order "{name:Name}" is "{text}" while {entry:Name} is killed')
def step_order_killed(context, name, text, entry):
    ids_by_name = context.__dict__.setdefault('ids_by_name', {})
    command_id = ids_by_name.setdefault(name, str(uuid_utils.uuid7()))
    process = context.system.entries_by_id[entry]
    with futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(
            try_command, process, text, command_id=command_id
        )
        written = len(context.system.platform.records()['writes'])
        system.wait_for(
            lambda: len(context.system.platform.records()['writes']) > written,
            'the order began to write',
        )
        process.kill()
        assert running.result() is None


@behave.when('the platform service answers writes after {ms:d} ms')
def step_slow(context, ms):
    context.system.platform.control(slow_answer_ms=ms)


@behave.then('order "{name:Name}" was applied once')
def step_applied_once(context, name):
    command_id = context.ids_by_name[name]
    context.system.wait_in_force()
    rows = context.system.rows('show audit')
    found = [row for row in rows if row['command'] == command_id]
    assert len(found) == 1, rows


@behave.then('the rate of litoral is {rate:d} everywhere')
def step_rate(context, rate):
    context.system.wait_in_force()
    for entry in context.system.entries_by_id.values():
        if not entry.running():
            continue
        body = system.command(
            entry, 'show organisations where organisation = litoral'
        )
        row = dict(zip(body['columns'], body['rows'][0], strict=True))
        assert row['rate'] == rate, row


@behave.then('these orders are refused')
def step_refused_orders(context):
    entry = context.system.entries_by_id['entry-1']
    for row in context.table:
        answer = try_command(entry, row['text'])
        document = answer.json()
        assert answer.status == int(row['status']), (row, document)
        assert document['type'].endswith(f':{row["type"]}'), document
        if row['column']:
            assert document['column'] == int(row['column']), (row, document)
            assert document['suggestion'] == row['suggestion'], document


@behave.given(
    'an operator "{one}" with role "{role}"'
    ' and an operator "{other}" with role "{second}"'
)
def step_operators(context, one, role, other, second):
    for name, given in ((one, role), (other, second)):
        context.system.command(
            f'create operator {name} role {given}'
            f' hash {system.hash_of(name + "-key")}'
        )
    context.system.wait_in_force()


@behave.then('"{name}" may "{allowed}" but not "{forbidden}"')
def step_role(context, name, allowed, forbidden):
    entry = context.system.entries_by_id['entry-1']
    answer = try_command(entry, allowed, f'{name}-key')
    assert answer.status == 200, answer
    answer = try_command(entry, forbidden, f'{name}-key')
    assert answer.status == 403, answer


@behave.then('a wrong operator key is refused')
def step_wrong_key(context):
    entry = context.system.entries_by_id['entry-1']
    assert try_command(entry, 'show backends', 'wrong').status == 401


@behave.when('"{text}" is run dry')
def step_dry(context, text):
    context.system.command(text, dry_run=True)


@behave.when('the session key is set to "{secret}"')
def step_session_key(context, secret):
    context.system.command(f'set system system session-key {secret}')
    context.system.wait_in_force()


@behave.when('a chat in a session is sent')
def step_session_chat(context):
    entry = context.system.entries_by_id['entry-1']
    answer = system.chat(
        entry, 'proof', 'Hello', headers={'Ragwortgw-Session': 'gate-7'}
    )
    assert answer.status == 200, answer
    assert answer.headers['ragwortgw-session'] != 'gate-7', answer
    context.answer = answer


@behave.then('"{secret}" is in no answer, log or time line')
def step_no_secret(context, secret):
    whole = context.system
    shown = [str(context.answer)]
    for row in whole.rows('show subjects'):
        shown.append(str(whole.rows(f'show {row["subject"]}')))
    assert 'session-key secret:' in str(shown)
    processes = ('stdout', 'stderr', 'timeline')
    for path in whole.directory.iterdir():
        if not path.name.startswith('platform') and path.suffix[1:] in (
            processes
        ):
            shown.append(path.read_text())
    assert not [text for text in shown if secret in text]
