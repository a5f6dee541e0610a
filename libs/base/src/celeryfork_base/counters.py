"""In-process metrics, shown in the state dump and exported to statsd."""

import threading


class Counters:
    """Thread-safe registry of named counters, gauges and timings.

    Names are dotted and lower case, such as ``streams.tokens``. docs/METRICS.md
    lists all of them.
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
        """Set the gauge ``name`` to ``value``."""
        with self._lock:
            self._gauges_by_name[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Buffer one duration until ``drain_timings``.

        When the buffer is full, its older half is dropped.
        """
        with self._lock:
            self._timings.append((name, seconds))
            if len(self._timings) > MAX_BUFFERED_TIMINGS:
                del self._timings[: MAX_BUFFERED_TIMINGS // 2]

    def count(self, name: str) -> int:
        """Return the value of the counter ``name``, 0 if it was never incremented."""
        with self._lock:
            return self._counts_by_name.get(name, 0)

    def counts(self) -> dict[str, int]:
        """Return a copy of all counters, sorted by name."""
        with self._lock:
            return dict(sorted(self._counts_by_name.items()))

    def gauges(self) -> dict[str, float]:
        """Return a copy of all gauges, sorted by name."""
        with self._lock:
            return dict(sorted(self._gauges_by_name.items()))

    def drain_timings(self) -> list[tuple[str, float]]:
        """Return the buffered timings as (name, seconds) pairs, and clear them."""
        with self._lock:
            drained, self._timings = self._timings, []
            return drained


MAX_BUFFERED_TIMINGS = 10_000
