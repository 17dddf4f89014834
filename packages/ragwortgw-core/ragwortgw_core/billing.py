"""Counts each bill exactly once in the platform service."""

from typing import Any

from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import group_commit
from ragwortgw_core import notices
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_core import requests
from ragwortgw_core import usage_page

OWNER = 'billing'
MIN_FLUSH_INTERVAL_MS = 500
#: Writes a second that all entries together make for bills.
FLEET_FLUSHES_PER_S = 100
CAPACITY = 20_000
WARN_FRACTION = 0.8
REFUSE_FRACTION = 0.9
RETRY_AFTER_MS = 1_000


class BillBuffer:
    """Holds bills until they are counted for certain.

    The page of a bill follows from its id alone, and a page adds an id
    only once, so that it does not matter who flushes a bill or how often.

    Args:
      calls: Makes the platform calls.
      capacity: The most bills that wait at once.
    """

    def __init__(
        self, calls: platform_calls.PlatformCalls, capacity: int = CAPACITY
    ) -> None:
        self._calls = calls
        self._capacity = capacity
        self._entries = 1
        self._pages = group_commit.GroupCommitter(
            calls, OWNER, usage_page.Codec()
        )
        self._waiting_by_id: dict[str, requests.Bill] = {}
        self._warned = False
        calls.register(OWNER, self)

    def set_entry_count(self, entries: int) -> None:
        """Fits the flush interval to the number of live entries."""
        self._entries = max(entries, 1)

    def flush_interval_ms(self) -> int:
        """Returns how long a bill waits for others of its page."""
        fair_ms = self._entries * 1000 // FLEET_FLUSHES_PER_S
        return max(MIN_FLUSH_INTERVAL_MS, fair_ms)

    def pending_count(self) -> int:
        """Returns the number of bills that are not counted yet."""
        return len(self._waiting_by_id)

    def check(self) -> errors.BillingFull | None:
        """Refuses new work when there is no room left for its bills."""
        if self.pending_count() < self._capacity * REFUSE_FRACTION:
            return None
        return errors.BillingFull(self.pending_count(), RETRY_AFTER_MS)

    def add(self, stamp: events.Stamp, bill: requests.Bill) -> list[Any]:
        """Takes a bill; one that already waits is not taken twice.

        Args:
          stamp: Time and randomness.
          bill: The bill.
        Returns: Effects; BillsCounted follows when it is counted.
        """
        key = usage_page.page_key(bill.id)
        if key is None:
            return [effects.Count('bills_malformed', ())]
        if bill.id in self._waiting_by_id:
            return []
        self._waiting_by_id[bill.id] = bill
        due_at_ms = stamp.now_ms + self.flush_interval_ms()
        items = self._pages.submit(stamp, key, bill, due_at_ms)
        return self._apply(items) + self._level()

    def flush(self, stamp: events.Stamp) -> list[Any]:
        """Writes all bills now, as before a planned stop."""
        return self._apply(self._pages.flush(stamp))

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Writes the pages that are due."""
        return self._apply(self._pages.on_tick(stamp))

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the answer to a call on a page."""
        return self._apply(self._pages.on_result(stamp, tag, call, result))

    def _apply(self, items: list[Any]) -> list[Any]:
        out: list[Any] = []
        counted: list[str] = []
        for item in items:
            if isinstance(item, group_commit.Completed):
                counted.append(item.operation.id)
            else:
                out.append(item)
        for bill_id in counted:
            self._waiting_by_id.pop(bill_id, None)
        if not counted:
            return out
        out.append(notices.BillsCounted(tuple(counted)))
        out.append(effects.Count('bills_counted', (), len(counted)))
        return out + self._level()

    def _level(self) -> list[Any]:
        high = self.pending_count() >= self._capacity * WARN_FRACTION
        if high == self._warned:
            return []
        self._warned = high
        message = 'bills pile up' if high else 'bills no longer pile up'
        fields = {'waiting': self.pending_count(), 'capacity': self._capacity}
        return [
            effects.Count('billing_level_changes', ()),
            effects.LogChange(message, fields),
        ]


def new_bill_buffer(
    calls: platform_calls.PlatformCalls, capacity: int = CAPACITY
) -> BillBuffer:
    """Builds an empty bill book.

    Args:
      calls: Makes the platform calls.
      capacity: The most bills that wait at once.
    Returns: The bill book.
    """
    return BillBuffer(calls, capacity)
