"""Tests that a key runs at most one request, also under faults."""

import unittest

import hypothesis
from hypothesis import strategies
import uuid_utils

from ragwortgw_core import configuration
from ragwortgw_core import errors
from ragwortgw_core import ledger
from ragwortgw_core import notices
from ragwortgw_core import requests
from tests import platform_model
from tests import properties

ANSWER = requests.Answer(
    200, 'text/plain', b'printed', {'input_tokens': 0, 'output_tokens': 0}
)
SYSTEM = configuration.DEFAULT_SYSTEM


def key_at(at_ms, number=0):
    """Builds a UUIDv7 with a given timestamp, Unix ms."""
    text = f'{at_ms:012x}7{number % 4096:03x}8{number:015x}'
    return str(uuid_utils.UUID(text))


class Entry:
    """A process with a ledger that runs granted calls immediately.

    Args:
      world: The simulation.
      name: Name of the process.
      executions_by_key: Ids of the requests that ran, shared by entries.
    """

    def __init__(self, world, name, executions_by_key):
        self.name = name
        self.executions_by_key = executions_by_key
        self.keys_by_request = {}
        self.fate_by_request = {}
        self.process = world.process(name)
        self.ledger = ledger.new_ledger(self.process.calls)
        self.process.components.append(self.ledger)
        self.process.on_notice = self.on_notice

    def claim(self, key, fate='finish', fingerprint='f', system=SYSTEM):
        """Claims a key; fate is the outcome of the call if granted."""
        request = f'{self.name}-{len(self.keys_by_request)}'
        self.keys_by_request[request] = key
        self.fate_by_request[request] = fate
        self.process.do(
            lambda stamp: self.ledger.claim(
                stamp, key, fingerprint, request, system
            )
        )
        return request

    def on_notice(self, notice):
        if not isinstance(notice, notices.ClaimGranted):
            return
        key = self.keys_by_request[notice.request_id]
        fate = self.fate_by_request[notice.request_id]
        if fate == 'release':
            self.process.do(lambda stamp: self.ledger.release(stamp, key))
            return
        self.executions_by_key.setdefault(key, []).append(notice.request_id)
        if fate == 'finish':
            self.process.do(
                lambda stamp: self.ledger.finish(stamp, key, ANSWER)
            )
        elif fate == 'unknown':
            self.process.do(lambda stamp: self.ledger.mark_unknown(stamp, key))

    def outcome(self, request):
        """Returns the notice that answered a request, or None."""
        answers = [
            notice
            for notice in self.process.emitted
            if getattr(notice, 'request_id', '') == request
        ]
        assert len(answers) <= 1, answers
        return answers[0] if answers else None


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.world = platform_model.World()
        self.executions_by_key = {}
        self.first = Entry(self.world, 'a', self.executions_by_key)
        self.second = Entry(self.world, 'b', self.executions_by_key)
        self.key = key_at(self.world.now_ms)

    def failure(self, entry, request):
        outcome = entry.outcome(request)
        self.assertIsInstance(outcome, notices.ClaimDenied)
        return outcome.failure

    def test_retry_on_another_entry_gets_the_stored_answer(self):
        self.first.claim(self.key)
        self.world.run(1_000)
        retry = self.second.claim(self.key)
        self.world.run(1_000)
        replayed = notices.ClaimReplayed(retry, ANSWER)
        self.assertEqual(replayed, self.second.outcome(retry))

    def test_large_answer_is_replayed_from_a_separate_value(self):
        large = ANSWER._replace(body=b'x' * 5_000)
        self.first.claim(self.key, fate='hold')
        self.world.run(100)
        self.first.process.do(
            lambda stamp: self.first.ledger.finish(stamp, self.key, large)
        )
        self.world.run(1_000)
        retry = self.second.claim(self.key)
        self.world.run(1_000)
        self.assertEqual(large, self.second.outcome(retry).answer)

    def test_only_one_of_two_concurrent_claims_is_granted(self):
        requests_by_entry = {
            entry: entry.claim(self.key, fate='hold')
            for entry in (self.first, self.second)
        }
        self.world.run(1_000)
        kinds = {
            type(entry.outcome(request))
            for entry, request in requests_by_entry.items()
        }
        self.assertEqual({notices.ClaimGranted, notices.ClaimDenied}, kinds)

    def test_key_of_dead_holder_becomes_outcome_unknown(self):
        self.first.claim(self.key, fate='hold')
        self.world.run(100)
        self.first.process.alive = False
        early = self.second.claim(self.key)
        self.world.run(ledger.RUN_TIMEOUT_MS)
        late = self.second.claim(self.key)
        self.world.run(1_000)
        self.assertIsInstance(
            self.failure(self.second, early), errors.CallInProgress
        )
        self.assertIsInstance(
            self.failure(self.second, late), errors.OutcomeUnknown
        )

    def test_unknown_outcome_is_not_run_again_by_the_same_entry(self):
        self.first.claim(self.key, fate='unknown')
        self.world.run(1_000)
        retry = self.first.claim(self.key)
        self.world.run(1_000)
        self.assertIsInstance(
            self.failure(self.first, retry), errors.OutcomeUnknown
        )

    def test_released_key_is_granted_again(self):
        self.first.claim(self.key, fate='release')
        self.world.run(1_000)
        retry = self.second.claim(self.key)
        self.world.run(1_000)
        self.assertEqual([retry], self.executions_by_key[self.key])

    def test_invalid_and_expired_keys_are_refused_without_a_call(self):
        now_ms = self.world.now_ms
        for key, kind in (
            ('no-uuid', errors.BadIdempotencyKey),
            (str(uuid_utils.uuid4()), errors.BadIdempotencyKey),
            (key_at(now_ms - ledger.MAX_KEY_AGE_MS - 1), errors.KeyOutOfTime),
            (key_at(now_ms + 120_000), errors.KeyOutOfTime),
        ):
            request = self.first.claim(key)
            failure = self.failure(self.first, request)
            self.assertIsInstance(failure, kind)
        self.assertEqual({}, self.world.platform.counts_by_call)

    def test_key_reused_for_another_body_is_refused(self):
        self.first.claim(self.key)
        self.world.run(1_000)
        reuse = self.second.claim(self.key, fingerprint='other')
        self.world.run(1_000)
        self.assertIsInstance(
            self.failure(self.second, reuse), errors.KeyReused
        )

    def test_outage_refuses_with_ran_unknown(self):
        self.world.platform.down = True
        request = self.first.claim(self.key)
        self.world.run(ledger.CLAIM_TIMEOUT_MS + 1_000)
        failure = self.failure(self.first, request)
        self.assertEqual('unknown', errors.problem(failure)['ran'])

    def test_claims_time_out_sooner_in_a_long_outage(self):
        self.world.platform.down = True
        self.first.claim(self.key)
        self.world.run(ledger.OUTAGE_AFTER_MS + 200)
        request = self.first.claim(key_at(self.world.now_ms, 1))
        self.world.run(ledger.OUTAGE_CLAIM_TIMEOUT_MS + 100)
        self.assertIsInstance(
            self.failure(self.first, request), errors.PlatformUnavailable
        )

    def test_slow_service_is_written_once_when_its_latency_is_known(self):
        world = platform_model.World(rtt_ms=1_600)
        entry = Entry(world, 'a', {})
        for number in range(6):
            entry.claim(key_at(world.now_ms, number))
            world.run(10_000)
        granted = entry.process.emitted_of_type(notices.ClaimGranted)
        self.assertEqual(6, len(granted))
        before = world.platform.counts_by_call['Put']
        request = entry.claim(key_at(world.now_ms, 7), fate='hold')
        world.run(1_700)
        self.assertIsInstance(entry.outcome(request), notices.ClaimGranted)
        after = world.platform.counts_by_call['Put']
        self.assertEqual(1, after - before)

    def test_call_costs_one_round_trip_and_two_writes(self):
        for number in range(20):
            self.first.claim(key_at(self.world.now_ms, number))
            self.world.run(self.world.rtt_ms)
            granted = self.first.process.emitted_of_type(notices.ClaimGranted)
            self.assertEqual(number + 1, len(granted))
            self.world.run(1_000)
        self.assertEqual({'Put': 40}, self.world.platform.counts_by_call)

    def test_answer_survives_an_outage_between_claim_and_finish(self):
        self.first.claim(self.key, fate='hold')
        self.world.run(100)
        self.world.platform.down = True
        self.first.process.do(
            lambda stamp: self.first.ledger.finish(stamp, self.key, ANSWER)
        )
        self.world.run(120_000)
        local_retry = self.first.claim(self.key)
        self.world.platform.down = False
        self.world.run(5_000)
        remote_retry = self.second.claim(self.key)
        self.world.run(1_000)
        self.assertEqual(ANSWER, self.first.outcome(local_retry).answer)
        self.assertEqual(ANSWER, self.second.outcome(remote_retry).answer)
        self.assertEqual(0, self.first.ledger.pending_count())

    def test_claim_that_timed_out_does_not_block_its_key(self):
        self.world.faults = platform_model.Faults(lose_answer=1.0)
        self.first.claim(self.key)
        self.world.run(900)
        self.assertEqual(1, len(self.world.platform.writes))
        self.world.platform.down = True
        self.world.run(ledger.CLAIM_TIMEOUT_MS)
        self.world.faults = platform_model.NO_FAULTS
        self.world.platform.down = False
        self.world.run(2_000)
        retry = self.second.claim(self.key)
        self.world.run(1_000)
        self.assertEqual([retry], self.executions_by_key[self.key])

    def test_late_write_of_a_claim_that_timed_out_does_not_block_its_key(self):
        self.world.next_delays_ms = [8_500]
        self.first.claim(self.key)
        self.world.run(10)
        self.world.faults = platform_model.Faults(lose_request=1.0)
        self.world.run(ledger.CLAIM_TIMEOUT_MS + 100)
        self.world.faults = platform_model.NO_FAULTS
        self.world.run(10_000)
        retry = self.second.claim(self.key)
        self.world.run(1_000)
        self.assertEqual([retry], self.executions_by_key[self.key])

    def test_claims_of_one_page_share_a_write(self):
        system = {**SYSTEM, 'ledger_shards': 1}
        for number in range(50):
            key = key_at(self.world.now_ms, number)
            self.first.claim(key, fate='hold', system=system)
        self.world.run(200)
        granted = self.first.process.emitted_of_type(notices.ClaimGranted)
        self.assertEqual(50, len(granted))
        self.assertLessEqual(self.world.platform.counts_by_call['Put'], 2)

    def test_full_page_refuses_claims_and_stays_below_the_value_limit(self):
        system = {**SYSTEM, 'ledger_shards': 1}
        answer = ANSWER._replace(body=b'x' * 2_000)
        now_ms = self.world.now_ms
        keys = [key_at(now_ms, number) for number in range(2_000)]
        for key in keys:
            self.first.claim(key, 'hold', 'f' * 64, system)
        self.world.run(500)
        for key in keys:
            self.first.process.do(
                lambda stamp, key=key: self.first.ledger.finish(
                    stamp, key, answer
                )
            )
        self.world.run(10_000)
        denied = self.first.process.emitted_of_type(notices.ClaimDenied)
        self.assertTrue(denied)
        for notice in denied:
            self.assertIsInstance(notice.failure, errors.LedgerFull)
        largest = max(len(w.value) for w in self.world.platform.writes)
        self.assertLess(largest, 1_000_000)


