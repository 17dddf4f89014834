"""Tests of the encoding of recordings and of their replay."""

import unittest

from ragwortgw_core import agent
from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import recording
from ragwortgw_core import reducer
from ragwortgw_core import requests

STAMP = events.Stamp(1_700_000_000_000, 2**63 + 1)
FOUND = platform.Found('config/head', b'\x00\xff', 3)
USAGE = {'input_tokens': 1, 'output_tokens': 2}
EVENTS = [
    events.Tick(),
    events.PlatformAnswered(4, platform.Listed('config/', (FOUND,))),
    events.AgentConnected('a', 'b', 'z', ('proof@v1', 'proof@v2'), 8, 5),
    events.AttemptRefused('t', errors.OrderConflict(1, 'o', ('x',)), 2),
    events.EngineFinished('t', requests.Answer(200, 'x', b'y', USAGE)),
    events.ConfigurationOffered('p', b'{}', {'models/proof': b'{}'}),
    events.OrderReceived(1, 'o', 'c', 't', 0, True, {'a/b': {'l': [1]}}),
]


def _new_reducer(amount):
    new_reducer = reducer.Reducer()
    for event_type in {type(event) for event in EVENTS}:
        new_reducer.handles(event_type)(
            lambda state, stamp, event: [
                effects.Count('events', (('kind', 'x'),), amount),
                effects.CallPlatform(1, platform.Hosts(), stamp.now_ms),
            ]
        )
    return new_reducer


class RecordingTest(unittest.TestCase):
    def test_steps_are_decoded_as_encoded(self):
        for event in EVENTS:
            step = recording.decode_step(
                recording.encode_step(STAMP, event, [])
            )
            self.assertEqual(recording.Step(STAMP, event, []), step)
            self.assertIs(type(event), type(step.event))

    def test_start_is_decoded_as_encoded(self):
        start = recording.Start('agent', ('a', ('v',), agent.Options(7)))
        self.assertEqual(
            start, recording.decode_start(recording.encode_start(start))
        )

    def test_types_outside_the_core_are_refused(self):
        for name in ('events.Stamps', 'agent.State', '..os.path', 'os.stat'):
            with self.assertRaises((recording.UnknownType, ImportError)):
                recording.decode({'type': name, 'fields': {}})

    def test_replay_reports_steps_with_other_effects(self):
        recorded = _new_reducer(1)
        lines = [
            recording.encode_step(
                STAMP, event, recorded.reduce(None, STAMP, event)[1]
            )
            for event in EVENTS
        ]
        self.assertEqual([], recording.replay(recorded, None, lines))
        differences = recording.replay(_new_reducer(2), None, lines)
        self.assertEqual(len(EVENTS), len(differences))
        self.assertEqual(EVENTS[0], differences[0].event)
