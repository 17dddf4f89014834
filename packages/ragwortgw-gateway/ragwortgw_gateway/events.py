"""Events that only a gateway handles.

Those of all roles are in ragwortgw_core.events.
"""

from collections.abc import Callable
from typing import Any, Literal, NamedTuple

from ragwortgw_core import errors
from ragwortgw_gateway import digests
from ragwortgw_gateway import fleet
from ragwortgw_gateway import options
from ragwortgw_gateway import requests

#: Why an attempt broke: connection refused, connection closed by the server,
#: no answer in time, bytes that are no answer to the request, not sent since
#: the server asked for a pause, an answer that the server cut off since it was
#: not read, because its caller did not read.
Reason = Literal[
    'refused', 'reset', 'silent', 'overdue', 'garbled', 'paused', 'unread'
]


class RequestArrived(NamedTuple):
    """A caller's request is complete."""

    request: requests.Request


class CallerLeft(NamedTuple):
    """The caller closed its connection before the answer was complete."""

    request_id: str


class AttemptAnswered(NamedTuple):
    """The head of an answer arrived; its events are held until Deliver."""

    attempt_id: str
    head: requests.AnswerHead


class AnswerGrew(NamedTuple):
    """A plain answer that is not whole is too long to be held.

    It goes to the caller from now on if Deliver follows at once; if not, it
    is held until it is whole.
    """

    attempt_id: str
    head: requests.AnswerHead


class AnswersHeldUp(NamedTuple):
    """Attempts whose servers are not read, as their callers do not read."""

    attempt_ids: tuple[str, ...]


#: How the head of an answer was judged: the answer to an earlier request on
#: the connection, bytes that are no answer to the attempt, a proof that it
#: was not run, a failure of the server.
Verdict = Literal['earlier', 'garbled', 'not-run', 'failed']


class AnswerJudged(NamedTuple):
    """The head of an answer arrived that is no success of its attempt.

    Args:
      attempt_id: The attempt.
      verdict: What the head was taken for.
      status: Its HTTP status.
      answered_id: Request that it names, '' for none.
      connection: Number of the connection, unique in the process.
      uses: Requests that the connection has carried, with this one.
    """

    attempt_id: str
    verdict: Verdict
    status: int
    answered_id: str
    connection: int
    uses: int


class AttemptEnded(NamedTuple):
    """An attempt's answer is complete.

    Args:
      attempt_id: The attempt.
      answer: The answer; its body is empty if it was a stream of events.
      events: Number of events of the stream.
    """

    attempt_id: str
    answer: requests.Answer
    events: int


class AttemptRefused(NamedTuple):
    """A backend server refused an attempt without running it.

    Args:
      attempt_id: The attempt.
      other_server: Whether another server has the address now.
    """

    attempt_id: str
    other_server: bool


class AttemptBroke(NamedTuple):
    """An attempt ended without a complete answer.

    Args:
      attempt_id: The attempt.
      reason: Why.
      ran: Whether the backend server ran it: 'yes', 'no' or 'unknown'.
      last_event: Id of the last event that the caller has, 0 for none.
    """

    attempt_id: str
    reason: Reason
    ran: errors.Ran
    last_event: int


class ServerAnnounced(NamedTuple):
    """A backend server announced something about itself in an answer.

    Args:
      process: The process of the server.
      leaving: Whether it is about to end.
      pause_ms: Time for which it wants no requests, 0 for none.
      malformed_pause: What it sent instead of a time, '' if nothing.
      limit_per_s: Requests a second that it takes from all gateways
        together, None for no limit.
      cold_ms: How much longer it is cold, None if it does not say.
    """

    process: fleet.ServerProcess
    leaving: bool
    pause_ms: int
    malformed_pause: str
    limit_per_s: float | None = None
    cold_ms: float | None = None


class ServersHeard(NamedTuple):
    """Data arrived from these backend servers since the last tick."""

    server_ids: tuple[str, ...]


class Advance(NamedTuple):
    """Events of one attempt's stream that arrived since the last tick."""

    attempt_id: str
    events: int


class StreamsAdvanced(NamedTuple):
    """Events arrived after the first ones of streams in progress."""

    advances: tuple[Advance, ...]


class DigestReceived(NamedTuple):
    """A peer sent a digest."""

    digest: digests.Digest


class NoteReceived(NamedTuple):
    """A peer sent a note on an attempt."""

    note: digests.Note


class RelayedReceived(NamedTuple):
    """A peer of another zone sent a message for the gateways of this one."""

    relayed: digests.Relayed


class ProbeReceived(NamedTuple):
    """A probe arrived, or came back."""

    probe: digests.Probe


class CrashReportReceived(NamedTuple):
    """A peer sent a report on crashes."""

    report: digests.CrashReport


class BlockReportReceived(NamedTuple):
    """A peer sent a report on prefix blocks that may crash servers."""

    report: digests.BlockReport


class LimitReportReceived(NamedTuple):
    """A peer sent a report on limits of backend servers."""

    report: digests.LimitReport


class RefusalReportReceived(NamedTuple):
    """A peer sent a report on requests that it refused."""

    report: digests.RefusalReport


#: Events by the type of the message that a peer sent.
EVENTS_BY_MESSAGE: dict[type, Callable[[Any], Any]] = {
    digests.Digest: DigestReceived,
    digests.Note: NoteReceived,
    digests.Relayed: RelayedReceived,
    digests.Probe: ProbeReceived,
    digests.CrashReport: CrashReportReceived,
    digests.BlockReport: BlockReportReceived,
    digests.LimitReport: LimitReportReceived,
    digests.RefusalReport: RefusalReportReceived,
}


def received(message: digests.Message) -> Any:
    """Returns the event that a message from a peer makes."""
    return EVENTS_BY_MESSAGE[type(message)](message)


class BeliefsOffered(NamedTuple):
    """A peer sent its view of the store."""

    store_view: digests.StoreView


class FetchEnded(NamedTuple):
    """A fetch of a peer's view of the store ended, with or without success."""

    address: str


class CallersObserved(NamedTuple):
    """What callers' connections are doing at this turn of the loop.

    Args:
      reading: Connections on which a request has arrived in part.
      unflushed: Connections whose caller has not taken all bytes, or not
        noticed that they are closed.
    """

    reading: int
    unflushed: int


class SettingsReloaded(NamedTuple):
    """The settings were reloaded.

    Args:
      options: Limits from now on.
      changed: Settings that changed and are in force.
      needs_restart: Settings that changed and come into force only after a
        restart of the process.
    """

    options: options.Options
    changed: tuple[str, ...]
    needs_restart: tuple[str, ...]


class SettingsRefused(NamedTuple):
    """A reload of the settings failed because of faults; nothing changes."""

    faults: tuple[str, ...]
