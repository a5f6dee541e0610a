"""In-memory platform log that injects faults."""

import threading
import time
from collections.abc import Sequence

from attrs import frozen
from celeryfork_base.clock import Clock
from celeryfork_base.errors import (
    AppendUnknownError,
    PlatformUnavailableError,
)


@frozen
class FakeRecord:
    offset: int
    appended_ms: int
    nonce: str
    data: str


@frozen
class FakeSlice:
    records: Sequence[FakeRecord]
    first_offset: int
    next_offset: int


class FakeLog:
    """One stream, shared by all instances of a test, with faults for its appends.

    Each append takes the next name from ``faults``: "refuse" fails it, "lose" appends
    the record but loses the answer, "late" loses the answer and defers the record
    until ``release_delayed``, and "vanish" loses both the record and the answer.
    """

    def __init__(self, clock: Clock, appends_per_second: float | None = None) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self.records: list[FakeRecord] = []
        self.first_offset = 0
        self.delayed: list[tuple[str, str]] = []
        self.faults: list[str] = []
        self.down = False
        self.answering = threading.Event()  # while cleared, appends block
        self.answering.set()
        self.blocked_appends = 0
        self.append_s = 0.0
        self.poll_s = 0.05
        self.append_count = 0
        self.refused_count = 0
        self.read_count = 0
        self._rate = appends_per_second
        self._allowance = 10.0
        self._allowance_s = clock.monotonic()

    @property
    def available(self) -> bool:
        return not self.down

    def append(self, stream: str, data: str, nonce: str, timeout_s: float) -> int:
        if self.append_s:
            time.sleep(self.append_s)
        self.blocked_appends += 1
        timed_out = not self.answering.wait(timeout_s)
        self.blocked_appends -= 1
        if timed_out:
            raise AppendUnknownError("no answer in time", "look for the nonce")
        with self._changed:
            self.append_count += 1
            fault = self.faults.pop(0) if self.faults else ""
            if self.down or fault == "refuse" or not self._allowed():
                self.refused_count += 1
                raise PlatformUnavailableError("refused", "try again")
            if fault == "late":
                self.delayed.append((data, nonce))
            elif fault != "vanish":
                self._add(data, nonce)
            if fault in ("lose", "late", "vanish"):
                raise AppendUnknownError("the answer was lost", "look for the nonce")
            return self.records[-1].offset

    def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float, timeout_s: float
    ) -> FakeSlice:
        with self._changed:
            self.read_count += 1
            if wait_s > 0:
                self._changed.wait_for(
                    lambda: self.down or self.next_offset > from_offset, self.poll_s
                )
            if self.down:
                raise PlatformUnavailableError("down", "try again")
            start = max(from_offset, self.first_offset) - self.first_offset
            found = self.records[start : start + limit]
            return FakeSlice(tuple(found), self.first_offset, self.next_offset)

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)

    def release_delayed(self) -> None:
        """Append the deferred records."""
        with self._changed:
            for data, nonce in self.delayed:
                self._add(data, nonce)
            self.delayed.clear()

    def outage(self, down: bool) -> None:
        with self._changed:
            self.down = down
            self._changed.notify_all()

    def expire(self, retention_s: float) -> None:
        """Drop records that are older than the retention."""
        with self._changed:
            oldest_ms = self._clock.wall_ms() - retention_s * 1000
            while self.records and self.records[0].appended_ms < oldest_ms:
                del self.records[0]
                self.first_offset += 1

    def _add(self, data: str, nonce: str) -> None:
        offset = self.next_offset
        self.records.append(FakeRecord(offset, self._clock.wall_ms(), nonce, data))
        self._changed.notify_all()

    def _allowed(self) -> bool:
        if self._rate is None:
            return True
        now_s = self._clock.monotonic()
        gained = (now_s - self._allowance_s) * self._rate
        self._allowance = min(10.0, self._allowance + gained)
        self._allowance_s = now_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True
