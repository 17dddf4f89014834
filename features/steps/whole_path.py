"""Steps about requests over real processes."""

import http.client

import behave
import msgspec

from ragwortgw_core import agent
from ragwortgw_core import entry
from ragwortgw_core import recording
from ragwortgw_fakes import calls
from ragwortgw_fakes import system

KEY = 'festival-key'
CONFIGURATION = f"""
create model proof input 100 output 300 quality 0.8
create version proof@v1
create organisation festival permits proof rate 100 burst 100
create key {system.hash_of(KEY)} organisation festival label test
"""
ROLES = {
    'entry': (entry.REDUCER, entry.new_entry),
    'agent': (agent.REDUCER, agent.new_agent),
}
TOKENS_PER_S = 200
#: Events of the recorded session by role, in the order of their first.
RECORDED_BY_ROLE = {
    'entry': {
        'AgentConnected': 1,
        'RequestReceived': 2,
        'AttemptStarted': 2,
        'AttemptFinished': 2,
        'AttemptFirstChunk': 1,
        'StopRequested': 1,
    },
    'agent': {
        'EntryConnected': 1,
        'ConfigurationReceived': 1,
        'DispatchReceived': 2,
        'EngineStarted': 2,
        'EngineFinished': 2,
        'BillReceived': 2,
        'StopRequested': 1,
    },
}


class Stream:
    """A streamed completion, read piece by piece."""

    def __init__(self, address, tokens):
        self.connection = http.client.HTTPConnection(
            address, timeout=calls.CALL_TIMEOUT_S
        )
        body = {
            'model': 'proof',
            'stream': True,
            'messages': [
                {'role': 'user', 'content': f'Draft it. tokens={tokens}'}
            ],
        }
        self.connection.request(
            'POST',
            '/v1/chat/completions',
            msgspec.json.encode(body),
            {'Authorization': f'Bearer {KEY}'},
        )
        self.response = self.connection.getresponse()
        self.lines = []
        self.read(1)

    def read(self, events):
        """Reads up to a number of events; fewer at the end."""
        while events:
            line = self.response.readline()
            if not line:
                return
            if line.startswith(b'data: '):
                self.lines.append(line[6:].strip())
                events -= 1

    def read_all(self):
        """Reads to the end."""
        self.read(-1)

    @property
    def text(self):
        """The text of the pieces."""
        parts = []
        for line in self.lines[:-1]:
            for choice in msgspec.json.decode(line).get('choices', ()):
                parts.append(choice['delta'].get('content') or '')
        return ''.join(parts)


def start(context, with_cable=False, records=False):
    whole = system.System()
    whole.__enter__()
    context.add_cleanup(whole.__exit__)
    context.system = whole
    directory = whole.directory
    settings = {}
    if records:
        settings = {'recording': str(directory / 'agent.recording')}
    context.backend = whole.start_backend(
        'engine',
        'proof@v1=0.8',
        flags=('--tokens-per-s', str(TOKENS_PER_S)),
        agent_flags=settings,
    )
    if with_cable:
        target = context.backend.agent.ready['grpc_address']
        context.cable = whole.group.start_fake('cable', '--target', target)
        whole.list_host(
            'agent-engine', 'agent', context.cable.address, 'zone-a'
        )
    if records:
        settings = {'recording': str(directory / 'entry.recording')}
    context.entry = whole.start_entry('entry-1', settings=settings)
    whole.commands(CONFIGURATION)
    whole.wait_in_force()
    whole.wait_connected(1)


def ask(context, tokens):
    return system.chat(
        context.entry, 'proof', f'Draft it. tokens={tokens}', KEY
    )


def runs(context):
    return context.backend.server.records()['runs']


@behave.given('an engine, an agent and an entry')
def step_start(context):
    start(context)


@behave.given('an engine, an agent and an entry with a cable between them')
def step_start_with_cable(context):
    start(context, with_cable=True)


