"""Tests of several gateways of which some are lost or partitioned."""

import unittest

from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_gateway import documents
from ragwortgw_gateway import rollouts
from ragwortgw_gateway import routes
from tests import harness

TICK_MS = 50
DIGEST_MS = 250
DURATION_MS = 24_000


class Store:
    """Values of the store, written by compare-and-swap.

    Attributes:
      writers: Gateways that wrote a step of a roll-out, in order.
    """

    def __init__(self):
        self.revision = 100
        self.found_by_key = {}
        self.writers = []

    def write(self, driver, call):
        """Applies a write and returns its result."""
        stored = self.found_by_key.get(call.key)
        revision = 0 if stored is None else stored.revision
        if call.revision not in (revision, platform.ANY_REVISION):
            return platform.Conflict(call.key, stored.value, revision)
        self.revision += 1
        self.found_by_key[call.key] = platform.Found(
            call.key, call.value, self.revision
        )
        if 'rollouts' in call.key:
            self.writers.append(driver)
        return platform.Written(call.key, self.revision)


class GatewaysCase(unittest.TestCase):
    def setUp(self):
        self.drivers = [
            harness.GatewayDriver(f'edge-{n}').start(servers=('s1', 's2'))
            for n in range(4)
        ]
        for driver in self.drivers:
            driver.tick(10_000)
        self.exchange_digests()

    def exchange_digests(self):
        """Delivers each gateway's digest to all others."""
        for driver in self.drivers:
            for other in self.drivers:
                if other is not driver:
                    driver.receive_digest_from(other)


