"""Client of the rating service."""

from typing import TypedDict

import msgspec
from returns.result import Success

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_server import engine_documents
from ragwortgw_server import http_client
from ragwortgw_server import sse

RATINGS_PATH = '/v1/ratings'


class _Rating(TypedDict):
    score: float


def prompt_text(body: bytes) -> str:
    """Returns the prompt of a chat request's body, else the body itself."""
    request = engine_documents.decode(body, engine_documents.ChatRequest)
    if request is None:
        return body.decode('utf-8', 'replace')
    contents = [message.get('content', '') for message in request['messages']]
    return '\n'.join(str(content) for content in contents)


def answer_text(body: bytes) -> str:
    """Returns the text of a chat answer, whole or streamed."""
    whole = engine_documents.decode(body, engine_documents.Completion)
    if whole is not None and whole.get('choices'):
        return _text(whole)
    if not body.startswith(b'data:'):
        return body.decode('utf-8', 'replace')
    return ''.join(
        _text(engine_documents.decode(event.data, engine_documents.Completion))
        for event in sse.EventReader().feed(body)
    )


def _text(completion: engine_documents.Completion | None) -> str:
    choices = (completion or {}).get('choices')
    if not choices:
        return ''
    part = choices[0].get('message') or choices[0].get('delta') or {}
    content = part.get('content')
    return content if isinstance(content, str) else ''


class RatingClient:
    """Asks the rating service for scores.

    Args:
      client: HTTP client, owned by the caller.
      address: 'ip:port' of the service.
    """

    def __init__(self, client: http_client.HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def rate(
        self, call: effects.RateAnswer
    ) -> events.Rated | events.RatingFailed:
        """Asks for one rating.

        Args:
          call: What to rate; prompt and answer may be the bodies of a chat
            request and its answer.
        Returns: The score, or that there is none.
        """
        body = msgspec.json.encode(
            {
                'organisation': call.organisation,
                'version': call.version,
                'prompt': prompt_text(call.prompt),
                'answer': answer_text(call.answer),
            }
        )
        result = await self._client.request(
            'POST',
            self._address,
            RATINGS_PATH,
            {'Content-Type': 'application/json'},
            body,
            call.deadline_ms,
            repeatable=True,
        )
        if not isinstance(result, Success):
            return events.RatingFailed(call.op_id)
        return _read(call.op_id, result.unwrap())


def _read(
    op_id: int, response: http_client.Response
) -> events.Rated | events.RatingFailed:
    rating = engine_documents.decode(response.body, _Rating)
    if response.status != 200 or rating is None:
        return events.RatingFailed(op_id)
    if not 0 <= rating['score'] <= 1:
        return events.RatingFailed(op_id)
    return events.Rated(op_id, rating['score'])


def open_rating_client(
    client: http_client.HttpClient, address: str
) -> RatingClient:
    """Makes a client of the rating service.

    Args:
      client: HTTP client, owned by the caller.
      address: 'ip:port' of the service.
    Returns: The client.
    """
    return RatingClient(client, address)