@behave.given('an engine, an agent and an entry that record')
def step_start_with_records(context):
    start(context, records=True)


@behave.when('a caller asks for {tokens:d} tokens')
def step_ask(context, tokens):
    context.tokens = tokens
    context.answer = ask(context, tokens)


@behave.when('a caller begins to stream {tokens:d} tokens')
def step_stream(context, tokens):
    context.tokens = tokens
    context.stream = Stream(context.entry.ready['caller_address'], tokens)
    assert context.stream.response.status == 200


@behave.when('the caller leaves')
def step_leave(context):
    context.stream.response.close()
    context.stream.connection.close()


@behave.when('the connections through the cable fall silent')
def step_silence(context):
    context.cable.control(mode='silence')


@behave.when('the {role} is told to stop')
def step_stop(context, role):
    context.stream.read(5)
    process_of(context, role).send_term()


@behave.when('the agent is killed')
def step_kill(context):
    context.stream.read(5)
    context.backend.agent.kill()


@behave.then('the stream ends with a failure that does not say "not run"')
def step_failure(context):
    context.stream.read_all()
    problem = msgspec.json.decode(context.stream.lines[-1])
    assert problem['status'] >= 500, problem
    assert problem['ran'] != 'no', problem


def process_of(context, role):
    return context.entry if role == 'entry' else context.backend.agent


def direct_text(context):
    """Asks the engine itself, past entry and agent."""
    message = {
        'role': 'user',
        'content': f'Draft it. tokens={context.tokens}',
    }
    answer = calls.call(
        context.backend.server.address,
        'POST',
        '/v1/chat/completions',
        {},
        msgspec.json.encode({'model': 'proof@v1', 'messages': [message]}),
    )
    return answer.text()


@behave.then("the caller has the engine's whole answer")
def step_whole(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.headers['ragwortgw-version'] == 'proof@v1'
    assert len(runs(context)) == 1, runs(context)
    assert context.answer.text() == direct_text(context)


@behave.then('the caller has each piece once and in order, to the end')
def step_pieces(context):
    context.stream.read_all()
    assert context.stream.lines[-1] == b'[DONE]', context.stream.lines[-1]
    assert context.stream.text == direct_text(context)


@behave.then('the engine cancels the run')
def step_cancelled(context):
    run = system.wait_for(
        lambda: [run for run in runs(context) if run['end_ms'] is not None],
        'the run ended',
    )[0]
    assert run['outcome'] == 'cancelled', run
    assert run['pieces'] < context.tokens, run


@behave.then('the agent was never reported lost')
def step_not_lost(context):
    assert 'agent lost' not in context.entry.stderr()
    assert context.entry.stderr().count('agent connected') > 1


@behave.then('the {role} ends with status 0')
def step_status(context, role):
    context.stream.connection.close()
    assert process_of(context, role).wait() == 0


@behave.then('the records give the same effects when replayed')
def step_replay(context):
    for role, (machine, new_state) in ROLES.items():
        assert process_of(context, role).terminate() == 0
        path = context.system.directory / f'{role}.recording'
        lines = path.read_bytes().splitlines()
        begin = recording.decode_start(lines[0])
        assert begin.role == role
        state = new_state(*begin.arguments)
        check_whole(role, lines[1:])
        differences = recording.replay(machine, state, lines[1:])
        assert not differences, differences[0]


def check_whole(role, lines):
    """Checks that a record holds the session, in order and often enough.

    The number of its lines says nothing: how many ticks fall in depends
    on how long the session took.
    """
    steps = [recording.decode_step(line) for line in lines]
    seen = [type(step.event).__name__ for step in steps]
    for name, count in RECORDED_BY_ROLE[role].items():
        assert seen.count(name) >= count, (role, name, seen.count(name))
    assert steps[-1].stamp.now_ms >= steps[0].stamp.now_ms
    places = [seen.index(name) for name in RECORDED_BY_ROLE[role]]
    assert places == sorted(places), (role, places)
