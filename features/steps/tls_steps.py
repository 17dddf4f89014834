"""Steps about TLS between processes."""

import behave

from ragwortgw_fakes import certificates
from ragwortgw_fakes import system
from ragwortgw_fakes import traffic

CONFIGURATION = f"""
create model proof input 100 output 300 quality 0.8
create version proof@v1
create organisation litoral permits proof rate 10000 burst 10000
create key {system.hash_of(system.CALLER_KEY)} organisation litoral
"""


def settings_of(paths, authority):
    return {
        'internal_tls_cert': paths.cert,
        'internal_tls_key': paths.key,
        'internal_tls_ca': authority.cert,
    }


@behave.given('an engine whose agent asks for certificates')
def step_agent(context):
    whole = context.system = system.System()
    whole.__enter__()
    context.own = certificates.write_certificate(whole.directory, 'own')
    whole.start_backend(
        'engine', 'proof@v1', agent_flags=settings_of(context.own, context.own)
    )


@behave.given('{name:Name} with a certificate of the same authority')
def step_same(context, name):
    whole = context.system
    whole.start_entry(name, settings=settings_of(context.own, context.own))
    whole.commands(CONFIGURATION)
    whole.wait_connected(1)
    whole.wait_in_force()


@behave.given('{name:Name} with a certificate of another authority')
def step_other(context, name):
    whole = context.system
    other = certificates.write_certificate(whole.directory, 'other')
    start_alone(context, name, settings_of(other, context.own))


@behave.given('{name:Name} without a certificate')
def step_none(context, name):
    start_alone(context, name, {})


def start_alone(context, name, settings):
    """Starts an entry and waits until it holds the configuration."""
    entry = context.system.start_entry(name, settings=settings)
    system.wait_for(
        lambda: (
            traffic.send(traffic.Wanted(entry, 'proof', 'ready?'))
            .problem()['type']
            .endswith(':no-backend')
        ),
        f'{name} holds the configuration',
    )
