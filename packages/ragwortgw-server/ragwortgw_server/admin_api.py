"""The administration listener: operators' statements over HTTP."""

from collections.abc import Callable
import hashlib
import itertools
from typing import Any, NotRequired, TypedDict

import msgspec

from ragwortgw_core import decoding
from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_server import http_exchange
from ragwortgw_server import problems

COMMANDS_PATH = '/v1/commands'
MAX_TEXT_CHARS = 10_000
MAX_ID_CHARS = 200


class CommandBody(TypedDict):
    """The body of a command: one statement and how to treat it."""

    text: str
    command_id: NotRequired[str]
    if_revision: NotRequired[int]
    dry_run: NotRequired[bool]


class AdminApi:
    """Turns operators' HTTP requests into events and back.

    Args:
      on_event: Takes each event.
    """

    def __init__(self, on_event: Callable[[Any], None]) -> None:
        self._on_event = on_event
        self._exchanges_by_op: dict[int, http_exchange.Exchange] = {}
        self._op_ids = itertools.count(1)

    def handle(self, exchange: http_exchange.Exchange) -> None:
        """Takes a whole request of an operator."""
        if exchange.path != COMMANDS_PATH:
            exchange.refuse(errors.UnknownPath(exchange.path))
            return
        if exchange.method != 'POST':
            exchange.refuse(errors.MethodNotAllowed(exchange.method))
            return
        try:
            body = decoding.from_json(exchange.body, CommandBody)
        except decoding.Undecodable as error:
            exchange.refuse(errors.MalformedRequest(str(error)))
            return
        command_id = body.get('command_id', '')
        if len(body['text']) > MAX_TEXT_CHARS:
            exchange.refuse(errors.BodyTooLarge(MAX_TEXT_CHARS))
            return
        if len(command_id) > MAX_ID_CHARS:
            exchange.refuse(errors.MalformedRequest('command_id too long'))
            return
        op_id = next(self._op_ids)
        self._exchanges_by_op[op_id] = exchange
        exchange.on_gone = lambda: self._forget(op_id)
        self._on_event(
            events.CommandReceived(
                op_id,
                hash_key(exchange.headers.get('authorization', '')),
                command_id,
                body['text'],
                body.get('if_revision', 0),
                body.get('dry_run', False),
            )
        )

    def answer(self, effect: effects.AnswerOrder) -> None:
        """Sends the answer to a command; one nobody waits for is dropped."""
        exchange = self._exchanges_by_op.pop(effect.op_id, None)
        if exchange is None:
            return
        failed = effect.status >= 400
        content_type = problems.CONTENT_TYPE if failed else 'application/json'
        headers = [('Content-Type', content_type)]
        headers += problems.retry_headers(effect.body.get('retry_after_ms'))
        body = msgspec.json.encode(effect.body)
        exchange.respond(effect.status, headers, body)

    def _forget(self, op_id: int) -> None:
        self._exchanges_by_op.pop(op_id, None)


def hash_key(authorization: str) -> str:
    """Hashes the bearer key of an Authorization header.

    Args:
      authorization: The header's value; '' where there is none.
    Returns: SHA-256 in hex, or '' where there is no bearer key.
    """
    scheme, _, key = authorization.partition(' ')
    if scheme.lower() != 'bearer' or not key.strip():
        return ''
    return hashlib.sha256(key.strip().encode()).hexdigest()
