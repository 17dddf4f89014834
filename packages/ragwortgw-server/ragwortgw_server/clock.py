"""Wall-clock time that never runs backwards within the process."""

import time

#: Largest correction towards the system clock, in parts of elapsed time.
MAX_SLEW = 0.001


class Clock:
    """Follows the system clock by small corrections of a monotonic one.

    A step of the system clock, in either direction, is followed at a
    bounded rate, so that a deadline is neither skipped nor held for ever.
    """

    def __init__(
        self, wall_ns: int | None = None, steady_ns: int | None = None
    ) -> None:
        wall = time.time_ns() if wall_ns is None else wall_ns
        steady = time.monotonic_ns() if steady_ns is None else steady_ns
        self._offset_ns = wall - steady
        self._steady_ns = steady

    def read_ms(self, wall_ns: int, steady_ns: int) -> int:
        """Returns the time for given readings of both clocks.

        Args:
          wall_ns: Reading of the system clock, in ns since the epoch.
          steady_ns: Reading of the monotonic clock, in ns.
        Returns: Unix ms, never less than an earlier result.
        """
        limit = int((steady_ns - self._steady_ns) * MAX_SLEW)
        error = wall_ns - steady_ns - self._offset_ns
        self._offset_ns += max(-limit, min(limit, error))
        self._steady_ns = steady_ns
        return (steady_ns + self._offset_ns) // 1_000_000

    def now_ms(self) -> int:
        """Returns the present time, in Unix ms."""
        return self.read_ms(time.time_ns(), time.monotonic_ns())


_clock = Clock()


def now_ms() -> int:
    """Returns the present time, in Unix ms, monotonic in the process."""
    return _clock.now_ms()
