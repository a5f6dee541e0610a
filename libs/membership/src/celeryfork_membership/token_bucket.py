"""A token bucket that limits a rate and allows bursts."""

from celeryfork_base.clock import Clock


class TokenBucket:
    """Limits a rate, with bursts of up to ``capacity`` after a pause.

    Starts full. Not thread-safe.

    Parameters
    ----------
    clock
        Source of the monotonic time.
    rate_per_s
        Tokens added per second.
    capacity
        Maximum number of tokens in the bucket.
    """

    def __init__(self, clock: Clock, rate_per_s: float, capacity: float) -> None:
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._available = capacity
        self._refilled_s = clock.monotonic()

    def available(self) -> float:
        """Return the number of tokens in the bucket now."""
        now_s = self._clock.monotonic()
        refill = (now_s - self._refilled_s) * self._rate_per_s
        self._available = min(self._available + refill, self._capacity)
        self._refilled_s = now_s
        return self._available

    def try_acquire(self, count: float) -> bool:
        """Take ``count`` tokens; return False, taking none, if there are fewer."""
        if self.available() < count:
            return False
        self._available -= count
        return True
