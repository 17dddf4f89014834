"""Tests that each bill is counted exactly once, also under faults."""

import unittest

import hypothesis
from hypothesis import strategies

from ragwortgw_core import bill_copies
from ragwortgw_core import billing
from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import notices
from ragwortgw_core import requests
from ragwortgw_core import usage_page
from tests import platform_model
from tests import properties

PRICES = requests.Prices(input_micros=100, output_micros=300, call_micros=7)


def bill_of(bill_id, cost_micros=5):
    """Builds a bill."""
    return requests.Bill(
        bill_id, 'savinja', 'm', 'm', 'm@1', 3, 10, 20, cost_micros, 1
    )


def dispatch_of(request_id):
    """Builds a dispatch of a request."""
    return requests.Dispatch(
        attempt_id=f'{request_id}.1',
        request_id=request_id,
        organisation='savinja',
        model='m',
        version='m@1',
        revision=3,
        kind='chat',
        method='POST',
        path='/',
        body=b'',
        stream=False,
        session='',
        idempotency_key='',
        repeatable=True,
        priority='interactive',
        deadline_ms=0,
        fingerprint='f',
        resume_offset=0,
        target='cascade',
        prices=PRICES,
    )


def stored_bills(world):
    """Returns all stored bills, after checking the totals of each page."""
    bills = []
    for key, found in world.platform.values_by_key.items():
        page = usage_page.read_bills(key, found.value)
        content = usage_page.Codec().decode(found.value)
        total = content['totals_by_organisation']['savinja']
        assert total['requests'] == len(page)
        assert total['cost_micros'] == sum(b.cost_micros for b in page)
        bills += page
    return bills


class Entry:
    """A process with a bill buffer."""

    def __init__(self, world, name, capacity=billing.CAPACITY):
        self.name = name
        self.process = world.process(name)
        self.buffer = billing.new_bill_buffer(self.process.calls, capacity)
        self.process.components.append(self.buffer)
        self.sequence = 0

    def bill(self):
        """Builds the next bill of this entry and adds it."""
        bill = bill_of(f'{self.name}-{self.sequence}')
        self.sequence += 1
        self.add(bill)
        return bill

    def add(self, bill):
        """Adds a bill of this or another entry."""
        self.process.do(lambda stamp: self.buffer.add(stamp, bill))

    def counted(self):
        """Returns the ids reported as counted, in order."""
        reports = self.process.emitted_of_type(notices.BillsCounted)
        return [bill_id for report in reports for bill_id in report.bill_ids]


class BillBufferTest(unittest.TestCase):
    def setUp(self):
        self.world = platform_model.World()
        self.entry = Entry(self.world, 'inc')

    def test_bills_of_one_page_share_one_write(self):
        bills = [self.entry.bill() for _ in range(100)]
        self.world.run(2_000)
        self.assertEqual(bills, stored_bills(self.world))
        self.assertEqual(1, len(self.world.platform.writes))
        self.assertEqual([b.id for b in bills], self.entry.counted())

    def test_bill_written_by_two_entries_counts_once(self):
        bill = self.entry.bill()
        other = Entry(self.world, 'other')
        other.add(bill)
        self.world.run(5_000)
        self.assertEqual([bill], stored_bills(self.world))
        self.assertEqual([bill.id], self.entry.counted())
        self.assertEqual([bill.id], other.counted())

    def test_outage_keeps_bills_logs_once_and_refuses_work(self):
        entry = Entry(self.world, 'small', capacity=100)
        self.world.platform.down = True
        for number in range(95):
            if entry.buffer.check() is None:
                entry.bill()
        self.world.run(300_000)
        logged = entry.process.emitted_of_type(effects.LogChange)
        self.assertEqual(['bills pile up'], [e.message for e in logged])
        self.assertEqual(errors.BillingFull(90, 1_000), entry.buffer.check())
        self.world.platform.down = False
        self.world.run(5_000)
        self.assertEqual(90, len(stored_bills(self.world)))
        self.assertIsNone(entry.buffer.check())

    def test_flush_interval_grows_with_entry_count(self):
        self.entry.buffer.set_entry_count(2)
        self.assertEqual(500, self.entry.buffer.flush_interval_ms())
        self.entry.buffer.set_entry_count(360)
        self.assertEqual(3_600, self.entry.buffer.flush_interval_ms())

    def test_malformed_bill_id_is_dropped_without_error(self):
        self.entry.add(bill_of('nosequence'))
        self.assertEqual(0, self.entry.buffer.pending_count())

    def test_flush_writes_without_delay(self):
        self.entry.bill()
        self.entry.process.do(self.entry.buffer.flush)
        self.world.run(20)
        self.assertEqual(0, self.entry.buffer.pending_count())


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((1, 40, 300, 900)),
        strategies.sampled_from(
            ('bill',) * 6 + ('double', 'kill', 'pause', 'outage')
        ),
        strategies.integers(0, 2),
    ),
    min_size=5,
    max_size=40,
)
FAULTS = platform_model.Faults(
    lose_request=0.1, lose_answer=0.15, late=0.2, refuse=0.05
)


