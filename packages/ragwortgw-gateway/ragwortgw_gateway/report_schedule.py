"""When a gateway reports news to its peers."""


class ReportSchedule:
    """Sends news after a short delay, and once more, since reports get lost.

    Args:
      delay_ms: Time in which further news go into the same report.
      interval_ms: Shortest time between two reports.
      repeat_ms: Time after which a report is repeated.
    """

    def __init__(
        self, delay_ms: int, interval_ms: int, repeat_ms: int
    ) -> None:
        self._delay_ms = delay_ms
        self._interval_ms = interval_ms
        self._repeat_ms = repeat_ms
        #: When the next report and the repetition are due, 0 for never.
        self._due_ms = 0
        self._repeat_due_ms = 0
        self._allowed_ms = 0

    def add_news(self, now_ms: int) -> None:
        """Records that there is something to report."""
        if not self._due_ms:
            due_ms = max(now_ms + self._delay_ms, self._allowed_ms)
            self._due_ms = due_ms

    def take_due(self, now_ms: int) -> bool:
        """Returns whether to send a report now; it then counts as sent."""
        if self._due_ms and now_ms >= self._due_ms:
            self._due_ms = 0
            self._repeat_due_ms = now_ms + self._repeat_ms
        elif self._repeat_due_ms and now_ms >= self._repeat_due_ms:
            self._repeat_due_ms = 0
        else:
            return False
        self._allowed_ms = now_ms + self._interval_ms
        return True
