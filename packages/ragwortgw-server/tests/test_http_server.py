"""Tests of the HTTP server against bad callers."""

import asyncio
import gzip
import json
import ssl
import tempfile
from unittest import mock

from ragwortgw_server import http_parsing
from ragwortgw_server import http_server
from ragwortgw_server import tls
from tests import support

GET = b'GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n'
CLOSE = b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
POST = b'POST / HTTP/1.1\r\nHost: x\r\n'
LIMITS = http_server.Limits(head_bytes=1000, body_bytes=1000)


def echo(exchange):
    text = f'{exchange.method} {exchange.path}'.encode()
    exchange.respond(200, [('X-Body', str(len(exchange.body)))], text)


class BadRequestTest(support.LoopTest):
    def check_refusal(self, request, slug, limits=LIMITS):
        refused = []
        server = self.serve(echo, limits=limits, on_refused=refused.append)

        async def body():
            answer = await support.exchange(server.address, request)
            await support.until(lambda: server.sessions == 0)
            return answer

        answer = self.run_on_loop(body())
        head, _, text = answer.partition(b'\r\n\r\n')
        problem = json.loads(text)
        self.assertIn(b'application/problem+json', head)
        self.assertIn(b'Connection: close', head)
        self.assertEqual(f'urn:ragwortgw:problem:{slug}', problem['type'])
        self.assertEqual('no', problem['ran'])
        self.assertEqual([slug], [failure.slug for failure in refused])

    def test_malformed_request(self):
        self.check_refusal(b'nonsense\r\n\r\n', 'malformed-request')

    def test_smuggled_length(self):
        request = POST + b'Content-Length: 1\r\nTransfer-Encoding: chunked'
        self.check_refusal(request + b'\r\n\r\n0', 'malformed-request')

    def test_headers_too_large(self):
        request = POST + b'A: ' + b'x' * 1000
        self.check_refusal(request, 'headers-too-large')

    def test_announced_body_too_large(self):
        request = POST + b'Content-Length: 9999\r\n\r\n'
        self.check_refusal(request, 'body-too-large')

    def test_body_too_large_is_answered_although_more_is_sent(self):
        request = POST + b'Content-Length: 400000\r\n\r\n' + b'x' * 400000
        self.check_refusal(request, 'body-too-large')

    def test_chunked_body_too_large(self):
        request = POST + b'Transfer-Encoding: chunked\r\n\r\n'
        chunk = b'1f4\r\n' + b'x' * 500 + b'\r\n'
        self.check_refusal(request + 3 * chunk, 'body-too-large')

    def test_slow_headers(self):
        limits = LIMITS._replace(head_ms=50)
        self.check_refusal(POST, 'header-timeout', limits)

    def test_slow_body(self):
        limits = LIMITS._replace(body_ms=50)
        request = POST + b'Content-Length: 9\r\n\r\nabc'
        self.check_refusal(request, 'header-timeout', limits)


