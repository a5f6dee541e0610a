"""A budget that keeps retries from amplifying an overload."""

import threading
from collections.abc import Callable

from celeryfork_base.clock import Clock

INITIAL_RETRIES = 10.0
MAX_SAVED_RETRIES = 100.0
REFILL_RETRIES_PER_S = 0.5


class RetryBudget:
    """Token bucket of retries, filled by successful calls and slowly by time.

    The refill by time lets an instance with few calls retry too; it fills the budget
    only up to ``INITIAL_RETRIES``.

    Parameters
    ----------
    ratio
        Returns the retries added per success, such as 0.1.
    clock
        Time source of the refill.
    """

    def __init__(self, ratio: Callable[[], float], clock: Clock) -> None:
        self._ratio = ratio
        self._clock = clock
        self._lock = threading.Lock()
        self._saved = INITIAL_RETRIES
        self._refilled_s = clock.monotonic()

    def record_success(self) -> None:
        """Add the retries earned by one success."""
        with self._lock:
            self._saved = min(MAX_SAVED_RETRIES, self._saved + self._ratio())

    def try_spend(self) -> bool:
        """Spend one retry; return False if none is left, so no retry is allowed."""
        with self._lock:
            now_s = self._clock.monotonic()
            refill = (now_s - self._refilled_s) * REFILL_RETRIES_PER_S
            self._refilled_s = now_s
            if self._saved < INITIAL_RETRIES:
                self._saved = min(INITIAL_RETRIES, self._saved + refill)
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            return True

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        with self._lock:
            return {"retries_left": round(self._saved, 2), "ratio": self._ratio()}


def make_retry_budget(ratio: Callable[[], float], clock: Clock) -> RetryBudget:
    """Return a budget that starts with ``INITIAL_RETRIES``."""
    return RetryBudget(ratio, clock)
