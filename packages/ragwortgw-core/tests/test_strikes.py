"""Tests that a crashing request is blocked and requests beside it run."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import notices
from ragwortgw_core import strikes
from tests import platform_model
from tests import properties

START_MS = platform_model.START_MS
POISON = 'poison'
MAX_STEPS = 2_000


def at(now_ms):
    """Builds a stamp."""
    return events.Stamp(START_MS + now_ms, 0)


class Fleet:
    """Simulates entries, agents and clients that retry broken requests.

    Args:
      seed: Seed of the simulation.
      notice_delay: Most steps until a strike reaches another process.
      bystanders: Number of harmless requests.
    """

    def __init__(self, seed, notice_delay, bystanders=5):
        self.random = random.Random(seed)
        self.notice_delay = notice_delay
        self.step = 0
        self.entries = [strikes.new_strike_tracker() for _ in range(3)]
        self.agents = [strikes.new_strike_tracker() for _ in range(4)]
        self.running = [{} for _ in self.agents]
        self.waiting = {f'n{i}' for i in range(bystanders)} | {POISON}
        self.refused = set()
        self.served = set()
        self.crashes = 0
        #: Executions of the crashing request started before all processes
        #: knew of its last crash.
        self.early_starts = 0
        self.undelivered = []

    def run(self):
        """Steps until no request waits or runs."""
        while self.waiting or any(self.running):
            self.step += 1
            assert self.step < MAX_STEPS, (self.waiting, self.running)
            self._deliver()
            for fingerprint in sorted(self.waiting):
                if self.random.random() < 0.7:
                    self._send(fingerprint)
            for number in range(len(self.agents)):
                self._work(number)

    def _deliver(self):
        due = [m for m in self.undelivered if m[0] <= self.step]
        self.undelivered = [m for m in self.undelivered if m[0] > self.step]
        for _, tracker, notice in due:
            tracker.record_report(at(self.step), notice)

    def _send(self, fingerprint):
        stamp = at(self.step)
        entry = self.random.choice(self.entries)
        number = self.random.randrange(len(self.agents))
        agent = self.agents[number]
        running = self.running[number]
        for tracker in (entry, agent):
            if tracker.check(stamp, fingerprint) is not None:
                self.refused.add(fingerprint)
                self.waiting.discard(fingerprint)
                return
        suspects = [f for f in running if agent.must_run_alone(f, stamp)]
        alone = entry.must_run_alone(fingerprint, stamp)
        alone = alone or agent.must_run_alone(fingerprint, stamp)
        if suspects or any(running.values()) or (alone and running):
            return
        if fingerprint == POISON:
            late = [m for m in self.undelivered if m[2].fingerprint == POISON]
            self.early_starts += bool(late)
        agent.attempt_started(f'b{number}', fingerprint, fingerprint)
        running[fingerprint] = alone
        self.waiting.discard(fingerprint)

    def _work(self, number):
        running = self.running[number]
        if not running or self.random.random() < 0.6:
            return
        agent = self.agents[number]
        if POISON in running:
            self._crash(number)
            return
        fingerprint = self.random.choice(sorted(running))
        alone = running.pop(fingerprint)
        agent.attempt_ended(f'b{number}', fingerprint, at(self.step), alone)
        self.served.add(fingerprint)

    def _crash(self, number):
        self.crashes += 1
        self.waiting |= self.running[number].keys()
        self.running[number] = {}
        outputs = self.agents[number].crashed(
            at(self.step), f'b{number}', f'crash{self.crashes}'
        )
        for notice in outputs:
            if not isinstance(notice, notices.StrikeAdded):
                continue
            for tracker in self.entries + self.agents:
                delay = self.random.randint(0, self.notice_delay)
                self.undelivered.append((self.step + delay, tracker, notice))


class FleetTest(unittest.TestCase):
    @properties.settings(150)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_request_is_blocked_after_two_crashes(self, seed):
        fleet = Fleet(seed, notice_delay=0)
        fleet.run()
        self.assertEqual({POISON}, fleet.refused)
        self.assertEqual(2, fleet.crashes)
        self.assertEqual(5, len(fleet.served))

    @properties.settings(150)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_late_notices_cost_one_crash_per_execution_already_started(
        self, seed
    ):
        fleet = Fleet(seed, notice_delay=10)
        fleet.run()
        self.assertEqual({POISON}, fleet.refused)
        self.assertLessEqual(fleet.crashes, 2 + fleet.early_starts)
        self.assertEqual(5, len(fleet.served))


class StrikeTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = strikes.new_strike_tracker()

    def crash(self, crash_id, *fingerprints, complete=True):
        self.tracker.crashed(at(0), 'b', crash_id, complete, fingerprints)

    def refused(self, fingerprint, now_ms=0):
        refusal = self.tracker.check(at(now_ms), fingerprint)
        return isinstance(refusal, errors.RequestSuspected)

    def test_one_crash_makes_suspects_but_refuses_nothing(self):
        self.crash('c1', 'p', 'n')
        self.assertFalse(self.refused('p'))
        self.assertTrue(self.tracker.must_run_alone('p', at(0)))
        self.assertTrue(self.tracker.must_run_alone('n', at(0)))
        self.assertFalse(self.tracker.must_run_alone('other', at(0)))

    def test_crash_reported_twice_counts_once(self):
        self.crash('c1', 'p')
        self.crash('c1', 'p')
        self.assertFalse(self.refused('p'))

    def test_attempts_broken_by_one_crash_share_its_id(self):
        for attempt in ('a1', 'a2'):
            self.tracker.attempt_started('b', attempt, attempt)
        first = self.tracker.attempt_broke(at(0), 'b', 'a1')
        self.assertEqual(
            2, self.tracker._crashes_by_id[first.crash_id].members
        )
        self.tracker.attempt_started('b', 'a3', 'new')
        late = self.tracker.attempt_broke(at(900), 'b', 'a2')
        self.assertEqual((first.crash_id, []), tuple(late))
        self.assertFalse(self.tracker.must_run_alone('new', at(900)))
        second = self.tracker.attempt_broke(at(901), 'b', 'a3')
        self.assertNotEqual(first.crash_id, second.crash_id)

    def test_only_common_fingerprint_of_two_crashes_is_refused(self):
        self.crash('c1', 'p', 'n1')
        self.crash('c2', 'p', 'n2')
        self.assertTrue(self.refused('p'))
        self.assertFalse(self.refused('n1'))

    def test_two_common_fingerprints_are_not_refused_after_two_crashes(self):
        self.crash('c1', 'p', 'n')
        self.crash('c2', 'p', 'n')
        self.assertFalse(self.refused('p'))
        self.crash('c3', 'p')
        self.assertTrue(self.refused('p'))
        self.assertFalse(self.refused('n'))

    def test_incomplete_notices_refuse_nothing(self):
        for crash_id in ('c1', 'c2'):
            notice = notices.StrikeAdded('n', crash_id, 2)
            self.tracker.record_report(at(0), notice)
        self.assertFalse(self.refused('n'))

    def test_refusal_expires(self):
        self.crash('c1', 'p')
        self.crash('c2', 'p')
        self.assertTrue(self.refused('p', strikes.CRASH_TTL_MS - 1))
        self.assertFalse(self.refused('p', strikes.CRASH_TTL_MS))

    def test_cleared_suspect_need_not_run_alone(self):
        self.crash('c1', 'n')
        self.tracker.attempt_started('b', 'a1', 'n')
        self.tracker.attempt_ended('b', 'a1', at(5), cleared=True)
        self.assertFalse(self.tracker.must_run_alone('n', at(5)))

    def test_stored_crashes_are_bounded(self):
        for number in range(strikes.MAX_CRASHES + 50):
            self.crash(f'c{number}', 'p')
        self.assertEqual(
            strikes.MAX_CRASHES, self.tracker.strike_count('p', at(0))
        )

    def test_entries_share_crashes_through_the_service(self):
        world = platform_model.World()
        trackers = []
        for name in 'ab':
            process = world.process(name)
            tracker = strikes.new_strike_tracker(process.calls)
            process.components.append(tracker)
            trackers.append((process, tracker))
        world.run(1_000)
        process, tracker = trackers[0]
        for crash_id in ('c1', 'c2'):
            process.do(
                lambda stamp, crash_id=crash_id: tracker.crashed(
                    stamp, 'b', crash_id, False, ('p',)
                )
            )
        world.run(2 * strikes.READ_INTERVAL_MS)
        stamp = events.Stamp(world.now_ms, 0)
        self.assertIsNotNone(trackers[1][1].check(stamp, 'p'))