class BillFaultsTest(unittest.TestCase):
    @properties.settings(60)
    @hypothesis.given(ACTIONS, strategies.integers(0, 2**32))
    def test_each_bill_counts_once(self, actions, seed):
        world = platform_model.World(seed, FAULTS)
        names = iter('abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOP')
        entries = [Entry(world, next(names)) for _ in range(3)]
        bills_by_entry = {entry.name: [] for entry in entries}
        killed = []
        for gap_ms, kind, index in actions:
            entry = entries[index]
            if kind == 'bill':
                bills_by_entry[entry.name].append(entry.bill())
            elif kind == 'double':
                for bill in bills_by_entry[entry.name]:
                    entries[(index + 1) % 3].add(bill)
            elif kind == 'kill':
                entry.process.alive = False
                killed.append(entry)
                entries[index] = Entry(world, next(names))
                bills_by_entry[entries[index].name] = []
            elif kind == 'pause':
                entry.process.paused_until_ms = world.now_ms + 2_000
            else:
                world.platform.down = not world.platform.down
            world.run(gap_ms)
            self._assert_counted_is_stored(world, entries + killed)
        world.platform.down = False
        for entry in killed:
            for bill in bills_by_entry[entry.name]:
                entries[0].add(bill)
        world.run(60_000)
        world.faults = platform_model.NO_FAULTS
        world.run(15_000)
        expected = sorted(sum(bills_by_entry.values(), []))
        self.assertEqual(expected, sorted(stored_bills(world)))
        for entry in entries:
            self.assertEqual(0, entry.buffer.pending_count())

    def _assert_counted_is_stored(self, world, entries):
        stored = {bill.id for bill in stored_bills(world)}
        for entry in entries:
            self.assertLessEqual(set(entry.counted()), stored)


class BillCopiesTest(unittest.TestCase):
    def setUp(self):
        self.copies = bill_copies.BillCopies(capacity=10)
        self.bill = bill_of('inc-1')

    def at(self, now_ms):
        return events.Stamp(now_ms + 1_000_000, 0)

    def test_copy_is_offered_repeatedly_after_its_entry_is_lost(self):
        self.copies.add_bill(self.at(0), 'e', self.bill)
        self.copies.entry_lost(self.at(0), 'e')
        self.assertEqual([], self.copies.bills_to_offer(self.at(9_000)))
        self.assertEqual(
            [self.bill], self.copies.bills_to_offer(self.at(10_000))
        )
        self.assertEqual([], self.copies.bills_to_offer(self.at(11_000)))
        self.assertEqual(
            [self.bill], self.copies.bills_to_offer(self.at(15_000))
        )
        self.copies.remove_counted(['inc-1'])
        self.assertEqual([], self.copies.bills_to_offer(self.at(60_000)))

    def test_copies_of_reconnected_entry_are_not_offered(self):
        self.copies.add_bill(self.at(0), 'e', self.bill)
        self.copies.entry_lost(self.at(0), 'e')
        self.copies.entry_connected('e')
        self.assertEqual([], self.copies.bills_to_offer(self.at(60_000)))

    def test_receipt_is_priced_and_replaced_by_the_bill(self):
        answer = requests.Answer(
            200, '', b'', {'input_tokens': 1_000, 'output_tokens': 500}
        )
        self.copies.entry_lost(self.at(0), 'e')
        dispatch = dispatch_of('inc-1')
        self.copies.add_receipt(self.at(0), 'e', dispatch, answer)
        (receipt,) = self.copies.bills_to_offer(self.at(20_000))
        self.assertEqual(257, receipt.cost_micros)
        self.assertEqual('cascade', receipt.target)
        self.copies.add_bill(self.at(20_000), 'e', self.bill)
        self.copies.add_receipt(self.at(20_000), 'e', dispatch, answer)
        self.assertEqual(
            [self.bill], self.copies.bills_to_offer(self.at(40_000))
        )

    def test_settled_request_removes_receipts_but_not_bills(self):
        answer = requests.Answer(
            200, '', b'', {'input_tokens': 1, 'output_tokens': 1}
        )
        self.copies.add_receipt(self.at(0), 'e', dispatch_of('inc-2'), answer)
        self.copies.add_bill(self.at(0), 'e', self.bill)
        self.copies.remove_settled(['inc-1', 'inc-2'])
        self.assertEqual(1, len(self.copies))

    def test_copies_are_bounded_with_one_warning(self):
        outputs = []
        for number in range(20):
            bill = bill_of(f'inc-{number}')
            outputs += self.copies.add_bill(self.at(0), 'e', bill)
        self.assertEqual(10, len(self.copies))
        logged = [e for e in outputs if isinstance(e, effects.LogChange)]
        self.assertEqual(1, len(logged))
