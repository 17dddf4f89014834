"""Previews of routing decisions over HTTP, for operators.

It is on only where the environment names the hash of a key. A preview looks
at every server, so that their rate is limited.
"""

from collections.abc import Callable
import hashlib
import hmac
from typing import Annotated, Any

import msgspec

from ragwortgw_core import budgets
from ragwortgw_core import decoding
from ragwortgw_core import errors
from ragwortgw_gateway import previews
from ragwortgw_gateway import requests
from ragwortgw_server import clock
from ragwortgw_server import http_exchange

PATH = '/preview'
#: SHA-256 of the operators' key for previews, in hexadecimal.
KEY_HASH_VARIABLE = 'RAGWORTGW_PREVIEW_KEY_HASH'
#: Previews a second, and at once, of one process.
PREVIEWS_PER_S = 2.0
BURST_PREVIEWS = 4.0
RETRY_MS = 1_000
MAX_BODY_BYTES = 16_384
MAX_BLOCKS = 64

_Count = Annotated[int, msgspec.Meta(ge=0, le=2**31)]


class _Block(msgspec.Struct):
    id: str
    tokens: _Count


class Question(msgspec.Struct, forbid_unknown_fields=True):
    """A request to preview; the fields are those of previews.Query."""

    host: str
    path: str
    organisation: str = ''
    model: str = ''
    tokens: _Count = 0
    output_tokens: _Count = 0
    blocks: Annotated[list[_Block], msgspec.Meta(max_length=MAX_BLOCKS)] = []
    session: str = ''
    time_ms: Annotated[int, msgspec.Meta(ge=1, le=86_400_000)] = 60_000

    def query(self) -> previews.Query:
        """Returns the query."""
        blocks = tuple(
            requests.PrefixBlock(block.id, block.tokens)
            for block in self.blocks
        )
        return previews.Query(
            self.host,
            self.path,
            self.organisation,
            self.model,
            self.tokens,
            self.output_tokens,
            blocks,
            self.session,
            self.time_ms,
        )


class PreviewApi:
    """Answers POST /preview.

    Args:
      key_hash: SHA-256 of the key in hexadecimal; '' turns it off.
      preview: Returns the preview of a query, or what is wrong with it.
    """

    def __init__(
        self, key_hash: str, preview: Callable[[previews.Query], Any]
    ) -> None:
        self._key_hash = key_hash.strip().lower()
        self._preview = preview
        self._budget = budgets.TokenBucket(PREVIEWS_PER_S, BURST_PREVIEWS)

    def offer(self, exchange: http_exchange.Exchange) -> bool:
        """Answers an exchange if it is for this interface.

        Returns: Whether it was answered.
        """
        if not self._key_hash or exchange.path != PATH:
            return False
        failure = self._refusal(exchange)
        if failure is not None:
            exchange.refuse(failure)
            return True
        try:
            question = decoding.from_json(exchange.body, Question)
        except decoding.Undecodable as error:
            exchange.refuse(errors.MalformedRequest(str(error)[:200]))
            return True
        answer = self._preview(question.query())
        if isinstance(answer, errors.MalformedRequest):
            exchange.refuse(answer)
            return True
        body = msgspec.json.encode(_as_document(answer))
        exchange.respond(200, [('Content-Type', 'application/json')], body)
        return True

    def _refusal(self, exchange: http_exchange.Exchange) -> Any:
        if exchange.method != 'POST':
            return errors.MethodNotAllowed(exchange.method)
        named = exchange.headers.get('authorization', '')
        key = named.removeprefix('Bearer ')
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        if not hmac.compare_digest(key_hash, self._key_hash):
            return errors.UnknownKey()
        if len(exchange.body) > MAX_BODY_BYTES:
            return errors.MalformedRequest('the query is too long')
        if not self._budget.take(clock.now_ms()):
            return errors.RateLimited('', RETRY_MS)
        return None


def _as_document(preview: previews.Preview) -> dict[str, Any]:
    return {
        **preview._asdict(),
        'models': [each._asdict() for each in preview.models],
        'servers': [each._asdict() for each in preview.servers],
    }
