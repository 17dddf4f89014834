"""What can happen to a gateway, besides the events that all roles have."""

from typing import Literal, NamedTuple

from ragwortgw_core import errors
from ragwortgw_gateway import digests
from ragwortgw_gateway import options
from ragwortgw_gateway import requests

#: Why an attempt broke: no connection, connection closed by the other
#: end, no answer in time, bytes that are no answer to the request.
Reason = Literal['refused', 'reset', 'silent', 'garbled']


class RequestArrived(NamedTuple):
    """A caller's request arrived whole."""

    request: requests.Request


class CallerLeft(NamedTuple):
    """The caller closed its connection before the answer was whole."""

    request_id: str


class AttemptAnswered(NamedTuple):
    """The head of an answer arrived; events, if any, are held back."""

    attempt_id: str
    head: requests.AnswerHead


class AttemptEnded(NamedTuple):
    """An attempt's answer is whole.

    Args:
      attempt_id: The attempt.
      answer: The answer; its body is empty if it was a stream of events.
      events: Events of the stream.
    """

    attempt_id: str
    answer: requests.Answer
    events: int


class AttemptRefused(NamedTuple):
    """A backend server says that it did not and will not run an attempt."""

    attempt_id: str
    other_server: bool


class AttemptBroke(NamedTuple):
    """An attempt ended without a whole answer.

    Args:
      attempt_id: The attempt.
      reason: Why.
      ran: Whether the backend server may have run it.
      last_event: Id of the last event that the caller has, 0 for none.
    """

    attempt_id: str
    reason: Reason
    ran: errors.Ran
    last_event: int


class ServersHeard(NamedTuple):
    """Data arrived from these backend servers since the last tick."""

    server_ids: tuple[str, ...]


class DigestReceived(NamedTuple):
    """Another gateway told what it knows."""

    digest: digests.Digest


class NoteReceived(NamedTuple):
    """Another gateway told what it has just sent to a backend server."""

    note: digests.Note


class BeliefsOffered(NamedTuple):
    """Another gateway sent what it holds of the store."""

    store_view: digests.StoreView


class FetchEnded(NamedTuple):
    """A gateway that was asked for beliefs has answered, or will not."""

    address: str


class SettingsReloaded(NamedTuple):
    """The settings were read again.

    Args:
      options: Limits from now on.
      changed: Settings that changed, and are in force.
      needs_restart: Settings that changed, and stay as they were until the
        process starts anew.
    """

    options: options.Options
    changed: tuple[str, ...]
    needs_restart: tuple[str, ...]


class SettingsRefused(NamedTuple):
    """The settings were read again, and have faults; nothing changes."""

    faults: tuple[str, ...]
