"""Group commit: batches changes to the platform's values (pages).

Many operations on one page are applied together and committed by a single
compare-and-swap write. Operations must be idempotent, because a write
whose answer is lost is tried again.
"""

import collections
from collections.abc import Iterable
from typing import Any, NamedTuple, Protocol

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_core import restores

CALL_TIMEOUT_MS = 1_000
MAX_CALL_TIMEOUT_MS = 4_000
#: Timeout of a call as a multiple of the recent peak latency.
LATENCY_FACTOR = 2
MIN_RETRY_MS = 50
MAX_RETRY_MS = 1_000
MAX_CACHED_PAGES = 1_024
#: Operations that are kept to be repeated after a restore of the service.
MAX_COMMITTED = 10_000
#: A page that was read or written this recently is assumed unchanged.
MAX_UNREAD_AGE_MS = 200
#: Pages are read before they are written while more than this fraction of
#: the optimistic writes (those without a read before them) conflict.
MAX_CONFLICT_FRACTION = 0.3
#: Weight of the newest write in the moving average of conflicts.
CONFLICT_SMOOTHING = 1 / 32
#: While pages are read first, one write in this many is still optimistic,
#: so that the fraction of conflicts is measured again.
OPTIMISTIC_WRITE_INTERVAL = 16
#: Value of Page.uncertain_base when no write's outcome is unknown.
NO_UNCERTAIN_WRITE = -1


class ApplyResult(NamedTuple):
    """Result of applying an operation to the content of a page.

    Args:
      changed: Whether the content changed, so that it must be written.
      outcome: Value reported to the owner once the commit is certain.
    """

    changed: bool
    outcome: Any


class Completed(NamedTuple):
    """An operation with a certain outcome: committed, or without effect."""

    key: str
    operation: Any
    outcome: Any


class Repeat(NamedTuple):
    """A committed operation that the platform service may have lost."""

    operation: Any


class Committed(NamedTuple):
    """An operation to repeat if the platform service is restored.

    Args:
      at_ms: When it was committed, Unix ms.
      key: Key of the page.
      operation: The operation.
    """

    at_ms: int
    key: str
    operation: Any


class Codec(Protocol):
    """Encoding of an owner's pages, and the operations on them."""

    def decode(self, value: bytes) -> Any:
        """Decodes a page.

        Args:
          value: The stored value; b'' for a page that does not exist yet.
        Returns: The content; None if the value is damaged.
        """

    def encode(self, content: Any) -> bytes:
        """Encodes a page."""

    def apply(
        self, stamp: events.Stamp, content: Any, operation: Any
    ) -> ApplyResult:
        """Applies an operation to the content of a page in place.

        The operation must be idempotent: applied again to a page that
        already contains it, it changes nothing.
        """

    def repeat(
        self, stamp: events.Stamp, content: Any, operation: Any
    ) -> ApplyResult:
        """Applies an operation again that was committed and then lost.

        Where it excludes another operation, that one was not committed.
        """

    def repeatable(self, operation: Any, outcome: Any) -> Any:
        """Returns what to repeat if the service loses an operation.

        Args:
          operation: The operation.
          outcome: Its outcome.
        Returns: The operation to repeat; None if it changed nothing.
        """


class Tag(NamedTuple):
    """Tag of a platform call, with the key of the page it is about."""

    key: str


