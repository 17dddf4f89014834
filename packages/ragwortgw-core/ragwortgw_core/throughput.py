"""Estimates how fast queued work drains, from what was served."""

MEMORY_ITEMS = 100.0
#: Share of the work that waiting background items get at least.
MIN_BACKGROUND_FRACTION = 0.1


class ThroughputEstimator:
    """Service times, and work done per ms while there was a backlog."""

    __slots__ = (
        '_service_ms_by_priority',
        '_work_ms',
        '_elapsed_ms',
        '_interactive_ms',
        '_served_at_ms',
    )

    def __init__(self) -> None:
        self._service_ms_by_priority: dict[str, float] = {}
        self._work_ms = 0.0
        self._interactive_ms = 0.0
        self._elapsed_ms = 0.0
        self._served_at_ms: int | None = None

    def observe(
        self, priority: str, service_ms: int, backlog: bool, now_ms: int
    ) -> None:
        """Learns from an item that ended.

        Args:
          priority: Its priority.
          service_ms: Time from its start to its end.
          backlog: Whether others waited while it ran.
          now_ms: Unix ms.
        """
        known_ms = self._service_ms_by_priority.get(priority, service_ms)
        change_ms = (service_ms - known_ms) / MEMORY_ITEMS * 5
        self._service_ms_by_priority[priority] = known_ms + change_ms
        last_ms = self._served_at_ms
        self._served_at_ms = now_ms
        if last_ms is None or not backlog:
            return
        keep = 1 - 1 / MEMORY_ITEMS
        interactive_ms = service_ms if priority == 'interactive' else 0
        self._work_ms = self._work_ms * keep + service_ms
        self._interactive_ms = self._interactive_ms * keep + interactive_ms
        self._elapsed_ms = self._elapsed_ms * keep + max(now_ms - last_ms, 0)

    def service_ms(self, priority: str) -> float:
        """Gives the expected service time; 0 while unknown."""
        return self._service_ms_by_priority.get(priority, 0.0)

    def wait_ms(self, ahead: int, priority: str) -> float:
        """Estimates how long it takes until items ahead have started.

        Args:
          ahead: Number of items ahead, of the same priority.
          priority: Their priority.
        Returns: The time in ms; 0 while nothing is known.
        """
        if self._elapsed_ms <= 0 or not ahead:
            return 0.0
        parallelism = max(self._work_ms / self._elapsed_ms, 1.0)
        share = 1 - MIN_BACKGROUND_FRACTION
        if priority == 'background':
            interactive = self._interactive_ms / self._work_ms
            share = max(1 - interactive, MIN_BACKGROUND_FRACTION)
        return ahead * self.service_ms(priority) / (parallelism * share)
