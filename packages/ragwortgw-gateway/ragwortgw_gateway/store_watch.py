"""Follows all values under a prefix of the store.

A list is followed by watches from revision to revision. A watch may miss
changes without a sign, if it waits while the store forgets its history: no
watch waits long, and the list is read again now and then.
"""

from typing import Any

from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_gateway import digests
from ragwortgw_gateway import notices

#: Part of the bound within which a configuration has to be in force, which
#: is two seconds or more; each watch is one call.
WATCH_MS = 1_500
WATCH_GRACE_MS = 700
#: Changes often come in groups; after one, the next watch starts this much
#: later, so that it brings the others of the group at once.
WATCH_PAUSE_MS = 150
#: Part of the list is read again after this time; it costs as much as a
#: watch.
RELIST_INTERVAL_MS = 8_000
#: A large configuration takes seconds over a slow link.
LIST_TIMEOUT_MS = 4_000
FIRST_RETRY_MS = 200
MAX_RETRY_MS = 1_000


class PrefixWatch:
    """Lists a prefix once, then watches it from revision to revision.

    Args:
      calls: Makes the calls.
      prefix: The prefix.
      relist_prefix: Part of it that is listed again now and then.

    Attributes:
      store_heard_ms: When the store itself last told.
      revision: Store revision up to which all is known, 0 for nothing.
      changed_revision: Revision of the last change that was seen.
      heard_ms: When the store or another gateway last told.
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
        self.last_seen_ms = 0
        self._found_by_key: dict[str, platform.Found] = {}
        self._calls = calls
        self._owner = f'following {prefix}'
        self._generation = 0
        self._calling = False
        self._must_list = True
        #: Revision named by the last answer, if that had no events.
        self._named_revision = 0
        self._list_deadline_ms = 0
        self._call_deadline_ms = 0
        self._retry_ms = FIRST_RETRY_MS
        calls.register(self._owner, self)

    @property
    def found(self) -> tuple[platform.Found, ...]:
        """The values held."""
        return tuple(self._found_by_key.values())

    def view_since(self, revision: int, lapse_ms: int) -> digests.StoreView:
        """Returns what another gateway lacks.

        Args:
          revision: The store revision that it knows.
          lapse_ms: For how much longer entries that are gone may come back.
        """
        return digests.StoreView(
            self.revision,
            tuple(
                found
                for found in self._found_by_key.values()
                if found.revision > revision
            ),
            tuple(self._found_by_key),
            lapse_ms,
        )

    def get(self, key: str) -> platform.Found | None:
        """Returns the value held of a key."""
        return self._found_by_key.get(key)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Makes the next call when it is due."""
        if self._calling or stamp.now_ms < self._call_deadline_ms:
            return []
        self._calling = True
        self._generation += 1
        call: platform.Call
        if self._must_list or stamp.now_ms >= self._list_deadline_ms:
            whole = self._must_list
            call = platform.List(self.prefix if whole else self._relist_prefix)
            limit_ms = LIST_TIMEOUT_MS
        else:
            call = platform.WatchPrefix(self.prefix, self.revision, WATCH_MS)
            limit_ms = WATCH_MS + WATCH_GRACE_MS
        deadline_ms = stamp.now_ms + limit_ms
        return self._calls.call(
            stamp, self._owner, self._generation, call, deadline_ms
        )

    def restart(self) -> None:
        """Calls again at once; a call that still waits is ignored.

        A watch that was waiting when the store went away may never be
        answered.
        """
        self._generation += 1
        self._calling = False
        self._call_deadline_ms = 0
        self._retry_ms = FIRST_RETRY_MS

    def merge_view(
        self, stamp: events.Stamp, store_view: digests.StoreView
    ) -> list[Any]:
        """Takes what another gateway holds, if it is newer.

        A key that is neither sent nor held here was changed again after
        the other gateway was asked; the next answer brings it.
        """
        if store_view.revision <= self.revision:
            return []
        found_by_key = {
            key: self._found_by_key[key]
            for key in store_view.keys
            if key in self._found_by_key
        }
        found_by_key.update({found.key: found for found in store_view.newer})
        listed = platform.Listed(
            self.prefix, tuple(found_by_key.values()), store_view.revision
        )
        return self._take_all(stamp, listed, True, store_view.lapse_ms)

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Takes the answer to a call."""
        if tag != self._generation:
            return []
        self._calling = False
        if isinstance(result, platform.Unavailable):
            self._call_deadline_ms = stamp.now_ms + self._retry_ms
            self._retry_ms = min(self._retry_ms * 2, MAX_RETRY_MS)
            return []
        self._retry_ms = FIRST_RETRY_MS
        self._call_deadline_ms = stamp.now_ms
        self.store_confirmed_ms = stamp.now_ms
        if isinstance(result, platform.Compacted):
            self._must_list = True
            return []
        if isinstance(result, platform.Listed):
            self._list_deadline_ms = stamp.now_ms + RELIST_INTERVAL_MS
            if result.prefix != self.prefix:
                return self._take_part(stamp, result)
            self._must_list = False
            if result.revision < self.revision:
                # Another gateway told of a newer state meanwhile.
                return []
            return self._take_all(stamp, result, False)
        if isinstance(result, platform.Changes):
            if result.changes:
                self._call_deadline_ms = stamp.now_ms + WATCH_PAUSE_MS
            return self._take_changes(stamp, result)
        return []

    def _take_all(
        self,
        stamp: events.Stamp,
        listed: platform.Listed,
        relayed: bool,
        lapse_ms: int = 0,
    ) -> list[Any]:
        self.last_seen_ms = stamp.now_ms
        self.revision = listed.revision
        self._named_revision = 0
        self.changed_revision = max(
            [self.changed_revision, *(each.revision for each in listed.found)]
        )
        before_by_key = self._found_by_key
        self._found_by_key = {found.key: found for found in listed.found}
        written = tuple(
            found
            for key, found in self._found_by_key.items()
            if before_by_key.get(key) != found
        )
        deleted = tuple(before_by_key.keys() - self._found_by_key.keys())
        return [
            notices.PrefixChanged(
                self.prefix, written, deleted, relayed, lapse_ms
            )
        ]

    def _certain_revision(self, changes: platform.Changes) -> int:
        """Returns the revision up to which a watch has certainly told all.

        The revision that the answer names may belong to a change that was
        made after its events were collected. So the next watch goes on
        from the last event; without one, from what the answer before
        named, since this watch began after it.
        """
        if changes.changes:
            self._named_revision = 0
            return max(change.revision for change in changes.changes)
        certain, self._named_revision = (
            self._named_revision,
            changes.revision,
        )
        return certain

    def _take_part(
        self, stamp: events.Stamp, listed: platform.Listed
    ) -> list[Any]:
        """Takes a list of part of the keys; the watch goes on as it was."""
        self.last_seen_ms = stamp.now_ms
        found_by_key = {found.key: found for found in listed.found}
        written = []
        deleted = []
        for found in listed.found:
            held = self._found_by_key.get(found.key)
            if held is None or held.revision < found.revision:
                self._found_by_key[found.key] = found
                written.append(found)
        for key, held in list(self._found_by_key.items()):
            gone = key.startswith(listed.prefix) and key not in found_by_key
            if gone and held.revision <= listed.revision:
                del self._found_by_key[key]
                deleted.append(key)
        if not written and not deleted:
            return []
        return [
            notices.PrefixChanged(
                self.prefix, tuple(written), tuple(deleted), False
            )
        ]

    def confirm(self, last_seen_ms: int) -> None:
        """Takes note that another gateway knows of nothing newer."""
        self.last_seen_ms = max(self.last_seen_ms, last_seen_ms)

    def _take_changes(
        self, stamp: events.Stamp, changes: platform.Changes
    ) -> list[Any]:
        self.last_seen_ms = stamp.now_ms
        self.revision = max(self.revision, self._certain_revision(changes))
        written: dict[str, platform.Found] = {}
        deleted: dict[str, None] = {}
        for change in changes.changes:
            self.changed_revision = max(self.changed_revision, change.revision)
            held = self._found_by_key.get(change.key)
            if held is not None and held.revision >= change.revision:
                continue
            if isinstance(change, platform.Found):
                self._found_by_key[change.key] = change
                written[change.key] = change
                deleted.pop(change.key, None)
            elif held is not None:
                del self._found_by_key[change.key]
                written.pop(change.key, None)
                deleted[change.key] = None
        if not written and not deleted:
            return []
        return [
            notices.PrefixChanged(
                self.prefix, tuple(written.values()), tuple(deleted), False
            )
        ]
