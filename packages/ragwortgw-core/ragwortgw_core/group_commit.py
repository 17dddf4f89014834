"""Changes platform values by compare-and-swap for many waiters at once."""

from collections.abc import Iterable
from typing import Any, NamedTuple, Protocol

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls

CALL_TIMEOUT_MS = 1_000
MAX_CALL_TIMEOUT_MS = 4_000
#: A call may take so many times as long as those before it.
LATENCY_FACTOR = 2
MIN_RETRY_MS = 50
MAX_RETRY_MS = 1_000
MAX_CACHED_PAGES = 1_024
#: A page seen this recently is taken to be unchanged.
TRUSTED_AGE_MS = 200
#: Share of guessed writes that may fail before pages are read first.
MAX_CONFLICT_SHARE = 0.3
CONFLICT_WEIGHT = 1 / 32
#: One write in so many is guessed while pages are read first.
GUESS_INTERVAL = 16
NO_FENCE = -1


class ApplyResult(NamedTuple):
    """What applying an operation to a page did.

    Args:
      changed: Whether the page must be written.
      outcome: What to tell the owner once that is certain.
    """

    changed: bool
    outcome: Any


class Completed(NamedTuple):
    """An operation whose outcome is certain."""

    key: str
    operation: Any
    outcome: Any


class Codec(Protocol):
    """What an owner's pages hold."""

    def decode(self, value: bytes) -> Any:
        """Decodes a page; None when it is damaged.

        Args:
          value: The value; b'' for a page that does not exist yet.
        """

    def encode(self, content: Any) -> bytes:
        """Encodes a page."""

    def apply(
        self, stamp: events.Stamp, content: Any, operation: Any
    ) -> ApplyResult:
        """Applies an operation to a page in place.

        Applying it again to a page that holds it must change nothing.
        """


class Tag(NamedTuple):
    """Marks a call on a page."""

    key: str


class Page:
    """One value with the operations that wait for it."""

    __slots__ = (
        'busy',
        'content',
        'dropped',
        'due_at_ms',
        'failures',
        'fence',
        'fresh',
        'guessed',
        'key',
        'must_read',
        'retry_at_ms',
        'revision',
        'seen_at_ms',
        'sent',
        'sent_at_ms',
        'steps',
        'touched',
        'waiting',
    )

    def __init__(self, key: str) -> None:
        self.key = key
        self.content: Any = None
        self.revision = 0
        self.fresh = False
        self.guessed = False
        self.must_read = False
        self.seen_at_ms = 0
        self.busy = False
        self.waiting: list[Any] = []
        self.sent: list[Any] = []
        self.sent_at_ms = 0
        self.steps: list[ApplyResult] = []
        self.touched: set[Any] = set()
        self.dropped: set[Any] = set()
        self.fence = NO_FENCE
        self.failures = 0
        self.due_at_ms = 0
        self.retry_at_ms = 0

    def idle(self) -> bool:
        """Tells whether nothing waits and nothing is on its way."""
        return not self.busy and not self.waiting and self.fence == NO_FENCE


