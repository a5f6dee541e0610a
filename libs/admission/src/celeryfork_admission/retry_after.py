"""Computes Retry-After from the share of requests refused recently."""

import random
from collections import deque

from attrs import define, field

WINDOW_S = 3.0
"""Sliding window of the counts: about the duration of a stream."""
MIN_RETRY_AFTER_S = 0.8
"""Value if hardly any request is refused: some streams have ended by then."""
MAX_RETRY_AFTER_S = 5.0
"""Value if all are refused; callers wait up to a third of their 20 s."""
JITTER = 0.3
"""Largest share of the value that is added or subtracted at random, so that callers
don't retry all at once."""


@define
class RetryAfterEstimator:
    """Counts arrivals and refusals in a sliding window, and computes Retry-After."""

    _arrivals_s: deque[float] = field(factory=deque)
    _refusals_s: deque[float] = field(factory=deque)
    _random: random.Random = field(factory=random.Random)

    def record_arrival(self, now_s: float) -> None:
        """Count an arrived request."""
        self._arrivals_s.append(now_s)
        self._drop_old(now_s)

    def record_refusal(self, now_s: float) -> float:
        """Count a refusal; return the Retry-After for its caller in seconds."""
        self._refusals_s.append(now_s)
        self._drop_old(now_s)
        share = min(1.0, len(self._refusals_s) / max(1, len(self._arrivals_s)))
        range_s = MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S
        jitter = 1 + JITTER * (2 * self._random.random() - 1)
        return round((MIN_RETRY_AFTER_S + share * range_s) * jitter, 2)

    def _drop_old(self, now_s: float) -> None:
        for times_s in (self._arrivals_s, self._refusals_s):
            while times_s and times_s[0] < now_s - WINDOW_S:
                times_s.popleft()
