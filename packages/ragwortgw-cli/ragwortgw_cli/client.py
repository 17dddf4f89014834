"""Sends operators' statements to the entries."""

import asyncio
from collections.abc import Sequence
import ssl
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_server import clock
from ragwortgw_server import http_client
from ragwortgw_server import loop as loops

PATH = '/v1/commands'
RETRY_PAUSE_S = 0.2
TRY_TIMEOUT_MS = 5_000


class Answer(NamedTuple):
    """An entry's answer: HTTP status and the decoded JSON body."""

    status: int
    body: dict[str, Any]


class Unreachable(NamedTuple):
    """No entry took the statement; nothing was applied."""

    entries: tuple[str, ...]


class Unknown(NamedTuple):
    """No answer came; the order may have been applied."""

    command_id: str


class Command(NamedTuple):
    """A statement and how to treat it.

    if_revision 0 binds the order to no revision.
    """

    text: str
    command_id: str
    if_revision: int
    dry_run: bool


class Lost(NamedTuple):
    """A try without an answer; sent tells whether it may have arrived."""

    sent: bool


def send(
    entries: Sequence[str],
    key: str,
    command: Command,
    deadline_ms: int,
    tls: ssl.SSLContext | None = None,
) -> Result[Answer, Unreachable | Unknown]:
    """Sends a statement until one entry answers it.

    The same command id goes with each try, so that an order whose answer
    was lost is not applied a second time.

    Args:
      entries: Administration addresses, 'ip:port', tried in turn.
      key: The operator's key.
      command: The statement.
      deadline_ms: When to give up, Unix ms.
      tls: Context where the listeners take TLS.
    Returns: The answer, or why there is none.
    """
    with (
        loops.open_loop() as loop,
        http_client.open_http_client(loop, tls=tls) as client,
    ):
        return loop.run_until(
            send_until(client, entries, key, command, deadline_ms)
        )


async def send_until(
    client: http_client.HttpClient,
    entries: Sequence[str],
    key: str,
    command: Command,
    deadline_ms: int,
) -> Result[Answer, Unreachable | Unknown]:
    """Tries the entries in turn until the deadline."""
    maybe_sent = False
    while True:
        for entry in entries:
            tried = await try_entry(client, entry, key, command, deadline_ms)
            if isinstance(tried, Answer) and tried.body.get('ran') != (
                'unknown'
            ):
                return Success(tried)
            maybe_sent |= not isinstance(tried, Lost) or tried.sent
        if clock.now_ms() >= deadline_ms:
            break
        await asyncio.sleep(RETRY_PAUSE_S)
    if maybe_sent:
        return Failure(Unknown(command.command_id))
    return Failure(Unreachable(tuple(entries)))


async def try_entry(
    client: http_client.HttpClient,
    entry: str,
    key: str,
    command: Command,
    deadline_ms: int,
) -> Answer | Lost:
    """Sends a statement to one entry."""
    until_ms = min(deadline_ms, clock.now_ms() + TRY_TIMEOUT_MS)
    sent = await client.request(
        'POST',
        entry,
        PATH,
        {
            'Authorization': f'Bearer {key}',
            'Content-Type': 'application/json',
        },
        msgspec.json.encode(command._asdict()),
        until_ms,
    )
    if isinstance(sent, Failure):
        return Lost(sent.failure().sent)
    response = sent.unwrap()
    try:
        return Answer(response.status, msgspec.json.decode(response.body))
    except msgspec.DecodeError:
        return Lost(sent=True)
