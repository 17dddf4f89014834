"""Tests of backend servers that send bytes without end.

The servers send until the other side closes the connection.
"""

import asyncio

from ragwortgw_gateway import events
from ragwortgw_server import backend_calls
from tests import attempt_case
from tests import support

#: Bytes of one answer that a gateway may read before it gives up.
MAX_READ_BYTES = 16 * 1024 * 1024
#: Time in which an answer that can't become whole has to be given up.
PROMPT_S = 8
PIECE = b'x' * 65_536
CHUNK = b'10000\r\n' + PIECE + b'\r\n'
STREAM = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
REFUSAL = b'HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n'
FOREIGN = b'HTTP/1.1 200 OK\r\nId: another\r\n\r\n'


class EndlessServer:
    """Sends a start and then the same bytes until its caller closes."""

    def __init__(self, start, repeated, pause_s=0.0):
        self.start = start
        self.repeated = repeated
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.closed = asyncio.Event()
        self.address = ''

    async def open(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        support.close_later(server)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def _serve(self, reader, writer):
        support.close_later(writer)
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.start)
            while not reader.at_eof() and self.sent_bytes < 2 * MAX_READ_BYTES:
                writer.write(self.repeated)
                self.sent_bytes += len(self.repeated)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        except (EOFError, OSError):
            pass
        self.closed.set()


class EndlessAnswerTest(attempt_case.AttemptCase):
    def play(self, server, streaming=False):
        """Sends one attempt to a server and waits for its end.

        Returns: The last event of the attempt.
        """

        async def scenario():
            await server.open()
            self.dispatch(server.address, streaming=streaming)
            async with asyncio.timeout(PROMPT_S):
                await support.until(self.ended)
                await server.closed.wait()

        self.run_on_loop(scenario())
        self.assertLess(server.sent_bytes, MAX_READ_BYTES)
        return self.events[-1]

    def check_given_up(self, server, streaming=False):
        ended = self.play(server, streaming)
        self.assertIsInstance(ended, events.AttemptBroke)
        self.assertEqual('garbled', ended.reason)

    def test_bytes_without_a_status_line(self):
        self.check_given_up(EndlessServer(b'', b'\0' * 4_096))

    def test_head_without_an_end(self):
        start = b'HTTP/1.1 200 OK\r\n'
        self.check_given_up(EndlessServer(start, b'X-Y: z\r\n' * 64))

    def test_interim_heads_without_an_answer(self):
        interim = b'HTTP/1.1 102 Processing\r\n\r\n'
        self.check_given_up(EndlessServer(b'', interim * 64))

    def test_body_without_a_length(self):
        start = b'HTTP/1.1 200 OK\r\n\r\n'
        self.check_given_up(EndlessServer(start, PIECE))

    def test_body_in_chunks(self):
        start = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        self.check_given_up(EndlessServer(start, CHUNK))

    def test_failure_without_an_end(self):
        start = b'HTTP/1.1 500 Error\r\n\r\n'
        self.check_given_up(EndlessServer(start, PIECE))

    def test_stream_without_an_event(self):
        self.check_given_up(EndlessServer(STREAM, PIECE), True)

    def test_stream_of_comments(self):
        self.check_given_up(EndlessServer(STREAM, b':\n' * 4_096), True)

    def test_answer_to_another_request(self):
        self.check_given_up(EndlessServer(FOREIGN, PIECE))

    def test_answers_to_other_requests(self):
        one = b'HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok'
        self.check_given_up(EndlessServer(b'', one * 64))

    def test_refusal_is_taken_without_its_end(self):
        ended = self.play(EndlessServer(REFUSAL, PIECE))
        self.assertEqual(events.AttemptRefused('r.1', False), ended)

    def test_refusal_is_taken_although_its_body_hardly_comes(self):
        ended = self.play(EndlessServer(REFUSAL, b'x', 0.02))
        self.assertEqual(events.AttemptRefused('r.1', False), ended)

    def test_many_endless_answers_take_bounded_memory(self):
        servers = [
            EndlessServer(b'HTTP/1.1 200 OK\r\n\r\n', PIECE, 0.001)
            for _ in range(24)
        ]
        most_bytes = 0

        async def scenario():
            nonlocal most_bytes
            for number, server in enumerate(servers):
                await server.open()
                self.dispatch(server.address, f'r.{number}')
            async with asyncio.timeout(support.LIMIT_S):
                while not all(server.closed.is_set() for server in servers):
                    most_bytes = max(most_bytes, self.calls.held_bytes)
                    await asyncio.sleep(0)

        self.run_on_loop(scenario())
        self.assertGreater(most_bytes, 0)
        self.assertLessEqual(most_bytes, backend_calls.MAX_HELD_BYTES)
        broken = [
            each.reason
            for each in self.events
            if isinstance(each, events.AttemptBroke)
        ]
        self.assertEqual(['garbled'] * len(servers), broken)
