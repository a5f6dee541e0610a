"""Clock interface, with a system clock and a manual clock.

The manual clock lets tests set the time instead of waiting.
"""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds, counted from an arbitrary start."""

    def wall_ms(self) -> int:
        """Return wall-clock time in milliseconds since the Unix epoch; may jump."""


class SystemClock:
    """The operating system's clocks."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds, counted from an arbitrary start."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return wall-clock time in milliseconds since the Unix epoch; may jump."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock for tests; its time changes only through ``advance``.

    Parameters
    ----------
    wall_ms
        Initial wall-clock time, in milliseconds since the Unix epoch.
    """

    def __init__(self, wall_ms: int = 1_800_000_000_000) -> None:
        self._lock = threading.Lock()
        self._elapsed_s = 0.0
        self._start_wall_ms = wall_ms

    def monotonic(self) -> float:
        """Return the total number of seconds the clock was advanced by."""
        with self._lock:
            return self._elapsed_s

    def wall_ms(self) -> int:
        """Return wall-clock time in milliseconds since the Unix epoch."""
        with self._lock:
            return self._start_wall_ms + round(self._elapsed_s * 1000)

    def advance(self, seconds: float) -> None:
        """Advance monotonic and wall-clock time by ``seconds``."""
        with self._lock:
            self._elapsed_s += seconds