class GroupCommitter:
    """Commits operations to pages, one write for all that wait.

    A write whose answer was lost may still take effect later. Until the
    page is seen at a newer revision, or written anew, nothing that
    depends on the fate of that write is concluded.

    A page that was not read just now is written on the guess that it
    did not change, which saves a call, unless such guesses fail often.

    Args:
      calls: Makes the platform calls.
      owner: Name of the machine that passes results on.
      codec: What the pages hold.
    """

    def __init__(
        self, calls: platform_calls.PlatformCalls, owner: str, codec: Codec
    ) -> None:
        self._calls = calls
        self._owner = owner
        self._codec = codec
        self._pages_by_key: dict[str, Page] = {}
        self._active_keys: dict[str, None] = {}
        self._conflict_share = 0.0
        self._latency_ms = 0

    def submit(
        self,
        stamp: events.Stamp,
        key: str,
        operation: Any,
        due_at_ms: int,
    ) -> list[Any]:
        """Adds an operation to a page.

        Args:
          stamp: Time and randomness.
          key: Key of the page.
          operation: The operation, hashable.
          due_at_ms: Unix ms by which the page is to be written.
        Returns: Effects and Concluded items.
        """
        page = self._pages_by_key.pop(key, None) or Page(key)
        self._pages_by_key[key] = page
        self._active_keys[key] = None
        if not page.waiting or due_at_ms < page.due_at_ms:
            page.due_at_ms = due_at_ms
        page.waiting.append(operation)
        return self._start(stamp, page)

    def cancel(self, key: str, operation: Any) -> bool:
        """Takes an operation back that was not concluded yet.

        Args:
          key: Key of the page.
          operation: The operation.
        Returns: Whether it is certain that the page never holds it.
        """
        page = self._pages_by_key[key]
        if operation in page.waiting:
            page.waiting.remove(operation)
        if operation in page.sent:
            page.dropped.add(operation)
        unwritten = operation not in page.touched
        page.touched.discard(operation)
        return unwritten

    def flush(self, stamp: events.Stamp) -> list[Any]:
        """Starts the work on all pages that hold waiting operations."""
        for key in self._active_keys:
            self._pages_by_key[key].due_at_ms = stamp.now_ms
        return self.on_tick(stamp)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Starts the work on pages that are due."""
        out: list[Any] = []
        for key in list(self._active_keys):
            page = self._pages_by_key[key]
            out += self._start(stamp, page)
            if page.idle():
                del self._active_keys[key]
        self._evict()
        return out

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Tag,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the answer to a call on a page."""
        page = self._pages_by_key[tag.key]
        page.busy = False
        if not isinstance(result, platform.Unavailable):
            self._note_latency(stamp.now_ms - page.sent_at_ms)
        if isinstance(call, platform.Put) and page.guessed:
            self._learn(result)
        if isinstance(result, platform.Written):
            return self._on_written(stamp, page, result)
        self._requeue(page)
        wrote = isinstance(call, platform.Put)
        if isinstance(result, platform.Unavailable):
            return self._on_unavailable(
                stamp, page, wrote and result.maybe_done
            )
        page.failures = 0
        value = b''
        if isinstance(result, platform.Found | platform.Conflict):
            value = result.value
            page.revision = result.revision
        else:
            page.revision = 0
        page.content = self._codec.decode(value)
        if page.content is None:
            return self._on_unavailable(stamp, page, maybe_written=False)
        page.fresh = True
        page.must_read = False
        page.seen_at_ms = stamp.now_ms
        if page.revision > page.fence:
            page.fence = NO_FENCE
        out = self._start(stamp, page)
        page.fresh = False
        return out

    def _start(self, stamp: events.Stamp, page: Page) -> list[Any]:
        if page.busy or not (page.waiting or page.fence != NO_FENCE):
            return []
        if stamp.now_ms < page.retry_at_ms:
            return []
        if page.waiting and stamp.now_ms < page.due_at_ms:
            return []
        if page.must_read or not (page.fresh or self._guess(stamp, page)):
            return self._read(stamp, page)
        if page.content is None:
            page.content = self._codec.decode(b'')
        steps = [
            self._codec.apply(stamp, page.content, operation)
            for operation in page.waiting
        ]
        if any(step.changed for step in steps) or page.fence != NO_FENCE:
            return self._write(stamp, page, steps)
        if not page.fresh:
            return self._read(stamp, page)
        page.sent, page.waiting, page.steps = page.waiting, [], steps
        return self._conclude(page)

    def _guess(self, stamp: events.Stamp, page: Page) -> bool:
        """Tells whether to write a page without reading it first."""
        if stamp.now_ms - page.seen_at_ms <= TRUSTED_AGE_MS:
            return True
        if self._conflict_share <= MAX_CONFLICT_SHARE:
            return True
        return stamp.seed % GUESS_INTERVAL == 0

    def _note_latency(self, latency_ms: int) -> None:
        decayed_ms = self._latency_ms - self._latency_ms // 8
        self._latency_ms = max(latency_ms, decayed_ms)

    def _learn(self, result: platform.Result) -> None:
        if isinstance(result, platform.Unavailable):
            return
        failed = isinstance(result, platform.Conflict)
        self._conflict_share += CONFLICT_WEIGHT * (
            failed - self._conflict_share
        )

    def _read(self, stamp: events.Stamp, page: Page) -> list[Any]:
        page.busy = True
        return self._call(stamp, page, platform.Get(page.key))

    def _write(
        self, stamp: events.Stamp, page: Page, steps: list[ApplyResult]
    ) -> list[Any]:
        page.busy = True
        page.guessed = not page.fresh
        page.sent, page.waiting, page.steps = page.waiting, [], steps
        page.touched.update(page.sent)
        value = self._codec.encode(page.content)
        return self._call(
            stamp, page, platform.Put(page.key, value, page.revision)
        )

    def _call(
        self, stamp: events.Stamp, page: Page, call: platform.Call
    ) -> list[Any]:
        page.sent_at_ms = stamp.now_ms
        needed_ms = max(
            CALL_TIMEOUT_MS << page.failures,
            LATENCY_FACTOR * self._latency_ms,
        )
        deadline_ms = stamp.now_ms + min(needed_ms, MAX_CALL_TIMEOUT_MS)
        return self._calls.call(
            stamp, self._owner, Tag(page.key), call, deadline_ms
        )

    def _on_written(
        self, stamp: events.Stamp, page: Page, result: platform.Written
    ) -> list[Any]:
        page.revision = result.revision
        page.seen_at_ms = stamp.now_ms
        page.failures = 0
        page.fence = NO_FENCE
        out = self._conclude(page)
        return out + self._start(stamp, page)

    def _on_unavailable(
        self,
        stamp: events.Stamp,
        page: Page,
        maybe_written: bool,
    ) -> list[Any]:
        page.content = None
        page.must_read = True
        if maybe_written:
            page.fence = max(page.fence, page.revision)
        page.failures = min(page.failures + 1, 10)
        limit_ms = min(MIN_RETRY_MS << page.failures, MAX_RETRY_MS)
        pause_ms = MIN_RETRY_MS + stamp.seed % (limit_ms - MIN_RETRY_MS + 1)
        page.retry_at_ms = stamp.now_ms + pause_ms
        return [effects.Count('page_failures', (('owner', self._owner),))]

    def _conclude(self, page: Page) -> list[Any]:
        page.touched.difference_update(page.sent)
        out = [
            Completed(page.key, operation, step.outcome)
            for operation, step in zip(page.sent, page.steps, strict=True)
            if operation not in page.dropped
        ]
        page.sent, page.steps = [], []
        page.dropped.clear()
        return out

    def _requeue(self, page: Page) -> None:
        if not page.sent:
            return
        page.waiting[:0] = [
            operation
            for operation in page.sent
            if operation not in page.dropped
        ]
        page.sent, page.steps = [], []
        page.dropped.clear()
        page.due_at_ms = 0

    def _evict(self) -> None:
        excess = len(self._pages_by_key) - MAX_CACHED_PAGES
        if excess <= 0:
            return
        for key in _first_idle(self._pages_by_key.values(), excess):
            del self._pages_by_key[key]
            self._active_keys.pop(key, None)


def _first_idle(pages: Iterable[Page], limit: int) -> list[str]:
    idle = [page.key for page in pages if page.idle()]
    return idle[:limit]
