"""Keeps a copy of all values under a prefix of the store.

The prefix is listed once and then watched from revision to revision. A watch
that is waiting while the store compacts its history may miss changes without
an error; so watches are short, and the prefix is listed again periodically.
After the store was restored from an older copy, everything is listed again;
what is known from before, and answers that still come from there, are older
than anything in the restored store.
"""

import collections
from typing import Any

from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_gateway import digests
from ragwortgw_gateway import notices

#: Time that a watch waits for a change. A configuration has to be in force
#: within a bound of two seconds or more, and the watch is part of that time;
#: each watch is one call.
WATCH_MS = 1_500
#: Time that an answer may take beyond that.
WATCH_GRACE_MS = 700
#: Changes often come in groups; after one, the next watch starts this much
#: later, so that it returns the rest of the group together.
WATCH_DELAY_MS = 150
#: Added for each other gateway that watches and tells what it sees: a watch
#: that only replaces theirs if they fail may be late, and each one is a call.
STANDBY_DELAY_MS = 225
#: Interval at which the part of the prefix given as relist_prefix is listed
#: again; a list costs as much as a watch.
RELIST_INTERVAL_MS = 8_000
#: Keys that are remembered as gone, the latest ones.
MAX_GONE = 4_096
#: A large configuration takes seconds over a slow link.
LIST_TIMEOUT_MS = 4_000
#: Delay after the first failed call, which doubles with each further one,
#: and the longest delay.
FIRST_RETRY_MS = 200
MAX_RETRY_MS = 1_000


