"""Helpers of the tests: a gateway with a small configuration."""

import zlib

from ragwortgw_core import effects as core_effects
from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_fakes import gateway_formats
from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import gateway
from ragwortgw_gateway import gossip
from ragwortgw_gateway import requests

START_MS = 1_000_000
LIMITS = documents.CallerLimits(16_384, 1_000_000, 3_000, 15_000)
KEY = 'festival-key'

make_found = gateway_formats.make_found


def make_route(route_id, kind='idempotent', **changes):
    """Makes a route of one host."""
    base = documents.Route(
        id=route_id,
        host='print.example',
        prefix=f'/{route_id}/',
        kind=kind,
        resumable=kind == 'streaming',
        timeout_ms=12_000,
        objective_ms=4_000,
        event_interval_ms=2_500,
        priority=1,
        targets=(documents.Target('proofs', 1),),
        max_attempts=3,
        public=False,
        tiers=('small', 'large') if kind == 'streaming' else (),
    )
    return base._replace(**changes)


ROUTES = (
    make_route('draft', 'streaming'),
    make_route('status', max_attempts=2),
    make_route('order', 'mutating', max_attempts=1),
)


def make_configuration(version=1, routes=ROUTES, keys=(KEY,)):
    """Makes a configuration of one service and one organisation."""
    return documents.Configuration(
        version,
        routes,
        {
            'proofs': documents.Service(
                'proofs', 100, 500_000, {'small': 0.01, 'large': 0.1}
            )
        },
        (documents.Organisation('festival', keys, None),),
        LIMITS,
    )


def make_server(server_id, **changes):
    """Makes a backend server."""
    base = documents.BackendServer(
        server_id, 1, 'proofs', '127.0.0.1:1', 'zone-a', 'v1', 16, False
    )
    return base._replace(**changes)


PROMPT = requests.Prompt(
    3_000,
    100,
    (
        requests.PrefixBlock('shared', 2_000),
        requests.PrefixBlock('own', 1_000),
    ),
)


def make_request(request_id, route_id='status', now_ms=START_MS, **changes):
    """Makes a request to a route."""
    streaming = route_id == 'draft'
    base = requests.Request(
        id=request_id,
        method='POST',
        target=f'/{route_id}/{request_id}',
        host='print.example',
        path=f'/{route_id}/{request_id}',
        key=KEY,
        headers=(),
        body=b'',
        model=requests.ANY_MODEL if streaming else '',
        prompt=PROMPT if streaming else None,
        session='',
        resumed_after=0,
        received_ms=now_ms,
        deadline_ms=now_ms + 10_000,
        fingerprint=hash(request_id) & 0xFFFF,
    )
    return base._replace(**changes)


def make_answer_head(status=200, **changes):
    """Makes the head of an answer."""
    base = requests.AnswerHead(
        status, (), '', False, False, None, None, status == 200
    )
    return base._replace(**changes)


