"""Group commit: appends entries in shared records, one append in flight at a time.

The log accepts a few hundred appends per second from all instances together. Entries
queued while an append is in flight, or before the next one is due, share a record.
"""

import threading
import uuid
from collections import deque
from collections.abc import Callable, Sequence
from enum import Enum

from attrs import field, frozen, mutable
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import (
    CeleryforkError,
    InputFaultError,
    PlatformUnavailableError,
)

from celeryfork_calls.claim_records import (
    CLAIMS_STREAM,
    Batch,
    Entry,
    encode_batch,
    entry_size_bytes,
)
from celeryfork_calls.ports import LogPort

MAX_RECORD_BYTES = 256 * 1024
MAX_INTERVAL_S = 2.0
INTERVAL_GROWTH = 2.0
INTERVAL_DECAY = 0.9
APPEND_TIMEOUT_S = 2.0
IDLE_WAIT_S = 0.5
DOWN_AFTER_REFUSALS_S = 1.0


class AppendResult(Enum):
    """Result of an append, as far as it is known."""

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"
    REJECTED = "rejected"  # not in the log, and a retry would be rejected too


@mutable(eq=False)
class QueuedEntry:
    """An entry to be appended to the log.

    Parameters
    ----------
    retry_until_confirmed
        True to retry the append until the log confirms or rejects it; otherwise each
        append's result is reported.
    first_sent_s
        Monotonic time of its first append, in seconds.
    maybe_in_log
        True if the log has, or may have, the entry; False proves that it has not.
    """

    entry: Entry
    retry_until_confirmed: bool
    first_sent_s: float | None = None
    maybe_in_log: bool = False
    size_bytes: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the size once."""
        self.size_bytes = entry_size_bytes(self.entry)


ResultCallback = Callable[[Sequence[QueuedEntry], AppendResult], None]


@frozen
class CommitLimits:
    """Limits of the group commit.

    Parameters
    ----------
    interval_s
        Time between appends while the log accepts them, in seconds; the maximum time
        that an entry waits for others.
    max_queued, max_queued_bytes
        Limits of the queue, in entries and bytes.
    """

    interval_s: float
    max_queued: int
    max_queued_bytes: int


class GroupCommit:
    """A queue of entries and the thread that appends them.

    Parameters
    ----------
    on_result
        Called with the entries of an append that are not ``retry_until_confirmed``
        and the append's result, without this object's lock.
    """

    def __init__(
        self,
        log: LogPort,
        holder: str,
        limits: CommitLimits,
        on_result: ResultCallback,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._log = log
        self._holder = holder
        self._limits = limits
        self._on_result = on_result
        self._clock = clock
        self._counters = counters
        self._changed = threading.Condition()
        self._queue: deque[QueuedEntry] = deque()
        self._queued_bytes = 0
        self._in_flight: Sequence[QueuedEntry] = ()
        self._min_interval_s = limits.interval_s
        self._interval_s = limits.interval_s
        self._next_append_s = clock.monotonic()
        self._refused_since_s: float | None = None
        self._last_refused_s = 0.0
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="claims-append", daemon=True
        )

    @property
    def refuses_persistently(self) -> bool:
        """True if the log has refused appends for a while, up to now."""
        with self._changed:
            if self._refused_since_s is None:
                return False
            now_s = self._clock.monotonic()
            long = now_s - self._refused_since_s >= DOWN_AFTER_REFUSALS_S
            # Without a recent refusal, another append is worth trying.
            return long and now_s - self._last_refused_s < DOWN_AFTER_REFUSALS_S

    def start(self) -> None:
        """Start the appending thread."""
        self._thread.start()

    def set_interval(self, interval_s: float) -> None:
        """Set the minimum time between appends, in seconds."""
        with self._changed:
            self._min_interval_s = interval_s
            self._interval_s = max(self._interval_s, interval_s)

    def put(self, queued: QueuedEntry) -> bool:
        """Queue an entry; return False, without queueing it, if the queue is full."""
        with self._changed:
            if not self._has_room(queued):
                self._counters.add("claims.queue_full")
                return False
            self._queue.append(queued)
            self._queued_bytes += queued.size_bytes
            self._changed.notify_all()
            return True

    def withdraw(self, queued: QueuedEntry) -> bool:
        """Remove an entry from the queue; True proves that it stays out of the log."""
        with self._changed:
            if queued not in self._queue:
                return False
            self._queue.remove(queued)
            self._queued_bytes -= queued.size_bytes
            return not queued.maybe_in_log

    def flush(self, wait_s: float) -> list[Entry]:
        """Wait until all entries are appended; return those not confirmed in time."""
        deadline_s = self._clock.monotonic() + wait_s
        with self._changed:
            while self._queue or self._in_flight:
                remaining_s = deadline_s - self._clock.monotonic()
                if remaining_s <= 0:
                    break
                self._changed.wait(min(remaining_s, IDLE_WAIT_S))
            return [q.entry for q in (*self._in_flight, *self._queue)]

    def request_stop(self) -> None:
        """Stop after the append in flight; does not block."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def stop(self) -> None:
        """Stop the thread, and wait for the append in flight."""
        self.request_stop()
        if self._thread.is_alive():
            self._thread.join(timeout=2 * APPEND_TIMEOUT_S)

    def dump(self) -> dict[str, object]:
        """Return the queue's state for the state dump."""
        with self._changed:
            return {
                "queued": len(self._queue),
                "queued_bytes": self._queued_bytes,
                "gap_s": self._interval_s,
            }

    def _has_room(self, queued: QueuedEntry) -> bool:
        if len(self._queue) >= self._limits.max_queued:
            return False
        max_bytes = self._limits.max_queued_bytes
        return self._queued_bytes + queued.size_bytes <= max_bytes

    def append_next(self) -> bool:
        """Append queued entries if an append is due; return True if one was made."""
        with self._changed:
            remaining_s = self._next_append_s - self._clock.monotonic()
            if not self._queue or remaining_s > 0:
                return False
            batch = self._take_batch()
        result = self._append(batch)
        self._adjust_interval(result)
        self._complete_batch(batch, result)
        return True

    def _run(self) -> None:
        while not self._stopping:
            if not self.append_next():
                self._wait_until_due()

    def _wait_until_due(self) -> None:
        """Wait until an append may be due, at most ``IDLE_WAIT_S``."""
        with self._changed:
            wait_s = IDLE_WAIT_S
            if self._queue:
                wait_s = self._next_append_s - self._clock.monotonic()
            if wait_s > 0 and not self._stopping:
                self._changed.wait(min(wait_s, IDLE_WAIT_S))

    def _take_batch(self) -> Sequence[QueuedEntry]:
        now_s = self._clock.monotonic()
        batch: list[QueuedEntry] = []
        size = 0
        while self._queue:
            if batch and size + self._queue[0].size_bytes > MAX_RECORD_BYTES:
                break
            queued = self._queue.popleft()
            size += queued.size_bytes
            if queued.first_sent_s is None:
                queued.first_sent_s = now_s
            batch.append(queued)
        self._queued_bytes -= size
        self._in_flight = batch
        self._next_append_s = now_s + self._interval_s
        return batch

    def _append(self, batch: Sequence[QueuedEntry]) -> AppendResult:
        data = encode_batch(Batch(self._holder, [q.entry for q in batch]))
        self._counters.add("claims.appends")
        self._counters.add("claims.appended_entries", len(batch))
        try:
            self._log.append(CLAIMS_STREAM, data, uuid.uuid4().hex, APPEND_TIMEOUT_S)
        except PlatformUnavailableError:
            self._counters.add("claims.appends_refused")
            return AppendResult.NOT_APPENDED
        except InputFaultError:
            self._counters.add("claims.appends_rejected")
            return AppendResult.REJECTED
        except CeleryforkError:
            self._counters.add("claims.appends_unknown")
            return AppendResult.UNKNOWN
        return AppendResult.APPENDED

    def _adjust_interval(self, result: AppendResult) -> None:
        """Append less often while appends fail, as instances share the log's rate."""
        with self._changed:
            self._track_refusals(result)
            if result is AppendResult.APPENDED:
                self._interval_s = max(
                    self._min_interval_s, self._interval_s * INTERVAL_DECAY
                )
                return
            grown = max(self._interval_s, self._min_interval_s, 0.01) * INTERVAL_GROWTH
            self._interval_s = min(grown, MAX_INTERVAL_S)
            self._next_append_s = self._clock.monotonic() + self._interval_s

    def _track_refusals(self, result: AppendResult) -> None:
        if result is not AppendResult.NOT_APPENDED:
            self._refused_since_s = None
            return
        self._last_refused_s = self._clock.monotonic()
        if self._refused_since_s is None:
            self._refused_since_s = self._last_refused_s

    def _complete_batch(
        self, batch: Sequence[QueuedEntry], result: AppendResult
    ) -> None:
        retry_until_confirmed = [q for q in batch if q.retry_until_confirmed]
        reported = [q for q in batch if not q.retry_until_confirmed]
        with self._changed:
            self._in_flight = ()
            if result in (AppendResult.APPENDED, AppendResult.UNKNOWN):
                for queued in batch:
                    queued.maybe_in_log = True
            if result in (AppendResult.NOT_APPENDED, AppendResult.UNKNOWN):
                self._queue.extendleft(reversed(retry_until_confirmed))
                self._queued_bytes += sum(q.size_bytes for q in retry_until_confirmed)
            self._changed.notify_all()
        if reported:
            self._on_result(reported, result)
