"""Deletes values of the ledger that are older than its horizon."""

from typing import Any, NamedTuple

import msgspec

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import ledger
from ragwortgw_core import ledger_page
from ragwortgw_core import platform
from ragwortgw_core import platform_calls

OWNER = 'sweeper'
CURSOR_KEY = 'ledger-swept'
#: Buckets stay this much longer than any key is accepted, so that a
#: process whose clock is ahead deletes nothing that is needed.
MARGIN_MS = 24 * 3_600_000
SWEEP_INTERVAL_MS = 5_000
CALL_TIMEOUT_MS = 4_000
MAX_DELETES_PER_BUCKET = 2_000


class CursorTag(NamedTuple):
    """Marks a call on the cursor."""


class BucketTag(NamedTuple):
    """Marks the list of a bucket's pages, or a deletion in it."""

    bucket: int


class Sweeper:
    """Goes through old buckets; one entry at a time takes each.

    The cursor is the newest bucket that some entry has taken. An entry
    that dies with a bucket half deleted leaves the rest of it behind.

    Args:
      calls: Makes the platform calls.
    """

    def __init__(self, calls: platform_calls.PlatformCalls) -> None:
        self._calls = calls
        self._entries = 1
        self._busy = False
        self._due_ms = 0
        calls.register(OWNER, self)

    def set_entry_count(self, entries: int) -> None:
        """Fits the interval of looking to the number of live entries."""
        self._entries = max(entries, 1)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Reads the cursor when it is due."""
        if self._busy or stamp.now_ms < self._due_ms:
            return []
        interval_ms = SWEEP_INTERVAL_MS * self._entries
        self._due_ms = (
            stamp.now_ms + interval_ms // 2 + stamp.seed % interval_ms
        )
        self._busy = True
        return self._call(stamp, CursorTag(), platform.Get(CURSOR_KEY))

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the answer to a call."""
        if isinstance(tag, BucketTag):
            if isinstance(result, platform.Listed):
                return self._delete(stamp, tag, result)
            if isinstance(result, platform.Found):
                delete = platform.Delete(result.key, result.revision)
                return self._call(stamp, tag, delete)
            return []
        self._busy = False
        if isinstance(result, platform.Written):
            assert isinstance(call, platform.Put)
            return self._list(stamp, msgspec.json.decode(call.value, type=int))
        if isinstance(result, platform.Found):
            taken = msgspec.json.decode(result.value, type=int)
            return self._take(stamp, taken + 1, result.revision)
        if isinstance(result, platform.Absent):
            return self._take(stamp, _newest_old(stamp), 0)
        return []

    def _take(
        self, stamp: events.Stamp, bucket: int, revision: int
    ) -> list[Any]:
        if bucket > _newest_old(stamp):
            return []
        self._busy = True
        value = msgspec.json.encode(bucket)
        put = platform.Put(CURSOR_KEY, value, revision)
        return self._call(stamp, CursorTag(), put)

    def _list(self, stamp: events.Stamp, bucket: int) -> list[Any]:
        prefix = f'{ledger_page.PREFIX}{bucket}/'
        return self._call(stamp, BucketTag(bucket), platform.List(prefix))

    def _delete(
        self, stamp: events.Stamp, tag: BucketTag, listed: platform.Listed
    ) -> list[Any]:
        out: list[Any] = []
        pages = listed.found[:MAX_DELETES_PER_BUCKET]
        for page in pages:
            delete = platform.Delete(page.key, page.revision)
            out += self._call(stamp, tag, delete)
            for key in _answers_apart(page.value):
                out += self._call(stamp, tag, platform.Get(key))
        if pages:
            out.append(effects.Count('ledger_pages_swept', (), len(pages)))
        return out

    def _call(
        self, stamp: events.Stamp, tag: Any, call: platform.Call
    ) -> list[Any]:
        deadline_ms = stamp.now_ms + CALL_TIMEOUT_MS
        return self._calls.call(stamp, OWNER, tag, call, deadline_ms)


def new_sweeper(calls: platform_calls.PlatformCalls) -> Sweeper:
    """Builds a sweeper.

    Args:
      calls: Makes the platform calls.
    Returns: The sweeper.
    """
    return Sweeper(calls)


def _newest_old(stamp: events.Stamp) -> int:
    """Returns the newest bucket that no accepted key belongs to."""
    limit_ms = stamp.now_ms - ledger.MAX_KEY_AGE_MS - MARGIN_MS
    return limit_ms // ledger_page.BUCKET_MS - 1


def _answers_apart(value: bytes) -> list[str]:
    """Returns the platform keys of a page's answers that lie apart."""
    content = ledger_page.Codec().decode(value)
    if content is None:
        return []
    return [
        ledger_page.answer_key(key)
        for key, claim in content['claims_by_key'].items()
        if 'answer' in claim and claim['answer']['apart']
    ]
