"""Plays prompts that come at many gateways before the same servers.

Load it answers: each gateway sees a fraction of the requests only. With
what the others told last, all would choose the same idle server.
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
#: Time in which a server reads one of the prompts, and writes the answer.
READ_MS = 600
WRITE_MS = 300
TOKENS = 10_000
#: Prompts come for this long, at this part of what the servers can read.
DURATION_MS = 20_000
LOAD = 0.6


class Play:
    """Gateways, servers that read one prompt after the other, and callers.

    Attributes:
      waits_ms: Times that prompts waited at servers for others.
      refused: Requests that were refused.
    """

    def __init__(self, notes):
        self.notes = notes
        self.random = random.Random(7)
        self.now_ms = harness.START_MS
        self.pending = []
        self.numbers = itertools.count()
        self.free_ms_by_server = {}
        self.waits_ms = []
        self.refused = 0
        servers = tuple(f's{n}' for n in range(SERVERS))
        self.drivers = [
            harness.GatewayDriver(f'edge-{n}').start(servers=servers)
            for n in range(GATEWAYS)
        ]

    def remaining(self, delay_ms, action, *arguments):
        due_ms = self.now_ms + delay_ms
        item = (due_ms, next(self.numbers), action, arguments)
        heapq.heappush(self.pending, item)

    def run(self):
        """Plays all requests to their ends."""
        self.remaining(0, self.exchange)
        self.remaining(DIGEST_MS, self.arrive)
        while self.pending:
            self.now_ms, _, action, arguments = heapq.heappop(self.pending)
            for driver in self.drivers:
                driver.now_ms = self.now_ms
            action(*arguments)
        return self

    def exchange(self):
        """Lets each gateway hear all others, as it is sure to in time."""
        for driver in self.drivers:
            for other in self.drivers:
                if other is not driver:
                    driver.receive_digest_from(other)
        if self.now_ms < harness.START_MS + DURATION_MS:
            self.remaining(DIGEST_MS, self.exchange)

    def arrive(self):
        """Lets a request come at some gateway."""
        driver = self.random.choice(self.drivers)
        request_id = f'r{next(self.numbers)}'
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
            gap_ms = READ_MS / SERVERS / LOAD
            self.remaining(
                round(self.random.expovariate(1 / gap_ms)), self.arrive
            )

    def send(self, driver, dispatch):
        free_ms = self.free_ms_by_server.get(dispatch.server_id, 0)
        begin_ms = max(self.now_ms, free_ms)
        self.waits_ms.append(begin_ms - self.now_ms)
        self.free_ms_by_server[dispatch.server_id] = begin_ms + READ_MS
        read_ms = begin_ms + READ_MS - self.now_ms
        self.remaining(read_ms, driver.receive_answer_head, dispatch)
        self.remaining(read_ms + WRITE_MS, driver.finish_attempt, dispatch)


class SharedLoadTest(unittest.TestCase):
    def test_callers_wait_less_where_gateways_tell_what_they_send(self):
        told, untold = Play(notes=True).run(), Play(notes=False).run()
        self.assertEqual((0, 0), (told.refused, untold.refused))
        self.assertEqual(len(told.waits_ms), len(untold.waits_ms))
        self.assertLess(sum(told.waits_ms), 0.25 * sum(untold.waits_ms))
        self.assertLess(max(told.waits_ms), max(untold.waits_ms))
