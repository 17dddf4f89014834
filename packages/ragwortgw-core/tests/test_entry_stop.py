"""Tests of the planned stop of an entry."""

from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from tests import test_entry_retries

#: Beyond it, the requests of these tests would still wait.
STOP_MS = 1_000


class EntryStopTest(test_entry_retries.EntryRetriesTest):
    """Requests in progress when the time of a stop is up.

    Their callers saw the process end with no answer.
    """

    def stop(self):
        """Stops the entry; returns the effects at the end of the time."""
        self.state.options = self.state.options._replace(stop_ms=STOP_MS)
        self.reduce(events.StopRequested())
        early = self.reduce(events.Tick(), STOP_MS - 1)
        self.assertNotIn(effects.Exit(), early)
        return self.reduce(events.Tick(), STOP_MS)

    def send(self, request_id):
        """Sends a request; returns whether it went to an agent."""
        request = test_entry_retries.chat_request(request_id)
        emitted = self.reduce(events.RequestReceived(request))
        self.assertEqual([], self.refusals(emitted))
        return bool(self.attempts(emitted))

    def test_each_request_gets_a_failure(self):
        self.connect('a')
        sent = {f'inc-{n}': self.send(f'inc-{n}') for n in range(8)}
        self.assertEqual({True, False}, set(sent.values()))
        emitted = self.stop()
        refused = [e for e in emitted if isinstance(e, effects.Refuse)]
        ran_by_id = {
            effect.request_id: errors.problem(effect.failure)['ran']
            for effect in refused
        }
        self.assertEqual(len(sent), len(refused))
        for request_id, was_sent in sent.items():
            with self.subTest(request_id):
                expected = 'unknown' if was_sent else 'no'
                self.assertEqual(expected, ran_by_id[request_id])
        self.assertEqual(effects.Exit(), emitted[-1])
        again = self.reduce(events.Tick(), STOP_MS + 50)
        self.assertEqual([], self.refusals(again))
