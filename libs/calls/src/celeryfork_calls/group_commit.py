"""Appends many entries in one record, with one append in flight at a time.

The log takes a few hundred appends a second from all instances together. Entries
that arrive while an append is in flight, or before the next is due, share a record.
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

LARGEST_RECORD_BYTES = 256 * 1024
LONGEST_GAP_S = 2.0
GAP_GROWTH = 2.0
GAP_DECAY = 0.9
APPEND_TIMEOUT_S = 2.0
IDLE_WAIT_S = 0.5
REFUSED_IS_DOWN_S = 1.0


class AppendResult(Enum):
    """What is known about an append."""

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"
    REJECTED = "rejected"  # it is not in the log, and would be refused again


@mutable(eq=False)
class Queued:
    """An entry on its way into the log.

    Parameters
    ----------
    must_land
        Append it again until the log confirms it; else report the first result.
    first_sent_s
        Monotonic time at which it was first sent.
    maybe_in_log
        Whether the log took it or may have; False is proof that it is not there.
    """

    entry: Entry
    must_land: bool
    first_sent_s: float | None = None
    maybe_in_log: bool = False
    size_bytes: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Work out the size once."""
        self.size_bytes = entry_size_bytes(self.entry)


ResultCallback = Callable[[Sequence[Queued], AppendResult], None]


@frozen
class CommitLimits:
    """Bounds of the group commit.

    Parameters
    ----------
    gap_s
        Time from one append to the next while the log takes them, in seconds; the
        longest that an entry waits for others.
    most_queued, most_queued_bytes
        Bounds of what waits to be appended.
    """

    gap_s: float
    most_queued: int
    most_queued_bytes: int


