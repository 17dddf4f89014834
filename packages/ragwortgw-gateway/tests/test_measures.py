import unittest

from ragwortgw_gateway import events
from ragwortgw_gateway import gauges
from ragwortgw_gateway import options
from tests import harness


class MeasuresTest(unittest.TestCase):
    def setUp(self):
        self.driver = harness.GatewayDriver().start()

    def read(self):
        return {
            (each.metric, *(value for _, value in each.labels)): each.value
            for each in gauges.collect(self.driver.state, self.driver.now_ms)
        }

    def test_beliefs_and_their_age(self):
        before = self.read()
        self.driver.store_unreachable = True
        self.driver.tick(700)
        after = self.read()
        self.assertEqual(1.0, after['gateway_ready',])
        self.assertEqual(1.0, after['gateway_configuration_version',])
        age_ms = after['gateway_store_age_ms',]
        self.assertEqual(before['gateway_store_age_ms',] + 700, age_ms)
        self.assertEqual(0.0, after['gateway_peers',])

    def test_requests_by_rank(self):
        self.driver.arrive('r1')
        figures = self.read()
        self.assertEqual(1.0, figures['gateway_requests_active', '1'])
        self.assertNotIn(('gateway_requests_waiting', '1'), figures)

    def test_request_that_waits_for_a_server(self):
        first = self.driver.arrive('r1', 'draft')
        self.driver.break_attempt(first, 'refused', 'no')
        second = self.driver.dispatched()
        self.driver.break_attempt(second, 'refused', 'no')
        self.driver.now_ms += 40
        figures = self.read()
        self.assertEqual(1.0, figures['gateway_requests_waiting', '1'])
        self.assertEqual(40.0, figures['gateway_oldest_waiting_ms', '1'])

    def test_what_is_believed_of_servers(self):
        sent = self.driver.arrive('r1')
        self.driver.reduce(events.ServersHeard((sent.server_id,)))
        self.driver.now_ms += 250
        figures = self.read()
        key = 'gateway_server_heard_age_ms'
        self.assertEqual(
            250.0, figures[key, sent.server_id, 'proofs', 'serving']
        )
        self.assertEqual(
            1.0, figures['gateway_server_running', sent.server_id]
        )
        (other,) = {'s1', 's2'} - {sent.server_id}
        self.assertEqual(-1.0, figures[key, other, 'proofs', 'serving'])
        self.driver.break_attempt(sent, 'refused', 'no')
        self.assertIn(
            (key, sent.server_id, 'proofs', 'suspended'), self.read()
        )

    def test_budget_falls_with_each_repeat(self):
        sent = self.driver.arrive('r1')
        before = self.read()['gateway_retry_budget_left', 'proofs']
        self.driver.break_attempt(sent)
        after = self.read()['gateway_retry_budget_left', 'proofs']
        self.assertEqual(before - 1, after)


class ReloadTest(unittest.TestCase):
    def reload(self, driver, **changes):
        limits = options.Options(**changes)
        return driver.reduce(
            events.SettingsReloaded(limits, ('one',), ('two',))
        )

    def test_limits_of_retries_change_at_once(self):
        driver = harness.GatewayDriver().start()
        driver.arrive('r1')
        self.reload(driver, retry_ratio=0.0, retry_slack=0.0)
        driver.break_attempt(driver.arrive('r2'))
        self.assertIsNone(driver.dispatched())
        self.reload(driver, retry_ratio=1.0, retry_slack=50.0)
        driver.break_attempt(driver.arrive('r3'))
        self.assertIsNotNone(driver.dispatched())

    def test_time_of_a_stop_stays(self):
        driver = harness.GatewayDriver().start()
        self.reload(driver, stop_ms=50, retry_window_ms=5)
        self.assertEqual(8_000, driver.state.options.stop_ms)
        self.assertEqual(10_000, driver.state.options.retry_window_ms)

    def test_line_tells_what_needs_a_restart(self):
        driver = harness.GatewayDriver().start()
        self.reload(driver)
        (fields,) = driver.logged_fields('settings-reloaded')
        self.assertEqual(['one'], fields['changed'])
        self.assertEqual(['two'], fields['needs_restart'])

    def test_faulty_settings_change_nothing(self):
        driver = harness.GatewayDriver().start()
        before = driver.state.options
        driver.reduce(events.SettingsRefused(('zone: is missing',)))
        (fields,) = driver.logged_fields('settings-refused')
        self.assertEqual(['zone: is missing'], fields['faults'])
        self.assertEqual(before, driver.state.options)
