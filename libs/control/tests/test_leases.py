"""Tests of celeryfork_control.leases with outages of the log and paused holders."""

import threading
import time

import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import AppendUnknownError, PlatformUnavailableError
from celeryfork_control.leases import LeaseManager, make_lease_manager
from celeryfork_platform.model import LogRecord, LogSlice

LEASE_NAME = "orders/karen"
LEASE_DURATION_S = 10.0
DEADLINE_S = 10.0


class FakeLog:
    """A log in memory with timestamps of a manual clock."""

    available = True

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.records: list[LogRecord] = []
        self.unavailable = False
        self.lose_answers = False
        self.changed = threading.Condition()

    def append(self, stream: str, data: str, nonce: str, timeout_s: float) -> int:
        if self.unavailable:
            raise PlatformUnavailableError("log unavailable", "wait")
        with self.changed:
            offset = len(self.records)
            self.records.append(LogRecord(offset, self.clock.wall_ms(), nonce, data))
            self.changed.notify_all()
        if self.lose_answers:
            raise AppendUnknownError("response lost", "read the log")
        return offset

    def read(self, stream, from_offset, limit, wait_s, timeout_s) -> LogSlice:
        if self.unavailable:
            raise PlatformUnavailableError("log unavailable", "wait")
        with self.changed:
            self.changed.wait_for(lambda: len(self.records) > from_offset, wait_s / 20)
            records = tuple(self.records[from_offset : from_offset + limit])
            return LogSlice(records, 0, len(self.records))


def wait_for(condition) -> None:
    ends_s = time.monotonic() + DEADLINE_S
    while not condition():
        assert time.monotonic() < ends_s, f"condition not met within {DEADLINE_S} s"
        time.sleep(0.005)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def log(clock: ManualClock) -> FakeLog:
    return FakeLog(clock)


@pytest.fixture
def start_manager(log: FakeLog, clock: ManualClock):
    managers: list[LeaseManager] = []

    def start(holder: str) -> LeaseManager:
        manager = make_lease_manager(log, holder, clock, Counters())
        manager.request(LEASE_NAME, LEASE_DURATION_S)
        manager.start()
        managers.append(manager)
        return manager

    yield start
    for manager in managers:
        manager.stop()


def test_one_of_two_instances_holds_and_renews_the_lease(start_manager, clock) -> None:
    managers = [start_manager("a@1"), start_manager("b@1")]
    wait_for(lambda: any(manager.held_token(LEASE_NAME) for manager in managers))
    holder = next(manager for manager in managers if manager.held_token(LEASE_NAME))
    first = last = holder.held_token(LEASE_NAME)
    for _ in range(10):
        clock.advance(LEASE_DURATION_S / 2)
        wait_for(lambda last=last: holder.held_token(LEASE_NAME).ends_s > last.ends_s)
        last = holder.held_token(LEASE_NAME)
    assert last.number == first.number
    assert sum(manager.held_token(LEASE_NAME) is not None for manager in managers) == 1


def test_released_lease_is_acquired_by_another_instance(start_manager) -> None:
    first = start_manager("a@1")
    wait_for(lambda: first.held_token(LEASE_NAME))
    number = first.held_token(LEASE_NAME).number
    second = start_manager("b@1")
    first.stop()
    second_number = []

    def second_holds() -> bool:
        fencing = second.held_token(LEASE_NAME)
        if fencing:
            second_number.append(fencing.number)
        return fencing is not None

    second._requested_by_name[LEASE_NAME].next_attempt_s = 0.0
    wait_for(second_holds)
    assert second_number[0] > number


def test_lease_expires_at_its_holder_before_it_is_free_in_the_log(
    start_manager, log, clock
) -> None:
    holder = start_manager("a@1")
    wait_for(lambda: holder.held_token(LEASE_NAME))
    log.unavailable = True
    clock.advance(LEASE_DURATION_S * 0.95)
    assert holder.held_token(LEASE_NAME) is None
    state = holder._fold.state(LEASE_NAME)
    assert clock.wall_ms() < state.ends_ms


def test_lease_expires_in_an_outage_and_is_acquired_again_after_it(
    start_manager, log, clock
) -> None:
    manager = start_manager("a@1")
    wait_for(lambda: manager.held_token(LEASE_NAME))
    number = manager.held_token(LEASE_NAME).number
    log.unavailable = True
    clock.advance(LEASE_DURATION_S * 2)
    assert manager.held_token(LEASE_NAME) is None
    log.unavailable = False
    wait_for(lambda: manager.held_token(LEASE_NAME))
    assert manager.held_token(LEASE_NAME).number > number


def test_acquisition_with_a_lost_response_gives_no_token(
    start_manager, log, clock
) -> None:
    log.lose_answers = True
    manager = start_manager("a@1")
    wait_for(lambda: log.records)
    wait_for(lambda: manager._fold.state(LEASE_NAME) is not None)
    assert manager.held_token(LEASE_NAME) is None
    log.lose_answers = False
    clock.advance(LEASE_DURATION_S * 1.1)
    wait_for(lambda: manager.held_token(LEASE_NAME))
