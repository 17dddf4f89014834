"""A test of attempts at backend servers, over real connections."""

from unittest import mock

from ragwortgw_gateway import events
from ragwortgw_gateway import requests
from ragwortgw_server import backend_calls
from ragwortgw_server import clock
from tests import support

DEADLINE_MS = 15_000


class Protocol:
    """Headers of a deployment, as short as these tests allow."""

    def request_headers(self, request, dispatch, now_ms):
        return ()

    def read_head(self, head):
        return requests.AnswerHead(
            head.status,
            (),
            head.headers.get('id', 'r'),
            'not-run' in head.headers,
            False,
            None,
            None,
            'content-type' in head.headers,
        )


class AttemptCase(support.LoopTest):
    """Attempts at servers on real connections.

    Attributes:
      events: Events of the attempts.
    """

    def setUp(self):
        super().setUp()
        self.events = []
        self.callers = mock.Mock()
        self.callers.request.return_value = mock.Mock(
            id='r', method='GET', target='/', host='h', body=b''
        )
        self.callers.last_event.return_value = 0
        self.callers.drained = mock.AsyncMock()
        self.calls = backend_calls.BackendCalls(
            self.loop, Protocol(), self.callers, self._on_event
        )
        self.addCleanup(self.calls.close)

    def _on_event(self, event):
        if not isinstance(event, events.AnswerJudged):
            self.events.append(event)

    def dispatch(self, address, attempt_id='r.1', streaming=False):
        """Sends an attempt to the server at 'ip:port'."""
        self.calls.send(
            requests.Dispatch(
                attempt_id,
                'r',
                f's {address}',
                address,
                4,
                '',
                '',
                None,
                '',
                0,
                streaming,
                True,
                clock.now_ms() + DEADLINE_MS,
            )
        )

    def ended(self):
        """Returns whether an attempt has ended."""
        final = (
            events.AttemptBroke,
            events.AttemptEnded,
            events.AttemptRefused,
        )
        return any(isinstance(each, final) for each in self.events)
