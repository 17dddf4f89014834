"""Tests of answers that end before they are whole, on both sides."""

import asyncio
import socket
import struct

from ragwortgw_gateway import events
from ragwortgw_server import http_client
from tests import attempt_case
from tests import fakes_runner
from tests import support

INTERIM = b'HTTP/1.1 102 Processing\r\nA: b\r\n\r\n'
PLAIN = b'HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\nId: r\r\nConnection: close\r\n\r\n'
STREAM = (
    b'HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
RESET = struct.pack('ii', 1, 0)


class TearingServer:
    """Answers the last request of a connection with a part of a head.

    Args:
      part: What it sends before it closes.
      reset: Whether it resets the connection.
      earlier: Whole answers to the requests before, one for each.
    """

    def __init__(self, part, reset=False, earlier=()):
        self._answers = (*earlier, part)
        self._reset = reset
        self.address = ''

    async def open(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        support.close_later(server)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def _serve(self, reader, writer):
        support.close_later(writer)
        for answer in self._answers:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer)
            await writer.drain()
        if self._reset:
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.close()


class TornHeadTest(attempt_case.AttemptCase):
    """A server that stops inside the head of its answer and closes.

    Callers of another system got 200 with an empty body, framed as whole.
    """

    def check(self, part, **options):
        """Plays one attempt; nothing of it may reach the caller."""
        server = TearingServer(part, **options)
        self.events.clear()
        self.callers.reset_mock()

        async def scenario():
            await server.open()
            self.dispatch(server.address, streaming=b'event-stream' in part)
            await support.until(self.ended)

        self.run_on_loop(scenario())
        self.assertEqual(
            [events.AttemptBroke('r.1', 'reset', 'unknown', 0)], self.events
        )
        self.callers.begin_stream.assert_not_called()
        self.callers.write.assert_not_called()

    def test_no_part_of_a_head_is_an_answer(self):
        for head in (PLAIN, UNFRAMED, STREAM):
            for cut in range(len(head)):
                for reset in (False, True):
                    with self.subTest(head=head, cut=cut, reset=reset):
                        self.check(head[:cut], reset=reset)

    def test_no_part_of_a_head_after_an_interim_one_is_an_answer(self):
        for cut in range(len(UNFRAMED)):
            with self.subTest(cut):
                self.check(INTERIM + UNFRAMED[:cut])

    def test_answer_shorter_than_its_length_or_chunks_is_none(self):
        for part in (
            PLAIN,
            PLAIN + b'o',
            STREAM,
            STREAM + b'5',
            STREAM + b'5\r\nid: ',
            STREAM + b'0\r\n',
        ):
            with self.subTest(part):
                server = TearingServer(part)
                self.events.clear()

                async def scenario():
                    await server.open()
                    self.dispatch(
                        server.address, streaming=b'event-stream' in part
                    )
                    await support.until(self.ended)

                self.run_on_loop(scenario())
                ended = self.events[-1]
                self.assertIsInstance(ended, events.AttemptBroke)
                self.assertEqual('reset', ended.reason)

    def test_no_part_of_a_head_on_a_kept_connection_is_an_answer(self):
        whole = PLAIN + b'ok'
        for cut in range(len(UNFRAMED)):
            server = TearingServer(UNFRAMED[:cut], earlier=(whole,))

            async def scenario():
                await server.open()
                with http_client.open_http_client(self.loop) as client:
                    return [
                        await client.request(
                            'POST',
                            server.address,
                            '/',
                            {},
                            b'',
                            fakes_runner.deadline_ms(),
                        )
                        for _ in range(2)
                    ]

            with self.subTest(cut):
                first, second = self.run_on_loop(scenario())
                self.assertEqual(b'ok', first.unwrap().body)
                failure = second.failure()
                self.assertEqual(('reset', True), tuple(failure))


class UnframedAnswerTest(support.LoopTest):
    """Callers of HTTP/1.0, for whom a stream ends with the connection.

    A stream that was broken off looked whole: the connection was closed in
    order.
    """

    REQUEST = b'GET / HTTP/1.0\r\nHost: x\r\n\r\n'

    def play(self, end, pieces=(b'piece',)):
        """Answers with a stream and ends it.

        Args:
          end: Takes the server and the exchange, and ends the answer.
          pieces: What is sent before.
        Returns: What the caller reads; None if the connection is reset.
        """
        exchanges = []
        server = self.serve(exchanges.append)

        async def scenario():
            reader, writer = await support.connect(server.address)
            writer.write(self.REQUEST)
            await support.until(lambda: exchanges)
            exchanges[0].start_stream(200, [])
            for piece in pieces:
                exchanges[0].write(piece)
            await support.read_head(reader)
            end(server, exchanges[0])
            try:
                return await reader.read()
            except ConnectionResetError:
                return None

        return self.run_on_loop(scenario())

    def test_whole_stream_ends_in_order(self):
        ended = self.play(lambda server, exchange: exchange.finish())
        self.assertEqual(b'piece', ended)

    def test_long_stream_is_whole(self):
        pieces = [b'x' * 100_000] * 20
        ended = self.play(lambda server, exchange: exchange.finish(), pieces)
        self.assertEqual(2_000_000, len(ended))

    def test_stream_that_is_cut_is_reset(self):
        ended = self.play(lambda server, exchange: exchange.abort())
        self.assertIsNone(ended)

    def test_stream_at_the_end_of_the_process_is_reset(self):
        self.assertIsNone(self.play(lambda server, exchange: server.shut()))

    def test_end_of_a_stream_that_is_not_sent_yet_is_reset(self):
        def finish_and_shut(server, exchange):
            exchange.finish()
            server.shut()

        # More than the kernel takes at once from a caller that does not read.
        pieces = [b'x' * 1_000_000] * 40
        self.assertIsNone(self.play(finish_and_shut, pieces))

    def test_answer_with_a_length_needs_no_reset(self):
        def handle(exchange):
            exchange.respond(200, [], b'whole')

        server = self.serve(handle)
        answer = self.run_on_loop(
            support.exchange(server.address, self.REQUEST)
        )
        self.assertTrue(answer.endswith(b'whole'))
