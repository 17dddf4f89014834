"""Tests of planned stops on a simulated clock."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from ragwortgw_core import effects as core_effects
from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import gateway
from ragwortgw_gateway import stopping
from tests import harness

STOP_MS = 8_000
TICK_MS = 50
#: When a stop of STOP_MS ends whatever callers do.
END_MS = STOP_MS - stopping.EXIT_MARGIN_MS


class PlannedStopTest(unittest.TestCase):
    def setUp(self):
        self.stop = stopping.PlannedStop()
        self.now_ms = 1_000_000

    def advance(self, elapsed_ms, reading=0, unflushed=0, in_progress=0):
        self.now_ms += elapsed_ms
        self.stop.callers = events.CallersObserved(reading, unflushed)
        return self.stop.advance(self.now_ms, in_progress)

    def test_gateway_that_runs_does_not_end(self):
        self.assertEqual(stopping.Due(), self.advance(99_000))

    def test_steps_in_order(self):
        self.stop.begin(self.now_ms, STOP_MS)
        self.assertEqual(stopping.Due(), self.advance(0))
        due = self.advance(stopping.CLOSE_IDLE_MS)
        self.assertEqual(stopping.Due(close_idle=True), due)
        due = self.advance(stopping.STOP_ACCEPT_MS - stopping.CLOSE_IDLE_MS)
        self.assertEqual(stopping.Due(close_listener=True), due)
        self.assertEqual(stopping.Due(), self.advance(TICK_MS, unflushed=1))
        self.assertEqual(stopping.Due(exit=True), self.advance(TICK_MS))
        self.assertEqual(stopping.Due(), self.advance(TICK_MS))

    def test_second_request_to_stop_moves_no_deadline(self):
        self.stop.begin(self.now_ms, STOP_MS)
        deadline_ms = self.stop.end_deadline_ms
        self.stop.begin(self.now_ms + 1_000, STOP_MS)
        self.assertEqual(deadline_ms, self.stop.end_deadline_ms)

    def test_time_is_up_whatever_callers_do(self):
        self.stop.begin(self.now_ms, STOP_MS)
        self.advance(stopping.STOP_ACCEPT_MS, 1, 1, 1)
        due = self.advance(
            STOP_MS - stopping.STOP_RESERVE_MS - stopping.STOP_ACCEPT_MS,
            1,
            1,
            1,
        )
        self.assertEqual(
            stopping.Due(end_requests=True, close_listener=True), due
        )
        reserve_ms = END_MS - STOP_MS + stopping.STOP_RESERVE_MS
        due = self.advance(reserve_ms - 1, unflushed=1)
        self.assertEqual(stopping.Due(), due)
        due = self.advance(1, unflushed=1)
        self.assertEqual(stopping.Due(exit=True), due)

    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 2_000),
                strategies.integers(0, 1),
                strategies.integers(0, 1),
                strategies.integers(0, 1),
            ),
            min_size=20,
            max_size=60,
        )
    )
    def test_nothing_is_cut_before_the_time_is_up(self, turns):
        self.setUp()
        began_ms = self.now_ms
        self.stop.begin(began_ms, STOP_MS)
        for elapsed_ms, reading, unflushed, in_progress in turns:
            closed = self.stop.phase == 'flushing'
            if closed:
                # Nothing new can come then.
                reading = in_progress = 0
            due = self.advance(elapsed_ms, reading, unflushed, in_progress)
            time_ms = self.now_ms - began_ms
            if due.close_listener and (reading or in_progress):
                self.assertTrue(due.end_requests)
            if due.end_requests:
                left_ms = STOP_MS - stopping.STOP_RESERVE_MS
                self.assertGreaterEqual(time_ms, left_ms)
            if due.exit:
                self.assertTrue(closed)
                self.assertTrue(not unflushed or time_ms >= END_MS)
            if time_ms >= 2 * STOP_MS + max(each[0] for each in turns):
                self.assertEqual('ended', self.stop.phase)


class StoppingGatewayTest(unittest.TestCase):
    """Every order of what can come while a gateway stops."""

    def setUp(self):
        self.gateway = harness.GatewayDriver().start(servers=('s1',))
        self.left = False

    def observe(self, reading=0, unflushed=0):
        self.gateway.reduce(events.CallersObserved(reading, unflushed))
        effects_of_tick = self.gateway.tick(TICK_MS)
        return {type(each) for each in effects_of_tick}

    def begin(self):
        self.gateway.reduce(core_events.StopRequested())
        for _ in range(stopping.STOP_ACCEPT_MS // TICK_MS + 1):
            kinds = self.observe(reading=1)
            self.assertNotIn(effects.CloseListener, kinds)

    def become_whole(self):
        """The last byte of a slow body arrives."""
        self.dispatch = self.gateway.arrive(
            'r1', 'order', deadline_ms=self.gateway.now_ms + 1_500
        )
        self.assertIsNotNone(self.dispatch)

    def answer(self):
        self.gateway.finish_attempt(self.dispatch)

    def leave(self):
        """Another caller closes its connection."""
        self.gateway.reduce(events.CallerLeft('r9'))

    def stop_again(self):
        self.gateway.reduce(core_events.StopRequested())

    def reload(self):
        options = self.gateway.state.options._replace(stop_ms=100)
        self.gateway.reduce(events.SettingsReloaded(options, (), ()))

    def lose_store(self):
        if self.gateway.has_pending_call(platform.WatchPrefix):
            self.gateway.answer(
                platform.WatchPrefix, platform.Unavailable(False)
            )

    def test_request_that_becomes_whole_gets_its_answer_in_every_order(self):
        steps = (
            self.become_whole,
            self.answer,
            self.leave,
            self.stop_again,
            self.reload,
            self.lose_store,
        )
        for order in itertools.permutations(steps):
            if order.index(self.answer) < order.index(self.become_whole):
                continue
            names = [step.__name__ for step in order]
            with self.subTest(names):
                self.check(order)

    def check(self, order):
        self.setUp()
        self.begin()
        reading = 1
        for step in order:
            step()
            if step == self.become_whole:
                reading = 0
            answered = self.gateway.effects_of(effects.Respond)
            kinds = self.observe(reading, 1)
            self.assertNotIn(core_effects.Exit, kinds)
            if step == self.answer:
                self.assertEqual(1, len(answered))
            elif order.index(step) < order.index(self.answer):
                self.assertNotIn(effects.CloseListener, kinds)
        self.observe(unflushed=1)
        self.assertEqual('flushing', self.gateway.state.stop.phase)
        self.assertNotIn(core_effects.Exit, self.observe(unflushed=1))
        self.assertIn(core_effects.Exit, self.observe())


class LateRequestTest(unittest.TestCase):
    """Requests that come while a gateway stops, and servers that hang.

    A gateway of another system took requests late in a stop and passed them
    on; at its end they were cut with no answer.
    """

    def play(self, stop_ms, arrivals, configured=True, unflushed=0):
        """Plays a stop.

        Args:
          stop_ms: Time after which the process is killed.
          arrivals: Time after the start of the stop, route and time limit of
            each request.
          configured: Whether the gateway has a configuration.
          unflushed: Callers that don't take their answers.
        Returns: When each request was ended, by id, and when the process;
          times after the start of the stop. A cut stream is ended as well.
        """
        options = gateway.Options(stop_ms=stop_ms)
        driver = harness.GatewayDriver(options=options)
        if configured:
            driver.start(servers=('s1', 's2'))
        else:
            driver.tick()
        began_ms = driver.now_ms
        driver.reduce(core_events.StopRequested())
        waiting = sorted(enumerate(arrivals), key=lambda each: each[1][0])
        ended_ms_by_id = {}
        while True:
            elapsed_ms = driver.now_ms - began_ms
            outputs = []
            while waiting and waiting[0][1][0] <= elapsed_ms:
                number, (_, route_id, limit_ms) = waiting.pop(0)
                driver.arrive(
                    str(number),
                    route_id,
                    deadline_ms=driver.now_ms + limit_ms,
                )
                outputs += driver.effects
            # Bodies of those that have not come are on their way.
            callers = events.CallersObserved(len(waiting), unflushed)
            outputs += driver.reduce(callers)
            outputs += driver.tick()
            for each in outputs:
                if isinstance(each, effects.Refuse | effects.CutStream):
                    ended_ms_by_id[each.request_id] = elapsed_ms
                if isinstance(each, core_effects.Exit):
                    return ended_ms_by_id, elapsed_ms
            self.assertLess(elapsed_ms, 2 * stop_ms)
            driver.now_ms += TICK_MS

    def check(self, stop_ms, arrivals, **options):
        """Checks that each request that came is answered in time."""
        ended_ms_by_id, exit_ms = self.play(stop_ms, arrivals, **options)
        for number, (at_ms, _, limit_ms) in enumerate(arrivals):
            if at_ms > exit_ms - TICK_MS:
                continue
            self.assertIn(str(number), ended_ms_by_id)
            ended_ms = ended_ms_by_id[str(number)]
            at_once = ended_ms <= at_ms + TICK_MS
            in_time = ended_ms >= at_ms + limit_ms
            # Only a request that came early may be ended by the stop.
            late_ms = min(stopping.STOP_ACCEPT_MS, stop_ms)
            if at_ms > late_ms:
                self.assertTrue(at_once or in_time, (at_ms, ended_ms))
            elif not (at_once or in_time):
                self.assertGreaterEqual(ended_ms, stop_ms * 5 / 6)
        self.assertLess(exit_ms, stop_ms)

    def test_request_that_comes_after_the_work_ended_is_refused(self):
        for stop_ms in (600, 1_000, 2_000, 3_000):
            at_ms = stop_ms * 9 // 10
            with self.subTest(stop_ms):
                self.check(stop_ms, [(at_ms, 'order', 9_000)], unflushed=1)

    def test_request_that_waits_for_the_configuration_is_refused(self):
        arrivals = [(10, 'order', 9_000), (300, 'status', 9_000)]
        self.check(800, arrivals, configured=False)

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(
        strategies.integers(600, 12_000),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 12_000),
                strategies.sampled_from(('order', 'status', 'draft')),
                strategies.integers(1, 11_000),
            ),
            max_size=12,
        ),
    )
    def test_each_request_is_answered_before_the_process_ends(
        self, stop_ms, arrivals
    ):
        self.check(stop_ms, arrivals)
