"""Remembers refused requests, so that their retries are admitted first.

Callers may retry at any gateway, so that gateways exchange refusals.
"""

import collections
from typing import NamedTuple

from ragwortgw_gateway import digests
from ragwortgw_gateway import report_schedule

#: Refusals that are remembered; the oldest are dropped first.
MAX_REFUSED = 4_096
#: Refusals in one report, which is one datagram.
MAX_REPORTED = 512
#: Time in which further refusals go into the same report; a caller returns
#: after admission.MIN_RETRY_MS at the earliest.
REPORT_DELAY_MS = 50
REPORT_INTERVAL_MS = 100
#: Time after which a report is repeated, since datagrams get lost.
REPORT_REPEAT_MS = 200


#: Inaccuracy of times that peers report.
TIME_SLACK_MS = 20


class _Refusal(NamedTuple):
    """A refused request; times in ms."""

    refused_ms: int
    #: When its caller was asked to return.
    return_ms: int
    deadline_ms: int


class RefusalHistory:
    """Refused requests by fingerprint."""

    def __init__(self) -> None:
        self._refused_by_fingerprint: collections.OrderedDict[
            int, _Refusal
        ] = collections.OrderedDict()
        self._reports = report_schedule.ReportSchedule(
            REPORT_DELAY_MS, REPORT_INTERVAL_MS, REPORT_REPEAT_MS
        )
        #: Fingerprints for the next report: not reported yet, and reported
        #: once.
        self._news: list[int] = []
        self._repeated: list[int] = []

    def record_refusal(
        self,
        fingerprint: int,
        now_ms: int,
        deadline_ms: int,
        retry_ms: int = 0,
    ) -> None:
        """Records that a request was refused with a Retry-After.

        Args:
          fingerprint: Hash of the request.
          now_ms: The time.
          deadline_ms: Deadline of the request; after it, the same request
            counts as new, not as a retry.
          retry_ms: Time after which it may return.
        """
        refusal = _Refusal(now_ms, now_ms + retry_ms, deadline_ms)
        self._add(fingerprint, refusal)

    def is_retry(self, fingerprint: int, now_ms: int) -> bool:
        """Returns whether a request is a retry of a refused one.

        It counts as one until the deadline of the refused request.
        """
        refusal = self._refused_by_fingerprint.get(fingerprint)
        if refusal is None:
            return False
        return refusal.refused_ms < now_ms < refusal.deadline_ms

    def has_returned(self, fingerprint: int, now_ms: int) -> bool:
        """Returns whether a retry comes no earlier than it was asked to."""
        refusal = self._refused_by_fingerprint.get(fingerprint)
        if refusal is None:
            return False
        return refusal.return_ms <= now_ms < refusal.deadline_ms

    def add_news(self, fingerprint: int, now_ms: int) -> None:
        """Has a refusal reported to the peers."""
        self._news.append(fingerprint)
        self._reports.add_news(now_ms)

    def take_report(self, now_ms: int) -> tuple[digests.Refusal, ...]:
        """Returns the refusals of a report, if one is due.

        Each refusal is in two reports. The newest come first; those beyond
        MAX_REPORTED are left out.
        """
        if not self._reports.take_due(now_ms):
            return ()
        fingerprints = [*self._repeated, *self._news][-MAX_REPORTED:]
        self._repeated, self._news = self._news, []
        refusals = []
        for fingerprint in reversed(fingerprints):
            refusal = self._refused_by_fingerprint.get(fingerprint)
            if refusal is not None and refusal.deadline_ms > now_ms:
                refusals.append(
                    digests.Refusal(
                        fingerprint,
                        now_ms - refusal.refused_ms,
                        refusal.return_ms - now_ms,
                        refusal.deadline_ms - now_ms,
                    )
                )
        return tuple(refusals)

    def merge_remote(self, report: digests.RefusalReport, now_ms: int) -> None:
        """Adds refusals that a peer reported."""
        for fingerprint, age_ms, return_in_ms, left_ms in report.refusals:
            refusal = _Refusal(
                now_ms - max(0, age_ms),
                now_ms + return_in_ms - TIME_SLACK_MS,
                now_ms + left_ms,
            )
            known = self._refused_by_fingerprint.get(fingerprint)
            if known is None or known.deadline_ms <= now_ms:
                self._add(fingerprint, refusal)

    def _add(self, fingerprint: int, refusal: _Refusal) -> None:
        self._refused_by_fingerprint[fingerprint] = refusal
        self._refused_by_fingerprint.move_to_end(fingerprint)
        if len(self._refused_by_fingerprint) > MAX_REFUSED:
            self._refused_by_fingerprint.popitem(last=False)
