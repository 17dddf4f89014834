"""Replays recorded sessions and compares the effects."""

import json
import pathlib
import unittest

from ragwortgw_core import agent
from ragwortgw_core import entry
from ragwortgw_core import recording

GOLDEN = pathlib.Path(__file__).parent / 'golden'
ROLES = {
    'entry': (entry.REDUCER, entry.new_entry),
    'agent': (agent.REDUCER, agent.new_agent),
}


class GoldenTest(unittest.TestCase):
    """Run `make golden` to record the sessions again after a change."""

    maxDiff = None

    def test_sessions_replay_to_the_same_effects(self):
        paths = sorted(GOLDEN.glob('*.jsonl'))
        self.assertEqual(4, len(paths))
        for path in paths:
            with self.subTest(path.name):
                self.replay(path)

    def replay(self, path):
        lines = path.read_bytes().splitlines()
        start = recording.decode_start(lines[0])
        reducer, new_state = ROLES[start.role]
        state = new_state(*start.arguments)
        differences = recording.replay(reducer, state, lines[1:])
        for difference in differences[:1]:
            self.assertEqual(
                json.dumps(difference.recorded, indent=1),
                json.dumps(difference.replayed, indent=1),
                f'line {difference.line}: {difference.event}',
            )
