"""Reads the ``claims`` stream from its oldest record on, and follows its end."""

import threading
from collections.abc import Callable

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError

from celeryfork_calls.claim_records import CLAIMS_STREAM
from celeryfork_calls.ports import LogPort, LogSlicePort

MAX_RECORDS_PER_READ = 100
READ_WAIT_S = 2.0
READ_TIMEOUT_S = 5.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
# Minimum seconds between reads, since a read costs far more than folding its records.
READ_INTERVAL_WHILE_WAITING_S = 0.01
READ_INTERVAL_S = 0.1

SliceCallback = Callable[[LogSlicePort], None]
GapCallback = Callable[[float], None]


class ClaimFollower:
    """Reads the stream in one background thread.

    Parameters
    ----------
    on_slice
        Called with the result of each read, in order.
    on_gap
        Called before a slice that does not continue the previous one, with the
        monotonic time after that read: older records may have expired unread.
    claims_waiting
        Set while an undecided claim of this instance waits to be read.
    """

    def __init__(
        self,
        log: LogPort,
        on_slice: SliceCallback,
        on_gap: GapCallback,
        claims_waiting: threading.Event,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._log = log
        self._on_slice = on_slice
        self._on_gap = on_gap
        self._claims_waiting = claims_waiting
        self._clock = clock
        self._counters = counters
        self._next_offset = 0
        self._stopping = threading.Event()
        self._caught_up = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="claims-follow", daemon=True
        )

    @property
    def caught_up(self) -> bool:
        """True once the stream has been read to its end."""
        return self._caught_up.is_set()

    @property
    def next_offset(self) -> int:
        """Offset of the first record that has not been read."""
        return self._next_offset

    def start(self) -> None:
        """Start the reading thread."""
        self._thread.start()

    def request_stop(self) -> None:
        """Stop after the read in flight; does not block."""
        self._stopping.set()

    def stop(self) -> None:
        """Stop the thread, and wait for the read in flight."""
        self.request_stop()
        if self._thread.is_alive():
            self._thread.join(timeout=READ_TIMEOUT_S)

    def _run(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while not self._stopping.is_set():
            began_s = self._clock.monotonic()
            try:
                behind = self.read_next()
                backoff_s = INITIAL_BACKOFF_S
                if not behind:
                    self._wait_for_next_read(began_s)
            except CeleryforkError:
                self._counters.add("claims.reads_failed")
                self._stopping.wait(backoff_s)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    def _wait_for_next_read(self, began_s: float) -> None:
        """Wait until the next read is due, which is earlier if a claim waits for it."""
        if not self._claims_waiting.wait(self._remaining_s(began_s, READ_INTERVAL_S)):
            return
        self._stopping.wait(self._remaining_s(began_s, READ_INTERVAL_WHILE_WAITING_S))

    def _remaining_s(self, began_s: float, interval_s: float) -> float:
        return max(0.0, began_s + interval_s - self._clock.monotonic())

    def read_next(self) -> bool:
        """Read once and pass the slice to ``on_slice``.

        Returns
        -------
        bool
            True if more records can be read immediately.

        Raises
        ------
        CeleryforkError
            The read failed.
        """
        log_slice = self._log.read(
            CLAIMS_STREAM,
            self._next_offset,
            MAX_RECORDS_PER_READ,
            READ_WAIT_S if self.caught_up else 0.0,
            READ_TIMEOUT_S,
        )
        if log_slice.first_offset > self._next_offset:
            self._counters.add("claims.gaps")
            self._on_gap(self._clock.monotonic())
        self._on_slice(log_slice)
        last = (
            log_slice.records[-1].offset + 1
            if log_slice.records
            else log_slice.next_offset
        )
        self._next_offset = max(self._next_offset, last)
        if self._next_offset < log_slice.next_offset:
            return True
        self._caught_up.set()
        return False
