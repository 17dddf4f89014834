"""Tests of pinning, session tokens and the steps of a roll-out."""

import unittest
import uuid

import hypothesis
from hypothesis import strategies

from ragwortgw_core import documents
from ragwortgw_core import events
from ragwortgw_core import rollouts
from ragwortgw_core import sessions
from tests import properties

START_MS = 1_800_000_000_000
SECRET = 'secret'
PLAN = [100, 2_500, 10_000]


def make_version(name, state='ready'):
    return documents.Version(id=name, model='m', state=state, reason='')


VERSIONS = [make_version('m@v1'), make_version('m@v2')]
VERSIONS_BY_ID = {version['id']: version for version in VERSIONS}


def make_rollout(**changes):
    rollout = documents.Rollout(
        id='m',
        steps=[],
        candidate='m@v2',
        baseline='m@v1',
        plan=PLAN,
        next_step=0,
        state='running',
        fencing=0,
    )
    rollout.update(changes)
    return rollout


def make_session(began_at_ms, number):
    rest = uuid.uuid5(uuid.NAMESPACE_OID, str(number)).int & ((1 << 76) - 1)
    value = (began_at_ms << 80) | (7 << 76) | rest
    value = value & ~(0b11 << 62) | (0b10 << 62)
    return str(uuid.UUID(int=value))


def at(now_ms, seed=1):
    return events.Stamp(now_ms, seed)


def advanced(rollout, times):
    """Takes steps, each a minute after the one before."""
    for index in range(times):
        stamp = at(START_MS + index * 60_000)
        rollout = rollouts.advance(rollout, 'good', VERSIONS_BY_ID, stamp)
    return rollout


class PinTest(unittest.TestCase):
    def pin(self, rollout, session, now_ms, versions=VERSIONS):
        return rollouts.pin(rollout, versions, session, at(now_ms))

    @properties.settings(200)
    @hypothesis.given(
        strategies.integers(0, 300_000),
        strategies.integers(0, 10**6),
        strategies.lists(
            strategies.sampled_from(['good', 'undecided', 'bad']),
            max_size=8,
        ),
        strategies.integers(0, 400_000),
    )
    def test_session_keeps_its_version_through_any_rollout(
        self, start_offset_ms, number, verdicts, later_ms
    ):
        session = make_session(START_MS + start_offset_ms, number)
        started_ms = START_MS + start_offset_ms
        rollout = make_rollout()
        first = None
        for index, verdict in enumerate(['good', *verdicts]):
            now_ms = START_MS + index * 45_000
            changed = rollouts.advance(
                rollout, verdict, VERSIONS_BY_ID, at(now_ms)
            )
            rollout = changed or rollout
            if now_ms < started_ms - sessions.SESSION_SKEW_MS:
                continue
            pinned = self.pin(rollout, session, max(now_ms, started_ms))
            first = first or pinned
            self.assertEqual(first, pinned)
            self.assertFalse(pinned.moved)
        first = first or self.pin(rollout, session, started_ms)
        self.assertEqual(
            first, self.pin(rollout, session, started_ms + later_ms)
        )

    @properties.settings(100)
    @hypothesis.given(
        strategies.integers(0, 10**6),
        strategies.integers(0, 10_000),
        strategies.integers(0, 10_000),
    )
    def test_larger_share_serves_a_superset_of_new_sessions(
        self, number, share, other
    ):
        served = []
        for points in sorted([share, other]):
            step = documents.Step(
                effective_at_ms=0,
                shares={'m@v1': 10_000 - points, 'm@v2': points},
            )
            rollout = make_rollout(steps=[step])
            session = make_session(START_MS, number)
            served.append(self.pin(rollout, session, START_MS).version)
        if served[0] == 'm@v2':
            self.assertEqual('m@v2', served[1])

    def test_new_sessions_are_split_by_the_shares_of_the_step(self):
        rollout = advanced(make_rollout(), 2)
        now_ms = START_MS + 120_000
        counts = [
            self.pin(rollout, make_session(now_ms, number), now_ms).version
            for number in range(4_000)
        ]
        share = counts.count('m@v2') / len(counts)
        self.assertAlmostEqual(0.25, share, delta=0.03)

    def test_entries_with_skewed_clocks_agree_while_a_step_starts(self):
        before = advanced(make_rollout(), 1)
        after = rollouts.advance(
            before, 'good', VERSIONS_BY_ID, at(START_MS + 60_000)
        )
        skew_ms = 1_000
        last_ms = START_MS + 60_000 + rollouts.EFFECTIVE_DELAY_MS - 1
        for number in range(500):
            session = make_session(last_ms - number, number)
            behind = self.pin(before, session, last_ms - skew_ms)
            self.assertEqual(behind, self.pin(after, session, last_ms))

    def test_session_of_withdrawn_version_moves_and_is_flagged(self):
        step = documents.Step(effective_at_ms=0, shares={'m@v2': 10_000})
        rollout = make_rollout(steps=[step])
        session = make_session(START_MS, 1)
        versions = [VERSIONS[0], make_version('m@v2', 'withdrawn')]
        pinned = self.pin(rollout, session, START_MS, versions)
        self.assertEqual(rollouts.PinnedVersion('m@v1', moved=True), pinned)
        self.assertIsNone(self.pin(rollout, session, START_MS, versions[1:]))

    @properties.settings(100)
    @hypothesis.given(
        strategies.integers(0, 200_000),
        strategies.integers(0, 10**6),
        strategies.sampled_from(['m@v1', 'm@v2']),
    )
    def test_sessions_of_a_withdrawn_version_move_once(
        self, began_ms, number, withdrawn
    ):
        first = advanced(make_rollout(), 4)
        later = make_rollout(
            steps=first['steps'],
            candidate='m@v3',
            baseline='m@v1' if withdrawn == 'm@v2' else 'm@v2',
        )
        versions = [
            make_version(name)
            for name in ('m@v1', 'm@v2', 'm@v3')
            if name != withdrawn
        ]
        versions_by_id = {version['id']: version for version in versions}
        session = make_session(START_MS + began_ms, number)
        now_ms = START_MS + 300_000
        moved = self.pin(later, session, now_ms, versions)
        for _ in range(4):
            now_ms += 60_000
            later = rollouts.advance(later, 'good', versions_by_id, at(now_ms))
            again = self.pin(later, session, now_ms + 30_000, versions)
            self.assertEqual(moved, again)

    def test_versions_not_permitted_do_not_count_as_moved(self):
        step = documents.Step(effective_at_ms=0, shares={'m@v2': 10_000})
        step['shares'] = {'m@v1': 1, 'm@v2': 9_999}
        pinned = rollouts.pin(
            make_rollout(steps=[step]),
            VERSIONS[:1],
            make_session(START_MS, 1),
            at(START_MS),
            permitted=frozenset({'m@v1'}),
        )
        self.assertEqual(rollouts.PinnedVersion('m@v1', moved=False), pinned)

    def test_without_a_rollout_the_oldest_version_serves(self):
        versions = [make_version('m@v10'), make_version('m@v9')]
        pinned = self.pin(None, make_session(START_MS, 1), START_MS, versions)
        self.assertEqual('m@v9', pinned.version)

    def test_later_candidate_does_not_move_old_sessions(self):
        first = advanced(make_rollout(), 4)
        later = make_rollout(
            steps=first['steps'], candidate='m@v3', baseline='m@v2'
        )
        for number in range(200):
            session = make_session(START_MS + number * 1_000, number)
            now_ms = START_MS + 500_000
            self.assertEqual(
                self.pin(first, session, now_ms),
                self.pin(later, session, now_ms),
            )