class GroupCommit:
    """The queue and the one thread that appends it.

    Parameters
    ----------
    on_result
        Called with the entries of one append that were not ``must_land`` and what
        became of them; not under this object's lock.
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
        self._queue: deque[Queued] = deque()
        self._queued_bytes = 0
        self._in_flight: Sequence[Queued] = ()
        self._least_gap_s = limits.gap_s
        self._gap_s = limits.gap_s
        self._next_append_s = clock.monotonic()
        self._refused_since_s: float | None = None
        self._last_refused_s = 0.0
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="claims-append", daemon=True
        )

    @property
    def refused_long(self) -> bool:
        """Whether the log has refused appends for a while, just now still."""
        with self._changed:
            if self._refused_since_s is None:
                return False
            now_s = self._clock.monotonic()
            long = now_s - self._refused_since_s >= REFUSED_IS_DOWN_S
            # After a while without a refusal, one more append is worth the try.
            return long and now_s - self._last_refused_s < REFUSED_IS_DOWN_S

    def start(self) -> None:
        """Begin to append in the background."""
        self._thread.start()

    def set_gap(self, gap_s: float) -> None:
        """Append at most once in ``gap_s`` seconds."""
        with self._changed:
            self._least_gap_s = gap_s
            self._gap_s = max(self._gap_s, gap_s)

    def put(self, queued: Queued) -> bool:
        """Queue an entry; False if there is no room, and then it was not queued."""
        with self._changed:
            if not self._has_room(queued):
                self._counters.add("claims.queue_full")
                return False
            self._queue.append(queued)
            self._queued_bytes += queued.size_bytes
            self._changed.notify_all()
            return True

    def withdraw(self, queued: Queued) -> bool:
        """Take an entry back; True proves that it is not in the log and won't be."""
        with self._changed:
            if queued not in self._queue:
                return False
            self._queue.remove(queued)
            self._queued_bytes -= queued.size_bytes
            return not queued.maybe_in_log

    def flush(self, wait_s: float) -> list[Entry]:
        """Wait until everything is in the log; return what isn't, in seconds' bound."""
        ends_s = self._clock.monotonic() + wait_s
        with self._changed:
            while self._queue or self._in_flight:
                left_s = ends_s - self._clock.monotonic()
                if left_s <= 0:
                    break
                self._changed.wait(min(left_s, IDLE_WAIT_S))
            return [q.entry for q in (*self._in_flight, *self._queue)]

    def end(self) -> None:
        """Append nothing more, but for what is in flight; doesn't wait."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def stop(self) -> None:
        """End the thread, after the append that is in flight."""
        self.end()
        if self._thread.is_alive():
            self._thread.join(timeout=2 * APPEND_TIMEOUT_S)

    def dump(self) -> dict[str, object]:
        """Return the queue's state for the state dump."""
        with self._changed:
            return {
                "queued": len(self._queue),
                "queued_bytes": self._queued_bytes,
                "gap_s": self._gap_s,
            }

    def _has_room(self, queued: Queued) -> bool:
        if len(self._queue) >= self._limits.most_queued:
            return False
        most_bytes = self._limits.most_queued_bytes
        return self._queued_bytes + queued.size_bytes <= most_bytes

    def append_next(self) -> bool:
        """Append what is queued, if an append is due; False if none was made."""
        with self._changed:
            left_s = self._next_append_s - self._clock.monotonic()
            if not self._queue or left_s > 0:
                return False
            batch = self._take()
        result = self._append(batch)
        self._pace(result)
        self._settle(batch, result)
        return True

    def _run(self) -> None:
        while not self._stopping:
            if not self.append_next():
                self._await_due()

    def _await_due(self) -> None:
        """Wait until an append may be due, at most ``IDLE_WAIT_S``."""
        with self._changed:
            wait_s = IDLE_WAIT_S
            if self._queue:
                wait_s = self._next_append_s - self._clock.monotonic()
            if wait_s > 0 and not self._stopping:
                self._changed.wait(min(wait_s, IDLE_WAIT_S))

    def _take(self) -> Sequence[Queued]:
        now_s = self._clock.monotonic()
        batch: list[Queued] = []
        size = 0
        while self._queue:
            if batch and size + self._queue[0].size_bytes > LARGEST_RECORD_BYTES:
                break
            queued = self._queue.popleft()
            size += queued.size_bytes
            if queued.first_sent_s is None:
                queued.first_sent_s = now_s
            batch.append(queued)
        self._queued_bytes -= size
        self._in_flight = batch
        self._next_append_s = now_s + self._gap_s
        return batch

    def _append(self, batch: Sequence[Queued]) -> AppendResult:
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

    def _pace(self, result: AppendResult) -> None:
        """Append less often while the log refuses, since others share its rate."""
        with self._changed:
            self._note(result)
            if result is AppendResult.APPENDED:
                self._gap_s = max(self._least_gap_s, self._gap_s * GAP_DECAY)
                return
            grown = max(self._gap_s, self._least_gap_s, 0.01) * GAP_GROWTH
            self._gap_s = min(grown, LONGEST_GAP_S)
            self._next_append_s = self._clock.monotonic() + self._gap_s

    def _note(self, result: AppendResult) -> None:
        if result is not AppendResult.NOT_APPENDED:
            self._refused_since_s = None
            return
        self._last_refused_s = self._clock.monotonic()
        if self._refused_since_s is None:
            self._refused_since_s = self._last_refused_s

    def _settle(self, batch: Sequence[Queued], result: AppendResult) -> None:
        must_land = [q for q in batch if q.must_land]
        reported = [q for q in batch if not q.must_land]
        with self._changed:
            self._in_flight = ()
            if result in (AppendResult.APPENDED, AppendResult.UNKNOWN):
                for queued in batch:
                    queued.maybe_in_log = True
            if result in (AppendResult.NOT_APPENDED, AppendResult.UNKNOWN):
                self._queue.extendleft(reversed(must_land))
                self._queued_bytes += sum(q.size_bytes for q in must_land)
            self._changed.notify_all()
        if reported:
            self._on_result(reported, result)
