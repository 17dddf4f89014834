"""Moving averages."""

import math

#: Weight of a new sample once there are many.
SAMPLE_WEIGHT = 0.1


class Mean:
    """An arithmetic mean at first, later an exponential moving average.

    It becomes one once a sample's weight has fallen to SAMPLE_WEIGHT.

    Attributes:
      value: The mean, 0 without samples.
      samples: Samples so far.
    """

    __slots__ = ('value', 'samples')

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, sample: float) -> None:
        """Adds a sample."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.samples)
        self.value += weight * (sample - self.value)


class Spread:
    """Moving mean and standard deviation.

    Attributes:
      mean: The mean, 0 without samples.
      samples: Samples so far.
    """

    __slots__ = ('mean', 'samples', '_variance')

    def __init__(self) -> None:
        self.mean = self._variance = 0.0
        self.samples = 0

    def add(self, sample: float) -> None:
        """Adds a sample."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT / 2, 1 / self.samples)
        difference = sample - self.mean
        self.mean += weight * difference
        self._variance += weight * (
            (1 - weight) * difference * difference - self._variance
        )

    @property
    def deviation(self) -> float:
        """The standard deviation."""
        return math.sqrt(max(0.0, self._variance))


class DecayingSum:
    """A sum whose terms lose weight with their age.

    Args:
      window_ms: Time in which the weight falls by a factor of e.
      now_ms: The time.
    """

    __slots__ = ('_window_ms', '_sum', '_at_ms')

    def __init__(self, window_ms: float, now_ms: int) -> None:
        self._window_ms = window_ms
        self._sum = 0.0
        self._at_ms = now_ms

    def add(self, amount: float, now_ms: int) -> None:
        """Adds an amount."""
        self._sum = self.value(now_ms) + amount
        self._at_ms = now_ms

    def value(self, now_ms: int) -> float:
        """Returns the sum as of now."""
        return self._sum * math.exp((self._at_ms - now_ms) / self._window_ms)