class SessionTest(unittest.TestCase):
    def test_token_contains_the_start_time(self):
        token = sessions.new_session_token('abc', SECRET, START_MS)
        session = sessions.read_session(token, SECRET, START_MS + 9)
        self.assertEqual(START_MS, session.began_at_ms)

    def test_forged_tokens_and_plain_ids_have_no_start_time(self):
        token = sessions.new_session_token('abc', 'other', START_MS)
        other_ids = ('abc', 'a.b.c.d', 'rgw1.a.b.\xe9', str(uuid.UUID(int=5)))
        for session in (token, *other_ids):
            parsed = sessions.read_session(session, SECRET, START_MS)
            self.assertIsNone(parsed.began_at_ms)

    @properties.settings()
    @hypothesis.given(strategies.text(), strategies.booleans())
    def test_any_text_is_parsed_and_pinned(self, text, as_token):
        session = f'{sessions.TOKEN_PREFIX}.{text}' if as_token else text
        parsed = sessions.read_session(session, SECRET, START_MS)
        self.assertIsNone(parsed.began_at_ms)
        rollout = advanced(make_rollout(), 2)
        pinned = rollouts.pin(rollout, VERSIONS, session, at(START_MS))
        self.assertIn(pinned.version, VERSIONS_BY_ID)

    def test_start_time_in_the_future_needs_a_token(self):
        session = make_session(START_MS + 60_000, 1)
        parsed = sessions.read_session(session, SECRET, START_MS)
        self.assertIsNone(parsed.began_at_ms)


