"""Counters and gauges of a process, read by the state dump and sent by statsd."""

import threading


class Counters:
    """Named counts, gauges and timings; safe to use from any thread.

    Names are dotted and lower case, such as ``streams.tokens``. docs/METRICS.md
    lists them.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts_by_name: dict[str, int] = {}
        self._gauges_by_name: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    def add(self, name: str, count: int = 1) -> None:
        """Add ``count`` to the counter ``name``."""
        with self._lock:
            self._counts_by_name[name] = self._counts_by_name.get(name, 0) + count

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        with self._lock:
            self._gauges_by_name[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Record one duration for the next flush; the oldest are dropped first."""
        with self._lock:
            self._timings.append((name, seconds))
            if len(self._timings) > MOST_TIMINGS_KEPT:
                del self._timings[: MOST_TIMINGS_KEPT // 2]

    def count(self, name: str) -> int:
        """Return the counter ``name``, 0 if it was never added to."""
        with self._lock:
            return self._counts_by_name.get(name, 0)

    def counts(self) -> dict[str, int]:
        """Return a copy of all counters by name."""
        with self._lock:
            return dict(sorted(self._counts_by_name.items()))

    def gauges(self) -> dict[str, float]:
        """Return a copy of all gauges by name."""
        with self._lock:
            return dict(sorted(self._gauges_by_name.items()))

    def drain_timings(self) -> list[tuple[str, float]]:
        """Return the timings since the last call, as (name, seconds)."""
        with self._lock:
            taken, self._timings = self._timings, []
            return taken


MOST_TIMINGS_KEPT = 10_000
