"""A token bucket, for the platform's rate limits."""

import time


class TokenBucket:
    """Allows a rate on average, and bursts up to a capacity.

    Not thread-safe: its owner holds a lock.

    Parameters
    ----------
    per_second
        Refill a second.
    capacity
        Most that can be taken at once.
    """

    def __init__(self, per_second: float, capacity: float) -> None:
        self.per_second = per_second
        self.capacity = capacity
        self._level = capacity
        self._filled_at_s = time.monotonic()

    @property
    def available(self) -> float:
        """What can be taken now."""
        now = time.monotonic()
        gained = (now - self._filled_at_s) * self.per_second
        self._level = min(self.capacity, self._level + gained)
        self._filled_at_s = now
        return self._level

    def take(self, amount: float) -> float:
        """Take an amount if it is there.

        Returns
        -------
        float
            0 if it was taken, else the seconds until it will be there.
        """
        available = self.available
        if available < amount:
            return (amount - available) / self.per_second
        self._level = available - amount
        return 0.0
