"""Tests of what proves that a backend server did not run an attempt."""

import asyncio
import collections

from ragwortgw_gateway import events
from tests import attempt_case
from tests import support

REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'id: r\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n'
)
ANSWER = b'HTTP/1.1 200 OK\r\nid: r\r\nContent-Length: 4\r\n\r\ndone'


class RefusalProofTest(attempt_case.AttemptCase):
    def play(self, *answers):
        """Has a server answer as many attempts of one request.

        On each connection, it sends its answer once more as soon as the next
        request comes.

        Args:
          answers: Bytes for each attempt, whatever its connection.
        Returns: The last event of each attempt.
        """
        left = collections.deque(answers)
        last_events = []

        async def serve(reader, writer):
            support.close_later(writer)
            copy = b''
            try:
                while True:
                    await reader.readuntil(b'\r\n\r\n')
                    answer = left.popleft()
                    writer.write(copy + answer)
                    copy = answer
            except asyncio.IncompleteReadError:
                writer.close()

        async def scenario():
            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            support.close_later(server)
            host, port = server.sockets[0].getsockname()[:2]
            for number in range(len(answers)):
                self.events.clear()
                self.dispatch(f'{host}:{port}', f'r.{number}')
                await support.until(self.ended)
                last_events.append(self.events[-1])

        self.run_on_loop(scenario())
        return last_events

    def test_late_copy_of_a_refusal_does_not_answer_the_next_attempt(self):
        refused, ended = self.play(REFUSAL, ANSWER)
        self.assertIsInstance(refused, events.AttemptRefused)
        self.assertIsInstance(ended, events.AttemptEnded)

    def test_refusal_that_names_no_request_proves_nothing(self):
        (ended,) = self.play(REFUSAL.replace(b'id: r', b'id: '))
        self.assertNotIsInstance(ended, events.AttemptRefused)

    def test_success_that_says_it_was_not_run_proves_nothing(self):
        (ended,) = self.play(ANSWER.replace(b'id: r', b'id: r\r\nnot-run: 1'))
        self.assertNotIsInstance(ended, events.AttemptRefused)

    def test_head_of_a_torn_refusal_and_an_answer_proves_nothing(self):
        torn = (
            b'HTTP/1.1 503 Service Unavailable\r\n'
            b'not-run: 1\r\nDate: Sat, 05 Dec'
        )
        (ended,) = self.play(torn + ANSWER)
        self.assertIsInstance(ended, events.AttemptBroke)
        self.assertEqual('unknown', ended.ran)

    def test_attempt_at_an_address_that_is_none_was_not_run(self):
        for address in ('127.0.0.1:99999', f'{"x" * 300}:80', ':80'):
            self.events.clear()

            async def scenario():
                self.dispatch(address)
                await support.until(self.ended)

            self.run_on_loop(scenario())
            (broke,) = self.events
            self.assertEqual(('refused', 'no'), (broke.reason, broke.ran))
