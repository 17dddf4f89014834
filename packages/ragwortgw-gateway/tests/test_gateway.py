"""Tests of whole requests through the reducer."""

import unittest

import msgspec

from ragwortgw_core import errors
from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_gateway import crashes
from ragwortgw_gateway import digests
from ragwortgw_gateway import dispatching
from ragwortgw_gateway import documents
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import fleet
from ragwortgw_gateway import gateway
from ragwortgw_gateway import gossip
from ragwortgw_gateway import prefixes
from ragwortgw_gateway import requests
from ragwortgw_gateway import rollouts
from tests import harness


class AdmissionTest(unittest.TestCase):
    def test_no_configuration_is_no_404(self):
        driver = harness.GatewayDriver()
        driver.tick()
        driver.tick(gateway.START_HOLD_MS + 50)
        driver.arrive('r1')
        self.assertEqual(503, driver.refusal().status)
        self.assertFalse(driver.state.ready)

    def test_request_waits_a_moment_for_the_first_configuration(self):
        driver = harness.GatewayDriver()
        driver.tick()
        self.assertIsNone(driver.arrive('r1'))
        self.assertIsNone(driver.refusal())
        driver.start()
        self.assertEqual('r1', driver.dispatched().request_id)

    def test_request_does_not_wait_long_for_the_first_configuration(self):
        driver = harness.GatewayDriver()
        driver.tick()
        driver.arrive('r1')
        driver.tick(gateway.START_HOLD_MS + 50)
        self.assertEqual(503, driver.refusal().status)

    def test_caller_that_leaves_while_it_waits_is_forgotten(self):
        driver = harness.GatewayDriver()
        driver.tick()
        driver.arrive('r1')
        driver.reduce(events.CallerLeft('r1'))
        driver.start()
        self.assertIsNone(driver.dispatched())

    def test_unknown_path(self):
        driver = harness.GatewayDriver().start()
        driver.arrive('r1', 'nowhere')
        self.assertEqual(404, driver.refusal().status)

    def test_unknown_and_missing_key(self):
        driver = harness.GatewayDriver().start()
        for key in ('wrong', ''):
            driver.arrive('r1', key=key)
            self.assertEqual(401, driver.refusal().status)

    def test_public_route_needs_no_key(self):
        routes = (harness.make_route('open', public=True),)
        driver = harness.GatewayDriver().start(routes=routes)
        self.assertEqual('', driver.arrive('r1', 'open', key='').organisation)

    def test_organisation_comes_from_the_key(self):
        driver = harness.GatewayDriver().start()
        self.assertEqual('festival', driver.arrive('r1').organisation)

    def test_deadline_is_the_earlier_of_caller_and_route(self):
        driver = harness.GatewayDriver().start()
        dispatch = driver.arrive('r1', deadline_ms=driver.now_ms + 700)
        self.assertEqual(driver.now_ms + 700, dispatch.deadline_ms)
        late = driver.arrive('r2', deadline_ms=driver.now_ms + 99_000)
        self.assertEqual(driver.now_ms + 12_000, late.deadline_ms)

    def test_no_server_is_refused_at_once(self):
        driver = harness.GatewayDriver().start(servers=())
        driver.arrive('r1', 'order')
        self.assertEqual(503, driver.refusal().status)
        self.assertEqual('no', errors.problem(driver.refusal())['ran'])


