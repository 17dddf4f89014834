"""Prefix blocks that no backend server gets, since they crash servers.

All gateways agree on them through reports between peers, and keep them in
the store, so that a gateway that starts knows them. Deleting such a value
releases its block.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec
import xxhash

from ragwortgw_core import decoding
from ragwortgw_core import effects as core_effects
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_gateway import digests
from ragwortgw_gateway import formats

#: Name under which results of calls to the store are returned here.
OWNER = 'quarantine'
#: A released block has to crash servers again to come back, so that this is
#: long; a new version of the model servers may run it.
LIFETIME_MS = 3_600_000
#: Blocks in quarantine; a new one takes the place of the oldest.
MAX_BLOCKS = 64
#: All gateways find a block at once. They write it after a random time, and
#: only if none did before; a call that failed is repeated as much later.
WRITE_SPREAD_MS = 1_000
#: Number of random values of that time.
SPREAD_STEPS = 1_024
CALL_TIMEOUT_MS = 1_500


class Entry(NamedTuple):
    """A block in quarantine, as kept in the store.

    Args:
      block: Id of the block.
      until_ms: When it is released, Unix ms.
    """

    block: str
    until_ms: int


class _Block:
    """A block in quarantine.

    Attributes:
      until_ms: When it is released.
      revision: Store revision of its value, 0 if the store has none.
      call_ms: When the store is next called about it.
    """

    __slots__ = ('until_ms', 'revision', 'call_ms')

    def __init__(self, until_ms: int, call_ms: int) -> None:
        self.until_ms = until_ms
        self.revision = 0
        self.call_ms = call_ms


class BlockQuarantine:
    """Blocks in quarantine.

    Args:
      calls: Makes calls to the store.
      store_formats: Keys of the deployment's store.
    """

    def __init__(
        self,
        calls: platform_calls.PlatformCalls,
        store_formats: formats.Formats,
    ) -> None:
        self._calls = calls
        self._prefix = f'{store_formats.own_prefix}quarantine/'
        self._blocks_by_id: dict[str, _Block] = {}
        #: Released blocks whose values are still to be deleted.
        self._deletions_by_id: dict[str, _Block] = {}
        calls.register(OWNER, self)

    @property
    def blocks(self) -> frozenset[str]:
        """Ids of all blocks in quarantine."""
        return frozenset(self._blocks_by_id)

    def find(self, blocks: Iterable[str]) -> str:
        """Returns the first of some blocks in quarantine, '' if none is."""
        if not self._blocks_by_id:
            return ''
        return next(
            (block for block in blocks if block in self._blocks_by_id), ''
        )

    def add(
        self, block: str, stamp: events.Stamp, left_ms: int = LIFETIME_MS
    ) -> bool:
        """Puts a block in quarantine.

        Args:
          block: Its id.
          stamp: Time and random seed.
          left_ms: For how long.
        Returns: Whether it was not in quarantine before.
        """
        if block in self._blocks_by_id or left_ms <= 0:
            return False
        while len(self._blocks_by_id) >= MAX_BLOCKS:
            del self._blocks_by_id[next(iter(self._blocks_by_id))]
        self._deletions_by_id.pop(block, None)
        until_ms = stamp.now_ms + min(left_ms, LIFETIME_MS)
        self._blocks_by_id[block] = _Block(
            until_ms, stamp.now_ms + _spread_ms(stamp.seed)
        )
        return True

    def describe(self, now_ms: int) -> tuple[digests.QuarantinedBlock, ...]:
        """Returns all blocks in quarantine, for peers."""
        return tuple(
            digests.QuarantinedBlock(block, entry.until_ms - now_ms)
            for block, entry in self._blocks_by_id.items()
        )

    def held_ms(self, block: str, now_ms: int) -> int:
        """Returns how long a block has been in quarantine, 0 if it is not."""
        entry = self._blocks_by_id.get(block)
        if entry is None:
            return 0
        return max(0, LIFETIME_MS - (entry.until_ms - now_ms))

    def release(self, block: str, stamp: events.Stamp) -> list[Any]:
        """Releases a block, and deletes its value until the store did so.

        Returns: Effects.
        """
        entry = self._blocks_by_id.pop(block, None)
        if entry is None or not entry.revision:
            return []
        self._deletions_by_id[block] = entry
        return self._delete(stamp, block, entry)

    def _delete(
        self, stamp: events.Stamp, block: str, entry: _Block
    ) -> list[Any]:
        entry.call_ms = stamp.now_ms + CALL_TIMEOUT_MS + _spread_ms(stamp.seed)
        delete = platform.Delete(self._key(block), entry.revision)
        return self._call(stamp, block, delete)

    def owns(self, key: str) -> bool:
        """Returns whether a key of the store is that of a block."""
        return key.startswith(self._prefix)

    def apply_value(self, found: platform.Found, stamp: events.Stamp) -> str:
        """Applies a value of the store.

        Returns: The block if it was not in quarantine before, '' otherwise.
        """
        try:
            entry = decoding.from_json(found.value, Entry)
        except decoding.Undecodable:
            return ''
        if found.key != self._key(entry.block):
            return ''
        added = self.add(entry.block, stamp, entry.until_ms - stamp.now_ms)
        known = self._blocks_by_id.get(entry.block)
        if known is not None:
            known.revision = max(known.revision, found.revision)
        return entry.block if added else ''

    def apply_deletion(self, key: str) -> str:
        """Releases the block of a deleted value.

        Returns: The block, '' if none was in quarantine.
        """
        for block in list(self._blocks_by_id):
            if self._key(block) == key:
                del self._blocks_by_id[block]
                return block
        return ''

    def on_store_restored(self, stamp: events.Stamp) -> None:
        """Has the values written again that the store may have lost."""
        for entry in self._blocks_by_id.values():
            entry.revision = 0
            entry.call_ms = stamp.now_ms + _spread_ms(stamp.seed)

    def on_tick(self, stamp: events.Stamp) -> tuple[list[str], list[Any]]:
        """Writes what the store lacks, and releases blocks in time.

        Returns: Released blocks, and effects.
        """
        released: list[str] = []
        outputs: list[Any] = []
        for block, entry in list(self._blocks_by_id.items()):
            if stamp.now_ms >= entry.until_ms:
                released.append(block)
                del self._blocks_by_id[block]
                if entry.revision:
                    delete = platform.Delete(self._key(block), entry.revision)
                    outputs += self._call(stamp, block, delete)
            elif not entry.revision and stamp.now_ms >= entry.call_ms:
                entry.call_ms = (
                    stamp.now_ms + CALL_TIMEOUT_MS + _spread_ms(stamp.seed)
                )
                value = msgspec.json.encode(Entry(block, entry.until_ms))
                put = platform.Put(self._key(block), value, 0)
                outputs += self._call(stamp, block, put)
        for block, entry in self._deletions_by_id.items():
            if stamp.now_ms >= entry.call_ms:
                outputs += self._delete(stamp, block, entry)
        return released, outputs

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Handles the result of a write."""
        if isinstance(call, platform.Delete):
            if not isinstance(result, platform.Unavailable):
                self._deletions_by_id.pop(tag, None)
            return []
        entry = self._blocks_by_id.get(tag)
        if entry is None or not isinstance(call, platform.Put):
            return []
        if isinstance(result, platform.Written | platform.Conflict):
            entry.revision = max(entry.revision, result.revision)
            return []
        return [core_effects.Record('quarantine-unwritten', {'block': tag})]

    def _call(
        self, stamp: events.Stamp, block: str, call: platform.Call
    ) -> list[Any]:
        deadline_ms = stamp.now_ms + CALL_TIMEOUT_MS
        return self._calls.call(stamp, OWNER, block, call, deadline_ms)

    def _key(self, block: str) -> str:
        # Callers choose the ids, of any length and with any characters.
        return f'{self._prefix}{xxhash.xxh64_hexdigest(block.encode())}'


def _spread_ms(seed: int) -> int:
    return WRITE_SPREAD_MS * (seed % SPREAD_STEPS) // SPREAD_STEPS
