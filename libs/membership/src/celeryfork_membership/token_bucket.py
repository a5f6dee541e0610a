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

    def __init__(self, clock: Clock, per_s: float, most: float) -> None:
        self._clock = clock
        self._per_s = per_s
        self._most = most
        self._left = most
        self._earned_s = clock.monotonic()

    def left(self) -> float:
        """Return how many may be taken now."""
        now_s = self._clock.monotonic()
        earned = (now_s - self._earned_s) * self._per_s
        self._left = min(self._left + earned, self._most)
        self._earned_s = now_s
        return self._left

    def take(self, count: float) -> bool:
        """Take ``count`` if that many are left; return whether they were."""
        if self.left() < count:
            return False
        self._left -= count
        return True
