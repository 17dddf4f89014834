"""Tests of several gateways that send prompts to the same servers.

Each gateway sees only a fraction of the requests. If they knew of each
other's work only by periodic digests, all would choose the same idle server
between two digests.
"""

import heapq
import itertools
import random
import unittest

from ragwortgw_gateway import effects
from ragwortgw_gateway import requests
from tests import harness

GATEWAYS = 12
SERVERS = 12
DIGEST_MS = 250
#: Time of a server for the prefill of one prompt, and for its answer.
PREFILL_MS = 600
DECODE_MS = 300
TOKENS = 10_000
#: Prompts arrive for this long, at this fraction of the prefill capacity.
DURATION_MS = 20_000
LOAD = 0.6


class Simulation:
    """Simulation of gateways, callers, and servers with a FIFO prefill queue.

    Args:
      notes: Whether gateways send each other a note on each dispatch.

    Attributes:
      waits_ms: Times that prompts waited in the servers' queues.
      refused: Number of requests that were refused.
    """

    def __init__(self, notes):
        self.notes = notes
        self.random = random.Random(7)
        self.now_ms = harness.START_MS
        self.pending = []
        self.sequence = itertools.count()
        self.free_ms_by_server = {}
        self.waits_ms = []
        self.refused = 0
        servers = tuple(f's{n}' for n in range(SERVERS))
        self.drivers = [
            harness.GatewayDriver(f'edge-{n}').start(servers=servers)
            for n in range(GATEWAYS)
        ]

    def schedule(self, delay_ms, action, *arguments):
        due_ms = self.now_ms + delay_ms
        item = (due_ms, next(self.sequence), action, arguments)
        heapq.heappush(self.pending, item)

    def run(self):
        """Runs the simulation until all requests have ended."""
        self.schedule(0, self.exchange_digests)
        self.schedule(DIGEST_MS, self.arrive)
        while self.pending:
            self.now_ms, _, action, arguments = heapq.heappop(self.pending)
            for driver in self.drivers:
                driver.now_ms = self.now_ms
            action(*arguments)
        return self

    def exchange_digests(self):
        """Delivers each gateway's digest to all others, without losses."""
        for driver in self.drivers:
            for other in self.drivers:
                if other is not driver:
                    driver.receive_digest_from(other)
        if self.now_ms < harness.START_MS + DURATION_MS:
            self.schedule(DIGEST_MS, self.exchange_digests)

    def arrive(self):
        """Sends a request to a random gateway."""
        driver = self.random.choice(self.drivers)
        request_id = f'r{next(self.sequence)}'
        prompt = requests.Prompt(
            TOKENS, 100, (requests.PrefixBlock(request_id, TOKENS),)
        )
        dispatch = driver.arrive(
            request_id, 'draft', model='large', prompt=prompt
        )
        notes = driver.effects_of(effects.SendNote)
        if self.notes:
            for note in notes:
                for other in self.drivers:
                    if other is not driver:
                        other.receive_message(note.note)
        if dispatch is None:
            self.refused += 1
        else:
            self.send(driver, dispatch)
        if self.now_ms < harness.START_MS + DURATION_MS:
            gap_ms = PREFILL_MS / SERVERS / LOAD
            self.schedule(
                round(self.random.expovariate(1 / gap_ms)), self.arrive
            )

    def send(self, driver, dispatch):
        free_ms = self.free_ms_by_server.get(dispatch.server_id, 0)
        start_ms = max(self.now_ms, free_ms)
        self.waits_ms.append(start_ms - self.now_ms)
        self.free_ms_by_server[dispatch.server_id] = start_ms + PREFILL_MS
        answer_delay_ms = start_ms + PREFILL_MS - self.now_ms
        self.schedule(answer_delay_ms, driver.receive_answer_head, dispatch)
        self.schedule(
            answer_delay_ms + DECODE_MS, driver.finish_attempt, dispatch
        )


class SharedLoadTest(unittest.TestCase):
    def test_prompts_wait_less_if_gateways_announce_their_dispatches(self):
        with_notes, without_notes = (
            Simulation(notes=True).run(),
            Simulation(notes=False).run(),
        )
        self.assertEqual((0, 0), (with_notes.refused, without_notes.refused))
        self.assertEqual(len(with_notes.waits_ms), len(without_notes.waits_ms))
        self.assertLess(
            sum(with_notes.waits_ms), 0.25 * sum(without_notes.waits_ms)
        )
        self.assertLess(max(with_notes.waits_ms), max(without_notes.waits_ms))
