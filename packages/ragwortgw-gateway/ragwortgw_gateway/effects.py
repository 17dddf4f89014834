"""Effects that only a gateway returns, for its process to carry out.

Those of all roles are in ragwortgw_core.effects.
"""

from typing import Any, Literal, NamedTuple

from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import requests


class Send(NamedTuple):
    """Sends an attempt to a backend server."""

    dispatch: requests.Dispatch


class Deliver(NamedTuple):
    """Passes the answer of an attempt to the caller from now on."""

    attempt_id: str


class Cancel(NamedTuple):
    """Cancels an attempt and closes its connection."""

    attempt_id: str


class Respond(NamedTuple):
    """Sends a complete answer to the caller."""

    request_id: str
    answer: requests.Answer


class FinishStream(NamedTuple):
    """Ends a streamed answer that is complete."""

    request_id: str


class CutStream(NamedTuple):
    """Aborts a streamed answer that can't be completed."""

    request_id: str


class Refuse(NamedTuple):
    """Sends a refusal, one of ragwortgw_core.errors, to the caller."""

    request_id: str
    failure: Any


class PauseServer(NamedTuple):
    """Withdraws the attempts at a backend server that are not sent yet.

    AttemptBroke follows for each of them.
    """

    server_id: str


class DropServer(NamedTuple):
    """Closes the idle connections to a backend server."""

    server_id: str


class LimitCallers(NamedTuple):
    """Applies limits to callers' connections."""

    limits: documents.CallerLimits


class SendDigest(NamedTuple):
    """Sends a digest to peers, 'ip:port' each."""

    addresses: tuple[str, ...]
    digest: digests.Digest


class SendNote(NamedTuple):
    """Sends a note on an attempt to peers, 'ip:port' each."""

    addresses: tuple[str, ...]
    note: digests.Note


class SendRelayed(NamedTuple):
    """Sends a message to peers, 'ip:port' each, that pass it on."""

    addresses: tuple[str, ...]
    relayed: digests.Relayed


class SendProbe(NamedTuple):
    """Sends a probe to peers, 'ip:port' each."""

    addresses: tuple[str, ...]
    probe: digests.Probe


class SendCrashReport(NamedTuple):
    """Sends a report on crashes to peers, 'ip:port' each."""

    addresses: tuple[str, ...]
    report: digests.CrashReport


class SendBlockReport(NamedTuple):
    """Sends a report on prefix blocks to peers, 'ip:port' each."""

    addresses: tuple[str, ...]
    report: digests.BlockReport


class SendLimitReport(NamedTuple):
    """Sends a report on limits of servers to peers, 'ip:port' each."""

    addresses: tuple[str, ...]
    report: digests.LimitReport


class SendRefusalReport(NamedTuple):
    """Sends a report on refused requests to peers, 'ip:port' each."""

    addresses: tuple[str, ...]
    report: digests.RefusalReport


class FetchBeliefs(NamedTuple):
    """Asks a peer, 'ip:port', for what is newer than a store revision."""

    address: str
    revision: int


class CloseCallers(NamedTuple):
    """Closes callers' idle connections."""


class CloseListener(NamedTuple):
    """Stops listening for callers, and closes their idle connections.

    What they have not read yet is still sent.
    """


class Abandon(NamedTuple):
    """Aborts an attempt that timed out; AttemptBroke follows.

    Args:
      attempt_id: The attempt.
      reason: Why: its server is silent, or the answer is overdue.
    """

    attempt_id: str
    reason: Literal['silent', 'overdue']
