"""What a gateway needs to know of a deployment's HTTP headers."""

from typing import Any, Protocol

from returns.result import Result

from ragwortgw_gateway import requests
from ragwortgw_server import http_exchange
from ragwortgw_server import http_parsing


class BackendProtocol(Protocol):
    """Reads and writes the headers of one deployment."""

    def read_request(
        self, exchange: http_exchange.Exchange, now_ms: int
    ) -> Result[requests.Request, Any]:
        """Reads a caller's request.

        Args:
          exchange: The request as it came.
          now_ms: When it was whole.
        Returns: The request, or a typed failure.
        """

    def request_headers(
        self,
        request: requests.Request,
        dispatch: requests.Dispatch,
        now_ms: int,
    ) -> requests.Headers:
        """Builds the headers that a backend server gets."""

    def read_head(
        self, head: http_parsing.ResponseHead
    ) -> requests.AnswerHead:
        """Reads the head of a backend server's answer."""

    def refusal_headers(
        self, request_id: str, retry_after_ms: int | None
    ) -> requests.Headers:
        """Builds the headers of a refusal that the gateway makes itself."""
