"""Tests that nothing is lost with a platform service from an older copy.

The service goes back to a copy: claims, outcomes and bills that it had
acknowledged since are gone, and their revisions are given out again.
"""

import unittest

import hypothesis
from hypothesis import strategies

from ragwortgw_core import config_store
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import evidence
from ragwortgw_core import ledger_page
from ragwortgw_core import notices
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_core import restores
from ragwortgw_core import rollout_driver
from tests import platform_model
from tests import properties
from tests import test_billing
from tests import test_ledger

EPOCH = platform.revision_in_epoch


class Repeater:
    def __init__(self):
        self.repeated = 0

    def on_restored(self, stamp):
        self.repeated += 1
        return []


class RestoreTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = restores.RestoreTracker()
        self.repeater = Repeater()
        self.tracker.register(self.repeater)

    def observe(self, epoch, now_ms=0):
        result = platform.Written('a', EPOCH(epoch, 7))
        return self.tracker.observe(events.Stamp(now_ms, 0), result)

    def test_each_epoch_is_reported_once(self):
        for epoch in (0, 0, 1, 1, 3, 2):
            self.observe(epoch)
        self.assertEqual(2, self.repeater.repeated)
        self.assertEqual(3, self.tracker.epoch)

    def test_epoch_at_the_start_is_no_restore_but_may_be_new(self):
        self.assertEqual([], self.observe(4, 1_000))
        self.assertEqual(0, self.repeater.repeated)
        self.assertTrue(self.tracker.settling(1_000))
        self.assertNotEqual([], self.observe(5, 2_000))

    def test_restore_settles_after_a_time(self):
        self.assertFalse(self.tracker.settling(0))
        self.observe(1, 1_000)
        settled_ms = 1_000 + restores.SETTLE_MS
        self.assertTrue(self.tracker.settling(settled_ms - 1))
        self.assertFalse(self.tracker.settling(settled_ms))

    def test_results_of_an_earlier_epoch_are_outdated(self):
        self.observe(2)
        self.assertTrue(
            self.tracker.outdated(platform.Found('a', b'', EPOCH(1, 900)))
        )
        for result in (
            platform.Found('a', b'', EPOCH(2, 1)),
            platform.Conflict('a', b'', 0),
            platform.Granted('l', 5),
        ):
            self.assertFalse(self.tracker.outdated(result))


class Recorder:
    """Registers for results and keeps them."""

    def __init__(self):
        self.results = []

    def on_result(self, stamp, tag, call, result):
        self.results.append(result)
        return []


class LateAnswerTest(unittest.TestCase):
    """Answers from before the restore that arrive after it was seen."""

    def test_late_answers_count_as_lost(self):
        calls = platform_calls.PlatformCalls()
        recorder = Recorder()
        calls.register('test', recorder)
        stamp = events.Stamp(0, 0)
        made = (
            platform.Put('a', b'', 0),
            platform.Get('a'),
            platform.Get('a'),
        )
        op_ids = [
            calls.call(stamp, 'test', '', call, 1_000)[0].op_id
            for call in made
        ]
        new = platform.Found('a', b'', EPOCH(1, 3))
        calls.on_answer(stamp, op_ids[2], new)
        calls.on_answer(stamp, op_ids[0], platform.Written('a', 9))
        calls.on_answer(stamp, op_ids[1], platform.Found('a', b'', 9))
        self.assertEqual(
            [new, platform.Unavailable(True), platform.Unavailable(False)],
            recorder.results,
        )


class LedgerEntry(test_ledger.Entry):
    """A process with a ledger that also follows the configuration.

    The watch of the configuration shows it the epoch of the service.
    """

    def __init__(self, world, name, executions_by_key):
        super().__init__(world, name, executions_by_key)
        store = config_store.new_store(self.process.calls)
        self.process.components.append(store)


