"""The subcommand that previews where a request would go now."""

import os
import sys
from typing import Any, Literal

import msgspec
from returns.result import Failure

from ragwortgw_cli import rendering
from ragwortgw_cli import timeline_command
from ragwortgw_server import clock
from ragwortgw_server import http_client
from ragwortgw_server import loop as loops
from ragwortgw_server import preview_api

ExitStatus = timeline_command.ExitStatus

KEY_VARIABLE = 'RAGWORTGW_OPERATOR_KEY'
MS_PER_S = 1_000
#: Exit statuses beside those of the time line.
REFUSED_STATUS = 1
UNREACHABLE_STATUS = 4
LOWEST_FAILURE = 400


def preview(
    host: str,
    path: str,
    *,
    gateway: str,
    organisation: str = '',
    model: str = '',
    tokens: int = 0,
    output_tokens: int = 0,
    block: list[str] | None = None,
    session: str = '',
    time_ms: int = 60_000,
    output: Literal['table', 'json'] = 'table',
    timeout_s: float = 5.0,
) -> int:
    """Shows where a request would go now, and why, without sending it.

    Exit status: 0 done, 1 refused by the gateway, 2 bad input, 4 no answer.
    The operator's key is read from RAGWORTGW_OPERATOR_KEY.

    Args:
      host: Host header of the request.
      path: Its path.
      gateway: Metrics address of a gateway, ip:port.
      organisation: Organisation that sends it.
      model: Model that it names, * for any; none for a plain request.
      tokens: Tokens of its prompt.
      output_tokens: Most tokens to generate.
      block: Prefix block, ID:TOKENS; may be repeated, in order.
      session: Its session.
      time_ms: Time until its deadline, in ms.
      output: table or json.
      timeout_s: Time to wait for an answer, in s.
    """
    key = os.environ.get(KEY_VARIABLE, '')
    blocks = [_block(text) for text in block or []]
    if not key or None in blocks:
        reason = (
            'a block is ID:TOKENS' if key else f'{KEY_VARIABLE} is not set'
        )
        print(reason, file=sys.stderr)
        return ExitStatus.USAGE
    question = {
        'host': host,
        'path': path,
        'organisation': organisation,
        'model': model,
        'tokens': tokens,
        'output_tokens': output_tokens,
        'blocks': blocks,
        'session': session,
        'time_ms': time_ms,
    }
    status, body = _ask(gateway, key, question, timeout_s)
    if not status:
        print(f'no answer from {gateway}', file=sys.stderr)
        return UNREACHABLE_STATUS
    if status >= LOWEST_FAILURE:
        print(f'{status}: {rendering.as_json(body)}', file=sys.stderr)
        return ExitStatus.USAGE if status == LOWEST_FAILURE else REFUSED_STATUS
    print(rendering.as_json(body) if output == 'json' else as_text(body))
    return ExitStatus.DONE


def _block(text: str) -> dict[str, Any] | None:
    block_id, _, tokens = text.rpartition(':')
    if not block_id or not tokens.isascii() or not tokens.isdigit():
        return None
    return {'id': block_id, 'tokens': int(tokens)}


def _ask(
    gateway: str, key: str, question: dict[str, Any], timeout_s: float
) -> tuple[int, dict[str, Any]]:
    """Returns status and body of the answer, status 0 if there is none."""
    deadline_ms = clock.now_ms() + int(timeout_s * MS_PER_S)
    with (
        loops.open_loop() as loop,
        http_client.open_http_client(loop) as client,
    ):
        sent = loop.run_until(
            client.request(
                'POST',
                gateway,
                preview_api.PATH,
                {
                    'Authorization': f'Bearer {key}',
                    'Content-Type': 'application/json',
                },
                msgspec.json.encode(question),
                deadline_ms,
            )
        )
    if isinstance(sent, Failure):
        return 0, {}
    response = sent.unwrap()
    try:
        return response.status, msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        return response.status or 0, {}


def as_text(body: dict[str, Any]) -> str:
    """Renders a preview as text."""
    head = {
        name: value
        for name, value in body.items()
        if name not in ('models', 'servers')
    }
    parts = [rendering.as_text(head)]
    for name in ('models', 'servers'):
        if body[name]:
            columns = list(body[name][0])
            rows = [list(row.values()) for row in body[name]]
            parts += ['', f'{name}:', rendering.as_table(columns, rows)]
    return '\n'.join(parts)
