"""Writes bills to the platform service, each counted exactly once.

Bills wait in memory until the page that holds them is written. A page
ignores an id that it already holds, so repeated writes are harmless.
"""

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
#: Page writes per second that all entries together may make for bills.
FLEET_FLUSHES_PER_S = 100
CAPACITY = 20_000
#: Fractions of the capacity from which a warning is logged, and from which
#: new work is refused.
WARN_FRACTION = 0.8
REFUSE_FRACTION = 0.9
RETRY_AFTER_MS = 1_000


class BillBuffer:
    """Holds bills until the platform service has counted them.

    The page of a bill depends on its id alone, and a page adds each id
    only once. Any process may therefore write a bill, any number of times.

    Args:
      calls: Makes the platform calls.
      capacity: Most bills that may wait at once.
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
        calls.restores.register(self)

    def set_entry_count(self, entries: int) -> None:
        """Adapts the flush interval to the number of live entries."""
        self._entries = max(entries, 1)

    def flush_interval_ms(self) -> int:
        """Returns how long a bill waits for others of its page, in ms."""
        fleet_interval_ms = self._entries * 1000 // FLEET_FLUSHES_PER_S
        return max(MIN_FLUSH_INTERVAL_MS, fleet_interval_ms)

    def pending_count(self) -> int:
        """Returns the number of bills that are not yet counted."""
        return len(self._waiting_by_id)

    def check(self) -> errors.BillingFull | None:
        """Returns a refusal of new work if the buffer is almost full."""
        if self.pending_count() < self._capacity * REFUSE_FRACTION:
            return None
        return errors.BillingFull(self.pending_count(), RETRY_AFTER_MS)

    def add(self, stamp: events.Stamp, bill: requests.Bill) -> list[Any]:
        """Queues a bill to be counted, unless it is already queued.

        Args:
          stamp: Time and randomness.
          bill: The bill.
        Returns: Effects; a BillsCounted notice follows when it is counted.
        """
        key = usage_page.page_key(bill.id)
        if key is None:
            return [effects.Count('bills_malformed', ())]
        if bill.id in self._waiting_by_id:
            return []
        self._waiting_by_id[bill.id] = bill
        due_at_ms = stamp.now_ms + self.flush_interval_ms()
        items = self._pages.submit(stamp, key, bill, due_at_ms)
        return self._apply_items(items) + self._check_level()

    def on_restored(self, stamp: events.Stamp) -> list[Any]:
        """Writes bills again that the restored service may lack."""
        return self._apply_items(self._pages.on_restored(stamp))

    def flush(self, stamp: events.Stamp) -> list[Any]:
        """Writes all bills now, without the delay; used on shutdown."""
        return self._apply_items(self._pages.flush(stamp))

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Writes the pages that are due."""
        return self._apply_items(self._pages.on_tick(stamp))

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the result of a call on a page."""
        return self._apply_items(
            self._pages.on_result(stamp, tag, call, result)
        )

    def _apply_items(self, items: list[Any]) -> list[Any]:
        outputs: list[Any] = []
        counted_ids: list[str] = []
        for item in items:
            if isinstance(item, group_commit.Completed):
                counted_ids.append(item.operation.id)
            else:
                outputs.append(item)
        for bill_id in counted_ids:
            self._waiting_by_id.pop(bill_id, None)
        if not counted_ids:
            return outputs
        outputs.append(notices.BillsCounted(tuple(counted_ids)))
        outputs.append(effects.Count('bills_counted', (), len(counted_ids)))
        return outputs + self._check_level()

    def _check_level(self) -> list[Any]:
        above_warning = self.pending_count() >= self._capacity * WARN_FRACTION
        if above_warning == self._warned:
            return []
        self._warned = above_warning
        message = (
            'bills pile up' if above_warning else 'bills no longer pile up'
        )
        fields = {'waiting': self.pending_count(), 'capacity': self._capacity}
        return [
            effects.Count('billing_level_changes', ()),
            effects.LogChange(message, fields),
        ]


def new_bill_buffer(
    calls: platform_calls.PlatformCalls, capacity: int = CAPACITY
) -> BillBuffer:
    """Builds an empty bill buffer.

    Args:
      calls: Makes the platform calls.
      capacity: Most bills that may wait at once.
    Returns: The bill buffer.
    """
    return BillBuffer(calls, capacity)
