"""An agent's in-memory table of the idempotency keys that it ran.

Used with grants: the agent that holds a key's interval runs each key once
and answers retries itself, without a call on the platform service.
"""

from typing import Any, NamedTuple

from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import grants
from ragwortgw_core import ids
from ragwortgw_core import requests

MAX_KEYS = 20_000
#: Larger answers are not kept; their retries get an unknown outcome.
MAX_ANSWER_BYTES = 2_048
RETRY_AFTER_MS = 1_000


class Run(NamedTuple):
    """The call may run; no other call with this key will."""


class Replay(NamedTuple):
    """The call already ran; this was its answer."""

    answer: requests.Answer


class Deny(NamedTuple):
    """The call must not run."""

    failure: Any


Decision = Run | Replay | Deny


class KeyEntry:
    """State of a key whose call was allowed to run.

    Attributes:
      key_ms: Timestamp in the key, Unix ms.
      fingerprint: Hash of organisation and body.
      finished: Whether the call ended.
      answer: Its answer; None if it is unknown or too large.
    """

    __slots__ = ('answer', 'fingerprint', 'key_ms', 'finished')

    def __init__(self, key_ms: int, fingerprint: str) -> None:
        self.key_ms = key_ms
        self.fingerprint = fingerprint
        self.finished = False
        self.answer: requests.Answer | None = None


class KeyTable:
    """Allows each key to run once in the lifetime of this process.

    Args:
      holder: This agent and its incarnation. Calls under grants to an
        earlier incarnation are refused, since it is not known what that
        one ran.
    """

    def __init__(self, holder: grants.Holder) -> None:
        self._holder = holder
        self._entries_by_key: dict[str, KeyEntry] = {}
        self._floor_ms = 0

    def start(
        self,
        stamp: events.Stamp,
        idempotency_key: str,
        fingerprint: str,
        holder: grants.Holder,
    ) -> Decision:
        """Decides whether a call may run.

        Args:
          stamp: Time and randomness.
          idempotency_key: A UUIDv7.
          fingerprint: Hash of organisation and body.
          holder: Holder of the key according to the entry's grants.
        Returns: Run, Replay or Deny.
        """
        key_ms = ids.uuid7_ms(idempotency_key)
        if key_ms is None:
            return Deny(errors.BadIdempotencyKey('not a UUIDv7'))
        key = idempotency_key.lower()
        if holder != self._holder:
            return Deny(errors.OutcomeUnknown(key))
        held = self._entries_by_key.get(key)
        if held is not None:
            return _decide_repeated(key, held, fingerprint)
        if key_ms <= self._floor_ms:
            return Deny(errors.KeyOutOfTime(key_ms, stamp.now_ms))
        self._entries_by_key[key] = KeyEntry(key_ms, fingerprint)
        self._evict_old()
        return Run()

    def finish(self, idempotency_key: str, answer: requests.Answer) -> None:
        """Records the answer of a call that ran."""
        held = self._entries_by_key.get(idempotency_key.lower())
        if held is None:
            return
        held.finished = True
        if len(answer.body) <= MAX_ANSWER_BYTES:
            held.answer = answer

    def mark_unknown(self, idempotency_key: str) -> None:
        """Records that a call may have run; its key never runs again."""
        held = self._entries_by_key.get(idempotency_key.lower())
        if held is not None:
            held.finished = True

    def release(self, idempotency_key: str) -> None:
        """Removes a key; the caller must be certain that nothing ran."""
        self._entries_by_key.pop(idempotency_key.lower(), None)

    def _evict_old(self) -> None:
        """Drops the older half of the keys if there are too many.

        Keys as old as the dropped ones are refused from then on.
        """
        if len(self._entries_by_key) <= MAX_KEYS:
            return
        times_ms = sorted(
            entry.key_ms for entry in self._entries_by_key.values()
        )
        self._floor_ms = times_ms[len(times_ms) // 2]
        for key, held in list(self._entries_by_key.items()):
            if held.key_ms <= self._floor_ms:
                del self._entries_by_key[key]


def _decide_repeated(key: str, held: KeyEntry, fingerprint: str) -> Decision:
    if held.fingerprint != fingerprint:
        return Deny(errors.KeyReused(key))
    if held.answer is not None:
        return Replay(held.answer)
    if held.finished:
        return Deny(errors.OutcomeUnknown(key))
    return Deny(errors.CallInProgress(key, RETRY_AFTER_MS))
