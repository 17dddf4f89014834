"""What a machine concluded, told to the reducer that drives it."""

from typing import Any, NamedTuple

from ragwortgw_core import requests


class ConfigurationChanged(NamedTuple):
    """A newer configuration is in force; old_revision 0 means the first."""

    old_revision: int
    new_revision: int


class ConfigurationNeeded(NamedTuple):
    """A newer configuration exists; source (peer or agent) has it."""

    source: str
    revision: int


class ClaimGranted(NamedTuple):
    """The request may run its call; nobody else may."""

    request_id: str


class ClaimReplayed(NamedTuple):
    """The call ran before; its stored answer is given again."""

    request_id: str
    answer: requests.Answer


class ClaimDenied(NamedTuple):
    """The request may not run its call."""

    request_id: str
    failure: Any


class EarlierAnswerChosen(NamedTuple):
    """A later stage failed; the answer of an earlier one is delivered."""

    request_id: str


class BillsCounted(NamedTuple):
    """The bills are in the platform service for certain."""

    bill_ids: tuple[str, ...]


class StrikeAdded(NamedTuple):
    """A fingerprint ran on a backend server that crashed.

    members is the number of fingerprints that ran at the crash, 0 where
    the observer can not know it.
    """

    fingerprint: str
    crash_id: str
    members: int
