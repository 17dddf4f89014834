"""What tests of machines that call the store share."""

import unittest

from ragwortgw_core import events
from ragwortgw_core import platform_calls


class StoreCase(unittest.TestCase):
    """A machine whose clock the test moves and whose calls it answers.

    Attributes:
      calls: Where the machine's calls go.
      machine: The machine; setUp() of the subclass makes it.
      pending: Calls that wait for an answer.
    """

    def setUp(self):
        self.calls = platform_calls.PlatformCalls()
        self.component = None
        self.now_ms = 1_000
        self.pending = []

    def stamp(self):
        return events.Stamp(self.now_ms, 0)

    def tick(self, passed_ms=0):
        """Lets time pass; returns the calls that wait."""
        self.now_ms += passed_ms
        self.pending += self.component.on_tick(self.stamp())
        return [each.call for each in self.pending]

    def on_answer(self, result):
        """Answers the oldest call; returns what follows."""
        op_id = self.pending.pop(0).op_id
        return self.calls.on_answer(self.stamp(), op_id, result)
