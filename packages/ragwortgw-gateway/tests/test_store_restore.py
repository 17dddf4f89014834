"""Tests of a gateway whose store is restored from an older copy."""

import unittest

from ragwortgw_core import effects as core_effects
from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_gateway import documents
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import fleet
from ragwortgw_gateway import gateway
from ragwortgw_gateway import gossip
from ragwortgw_gateway import rollouts
from tests import harness

#: Time for which the restored store may hold what is out of date.
SETTLE_MS = fleet.LAPSE_GRACE_MS + 3 * gateway.Options().heartbeat_ms
ORDER_KEY = 'orders/rollouts/proofs'
STEP_KEY = 'gateways/rollouts/proofs'
STATUS_KEY = 'status/proofs'
CONFIGURATION_KEY = 'orders/configuration'


def make_order(version='v2', duration_ms=20_000):
    """Returns the document of an order."""
    return documents.RolloutOrder('proofs', version, duration_ms, 0)


class RestoreCase(unittest.TestCase):
    """Gateways and the values that the store holds.

    Attributes:
      values: Documents in the store by key.
    """

    def setUp(self):
        self.epoch = 0
        self.number = 1
        self.values = {
            CONFIGURATION_KEY: harness.make_configuration(3),
            'servers/s1': harness.make_server('s1'),
            'servers/s2': harness.make_server('s2'),
        }
        self.gateway = self.new_gateway()

    def new_gateway(self, host_id='edge-1'):
        """Returns a gateway that has listed the store."""
        driver = harness.GatewayDriver(host_id)
        driver.tick()
        self.list_values(driver)
        driver.tick(10_000)
        return driver

    def found(self):
        self.number += 1
        revision = platform.revision_in_epoch(self.epoch, self.number)
        return [
            harness.make_found(key, value, revision)
            for key, value in self.values.items()
        ]

    def list_values(self, driver=None):
        """Answers a gateway's list with the present values."""
        driver = driver or self.gateway
        prefix = [
            each.call.prefix
            for each in driver.store_calls
            if isinstance(each.call, platform.List)
        ][-1]
        found = tuple(
            each for each in self.found() if each.key.startswith(prefix)
        )
        revision = platform.revision_in_epoch(self.epoch, self.number)
        driver.answer(platform.List, platform.Listed(prefix, found, revision))

    def restore(self, values=()):
        """Restores the store, and has the gateway list it.

        Args:
          values: (key, document) of what the copy holds in place of the
            present values; None for none.
        """
        self.epoch += 1
        self.number = max(1, self.number - 5)
        self.values.update(values)
        self.values = {
            key: value
            for key, value in self.values.items()
            if value is not None
        }
        for _ in range(1_000):
            if self.gateway.state.values.epoch == self.epoch:
                return self.gateway.effects
            if self.gateway.has_pending_call(platform.WatchPrefix):
                self.gateway.answer(
                    platform.WatchPrefix, platform.Compacted('')
                )
            if self.gateway.has_pending_call(platform.List):
                self.list_values()
            else:
                self.gateway.tick(50)
        raise AssertionError('the gateway does not list the restored store')

    def write_again(self, key, value):
        """Writes a value to the restored store."""
        self.values[key] = value
        self.number += 1
        revision = platform.revision_in_epoch(self.epoch, self.number)
        return self.gateway.deliver_changes(
            harness.make_found(key, value, revision)
        )

    def delete(self, key):
        """Deletes a value, and delivers that to the gateway."""
        del self.values[key]
        self.number += 1
        revision = platform.revision_in_epoch(self.epoch, self.number)
        self.gateway.deliver_changes(platform.Absent(key, revision))

    def settle(self, driver=None):
        """Lets the time pass in which the store may be out of date."""
        (driver or self.gateway).now_ms += SETTLE_MS
        return (driver or self.gateway).tick()

    def servers(self, driver=None):
        driver = driver or self.gateway
        return sorted(driver.state.fleet.servers_by_id)

    def available(self):
        """Returns the ids of the servers that get requests."""
        return {
            self.gateway.arrive(f'r{self.gateway.now_ms}-{n}').server_id
            for n in range(20)
        }