class PrefixWatch:
    """Copy of the values under a prefix: listed once, then watched.

    Args:
      calls: Makes calls to the store.
      prefix: The prefix.
      relist_prefix: Longer prefix that is listed again periodically, ''
        for the complete prefix.

    Attributes:
      store_confirmed_ms: When the store last answered, 0 before.
      revision: Store revision up to which all changes are known, 0 before
        the first list.
      changed_revision: Revision of the last change that was seen.
      confirmed_ms: When the store or a peer last confirmed that the values
        are current.
      preceding_watchers: Other gateways that watch for this one.
    """

    def __init__(
        self,
        calls: platform_calls.PlatformCalls,
        prefix: str,
        relist_prefix: str = '',
    ) -> None:
        self.prefix = prefix
        self._relist_prefix = relist_prefix or prefix
        self.store_confirmed_ms = 0
        self.revision = 0
        self.changed_revision = 0
        self.confirmed_ms = 0
        self.preceding_watchers = 0
        self._entries_by_key: dict[str, platform.Found] = {}
        #: Revisions at which keys were last known to be gone.
        self._gone_by_key: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._calls = calls
        self._owner = f'following {prefix}'
        #: Number of the latest call; answers to earlier ones are ignored.
        self._generation = 0
        self._call_pending = False
        self._must_list = True
        #: Revision that the last answer reported, if it had no events.
        self._reported_revision = 0
        self._list_deadline_ms = 0
        self._call_deadline_ms = 0
        self._retry_ms = FIRST_RETRY_MS
        calls.register(self._owner, self)

    @property
    def found(self) -> tuple[platform.Found, ...]:
        """The present values."""
        return tuple(self._entries_by_key.values())

    def view_since(self, revision: int, lapse_ms: int) -> digests.StoreView:
        """Returns the view of the store for a peer.

        Args:
          revision: Store revision that the peer knows; only values that are
            newer are included.
          lapse_ms: Time for which deleted registrations may still be
            renewed after an outage, 0 if there was none.
        """
        return digests.StoreView(
            self.revision,
            tuple(
                entry
                for entry in self._entries_by_key.values()
                if entry.revision > revision
            ),
            tuple(self._entries_by_key),
            lapse_ms,
        )

    @property
    def epoch(self) -> int:
        """Epoch of the store that the values are from."""
        return platform.epoch_of(self.revision)

    def get(self, key: str) -> platform.Found | None:
        """Returns the present value of a key, None if it has none."""
        return self._entries_by_key.get(key)

    def _put(self, entry: platform.Found) -> bool:
        """Takes a value unless what is known of its key is newer.

        Answers can arrive late: one that was read before a deletion that a
        peer told of, or a later watch, must not bring the value back.
        """
        known = self._entries_by_key.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return False
        if self._gone_by_key.get(entry.key, -1) >= entry.revision:
            return False
        self._gone_by_key.pop(entry.key, None)
        self._entries_by_key[entry.key] = entry
        return True

    def _remove(self, key: str, revision: int) -> bool:
        """Removes a value that is gone, unless a newer one is known."""
        known = self._entries_by_key.get(key)
        if known is not None and known.revision > revision:
            return False
        self._gone_by_key[key] = max(
            revision, self._gone_by_key.get(key, revision)
        )
        self._gone_by_key.move_to_end(key)
        if len(self._gone_by_key) > MAX_GONE:
            self._gone_by_key.popitem(last=False)
        return self._entries_by_key.pop(key, None) is not None

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Makes the next call when it is due."""
        if self._call_pending or stamp.now_ms < self._call_deadline_ms:
            return []
        self._call_pending = True
        self._generation += 1
        call: platform.Call
        if self._must_list or stamp.now_ms >= self._list_deadline_ms:
            list_all = self._must_list
            call = platform.List(
                self.prefix if list_all else self._relist_prefix
            )
            timeout_ms = LIST_TIMEOUT_MS
        else:
            call = platform.WatchPrefix(self.prefix, self.revision, WATCH_MS)
            timeout_ms = WATCH_MS + WATCH_GRACE_MS
        deadline_ms = stamp.now_ms + timeout_ms
        return self._calls.call(
            stamp, self._owner, self._generation, call, deadline_ms
        )

    def restart(self) -> None:
        """Makes the next call at once and ignores one that is pending.

        A watch that was pending when the store became unreachable may never
        be answered.
        """
        self._generation += 1
        self._call_pending = False
        self._call_deadline_ms = 0
        self._retry_ms = FIRST_RETRY_MS

    def merge_view(
        self, stamp: events.Stamp, store_view: digests.StoreView
    ) -> list[Any]:
        """Applies a peer's view of the store, if it is newer.

        A key of the view whose value is neither sent nor known here was
        written again after the request to the peer; a later change brings
        its value.
        """
        if store_view.revision <= self.revision:
            return []
        entries_by_key = {
            key: self._entries_by_key[key]
            for key in store_view.keys
            if key in self._entries_by_key
        }
        entries_by_key.update({entry.key: entry for entry in store_view.newer})
        listed = platform.Listed(
            self.prefix, tuple(entries_by_key.values()), store_view.revision
        )
        return self._replace_all(stamp, listed, True, store_view.lapse_ms)

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Handles the result of a call."""
        if tag != self._generation:
            return []
        self._call_pending = False
        if isinstance(result, platform.Unavailable):
            self._call_deadline_ms = stamp.now_ms + self._retry_ms
            self._retry_ms = min(self._retry_ms * 2, MAX_RETRY_MS)
            return []
        self._retry_ms = FIRST_RETRY_MS
        self._call_deadline_ms = stamp.now_ms
        if isinstance(result, platform.Listed | platform.Changes):
            epoch = platform.epoch_of(result.revision)
            if self.revision and epoch < self.epoch:
                return []
            if self.revision and epoch > self.epoch and not self._must_list:
                self._must_list = True
                return []
        self.store_confirmed_ms = stamp.now_ms
        if isinstance(result, platform.Compacted):
            self._must_list = True
            return []
        if isinstance(result, platform.Listed):
            self._list_deadline_ms = stamp.now_ms + RELIST_INTERVAL_MS
            if result.prefix != self.prefix:
                return self._merge_list(stamp, result)
            self._must_list = False
            if result.revision < self.revision:
                # A peer sent a newer view in the meantime.
                return []
            return self._replace_all(stamp, result, False)
        if isinstance(result, platform.Changes):
            if result.changes:
                delay_ms = self.preceding_watchers * STANDBY_DELAY_MS
                self._call_deadline_ms += WATCH_DELAY_MS + delay_ms
            return self._apply_changes(stamp, result)
        return []

    def _replace_all(
        self,
        stamp: events.Stamp,
        listed: platform.Listed,
        relayed: bool,
        lapse_ms: int = 0,
    ) -> list[Any]:
        """Replaces all values and returns a notice of what changed.

        Args:
          stamp: Time and random seed.
          listed: All present values.
          relayed: Whether a peer sent them, rather than the store.
          lapse_ms: Time for which, according to that peer, deleted
            registrations may still be renewed; 0 if deletions are final.
        """
        self.confirmed_ms = stamp.now_ms
        outputs: list[Any] = []
        epoch = platform.epoch_of(listed.revision)
        if self.revision and epoch > self.epoch:
            outputs = [notices.StoreRestored(self.epoch, epoch, relayed)]
        self.revision = listed.revision
        self._reported_revision = 0
        self.changed_revision = max(
            [
                self.changed_revision,
                *(entry.revision for entry in listed.found),
            ]
        )
        before_by_key = self._entries_by_key
        self._entries_by_key = {entry.key: entry for entry in listed.found}
        written = tuple(
            entry
            for key, entry in self._entries_by_key.items()
            if before_by_key.get(key) != entry
        )
        deleted = tuple(before_by_key.keys() - self._entries_by_key.keys())
        for key in deleted:
            self._remove(key, listed.revision)
        return [
            *outputs,
            notices.PrefixChanged(
                self.prefix, written, deleted, relayed, lapse_ms
            ),
        ]

    def _certain_revision(self, changes: platform.Changes) -> int:
        """Returns the revision up to which a watch certainly saw all changes.

        The revision that an answer reports may belong to a change that was
        made after the events of the answer were collected. So the next
        watch continues from the last event; without an event, from the
        revision that the previous answer reported, since this watch began
        after that answer.
        """
        if changes.changes:
            self._reported_revision = 0
            return max(change.revision for change in changes.changes)
        certain, self._reported_revision = (
            self._reported_revision,
            changes.revision,
        )
        return certain

    def _merge_list(
        self, stamp: events.Stamp, listed: platform.Listed
    ) -> list[Any]:
        """Applies a list of relist_prefix; the watch is not affected."""
        self.confirmed_ms = stamp.now_ms
        entries_by_key = {entry.key: entry for entry in listed.found}
        written = []
        deleted = []
        for entry in listed.found:
            if self._put(entry):
                written.append(entry)
        for key in list(self._entries_by_key):
            gone = key.startswith(listed.prefix) and key not in entries_by_key
            if gone and self._remove(key, listed.revision):
                deleted.append(key)
        if not written and not deleted:
            return []
        return [
            notices.PrefixChanged(
                self.prefix, tuple(written), tuple(deleted), False
            )
        ]

    def confirm(self, confirmed_ms: int) -> None:
        """Records that a peer knows nothing newer.

        Args:
          confirmed_ms: When the store last answered that peer.
        """
        self.confirmed_ms = max(self.confirmed_ms, confirmed_ms)

    def _apply_changes(
        self, stamp: events.Stamp, changes: platform.Changes
    ) -> list[Any]:
        self.confirmed_ms = stamp.now_ms
        self.revision = max(self.revision, self._certain_revision(changes))
        written: dict[str, platform.Found] = {}
        deleted: dict[str, None] = {}
        for change in changes.changes:
            self.changed_revision = max(self.changed_revision, change.revision)
            if isinstance(change, platform.Found):
                if self._put(change):
                    written[change.key] = change
                    deleted.pop(change.key, None)
            elif self._remove(change.key, change.revision):
                written.pop(change.key, None)
                deleted[change.key] = None
        if not written and not deleted:
            return []
        return [
            notices.PrefixChanged(
                self.prefix, tuple(written.values()), tuple(deleted), False
            )
        ]
