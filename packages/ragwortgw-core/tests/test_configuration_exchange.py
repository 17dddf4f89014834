"""Tests that agents and entries send each other only what changed."""

import unittest

from ragwortgw_core import agent
from ragwortgw_core import effects
from ragwortgw_core import entry
from ragwortgw_core import entry_agents
from ragwortgw_core import entry_state
from ragwortgw_core import events
from tests import platform_model
from tests import test_config_store

STAMP = events.Stamp(platform_model.START_MS, 0)


def new_agent():
    """Builds an agent without a configuration."""
    return agent.new_agent('a', 'b', 'z', (), 1, agent.Options())


def changed(head, values, revision):
    """Adds one document, written at a revision, to an offer."""
    _, newer = test_config_store.offer_of(revision)
    path = f'drain/r{revision}'
    merged = {**values, path: newer[path]}
    decoded = test_config_store.msgspec.json.decode(head)
    decoded['revision'] = decoded['objects'][path] = revision
    return test_config_store.msgspec.json.encode(decoded), merged


class ConfigurationExchangeTest(unittest.TestCase):
    def setUp(self):
        head, values = test_config_store.offer_of(5)
        self.old = (head, values)
        self.new = changed(head, values, 6)

    def receive(self, state, offered):
        event = events.ConfigurationReceived('e1', *offered, STAMP.now_ms)
        return agent.REDUCER.reduce(state, STAMP, event)[1]

    def test_entry_sends_an_agent_only_changed_documents(self):
        state = entry_state.State(
            'e1', 'e1-1', 'z', 'r', entry_state.Options()
        )
        state.store.offer(STAMP, *self.new)
        sent = {}
        for revision in (0, 5):
            event = events.AgentConnected('a', 'b', 'z', (), 1, revision)
            _, outputs = entry.REDUCER.reduce(state, STAMP, event)
            (sent[revision],) = [
                output
                for output in outputs
                if isinstance(output, effects.SendConfiguration)
            ]
        self.assertEqual(self.new[1], sent[0].documents)
        self.assertEqual(['drain/r6'], list(sent[5].documents))
        receiver = new_agent()
        self.receive(receiver, self.old)
        self.receive(receiver, (sent[5].head, sent[5].documents))
        self.assertEqual(self.new, receiver.store.export())
        empty = new_agent()
        self.receive(empty, (sent[5].head, sent[5].documents))
        self.assertEqual(0, empty.revision)
        state.agents_by_id['a'].revision = 0
        resent = entry_agents.send_configuration(state, 'a')
        self.receive(empty, (resent.head, resent.documents))
        self.assertEqual(6, empty.revision)

    def test_agent_applies_a_difference_only_to_its_base(self):
        state = entry_state.State(
            'e1', 'e1-1', 'z', 'r', entry_state.Options()
        )
        state.store.offer(STAMP, *self.old)
        for agent_id, revision in (('a', 5), ('b', 0)):
            event = events.AgentConnected(agent_id, 'b', 'z', (), 1, revision)
            entry.REDUCER.reduce(state, STAMP, event)
        outputs = entry_state.apply_notices(
            state, STAMP, state.store.offer(STAMP, *self.new)
        )
        (sent,) = [o for o in outputs if type(o) is effects.SendDifference]
        (complete,) = [
            o for o in outputs if type(o) is effects.SendConfiguration
        ]
        self.assertEqual(('a', 'b'), (sent.agent_id, complete.agent_id))
        self.assertLess(len(sent.difference), len(self.new[0]))
        event = events.DifferenceReceived(
            'e1', sent.difference, sent.documents, STAMP.now_ms
        )
        receiver = new_agent()
        self.receive(receiver, self.old)
        agent.REDUCER.reduce(receiver, STAMP, event)
        self.assertEqual(self.new, receiver.store.export())
        agent.REDUCER.reduce(receiver, STAMP, event)
        self.assertEqual(self.new, receiver.store.export())
        empty = new_agent()
        _, outputs = agent.REDUCER.reduce(empty, STAMP, event)
        self.assertEqual(0, empty.revision)
        hint = events.RevisionHinted('a', 5, STAMP.now_ms)
        _, outputs = entry.REDUCER.reduce(state, STAMP, hint)
        (resent,) = [
            o for o in outputs if type(o) is effects.SendConfiguration
        ]
        self.assertEqual(self.new[0], resent.head)

    def test_agent_offers_a_change_only_to_entries_behind(self):
        state = new_agent()
        self.receive(state, self.old)
        for entry_id in ('e1', 'e2'):
            event = events.EntryConnected(entry_id, 5)
            agent.REDUCER.reduce(state, STAMP, event)
        outputs = self.receive(state, self.new)
        self.assertEqual([], self.offers(outputs))
        hints = {}
        for entry_id, revision in (('e1', 6), ('e2', 5)):
            event = events.RevisionHinted(entry_id, revision, STAMP.now_ms)
            _, outputs = agent.REDUCER.reduce(state, STAMP, event)
            hints[entry_id] = self.offers(outputs)
        self.assertEqual([], hints['e1'])
        (offered,) = hints['e2']
        self.assertEqual(self.new[0], offered.head)
        self.assertEqual(['drain/r6'], list(offered.documents))

    def offers(self, outputs):
        return [
            output
            for output in outputs
            if isinstance(output, effects.OfferConfiguration)
        ]
