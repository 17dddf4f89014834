"""Rate and concurrency limits of organisations, and the retry budget."""

import math

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import budgets
from ragwortgw_core import documents
from ragwortgw_core import errors
from ragwortgw_core import events

#: Minimum burst of an entry's share of an organisation's rate limit.
MIN_BURST_REQUESTS = 1.0
#: Retry-After of a request refused by the concurrency limit.
CONCURRENCY_RETRY_MS = 1_000
#: Retries that each new request adds to the budget.
RETRY_RATIO = 0.1
#: Retries per second that are added independently of requests.
RETRY_MIN_PER_S = 1.0
#: The most retries that the budget can accumulate.
RETRY_BURST = 10.0


class OrganisationLimits:
    """Applies this entry's share of each organisation's limits.

    Limits are configured for the whole system and divided among the
    entries. A share is never less than one concurrent request and a burst
    of one request.
    """

    def __init__(self) -> None:
        self._buckets_by_organisation: dict[str, budgets.TokenBucket] = {}
        self._running_by_organisation: dict[str, int] = {}

    def admit(
        self,
        organisation: documents.Organisation,
        entries: int,
        stamp: events.Stamp,
        share: float | None = None,
    ) -> Result[None, errors.RateLimited]:
        """Admits a request or refuses it at once.

        Each admitted request must be followed by one release().

        Args:
          organisation: The organisation; its limits are system-wide.
          entries: Number of live entries that share the limits.
          stamp: Time and randomness.
          share: Fraction of the organisation's requests that this entry
            receives, 0..1; None means an equal share for each entry.
        Returns: Success, or the failure that says when to retry.
        """
        name = organisation['id']
        running = self._running_by_organisation.get(name, 0)
        if share is None:
            share = 1 / max(entries, 1)
        if running >= max(math.ceil(organisation['concurrency'] * share), 1):
            return Failure(errors.RateLimited(name, CONCURRENCY_RETRY_MS))
        rate = organisation['rate'] * share
        if rate <= 0:
            return Failure(errors.RateLimited(name, CONCURRENCY_RETRY_MS))
        burst = max(organisation['burst'] * share, MIN_BURST_REQUESTS)
        bucket = self._buckets_by_organisation.setdefault(
            name, budgets.TokenBucket(rate, burst)
        )
        available = bucket.available(stamp.now_ms)
        bucket.resize(rate, burst)
        if not bucket.take(stamp.now_ms):
            retry_after_ms = math.ceil((1 - available) * 1_000 / rate)
            return Failure(errors.RateLimited(name, retry_after_ms))
        self._running_by_organisation[name] = running + 1
        return Success(None)

    def release(self, organisation_id: str) -> None:
        """Releases the concurrency slot of an admitted request.

        Args:
          organisation_id: Id of the organisation it was admitted for.
        """
        running = self._running_by_organisation.get(organisation_id, 0) - 1
        if running > 0:
            self._running_by_organisation[organisation_id] = running
        else:
            self._running_by_organisation.pop(organisation_id, None)


class RetryBudget:
    """Limits retries to a fraction of the requests, with a small minimum.

    The minimum rate lets an entry with little traffic retry at all.
    """

    def __init__(self) -> None:
        self._bucket = budgets.TokenBucket(RETRY_MIN_PER_S, RETRY_BURST)

    def on_request(self, stamp: events.Stamp) -> None:
        """Adds RETRY_RATIO to the budget for a new request.

        Args:
          stamp: Time and randomness.
        """
        self._bucket.put(stamp.now_ms, RETRY_RATIO)

    def allow(self, stamp: events.Stamp) -> bool:
        """Takes one retry from the budget.

        Args:
          stamp: Time and randomness.
        Returns: Whether to retry; False when the budget is exhausted.
        """
        return self._bucket.take(stamp.now_ms)
