"""Copies of bills that an agent keeps until they are counted."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import requests

ORPHAN_AFTER_MS = 10_000
#: Copies older than this are offered even while their entry lives.
MAX_COPY_AGE_MS = 600_000
OFFER_INTERVAL_MS = 5_000
MAX_OFFERED = 256
CAPACITY = 10_000
WARN_FRACTION = 0.8
MAX_LOST_ENTRIES = 1_024


class BillCopy(NamedTuple):
    """A bill held for an entry."""

    entry_id: str
    bill: requests.Bill
    held_at_ms: int
    offered_at_ms: int
    receipt: bool


class BillCopies:
    """Holds bills for entries, and offers those whose entry is gone.

    For each whole answer the agent makes a receipt: the bill as it would
    stand if the entry died before it sent its own. The entry's bill takes
    its place; both have the same id and so count once.

    Args:
      capacity: The most copies held at once.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._copies_by_id: dict[str, BillCopy] = {}
        self._gone_at_ms_by_entry: dict[str, int] = {}
        self._warned = False

    def __len__(self) -> int:
        return len(self._copies_by_id)

    def entry_connected(self, entry_id: str) -> None:
        """Notes that an entry's control stream is up."""
        self._gone_at_ms_by_entry.pop(entry_id, None)

    def entry_lost(self, stamp: events.Stamp, entry_id: str) -> None:
        """Notes that an entry's control stream broke or fell silent."""
        self._gone_at_ms_by_entry.setdefault(entry_id, stamp.now_ms)
        if len(self._gone_at_ms_by_entry) > MAX_LOST_ENTRIES:
            self._forget_gone()

    def add_bill(
        self, stamp: events.Stamp, entry_id: str, bill: requests.Bill
    ) -> list[Any]:
        """Holds an entry's bill; it replaces the receipt of the same id."""
        return self._put(BillCopy(entry_id, bill, stamp.now_ms, 0, False))

    def add_receipt(
        self,
        stamp: events.Stamp,
        entry_id: str,
        dispatch: requests.Dispatch,
        answer: requests.Answer,
    ) -> list[Any]:
        """Makes a receipt for a whole answer of the backend server.

        Args:
          stamp: Time and randomness.
          entry_id: The entry that asked.
          dispatch: What it asked.
          answer: The answer with its usage.
        Returns: Effects.
        """
        if dispatch.request_id in self._copies_by_id:
            return []
        bill = receipt(stamp, dispatch, answer)
        return self._put(BillCopy(entry_id, bill, stamp.now_ms, 0, True))

    def remove_counted(self, bill_ids: Iterable[str]) -> None:
        """Drops copies of bills that are counted."""
        for bill_id in bill_ids:
            self._copies_by_id.pop(bill_id, None)
        self._warned = self._high()

    def remove_settled(self, request_ids: Iterable[str]) -> None:
        """Drops receipts of requests that end without a bill."""
        for request_id in request_ids:
            copy = self._copies_by_id.get(request_id)
            if copy is not None and copy.receipt:
                del self._copies_by_id[request_id]

    def bills_to_offer(self, stamp: events.Stamp) -> list[requests.Bill]:
        """Returns the bills to offer to a live entry now.

        A bill is offered again after a while until it is counted.

        Args:
          stamp: Time and randomness.
        Returns: At most MAX_OFFERED bills.
        """
        bills: list[requests.Bill] = []
        for bill_id, copy in self._copies_by_id.items():
            if len(bills) == MAX_OFFERED:
                break
            if not self._due(stamp, copy):
                continue
            bills.append(copy.bill)
            self._copies_by_id[bill_id] = copy._replace(
                offered_at_ms=stamp.now_ms
            )
        return bills

    def is_full(self) -> bool:
        """Tells whether no further copy has room."""
        return len(self._copies_by_id) >= self._capacity

    def _due(self, stamp: events.Stamp, copy: BillCopy) -> bool:
        if stamp.now_ms - copy.offered_at_ms < OFFER_INTERVAL_MS:
            return False
        if stamp.now_ms - copy.held_at_ms > MAX_COPY_AGE_MS:
            return True
        gone_at_ms = self._gone_at_ms_by_entry.get(copy.entry_id)
        if gone_at_ms is None:
            return False
        return stamp.now_ms - gone_at_ms >= ORPHAN_AFTER_MS

    def _put(self, copy: BillCopy) -> list[Any]:
        held = self._copies_by_id.get(copy.bill.id)
        if held is None and self.is_full():
            return [effects.Count('bill_copies_refused', ())]
        self._copies_by_id[copy.bill.id] = copy
        if self._warned or not self._high():
            return []
        self._warned = True
        fields = {'held': len(self), 'capacity': self._capacity}
        return [effects.LogChange('bill copies pile up', fields)]

    def _high(self) -> bool:
        return len(self._copies_by_id) >= self._capacity * WARN_FRACTION

    def _forget_gone(self) -> None:
        holders = {copy.entry_id for copy in self._copies_by_id.values()}
        for entry_id in list(self._gone_at_ms_by_entry):
            if entry_id not in holders:
                del self._gone_at_ms_by_entry[entry_id]


def receipt(
    stamp: events.Stamp, dispatch: requests.Dispatch, answer: requests.Answer
) -> requests.Bill:
    """Makes the bill of an attempt from the prices in its dispatch.

    Args:
      stamp: Time and randomness.
      dispatch: The attempt.
      answer: The whole answer.
    Returns: The bill.
    """
    input_tokens = answer.usage['input_tokens']
    output_tokens = answer.usage['output_tokens']
    return requests.Bill(
        id=dispatch.request_id,
        organisation=dispatch.organisation,
        target=dispatch.target or dispatch.model,
        model=dispatch.model,
        version=dispatch.version,
        revision=dispatch.revision,
        input_tokens=input_tokens,
        output_tokens=output_tokens,
        cost_micros=requests.cost_micros(
            dispatch.prices, input_tokens, output_tokens
        ),
        at_ms=stamp.now_ms,
    )
