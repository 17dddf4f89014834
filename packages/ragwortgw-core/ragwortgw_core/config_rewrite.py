"""Writes a configuration again that the platform service has lost.

A service that was restored from an older copy may hold an earlier head than
the one in force. The entries that hold the later one write it again, with
the documents that the copy lacks: what operators were told is in force
stays so.
"""

from typing import Any, Literal, NamedTuple

from ragwortgw_core import config_store
from ragwortgw_core import configuration
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import order_changes
from ragwortgw_core import platform
from ragwortgw_core import platform_calls

OWNER = 'lost configuration'
CALL_TIMEOUT_MS = 1_000
RETRY_MS = 300
#: Entries begin at random within a time in which so many of them per second
#: read the head, and at least within MIN_SPREAD_MS.
FLEET_READS_PER_S = 200
MIN_SPREAD_MS = 300

Kind = Literal['read', 'document', 'head']


class Tag(NamedTuple):
    """Identifies a call; results of earlier attempts are ignored."""

    attempt: int
    kind: Kind


class HeadRewriter:
    """Writes the head in force again if the service holds an earlier one.

    Args:
      calls: Makes the platform calls.
      store: Holds the configuration in force.
    """

    def __init__(
        self,
        calls: platform_calls.PlatformCalls,
        store: config_store.ConfigurationStore,
    ) -> None:
        self._calls = calls
        self._store = store
        self._entries = 1
        #: When the next attempt begins, Unix ms; 0 if none is due.
        self._due_at_ms = 0
        self._attempt = 0
        self._base: platform.Found | None = None
        #: The head that is written in the present attempt.
        self._value = b''
        self._unwritten = 0
        calls.register(OWNER, self)
        store.older_head_listeners.append(self.on_older_head)

    def set_entry_count(self, entries: int) -> None:
        """Adapts the delay before an attempt to the number of entries."""
        self._entries = entries

    def on_older_head(self, stamp: events.Stamp) -> list[Any]:
        """Schedules an attempt, as the service holds an earlier head."""
        if self._due_at_ms or not self._calls.restores.epoch:
            return []
        fleet_ms = self._entries * 1_000 // FLEET_READS_PER_S
        spread_ms = max(MIN_SPREAD_MS, fleet_ms)
        self._due_at_ms = stamp.now_ms + 1 + stamp.seed % spread_ms
        return []

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Begins an attempt that is due by reading the present head."""
        if not self._due_at_ms or stamp.now_ms < self._due_at_ms:
            return []
        self._due_at_ms = 0
        self._attempt += 1
        return self._call(stamp, 'read', platform.Get(configuration.HEAD_KEY))

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Tag,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the result of a call of the present attempt."""
        if tag.attempt != self._attempt:
            return []
        if isinstance(result, platform.Unavailable):
            self._retry(stamp)
            return []
        if tag.kind == 'read':
            return self._on_head_read(stamp, result)
        assert isinstance(call, platform.Put)
        if tag.kind == 'document':
            return self._on_document_written(stamp, call, result)
        return self._on_head_written(stamp, call, result)

    def _retry(self, stamp: events.Stamp) -> None:
        """Ends the attempt and schedules another."""
        self._attempt += 1
        self._due_at_ms = stamp.now_ms + RETRY_MS

    def _call(
        self, stamp: events.Stamp, kind: Kind, call: platform.Call
    ) -> list[Any]:
        deadline_ms = stamp.now_ms + CALL_TIMEOUT_MS
        tag = Tag(self._attempt, kind)
        return self._calls.call(stamp, OWNER, tag, call, deadline_ms)

    def _on_head_read(
        self, stamp: events.Stamp, result: platform.Result
    ) -> list[Any]:
        base = platform.Found(configuration.HEAD_KEY, b'', 0)
        if isinstance(result, platform.Found):
            base = result
        head = order_changes.decode_head(base)
        if head is None or head['revision'] >= self._store.revision:
            # Another entry has written it, or its successor.
            return []
        self._base = base
        self._value = self._store.head_value
        missing = [
            path
            for path, revision in self._store.head()['objects'].items()
            if head['objects'].get(path) != revision
        ]
        self._unwritten = len(missing)
        if not missing:
            return self._write_head(stamp)
        outputs: list[Any] = []
        for path in sorted(missing):
            revision = self._store.head()['objects'][path]
            put = platform.Put(
                configuration.object_key(path, revision),
                self._store.documents_by_path[path],
                0,
            )
            outputs += self._call(stamp, 'document', put)
        return outputs

    def _on_document_written(
        self,
        stamp: events.Stamp,
        call: platform.Put,
        result: platform.Result,
    ) -> list[Any]:
        if isinstance(result, platform.Conflict):
            if result.value != call.value:
                return self._give_up(call.key)
        self._unwritten -= 1
        return [] if self._unwritten else self._write_head(stamp)

    def _write_head(self, stamp: events.Stamp) -> list[Any]:
        assert self._base is not None
        put = platform.Put(
            configuration.HEAD_KEY,
            self._value,
            self._base.revision,
        )
        return self._call(stamp, 'head', put)

    def _on_head_written(
        self,
        stamp: events.Stamp,
        call: platform.Put,
        result: platform.Result,
    ) -> list[Any]:
        if not isinstance(result, platform.Written):
            self._retry(stamp)
            return []
        assert self._base is not None
        found = platform.Found(call.key, call.value, result.revision)
        fields = {
            'revision': self._store.revision,
            'epoch': platform.epoch_of(result.revision),
            'replaced': platform.number_of(self._base.revision),
        }
        return [
            effects.Record('configuration-rewritten', fields),
            effects.LogChange('lost configuration was written again', fields),
            *self._store.apply_own_write(
                stamp, found, self._store.documents_by_path
            ),
        ]

    def _give_up(self, key: str) -> list[Any]:
        """Ends the attempt: another order has taken a lost revision.

        Entries that did not know the lost one accepted it. The next order
        replaces both.
        """
        self._attempt += 1
        fields = {'key': key, 'revision': self._store.revision}
        return [
            effects.Count('configurations_diverged', ()),
            effects.LogChange('lost configuration was replaced', fields),
        ]


def new_rewriter(
    calls: platform_calls.PlatformCalls,
    store: config_store.ConfigurationStore,
) -> HeadRewriter:
    """Builds a rewriter without an attempt.

    Args:
      calls: Makes the platform calls.
      store: Holds the configuration in force.
    Returns: The rewriter.
    """
    return HeadRewriter(calls, store)
