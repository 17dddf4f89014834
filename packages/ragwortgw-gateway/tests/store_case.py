"""Base class of the tests of components that call the store."""

import unittest

from ragwortgw_core import events
from ragwortgw_core import platform_calls


class StoreCase(unittest.TestCase):
    """Drives a component: plays its clock and answers its calls.

    Attributes:
      calls: The operations that the component makes its calls with.
      component: The component; setUp() of the subclass makes it.
      now_ms: The time, which only the test advances.
      pending: Calls that wait for an answer, oldest first.
    """

    def setUp(self):
        self.calls = platform_calls.PlatformCalls()
        self.component = None
        self.now_ms = 1_000
        self.pending = []

    def stamp(self):
        return events.Stamp(self.now_ms, 0)

    def tick(self, elapsed_ms=0):
        """Advances the clock, ticks the component, returns pending calls."""
        self.now_ms += elapsed_ms
        self.pending += self.component.on_tick(self.stamp())
        return [each.call for each in self.pending]

    def answer_oldest(self, result):
        """Answers the oldest call and returns the resulting effects."""
        op_id = self.pending.pop(0).op_id
        return self.calls.on_answer(self.stamp(), op_id, result)
