"""Tests of several gateways of which some are lost or cut off."""

import unittest

from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_gateway import documents
from tests import harness

TICK_MS = 50
DIGEST_MS = 250
DURATION_MS = 24_000


class Store:
    """The steps of roll-outs, written by compare-and-swap."""

    def __init__(self):
        self.revision = 100
        self.found_by_key = {}
        self.writers = []

    def write(self, driver, call):
        """Applies a write and returns its result."""
        found = self.found_by_key.get(call.key)
        known = 0 if found is None else found.revision
        if call.revision not in (known, platform.ANY_REVISION):
            return platform.Conflict(call.key, found.value, known)
        self.revision += 1
        self.found_by_key[call.key] = platform.Found(
            call.key, call.value, self.revision
        )
        if 'rollouts' in call.key:
            self.writers.append(driver)
        return platform.Written(call.key, self.revision)


class FleetCase(unittest.TestCase):
    def setUp(self):
        self.drivers = [
            harness.GatewayDriver(f'edge-{n}').start(servers=('s1', 's2'))
            for n in range(4)
        ]
        for driver in self.drivers:
            driver.tick(10_000)
        self.exchange()

    def exchange(self):
        """Lets each gateway hear all others."""
        for driver in self.drivers:
            for other in self.drivers:
                if other is not driver:
                    driver.receive_digest_from(other)


class RolloutOwnerLossTest(FleetCase):
    """The gateway that takes a step is lost in the middle of it."""

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
        """Plays the roll-out; `lose` may take a writer out of the fleet.

        Args:
          lose: Takes the store, the writer and its write, and tells whether
            the writer is lost, before any answer reaches it.
        """
        number = 0
        while self.drivers[0].now_ms - self.began_ms < DURATION_MS:
            for driver in list(self.drivers):
                number += 1
                dispatch = driver.arrive(f'r{number}')
                driver.tick(TICK_MS)
                driver.finish_attempt(dispatch)
                self.answer(driver, lose)
            if number % (DIGEST_MS // TICK_MS) == 0:
                self.exchange()
            if self.phases[-1:] == ['complete']:
                return

    def answer(self, driver, lose):
        for each in list(driver.store_calls):
            if not isinstance(each.call, platform.Put):
                continue
            driver.store_calls.remove(each)
            if lose(self.store, driver, each.call):
                self.drivers.remove(driver)
                return
            result = self.store.write(driver, each.call)
            if isinstance(result, platform.Written):
                self.tell(each.call)
            driver.reduce(core_events.PlatformAnswered(each.op_id, result))

    def tell(self, write):
        """Lets every watch bring a step that was written."""
        found = self.store.found_by_key[write.key]
        if 'rollouts' not in write.key:
            return
        for driver in self.drivers:
            step = driver.state.rollouts.apply_step(found, driver.now_ms)
            if step is not None and step.phase not in self.phases:
                self.phases.append(step.phase)

    def check(self, lost):
        self.assertEqual(['half', 'all', 'complete'], self.phases)
        self.assertEqual(3, len(self.store.writers))
        self.assertEqual(4 - len(lost), len(self.drivers))
        self.assertGreater(len(lost), 0)
        for driver in self.drivers:
            track = driver.state.rollouts.tracks_by_service['proofs']
            self.assertEqual('complete', track.phase)

    def test_owner_is_lost_before_each_write(self):
        lost = []

        def lose(store, driver, write):
            if 'rollouts' not in write.key or len(lost) == 3:
                return False
            if len(lost) > len(store.writers):
                return False
            lost.append(driver)
            return True

        self.play(lose)
        self.check(lost)

    def play_loss_after_write(self, on_written):
        """Loses the owner once its first write is done.

        Args:
          on_written: Takes the owner and its write.
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

    def test_owner_is_lost_once_its_write_is_done(self):
        def tell_others(driver, write):
            self.drivers.remove(driver)
            self.tell(write)
            self.drivers.append(driver)

        self.check(self.play_loss_after_write(tell_others))

    def test_done_write_of_a_lost_owner_is_not_done_again(self):
        # No watch brings it: the next one meets it as a conflict.
        self.play_loss_after_write(lambda driver, write: None)
        steps = [
            driver.state.rollouts.tracks_by_service['proofs'].phase
            for driver in self.drivers
        ]
        self.assertEqual(['complete'] * 3, steps)
        self.assertEqual(3, len(self.store.writers))


class PartitionedRetryBudgetTest(FleetCase):
    """Repeats of gateways that hear nothing of each other."""

    RATIO = 0.9
    SLACK = 54
    WINDOW_MS = 10_000

    def try_spend(self):
        """Spends all repeats of all gateways; returns how many."""
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

    def requests(self, count):
        for driver in self.drivers:
            for _ in range(count):
                driver.state.budget.count_request('proofs', driver.now_ms)
        return count * len(self.drivers)

    def test_gateways_that_are_cut_off_spend_no_more_than_together(self):
        self.requests(1)
        for driver in self.drivers:
            for _ in range(self.WINDOW_MS // TICK_MS + 1):
                driver.tick(TICK_MS)
            self.assertFalse(driver.state.peers_by_id)
        asked = self.requests(25)
        self.assertLessEqual(self.try_spend(), self.RATIO * asked + self.SLACK)

    def test_gateway_that_starts_alone_does_not_spend_for_all(self):
        self.try_spend()
        fresh = harness.GatewayDriver('edge-9').start(servers=('s1', 's2'))
        fresh.state.budget.set_limits(self.RATIO, self.SLACK)
        fresh.now_ms = self.drivers[0].now_ms
        for other in self.drivers:
            fresh.receive_digest_from(other)
        before = self.drivers
        self.drivers = [fresh]
        alone = self.try_spend()
        self.drivers = before
        self.assertLessEqual(alone, self.SLACK / len(self.drivers))

    def test_gateways_that_come_and_go_do_not_raise_what_is_spent(self):
        self.requests(1)
        for driver in self.drivers:
            driver.now_ms += self.WINDOW_MS
        self.exchange()
        spent = self.try_spend()
        self.assertGreater(spent, self.SLACK / 2)
        for _ in range(3):
            self.drivers[-1] = harness.GatewayDriver('edge-3').start()
            self.drivers[-1].now_ms = self.drivers[0].now_ms
            self.drivers[-1].state.budget.set_limits(self.RATIO, self.SLACK)
            self.exchange()
            spent += self.try_spend()
        self.assertLessEqual(spent, self.SLACK)
