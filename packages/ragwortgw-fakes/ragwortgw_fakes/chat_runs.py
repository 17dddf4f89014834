"""One chat request on the engine and the documents that answer it."""

from typing import Any
import uuid

import msgspec

from ragwortgw_fakes import answers
from ragwortgw_fakes import batch

DONE = b'data: [DONE]\n\n'


def sse(document: dict[str, Any]) -> bytes:
    """Encodes a document as one server-sent event."""
    return b'data: ' + msgspec.json.encode(document) + b'\n\n'


class ChatRun:
    """One chat request on the engine."""

    def __init__(
        self,
        body: dict[str, Any],
        record: dict[str, Any],
        job: batch.Job,
        offset: int,
        cached_tokens: int,
    ) -> None:
        self.body = body
        self.record = record
        self.job = job
        self.offset = offset
        self.prompt = answers.prompt_of(body.get('messages', []))
        self.cached_tokens = cached_tokens
        self.id = 'chatcmpl-' + uuid.uuid4().hex
        self.truncate_at: int | None = None

    def usage(self) -> dict[str, Any]:
        """Returns the usage of the whole answer, resumed part included."""
        prompt = answers.prompt_tokens(self.prompt)
        completion = self.offset + self.job.position
        return {
            'prompt_tokens': prompt,
            'completion_tokens': completion,
            'total_tokens': prompt + completion,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }

    def chunk(
        self, delta: dict[str, str], finish_reason: str | None = None
    ) -> bytes:
        """Encodes one chat.completion.chunk event."""
        choice = {
            'index': 0,
            'delta': delta,
            'finish_reason': finish_reason,
        }
        return sse(
            {**self._head('chat.completion.chunk'), 'choices': [choice]}
        )

    def usage_chunk(self) -> bytes:
        """Encodes the event that holds the usage."""
        return sse(
            {
                **self._head('chat.completion.chunk'),
                'choices': [],
                'usage': self.usage(),
            }
        )

    def whole(self) -> dict[str, Any]:
        """Returns the chat.completion document."""
        message = {'role': 'assistant', 'content': ''.join(self.job.pieces)}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        return {
            **self._head('chat.completion'),
            'choices': [choice],
            'usage': self.usage(),
        }

    def _head(self, kind: str) -> dict[str, Any]:
        return {
            'id': self.id,
            'object': kind,
            'created': self.record['begin_ms'] // 1000,
            'model': self.body['model'],
        }
