"""One HTTP call of a caller or operator, for tests and the demo."""

from collections.abc import Mapping
import http.client
from typing import Any, NamedTuple

import msgspec

CALL_TIMEOUT_S = 30.0


class Answer(NamedTuple):
    """An HTTP answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decodes the body as JSON."""
        return msgspec.json.decode(self.body)

    def text(self) -> str:
        """Returns the text of a chat completion."""
        return self.json()['choices'][0]['message']['content']


class Refused(Exception):
    """A call was answered with an error status."""

    def __init__(self, answer: Answer) -> None:
        super().__init__(f'{answer.status}: {answer.body!r}')
        self.answer = answer


def call(
    address: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer:
    """Sends one request on a connection of its own.

    Args:
      address: 'ip:port'.
      method: HTTP method.
      path: Path and query.
      headers: Request headers.
      body: Body, whole.
      timeout_s: Longest wait for any part of the answer, in s.
    Returns: The answer.
    Raises:
      OSError: No answer came.
      http.client.HTTPException: The answer was cut.
    """
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, dict(headers))
        response = connection.getresponse()
        received = response.read()
    finally:
        connection.close()
    lowered = {name.lower(): value for name, value in response.getheaders()}
    return Answer(response.status, lowered, received)