class AdvanceTest(unittest.TestCase):
    def test_steps_take_effect_later_and_end_in_state_done(self):
        rollout = make_rollout()
        shares = []
        for index in range(len(PLAN) + 1):
            now_ms = START_MS + index * 60_000
            rollout = rollouts.advance(
                rollout, 'good', VERSIONS_BY_ID, at(now_ms)
            )
            step = rollout['steps'][-1]
            delay_ms = step['effective_at_ms'] - now_ms
            self.assertEqual(rollouts.EFFECTIVE_DELAY_MS, delay_ms)
            shares.append(step['shares']['m@v2'])
        self.assertEqual([100, 2_500, 9_000, 10_000], shares)
        self.assertEqual('done', rollout['state'])
        self.assertEqual(4, rollout['fencing'])

    def test_first_share_is_bounded_until_there_is_evidence(self):
        share = rollouts.first_share_limit(13_000, 28_000)
        self.assertEqual(5, share)
        self.assertEqual(10_000, rollouts.first_share_limit(0.1, 28_000))
        shares = []
        rollout = make_rollout()
        for index in range(3):
            rollout = rollouts.advance(
                rollout,
                'good' if index else 'undecided',
                VERSIONS_BY_ID,
                at(START_MS + index * 60_000),
                share,
            )
            shares.append(rollout['steps'][-1]['shares']['m@v2'])
        self.assertEqual([5, 100, 2_500], shares)
        self.assertEqual(2, rollout['next_step'])
        started = advanced(make_rollout(), 0)
        started = rollouts.advance(
            started, 'undecided', VERSIONS_BY_ID, at(START_MS), share
        )
        later = at(START_MS + 60_000)
        self.assertIsNone(
            rollouts.advance(started, 'undecided', VERSIONS_BY_ID, later)
        )

    def test_waits_for_a_verdict_and_for_the_last_step_to_take_effect(self):
        rollout = advanced(make_rollout(), 1)
        for verdict, now_ms in (
            ('undecided', START_MS + 60_000),
            ('good', START_MS + 1_000),
        ):
            stamp = at(now_ms)
            self.assertIsNone(
                rollouts.advance(rollout, verdict, VERSIONS_BY_ID, stamp)
            )

    def test_bad_verdict_withdraws_the_candidate(self):
        rollout = rollouts.advance(
            advanced(make_rollout(), 2), 'bad', VERSIONS_BY_ID, at(START_MS)
        )
        self.assertEqual('withdrawn', rollout['state'])
        self.assertEqual({'m@v1': 10_000}, rollout['steps'][-1]['shares'])
        version = rollouts.withdrawn_version(rollout, VERSIONS_BY_ID, 'test')
        self.assertEqual('withdrawn', version['state'])
        self.assertEqual('ready', VERSIONS_BY_ID['m@v2']['state'])

    def test_rollout_ends_after_an_operator_withdrew_the_candidate(self):
        versions_by_id = {'m@v2': make_version('m@v2', 'withdrawn')}
        rollout = rollouts.advance(
            advanced(make_rollout(), 1), 'good', versions_by_id, at(START_MS)
        )
        self.assertEqual('withdrawn', rollout['state'])

    def test_paused_rollout_takes_no_step_but_withdraws_on_bad(self):
        rollout = make_rollout(state='paused')
        stamp = at(START_MS)
        self.assertIsNone(
            rollouts.advance(rollout, 'good', VERSIONS_BY_ID, stamp)
        )
        changed = rollouts.advance(rollout, 'bad', VERSIONS_BY_ID, stamp)
        self.assertEqual('withdrawn', changed['state'])

    def test_suspect_candidate_is_compared_again(self):
        done = advanced(make_rollout(), 4)
        self.assertEqual('done', done['state'])
        stamp = at(START_MS + 400_000)
        restarted = rollouts.advance(done, 'suspect', VERSIONS_BY_ID, stamp)
        self.assertEqual('running', restarted['state'])
        shares = {'m@v1': 5_000, 'm@v2': 5_000}
        self.assertEqual(shares, restarted['steps'][-1]['shares'])
        stamp = at(START_MS + 500_000)
        finished = rollouts.advance(restarted, 'good', VERSIONS_BY_ID, stamp)
        self.assertEqual('done', finished['state'])

    def test_withdrawn_rollout_takes_no_step(self):
        rollout = make_rollout(state='withdrawn')
        self.assertIsNone(
            rollouts.advance(rollout, 'bad', VERSIONS_BY_ID, at(START_MS))
        )

    def test_superseded_steps_are_dropped_after_the_history_period(self):
        rollout = advanced(make_rollout(), 2)
        later_ms = START_MS + rollouts.STEP_HISTORY_MS + 10**6
        rollout = rollouts.advance(
            rollout, 'good', VERSIONS_BY_ID, at(later_ms)
        )
        self.assertEqual(2, len(rollout['steps']))
