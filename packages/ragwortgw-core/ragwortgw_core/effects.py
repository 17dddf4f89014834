"""Effects: what a reducer asks its process to do, as data.

Recordings write each effect under its class name and its field names, so
both are part of the recordings' format.
"""

from typing import Any, NamedTuple

from ragwortgw_core import platform
from ragwortgw_core import requests


class Respond(NamedTuple):
    """Sends a complete, non-streamed answer to the caller."""

    request_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Refuse(NamedTuple):
    """Sends a typed failure to the caller as problem+json.

    If the response stream has already started, the failure is sent as an
    error event and the stream is closed.
    """

    request_id: str
    failure: Any
    headers: tuple[tuple[str, str], ...]


class StartRelay(NamedTuple):
    """Starts to relay an attempt's response stream to the caller."""

    request_id: str
    attempt_id: str
    headers: tuple[tuple[str, str], ...]


class FinishRelay(NamedTuple):
    """Closes the caller's stream after its last chunk was sent."""

    request_id: str


class SendAttempt(NamedTuple):
    """Dispatches an attempt to an agent."""

    agent_id: str
    dispatch: requests.Dispatch


class CancelAttempt(NamedTuple):
    """Cancels an attempt at its agent and its backend server."""

    attempt_id: str


class ConnectAgent(NamedTuple):
    """Opens the control stream to an agent and keeps it open."""

    agent_id: str
    address: str


class DropAgent(NamedTuple):
    """Closes the connection to an agent."""

    agent_id: str


class SendConfiguration(NamedTuple):
    """Sends a configuration to an agent over its control stream."""

    agent_id: str
    head: bytes
    documents: dict[str, bytes]
    confirmed_at_ms: int


class SendDifference(NamedTuple):
    """Sends an agent the configuration changes since its own revision."""

    agent_id: str
    base_revision: int
    difference: bytes
    documents: dict[str, bytes]
    confirmed_at_ms: int


class OfferConfiguration(NamedTuple):
    """Offers the agent's configuration to an entry."""

    entry_id: str
    head: bytes
    documents: dict[str, bytes]
    confirmed_at_ms: int


class SendBill(NamedTuple):
    """Sends a copy of a bill to an agent as a backup."""

    agent_id: str
    bill: requests.Bill


class ConfirmBills(NamedTuple):
    """Tells an agent that bills are stored and their copies can go."""

    agent_id: str
    bill_ids: tuple[str, ...]


class CallPlatform(NamedTuple):
    """Calls the platform service; PlatformAnswered carries the result."""

    op_id: int
    call: platform.Call
    deadline_ms: int


class RateAnswer(NamedTuple):
    """Asks the rating service for a score; Rated or RatingFailed follows."""

    op_id: int
    organisation: str
    version: str
    prompt: bytes
    answer: bytes
    deadline_ms: int


class AnswerOrder(NamedTuple):
    """Answers an operator's command, a query or an order."""

    op_id: int
    status: int
    body: dict[str, Any]


class RunOnEngine(NamedTuple):
    """Sends an attempt's request to the backend server."""

    dispatch: requests.Dispatch


class CancelOnEngine(NamedTuple):
    """Cancels an attempt at the backend server."""

    attempt_id: str


class OrderEngine(NamedTuple):
    """Tells the backend server to load or unload a version.

    Args:
      action: 'load' or 'unload'.
      version: Id of the version.
      fencing: Fencing number; an order with a lower one is refused.
    """

    action: str
    version: str
    fencing: int


class RefuseAttempt(NamedTuple):
    """Refuses an attempt that has not been executed at all."""

    attempt_id: str
    failure: Any
    revision: int


class FinishAttempt(NamedTuple):
    """Sends the complete answer of an attempt to its entry."""

    attempt_id: str
    answer: requests.Answer


class BreakAttempt(NamedTuple):
    """Tells the entry that an attempt ended without a complete answer.

    Args:
      attempt_id: Id of the attempt.
      ran: Whether the backend server executed it: 'no', 'unknown', 'yes'.
      crashed: Whether the backend server crashed while it ran.
      reason: Cause; the id of the crash where crashed is true.
    """

    attempt_id: str
    ran: str
    crashed: bool
    reason: str


class Report(NamedTuple):
    """Sends the agent's load and state to an entry, or to all for ''."""

    entry_id: str
    load: requests.Load
    versions: tuple[str, ...]
    healthy: bool
    draining: bool
    revision: int


class AnnounceLeaving(NamedTuple):
    """Tells all entries that the agent accepts no new attempts."""


class OfferReceipts(NamedTuple):
    """Offers an entry the bills of another entry that has disappeared."""

    entry_id: str
    bills: tuple[requests.Bill, ...]


class SpreadStrike(NamedTuple):
    """Reports a request that ran during a crash to all connected processes.

    Args:
      fingerprint: Fingerprint of the request.
      crash_id: Id of the crash.
      members: Number of requests that ran during it, 0 where unknown.
    """

    fingerprint: str
    crash_id: str
    members: int


class Count(NamedTuple):
    """Increments a counter; labels are (name, value) pairs."""

    metric: str
    labels: tuple[tuple[str, str], ...]
    amount: int = 1


class Observe(NamedTuple):
    """Adds a latency in ms to a histogram."""

    metric: str
    labels: tuple[tuple[str, str], ...]
    value_ms: int


class Record(NamedTuple):
    """Writes an event to the time line; fields hold plain JSON values."""

    kind: str
    fields: dict[str, Any]


class LogChange(NamedTuple):
    """Logs a state change."""

    message: str
    fields: dict[str, Any]


class Exit(NamedTuple):
    """Ends the process after all work is finished."""


Effect = Any
