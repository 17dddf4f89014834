"""Events: everything that an entry or an agent reacts to, as data.

Recordings write each event under its class name and its field names, so
both are part of the recordings' format.
"""

from typing import Any, NamedTuple

from ragwortgw_core import errors
from ragwortgw_core import platform
from ragwortgw_core import requests


class Stamp(NamedTuple):
    """Time of an event and the random seed for handling it.

    Args:
      now_ms: Unix ms, monotonic within the process.
      seed: 64 random bits, drawn anew for each event.
    """

    now_ms: int
    seed: int


class Tick(NamedTuple):
    """Periodic timer event; deadlines and retries are checked."""


class StopRequested(NamedTuple):
    """A graceful shutdown was requested."""


class PlatformAnswered(NamedTuple):
    """A platform call ended; result is Unavailable if no answer came."""

    op_id: int
    result: platform.Result


# Events of an entry.


class RequestReceived(NamedTuple):
    """A caller's request was received completely."""

    request: requests.Request


class CallerGone(NamedTuple):
    """The caller closed its connection before the answer was complete."""

    request_id: str


class AgentConnected(NamedTuple):
    """The control stream to an agent is up and the agent described itself.

    Args:
      agent_id: Id of the agent.
      backend: Id of its backend server.
      zone: Availability zone.
      versions: Ids of the versions that the backend server has loaded.
      slots: Requests that the backend server runs at the same time.
      revision: Configuration revision that the agent holds.
    """

    agent_id: str
    backend: str
    zone: str
    versions: tuple[str, ...]
    slots: int
    revision: int


class AgentLost(NamedTuple):
    """The control stream to an agent broke or timed out."""

    agent_id: str
    reason: str


class AgentReported(NamedTuple):
    """An agent reported its load, loaded versions and health."""

    agent_id: str
    load: requests.Load
    versions: tuple[str, ...]
    healthy: bool
    draining: bool
    revision: int


class AgentLeaving(NamedTuple):
    """An agent announced that it accepts no new attempts."""

    agent_id: str


class PrefixCached(NamedTuple):
    """A backend server added a prefix to its cache, or evicted it.

    These events arrive late, and some are lost.
    """

    agent_id: str
    prefix: str
    present: bool


class AttemptStarted(NamedTuple):
    """The agent passed the attempt to its backend server."""

    attempt_id: str


class AttemptFirstChunk(NamedTuple):
    """The first chunk of a streamed answer arrived."""

    attempt_id: str


class AttemptFinished(NamedTuple):
    """The backend server's answer is complete.

    The body of a relayed answer is a copy for the rating service, empty
    if the answer was too long to be kept.
    """

    attempt_id: str
    answer: requests.Answer


class AttemptRefused(NamedTuple):
    """The agent refused the attempt without executing any of it."""

    attempt_id: str
    failure: Any
    revision: int


class AttemptBroken(NamedTuple):
    """The attempt ended without a complete answer.

    Args:
      attempt_id: Id of the attempt.
      ran: Whether the backend server executed it.
      relayed: Number of stream chunks already sent to the caller.
      crashed: Whether the backend server crashed while it ran.
      reason: Cause; the id of the crash where crashed is true.
    """

    attempt_id: str
    ran: errors.Ran
    relayed: int
    crashed: bool
    reason: str


class Rated(NamedTuple):
    """The rating service rated an answer; score is in 0..1."""

    op_id: int
    score: float


class RatingFailed(NamedTuple):
    """The rating service failed or did not answer in time."""

    op_id: int


class ConfigurationOffered(NamedTuple):
    """A peer or an agent offers the configuration that it holds.

    Args:
      source: Id of the peer or agent.
      head: Encoded head.
      documents: Encoded documents by 'kind/id'.
    """

    source: str
    head: bytes
    documents: dict[str, bytes]


class HostsOffered(NamedTuple):
    """A peer offers the host list that it holds."""

    source: str
    hosts: tuple[platform.HostEntry, ...]


