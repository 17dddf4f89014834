"""Notices by which components inform the reducer that drives them.

A component returns them among its effects. The reducer replaces each by
the effects of handling it; a notice never leaves the process.
"""

from typing import Any, NamedTuple

from ragwortgw_core import requests


class ConfigurationChanged(NamedTuple):
    """A newer configuration was installed; old_revision 0: the first."""

    old_revision: int
    new_revision: int


class ConfigurationNeeded(NamedTuple):
    """A newer configuration exists at source, a peer or an agent."""

    source: str
    revision: int


class ClaimGranted(NamedTuple):
    """The request has claimed its key and alone may execute its call."""

    request_id: str


class ClaimReplayed(NamedTuple):
    """The call was executed before; its stored answer is to be replayed."""

    request_id: str
    answer: requests.Answer


class ClaimDenied(NamedTuple):
    """The request may not execute its call."""

    request_id: str
    failure: Any


class EarlierAnswerChosen(NamedTuple):
    """A later stage failed; an earlier one's answer is to be delivered."""

    request_id: str


class BillsCounted(NamedTuple):
    """The platform service has confirmed that it stored the bills."""

    bill_ids: tuple[str, ...]


class StrikeAdded(NamedTuple):
    """A request body was running on a backend server that crashed.

    members is the number of fingerprints that were running at the time of
    the crash; 0 if the observer can not know it.
    """

    fingerprint: str
    crash_id: str
    members: int
