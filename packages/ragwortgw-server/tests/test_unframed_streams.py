"""Tests of streams with neither a length nor chunks."""

import asyncio
import socket
import struct

from ragwortgw_gateway import events
from tests import attempt_case
from tests import support

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
ONE = b'id: 1\ndata: a\n\n'
TWO = b'id: 2\ndata: b\n\n'


class UnframedStreamTest(attempt_case.AttemptCase):
    def play(self, body, reset=False, streaming=True):
        """Has a server answer with a head and a body, and close.

        Args:
          body: What it sends before it closes.
          reset: Whether it resets the connection.
          streaming: Whether the route is one of streams.
        Returns: The last event of the attempt.
        """

        async def serve(reader, writer):
            support.close_later(writer)
            await reader.readuntil(b'\r\n\r\n')
            writer.write(HEAD + body)
            await writer.drain()
            if reset:
                await support.until(lambda: self.events)
                linger = struct.pack('ii', 1, 0)
                sock = writer.get_extra_info('socket')
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

        async def scenario():
            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            support.close_later(server)
            host, port = server.sockets[0].getsockname()[:2]
            self.dispatch(f'{host}:{port}', streaming=streaming)
            await support.until(self.ended)

        self.run_on_loop(scenario())
        return self.events[-1]

    def check_cut(self, ended):
        self.assertIsInstance(ended, events.AttemptBroke)
        self.assertEqual('reset', ended.reason)

    def test_stream_that_ends_after_an_event_is_whole(self):
        ended = self.play(ONE + TWO)
        self.assertIsInstance(ended, events.AttemptEnded)
        self.assertEqual(2, ended.events)

    def test_stream_that_ends_inside_an_event_was_cut(self):
        self.check_cut(self.play(ONE + TWO[:-1]))

    def test_stream_that_ends_before_its_first_event_was_cut(self):
        self.check_cut(self.play(b''))

    def test_stream_that_is_reset_after_an_event_was_cut(self):
        self.check_cut(self.play(ONE + TWO, reset=True))

    def test_events_of_a_plain_service_are_a_body_like_others(self):
        # Its callers got 502, though the answer was whole.
        for body in (b'data: a\n\n', ONE + TWO, b'id: 7\nda', b''):
            with self.subTest(body):
                self.events.clear()
                ended = self.play(body, streaming=False)
                self.assertIsInstance(ended, events.AttemptEnded)
                self.assertEqual(body, ended.answer.body)

    def test_events_of_a_plain_service_that_are_reset_were_cut(self):
        self.check_cut(self.play(ONE, reset=True, streaming=False))
