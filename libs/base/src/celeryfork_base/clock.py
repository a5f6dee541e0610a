"""Clocks, so that tests can set the time instead of waiting for it."""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may jump."""


class SystemClock:
    """The machine's clocks."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may jump."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that moves only when told, for tests.

    Parameters
    ----------
    wall_ms
        The wall clock's first reading, in milliseconds.
    """

    def __init__(self, wall_ms: int = 1_800_000_000_000) -> None:
        self._lock = threading.Lock()
        self._elapsed_s = 0.0
        self._start_wall_ms = wall_ms

    def monotonic(self) -> float:
        """Return the seconds that the clock was advanced by."""
        with self._lock:
            return self._elapsed_s

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        with self._lock:
            return self._start_wall_ms + round(self._elapsed_s * 1000)

    def advance(self, seconds: float) -> None:
        """Move both readings forward by ``seconds``."""
        with self._lock:
            self._elapsed_s += seconds
