"""Keeps the gateway registered in the store and detects outages.

The registration is a key under a lease. Each renewal of the lease is also a
probe of the store.
"""

from typing import Any

import msgspec

from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_gateway import notices

#: Name under which results of calls to the store are returned here.
OWNER = 'link'
#: A lease survives three failed renewals.
LEASE_TTL_MS = 8_000
#: Each renewal also probes the store, so that an outage is detected before
#: a watch that hangs in it times out.
RENEW_INTERVAL_MS = 2_000
#: A healthy store answers within milliseconds; one that is slower by a
#: factor of a hundred still counts as reachable.
CALL_TIMEOUT_MS = 1_000
RETRY_MS = 500


class StoreLink:
    """Registers the gateway under a lease, and renews the lease.

    Args:
      calls: Makes calls to the store.
      key: Key of the gateway's registration.
      value: The registration, stored as JSON.
      lease: Name of its lease, unique for each start of the process.

    Attributes:
      recovered_ms: When the last outage of the store ended, 0 if there was
        none.
    """

    def __init__(
        self,
        calls: platform_calls.PlatformCalls,
        key: str,
        value: Any,
        lease: str,
    ) -> None:
        self._calls = calls
        self._key = key
        self._value = msgspec.json.encode(value)
        self._lease = lease
        self._call_deadline_ms = 0
        self._call_pending = False
        self._registered = False
        self._revision = 0
        self._failed_since_ms: int | None = None
        self.recovered_ms = 0
        calls.register(OWNER, self)

    @property
    def reachable(self) -> bool:
        """Whether the store answered the last call."""
        return self._failed_since_ms is None

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Renews the lease when it is due."""
        if self._call_pending or stamp.now_ms < self._call_deadline_ms:
            return []
        self._call_pending = True
        grant = platform.Grant(self._lease, LEASE_TTL_MS)
        return self._call(stamp, grant)

    def release(self, stamp: events.Stamp) -> list[Any]:
        """Revokes the lease, which deletes the registration."""
        self._call_pending = True
        return self._call(stamp, platform.Revoke(self._lease))

    def register_again(self, due_ms: int) -> None:
        """Makes the link register the gateway anew.

        Args:
          due_ms: When; gateways that do so together choose different times.
        """
        self._registered = False
        self._revision = 0
        self._call_deadline_ms = due_ms

    def probe(self, stamp: events.Stamp) -> list[Any]:
        """Makes a probe due at the next tick, after another call failed.

        During an outage nothing changes, since the store is probed anyway.
        """
        if self.reachable:
            self._call_deadline_ms = min(self._call_deadline_ms, stamp.now_ms)
        return []

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Handles the result of one of the link's calls."""
        if isinstance(call, platform.Revoke):
            return []
        self._call_pending = False
        if isinstance(result, platform.Unavailable):
            return self._on_failure(stamp)
        outputs = self._on_success(stamp)
        if isinstance(call, platform.Grant):
            self._call_deadline_ms = stamp.now_ms + RENEW_INTERVAL_MS
            if isinstance(result, platform.Granted) and result.renewed:
                if self._registered:
                    return outputs
            put = platform.Put(
                self._key, self._value, self._revision, self._lease
            )
            self._call_pending = True
            return [*outputs, *self._call(stamp, put)]
        if isinstance(result, platform.Written):
            self._registered = True
            self._revision = result.revision
        if isinstance(result, platform.Conflict):
            self._registered = False
            self._revision = result.revision
            self._call_deadline_ms = stamp.now_ms
        return outputs

    def _call(self, stamp: events.Stamp, call: platform.Call) -> list[Any]:
        deadline_ms = stamp.now_ms + CALL_TIMEOUT_MS
        return self._calls.call(stamp, OWNER, 'link', call, deadline_ms)

    def _on_failure(self, stamp: events.Stamp) -> list[Any]:
        self._call_deadline_ms = stamp.now_ms + RETRY_MS
        if self._failed_since_ms is not None:
            return []
        self._failed_since_ms = stamp.now_ms
        return [notices.StoreLost()]

    def _on_success(self, stamp: events.Stamp) -> list[Any]:
        if self._failed_since_ms is None:
            return []
        outage_ms = stamp.now_ms - self._failed_since_ms
        self._failed_since_ms = None
        self.recovered_ms = stamp.now_ms
        return [notices.StoreRecovered(outage_ms)]