class Page:
    """One value of the platform service with its uncommitted operations.

    At most one platform call on a page is pending at a time.

    Args:
      key: Key of the value.

    Attributes:
      content: Decoded value with the operations in flight; None if
        unknown.
      revision: Revision at which the value was last seen.
      just_read: Whether the content comes from the result being handled.
      optimistic: Whether the write in flight was made without a read
        before it.
      must_read: Whether the page must be read before it is written.
      waiting: Operations to apply with the next write.
      in_flight: Operations in the write in flight.
      results: Their ApplyResults, in the same order.
      possibly_written: Operations that some write contained whose outcome
        is not known.
      cancelled: Operations in flight that their owner has cancelled.
      uncertain_base: Newest revision that a write with an unknown outcome
        was based on; NO_UNCERTAIN_WRITE for none.
    """

    __slots__ = (
        'call_pending',
        'called_at_ms',
        'cancelled',
        'content',
        'due_at_ms',
        'failures',
        'in_flight',
        'just_read',
        'key',
        'last_seen_ms',
        'must_read',
        'optimistic',
        'possibly_written',
        'results',
        'retry_at_ms',
        'revision',
        'uncertain_base',
        'waiting',
    )

    def __init__(self, key: str) -> None:
        self.key = key
        self.content: Any = None
        self.revision = 0
        self.just_read = False
        self.optimistic = False
        self.must_read = False
        self.last_seen_ms = 0
        self.call_pending = False
        self.waiting: list[Any] = []
        self.in_flight: list[Any] = []
        self.called_at_ms = 0
        self.results: list[ApplyResult] = []
        self.possibly_written: set[Any] = set()
        self.cancelled: set[Any] = set()
        self.uncertain_base = NO_UNCERTAIN_WRITE
        self.failures = 0
        self.due_at_ms = 0
        self.retry_at_ms = 0

    def idle(self) -> bool:
        """Returns whether no operation, call or uncertain write is open."""
        return (
            not self.call_pending
            and not self.waiting
            and self.uncertain_base == NO_UNCERTAIN_WRITE
        )