class RestoreTest(RestoreCase):
    def test_restore_is_logged_and_counted(self):
        self.restore()
        (fields,) = self.gateway.logged_fields('store-restored')
        self.assertEqual((0, 1), (fields['before'], fields['epoch']))
        metrics = [
            each.metric for each in self.gateway.effects_of(core_effects.Count)
        ]
        self.assertIn('gateway_store_restores', metrics)

    def test_requests_are_served_through_a_restore(self):
        self.restore()
        self.assertEqual({'s1', 's2'}, self.available())

    def test_gateway_registers_again_at_its_own_time(self):
        self.restore()
        due_ms = self.gateway.state.link._call_deadline_ms
        self.assertLessEqual(due_ms, self.gateway.now_ms + 1_000)
        self.gateway.store_unreachable = True
        self.gateway.now_ms = due_ms
        self.gateway.tick()
        call = self.gateway.store_calls[-1]
        self.gateway.store_calls.remove(call)
        self.assertIsInstance(call.call, platform.Grant)
        granted = platform.Granted(call.call.lease, 0, False)
        self.gateway.reduce(core_events.PlatformAnswered(call.op_id, granted))
        (put,) = [
            each.call
            for each in self.gateway.store_calls
            if isinstance(each.call, platform.Put)
        ]
        self.assertEqual(0, put.revision)

    def test_second_restore_begins_the_time_anew(self):
        self.restore()
        self.gateway.tick(3_000)
        self.restore()
        (fields,) = self.gateway.logged_fields('store-restored')
        self.assertEqual((1, 2), (fields['before'], fields['epoch']))
        self.gateway.tick(SETTLE_MS - 1)
        self.assertEqual([], self.gateway.logged_fields('store-settled'))
        self.gateway.tick(1)
        self.assertEqual(1, len(self.gateway.logged_fields('store-settled')))


class ConfigurationTest(RestoreCase):
    def test_older_configuration_is_not_taken(self):
        self.restore([(CONFIGURATION_KEY, harness.make_configuration(2))])
        self.settle()
        self.assertEqual(3, self.gateway.state.version)

    def test_withdrawn_key_opens_nothing(self):
        keys = (harness.KEY, 'second')
        older = harness.make_configuration(2, keys=keys)
        self.restore([(CONFIGURATION_KEY, older)])
        self.assertIsNone(self.gateway.arrive('r1', key='second'))
        self.assertEqual('unknown-key', self.gateway.refusal().slug)

    def test_newer_configuration_is_taken_at_once(self):
        self.restore([(CONFIGURATION_KEY, harness.make_configuration(2))])
        self.write_again(CONFIGURATION_KEY, harness.make_configuration(4))
        self.assertEqual(4, self.gateway.state.version)

    def test_gateway_that_starts_gets_the_newer_one_from_a_peer(self):
        self.restore([(CONFIGURATION_KEY, harness.make_configuration(2))])
        starting = self.new_gateway('edge-2')
        self.assertEqual(2, starting.state.version)
        starting.now_ms = self.gateway.now_ms
        starting.receive_digest_from(self.gateway)
        starting.tick(gossip.FETCH_DELAY_MS)
        starting.tick(gossip.FETCH_INTERVAL_MS)
        revision = starting.state.values.revision
        view = gossip.store_view_since(
            self.gateway.state, revision, self.gateway.now_ms
        )
        starting.reduce(events.BeliefsOffered(view))
        self.assertEqual(3, starting.state.version)


