"""Holds the newest known configuration and keeps it up to date.

An entry watches the configuration head in the platform service and reads
the documents that changed. Entries and agents also offer each other their
configuration, which carries it through an outage of the service. A newer
revision replaces an older one, never the other way round.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any, NamedTuple

from returns.result import Failure

from ragwortgw_core import config_fetch
from ragwortgw_core import configuration
from ragwortgw_core import documents
from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import freshness
from ragwortgw_core import notices
from ragwortgw_core import platform
from ragwortgw_core import platform_calls

OWNER = 'configuration'
MIN_WATCH_WAIT_MS = 2_000
MAX_WATCH_WAIT_MS = 10_000
#: Added to the wait of a watch for its call deadline.
WATCH_GRACE_MS = 1_000
#: Watches per second that all entries together may open.
FLEET_WATCHES_PER_S = 36
#: Time that a confirmation may take in addition to the waits of two watches.
CONFIRMATION_SLACK_MS = 4_000
CALL_TIMEOUT_MS = 1_000
MAX_CALL_TIMEOUT_MS = 4_000
#: After this long behind a known newer revision the head is read directly,
#: since the watch may have been lost.
PROBE_AFTER_MS = 500
PROBE_INTERVAL_MS = 1_000
MIN_RETRY_MS = 200
MAX_RETRY_MS = 2_000
Listener = Callable[[events.Stamp], list[Any]]


class ProbeTag(NamedTuple):
    """Identifies a direct read of the head while a watch is open."""

    sent_at_ms: int


class WatchTag(NamedTuple):
    """Identifies the watch of the head, or the read that precedes it."""

    sent_at_ms: int


class ConfigurationStore:
    """Holds one configuration and replaces it only with a newer one.

    The store watches config/head and reads the documents that changed.
    Peers and agents may offer a configuration too. In an agent, which
    makes no platform calls, offers are the only source.

    Args:
      calls: Makes the platform calls; None in an agent.

    Attributes:
      snapshot: The configuration in force; None if there is none.
      head_value: The encoded head; b'' if there is none.
      platform_revision: Revision of the value at config/head in the
        service; 0 if unknown.
      documents_by_path: The encoded documents by 'kind/id'.
      listeners: Functions called after each change.
      older_head_listeners: Functions called if the service holds an
        earlier head than the one in force.
    """

    def __init__(
        self, calls: platform_calls.PlatformCalls | None = None
    ) -> None:
        self.snapshot: configuration.Snapshot | None = None
        self.head_value = b''
        self.platform_revision = 0
        self.documents_by_path: dict[str, bytes] = {}
        self.freshness = freshness.Freshness()
        self.listeners: list[Listener] = []
        self.older_head_listeners: list[Listener] = []
        self._calls = calls
        self._watching = False
        self._retry_at_ms = 0
        self._failures = 0
        self._watch_wait_ms = MIN_WATCH_WAIT_MS
        self._fetch: config_fetch.Fetch | None = None
        self._fetch_count = 0
        self._fetched_by_key: dict[str, bytes] = {}
        self._next_probe_at_ms = 0
        if calls is not None:
            calls.register(OWNER, self)
            calls.restores.register(self)

    @property
    def revision(self) -> int:
        """Revision in force; 0 if there is none."""
        return self.snapshot.revision if self.snapshot else 0

    @property
    def confirmed_at_ms(self) -> int:
        """Last time that the service held this revision, Unix ms."""
        return self.freshness.confirmed_at_ms

    @property
    def advertised_at_ms(self) -> int:
        """Confirmation time to send in pings and offers, Unix ms."""
        if self._calls is None:
            return self.freshness.confirmed_at_ms
        return self.freshness.direct_confirmed_at_ms

    def set_entry_count(self, entries: int) -> None:
        """Adapts the wait of a watch to the number of live entries.

        A watch that ends without a change confirms the revision. A
        shorter wait therefore detects sooner that this process is cut
        off from the service, but costs more calls.

        Args:
          entries: Number of live entries.
        """
        fleet_interval_ms = entries * 1000 // FLEET_WATCHES_PER_S
        wait_ms = min(
            max(fleet_interval_ms, MIN_WATCH_WAIT_MS), MAX_WATCH_WAIT_MS
        )
        self._watch_wait_ms = wait_ms
        self.freshness.limit_ms = 2 * wait_ms + CONFIRMATION_SLACK_MS

    def head(self) -> documents.Head:
        """Returns the head in force; EMPTY_HEAD if there is none."""
        if self.snapshot is None:
            return configuration.EMPTY_HEAD
        return self.snapshot.head

    def age_ms(self, stamp: events.Stamp) -> int:
        """Returns the time since the last confirmation, in ms."""
        return stamp.now_ms - self.confirmed_at_ms

    def export(self) -> tuple[bytes, dict[str, bytes]]:
        """Returns the head value and all documents by path."""
        return self.head_value, dict(self.documents_by_path)

    def changes_since(self, revision: int) -> dict[str, bytes]:
        """Returns the documents written after a revision, by path."""
        objects = self.head()['objects']
        return {
            path: value
            for path, value in self.documents_by_path.items()
            if objects[path] > revision
        }

    def on_restored(self, stamp: events.Stamp) -> list[Any]:
        """Reads the head anew, as the service may hold an earlier one."""
        self.platform_revision = 0
        return []

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Opens a watch unless one is open or a retry pause is running."""
        if self._calls is None or self._fetch is not None:
            return []
        outputs = self._probe(stamp)
        if self._watching or stamp.now_ms < self._retry_at_ms:
            return outputs
        return outputs + self._watch(stamp)

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the result of a watch, a probe or a document read."""
        if isinstance(tag, config_fetch.FetchTag):
            return self._on_document(stamp, tag, result)
        if isinstance(tag, ProbeTag):
            if not isinstance(result, platform.Found):
                return []
            return self.apply_head(stamp, result, tag.sent_at_ms)
        self._watching = False
        if isinstance(result, platform.Unavailable):
            return self._back_off(stamp)
        if isinstance(result, platform.Absent):
            self._failures = 0
            return self._on_unchanged(stamp, tag, call)
        if isinstance(result, platform.Found):
            return self.apply_head(stamp, result, tag.sent_at_ms)
        return self._back_off(stamp)

    def apply_head(
        self, stamp: events.Stamp, found: platform.Found, sent_at_ms: int
    ) -> list[Any]:
        """Applies a head returned by the service and reads its changes.

        Args:
          stamp: Time and randomness.
          found: The value at config/head.
          sent_at_ms: When the call that returned it was sent, Unix ms.
        Returns: Effects and notices.
        """
        decoded_head = configuration.load_head(found.value)
        if isinstance(decoded_head, Failure):
            return self._reject(stamp, 'platform', decoded_head.failure())
        head = decoded_head.unwrap()
        if head['revision'] < self.revision:
            return [
                *self._ignore(stamp, 'older', 'platform', head),
                *self._report_older_head(stamp),
            ]
        if head['revision'] == self.revision:
            if found.value != self.head_value:
                # Written after a restore that lost the one in force.
                return self._ignore(stamp, 'diverged', 'platform', head)
            self._failures = 0
            self._confirm(found.revision, sent_at_ms)
            return self.on_tick(stamp)
        self._record_revision(stamp, head['revision'])
        return self._start_fetch(stamp, found, head, sent_at_ms)

    def apply_own_write(
        self,
        stamp: events.Stamp,
        found: platform.Found,
        documents_by_path: Mapping[str, bytes],
    ) -> list[Any]:
        """Applies a head that this process wrote to the service.

        Args:
          stamp: Time and randomness.
          found: The head as stored in the service.
          documents_by_path: All documents of the head.
        Returns: Effects and notices.
        """
        outputs = self.offer(stamp, found.value, documents_by_path)
        if self.head_value == found.value:
            self._confirm(found.revision, stamp.now_ms)
        return outputs

    def offer(
        self,
        stamp: events.Stamp,
        head: bytes,
        documents_by_path: Mapping[str, bytes],
        confirmed_at_ms: int = 0,
        source: str = '',
    ) -> list[Any]:
        """Applies a configuration from a peer or agent if it is newer.

        Documents that the store already holds may be omitted.

        Args:
          stamp: Time and randomness.
          head: The head value.
          documents_by_path: Documents by 'kind/id'.
          confirmed_at_ms: When the service last confirmed it to the
            source, Unix ms; 0 if never.
          source: Id of the peer or agent.
        Returns: Effects and notices.
        """
        decoded_head = configuration.load_head(head)
        if isinstance(decoded_head, Failure):
            return self._reject(stamp, source, decoded_head.failure())
        offered = decoded_head.unwrap()
        if offered['revision'] < self.revision:
            return []
        if offered['revision'] == self.revision:
            if head == self.head_value:
                at_ms = min(confirmed_at_ms, stamp.now_ms)
                self.freshness.confirm(at_ms, direct=False)
            return []
        self._record_revision(stamp, offered['revision'])
        outputs = self._install(
            stamp, head, offered, documents_by_path, source
        )
        if self.head_value == head:
            self.platform_revision = 0
            at_ms = min(confirmed_at_ms, stamp.now_ms)
            self.freshness.confirm(at_ms, direct=False)
        return outputs

    def record_report(
        self,
        stamp: events.Stamp,
        source: str,
        revision: int,
        confirmed_at_ms: int,
    ) -> list[Any]:
        """Records the revision in a ping or refusal of another process.

        Args:
          stamp: Time and randomness.
          source: Id of the peer or agent.
          revision: The revision that it holds.
          confirmed_at_ms: When the service last confirmed that revision
            to it, Unix ms; 0 if never.
        Returns: ConfigurationNeeded if its revision is newer.
        """
        confirmed_at_ms = min(confirmed_at_ms, stamp.now_ms)
        evidence = freshness.Evidence(stamp.now_ms, revision, confirmed_at_ms)
        self.freshness.record_report(source, evidence)
        if revision == self.revision:
            self.freshness.confirm(confirmed_at_ms, direct=False)
        if revision <= self.revision:
            return []
        self._record_revision(stamp, revision)
        return [notices.ConfigurationNeeded(source, revision)]

    def check(
        self, stamp: events.Stamp, listed_processes: int
    ) -> errors.ConfigurationMissing | errors.ConfigurationStale | None:
        """Returns a refusal for new work, or None; see Freshness.check."""
        return self.freshness.check(stamp, self.revision, listed_processes)

    def _probe(self, stamp: events.Stamp) -> list[Any]:
        assert self._calls is not None
        behind_ms = self.freshness.behind_ms(stamp, self.revision)
        if behind_ms < PROBE_AFTER_MS or stamp.now_ms < self._next_probe_at_ms:
            return []
        self._next_probe_at_ms = stamp.now_ms + PROBE_INTERVAL_MS
        tag = ProbeTag(stamp.now_ms)
        call = platform.Get(configuration.HEAD_KEY)
        deadline_ms = stamp.now_ms + self._timeout_ms()
        return self._calls.call(stamp, OWNER, tag, call, deadline_ms)

    def _timeout_ms(self) -> int:
        return min(CALL_TIMEOUT_MS << self._failures, MAX_CALL_TIMEOUT_MS)

    def _watch(self, stamp: events.Stamp) -> list[Any]:
        assert self._calls is not None
        self._watching = True
        call: platform.Call = platform.Watch(
            configuration.HEAD_KEY,
            self.platform_revision,
            self._watch_wait_ms,
        )
        deadline_ms = stamp.now_ms + self._watch_wait_ms + WATCH_GRACE_MS
        if self.platform_revision == 0:
            call = platform.Get(configuration.HEAD_KEY)
            deadline_ms = stamp.now_ms + self._timeout_ms()
        tag = WatchTag(stamp.now_ms)
        return self._calls.call(stamp, OWNER, tag, call, deadline_ms)

    def _back_off(self, stamp: events.Stamp) -> list[Any]:
        self._failures = min(self._failures + 1, 10)
        limit_ms = min(MIN_RETRY_MS << self._failures, MAX_RETRY_MS)
        pause_ms = MIN_RETRY_MS + stamp.seed % (limit_ms - MIN_RETRY_MS + 1)
        self._retry_at_ms = stamp.now_ms + pause_ms
        return [effects.Count('configuration_read_failures', ())]

    def _on_unchanged(
        self, stamp: events.Stamp, tag: WatchTag, call: platform.Call
    ) -> list[Any]:
        if isinstance(call, platform.Get):
            self._retry_at_ms = stamp.now_ms + MIN_RETRY_MS
            return self._report_older_head(stamp) if self.revision else []
        assert isinstance(call, platform.Watch)
        confirmed_at_ms = min(tag.sent_at_ms + call.wait_ms, stamp.now_ms)
        if call.revision == self.platform_revision:
            self._confirm(call.revision, confirmed_at_ms)
        return self.on_tick(stamp)

    def _confirm(self, platform_revision: int, at_ms: int) -> None:
        self.freshness.confirm(at_ms, direct=True)
        self.platform_revision = platform_revision

    def _record_revision(self, stamp: events.Stamp, revision: int) -> None:
        self.freshness.record_revision(stamp, revision, self.revision)

    def _start_fetch(
        self,
        stamp: events.Stamp,
        found: platform.Found,
        head: documents.Head,
        sent_at_ms: int,
    ) -> list[Any]:
        assert self._calls is not None
        if self._fetch and self._fetch.head['revision'] >= head['revision']:
            return []
        self._fetch_count += 1
        held = self.head()['objects']
        fetch = config_fetch.Fetch(
            self._fetch_count,
            found,
            head,
            held,
            self._fetched_by_key,
            sent_at_ms,
        )
        self._fetch = fetch
        if not fetch.missing:
            return self._finish_fetch(stamp, fetch)
        outputs: list[Any] = []
        deadline_ms = stamp.now_ms + self._timeout_ms()
        for read in fetch.reads():
            outputs += self._calls.call(
                stamp, OWNER, read.tag, read.call, deadline_ms
            )
        return outputs

    def _on_document(
        self,
        stamp: events.Stamp,
        tag: config_fetch.FetchTag,
        result: platform.Result,
    ) -> list[Any]:
        fetch = self._fetch
        if fetch is None or fetch.fetch_id != tag.fetch_id:
            return []
        if not fetch.add_result(tag, result):
            return []
        if not fetch.missing:
            return self._finish_fetch(stamp, fetch)
        self._fetch = None
        self._fetched_by_key = fetch.read_by_key()
        return self._back_off(stamp)

    def _finish_fetch(
        self, stamp: events.Stamp, fetch: config_fetch.Fetch
    ) -> list[Any]:
        self._fetch = None
        self._failures = 0
        self._fetched_by_key = {}
        if fetch.head['revision'] < self.revision:
            return self.on_tick(stamp)
        outputs: list[Any] = []
        if fetch.head['revision'] > self.revision:
            outputs = self._install(
                stamp, fetch.found.value, fetch.head, fetch.values, 'platform'
            )
        if self.head_value == fetch.found.value:
            self._confirm(fetch.found.revision, fetch.sent_at_ms)
            return outputs + self.on_tick(stamp)
        return outputs + self._back_off(stamp)

    def _install(
        self,
        stamp: events.Stamp,
        value: bytes,
        head: documents.Head,
        documents_by_path: Mapping[str, bytes],
        source: str,
    ) -> list[Any]:
        merged = self._merge_documents(head, documents_by_path)
        built = configuration.build(head, merged, self.snapshot)
        if isinstance(built, Failure):
            return self._reject(stamp, source, built.failure())
        old_revision = self.revision
        self.snapshot = built.unwrap()
        self.head_value = value
        self.documents_by_path = merged
        self.freshness.record_installed(stamp)
        changed = notices.ConfigurationChanged(old_revision, self.revision)
        outputs: list[Any] = [
            changed,
            effects.Count('configuration_changes', ()),
            effects.LogChange('configuration in force', changed._asdict()),
        ]
        for listener in list(self.listeners):
            outputs += listener(stamp)
        return outputs

    def _merge_documents(
        self, head: documents.Head, documents_by_path: Mapping[str, bytes]
    ) -> dict[str, bytes]:
        held = self.head()['objects']
        merged: dict[str, bytes] = {}
        for path, revision in head['objects'].items():
            if held.get(path) == revision:
                merged[path] = self.documents_by_path[path]
            elif path in documents_by_path:
                merged[path] = documents_by_path[path]
        return merged

    def _reject(
        self, stamp: events.Stamp, source: str, fault: errors.InvalidObject
    ) -> list[Any]:
        self._retry_at_ms = stamp.now_ms + MAX_RETRY_MS
        fields = {'source': source, **fault._asdict()}
        return [
            effects.Count('configurations_rejected', ()),
            effects.LogChange('configuration rejected', fields),
        ]

    def _ignore(
        self,
        stamp: events.Stamp,
        reason: str,
        source: str,
        head: documents.Head,
    ) -> list[Any]:
        self._retry_at_ms = stamp.now_ms + MAX_RETRY_MS
        fields: dict[str, Any] = {
            'source': source,
            'revision': head['revision'],
        }
        return [
            effects.Count(f'configurations_{reason}', ()),
            effects.LogChange(f'{reason} configuration ignored', fields),
        ]

    def _report_older_head(self, stamp: events.Stamp) -> list[Any]:
        outputs: list[Any] = []
        for listener in self.older_head_listeners:
            outputs += listener(stamp)
        return outputs


def new_store(
    calls: platform_calls.PlatformCalls | None = None,
) -> ConfigurationStore:
    """Builds a store that holds no configuration.

    Args:
      calls: Makes the platform calls; None in an agent.
    Returns: The store.
    """
    return ConfigurationStore(calls)