class RevisionHinted(NamedTuple):
    """A peer reported its configuration revision and its confirmation time.

    Args:
      source: Id of the entry or agent.
      revision: Configuration revision that it holds.
      confirmed_at_ms: Unix ms at which the platform service last confirmed
        that this revision is the newest.
    """

    source: str
    revision: int
    confirmed_at_ms: int


class StrikeReceived(NamedTuple):
    """Another process reported a request that ran during a crash.

    Args:
      source: Id of the process.
      fingerprint: Fingerprint of the request.
      crash_id: Id of the crash.
      members: Number of requests that ran during it, 0 where unknown.
    """

    source: str
    fingerprint: str
    crash_id: str
    members: int


class ReceiptOffered(NamedTuple):
    """An agent offers the bills of an entry that has disappeared."""

    agent_id: str
    bills: tuple[requests.Bill, ...]


class CommandReceived(NamedTuple):
    """An operator's statement arrived on the administration listener.

    Args:
      op_id: Number of the operation that AnswerOrder refers to.
      key_hash: SHA-256 in hex of the operator's key, '' if none was sent.
      command_id: UUIDv7 that makes retries idempotent, or ''.
      text: The statement.
      if_revision: Revision that the configuration must have, 0 for any.
      dry_run: Whether to validate an order without applying it.
    """

    op_id: int
    key_hash: str
    command_id: str
    text: str
    if_revision: int
    dry_run: bool


class OrderReceived(NamedTuple):
    """An order that changes the configuration, already planned.

    Args:
      op_id: Number of the operation that AnswerOrder refers to.
      operator: Who gave the order.
      command_id: UUIDv7 that makes retries idempotent.
      text: The order as written, for the audit.
      if_revision: Revision that the configuration must have, 0 for any.
      dry_run: Whether to validate the order without applying it.
      changes: New documents by 'kind/id'; None deletes the document.
    """

    op_id: int
    operator: str
    command_id: str
    text: str
    if_revision: int
    dry_run: bool
    changes: dict[str, Any]


# Events of an agent.


class EntryConnected(NamedTuple):
    """An entry opened its control stream."""

    entry_id: str
    revision: int


class EntryLost(NamedTuple):
    """An entry's control stream broke or timed out."""

    entry_id: str


class DispatchReceived(NamedTuple):
    """An entry dispatched an attempt to the agent."""

    entry_id: str
    dispatch: requests.Dispatch


class CancelReceived(NamedTuple):
    """The entry cancelled the attempt."""

    attempt_id: str


class EngineStarted(NamedTuple):
    """The backend server accepted the attempt's request."""

    attempt_id: str


class EngineFinished(NamedTuple):
    """The backend server's answer is complete."""

    attempt_id: str
    answer: requests.Answer


class EngineBroken(NamedTuple):
    """The backend server's answer was truncated or never arrived."""

    attempt_id: str
    ran: errors.Ran
    crashed: bool
    reason: str


class EngineReported(NamedTuple):
    """The backend server was polled for its load.

    Args:
      load: The load; None if the poll failed.
      versions: Ids of the versions that it has loaded.
      incarnation: Id that changes when the backend server restarts.
    """

    load: requests.Load | None
    versions: tuple[str, ...]
    incarnation: str


class ConfigurationReceived(NamedTuple):
    """An entry sent a configuration over its control stream."""

    entry_id: str
    head: bytes
    documents: dict[str, bytes]
    confirmed_at_ms: int


class DifferenceReceived(NamedTuple):
    """An entry sent the changes between two configuration revisions."""

    entry_id: str
    difference: bytes
    documents: dict[str, bytes]
    confirmed_at_ms: int


class EngineOrderAnswered(NamedTuple):
    """The backend server answered an order to load or unload a version."""

    action: str
    version: str
    fencing: int
    done: bool


class BillReceived(NamedTuple):
    """An entry sent the agent a copy of a bill as a backup."""

    entry_id: str
    bill: requests.Bill


class BillsFlushed(NamedTuple):
    """An entry reported that bills are stored, so copies can be dropped."""

    entry_id: str
    bill_ids: tuple[str, ...]
