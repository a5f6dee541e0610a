"""Reads the ``claims`` stream from its oldest record to its end, and on from there."""

import threading
from collections.abc import Callable

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError

from celeryfork_calls.claim_records import CLAIMS_STREAM
from celeryfork_calls.ports import LogPort, LogSlicePort

MOST_RECORDS_PER_READ = 100
READ_WAIT_S = 2.0
READ_TIMEOUT_S = 5.0
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 2.0
# Each read costs far more than folding what it brings, so reads keep a distance.
GAP_WHILE_AWAITED_S = 0.01
GAP_S = 0.1

SliceCallback = Callable[[LogSlicePort], None]
GapCallback = Callable[[float], None]


class ClaimFollower:
    """The one thread that reads the stream.

    Parameters
    ----------
    on_slice
        Called with each read, in order.
    awaited
        Set while a claim of this instance waits to be read.
    on_gap
        Called before a slice that does not continue the one before, with the
        monotonic time after that read: older records may be gone unread.
    """

    def __init__(
        self,
        log: LogPort,
        on_slice: SliceCallback,
        on_gap: GapCallback,
        awaited: threading.Event,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._log = log
        self._on_slice = on_slice
        self._on_gap = on_gap
        self._awaited = awaited
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
        """Whether the stream was once read to its end."""
        return self._caught_up.is_set()

    @property
    def next_offset(self) -> int:
        """Offset up to which the stream was read."""
        return self._next_offset

    def start(self) -> None:
        """Begin to read in the background."""
        self._thread.start()

    def end(self) -> None:
        """Read nothing more after what is in flight; doesn't wait."""
        self._stopping.set()

    def stop(self) -> None:
        """End the thread, after the read that is in flight."""
        self.end()
        if self._thread.is_alive():
            self._thread.join(timeout=READ_TIMEOUT_S)

    def _run(self) -> None:
        backoff_s = FIRST_BACKOFF_S
        while not self._stopping.is_set():
            began_s = self._clock.monotonic()
            try:
                behind = self.read_next()
                backoff_s = FIRST_BACKOFF_S
                if not behind:
                    self._keep_distance(began_s)
            except CeleryforkError:
                self._counters.add("claims.reads_failed")
                self._stopping.wait(backoff_s)
                backoff_s = min(backoff_s * 2, LONGEST_BACKOFF_S)

    def _keep_distance(self, began_s: float) -> None:
        """Wait before the next read, less long once a claim waits for it."""
        if not self._awaited.wait(self._left_s(began_s, GAP_S)):
            return
        self._stopping.wait(self._left_s(began_s, GAP_WHILE_AWAITED_S))

    def _left_s(self, began_s: float, gap_s: float) -> float:
        return max(0.0, began_s + gap_s - self._clock.monotonic())

    def read_next(self) -> bool:
        """Read once and hand on what came.

        Returns
        -------
        bool
            Whether there is more to read at once.

        Raises
        ------
        CeleryforkError
            The log gave no answer.
        """
        part = self._log.read(
            CLAIMS_STREAM,
            self._next_offset,
            MOST_RECORDS_PER_READ,
            READ_WAIT_S if self.caught_up else 0.0,
            READ_TIMEOUT_S,
        )
        if part.first_offset > self._next_offset:
            self._counters.add("claims.gaps")
            self._on_gap(self._clock.monotonic())
        self._on_slice(part)
        last = part.records[-1].offset + 1 if part.records else part.next_offset
        self._next_offset = max(self._next_offset, last)
        if self._next_offset < part.next_offset:
            return True
        self._caught_up.set()
        return False