class RolloutPlay(GatewaysCase):
    """Plays a roll-out of four gateways with a store."""

    def setUp(self):
        super().setUp()
        self.store = Store()
        self.phases = []
        order = documents.RolloutOrder('proofs', 'v2', DURATION_MS, 0)
        for driver in self.drivers:
            driver.write('servers/n1', harness.make_server('n1', version='v2'))
            driver.revision += 1
            driver.deliver_changes(
                harness.make_found(
                    'orders/rollout',
                    order._replace(revision=driver.revision),
                    driver.revision,
                )
            )
        self.began_ms = self.drivers[0].now_ms

    def play(self, lose):
        """Plays the roll-out until it is complete or its time is over.

        Args:
          lose: Called with the store, the writer and its write; returns
            whether the writer is lost before it gets an answer.
        """
        request_number = 0
        while self.drivers[0].now_ms - self.began_ms < DURATION_MS:
            for driver in list(self.drivers):
                request_number += 1
                dispatch = driver.arrive(f'r{request_number}')
                driver.tick(TICK_MS)
                driver.finish_attempt(dispatch)
                self.answer_writes(driver, lose)
            if request_number % (DIGEST_MS // TICK_MS) == 0:
                self.exchange_digests()
            if self.phases[-1:] == ['complete']:
                return

    def answer_writes(self, driver, lose):
        for each in list(driver.store_calls):
            if not isinstance(each.call, platform.Put):
                continue
            driver.store_calls.remove(each)
            if lose(self.store, driver, each.call):
                self.drivers.remove(driver)
                return
            result = self.store.write(driver, each.call)
            if isinstance(result, platform.Written):
                self.deliver_step(each.call)
            driver.reduce(core_events.PlatformAnswered(each.op_id, result))

    def deliver_step(self, write):
        """Delivers a step that was written to all gateways' watches."""
        stored = self.store.found_by_key[write.key]
        if 'rollouts' not in write.key:
            return
        for driver in self.drivers:
            step = driver.state.rollouts.apply_step(stored, driver.now_ms)
            if step is not None and step.phase not in self.phases:
                self.phases.append(step.phase)


class RolloutOwnerLossTest(RolloutPlay):
    """A roll-out whose owner is lost before or after it writes a step."""

    def check_complete(self, lost):
        self.assertEqual(['half', 'all', 'complete'], self.phases)
        self.assertEqual(3, len(self.store.writers))
        self.assertEqual(4 - len(lost), len(self.drivers))
        self.assertGreater(len(lost), 0)
        for driver in self.drivers:
            track = driver.state.rollouts.tracks_by_service['proofs']
            self.assertEqual('complete', track.phase)

    def test_roll_out_completes_if_owners_are_lost_before_their_writes(self):
        lost = []

        def lose(store, driver, write):
            if 'rollouts' not in write.key or len(lost) == 3:
                return False
            if len(lost) > len(store.writers):
                return False
            lost.append(driver)
            return True

        self.play(lose)
        self.check_complete(lost)

    def play_loss_after_write(self, on_written):
        """Plays the roll-out; loses the owner after its first write.

        Args:
          on_written: Called with the owner and its write.
        Returns: The owners that were lost.
        """
        lost = []

        def lose(store, driver, write):
            if 'rollouts' not in write.key or lost:
                return False
            store.write(driver, write)
            lost.append(driver)
            on_written(driver, write)
            return True

        self.play(lose)
        return lost

    def test_roll_out_completes_if_the_owner_is_lost_after_its_write(self):
        def deliver_to_others(driver, write):
            self.drivers.remove(driver)
            self.deliver_step(write)
            self.drivers.append(driver)

        self.check_complete(self.play_loss_after_write(deliver_to_others))

    def test_write_of_a_lost_owner_is_not_repeated(self):
        # No watch delivers the step: the next owner's write gets a conflict.
        self.play_loss_after_write(lambda driver, write: None)
        phases = [
            driver.state.rollouts.tracks_by_service['proofs'].phase
            for driver in self.drivers
        ]
        self.assertEqual(['complete'] * 3, phases)
        self.assertEqual(3, len(self.store.writers))


class RefusedGatewaysTest(RolloutPlay):
    """A roll-out at whose end the store turns some gateways away."""

    def setUp(self):
        super().setUp()
        # The baseline always runs something, so that the end is forced.
        self.drivers[0].state.loads.add_attempt(
            'long', 's1', 0.0, 0.0, 0, self.drivers[0].now_ms
        )
        self.refused = self.ranked_drivers()[:2]

    def ranked_drivers(self):
        """Returns the gateways in the order in which they take steps."""
        return sorted(
            self.drivers,
            key=lambda driver: routes.hash_fraction(
                f'proofs {driver.state.host_id}'
            ),
        )

    def answer_writes(self, driver, lose):
        elapsed_ms = driver.now_ms - self.began_ms
        forced = elapsed_ms >= DURATION_MS * rollouts.FORCE_AT
        if not forced or driver not in self.refused:
            super().answer_writes(driver, lose)
            return
        for each in list(driver.store_calls):
            if isinstance(each.call, platform.Put):
                driver.store_calls.remove(each)
                result = platform.Unavailable(False)
                driver.reduce(core_events.PlatformAnswered(each.op_id, result))

    def status(self):
        key = self.drivers[0].state.formats.rollout_status_key('proofs')
        found = self.store.found_by_key.get(key)
        return b'' if found is None else found.value

    def test_roll_out_completes_in_time_at_another_gateway(self):
        self.play(lambda store, driver, write: False)
        self.assertEqual(['half', 'all', 'complete'], self.phases)
        self.assertIn(self.store.writers[-1], self.ranked_drivers()[2:])

    def test_status_is_written_by_the_gateway_that_wrote_the_step(self):
        self.play(lambda store, driver, write: False)
        while b'complete' not in self.status():
            for driver in self.drivers:
                driver.tick(TICK_MS)
                self.answer_writes(driver, lambda *args: False)
            self.assertLess(
                self.drivers[0].now_ms - self.began_ms, DURATION_MS
            )


class PartitionedRetryBudgetTest(GatewaysCase):
    """Retry budgets of gateways that are partitioned, new or restarted."""

    RATIO = 0.9
    SLACK = 54
    WINDOW_MS = 10_000

    def try_spend(self):
        """Spends the budgets of all gateways and returns the retries."""
        spent = 0
        for driver in self.drivers:
            state = driver.state
            while state.budget.try_spend(
                'proofs', state.gateway_count, driver.now_ms
            ):
                spent += 1
        return spent

    def setUp(self):
        super().setUp()
        for driver in self.drivers:
            driver.state.budget.set_limits(self.RATIO, self.SLACK)

    def count_requests(self, count):
        for driver in self.drivers:
            for _ in range(count):
                driver.state.budget.count_request('proofs', driver.now_ms)
        return count * len(self.drivers)

    def test_partitioned_gateways_keep_to_the_common_budget(self):
        self.count_requests(1)
        for driver in self.drivers:
            for _ in range(self.WINDOW_MS // TICK_MS + 1):
                driver.tick(TICK_MS)
            self.assertFalse(driver.state.peers_by_id)
        request_count = self.count_requests(25)
        self.assertLessEqual(
            self.try_spend(), self.RATIO * request_count + self.SLACK
        )

    def test_gateway_that_starts_gets_only_its_part_of_the_budget(self):
        self.try_spend()
        new_driver = harness.GatewayDriver('edge-9').start(
            servers=('s1', 's2')
        )
        new_driver.state.budget.set_limits(self.RATIO, self.SLACK)
        new_driver.now_ms = self.drivers[0].now_ms
        for other in self.drivers:
            new_driver.receive_digest_from(other)
        others = self.drivers
        self.drivers = [new_driver]
        spent = self.try_spend()
        self.drivers = others
        self.assertLessEqual(spent, self.SLACK / len(self.drivers))

    def test_restarts_of_gateways_do_not_raise_the_budget(self):
        self.count_requests(1)
        for driver in self.drivers:
            driver.now_ms += self.WINDOW_MS
        self.exchange_digests()
        spent = self.try_spend()
        self.assertGreater(spent, self.SLACK / 2)
        for _ in range(3):
            self.drivers[-1] = harness.GatewayDriver('edge-3').start()
            self.drivers[-1].now_ms = self.drivers[0].now_ms
            self.drivers[-1].state.budget.set_limits(self.RATIO, self.SLACK)
            self.exchange_digests()
            spent += self.try_spend()
        self.assertLessEqual(spent, self.SLACK)
