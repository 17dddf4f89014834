"""Requests to the backend server, built from attempts."""

from typing import NamedTuple

import msgspec

from ragwortgw_core import decoding
from ragwortgw_core import requests


class ChatBody(NamedTuple):
    """Body for the engine, and whether the caller wants the usage."""

    data: bytes
    keep_usage: bool


def headers(dispatch: requests.Dispatch) -> dict[str, str]:
    """Returns the headers of an attempt."""
    fields = {
        'X-Request-Id': dispatch.request_id,
        'X-Attempt-Id': dispatch.attempt_id,
        'X-Organisation': dispatch.organisation,
        'X-Priority': dispatch.priority,
    }
    if dispatch.body:
        fields['Content-Type'] = 'application/json'
    if dispatch.idempotency_key:
        fields['X-Idempotency-Key'] = dispatch.idempotency_key
    if dispatch.kind == 'service':
        fields['X-Version'] = dispatch.version
    if dispatch.resume_offset:
        fields['X-Resume-Offset'] = str(dispatch.resume_offset)
    return fields


def chat_body(dispatch: requests.Dispatch) -> ChatBody | None:
    """Returns the body for the engine, with the version as its model.

    Args:
      dispatch: The attempt.
    Returns: The body; None if the caller's is no JSON object.
    """
    try:
        body = decoding.from_json(dispatch.body)
    except decoding.Undecodable:
        return None
    if not isinstance(body, dict):
        return None
    options = body.pop('stream_options', None)
    if not isinstance(options, dict):
        options = {}
    keep_usage = bool(options.get('include_usage'))
    body['model'] = dispatch.version
    body['stream'] = dispatch.stream
    if dispatch.stream:
        body['stream_options'] = {**options, 'include_usage': True}
    return ChatBody(msgspec.json.encode(body), keep_usage)
