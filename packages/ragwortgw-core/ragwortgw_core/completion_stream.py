"""Conversion of complete chat completions to server-sent events.

Used when a caller asked for a stream but the answer was buffered, as it is
for the earlier stages of a cascade.
"""

from typing import Any

import msgspec

from ragwortgw_core import decoding

DONE = b'data: [DONE]\n\n'


def to_event_stream(body: bytes) -> bytes:
    """Converts a chat completion to the events of a streamed one.

    Args:
      body: A chat.completion object as JSON.
    Returns: Server-sent events: a chunk with all choices, one with the
      usage, if any, and the end marker. A body that is not such an object
      is returned unchanged.
    """
    try:
        completion = decoding.from_json(body)
    except decoding.Undecodable:
        return body
    if not isinstance(completion, dict) or 'choices' not in completion:
        return body
    encoded = [
        encode_chunk(
            completion,
            [streamed_choice(c) for c in completion['choices']],
            None,
        )
    ]
    if completion.get('usage'):
        encoded.append(encode_chunk(completion, [], completion['usage']))
    return b''.join([*encoded, DONE])


def streamed_choice(choice: dict[str, Any]) -> dict[str, Any]:
    """Converts a choice to the form that it has in a streamed chunk."""
    return {
        'index': choice.get('index', 0),
        'delta': choice.get('message', {}),
        'finish_reason': choice.get('finish_reason', 'stop'),
    }


def encode_chunk(
    completion: dict[str, Any], choices: list[dict[str, Any]], usage: Any
) -> bytes:
    """Encodes one chat.completion.chunk as a server-sent event."""
    chunk_object = {
        'id': completion.get('id', ''),
        'object': 'chat.completion.chunk',
        'created': completion.get('created', 0),
        'model': completion.get('model', ''),
        'choices': choices,
    }
    if usage is not None:
        chunk_object['usage'] = usage
    return b'data: ' + msgspec.json.encode(chunk_object) + b'\n\n'