class RestoredLedgerTest(unittest.TestCase):
    def setUp(self):
        self.world = platform_model.World()
        self.executions_by_key = {}
        self.first = LedgerEntry(self.world, 'a', self.executions_by_key)
        self.second = LedgerEntry(self.world, 'b', self.executions_by_key)
        self.world.run(1_000)
        self.first.claim(test_ledger.key_at(self.world.now_ms, 99))
        self.world.run(1_000)
        self.copy = self.world.platform.copy()
        self.key = test_ledger.key_at(self.world.now_ms)

    def restore(self):
        self.world.platform.restore(self.copy)

    def retry(self, entry, run_ms=4_000):
        """Claims the key again at an entry and returns the outcome."""
        request = entry.claim(self.key)
        self.world.run(run_ms)
        return entry.outcome(request)

    def test_key_whose_claim_and_outcome_are_lost_does_not_run_again(self):
        self.first.claim(self.key)
        self.world.run(1_000)
        self.restore()
        outcome = self.retry(self.second)
        self.assertIsInstance(outcome, notices.ClaimReplayed)
        self.assertEqual(test_ledger.ANSWER, outcome.answer)
        self.assertEqual(1, len(self.executions_by_key[self.key]))

    def test_key_whose_call_is_in_progress_does_not_run_again(self):
        self.first.claim(self.key, fate='hold')
        self.world.run(1_000)
        self.restore()
        outcome = self.retry(self.second)
        self.assertIsInstance(outcome.failure, errors.CallInProgress)

    def test_outcome_after_the_restore_is_recorded_on_the_lost_claim(self):
        request = self.first.claim(self.key, fate='hold')
        self.world.run(1_000)
        self.restore()
        finish = self.first.ledger.finish
        self.first.process.do(
            lambda stamp: finish(stamp, self.key, test_ledger.ANSWER)
        )
        self.assertIsInstance(
            self.first.outcome(request), notices.ClaimGranted
        )
        outcome = self.retry(self.second)
        self.assertIsInstance(outcome, notices.ClaimReplayed)

    def test_lost_claim_replaces_one_that_came_before_it_was_back(self):
        self.first.claim(self.key, fate='hold')
        self.world.run(1_000)
        self.restore()
        self.first.process.paused_until_ms = self.world.now_ms + 1_000
        second = self.second.claim(self.key)
        self.world.run(500)
        tokens = [
            claim['token']
            for found in self.world.platform.values_by_key.values()
            if found.key.startswith(ledger_page.PREFIX)
            for claim in ledger_page.Codec()
            .decode(found.value)['claims_by_key']
            .values()
        ]
        self.assertIn(second, tokens)
        self.assertIsNone(self.second.outcome(second))
        self.world.run(4_000)
        self.assertIsInstance(
            self.second.outcome(second).failure, errors.CallInProgress
        )

    def test_key_that_was_released_is_granted_again(self):
        self.first.claim(self.key, fate='hold')
        self.world.run(1_000)
        self.copy = self.world.platform.copy()
        release = self.first.ledger.release
        self.first.process.do(lambda stamp: release(stamp, self.key))
        self.world.run(1_000)
        self.restore()
        self.world.run(restores.SETTLE_MS)
        outcome = self.retry(self.second)
        self.assertIsInstance(outcome, notices.ClaimGranted)

    def test_new_keys_are_granted_once_the_service_has_settled(self):
        self.restore()
        request = self.second.claim(self.key)
        self.world.run(restores.SETTLE_MS - 500)
        self.assertIsNone(self.second.outcome(request))
        self.world.run(1_000)
        self.assertIsInstance(
            self.second.outcome(request), notices.ClaimGranted
        )
        later = self.second.claim(test_ledger.key_at(self.world.now_ms, 5))
        self.world.run(200)
        self.assertIsInstance(self.second.outcome(later), notices.ClaimGranted)

    def test_claim_that_timed_out_while_the_service_settled_is_removed(self):
        self.restore()
        self.world.run(500)
        stamp = events.Stamp(self.world.now_ms, 0)
        self.second.claim(self.key)
        self.world.run(100)
        claim = self.second.ledger._claims_by_key[self.key]
        claim.expires_at_ms = stamp.now_ms + 200
        self.world.run(4_000)
        self.assertIsInstance(self.retry(self.first), notices.ClaimGranted)

    def test_second_restore_is_handled_like_the_first(self):
        self.first.claim(self.key)
        self.world.run(1_000)
        self.restore()
        self.world.run(1_500)
        self.restore()
        outcome = self.retry(self.second)
        self.assertIsInstance(outcome, notices.ClaimReplayed)


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((1, 7, 60, 400, 2_500)),
        strategies.sampled_from(('claim',) * 6 + ('copy', 'restore')),
        strategies.integers(0, 2),
        strategies.integers(0, 2),
        strategies.sampled_from(test_ledger.FATES),
    ),
    min_size=4,
    max_size=30,
)


