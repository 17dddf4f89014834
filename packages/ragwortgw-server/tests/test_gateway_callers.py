"""Tests of the answers that callers of a gateway get."""

from unittest import mock

from returns.result import Success

from ragwortgw_core import errors
from ragwortgw_gateway import effects
from ragwortgw_gateway import requests
from ragwortgw_server import event_stream
from ragwortgw_server import gateway_callers
from tests import support

HEAD = requests.AnswerHead(200, (), 'r', False, False, None, None, True)
EVENT = event_stream.RawEvent(b'id: 1\ndata: a\n\n', 1)
REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


class BegunStreamTest(support.LoopTest):
    def read_after(self, end):
        """Has a stream begin; returns what the caller reads to its end.

        Args:
          end: Called with the callers once an event was sent.
        """
        protocol = mock.Mock()
        protocol.read_request.return_value = Success(
            mock.Mock(id='r', resumed_after=0)
        )
        protocol.refusal_headers.return_value = ()

        def on_event(event):
            callers.begin_stream('r', HEAD)
            callers.write('r', EVENT)
            end(callers)

        callers = gateway_callers.GatewayCallers(protocol, on_event)

        async def scenario():
            server = self.serve(callers.handle)
            return await support.exchange(server.address, REQUEST)

        return self.run_on_loop(scenario())

    def check_cut(self, received):
        self.assertTrue(received.endswith(EVENT.raw + b'\r\n'), received)

    def test_whole_answer_cuts_it(self):
        answer = requests.Answer(404, (), b'not found')
        self.check_cut(
            self.read_after(
                lambda callers: callers.respond(effects.Respond('r', answer))
            )
        )

    def test_refusal_cuts_it(self):
        self.check_cut(
            self.read_after(
                lambda callers: callers.refuse('r', errors.Overloaded(100))
            )
        )
