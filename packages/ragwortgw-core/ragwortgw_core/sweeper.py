"""Deletes ledger pages and answers whose keys are no longer accepted.

Entries share a cursor in the platform service. Whoever advances it by
compare-and-swap lists and deletes the pages of that time bucket.
"""

from typing import Any, NamedTuple

import msgspec

from ragwortgw_core import decoding
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import ledger
from ragwortgw_core import ledger_page
from ragwortgw_core import platform
from ragwortgw_core import platform_calls

OWNER = 'sweeper'
CURSOR_KEY = 'ledger-swept'
#: Buckets are kept this much longer than their keys are accepted, so that a
#: process whose clock is ahead deletes nothing that is still needed.
MARGIN_MS = 24 * 3_600_000
SWEEP_INTERVAL_MS = 5_000
CALL_TIMEOUT_MS = 4_000
MAX_DELETES_PER_BUCKET = 2_000


class CursorTag(NamedTuple):
    """Identifies a call on the cursor."""


class BucketTag(NamedTuple):
    """Identifies the list of a bucket's pages, or a deletion in it."""

    bucket: int


class Sweeper:
    """Deletes old buckets in order; each is taken by one entry.

    The cursor is the newest bucket that any entry has taken. If an entry
    dies while it deletes a bucket, the rest of that bucket is never
    deleted.

    Args:
      calls: Makes the platform calls.
    """

    def __init__(self, calls: platform_calls.PlatformCalls) -> None:
        self._calls = calls
        self._entries = 1
        self._busy = False
        self._next_sweep_at_ms = 0
        calls.register(OWNER, self)

    def set_entry_count(self, entries: int) -> None:
        """Adapts the polling interval to the number of live entries."""
        self._entries = max(entries, 1)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Reads the cursor when due."""
        if self._busy or stamp.now_ms < self._next_sweep_at_ms:
            return []
        interval_ms = SWEEP_INTERVAL_MS * self._entries
        self._next_sweep_at_ms = (
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
        """Applies the result of a call on the cursor or on a bucket."""
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
            return self._list(stamp, decoding.from_json(call.value, int))
        if isinstance(result, platform.Found):
            return self._advance_cursor(
                stamp, _bucket_after(stamp, result), result.revision
            )
        if isinstance(result, platform.Absent):
            return self._advance_cursor(stamp, _newest_expired(stamp), 0)
        return []

    def _advance_cursor(
        self, stamp: events.Stamp, bucket: int, revision: int
    ) -> list[Any]:
        if bucket > _newest_expired(stamp):
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
        outputs: list[Any] = []
        pages = listed.found[:MAX_DELETES_PER_BUCKET]
        for page in pages:
            delete = platform.Delete(page.key, page.revision)
            outputs += self._call(stamp, tag, delete)
            for key in _separate_answer_keys(page.value):
                outputs += self._call(stamp, tag, platform.Get(key))
        if pages:
            outputs.append(effects.Count('ledger_pages_swept', (), len(pages)))
        return outputs

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


def _bucket_after(stamp: events.Stamp, cursor: platform.Found) -> int:
    """Returns the bucket after that of the cursor.

    One that can't be read is replaced, as if there were none.
    """
    try:
        return decoding.from_json(cursor.value, int) + 1
    except decoding.Undecodable:
        return _newest_expired(stamp)


def _newest_expired(stamp: events.Stamp) -> int:
    """Returns the newest bucket that can be deleted."""
    limit_ms = stamp.now_ms - ledger.MAX_KEY_AGE_MS - MARGIN_MS
    return limit_ms // ledger_page.BUCKET_MS - 1


def _separate_answer_keys(value: bytes) -> list[str]:
    """Returns the platform keys of a page's separately stored answers."""
    content = ledger_page.Codec().decode(value)
    if content is None:
        return []
    return [
        ledger_page.answer_key(key)
        for key, claim in content['claims_by_key'].items()
        if 'answer' in claim and claim['answer']['apart']
    ]