class RegistrationTest(RestoreCase):
    def test_server_that_is_missing_is_kept_for_two_seconds(self):
        self.restore([('servers/s1', None)])
        self.assertEqual(['s1', 's2'], self.servers())
        self.gateway.tick(fleet.LAPSE_GRACE_MS)
        self.assertEqual(['s2'], self.servers())

    def test_server_that_registers_again_stays(self):
        self.restore([('servers/s1', None)])
        self.write_again('servers/s1', harness.make_server('s1'))
        self.gateway.tick(fleet.LAPSE_GRACE_MS)
        self.assertEqual(['s1', 's2'], self.servers())

    def test_server_that_left_gets_nothing_although_the_copy_holds_it(self):
        self.delete('servers/s1')
        self.restore([('servers/s1', harness.make_server('s1'))])
        self.assertEqual({'s2'}, self.available())
        self.gateway.tick(SETTLE_MS - 100)
        self.assertEqual({'s2'}, self.available())

    def test_server_that_is_registered_after_the_time_is_alive(self):
        self.delete('servers/s1')
        self.restore([('servers/s1', harness.make_server('s1'))])
        self.settle()
        self.assertEqual({'s1', 's2'}, self.available())

    def test_server_that_drained_does_not_serve_again(self):
        draining = harness.make_server('s1', draining=True)
        self.write_again('servers/s1', draining)
        self.restore([('servers/s1', harness.make_server('s1'))])
        self.settle()
        self.assertEqual({'s2'}, self.available())

    def test_earlier_start_of_a_server_does_not_replace_the_present_one(self):
        present = harness.make_server('s1', started_ms=9)
        self.write_again('servers/s1', present)
        earlier = harness.make_server('s1', started_ms=1, draining=True)
        self.restore([('servers/s1', earlier)])
        self.assertEqual([], self.gateway.logged_fields('server'))
        self.assertEqual({'s1', 's2'}, self.available())
        self.write_again('servers/s1', present)
        self.settle()
        self.assertEqual({'s1', 's2'}, self.available())

    def test_server_that_is_unknown_is_added(self):
        self.restore([('servers/s3', harness.make_server('s3'))])
        self.assertEqual({'s1', 's2', 's3'}, self.available())


class PeersTest(RestoreCase):
    def setUp(self):
        super().setUp()
        self.other = self.new_gateway('edge-2')
        self.other.now_ms = self.gateway.now_ms

    def test_restore_is_fetched_from_a_peer_at_once(self):
        self.restore([('servers/s1', None)])
        self.other.receive_digest_from(self.gateway)
        (fetch,) = [
            each
            for each in self.other.tick()
            if isinstance(each, effects.FetchBeliefs)
        ]
        view = gossip.store_view_since(
            self.gateway.state, fetch.revision, self.gateway.now_ms
        )
        self.other.reduce(events.BeliefsOffered(view))
        (fields,) = self.other.logged_fields('store-restored')
        self.assertTrue(fields['second_hand'])
        self.assertEqual(['s1', 's2'], self.servers(self.other))
        self.other.tick(fleet.LAPSE_GRACE_MS)
        self.assertEqual(['s2'], self.servers(self.other))

    def test_view_of_an_earlier_epoch_changes_nothing(self):
        view = gossip.store_view_since(self.other.state, 0, self.other.now_ms)
        newer = view._replace(revision=view.revision + 1_000)
        self.restore([('servers/s1', None)])
        self.gateway.tick(fleet.LAPSE_GRACE_MS)
        self.gateway.reduce(events.BeliefsOffered(newer))
        self.assertEqual(['s2'], self.servers())
        self.assertEqual(1, self.gateway.state.values.epoch)

    def test_gateway_that_started_after_the_restore_learns_of_it(self):
        self.restore()
        starting = self.new_gateway('edge-3')
        starting.now_ms = self.gateway.now_ms
        starting.receive_digest_from(self.gateway)
        deadline_ms = starting.state.settle_deadline_ms
        self.assertEqual(self.gateway.state.settle_deadline_ms, deadline_ms)
        starting.now_ms += 100
        starting.receive_digest_from(self.gateway)
        self.assertEqual(deadline_ms, starting.state.settle_deadline_ms)


