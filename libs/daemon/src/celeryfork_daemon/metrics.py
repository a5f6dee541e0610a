"""Sends counters, gauges and timings by statsd, in batches."""

import threading

from celeryfork_base.counters import Counters
from statsd import StatsClient

LARGEST_PACKET_BYTES = 1432


class MetricsSender:
    """Sends what changed since the last flush.

    Parameters
    ----------
    counters
        What to send.
    host, port
        The statsd server.
    prefix
        Put before each name.
    interval_s
        Time between two flushes, in seconds.
    """

    def __init__(
        self,
        counters: Counters,
        host: str,
        port: int,
        prefix: str,
        interval_s: float,
    ) -> None:
        self._interval_s = interval_s
        self._counters = counters
        self._client = StatsClient(
            host=host, port=port, prefix=prefix, maxudpsize=LARGEST_PACKET_BYTES
        )
        self._sent_by_name: dict[str, int] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="metrics", daemon=True)

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    def stop(self) -> None:
        """Send what is left and end."""
        self._stopping.set()
        self._thread.join(timeout=2)
        self.flush()

    def flush(self) -> None:
        """Send what changed since the last flush."""
        with self._client.pipeline() as pipe:
            for name, count in self._counters.counts().items():
                change = count - self._sent_by_name.get(name, 0)
                if change:
                    pipe.incr(name, change)
                    self._sent_by_name[name] = count
            for name, value in self._counters.gauges().items():
                pipe.gauge(name, value)
            for name, seconds in self._counters.drain_timings():
                pipe.timing(name, seconds * 1000)

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s):
            self.flush()


def make_metrics_sender(
    counters: Counters, host: str, port: int, prefix: str, interval_s: float
) -> MetricsSender:
    """Return a sender that has yet to be started."""
    return MetricsSender(counters, host, port, prefix, interval_s)
