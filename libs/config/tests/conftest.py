"""A log in memory that fails when told to, for the tests of this library."""

import threading
from collections.abc import Callable

import orjson
import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.errors import AppendUnknownError, PlatformUnavailableError
from celeryfork_platform.model import LogRecord, LogSlice


class FakeLog:
    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.changed = threading.Condition()
        self.records: list[LogRecord] = []
        self.first_offset = 0
        self.down = False
        self.refuse_appends = 0
        self.lose_answers = 0
        self.held_back: list[tuple[str, str]] = []
        self.hold_back = False
        self.reads = 0

    @property
    def available(self) -> bool:
        return not self.down

    def append(self, stream: str, data: str, nonce: str, timeout_s: float) -> int:
        with self.changed:
            if self.down or self.refuse_appends > 0:
                self.refuse_appends -= 1
                raise PlatformUnavailableError("The log is down.", "wait")
            if self.hold_back:
                self.held_back.append((data, nonce))
                raise AppendUnknownError("The answer was lost.", "look")
            offset = self.put(data, nonce)
            if self.lose_answers > 0:
                self.lose_answers -= 1
                raise AppendUnknownError("The answer was lost.", "look")
            return offset

    def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_s: float,
        timeout_s: float,
    ) -> LogSlice:
        with self.changed:
            self.reads += 1
            if wait_s > 0 and not self.down and from_offset >= len(self.records):
                self.changed.wait(min(wait_s, 0.05))
            if self.down:
                raise PlatformUnavailableError("The log is down.", "wait")
            start = max(from_offset, self.first_offset)
            found = tuple(self.records[start : start + limit])
            return LogSlice(found, self.first_offset, len(self.records))

    def put(self, data: str, nonce: str = "") -> int:
        with self.changed:
            offset = len(self.records)
            self.records.append(LogRecord(offset, self.clock.wall_ms(), nonce, data))
            self.changed.notify_all()
            return offset

    def put_record(
        self, name: str, schema: int, based_on: int | None, payload: object
    ) -> int:
        value = {
            "name": name,
            "schema": schema,
            "based_on": based_on,
            "payload": payload,
        }
        return self.put(orjson.dumps(value).decode())

    def release_held_back(self) -> None:
        for data, nonce in self.held_back:
            self.put(data, nonce)
        self.held_back.clear()

    def drop_before(self, offset: int) -> None:
        with self.changed:
            self.first_offset = max(self.first_offset, offset)

    def drop_older_than(self, age_s: float) -> None:
        limit_ms = self.clock.wall_ms() - age_s * 1000
        with self.changed:
            while (
                self.first_offset < len(self.records)
                and self.records[self.first_offset].appended_ms < limit_ms
            ):
                self.first_offset += 1


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def log(clock: ManualClock) -> FakeLog:
    return FakeLog(clock)


@pytest.fixture
def make_log(clock: ManualClock) -> Callable[[], FakeLog]:
    return lambda: FakeLog(clock)
