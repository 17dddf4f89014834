"""Copies of bills that an agent holds until they are counted.

If an entry dies before its bills are counted, the agent offers its copies
to a live entry, so that no answered request goes unbilled.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import requests

#: An entry disconnected for this long is considered dead.
ORPHAN_AFTER_MS = 10_000
#: Older copies are offered even if their entry is connected.
MAX_COPY_AGE_MS = 600_000
OFFER_INTERVAL_MS = 5_000
MAX_OFFERED = 256
CAPACITY = 10_000
#: Fraction of the capacity from which a warning is logged.
WARN_FRACTION = 0.8
MAX_LOST_ENTRIES = 1_024


class BillCopy(NamedTuple):
    """A bill held for an entry.

    Attributes:
      entry_id: The entry.
      bill: The bill, or the receipt made in its place.
      held_at_ms: When the copy was made, Unix ms.
      offered_at_ms: When it was last offered, Unix ms; 0 if never.
      receipt: Whether the agent made the bill itself.
    """

    entry_id: str
    bill: requests.Bill
    held_at_ms: int
    offered_at_ms: int
    receipt: bool


class BillCopies:
    """Holds bills for entries and offers those of dead entries.

    For each complete answer the agent makes a receipt: the bill to count
    if the entry dies before it sends its own. The entry's bill replaces
    the receipt; both have the same id, so only one of them counts.

    Args:
      capacity: Most copies held at once.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._copies_by_id: dict[str, BillCopy] = {}
        self._lost_at_ms_by_entry: dict[str, int] = {}
        self._warned = False

    def __len__(self) -> int:
        return len(self._copies_by_id)

    def entry_connected(self, entry_id: str) -> None:
        """Records that an entry's control stream is connected."""
        self._lost_at_ms_by_entry.pop(entry_id, None)

    def entry_lost(self, stamp: events.Stamp, entry_id: str) -> None:
        """Records that an entry's control stream failed or timed out."""
        self._lost_at_ms_by_entry.setdefault(entry_id, stamp.now_ms)
        if len(self._lost_at_ms_by_entry) > MAX_LOST_ENTRIES:
            self._prune_lost_entries()

    def add_bill(
        self, stamp: events.Stamp, entry_id: str, bill: requests.Bill
    ) -> list[Any]:
        """Adds an entry's bill; it replaces the receipt of the same id."""
        return self._put(BillCopy(entry_id, bill, stamp.now_ms, 0, False))

    def add_receipt(
        self,
        stamp: events.Stamp,
        entry_id: str,
        dispatch: requests.Dispatch,
        answer: requests.Answer,
    ) -> list[Any]:
        """Adds a receipt for a complete answer of the backend server.

        Args:
          stamp: Time and randomness.
          entry_id: The entry that sent the dispatch.
          dispatch: The dispatch.
          answer: The answer with its usage.
        Returns: Effects.
        """
        if dispatch.request_id in self._copies_by_id:
            return []
        bill = receipt(stamp, dispatch, answer)
        return self._put(BillCopy(entry_id, bill, stamp.now_ms, 0, True))

    def remove_counted(self, bill_ids: Iterable[str]) -> None:
        """Removes the copies of bills that are counted."""
        for bill_id in bill_ids:
            self._copies_by_id.pop(bill_id, None)
        self._warned = self._above_warning()

    def remove_settled(self, request_ids: Iterable[str]) -> None:
        """Removes the receipts of requests that ended without a bill."""
        for request_id in request_ids:
            copy = self._copies_by_id.get(request_id)
            if copy is not None and copy.receipt:
                del self._copies_by_id[request_id]

    def bills_to_offer(self, stamp: events.Stamp) -> list[requests.Bill]:
        """Returns the bills to offer to a live entry now.

        Each bill is offered every OFFER_INTERVAL_MS until it is counted.

        Args:
          stamp: Time and randomness.
        Returns: At most MAX_OFFERED bills.
        """
        bills: list[requests.Bill] = []
        for bill_id, copy in self._copies_by_id.items():
            if len(bills) == MAX_OFFERED:
                break
            if not self._should_offer(stamp, copy):
                continue
            bills.append(copy.bill)
            self._copies_by_id[bill_id] = copy._replace(
                offered_at_ms=stamp.now_ms
            )
        return bills

    def is_full(self) -> bool:
        """Returns whether the capacity is exhausted."""
        return len(self._copies_by_id) >= self._capacity

    def _should_offer(self, stamp: events.Stamp, copy: BillCopy) -> bool:
        if stamp.now_ms - copy.offered_at_ms < OFFER_INTERVAL_MS:
            return False
        if stamp.now_ms - copy.held_at_ms > MAX_COPY_AGE_MS:
            return True
        lost_at_ms = self._lost_at_ms_by_entry.get(copy.entry_id)
        if lost_at_ms is None:
            return False
        return stamp.now_ms - lost_at_ms >= ORPHAN_AFTER_MS

    def _put(self, copy: BillCopy) -> list[Any]:
        held = self._copies_by_id.get(copy.bill.id)
        if held is None and self.is_full():
            return [effects.Count('bill_copies_refused', ())]
        self._copies_by_id[copy.bill.id] = copy
        if self._warned or not self._above_warning():
            return []
        self._warned = True
        fields = {'held': len(self), 'capacity': self._capacity}
        return [effects.LogChange('bill copies pile up', fields)]

    def _above_warning(self) -> bool:
        return len(self._copies_by_id) >= self._capacity * WARN_FRACTION

    def _prune_lost_entries(self) -> None:
        entries_with_copies = {
            copy.entry_id for copy in self._copies_by_id.values()
        }
        for entry_id in list(self._lost_at_ms_by_entry):
            if entry_id not in entries_with_copies:
                del self._lost_at_ms_by_entry[entry_id]


def receipt(
    stamp: events.Stamp, dispatch: requests.Dispatch, answer: requests.Answer
) -> requests.Bill:
    """Builds the bill of an attempt from the prices in its dispatch.

    Args:
      stamp: Time and randomness.
      dispatch: The dispatch of the attempt.
      answer: The complete answer.
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
