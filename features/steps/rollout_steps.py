"""Steps of roll-outs."""

import base64

import behave

from ragwortgw_fakes import calls
from ragwortgw_fakes import invariants
from ragwortgw_fakes import system


@behave.given('version "{version}" has quality {quality:g} when loaded')
def step_quality(context, version, quality):
    for backend in context.system.backends_by_name.values():
        backend.server.control(quality={version: quality})


@behave.then('version "{version}" is withdrawn within {seconds:d} s')
def step_withdrawn(context, version, seconds):
    whole = context.system
    system.wait_for(
        lambda: whole.rows(
            f'show versions where version = {version} and state = withdrawn'
        ),
        f'{version} withdrawn',
        seconds,
    )


@behave.then('"{version}" had at most {count:d} runs')
def step_exposure(context, version, count):
    found = [
        run
        for run in invariants.runs(context.system)
        if run['version'] == version
    ]
    assert 0 < len(found) <= count, len(found)


def rollout_row(context, name):
    (row,) = context.system.rows(f'show rollouts where rollout = {name}')
    return row


@behave.then(
    'roll-out "{name}" has taken {steps:d} steps within {seconds:d} s'
)
def step_taken(context, name, steps, seconds):
    system.wait_for(
        lambda: int(rollout_row(context, name)['step'].split('/')[0]) == steps,
        f'{steps} steps taken',
        seconds,
    )


@behave.then('roll-out "{name}" is {state}')
def step_state(context, name, state):
    assert rollout_row(context, name)['state'] == state


@behave.when('the entry that drives roll-outs is killed')
def step_kill_driver(context):
    found = calls.call(
        context.system.platform.address,
        'GET',
        '/v1/values/rollout/driver',
        {},
        b'',
    )
    incarnation = base64.b64decode(found.json()['value']).decode()
    name = incarnation.rpartition('-')[0]
    context.system.entries_by_id[name].kill()


@behave.then('no fencing number went back at an engine')
def step_fencing(context):
    for backend in context.system.backends_by_name.values():
        orders = backend.server.records()['orders']
        numbers = [order['fencing'] for order in orders]
        assert numbers, 'no order came'
        assert numbers == sorted(numbers), numbers