class RolloutTest(RestoreCase):
    def setUp(self):
        super().setUp()
        candidate = harness.make_server('new', version='v2')
        self.write('servers/new', candidate)
        self.write(ORDER_KEY, make_order())

    def write(self, key, value):
        """Writes a value and delivers it to the gateway."""
        self.write_again(key, value)

    @property
    def track(self):
        return self.gateway.state.rollouts.tracks_by_service['proofs']

    def take_step(self, phase):
        """Has another gateway write a step."""
        step = rollouts.Step(self.track.order.revision, 'v2', phase, 12_000)
        self.write(STEP_KEY, step)

    def answer_writes(self, duration_ms=4_000):
        """Has the store accept what the gateway writes for some time."""
        for _ in range(0, duration_ms, 100):
            self.gateway.tick(100)
            for each in list(self.gateway.store_calls):
                if not isinstance(each.call, platform.Put) or each.call.lease:
                    continue
                self.gateway.store_calls.remove(each)
                self.values[each.call.key] = each.call.value
                self.number += 1
                revision = platform.revision_in_epoch(self.epoch, self.number)
                written = platform.Written(each.call.key, revision)
                self.gateway.reduce(
                    core_events.PlatformAnswered(each.op_id, written)
                )

    def test_order_that_is_written_again_is_the_same(self):
        self.take_step('half')
        track = self.track
        self.restore()
        self.write_again(ORDER_KEY, make_order())
        self.assertIs(track, self.track)
        self.assertEqual('half', self.track.phase)
        revision = self.gateway.state.values.get(ORDER_KEY).revision
        self.assertEqual(revision, self.track.order.revision)
        self.assertEqual(revision, self.track.evidence.counts.order)

    def test_order_that_the_copy_lacks_is_followed_on(self):
        self.take_step('half')
        self.restore([(ORDER_KEY, None)])
        self.assertEqual('half', self.track.phase)

    def test_order_that_stays_away_is_dropped_in_the_end(self):
        self.restore([(ORDER_KEY, None)])
        self.settle()
        self.assertEqual({}, self.gateway.state.rollouts.tracks_by_service)

    def test_older_order_of_the_copy_is_not_a_new_one(self):
        self.restore([(ORDER_KEY, make_order('v0'))])
        (fields,) = self.gateway.logged_fields('rollout-order-held')
        self.assertEqual('v0', fields['version'])
        self.assertEqual('v2', self.track.order.version)
        self.write_again(ORDER_KEY, make_order())
        self.settle()
        self.assertEqual('v2', self.track.order.version)

    def test_order_that_differs_after_the_time_is_a_new_one(self):
        self.restore([(ORDER_KEY, make_order('v3'))])
        self.settle()
        self.assertEqual('v3', self.track.order.version)

    def test_order_given_again_later_is_a_new_one(self):
        self.take_step('half')
        self.restore()
        self.settle()
        self.write_again(ORDER_KEY, make_order())
        self.assertEqual('canary', self.track.phase)

    def test_step_of_the_copy_does_not_undo_the_present_one(self):
        self.take_step('half')
        earlier = self.values[STEP_KEY]
        self.take_step('all')
        self.restore([(STEP_KEY, earlier)])
        self.assertEqual('all', self.track.phase)
        self.settle()
        self.assertEqual('all', self.track.phase)

    def test_lost_step_and_status_are_written_again(self):
        self.take_step('complete')
        self.answer_writes()
        status = self.values[STATUS_KEY]
        self.restore([(STEP_KEY, None), (STATUS_KEY, None)])
        self.answer_writes()
        self.assertEqual(status, self.values[STATUS_KEY])
        self.assertEqual(
            ('complete', self.track.order.revision),
            (self.track.stored_step.phase, self.track.stored_step.order),
        )

    def test_older_step_is_replaced_by_the_present_one(self):
        self.take_step('half')
        earlier = self.values[STEP_KEY]
        self.take_step('complete')
        self.restore([(STEP_KEY, earlier)])
        self.answer_writes()
        self.assertEqual('complete', self.track.stored_step.phase)

    def test_gateways_write_what_was_lost_one_after_the_other(self):
        self.take_step('complete')
        self.answer_writes()
        for number in range(2, 6):
            other = harness.GatewayDriver(f'edge-{number}')
            other.now_ms = self.gateway.now_ms
            self.gateway.receive_digest_from(other)
        controller = self.gateway.state.rollouts
        peers = rollouts.PeerEvidence(
            tuple(self.gateway.state.peers_by_id), {}
        )
        position = controller._position('proofs', peers)
        self.assertGreater(position, 0)
        self.restore([(STEP_KEY, None)])
        self.gateway.tick(position * rollouts.STAND_IN_MS - 200)
        puts = [
            each
            for each in self.gateway.store_calls
            if getattr(each.call, 'key', '') == STEP_KEY
        ]
        self.assertEqual([], puts)

    def test_reverted_roll_out_stays_reverted(self):
        self.take_step('reverted')
        self.restore([(STEP_KEY, None)])
        self.assertEqual('reverted', self.track.phase)
        self.assertNotIn('new', self.available())
