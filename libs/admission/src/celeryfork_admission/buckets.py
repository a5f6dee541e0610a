"""A token bucket for the rate limits of permits."""

from attrs import define


@define
class TokenBucket:
    """Tokens that are refilled at a rate, up to a capacity.

    Parameters
    ----------
    level
        Tokens at the time of the last refill.
    refilled_s
        Monotonic time of the last refill, in seconds.
    """

    level: float
    refilled_s: float

    def refill(self, now_s: float, rate_per_s: float, capacity: float) -> None:
        """Add the tokens for the time since the last call."""
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.level = min(capacity, self.level + elapsed_s * rate_per_s)
        self.refilled_s = now_s

    def take(self, wanted: int) -> int:
        """Take up to ``wanted`` whole tokens; return the number taken."""
        taken = max(0, min(wanted, int(self.level)))
        self.level -= taken
        return taken

    def seconds_until_one(self, rate_per_s: float) -> float:
        """Return the seconds until one whole token is available."""
        if self.level >= 1.0:
            return 0.0
        if rate_per_s <= 0:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, (1.0 - self.level) / rate_per_s)


MAX_WAIT_S = 3600.0