class ConfigurationTest(unittest.TestCase):
    def test_newer_is_in_force_at_once(self):
        driver = harness.GatewayDriver().start()
        driver.write(
            'orders/configuration',
            harness.make_configuration(5, keys=('new',)),
        )
        driver.arrive('r1')
        self.assertEqual(401, driver.refusal().status)
        self.assertIsNotNone(driver.arrive('r2', key='new'))

    def test_never_backwards(self):
        driver = harness.GatewayDriver().start(version=5)
        driver.write(
            'orders/configuration',
            harness.make_configuration(4, keys=('old',)),
        )
        self.assertEqual(5, driver.state.configuration.version)
        self.assertIsNotNone(driver.arrive('r1'))

    def test_unreadable_value_changes_nothing(self):
        driver = harness.GatewayDriver().start()
        driver.write('orders/configuration', 'nonsense')
        driver.write('servers/s9', ['nonsense'])
        self.assertEqual(1, len(driver.logged_fields('value-unreadable')))
        self.assertIsNotNone(driver.arrive('r1'))
        self.assertNotIn('s9', driver.state.fleet.servers_by_id)

    def test_server_whose_entry_turns_unreadable_is_not_used(self):
        driver = harness.GatewayDriver().start(servers=('s1',))
        driver.write('servers/s1', ['nonsense'])
        self.assertIsNone(driver.arrive('r1'))

    def test_gateway_that_the_store_turns_away_learns_from_another(self):
        cut = harness.GatewayDriver('edge-1').start()
        other = harness.GatewayDriver('edge-2').start()
        other.write(
            'orders/configuration',
            harness.make_configuration(5, keys=('new',)),
        )
        cut.tick()
        cut.receive_digest_from(other)
        cut.tick()
        cut.tick(gossip.FETCH_DELAY_MS)
        (fetch,) = cut.effects_of(effects.FetchBeliefs)
        self.assertEqual(other.state.digest_address, fetch.address)
        beliefs = other.state.values.view_since(fetch.revision, 0)
        cut.reduce(events.BeliefsOffered(beliefs))
        self.assertEqual(5, cut.state.configuration.version)
        cut.arrive('r1')
        self.assertEqual(401, cut.refusal().status)

    def behind(self, count=6):
        """Makes a gateway that some others are ahead of."""
        slow = harness.GatewayDriver('edge-1').start()
        slow.tick(10_000)
        for number in range(count):
            other = harness.GatewayDriver(f'edge-{number + 2}').start()
            other.write(
                'orders/configuration', harness.make_configuration(number + 2)
            )
            other.now_ms = slow.now_ms
            slow.receive_digest_from(other)
        return slow

    def fetches(self, driver, passed_ms):
        """Lets time pass; returns whom it asked, and when."""
        asked = []
        for _ in range(passed_ms // 50):
            driver.tick(50)
            for peer_id, peer in driver.state.peers_by_id.items():
                driver.state.peers_by_id[peer_id] = peer._replace(
                    last_seen_ms=driver.now_ms
                )
            asked += [
                (driver.now_ms, each.address)
                for each in driver.effects_of(effects.FetchBeliefs)
            ]
        return asked

    def test_answers_that_are_slow_get_no_more_in_their_way(self):
        asked = self.fetches(self.behind(), 3_000)
        self.assertEqual(3, len(asked))
        self.assertEqual(2, len({address for _, address in asked[:2]}))
        first_ms, second_ms, third_ms = (at_ms for at_ms, _ in asked)
        self.assertGreaterEqual(second_ms - first_ms, gossip.SECOND_FETCH_MS)
        given_up_ms = gossip.FETCH_TIMEOUT_MS + gossip.FETCH_GRACE_MS
        self.assertGreater(third_ms - first_ms, given_up_ms)

    def test_ends_that_are_never_told_block_nothing(self):
        slow = self.behind()
        self.fetches(slow, 3_000)
        self.assertGreater(len(self.fetches(slow, 1_500)), 0)

    def test_next_is_asked_once_one_has_told_nothing(self):
        slow = self.behind()
        ((_, first),) = self.fetches(slow, 600)
        slow.reduce(events.FetchEnded(first))
        self.assertEqual(1, len(self.fetches(slow, 400)))

    def test_limits_of_callers_follow(self):
        driver = harness.GatewayDriver().start()
        driver.write('orders/configuration', harness.make_configuration(2))
        (limit,) = driver.effects_of(effects.LimitCallers)
        self.assertEqual(harness.LIMITS, limit.limits)


class ServersTest(unittest.TestCase):
    def test_draining_server_gets_nothing(self):
        driver = harness.GatewayDriver().start()
        driver.write('servers/s1', harness.make_server('s1', draining=True))
        for n in range(20):
            self.assertEqual('s2', driver.arrive(f'r{n}').server_id)

    def test_deleted_server_gets_nothing(self):
        driver = harness.GatewayDriver().start()
        driver.delete('servers/s1')
        for n in range(20):
            self.assertEqual('s2', driver.arrive(f'r{n}').server_id)

    def lose_store(self, driver):
        driver.store_unreachable = True
        driver.tick(3_000)
        driver.answer(platform.Grant, platform.Unavailable(False))
        self.assertFalse(driver.state.link.reachable)

    def test_entries_that_lapsed_in_an_outage_have_time_to_return(self):
        driver = harness.GatewayDriver().start()
        self.lose_store(driver)
        driver.tick(5_000)
        driver.answer(platform.Grant, platform.Granted('edge-1-x', 0, True))
        driver.store_unreachable = False
        driver.tick()
        driver.answer(platform.WatchPrefix, platform.Compacted(''))
        driver.tick()
        configuration = driver.state.values.get('orders/configuration')
        driver.answer(platform.List, platform.Listed('', (configuration,), 50))
        self.assertEqual(2, len(driver.state.fleet.servers_by_id))
        driver.revision = 50
        driver.write('servers/s1', harness.make_server('s1'))
        driver.tick(fleet.LAPSE_GRACE_MS + 100)
        self.assertEqual(['s1'], list(driver.state.fleet.servers_by_id))
        (fields,) = driver.logged_fields('server')
        self.assertEqual(
            ('s2', 'removed'), (fields['server'], fields['change'])
        )

    def told(self, cut, teller):
        """Has a gateway take what another one holds."""
        beliefs = gossip.store_view_since(
            teller.state, cut.state.values.revision, teller.now_ms
        )
        packed = msgspec.msgpack.encode(beliefs)
        decoded = msgspec.msgpack.decode(packed, type=digests.StoreView)
        return cut.reduce(events.BeliefsOffered(decoded))

    def test_cut_off_gateway_believes_what_others_know_to_be_gone(self):
        cut = harness.GatewayDriver('edge-1').start()
        teller = harness.GatewayDriver('edge-2').start()
        self.lose_store(cut)
        teller.delete('servers/s1')
        self.told(cut, teller)
        self.assertEqual(['s2'], list(cut.state.fleet.servers_by_id))

    def test_outage_that_others_saw_gives_time_second_hand_too(self):
        cut = harness.GatewayDriver('edge-1').start()
        teller = harness.GatewayDriver('edge-2').start()
        for driver in (cut, teller):
            self.lose_store(driver)
            driver.tick(4_000)
        teller.answer(platform.Grant, platform.Granted('edge-2-x', 0, True))
        teller.store_unreachable = False
        teller.tick(500)
        teller.revision = 50
        teller.delete('servers/s1')
        self.told(cut, teller)
        self.assertEqual(2, len(cut.state.fleet.servers_by_id))
        cut.tick(fleet.LAPSE_GRACE_MS)
        self.assertEqual(['s2'], list(cut.state.fleet.servers_by_id))

    def test_other_server_at_the_address(self):
        driver = harness.GatewayDriver().start()
        first = driver.arrive('r1', 'order')
        driver.reduce(events.AttemptRefused(first.attempt_id, True))
        second = driver.dispatched()
        self.assertNotEqual(first.server_id, second.server_id)
        self.assertNotIn(first.server_id, driver.state.fleet.servers_by_id)
        (fields,) = driver.logged_fields('server')
        self.assertEqual(first.server_id, fields['server'])
        self.assertEqual('removed', fields['change'])


class AtMostOnceTest(unittest.TestCase):
    def setUp(self):
        self.driver = harness.GatewayDriver().start(servers=('s1', 's2', 's3'))
        self.first = self.driver.arrive('r1', 'order')

    def test_may_have_run_is_never_sent_again(self):
        for reason in ('reset', 'silent', 'garbled'):
            driver = harness.GatewayDriver().start()
            driver.break_attempt(driver.arrive('r1', 'order'), reason)
            self.assertIsNone(driver.dispatched())
            self.assertEqual(502, driver.refusal().status)
            self.assertEqual('unknown', driver.refusal().ran)

    def test_attempts_that_are_left_make_nothing_repeatable(self):
        order = harness.make_route('order', 'mutating', max_attempts=3)
        for reason in ('reset', 'silent', 'garbled'):
            driver = harness.GatewayDriver().start(routes=(order,))
            driver.break_attempt(driver.arrive('r1', 'order'), reason)
            self.assertIsNone(driver.dispatched())
            self.assertEqual('unknown', driver.refusal().ran)
        driver = harness.GatewayDriver().start(routes=(order,))
        driver.finish_attempt(driver.arrive('r1', 'order'), status=500)
        self.assertIsNone(driver.dispatched())

    def test_connection_that_was_refused_is_tried_elsewhere(self):
        self.driver.break_attempt(self.first, 'refused', 'no')
        self.assertNotEqual(
            self.first.server_id, self.driver.dispatched().server_id
        )

    def test_refused_connections_do_not_consume_the_retry_budget(self):
        names = tuple(f's{n}' for n in range(7))
        limits = gateway.Options(retry_ratio=0.0, retry_slack=0.0)
        driver = harness.GatewayDriver(options=limits).start(servers=names)
        dispatch = driver.arrive('r1', 'order')
        asked = {dispatch.server_id}
        for _ in range(6):
            driver.break_attempt(dispatch, 'refused', 'no')
            dispatch = driver.dispatched()
            asked.add(dispatch.server_id)
        self.assertEqual(set(names), asked)
        driver.finish_attempt(dispatch)
        self.assertEqual(1, len(driver.effects_of(effects.Respond)))

    def test_search_for_a_server_that_is_there_ends(self):
        names = tuple(f's{n}' for n in range(12))
        driver = harness.GatewayDriver().start(servers=names)
        dispatch = driver.arrive('r1', 'order')
        for _ in range(dispatching.MAX_CONNECT_FAILURES):
            self.assertIsNotNone(dispatch)
            driver.break_attempt(dispatch, 'refused', 'no')
            dispatch = driver.dispatched()
        self.assertIsNone(dispatch)
        self.assertEqual(503, errors.problem(driver.refusal())['status'])

    def test_refusal_of_the_server_is_tried_elsewhere(self):
        self.driver.reduce(events.AttemptRefused(self.first.attempt_id, False))
        self.assertIsNotNone(self.driver.dispatched())

    def test_refused_everywhere_says_not_run(self):
        for _ in range(dispatching.MAX_REFUSALS):
            if self.driver.refusal():
                break
            dispatch = self.driver.dispatched() or self.first
            self.driver.reduce(
                events.AttemptRefused(dispatch.attempt_id, False)
            )
            while not self.driver.dispatched() and not self.driver.refusal():
                self.driver.tick(50)
        self.assertEqual(503, self.driver.refusal().status)
        self.assertEqual('no', errors.problem(self.driver.refusal())['ran'])

    def test_own_failure_of_the_server_is_passed_on(self):
        self.driver.finish_attempt(self.first, 500)
        (respond,) = self.driver.effects_of(effects.Respond)
        self.assertEqual(500, respond.answer.status)
        self.assertIsNone(self.driver.dispatched())

    def test_deadline_while_running_is_no_promise(self):
        self.driver.tick(12_001)
        self.assertEqual(504, self.driver.refusal().status)
        (cancel,) = self.driver.effects_of(effects.Cancel)
        self.assertEqual(self.first.attempt_id, cancel.attempt_id)

    def test_slow_answer_is_not_hedged(self):
        for _ in range(60):
            self.driver.tick(50)
            self.assertIsNone(self.driver.dispatched())


class RetryTest(unittest.TestCase):
    def test_failed_lookup_is_repeated_once_elsewhere(self):
        driver = harness.GatewayDriver().start()
        first = driver.arrive('r1')
        driver.finish_attempt(first, 500)
        second = driver.dispatched()
        self.assertNotEqual(first.server_id, second.server_id)
        driver.finish_attempt(second, 503)
        (respond,) = driver.effects_of(effects.Respond)
        self.assertEqual(503, respond.answer.status)

    def test_slow_lookup_is_hedged_and_the_first_answer_wins(self):
        driver = harness.GatewayDriver().start()
        first = driver.arrive('r1')
        driver.tick(50)
        while not driver.dispatched():
            driver.tick(50)
        second = driver.dispatched()
        self.assertLess(driver.now_ms, harness.START_MS + 1_000)
        self.assertNotEqual(first.server_id, second.server_id)
        driver.finish_attempt(second)
        self.assertEqual(1, len(driver.effects_of(effects.Respond)))
        (cancel,) = driver.effects_of(effects.Cancel)
        self.assertEqual(first.attempt_id, cancel.attempt_id)
        self.assertEqual({}, driver.state.requests_by_id)

    def test_timed_out_server_is_not_suspected(self):
        driver = harness.GatewayDriver().start()
        for n in range(20):
            driver.finish_attempt(driver.arrive(f'r{n}'), 504)
            self.assertEqual([], driver.logged_fields('server-suspended'))

    def test_caller_that_leaves_stops_the_work(self):
        driver = harness.GatewayDriver().start()
        first = driver.arrive('r1')
        driver.reduce(events.CallerLeft('r1'))
        (cancel,) = driver.effects_of(effects.Cancel)
        self.assertEqual(first.attempt_id, cancel.attempt_id)
        self.assertEqual({}, driver.state.requests_by_attempt)
        driver.finish_attempt(first)
        self.assertEqual([], driver.effects)


class SmallerModelTest(unittest.TestCase):
    def test_smaller_model_answers_where_the_larger_would_be_late(self):
        driver = harness.GatewayDriver().start(servers=('s1',))
        driver.state.tiers.accept_answer('small', 0)
        for _ in range(100):
            driver.state.tiers.accept_answer('small', 0)
            driver.state.latency.observe_model('small', 10_000, 100.0)
        self.assertEqual('large', driver.arrive('r1', 'draft').model)
        driver.reduce(events.CallerLeft('r1'))
        driver.state.loads.add_attempt(
            'x', 's1', 3_050.0, 3_050.0, 0, driver.now_ms
        )
        unread = requests.Prompt(3_000, 100, ())
        sent = driver.arrive('r2', 'draft', prompt=unread)
        self.assertEqual('small', sent.model)
        driver.receive_answer_head(sent, confidence=0)
        self.assertEqual(1, len(driver.effects_of(effects.Deliver)))

    def test_prompt_too_long_to_be_in_time_is_served_late(self):
        driver = harness.GatewayDriver().start(servers=('s1',))
        prompt = requests.Prompt(70_000, 100, ())
        sent = driver.arrive('r1', 'draft', prompt=prompt)
        self.assertIsNotNone(sent)


class StreamTest(unittest.TestCase):
    def setUp(self):
        self.driver = harness.GatewayDriver().start(servers=('s1', 's2', 's3'))
        self.first = self.driver.arrive('r1', 'draft')

    def test_small_model_is_asked_first(self):
        self.assertEqual('small', self.first.model)

    def test_confident_answer_is_delivered(self):
        self.driver.receive_answer_head(self.first, confidence=90)
        (deliver,) = self.driver.effects_of(effects.Deliver)
        self.assertEqual(self.first.attempt_id, deliver.attempt_id)

    def test_weak_answer_is_dropped_for_the_large_model(self):
        self.driver.receive_answer_head(self.first, confidence=10)
        (cancel,) = self.driver.effects_of(effects.Cancel)
        self.assertEqual(self.first.attempt_id, cancel.attempt_id)
        second = self.driver.dispatched()
        self.assertEqual('large', second.model)
        self.driver.receive_answer_head(second, confidence=0)
        self.assertEqual(1, len(self.driver.effects_of(effects.Deliver)))

    def test_weak_answer_is_delivered_if_the_large_model_would_be_late(self):
        for server_id in ('s1', 's2', 's3'):
            self.driver.state.loads.add_attempt(
                f'x-{server_id}',
                server_id,
                9_000.0,
                9_000.0,
                0,
                self.driver.now_ms,
            )
        self.driver.receive_answer_head(self.first, confidence=10)
        self.assertEqual(1, len(self.driver.effects_of(effects.Deliver)))
        self.assertIsNone(self.driver.dispatched())

    def test_broken_stream_goes_on_after_the_last_event(self):
        self.driver.receive_answer_head(self.first, confidence=90)
        self.driver.break_attempt(self.first, 'reset', 'unknown', last_event=7)
        second = self.driver.dispatched()
        self.assertEqual(7, second.resume_after)
        self.assertNotEqual(self.first.server_id, second.server_id)
        self.driver.receive_answer_head(second, confidence=0)
        self.assertEqual(1, len(self.driver.effects_of(effects.Deliver)))
        self.driver.finish_attempt(second)
        self.assertEqual(1, len(self.driver.effects_of(effects.FinishStream)))

    def test_stream_of_a_caller_that_resumes_keeps_its_own_event(self):
        dispatch = self.driver.arrive('r2', 'draft', resumed_after=12)
        self.assertEqual(0, dispatch.resume_after)
        self.driver.receive_answer_head(dispatch, confidence=90)
        self.driver.break_attempt(dispatch, 'reset', 'unknown', last_event=15)
        self.assertEqual(15, self.driver.dispatched().resume_after)

    def test_stream_is_cut_after_the_maximum_number_of_attempts(self):
        dispatch = self.first
        for _ in range(3):
            self.driver.receive_answer_head(dispatch, confidence=90)
            self.driver.break_attempt(
                dispatch, 'reset', 'unknown', last_event=1
            )
            dispatch = self.driver.dispatched()
        self.assertIsNone(dispatch)
        self.assertEqual(1, len(self.driver.effects_of(effects.CutStream)))

    def test_stream_that_may_not_be_resumed_is_cut(self):
        routes = (harness.make_route('draft', 'streaming', resumable=False),)
        driver = harness.GatewayDriver().start(routes=routes)
        dispatch = driver.arrive('r1', 'draft')
        self.assertEqual('large', dispatch.model)
        driver.receive_answer_head(dispatch, confidence=5)
        driver.break_attempt(dispatch, 'reset', 'unknown', last_event=3)
        self.assertIsNone(driver.dispatched())
        self.assertEqual(1, len(driver.effects_of(effects.CutStream)))

    def test_stream_past_its_deadline_is_cut(self):
        self.driver.receive_answer_head(self.first, confidence=90)
        self.driver.tick(10_001)
        self.assertEqual(1, len(self.driver.effects_of(effects.CutStream)))

    def test_silent_server_is_left(self):
        self.driver.receive_answer_head(self.first, confidence=90)
        while not self.driver.effects_of(effects.Abandon):
            self.driver.tick(50)
            self.assertLess(self.driver.now_ms, harness.START_MS + 4_000)

    def test_last_attempt_is_not_given_up_for_silence(self):
        dispatch = self.first
        for _ in range(2):
            self.driver.receive_answer_head(dispatch, confidence=90)
            self.driver.break_attempt(
                dispatch, 'reset', 'unknown', last_event=1
            )
            dispatch = self.driver.dispatched()
        self.driver.receive_answer_head(dispatch, confidence=90)
        while self.driver.now_ms < harness.START_MS + 9_900:
            self.driver.tick(50)
            self.assertEqual([], self.driver.effects_of(effects.Abandon))

    def test_attempt_is_not_given_up_for_silence_without_budget(self):
        budget = self.driver.state.budget
        self.driver.receive_answer_head(self.first, confidence=90)
        for _ in range(100):
            # The allowance still grows in the first window.
            while budget.try_spend('proofs', 1, self.driver.now_ms + 50):
                pass
            self.driver.tick(50)
            self.assertEqual([], self.driver.effects_of(effects.Abandon))

    def test_server_that_is_heard_is_not_silent(self):
        self.driver.receive_answer_head(self.first, confidence=90)
        for _ in range(40):
            self.driver.reduce(events.ServersHeard((self.first.server_id,)))
            self.driver.tick(50)
            self.assertEqual([], self.driver.effects_of(effects.Abandon))


class OverloadTest(unittest.TestCase):
    """Plays a load that the servers can't bear, without a network."""

    def offer(self, driver, count):
        admitted = {0: 0, 2: 0}
        for n in range(count):
            for rank in admitted:
                sent = driver.arrive(f'r{rank}-{n}', f'rank{rank}')
                admitted[rank] += sent is not None
        return admitted

    def test_urgent_requests_get_the_room(self):
        routes = tuple(
            harness.make_route(f'rank{rank}', 'streaming', priority=rank)
            for rank in (0, 2)
        )
        driver = harness.GatewayDriver().start(routes=routes)
        prompt = requests.Prompt(20_000, 500, ())

        def arrive(request_id, route_id):
            made = harness.make_request(request_id, 'draft', driver.now_ms)
            made = made._replace(
                path=f'/{route_id}/x', prompt=prompt, session=request_id
            )
            driver.reduce(events.RequestArrived(made))
            return driver.dispatched()

        driver.arrive = arrive
        admitted = self.offer(driver, 30)
        self.assertGreater(admitted[0], admitted[2])
        self.assertGreater(admitted[2], 0)
        self.assertLess(admitted[0] + admitted[2], 30)

    def test_refusal_says_when_to_come_back_and_is_immediate(self):
        driver = harness.GatewayDriver().start(servers=('s1',))
        for n in range(100):
            driver.arrive(f'r{n}', 'draft')
            if driver.refusal():
                break
        problem = errors.problem(driver.refusal())
        self.assertEqual(503, problem['status'])
        self.assertGreater(problem['retry_after_ms'], 0)
        self.assertLess(problem['retry_after_ms'], 10_000 / 3)
        self.assertNotIn(f'r{n}', driver.state.requests_by_id)


class StoreWatcherTest(unittest.TestCase):
    """A few gateways follow the store; the others hear from them."""

    def setUp(self):
        names = [f'edge-{n}' for n in range(8)]
        self.drivers = [harness.GatewayDriver(each).start() for each in names]

    def exchange(self, drivers):
        for one in drivers:
            for other in drivers:
                if one is not other:
                    one.receive_digest_from(other)

    def watching(self, drivers):
        found = []
        for driver in drivers:
            driver.store_calls = []
            driver.state.values.restart()
            driver.tick(1)
            if driver.has_pending_call((platform.WatchPrefix, platform.List)):
                found.append(driver)
        return found

    def test_few_follow_and_each_lost_one_is_replaced(self):
        drivers = self.drivers
        for driver in drivers:
            driver.state.values.store_confirmed_ms = driver.now_ms
        self.exchange(drivers)
        first = self.watching(drivers)
        self.assertEqual(gossip.MAX_WATCHERS, len(first))

    def test_all_follow_while_the_store_tells_nobody(self):
        for driver in self.drivers:
            driver.state.values.store_confirmed_ms = 0
        self.exchange(self.drivers)
        self.assertEqual(8, len(self.watching(self.drivers)))

    def test_news_goes_to_all_others_at_once(self):
        driver = self.drivers[0]
        self.exchange(self.drivers)
        driver.tick(1)
        driver.write('orders/configuration', harness.make_configuration(9))
        driver.tick(1)
        (digest,) = driver.effects_of(effects.SendDigest)
        addresses = set(driver.state.peer_addresses_by_id.values())
        self.assertEqual(
            addresses - {driver.state.digest_address}, set(digest.addresses)
        )


class PrefixTest(unittest.TestCase):
    def tell(self):
        """Lets one of two gateways send a prompt and tell of it."""
        one, two = (
            harness.GatewayDriver(name).start(servers=('s1', 's2', 's3'))
            for name in ('edge-1', 'edge-2')
        )
        one.receive_digest_from(two)
        two.receive_digest_from(one)
        dispatch = one.arrive('r1', 'draft')
        (sent,) = one.effects_of(effects.SendNote)
        return one, two, dispatch, sent

    def test_other_gateways_know_what_was_read(self):
        _, two, dispatch, sent = self.tell()
        self.assertEqual((two.state.digest_address,), sent.addresses)
        two.receive_message(sent.note)
        cached = two.state.prefixes.cached(
            dispatch.server_id,
            dispatch.model,
            harness.PROMPT.blocks,
            two.now_ms,
        )
        self.assertEqual(prefixes.CachedTokens(2_000, 0), cached)

    def test_work_just_sent_counts_at_once_and_once(self):
        one, two, dispatch, sent = self.tell()
        two.receive_message(sent.note)
        own = one.state.loads.outstanding(dispatch.server_id)
        heard = two.state.loads.outstanding(dispatch.server_id)
        self.assertEqual((1, own.tokens), (heard.running, heard.tokens))
        self.assertAlmostEqual(own.work_ms, heard.work_ms, delta=1)
        other = two.arrive('r2', 'draft')
        self.assertNotEqual(dispatch.server_id, other.server_id)
        two.receive_digest_from(one)
        two.receive_message(sent.note)
        self.assertEqual(
            1, two.state.loads.outstanding(dispatch.server_id).running
        )


class CrashTest(unittest.TestCase):
    def test_request_that_crashes_servers_is_contained_everywhere(self):
        one = harness.GatewayDriver('edge-1').start(servers=('s1', 's2', 's3'))
        two = harness.GatewayDriver('edge-2').start(servers=('s1', 's2', 's3'))
        runs = 0
        for driver in (one, two, one, two):
            dispatch = driver.arrive(f'r{runs}', 'draft', fingerprint=99)
            refused = driver.refusal()
            while dispatch is not None:
                runs += 1
                driver.break_attempt(dispatch, 'reset', 'unknown')
                dispatch = driver.dispatched()
                refused = driver.refusal()
            one.receive_digest_from(two)
            two.receive_digest_from(one)
        self.assertEqual(crashes.MAX_CRASHES, runs)
        self.assertIsInstance(refused, errors.RequestSuspected)


class RolloutTest(unittest.TestCase):
    def setUp(self):
        self.driver = harness.GatewayDriver().start(servers=('s1', 's2'))
        self.driver.tick(10_000)
        self.driver.write(
            'servers/n1', harness.make_server('n1', version='v2')
        )

    def order(self):
        self.driver.revision += 1
        order = documents.RolloutOrder('proofs', 'v2', 24_000, 0)
        order = order._replace(revision=self.driver.revision)
        self.driver.deliver_changes(
            harness.make_found('orders/rollout', order, self.driver.revision)
        )

    def shares(self, count=400, prefix='x'):
        sent = []
        for n in range(count):
            dispatch = self.driver.arrive(f'{prefix}{n}', 'status')
            sent.append(dispatch.server_id == 'n1')
            self.driver.finish_attempt(dispatch)
        return sum(sent) / count

    def step(self, phase):
        step = self.driver.state.rollouts.step_key('proofs')
        track = self.driver.state.rollouts.tracks_by_service['proofs']
        self.driver.write(
            step,
            rollouts.Step(track.order.revision, 'v2', phase, 12_000),
        )

    def test_candidate_gets_a_small_share(self):
        self.order()
        self.assertLess(self.shares(), 0.1)
        self.assertGreater(self.shares(prefix='y'), 0.02)

    def test_session_stays_on_its_version_in_the_first_half(self):
        sessions = [f'session-{n}' for n in range(200)]
        for session in sessions:
            self.driver.finish_attempt(
                self.driver.arrive(f'a-{session}', session=session)
            )
        self.order()
        for session in sessions:
            dispatch = self.driver.arrive(f'b-{session}', session=session)
            self.assertNotEqual('n1', dispatch.server_id)
            self.driver.finish_attempt(dispatch)

    def test_session_on_the_candidate_stays_there(self):
        self.order()
        self.driver.state.sessions.record_version(
            's', 'v2', self.driver.now_ms
        )
        self.assertEqual('n1', self.driver.arrive('r1', session='s').server_id)

    def test_phases_follow_the_store(self):
        self.order()
        self.driver.tick(12_000)
        self.step('half')
        self.assertAlmostEqual(0.5, self.shares(), delta=0.1)
        self.step('all')
        self.assertEqual(1.0, self.shares(prefix='z'))
        self.step('reverted')
        self.assertEqual(0.0, self.shares(prefix='w'))

    def test_bad_candidate_is_left_at_once_also_without_the_store(self):
        self.order()
        seen = 0
        for n in range(400):
            dispatch = self.driver.arrive(f'r{n}')
            candidate = dispatch.server_id == 'n1'
            seen += candidate
            self.driver.finish_attempt(dispatch, 500 if candidate else 200)
            if self.driver.dispatched():
                self.driver.finish_attempt(self.driver.dispatched())
            if n % 5 == 0:
                self.driver.tick(50)
        self.assertLessEqual(seen, 8)
        track = self.driver.state.rollouts.tracks_by_service['proofs']
        self.assertEqual('reverted', track.phase)

    def test_bad_evidence_of_another_gateway_counts(self):
        self.order()
        other = harness.GatewayDriver('edge-2').start()
        other.tick(10_000)
        track = self.driver.state.rollouts.tracks_by_service['proofs']
        other.state.rollouts.apply_order(track.order, other.now_ms, True)
        bad = other.state.rollouts.tracks_by_service['proofs'].evidence
        bad.add(candidate_requests=6, candidate_failures=6)
        self.driver.receive_digest_from(other)
        self.driver.tick(50)
        self.assertEqual('reverted', track.phase)
        self.assertEqual(0.0, self.shares())

    def test_good_candidate_is_taken_step_by_step(self):
        self.order()
        phases = []
        track = self.driver.state.rollouts.tracks_by_service['proofs']
        for n in range(600):
            dispatch = self.driver.arrive(f'r{n}')
            self.driver.tick(40)
            self.driver.finish_attempt(dispatch)
            puts = [
                call
                for call in self.driver.store_calls
                if isinstance(call.call, platform.Put)
                and 'rollouts' in call.call.key
            ]
            for call in puts:
                self.driver.store_calls.remove(call)
                self.driver.revision += 1
                self.driver.reduce(
                    core_events.PlatformAnswered(
                        call.op_id,
                        platform.Written(call.call.key, self.driver.revision),
                    )
                )
                phases.append(track.phase)
            if track.final:
                break
        self.assertEqual(['half', 'all', 'complete'], phases)
        elapsed_ms = track.elapsed_ms(self.driver.now_ms)
        self.assertLess(elapsed_ms, track.order.duration_ms)


class StopTest(unittest.TestCase):
    def setUp(self):
        self.driver = harness.GatewayDriver().start()

    def stop(self):
        self.driver.reduce(core_events.StopRequested())

    def test_not_ready_at_once_but_serving_on(self):
        self.assertTrue(self.driver.state.ready)
        self.stop()
        self.assertFalse(self.driver.state.ready)
        self.assertIsNotNone(self.driver.arrive('r1'))

    def test_refuses_what_would_outlast_it_and_says_not_run(self):
        self.stop()
        self.driver.tick(gateway.STOP_ACCEPT_MS + 50)
        self.driver.arrive('r1', 'order')
        self.assertEqual(503, self.driver.refusal().status)
        self.assertEqual('no', errors.problem(self.driver.refusal())['ran'])

    def retry_ms(self, other_stops):
        self.stop()
        self.driver.tick(gateway.STOP_ACCEPT_MS + 50)
        other = harness.GatewayDriver('edge-2').start()
        if other_stops:
            other.reduce(core_events.StopRequested())
        self.driver.receive_digest_from(other)
        self.driver.arrive('r1', 'order')
        return self.driver.refusal().retry_after_ms

    def test_caller_may_go_to_another_gateway_at_once(self):
        self.assertLess(self.retry_ms(other_stops=False), 500)

    def test_caller_waits_for_the_restart_if_all_are_stopping(self):
        self.assertGreater(self.retry_ms(other_stops=True), 2_000)

    def test_serves_to_the_end_what_will_be_over(self):
        self.driver.arrive('r0', 'order')
        self.stop()
        self.driver.tick(gateway.STOP_ACCEPT_MS + 50)
        deadline_ms = self.driver.now_ms + 1_000
        sent = self.driver.arrive('r1', 'order', deadline_ms=deadline_ms)
        self.assertIsNotNone(sent)

    def test_waits_for_what_runs(self):
        dispatch = self.driver.arrive('r1', 'order')
        self.stop()
        for _ in range(20):
            self.driver.tick(200)
            self.assertFalse(self.driver.state.exiting)
        self.driver.finish_attempt(dispatch)
        self.driver.tick(50)
        self.assertTrue(self.driver.state.exiting)

    def test_ends_in_time_whatever_runs(self):
        self.driver.arrive('r1', 'order')
        self.stop()
        stop_ms = self.driver.state.options.stop_ms
        while not self.driver.state.exiting:
            self.driver.tick(50)
        self.assertLess(self.driver.now_ms - harness.START_MS, stop_ms)
