"""Estimates how fast queued work drains, from the items served so far."""

#: Number of items after which the weight of an observation has fallen to
#: 1/e. The mean service times decay five times as fast.
DECAY_ITEMS = 100.0
#: Minimum fraction of the work that waiting background items get.
MIN_BACKGROUND_FRACTION = 0.1


class ThroughputEstimator:
    """Estimates service times, and work per ms while there is a backlog.

    Exponentially weighted means over the items served. Work is measured
    in ms of service time, so that work per ms is the mean number of items
    served concurrently. Without a backlog the capacity is not used fully,
    so items that ended then count only for the service times.
    """

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
        """Records an item that ended.

        Args:
          priority: Its priority, 'interactive' or 'background'.
          service_ms: Time from its start to its end, ms.
          backlog: Whether other items waited when it ended.
          now_ms: Unix ms.
        """
        mean_ms = self._service_ms_by_priority.get(priority, service_ms)
        change_ms = (service_ms - mean_ms) / DECAY_ITEMS * 5
        self._service_ms_by_priority[priority] = mean_ms + change_ms
        previous_served_at_ms = self._served_at_ms
        self._served_at_ms = now_ms
        if previous_served_at_ms is None or not backlog:
            return
        decay_factor = 1 - 1 / DECAY_ITEMS
        interactive_ms = service_ms if priority == 'interactive' else 0
        self._work_ms = self._work_ms * decay_factor + service_ms
        self._interactive_ms = (
            self._interactive_ms * decay_factor + interactive_ms
        )
        self._elapsed_ms = self._elapsed_ms * decay_factor + max(
            now_ms - previous_served_at_ms, 0
        )

    def service_ms(self, priority: str) -> float:
        """Returns the mean service time in ms; 0 while unknown."""
        return self._service_ms_by_priority.get(priority, 0.0)

    def wait_ms(self, ahead: int, priority: str) -> float:
        """Estimates how long it takes until items ahead have started.

        Args:
          ahead: Number of items ahead, of the same priority.
          priority: Their priority.
        Returns: The time in ms; 0 before the first observation.
        """
        if self._elapsed_ms <= 0 or not ahead:
            return 0.0
        parallelism = max(self._work_ms / self._elapsed_ms, 1.0)
        fraction = 1 - MIN_BACKGROUND_FRACTION
        if priority == 'background':
            interactive_fraction = self._interactive_ms / self._work_ms
            fraction = max(1 - interactive_fraction, MIN_BACKGROUND_FRACTION)
        return ahead * self.service_ms(priority) / (parallelism * fraction)
