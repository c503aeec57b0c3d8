"""Average a quantity that changes over time."""


class MovingAverage:
    """Compute an exponentially weighted moving average."""

    def __init__(self, weight: float) -> None:
        """Give each new sample at least `weight`, the first ones more."""
        self.value: float = 0
        # Mean distance of the samples from the average.
        self.deviation: float = 0
        self.samples = 0
        self._weight = weight

    def add(self, sample: float) -> None:
        """Add one sample."""
        self.samples += 1
        weight = max(self._weight, 1 / self.samples)
        distance = sample - self.value
        if self.samples > 1:
            self.deviation += weight * (abs(distance) - self.deviation)
        self.value += weight * distance
