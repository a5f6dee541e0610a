"""Tests of celeryfork_control.leases: over a log that fails, and pauses."""

import threading
import time

import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import AppendUnknownError, PlatformUnavailableError
from celeryfork_control.leases import LeaseManager, make_lease_manager
from celeryfork_platform.model import LogRecord, LogSlice

NAME = "orders/karen"
DURATION_S = 10.0
DEADLINE_S = 10.0


class FakeLog:
    """A log in memory whose time is the clock's."""

    available = True

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.records: list[LogRecord] = []
        self.down = False
        self.lose_answers = False
        self.changed = threading.Condition()

    def append(self, stream: str, data: str, nonce: str, timeout_s: float) -> int:
        if self.down:
            raise PlatformUnavailableError("down", "wait")
        with self.changed:
            offset = len(self.records)
            self.records.append(LogRecord(offset, self.clock.wall_ms(), nonce, data))
            self.changed.notify_all()
        if self.lose_answers:
            raise AppendUnknownError("lost", "read the log")
        return offset

    def read(self, stream, from_offset, limit, wait_s, timeout_s) -> LogSlice:
        if self.down:
            raise PlatformUnavailableError("down", "wait")
        with self.changed:
            self.changed.wait_for(lambda: len(self.records) > from_offset, wait_s / 20)
            records = tuple(self.records[from_offset : from_offset + limit])
            return LogSlice(records, 0, len(self.records))


def wait_for(condition) -> None:
    ends_s = time.monotonic() + DEADLINE_S
    while not condition():
        assert time.monotonic() < ends_s, "not so in time"
        time.sleep(0.005)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def log(clock: ManualClock) -> FakeLog:
    return FakeLog(clock)


@pytest.fixture
def make(log: FakeLog, clock: ManualClock):
    keepers: list[LeaseManager] = []

    def start(holder: str) -> LeaseManager:
        keeper = make_lease_manager(log, holder, clock, Counters())
        keeper.want(NAME, DURATION_S)
        keeper.start()
        keepers.append(keeper)
        return keeper

    yield start
    for keeper in keepers:
        keeper.stop()


def test_one_of_two_holds_the_lease_and_renews_it(make, clock) -> None:
    keepers = [make("a@1"), make("b@1")]
    wait_for(lambda: any(keeper.held(NAME) for keeper in keepers))
    holder = next(keeper for keeper in keepers if keeper.held(NAME))
    first = last = holder.held(NAME)
    for _ in range(10):
        clock.advance(DURATION_S / 2)
        wait_for(lambda last=last: holder.held(NAME).ends_s > last.ends_s)
        last = holder.held(NAME)
    assert last.number == first.number
    assert sum(keeper.held(NAME) is not None for keeper in keepers) == 1


def test_a_released_lease_goes_to_the_next_at_once(make) -> None:
    first = make("a@1")
    wait_for(lambda: first.held(NAME))
    number = first.held(NAME).number
    second = make("b@1")
    first.stop()
    second_number = []

    def taken() -> bool:
        fencing = second.held(NAME)
        if fencing:
            second_number.append(fencing.number)
        return fencing is not None

    second._wanted_by_name[NAME].due_s = 0.0
    wait_for(taken)
    assert second_number[0] > number


def test_a_paused_holder_knows_that_its_time_is_over_before_another_can_hold(
    make, log, clock
) -> None:
    paused = make("a@1")
    wait_for(lambda: paused.held(NAME))
    log.down = True
    clock.advance(DURATION_S * 0.95)
    assert paused.held(NAME) is None
    state = paused._fold.state(NAME)
    assert clock.wall_ms() < state.ends_ms


def test_an_outage_ends_the_lease_and_its_end_brings_it_back(make, log, clock) -> None:
    keeper = make("a@1")
    wait_for(lambda: keeper.held(NAME))
    number = keeper.held(NAME).number
    log.down = True
    clock.advance(DURATION_S * 2)
    assert keeper.held(NAME) is None
    log.down = False
    wait_for(lambda: keeper.held(NAME))
    assert keeper.held(NAME).number > number


def test_an_acquisition_whose_answer_was_lost_is_not_acted_upon(
    make, log, clock
) -> None:
    log.lose_answers = True
    keeper = make("a@1")
    wait_for(lambda: log.records)
    wait_for(lambda: keeper._fold.state(NAME) is not None)
    assert keeper.held(NAME) is None
    log.lose_answers = False
    clock.advance(DURATION_S * 1.1)
    wait_for(lambda: keeper.held(NAME))
