"""Notices that components of a gateway's state return to its reducer."""

from typing import NamedTuple

from ragwortgw_core import platform


class PrefixChanged(NamedTuple):
    """Values under a prefix of the store have changed.

    Args:
      prefix: The prefix.
      written: Values that are new or changed.
      deleted: Keys that were deleted.
      relayed: Whether a peer reported the change, rather than the store.
      lapse_ms: Time for which, according to that peer, deleted registrations
        may still be renewed; 0 if deletions are final.
    """

    prefix: str
    written: tuple[platform.Found, ...]
    deleted: tuple[str, ...]
    relayed: bool
    lapse_ms: int = 0


class StoreRestored(NamedTuple):
    """The store was restored from an older copy of itself.

    Args:
      before: Epoch in which the gateway knew it before.
      epoch: Its epoch now.
      relayed: Whether a peer reported that, rather than the store.
    """

    before: int
    epoch: int
    relayed: bool


class StoreLost(NamedTuple):
    """The store stopped answering."""


class StoreRecovered(NamedTuple):
    """The store answers again."""

    outage_ms: int