class RestoredLedgerPropertyTest(unittest.TestCase):
    """Entries that live and reach the service; copies up to 10 s old."""

    @properties.settings(80)
    @hypothesis.given(ACTIONS, strategies.integers(0, 2**32))
    def test_no_key_runs_twice(self, actions, seed):
        world = platform_model.World(seed)
        executions_by_key = {}
        entries = [
            LedgerEntry(world, name, executions_by_key) for name in 'abc'
        ]
        copy, copied_at_ms = world.platform.copy(), world.now_ms
        claims = []
        for gap_ms, kind, entry_index, key_number, fate in actions:
            entry = entries[entry_index]
            if kind == 'claim':
                key = test_ledger.key_at(platform_model.START_MS, key_number)
                claims.append((entry, entry.claim(key, fate)))
            elif kind == 'copy' or world.now_ms - copied_at_ms > 10_000:
                copy, copied_at_ms = world.platform.copy(), world.now_ms
            else:
                world.platform.restore(copy)
            world.run(gap_ms)
        world.run(20_000)
        for key, runs in executions_by_key.items():
            self.assertEqual(1, len(runs), f'{key}: {runs}')
        for entry, request in claims:
            self.assertIsNotNone(entry.outcome(request))


class RestoredBillsTest(unittest.TestCase):
    def setUp(self):
        self.world = platform_model.World()
        self.entry = test_billing.Entry(self.world, 'inc')
        store = config_store.new_store(self.entry.process.calls)
        self.entry.process.components.append(store)

    def test_lost_bills_are_counted_once(self):
        early = self.entry.bill()
        self.world.run(2_000)
        copy = self.world.platform.copy()
        late = self.entry.bill()
        self.world.run(2_000)
        self.world.platform.restore(copy)
        self.assertEqual([early], test_billing.stored_bills(self.world))
        after = self.entry.bill()
        self.world.run(3_000)
        self.assertEqual(
            [early, late, after], test_billing.stored_bills(self.world)
        )
        self.assertEqual([early.id, late.id, after.id], self.entry.counted())

    def test_bills_older_than_any_copy_are_not_kept(self):
        for _ in range(5):
            self.entry.bill()
        self.world.run(restores.MAX_COPY_AGE_MS + 5_000)
        self.assertEqual(0, len(self.entry.buffer._pages._committed))


class RestoredLeaseTest(unittest.TestCase):
    def test_driver_gives_up_its_lease(self):
        calls = platform_calls.PlatformCalls()
        driver = rollout_driver.RolloutDriver(
            calls, 'a', 'a', evidence.VersionEvidence('a'), lambda *_: []
        )
        stamp = events.Stamp(0, 0)
        driver._on_granted(stamp, platform.Granted('l', 5_000))
        written = platform.Written('k', 3)
        calls.restores.observe(stamp, written)
        driver._on_driver_written(stamp, written)
        self.assertTrue(driver.holds_lease(1_000))
        calls.restores.observe(stamp, platform.Found('a', b'', EPOCH(1, 1)))
        self.assertFalse(driver.holds_lease(1_000))
