"""Notices by which components inform the reducer that drives them.

A component returns them among its effects. The reducer replaces each by
the effects of handling it; a notice never leaves the process.
"""

from typing import Any, NamedTuple

from ragwortgw_core import requests


class ConfigurationChanged(NamedTuple):
    """A newer configuration was installed.

    old_revision is 0 if there was none before.
    """

    old_revision: int
    new_revision: int


class ConfigurationNeeded(NamedTuple):
    """A newer configuration is known to exist and has to be fetched.

    source is the id of the peer or agent that holds it.
    """

    source: str
    revision: int


class ClaimGranted(NamedTuple):
    """The request holds the claim on its idempotency key.

    No other request with this key may execute the call.
    """

    request_id: str


class ClaimReplayed(NamedTuple):
    """The call was executed before; its stored answer is to be replayed."""

    request_id: str
    answer: requests.Answer


class ClaimDenied(NamedTuple):
    """The request may not execute its call; failure says why."""

    request_id: str
    failure: Any


class EarlierAnswerChosen(NamedTuple):
    """A cascade's stage failed; an earlier stage's answer is delivered."""

    request_id: str


class BillsCounted(NamedTuple):
    """The platform service has confirmed that it stored the bills."""

    bill_ids: tuple[str, ...]


class StrikeAdded(NamedTuple):
    """A request was running on a backend server when that crashed.

    fingerprint is the hash that identifies the request. members is the
    number of fingerprints that were running at the time of the crash; 0
    if the observer can not know it.
    """

    fingerprint: str
    crash_id: str
    members: int