FATES = ('finish', 'release', 'unknown', 'hold')
ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((1, 7, 60, 400, 2_500)),
        strategies.sampled_from(('claim',) * 6 + ('kill', 'pause', 'outage')),
        strategies.integers(0, 2),
        strategies.integers(0, 2),
        strategies.sampled_from(FATES),
    ),
    min_size=4,
    max_size=30,
)
FAULTS = platform_model.Faults(
    lose_request=0.1, lose_answer=0.15, late=0.2, refuse=0.05
)


class LedgerFaultsTest(unittest.TestCase):
    @properties.settings(80)
    @hypothesis.given(ACTIONS, strategies.integers(0, 2**32))
    def test_no_key_runs_twice(self, actions, seed):
        world = platform_model.World(seed, FAULTS)
        executions_by_key = {}
        names = iter('abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOP')
        entries = [
            Entry(world, next(names), executions_by_key) for _ in range(3)
        ]
        claims = []
        for gap_ms, kind, entry_index, key_number, fate in actions:
            if kind == 'claim':
                key = key_at(platform_model.START_MS, key_number)
                claims.append(
                    (
                        entries[entry_index],
                        entries[entry_index].claim(key, fate),
                    )
                )
            elif kind == 'kill':
                entries[entry_index].process.alive = False
                entries[entry_index] = Entry(
                    world, next(names), executions_by_key
                )
            elif kind == 'pause':
                entries[entry_index].process.paused_until_ms = (
                    world.now_ms + 4_000
                )
            else:
                world.platform.down = not world.platform.down
            world.run(gap_ms)
        world.platform.down = False
        world.run(20_000)
        for key, runs in executions_by_key.items():
            self.assertEqual(1, len(runs), f'{key}: {runs}')
        for entry, request in claims:
            if entry.process.alive:
                self.assertIsNotNone(entry.outcome(request))
        self._assert_outcomes_are_permanent(world, executions_by_key, entries)

    def _assert_outcomes_are_permanent(
        self, world, executions_by_key, entries
    ):
        world.faults = platform_model.NO_FAULTS
        world.run(ledger.RUN_TIMEOUT_MS)
        for key in executions_by_key:
            retry = entries[0].claim(key)
            world.run(2_000)
            outcome = entries[0].outcome(retry)
            self.assertNotIsInstance(outcome, notices.ClaimGranted)
        for entry in entries:
            unfinished = [
                claim
                for claim in entry.ledger._claims_by_key.values()
                if claim.phase != 'running'
            ]
            self.assertEqual([], unfinished)
