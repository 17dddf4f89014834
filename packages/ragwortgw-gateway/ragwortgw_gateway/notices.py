"""What machines of a gateway tell its reducer."""

from typing import NamedTuple

from ragwortgw_core import platform


class PrefixChanged(NamedTuple):
    """What is held of a prefix of the store has changed.

    Args:
      prefix: The prefix.
      written: Values that are new or changed.
      deleted: Keys that are gone.
      second_hand: Whether another gateway told.
      lapse_ms: For how much longer, by its word, keys that are gone may
        come back.
    """

    prefix: str
    written: tuple[platform.Found, ...]
    deleted: tuple[str, ...]
    relayed: bool
    lapse_ms: int = 0


class StoreLost(NamedTuple):
    """The store does not answer any more."""


class StoreRecovered(NamedTuple):
    """The store answers again."""

    outage_ms: int
