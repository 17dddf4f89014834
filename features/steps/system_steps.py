"""Steps that build a system, order it about and break it."""

import time

import behave

from ragwortgw_fakes import calls
from ragwortgw_fakes import system
from ragwortgw_fakes import traffic

CHAT_CONFIGURATION = f"""
create model proof kind chat input 100 output 300 quality 0.8
create version proof@v1
create version proof@v2
create organisation litoral permits proof rate 10000 burst 10000 concurrency 1000
create organisation savinja permits none rate 10000 burst 10000 concurrency 1000
create key {system.hash_of(system.CALLER_KEY)} organisation litoral label test
create key {system.hash_of('savinja-key')} organisation savinja label test
"""  # noqa: E501

SERVICE_CONFIGURATION = f"""
create model lunch kind service call 20 routes GET:/balance:repeatable:interactive, POST:/topups:once:interactive
create version lunch@v1
create organisation savinja permits lunch rate 10000 burst 10000 concurrency 1000
create key {system.hash_of(system.CALLER_KEY)} organisation savinja label test
"""  # noqa: E501


def new_system(context):
    context.system = system.System()
    context.system.__enter__()
    return context.system


def entry_of(context, name):
    return context.system.entries_by_id[name]


@behave.given(
    '{count:d} engines with versions "{versions}" and {entries:d} entries'
)
def step_engines(context, count, versions, entries):  # noqa: E501
    whole = new_system(context)
    for number in range(1, count + 1):
        whole.start_backend(f'engine-{number}', versions)
    start_entries(whole, entries, count)
    statements = CHAT_CONFIGURATION.replace('permits none ', '')
    whole.commands(statements)
    whole.wait_in_force()


@behave.given('{count:d} lunch services and {entries:d} entries')
def step_services(context, count, entries):
    whole = new_system(context)
    for number in range(1, count + 1):
        whole.start_backend(f'service-{number}', 'lunch@v1', kind='service')
    start_entries(whole, entries, count)
    whole.commands(SERVICE_CONFIGURATION)
    whole.wait_in_force()


def start_entries(whole, entries, agents):
    for number in range(1, entries + 1):
        whole.start_entry(f'entry-{number}')
    whole.wait_connected(agents)


@behave.when('an operator orders "{text}"')
def step_order(context, text):
    context.ordered = context.system.command(text)
    context.ordered_at_ms = traffic.now_ms()


@behave.when('{name:Name} is ordered "{text}" and answers {status:d} {slug}')
def step_refused_order(context, name, text, status, slug):
    try:
        system.command(entry_of(context, name), text)
    except calls.Refused as refused:
        assert refused.answer.status == status, refused.answer
        assert refused.answer.json()['type'].endswith(slug), refused.answer
        return
    raise AssertionError('the order was accepted')


@behave.when('the configuration is in force everywhere')
def step_in_force(context):
    context.system.wait_in_force()
    context.in_force_at_ms = traffic.now_ms()


@behave.when('{name:Name} is paused')
def step_pause(context, name):
    process_of(context, name).pause()


@behave.when('{name:Name} goes on')
def step_resume(context, name):
    process_of(context, name).resume()


@behave.when('{name:Name} is killed')
def step_kill(context, name):
    process_of(context, name).kill()


@behave.when('{name:Name} is told to stop')
def step_stop(context, name):
    context.stopping_at_ms = traffic.now_ms()
    process_of(context, name).send_term()


@behave.then('{name:Name} ends with status {status:d}')
def step_status(context, name, status):
    ended = process_of(context, name).wait()
    assert ended == status, ended


@behave.when('{name:Name} is started')
def step_start(context, name):
    context.system.start_entry(name)


@behave.when('{name:Name} is started again')
def step_restart(context, name):
    context.system.start_entry(name)


def process_of(context, name):
    whole = context.system
    if name in whole.entries_by_id:
        return whole.entries_by_id[name]
    if name.startswith('agent-'):
        return whole.backends_by_name[name.removeprefix('agent-')].agent
    if name == 'platform':
        return whole.platform
    return whole.backends_by_name[name].server


@behave.given('the platform service is down')
@behave.when('the platform service goes down')
def step_platform_down(context):
    context.system.platform.control(down='closed')


@behave.when('the platform service goes back by {ms:d} ms')
def step_platform_restored(context, ms):
    context.system.platform.control(restore=ms)


@behave.when('the platform service comes back')
def step_platform_up(context):
    context.system.platform.control(down='')


@behave.when('the platform service loses the answers to {count:d} writes')
def step_lose(context, count):
    context.system.platform.control(lose_answer=count)


@behave.when(
    'the platform service loses the answers to {count:d} writes of "{prefix}"'
)  # noqa: E501
def step_lose_prefix(context, count, prefix):
    context.system.platform.control(lose_answer=count, lose_prefix=prefix)


@behave.when('the host list lags by {seconds:d} s')
def step_lag(context, seconds):
    context.system.platform.control(lag_ms=seconds * 1000)


@behave.when('{seconds:g} s pass')
def step_pass(context, seconds):
    time.sleep(seconds)


@behave.given('service calls take {ms:d} ms')
def step_service_ms(context, ms):
    for backend in context.system.backends_by_name.values():
        backend.server.control(service_ms=ms)


@behave.when('the agent of the running call is killed')
def step_kill_running(context):
    for backend in context.system.backends_by_name.values():
        runs = backend.server.records()['runs']
        if any(run['end_ms'] is None for run in runs):
            backend.agent.kill()
            return
    raise AssertionError('no call runs')


@behave.when('every agent is connected again')
def step_connected(context):
    context.system.wait_connected(len(context.system.backends_by_name))


@behave.when('all engines crash on bodies with "{marker}"')
def step_all_poison(context, marker):
    poison = [{'marker': marker, 'mode': 'crash', 'after_ms': 50}]
    for backend in context.system.backends_by_name.values():
        backend.server.control(poison=poison)


@behave.when('the order counts as the stop')
def step_order_stop(context):
    context.stopping_at_ms = context.ordered_at_ms


@behave.when('the background ends while {name:Name} stops')
def step_stop_under_load(context, name):
    entry = entry_of(context, name)
    entry.send_term()
    entry.wait(60)
    context.stopped_at_ms = traffic.now_ms()
    context.background.stop()
    context.last = context.background.sent
    context.sent += context.last
    context.background = None


@behave.given('{name:Name} reaches the platform service by a cable')
def step_cable(context, name):
    whole = context.system
    context.cable = whole.group.start_fake(
        'cable', '--target', whole.platform.address
    )
    whole.start_entry(name, settings={'platform': context.cable.address})
    whole.wait_connected(len(whole.backends_by_name))
    whole.wait_in_force()


@behave.when('the cable drops everything')
def step_partition(context):
    context.cable.control(mode='partition')


@behave.when('{name:Name} and all agents hold the newest revision')
def step_some_in_force(context, name):
    entry = entry_of(context, name)
    system.wait_for(
        lambda: holds_newest(context, entry), 'agents hold the revision'
    )
    context.in_force_at_ms = traffic.now_ms()


def holds_newest(context, entry):
    body = system.command(entry, 'show configuration')
    row = dict(zip(body['columns'], body['rows'][0], strict=True))
    newest = context.ordered['revision']
    return row['revision'] >= newest and not row['agents_behind']
