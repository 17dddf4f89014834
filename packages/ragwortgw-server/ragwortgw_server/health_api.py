"""Metrics and health checks over HTTP."""

from collections.abc import Callable

import prometheus_client

from ragwortgw_core import errors
from ragwortgw_server import http_exchange
from ragwortgw_server import metrics

TEXT = 'text/plain; charset=utf-8'


class HealthApi:
    """Answers /metrics, /healthz and /readyz."""

    def __init__(
        self, process_metrics: metrics.Metrics, is_ready: Callable[[], bool]
    ) -> None:
        self._metrics = process_metrics
        self._is_ready = is_ready

    def handle(self, exchange: http_exchange.Exchange) -> None:
        """Answers a request; an unknown path is refused."""
        if not self.offer(exchange):
            exchange.refuse(errors.UnknownPath(exchange.path))

    def offer(self, exchange: http_exchange.Exchange) -> bool:
        """Answers a request if its path is one of these.

        Args:
          exchange: The exchange.
        Returns: Whether it was answered.
        """
        if exchange.path == '/metrics':
            self._answer(
                exchange,
                200,
                prometheus_client.CONTENT_TYPE_LATEST,
                self._metrics.render(),
            )
        elif exchange.path == '/healthz':
            self._answer(exchange, 200, TEXT, b'ok\n')
        elif exchange.path == '/readyz':
            ready = self._is_ready()
            body = b'ready\n' if ready else b'not ready\n'
            self._answer(exchange, 200 if ready else 503, TEXT, body)
        else:
            return False
        return True

    def _answer(
        self,
        exchange: http_exchange.Exchange,
        status: int,
        content_type: str,
        body: bytes,
    ) -> None:
        if exchange.method not in ('GET', 'HEAD'):
            exchange.refuse(errors.MethodNotAllowed(exchange.method))
            return
        exchange.respond(status, [('Content-Type', content_type)], body)


def new_health_api(
    process_metrics: metrics.Metrics, is_ready: Callable[[], bool]
) -> HealthApi:
    """Creates the health interface of a process.

    Args:
      process_metrics: What /metrics renders.
      is_ready: Tells whether the process takes new work.
    Returns: The interface.
    """
    return HealthApi(process_metrics, is_ready)