class GroupCommitter:
    """Commits operations to pages, with one write for all waiting ones.

    A write whose answer was lost may still take effect later. Until the
    page is seen at a newer revision, or is written again, no operation
    that depends on the outcome of that write is reported as completed.

    A page is written without reading it first, on the assumption that it
    has not changed. That saves a call, and is done as long as few of these
    writes fail.

    Args:
      calls: Makes the platform calls.
      owner: Name under which the owner registered for results; it must
        pass them to on_result.
      codec: Encoding of the pages.
    """

    def __init__(
        self, calls: platform_calls.PlatformCalls, owner: str, codec: Codec
    ) -> None:
        self._calls = calls
        self._owner = owner
        self._codec = codec
        self._pages_by_key: dict[str, Page] = {}
        self._active_keys: dict[str, None] = {}
        self._conflict_fraction = 0.0
        self._peak_latency_ms = 0
        self._committed: collections.deque[Committed] = collections.deque(
            maxlen=MAX_COMMITTED
        )

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
          due_at_ms: Unix ms from which on the page is written; until then
            operations are collected.
        Returns: Effects and Completed items.
        """
        page = self._pages_by_key.pop(key, None) or Page(key)
        self._pages_by_key[key] = page
        self._active_keys[key] = None
        if not page.waiting or due_at_ms < page.due_at_ms:
            page.due_at_ms = due_at_ms
        page.waiting.append(operation)
        return self._start(stamp, page)

    def cancel(self, key: str, operation: Any) -> bool:
        """Cancels an operation that was not reported as completed yet.

        Args:
          key: Key of the page.
          operation: The operation.
        Returns: Whether the operation is certain never to be committed.
        """
        page = self._pages_by_key[key]
        if operation in page.waiting:
            page.waiting.remove(operation)
        if operation in page.in_flight:
            page.cancelled.add(operation)
        never_written = operation not in page.possibly_written
        page.possibly_written.discard(operation)
        return never_written

    def flush(self, stamp: events.Stamp) -> list[Any]:
        """Commits the waiting operations of all pages without delay."""
        for key in self._active_keys:
            self._pages_by_key[key].due_at_ms = stamp.now_ms
        return self.on_tick(stamp)

    def on_restored(self, stamp: events.Stamp) -> list[Any]:
        """Repeats the operations that the restored service may lack.

        The owner gets no Completed items for them.

        Args:
          stamp: Time and randomness.
        Returns: Effects.
        """
        self._forget_committed(stamp)
        for page in self._pages_by_key.values():
            page.content = None
            page.must_read = True
        repeats_by_key: dict[str, list[Any]] = {}
        for each in self._committed:
            repeats = repeats_by_key.setdefault(each.key, [])
            repeats.append(Repeat(each.operation))
        for key, repeats in repeats_by_key.items():
            page = self._pages_by_key.setdefault(key, Page(key))
            page.waiting[:0] = repeats
            page.due_at_ms = stamp.now_ms
            page.must_read = True
            self._active_keys[key] = None
        out: list[Any] = [
            effects.Count(
                'page_operations_repeated',
                (('owner', self._owner),),
                len(self._committed),
            )
        ]
        for key in repeats_by_key:
            out += self._start(stamp, self._pages_by_key[key])
        return out

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Commits pages that are due and evicts idle ones from the cache."""
        self._forget_committed(stamp)
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
        """Handles the result of a call on a page."""
        page = self._pages_by_key[tag.key]
        page.call_pending = False
        if not isinstance(result, platform.Unavailable):
            self._record_latency(stamp.now_ms - page.called_at_ms)
        if isinstance(call, platform.Put) and page.optimistic:
            self._record_conflict(result)
        if isinstance(result, platform.Written):
            return self._on_written(stamp, page, result)
        self._requeue(page)
        was_write = isinstance(call, platform.Put)
        if isinstance(result, platform.Unavailable):
            return self._on_unavailable(
                stamp, page, was_write and result.maybe_done
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
        page.just_read = True
        page.must_read = False
        page.last_seen_ms = stamp.now_ms
        if page.revision > page.uncertain_base:
            page.uncertain_base = NO_UNCERTAIN_WRITE
        out = self._start(stamp, page)
        page.just_read = False
        return out

    def _start(self, stamp: events.Stamp, page: Page) -> list[Any]:
        """Starts the next read or write of a page if one is due."""
        if page.call_pending or not (
            page.waiting or page.uncertain_base != NO_UNCERTAIN_WRITE
        ):
            return []
        if stamp.now_ms < page.retry_at_ms:
            return []
        if page.waiting and stamp.now_ms < page.due_at_ms:
            return []
        if page.must_read or not (
            page.just_read or self._may_write_unread(stamp, page)
        ):
            return self._read(stamp, page)
        if page.content is None:
            page.content = self._codec.decode(b'')
        results = [
            self._apply(stamp, page.content, operation)
            for operation in page.waiting
        ]
        if (
            any(result.changed for result in results)
            or page.uncertain_base != NO_UNCERTAIN_WRITE
        ):
            return self._write(stamp, page, results)
        if not page.just_read:
            return self._read(stamp, page)
        page.in_flight, page.waiting, page.results = page.waiting, [], results
        return self._complete(stamp, page)

    def _apply(
        self, stamp: events.Stamp, content: Any, operation: Any
    ) -> ApplyResult:
        if isinstance(operation, Repeat):
            return self._codec.repeat(stamp, content, operation.operation)
        return self._codec.apply(stamp, content, operation)

    def _may_write_unread(self, stamp: events.Stamp, page: Page) -> bool:
        """Returns whether to write a page without reading it first."""
        if stamp.now_ms - page.last_seen_ms <= MAX_UNREAD_AGE_MS:
            return True
        if self._conflict_fraction <= MAX_CONFLICT_FRACTION:
            return True
        return stamp.seed % OPTIMISTIC_WRITE_INTERVAL == 0

    def _record_latency(self, latency_ms: int) -> None:
        """Updates the peak latency, which decays by 1/8 with each answer."""
        decayed_ms = self._peak_latency_ms - self._peak_latency_ms // 8
        self._peak_latency_ms = max(latency_ms, decayed_ms)

    def _record_conflict(self, result: platform.Result) -> None:
        """Updates the conflict fraction with the result of a write."""
        if isinstance(result, platform.Unavailable):
            return
        conflict = isinstance(result, platform.Conflict)
        self._conflict_fraction += CONFLICT_SMOOTHING * (
            conflict - self._conflict_fraction
        )

    def _read(self, stamp: events.Stamp, page: Page) -> list[Any]:
        page.call_pending = True
        return self._call(stamp, page, platform.Get(page.key))

    def _write(
        self, stamp: events.Stamp, page: Page, results: list[ApplyResult]
    ) -> list[Any]:
        page.call_pending = True
        page.optimistic = not page.just_read
        page.in_flight, page.waiting, page.results = page.waiting, [], results
        page.possibly_written.update(page.in_flight)
        value = self._codec.encode(page.content)
        return self._call(
            stamp, page, platform.Put(page.key, value, page.revision)
        )

    def _call(
        self, stamp: events.Stamp, page: Page, call: platform.Call
    ) -> list[Any]:
        page.called_at_ms = stamp.now_ms
        timeout_ms = max(
            CALL_TIMEOUT_MS << page.failures,
            LATENCY_FACTOR * self._peak_latency_ms,
        )
        deadline_ms = stamp.now_ms + min(timeout_ms, MAX_CALL_TIMEOUT_MS)
        return self._calls.call(
            stamp, self._owner, Tag(page.key), call, deadline_ms
        )

    def _on_written(
        self, stamp: events.Stamp, page: Page, result: platform.Written
    ) -> list[Any]:
        page.revision = result.revision
        page.last_seen_ms = stamp.now_ms
        page.failures = 0
        page.uncertain_base = NO_UNCERTAIN_WRITE
        out = self._complete(stamp, page)
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
            page.uncertain_base = max(page.uncertain_base, page.revision)
        page.failures = min(page.failures + 1, 10)
        limit_ms = min(MIN_RETRY_MS << page.failures, MAX_RETRY_MS)
        backoff_ms = MIN_RETRY_MS + stamp.seed % (limit_ms - MIN_RETRY_MS + 1)
        page.retry_at_ms = stamp.now_ms + backoff_ms
        return [effects.Count('page_failures', (('owner', self._owner),))]

    def _complete(self, stamp: events.Stamp, page: Page) -> list[Any]:
        """Reports the operations in flight as completed."""
        page.possibly_written.difference_update(page.in_flight)
        out: list[Any] = []
        for operation, result in zip(
            page.in_flight, page.results, strict=True
        ):
            if isinstance(operation, Repeat) or operation in page.cancelled:
                continue
            out.append(Completed(page.key, operation, result.outcome))
            repeatable = self._codec.repeatable(operation, result.outcome)
            if repeatable is not None:
                self._committed.append(
                    Committed(stamp.now_ms, page.key, repeatable)
                )
        page.in_flight, page.results = [], []
        page.cancelled.clear()
        return out

    def _forget_committed(self, stamp: events.Stamp) -> None:
        oldest_ms = stamp.now_ms - restores.MAX_COPY_AGE_MS
        while self._committed and self._committed[0].at_ms < oldest_ms:
            self._committed.popleft()

    def _requeue(self, page: Page) -> None:
        """Puts the operations in flight back at the head of the queue.

        Those to be repeated stay before them, as they were committed first.
        """
        if not page.in_flight:
            return
        repeats = sum(isinstance(each, Repeat) for each in page.waiting)
        page.waiting[repeats:repeats] = [
            operation
            for operation in page.in_flight
            if operation not in page.cancelled
        ]
        page.in_flight, page.results = [], []
        page.cancelled.clear()
        page.due_at_ms = 0

    def _evict(self) -> None:
        excess = len(self._pages_by_key) - MAX_CACHED_PAGES
        if excess <= 0:
            return
        for key in _oldest_idle_keys(self._pages_by_key.values(), excess):
            del self._pages_by_key[key]
            self._active_keys.pop(key, None)


def _oldest_idle_keys(pages: Iterable[Page], limit: int) -> list[str]:
    idle_keys = [page.key for page in pages if page.idle()]
    return idle_keys[:limit]
