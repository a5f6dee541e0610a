"""A token bucket."""

from celeryfork_base.clock import Clock


class TokenBucket:
    """Grants a number of things a second, and some at once after a pause.

    Not safe to use from several threads at once.

    Parameters
    ----------
    clock
        The instance's clock.
    per_s
        How many are earned a second.
    most
        How many can be saved up.
    """

    def __init__(self, clock: Clock, rate_per_s: float, capacity: float) -> None:
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._available = capacity
        self._refilled_s = clock.monotonic()

    def available(self) -> float:
        """Return how many may be taken now."""
        now_s = self._clock.monotonic()
        refill = (now_s - self._refilled_s) * self._rate_per_s
        self._available = min(self._available + refill, self._capacity)
        self._refilled_s = now_s
        return self._available

    def try_acquire(self, count: float) -> bool:
        """Take ``count`` if that many are left; return whether they were."""
        if self.available() < count:
            return False
        self._available -= count
        return True
