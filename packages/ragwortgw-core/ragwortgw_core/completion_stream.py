"""Conversion of whole chat completions to server-sent events."""

from typing import Any

import msgspec

DONE = b'data: [DONE]\n\n'


def to_event_stream(body: bytes) -> bytes:
    """Turns a whole chat completion into the events of a streamed one.

    Args:
      body: A chat.completion object as JSON.
    Returns: Server-sent events: one chunk for each choice, the usage and
      the end mark. A body that is no such object is returned unchanged.
    """
    try:
        whole = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return body
    if not isinstance(whole, dict) or 'choices' not in whole:
        return body
    parts = [
        encode_chunk(
            whole, [streamed_choice(c) for c in whole['choices']], None
        )
    ]
    if whole.get('usage'):
        parts.append(encode_chunk(whole, [], whole['usage']))
    return b''.join([*parts, DONE])


def streamed_choice(choice: dict[str, Any]) -> dict[str, Any]:
    """Turns a whole choice into a streamed one."""
    return {
        'index': choice.get('index', 0),
        'delta': choice.get('message', {}),
        'finish_reason': choice.get('finish_reason', 'stop'),
    }


def encode_chunk(
    whole: dict[str, Any], choices: list[dict[str, Any]], usage: Any
) -> bytes:
    """Encodes one chat.completion.chunk as a server-sent event."""
    piece = {
        'id': whole.get('id', ''),
        'object': 'chat.completion.chunk',
        'created': whole.get('created', 0),
        'model': whole.get('model', ''),
        'choices': choices,
    }
    if usage is not None:
        piece['usage'] = usage
    return b'data: ' + msgspec.json.encode(piece) + b'\n\n'