class ServerTest(support.LoopTest):
    def test_refused_caller_may_go_on_sending(self):
        server = self.serve(echo, limits=LIMITS)

        async def body():
            reader, writer = await support.connect(server.address)
            writer.write(POST + b'Content-Length: 9999\r\n\r\nabc')
            answer = await reader.read()
            for _ in range(5):
                writer.write(b'x' * 100)
                await writer.drain()
                await asyncio.sleep(0.01)
            return answer

        self.assertIn(b'body-too-large', self.run_on_loop(body()))

    def test_requests_on_one_connection(self):
        server = self.serve(echo)

        async def body():
            reader, writer = await support.connect(server.address)
            for _ in range(3):
                writer.write(b'\r\n' + GET)
                await support.read_head(reader)
                self.assertEqual(b'GET /a', await reader.readexactly(6))
            writer.write(CLOSE)
            self.assertIn(b'Connection: close', await reader.read())

        self.run_on_loop(body())

    def test_pipelined_request_is_refused_after_the_answer(self):
        held = []
        server = self.serve(held.append)

        async def body():
            reader, writer = await support.connect(server.address)
            writer.write(GET + GET)
            await support.until(lambda: held)
            held[0].respond(200, [], b'first')
            answers = await reader.read()
            return answers

        answers = self.run_on_loop(body())
        self.assertEqual(1, len(held))
        self.assertEqual(2, answers.count(b'HTTP/1.1 '))
        self.assertLess(answers.find(b'first'), answers.find(b'pipelining'))

    def test_request_in_single_bytes(self):
        server = self.serve(echo)
        request = POST + b'Connection: close\r\nTransfer-Encoding: chunked'
        request += b'\r\n\r\n3\r\nabc\r\n0\r\n\r\n'

        async def body():
            reader, writer = await support.connect(server.address)
            for index in range(len(request)):
                writer.write(request[index : index + 1])
                await asyncio.sleep(0)
            return await reader.read()

        self.assertIn(b'X-Body: 3', self.run_on_loop(body()))

    def test_expect_continue(self):
        server = self.serve(echo)
        head = POST + b'Expect: 100-continue\r\nContent-Length: 2\r\n\r\n'

        async def body():
            reader, writer = await support.connect(server.address)
            writer.write(head)
            self.assertIn(b'100 Continue', await support.read_head(reader))
            writer.write(b'ab')
            return await support.read_head(reader)

        self.assertIn(b'X-Body: 2', self.run_on_loop(body()))

    def test_head_has_no_body(self):
        server = self.serve(echo)
        answer = self.run_on_loop(
            support.exchange(server.address, CLOSE.replace(b'GET', b'HEAD'))
        )
        self.assertIn(b'Content-Length: 6', answer)
        self.assertTrue(answer.endswith(b'\r\n\r\n'))

    def test_http_1_0_stream_ends_with_the_connection(self):
        def handle(exchange):
            exchange.start_stream(200, [])
            exchange.write(b'abc')
            exchange.finish()

        server = self.serve(handle)
        answer = self.run_on_loop(
            support.exchange(server.address, b'GET / HTTP/1.0\r\n\r\n')
        )
        self.assertTrue(answer.endswith(b'\r\n\r\nabc'))
        self.assertNotIn(b'chunked', answer)

    def test_failure_of_the_callback_is_answered(self):
        def handle(exchange):
            raise ValueError('wrong')

        server = self.serve(handle)
        with self.assertLogs('ragwortgw_server.http_server', 'ERROR'):
            answer = self.run_on_loop(support.exchange(server.address, CLOSE))
        self.assertIn(b'500 Internal', answer)

    def test_failure_while_reading_ends_only_that_connection(self):
        server = self.serve(echo)

        async def body():
            with mock.patch.object(
                http_parsing,
                'parse_request_head',
                autospec=True,
                side_effect=[ValueError('wrong')],
            ):
                first = await support.exchange(server.address, GET)
            await support.until(lambda: server.sessions == 0)
            return first, await support.exchange(server.address, CLOSE)

        with self.assertLogs('ragwortgw_server.connections', 'ERROR'):
            first, second = self.run_on_loop(body())
        self.assertEqual(b'', first)
        self.assertTrue(second.endswith(b'GET /'))

    def test_caller_gone_is_told_and_leaves_nothing(self):
        held, gone = [], []

        def handle(exchange):
            exchange.on_gone = lambda: gone.append(exchange)
            held.append(exchange)

        server = self.serve(handle)

        async def body():
            _, writer = await support.connect(server.address)
            writer.write(GET)
            _, partial = await support.connect(server.address)
            partial.write(POST + b'Content-Length: 9\r\n\r\nabc')
            await support.until(lambda: held and server.held_body_bytes == 3)
            writer.transport.abort()
            partial.transport.abort()
            await support.until(lambda: gone and server.sessions == 0)
            held[0].respond(200, [], b'late')
            held[0].write(b'late')

        self.run_on_loop(body())
        self.assertEqual((0, 0), (server.active, server.held_body_bytes))
        self.assertEqual(1, len(gone))

    def test_stream_waits_for_a_slow_reader(self):
        piece = b'x' * 65536
        held = []
        server = self.serve(held.append)

        async def body():
            reader, writer = await support.connect(server.address)
            writer.transport.pause_reading()
            writer.write(GET)
            await support.until(lambda: held)
            stream = held[0]
            stream.start_stream(200, [])
            written = 0
            while stream.buffered_bytes <= 65536:
                stream.write(piece)
                written += len(piece)
            waiting = self.loop.spawn(stream.drained())
            await asyncio.sleep(0.02)
            self.assertFalse(waiting.done())
            writer.transport.resume_reading()
            received = asyncio.ensure_future(reader.read())
            await waiting
            stream.finish()
            stream_over = server.active
            writer.write(CLOSE)
            await support.until(lambda: len(held) == 2)
            held[1].respond(200, [], b'')
            return written, stream_over, await received

        written, active, received = self.run_on_loop(body())
        self.assertEqual(0, active)
        self.assertEqual(written, received.count(b'x'))

    def test_stalled_reader_is_cut_and_others_are_served(self):
        held = []
        limits = http_server.Limits(idle_ms=100)
        server = self.serve(held.append, limits=limits)

        async def body():
            _, writer = await support.connect(server.address)
            writer.transport.pause_reading()
            writer.write(GET)
            await support.until(lambda: held)
            held[0].start_stream(200, [])
            held[0].write(b'x' * 20_000_000)
            other = support.exchange(server.address, CLOSE)
            task = asyncio.ensure_future(other)
            await support.until(lambda: len(held) == 2)
            held[1].respond(200, [], b'good')
            answer = await task
            await support.until(lambda: held[0].gone)
            writer.transport.abort()
            return answer

        self.assertTrue(self.run_on_loop(body()).endswith(b'good'))

    def test_drain_finishes_what_is_in_progress(self):
        held = []
        server = self.serve(held.append)

        async def body():
            task = asyncio.ensure_future(support.exchange(server.address, GET))
            await support.until(lambda: held)
            address = server.address
            server.drain()
            with self.assertRaises(OSError):
                await support.connect(address)
            held[0].respond(200, [], b'whole')
            await server.wait_idle()
            return await task

        answer = self.run_on_loop(body())
        self.assertTrue(answer.endswith(b'whole'))
        self.assertIn(b'Connection: close', answer)

    def test_flush_waits_until_a_slow_reader_has_the_answer(self):
        held = []
        server = self.serve(held.append)

        async def body():
            reader, writer = await support.connect(server.address)
            writer.transport.pause_reading()
            writer.write(CLOSE)
            await support.until(lambda: held)
            server.drain()
            held[0].respond(200, [], b'x' * 20_000_000)
            flushed = asyncio.ensure_future(server.wait_flushed())
            await server.wait_idle()
            await asyncio.sleep(0.02)
            self.assertFalse(flushed.done())
            writer.transport.resume_reading()
            received = asyncio.ensure_future(reader.read())
            await flushed
            server.shut()
            return await received

        received = self.run_on_loop(body())
        self.assertEqual(20_000_000, received.count(b'x'))

    def test_flush_waits_for_a_request_that_is_being_read(self):
        held = []
        server = self.serve(held.append)

        async def body():
            reader, writer = await support.connect(server.address)
            writer.write(b'POST / HTTP/1.1\r\nHost: x\r\n')
            await support.until(lambda: server.reading)
            server.drain()
            server.close_idle()
            flushed = asyncio.ensure_future(server.wait_flushed())
            await asyncio.sleep(0.05)
            self.assertFalse(flushed.done())
            writer.write(b'Content-Length: 2\r\n\r\nhi')
            await support.until(lambda: held)
            await asyncio.sleep(0.05)
            self.assertFalse(flushed.done())
            held[0].respond(200, [], b'whole')
            received = await reader.read()
            writer.close()
            await flushed
            return received

        self.assertTrue(self.run_on_loop(body()).endswith(b'whole'))

    def test_line_ends_in_header_values_are_replaced(self):
        def handle(exchange):
            exchange.respond(200, [('A', 'b\r\nC: d')], b'')

        server = self.serve(handle)
        answer = self.run_on_loop(support.exchange(server.address, CLOSE))
        self.assertIn(b'A: b  C: d\r\n', answer)

    def test_idle_connection_makes_room_for_a_new_one(self):
        server = self.serve(echo, limits=http_server.Limits(connections=1))

        async def body():
            first, writer = await support.connect(server.address)
            writer.write(GET)
            await support.read_head(first)
            answer = await support.exchange(server.address, CLOSE)
            self.assertTrue(answer.endswith(b'GET /'))
            await first.read()

        self.run_on_loop(body())

    def test_connection_beyond_the_limit_is_refused(self):
        held = []
        limits = http_server.Limits(connections=1)
        server = self.serve(held.append, limits=limits)

        async def body():
            _, writer = await support.connect(server.address)
            writer.write(GET)
            await support.until(lambda: held)
            second, _ = await support.connect(server.address)
            return await second.read()

        self.assertIn(b'problem:overloaded', self.run_on_loop(body()))

    def test_bodies_together_are_bounded(self):
        limits = http_server.Limits(total_body_bytes=1000)
        server = self.serve(echo, limits=limits)
        head = POST + b'Connection: close\r\nContent-Length: 900\r\n\r\n'
        whole = head + b'x' * 900

        async def body():
            _, writer = await support.connect(server.address)
            writer.write(whole[:-1])
            await support.until(lambda: server.held_body_bytes == 899)
            refused = await support.exchange(server.address, whole)
            writer.write(b'x')
            await support.until(lambda: server.held_body_bytes == 0)
            return refused, await support.exchange(server.address, whole)

        refused, accepted = self.run_on_loop(body())
        self.assertIn(b'problem:overloaded', refused)
        self.assertIn(b'Retry-After: 1\r\n', refused)
        self.assertIn(b'X-Body: 900', accepted)

    def test_body_counts_until_its_request_is_answered(self):
        limits = http_server.Limits(total_body_bytes=1000)
        held = []
        server = self.serve(held.append, limits=limits)
        head = POST + b'Connection: close\r\nContent-Length: 900\r\n\r\n'
        whole = head + b'x' * 900

        async def body():
            _, writer = await support.connect(server.address)
            writer.write(whole)
            await support.until(lambda: held)
            refused = await support.exchange(server.address, whole)
            held[0].respond(200, [], b'')
            self.assertEqual(0, server.held_body_bytes)
            _, leaving = await support.connect(server.address)
            leaving.write(whole)
            await support.until(lambda: len(held) == 2)
            self.assertEqual(900, server.held_body_bytes)
            leaving.close()
            await support.until(lambda: server.held_body_bytes == 0)
            return refused

        self.assertIn(b'problem:overloaded', self.run_on_loop(body()))


