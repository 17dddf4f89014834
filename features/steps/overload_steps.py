"""Steps of overload."""

import statistics

import behave

from ragwortgw_fakes import system
from ragwortgw_fakes import traffic

QUESTION_TOKENS = 4
STATEMENT_TOKENS = 60

CONFIGURATION = f"""
create model question input 100 output 300 quality 0.8 priority interactive
create model statement input 100 output 300 quality 0.8 priority background
create version question@v1
create version statement@v1
create organisation savinja permits question, statement rate 10000 burst 10000
create key {system.hash_of(system.CALLER_KEY)} organisation savinja
"""


@behave.given(
    'an engine with {slots:d} slots that serves questions and statements'
)  # noqa: E501
def step_mixed(context, slots):
    whole = context.system = system.System()
    whole.__enter__()
    whole.start_backend('engine', 'question@v1,statement@v1', slots=slots)
    whole.start_entry('entry-1')
    whole.wait_connected(1)
    whole.commands(CONFIGURATION)
    whole.wait_in_force()


def ask(context, number, timeout_ms=''):
    entry = context.system.entries_by_id['entry-1']
    headers = (('Ragwortgw-Timeout-Ms', timeout_ms),) if timeout_ms else ()
    prompt = f'question {number} tokens={QUESTION_TOKENS}'
    return traffic.Wanted(entry, 'question', prompt, headers=headers)


def statement(context, number):
    entry = context.system.entries_by_id['entry-1']
    prompt = f'statement {number} tokens={STATEMENT_TOKENS}'
    return traffic.Wanted(entry, 'statement', prompt)


def send_both(context, statements, questions, timeout_ms=''):
    background = traffic.Background(
        lambda n: statement(context, n), statements, pause_s=120
    )
    with background:
        whole = context.system
        system.wait_for(
            lambda: len(whole.rows('show requests')) >= statements // 2,
            'statements wait',
        )
        context.questions = traffic.send_all(
            [ask(context, n, timeout_ms) for n in range(questions)], 2
        )
        background.wait_sent(statements)
    context.statements = background.sent
    context.last = context.questions
    context.sent += context.questions + context.statements


@behave.when(
    '{statements:d} statements wait while {questions:d} questions are sent'
)  # noqa: E501
def step_both(context, statements, questions):
    send_both(context, statements, questions)


@behave.when(
    '{statements:d} statements wait while'
    ' {questions:d} questions with {timeout_ms:d} ms are sent'
)
def step_both_deadline(context, statements, questions, timeout_ms):
    send_both(context, statements, questions, str(timeout_ms))


@behave.then('all questions are answered')
def step_questions(context):
    failed = [each for each in context.questions if not each.ok]
    assert not failed, failed


@behave.then(
    'every statement is answered or was refused with a time to come back'
)  # noqa: E501
def step_statements(context):
    assert any(each.ok for each in context.statements)
    for each in context.statements:
        assert each.answer is not None, each
        assert each.ok or 'retry-after' in each.answer.headers, each


def median_ms(sent):
    return statistics.median(each.ended_ms - each.began_ms for each in sent)


@behave.then('questions took a third of the time of statements at most')
def step_third(context):
    answered = [each for each in context.statements if each.ok]
    ratio = median_ms(context.questions) / median_ms(answered)
    assert ratio <= 1 / 3, ratio


@behave.when('{count:d} chats of each organisation are sent')
def step_both_organisations(context, count):
    entry = context.system.entries_by_id['entry-1']
    keys = {'litoral': system.CALLER_KEY, 'savinja': 'savinja-key'}
    context.sent_by_organisation = {
        name: traffic.send_all(
            [
                traffic.Wanted(entry, 'proof', f'{name} {n} tokens=3', key=key)
                for n in range(count)
            ]
        )
        for name, key in keys.items()
    }
    for sent in context.sent_by_organisation.values():
        context.sent += sent


@behave.then('"{name}" was refused as rate-limited with a time to come back')
def step_limited(context, name):
    refused = [
        each for each in context.sent_by_organisation[name] if each.problem()
    ]
    assert refused
    for each in refused:
        assert each.problem()['type'].endswith(':rate-limited'), each
        assert int(each.answer.headers['retry-after']) > 0, each


@behave.then('"{name}" was answered')
def step_answered(context, name):
    sent = context.sent_by_organisation[name]
    assert all(each.ok for each in sent), sent


@behave.then('no question is answered, since one takes 40 ms at least')
def step_none_in_time(context):
    answered = [each for each in context.questions if each.ok]
    assert not answered, answered
