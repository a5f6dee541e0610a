"""Tests of celeryfork_control.lease_fold."""

import pytest
from celeryfork_control.lease_fold import LeaseFold
from celeryfork_control.lease_records import LeaseRecord, LeaseStep, format_record
from celeryfork_platform.model import LogRecord
from hypothesis import given, settings
from hypothesis import strategies as st

LEASE_DURATION_MS = 1000


class Log:
    """A log in memory; each append takes its timestamp."""

    def __init__(self) -> None:
        self.fold = LeaseFold()
        self.records: list[LogRecord] = []

    def append(self, step: LeaseStep, holder: str, based_on, at_ms: int) -> bool:
        record = LeaseRecord("orders/karen", step, holder, based_on, LEASE_DURATION_MS)
        return self.append_text(format_record(record), at_ms)

    def append_text(self, text: str, at_ms: int) -> bool:
        entry = LogRecord(len(self.records), at_ms, "n", text)
        self.records.append(entry)
        return self.fold.apply(entry)

    @property
    def state(self):
        return self.fold.state("orders/karen")


def test_first_of_two_concurrent_acquisitions_wins() -> None:
    log = Log()
    assert log.append(LeaseStep.ACQUIRE, "a@1", None, 0)
    assert not log.append(LeaseStep.ACQUIRE, "b@1", None, 0)
    assert log.state.holder == "a@1"


def test_lease_can_be_acquired_only_after_expiry_by_the_logs_clock() -> None:
    log = Log()
    log.append(LeaseStep.ACQUIRE, "a@1", None, 0)
    assert not log.append(LeaseStep.ACQUIRE, "b@1", 0, LEASE_DURATION_MS - 1)
    assert log.append(LeaseStep.ACQUIRE, "b@1", 0, LEASE_DURATION_MS)
    assert log.state.fencing == 2


def test_renewal_after_expiry_is_refused() -> None:
    log = Log()
    log.append(LeaseStep.ACQUIRE, "a@1", None, 0)
    assert log.append(LeaseStep.RENEW, "a@1", 0, 500)
    assert log.state.fencing == 0
    assert not log.append(LeaseStep.RENEW, "a@1", 1, 500 + LEASE_DURATION_MS)
    assert not log.append(LeaseStep.RENEW, "b@1", 1, 600)


def test_renewal_by_a_previous_holder_is_refused() -> None:
    log = Log()
    log.append(LeaseStep.ACQUIRE, "a@1", None, 0)
    log.append(LeaseStep.ACQUIRE, "b@1", 0, LEASE_DURATION_MS)
    assert not log.append(LeaseStep.RENEW, "a@1", 0, LEASE_DURATION_MS + 1)
    assert not log.append(LeaseStep.RELEASE, "a@1", 0, LEASE_DURATION_MS + 1)
    assert log.state.holder == "b@1"


def test_released_lease_can_be_acquired_at_once() -> None:
    log = Log()
    log.append(LeaseStep.ACQUIRE, "a@1", None, 0)
    assert log.append(LeaseStep.RELEASE, "a@1", 0, 10)
    assert log.append(LeaseStep.ACQUIRE, "b@1", 1, 11)


def test_clock_set_back_does_not_extend_a_lease() -> None:
    log = Log()
    log.append(LeaseStep.ACQUIRE, "a@1", None, 10_000)
    log.append_text("{}", 10_000 + LEASE_DURATION_MS)
    assert log.append(LeaseStep.ACQUIRE, "b@1", 0, 5_000)


@pytest.mark.parametrize(
    "text", ["", "no json", "[]", "{}", '{"lease": 1}', '{"lease":"x","step":"burn"}']
)
def test_malformed_records_are_counted_and_ignored(text: str) -> None:
    log = Log()
    assert not log.append_text(text, 0)
    assert log.fold.malformed == 1
    assert log.append(LeaseStep.ACQUIRE, "a@1", None, 1)


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(list(LeaseStep)),
            st.sampled_from(["a@1", "b@1", "c@1"]),
            st.integers(0, 3),
            st.integers(0, 700),
        ),
        max_size=40,
    )
)
def test_one_holder_at_a_time_and_fencing_numbers_grow(steps) -> None:
    log, now_ms, ends_ms, holder, fencing = Log(), 0, 0, None, -1
    for step, instance, offset_error, pause_ms in steps:
        now_ms += pause_ms
        state = log.state
        based_on = None if state is None else state.last_offset - offset_error
        if not log.append(step, instance, based_on, now_ms):
            continue
        if step is LeaseStep.ACQUIRE:
            assert holder is None or now_ms >= ends_ms
            assert log.state.fencing > fencing
        else:
            assert instance == holder
            assert now_ms < ends_ms
            assert log.state.fencing == fencing
        holder = None if step is LeaseStep.RELEASE else instance
        fencing, ends_ms = log.state.fencing, now_ms + LEASE_DURATION_MS
