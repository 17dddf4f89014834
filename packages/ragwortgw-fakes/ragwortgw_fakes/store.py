"""Values, revisions, leases and waiting watches of the platform fake."""

import asyncio
import collections
import time
from typing import NamedTuple

LAPSE_INTERVAL_S = 0.02
#: Changes that can be undone.
MAX_CHANGES = 100_000
NS_PER_MS = 1_000_000


class Item(NamedTuple):
    """One value; lease '' keeps it for ever."""

    key: str
    value: bytes
    revision: int
    lease: str


class Change(NamedTuple):
    """A change of a key: when, by the monotonic clock, and what was before.

    changed is the revision of the change before; revision that of the store.
    """

    at_ms: int
    key: str
    item: Item | None
    changed: int
    revision: int


class Store:
    """Values with compare-and-swap; one revision counts all changes.

    epoch is the number of times that it was restored from an older copy.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.epoch = 0
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=MAX_CHANGES
        )
        self._granted_ms_by_lease: dict[str, int] = {}
        self._items_by_key: dict[str, Item] = {}
        self._changed_by_key: dict[str, int] = {}
        self._lease_deadlines_ms: dict[str, int] = {}
        self._waiters_by_key: dict[str, set[asyncio.Future[bool]]] = {}

    def get(self, key: str) -> Item | None:
        """Returns the value of a key, or None."""
        return self._items_by_key.get(key)

    def list(self, prefix: str) -> list[Item]:
        """Returns the values under a prefix, ordered by key."""
        keys = sorted(k for k in self._items_by_key if k.startswith(prefix))
        return [self._items_by_key[key] for key in keys]

    def put(
        self, key: str, value: bytes, expected: int, lease: str
    ) -> int | None:
        """Writes if the key has the expected revision (0: is absent).

        Args:
          key: The key.
          value: The new value.
          expected: Revision that the key must have.
          lease: Lease that the value hangs on, or ''.
        Returns: The new revision, or None when the key has another one.
        """
        if self._revision_of(key) != expected:
            return None
        self._remember(key)
        self.revision += 1
        self._items_by_key[key] = Item(key, value, self.revision, lease)
        self._changed(key)
        return self.revision

    def delete(self, key: str, expected: int) -> int | None:
        """Deletes if the key has the expected revision.

        Args:
          key: The key.
          expected: Revision that the key must have.
        Returns: The revision of the deletion, or None.
        """
        if expected == 0 or self._revision_of(key) != expected:
            return None
        self._remember(key)
        del self._items_by_key[key]
        self.revision += 1
        self._changed(key)
        return self.revision

    async def wait(self, key: str, revision: int, timeout_s: float) -> bool:
        """Waits until the key changed after a revision.

        Args:
          key: The key.
          revision: Revision that the watcher has seen.
          timeout_s: Longest wait, in s.
        Returns: Whether it changed.
        """
        if self._changed_by_key.get(key, 0) > revision:
            return True
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[bool] = loop.create_future()
        waiters = self._waiters_by_key.setdefault(key, set())
        waiters.add(waiter)
        try:
            return await asyncio.wait_for(waiter, timeout_s)
        except TimeoutError:
            return False
        finally:
            waiters.discard(waiter)

    def waiting(self) -> int:
        """Returns the number of watches that wait."""
        return sum(len(waiters) for waiters in self._waiters_by_key.values())

    def grant(self, lease: str, deadline_ms: int) -> None:
        """Takes or renews a lease until a Unix time in ms."""
        self._lease_deadlines_ms[lease] = deadline_ms
        self._granted_ms_by_lease.setdefault(lease, _monotonic_ms())

    def has_lease(self, lease: str) -> bool:
        """Returns whether the lease lives."""
        return lease in self._lease_deadlines_ms

    def lease_deadlines(self) -> dict[str, int]:
        """Returns the deadlines of the living leases, Unix ms by name."""
        return dict(self._lease_deadlines_ms)

    def revoke(self, lease: str) -> None:
        """Ends a lease and deletes the values that hang on it."""
        if self._lease_deadlines_ms.pop(lease, None) is None:
            return
        del self._granted_ms_by_lease[lease]
        held = [i for i in self._items_by_key.values() if i.lease == lease]
        for item in held:
            self.delete(item.key, item.revision)

    def lapse(self, now_ms: int) -> None:
        """Ends the leases whose deadline has passed."""
        lapsed = [
            lease
            for lease, deadline_ms in self._lease_deadlines_ms.items()
            if deadline_ms <= now_ms
        ]
        for lease in lapsed:
            self.revoke(lease)

    def restore(self, age_ms: int) -> None:
        """Goes back to the state of some time ago; ends all watches.

        Revisions and leases of that time are gone, and revisions are given
        out again.

        Args:
          age_ms: How long ago.
        """
        copied_ms = _monotonic_ms() - age_ms
        while self._changes and self._changes[-1].at_ms > copied_ms:
            change = self._changes.pop()
            self.revision = change.revision
            self._changed_by_key[change.key] = change.changed
            self._items_by_key.pop(change.key, None)
            if change.item is not None:
                self._items_by_key[change.key] = change.item
        for lease, granted_ms in list(self._granted_ms_by_lease.items()):
            if granted_ms > copied_ms:
                del self._granted_ms_by_lease[lease]
                del self._lease_deadlines_ms[lease]
        for key, item in list(self._items_by_key.items()):
            if item.lease and item.lease not in self._lease_deadlines_ms:
                del self._items_by_key[key]
        self.epoch += 1
        for key in list(self._waiters_by_key):
            self._wake(key)

    def _remember(self, key: str) -> None:
        """Keeps what a change of a key replaces."""
        self._changes.append(
            Change(
                _monotonic_ms(),
                key,
                self._items_by_key.get(key),
                self._changed_by_key.get(key, 0),
                self.revision,
            )
        )

    def _revision_of(self, key: str) -> int:
        item = self._items_by_key.get(key)
        return item.revision if item is not None else 0

    def _changed(self, key: str) -> None:
        self._changed_by_key[key] = self.revision
        self._wake(key)

    def _wake(self, key: str) -> None:
        for waiter in self._waiters_by_key.pop(key, set()):
            if not waiter.done():
                waiter.set_result(True)


def _monotonic_ms() -> int:
    return time.monotonic_ns() // NS_PER_MS