class GatewayDriver:
    """A gateway whose clock the test moves.

    Attributes:
      state: The gateway.
      now_ms: The time.
      outputs: Effects of the last event.
    """

    def __init__(self, host_id='edge-1', options=gateway.Options()):
        self.now_ms = START_MS
        self.state = gateway.new_gateway(
            host_id,
            f'{host_id}-x',
            'zone-a',
            f'127.0.0.1:{zlib.crc32(host_id.encode()) % 60_000}',
            gateway_formats.JsonFormats(),
            options,
        )
        self.revision = 0
        self.effects = []
        self.store_calls = []
        self.store_unreachable = False

    def reduce(self, event):
        """Applies an event and keeps its effects."""
        stamp = core_events.Stamp(self.now_ms, 0)
        _, self.effects = gateway.REDUCER.reduce(self.state, stamp, event)
        self.store_calls += self.effects_of(core_effects.CallPlatform)
        return self.effects

    def effects_of(self, kind):
        """Returns the effects of one type."""
        return [each for each in self.effects if isinstance(each, kind)]

    def logged_fields(self, kind):
        """Returns the fields of the log lines of one kind."""
        return [
            each.fields
            for each in self.effects_of(core_effects.Record)
            if each.kind == kind
        ]

    def tick(self, passed_ms=0):
        """Lets time pass; the store renews the lease unless it is away."""
        self.now_ms += passed_ms
        outputs = list(self.reduce(core_events.Tick()))
        while not self.store_unreachable and self.answer_registration():
            outputs += self.effects
        self.effects = outputs
        return outputs

    def answer_registration(self):
        """Answers a call about the gateway's own entry, if one waits."""
        for each in self.store_calls:
            if isinstance(each.call, platform.Grant):
                result = platform.Granted(each.call.lease, 0, True)
            elif getattr(each.call, 'lease', '') and isinstance(
                each.call, platform.Put
            ):
                result = platform.Written(each.call.key, 1)
            else:
                continue
            self.store_calls.remove(each)
            self.reduce(core_events.PlatformAnswered(each.op_id, result))
            return True
        return False

    def answer(self, kind, result):
        """Answers the last call of one type to the store."""
        call = [
            each for each in self.store_calls if isinstance(each.call, kind)
        ][-1]
        self.store_calls.remove(call)
        return self.reduce(core_events.PlatformAnswered(call.op_id, result))

    def has_pending_call(self, kind):
        """Tells whether a call of one type waits for its answer."""
        self.store_calls = [
            each for each in self.store_calls if each.deadline_ms > self.now_ms
        ]
        return any(isinstance(each.call, kind) for each in self.store_calls)

    def deliver_changes(self, *changes):
        """Lets the watch return with some changes."""
        for _ in range(1_000):
            if self.has_pending_call(platform.WatchPrefix):
                break
            if self.has_pending_call(platform.List):
                prefix = [
                    each.call.prefix
                    for each in self.store_calls
                    if isinstance(each.call, platform.List)
                ][-1]
                held = self.state.values
                found = tuple(
                    each for each in held.found if each.key.startswith(prefix)
                )
                listed = platform.Listed(prefix, found, held.revision)
                self.answer(platform.List, listed)
            else:
                self.tick(50)
        return self.answer(
            platform.WatchPrefix,
            platform.Changes('', changes, changes[-1].revision),
        )

    def write(self, key, value):
        """Writes a value to the store; the watch tells of it."""
        self.revision += 1
        return self.deliver_changes(make_found(key, value, self.revision))

    def delete(self, key):
        """Deletes a value; the watch tells of it."""
        self.revision += 1
        return self.deliver_changes(platform.Absent(key, self.revision))

    def start(self, servers=('s1', 's2'), **changes):
        """Gives it a configuration and servers."""
        self.tick()
        self.revision = 1
        values = [
            make_found(
                'orders/configuration', make_configuration(**changes), 1
            ),
            *(
                make_found(f'servers/{each}', make_server(each), 1)
                for each in servers
            ),
        ]
        self.answer(
            platform.List, platform.Listed('', tuple(values), self.revision)
        )
        return self

    def arrive(self, request_id, route_id='status', **changes):
        """Lets a request arrive; returns its dispatch, if it is sent."""
        made = make_request(request_id, route_id, self.now_ms, **changes)
        self.reduce(events.RequestArrived(made))
        return self.dispatched()

    def dispatched(self):
        """Returns the dispatch of the last event, None if there is none."""
        sent = self.effects_of(effects.Send)
        return sent[0].dispatch if sent else None

    def refusal(self):
        """Returns the failure by which a request was refused."""
        refused = self.effects_of(effects.Refuse)
        return refused[0].failure if refused else None

    def break_attempt(
        self, dispatch, reason='reset', ran='unknown', last_event=0
    ):
        """Lets an attempt break."""
        return self.reduce(
            events.AttemptBroke(dispatch.attempt_id, reason, ran, last_event)
        )

    def finish_attempt(self, dispatch, status=200):
        """Lets an attempt end with a whole answer."""
        answer = requests.Answer(status, (), b'whole')
        return self.reduce(events.AttemptEnded(dispatch.attempt_id, answer, 0))

    def receive_answer_head(self, dispatch, **changes):
        """Lets the head of an answer arrive."""
        return self.reduce(
            events.AttemptAnswered(
                dispatch.attempt_id, make_answer_head(**changes)
            )
        )

    def receive_digest_from(self, other):
        """Takes the digest of another gateway."""
        digest = gossip.build_digest(other.state, other.now_ms)
        other.state.digest_count += 1
        digest = digest._replace(sequence=other.state.digest_count)
        return self.receive_message(digest)

    def receive_message(self, message):
        """Takes a digest or a note; the way over the wire is tested too."""
        decoded = digests.decode(digests.encode(message))
        if isinstance(decoded, digests.Note):
            return self.reduce(events.NoteReceived(decoded))
        return self.reduce(events.DigestReceived(decoded))