class TlsTest(support.LoopTest):
    def test_silent_handshake_holds_nobody_up(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        cert, key = support.write_certificate(directory.name)
        server = self.serve(echo, tls=tls.server_context(cert, key))
        client_tls = ssl.create_default_context(cafile=cert)
        large = gzip.compress(b'x') * 20000

        async def body():
            await support.connect(server.address)
            await support.until(lambda: server.sessions == 1)
            host, port = server.address.split(':')
            reader, writer = await asyncio.open_connection(
                host, int(port), ssl=client_tls
            )
            support.close_later(writer)
            length = f'Content-Length: {len(large)}\r\n\r\n'.encode()
            writer.write(POST + length + large)
            return await support.read_head(reader)

        answer = self.run_on_loop(body())
        self.assertIn(f'X-Body: {len(large)}'.encode(), answer)


class RetireTest(support.LoopTest):
    def test_answers_ask_callers_to_leave_while_listening_goes_on(self):
        server = self.serve(echo)
        server.retire()

        async def body():
            return [
                await support.exchange(server.address, GET) for _ in range(2)
            ]

        for answer in self.run_on_loop(body()):
            self.assertIn(b'200', answer[:20])
            self.assertIn(b'Connection: close', answer)

    def test_request_that_crosses_the_close_is_not_begun(self):
        begun = []

        def note(exchange):
            begun.append(exchange.path)
            echo(exchange)

        server = self.serve(note)

        async def body():
            reader, writer = await support.connect(server.address)
            writer.write(GET)
            await support.read_head(reader)
            await support.until(lambda: server.active == 0)
            server.close_idle()
            writer.write(GET)
            await reader.read()
            await asyncio.sleep(0.05)

        self.run_on_loop(body())
        self.assertEqual(['/a'], begun)

    def test_request_under_way_is_not_closed(self):
        kept = []
        server = self.serve(kept.append)

        async def body():
            reader, writer = await support.connect(server.address)
            writer.write(GET)
            await support.until(lambda: kept)
            server.close_idle()
            echo(kept[0])
            return await support.read_head(reader)

        self.assertIn(b'200', self.run_on_loop(body()))


class RepeatedHeaderTest(support.LoopTest):
    check_refusal = BadRequestTest.check_refusal

    def test_two_lengths(self):
        request = POST + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab'
        self.check_refusal(request, 'malformed-request')

    def test_two_hosts(self):
        request = b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n'
        self.check_refusal(request, 'malformed-request')
