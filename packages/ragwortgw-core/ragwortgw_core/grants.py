"""Assigns the idempotency keys of future time intervals to agents.

This is the alternative to the ledger's claims for running a call at most
once. Each pair of hash shard and interval of idempotency keys is assigned to
one agent; the assignment is written to the platform service once and never
changed. Only that agent runs calls with these keys, and it remembers them,
so that no call on the service is needed per request.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple, TypedDict

import msgspec
import xxhash

from ragwortgw_core import decoding
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import ids
from ragwortgw_core import platform
from ragwortgw_core import platform_calls

OWNER = 'grants'
INTERVAL_MS = 10_000
SHARDS = 64
#: Future intervals that are assigned in advance.
AHEAD_INTERVALS = 12
#: Intervals whose holders an entry remembers.
MAX_KNOWN_INTERVALS = 1_024
CALL_TIMEOUT_MS = 1_000
RETRY_MS = 500


class Holder(NamedTuple):
    """An agent process; the incarnation changes with each restart."""

    agent_id: str
    incarnation: str


class Content(TypedDict):
    """The stored holders of one interval, by shard."""

    holders: list[Holder]


class IntervalTag(NamedTuple):
    """Identifies a call on the grants of an interval."""

    interval: int


class GrantTable:
    """An entry's table of the agents that hold the keys.

    The first entry to write the grants of an interval determines them for
    all entries.

    Args:
      calls: Makes the platform calls.
    """

    def __init__(self, calls: platform_calls.PlatformCalls) -> None:
        self._calls = calls
        self._agents: tuple[Holder, ...] = ()
        self._holders_by_interval: dict[int, list[Holder]] = {}
        self._retry_at_ms_by_interval: dict[int, int] = {}
        calls.register(OWNER, self)

    def agents(self, agents: Sequence[Holder]) -> None:
        """Sets the live agents to which future intervals are assigned."""
        self._agents = tuple(sorted(agents))

    def holder(self, idempotency_key: str) -> Holder | None:
        """Returns the only agent that may run the call of a key.

        Args:
          idempotency_key: A UUIDv7.
        Returns: The agent, or None if the grants of its interval are not
          known; the call may then have run already.
        """
        key_ms = ids.uuid7_ms(idempotency_key)
        if key_ms is None:
            return None
        holders = self._holders_by_interval.get(key_ms // INTERVAL_MS)
        if not holders:
            return None
        key = idempotency_key.lower().encode()
        return holders[xxhash.xxh64_intdigest(key) % len(holders)]

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Reads or creates the grants of the next intervals."""
        current = stamp.now_ms // INTERVAL_MS
        outputs: list[Any] = []
        for interval in range(current, current + AHEAD_INTERVALS + 1):
            if interval not in self._holders_by_interval:
                outputs += self._read(stamp, interval)
        self._evict_old()
        return outputs

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the result of a call on the grants of an interval."""
        interval = tag.interval
        self._retry_at_ms_by_interval[interval] = stamp.now_ms + RETRY_MS
        if isinstance(result, platform.Found | platform.Conflict):
            return self._store_holders(interval, result.value)
        if isinstance(result, platform.Written):
            assert isinstance(call, platform.Put)
            return self._store_holders(interval, call.value)
        if isinstance(result, platform.Absent) and self._agents:
            content = Content(holders=self._assign_shards(interval))
            value = msgspec.msgpack.encode(content)
            put = platform.Put(_key(interval), value, 0)
            return self._call(stamp, interval, put)
        return []

    def _read(self, stamp: events.Stamp, interval: int) -> list[Any]:
        retry_at_ms = self._retry_at_ms_by_interval.get(interval, 0)
        if stamp.now_ms < retry_at_ms:
            return []
        return self._call(stamp, interval, platform.Get(_key(interval)))

    def _call(
        self, stamp: events.Stamp, interval: int, call: platform.Call
    ) -> list[Any]:
        deadline_ms = stamp.now_ms + CALL_TIMEOUT_MS
        self._retry_at_ms_by_interval[interval] = deadline_ms + RETRY_MS
        tag = IntervalTag(interval)
        return self._calls.call(stamp, OWNER, tag, call, deadline_ms)

    def _store_holders(self, interval: int, value: bytes) -> list[Any]:
        try:
            content = decoding.from_msgpack(value, Content)
        except decoding.Undecodable:
            return [effects.Count('grants_damaged', ())]
        self._holders_by_interval[interval] = content['holders']
        self._retry_at_ms_by_interval.pop(interval, None)
        return []

    def _assign_shards(self, interval: int) -> list[Holder]:
        count = len(self._agents)
        return [
            self._agents[(interval + shard) % count] for shard in range(SHARDS)
        ]

    def _evict_old(self) -> None:
        while len(self._holders_by_interval) > MAX_KNOWN_INTERVALS:
            oldest = min(self._holders_by_interval)
            del self._holders_by_interval[oldest]


def _key(interval: int) -> str:
    return f'grants/{interval}'
