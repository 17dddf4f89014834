"""Measures how old the reports of other gateways are when they arrive.

Clocks of hosts differ, and may jump. So a gateway sends a peer a probe, in
turn, which comes back at once; reports take half as long.
"""

#: Weight of a new sample.
WEIGHT = 0.2
#: Reports that arrive sooner count as fresh: what is sent within such a time
#: moves no queue, and a draw would only spread prompts of one prefix.
FRESH_MS = 10.0
#: Longer times are no samples: the clock was set, or the peer was frozen.
MAX_ROUND_TRIP_MS = 5_000


class ReportAges:
    """Age of the reports of peers."""

    def __init__(self) -> None:
        self._age_ms: float | None = None

    @property
    def age_ms(self) -> float:
        """Mean time that a report takes, 0 if reports are fresh."""
        if self._age_ms is None or self._age_ms < FRESH_MS:
            return 0.0
        return self._age_ms

    def observe(self, round_trip_ms: int) -> None:
        """Adds the time that a probe took to a peer and back."""
        if not 0 <= round_trip_ms <= MAX_ROUND_TRIP_MS:
            return
        sample_ms = round_trip_ms / 2
        if self._age_ms is None:
            self._age_ms = sample_ms
        self._age_ms += WEIGHT * (sample_ms - self._age_ms)
