"""Tests of celeryfork_calls.group_commit."""

import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import InputFaultError
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.claim_records import Claim, Settled, decode_batch
from celeryfork_calls.group_commit import (
    MAX_INTERVAL_S,
    MAX_RECORD_BYTES,
    AppendResult,
    CommitLimits,
    GroupCommit,
    QueuedEntry,
)
from celeryfork_calls.kept_outcomes import KeptOutcome

INTERVAL_S = 0.02


def claim(n=0):
    return QueuedEntry(
        Claim("o", f"k{n}", "ab", f"{n:016x}"), retry_until_confirmed=False
    )


def settled(n=0, size=10):
    kept = KeptOutcome("o", f"k{n}", Outcome.DONE, 200, "", b"x" * size, "", 0)
    return QueuedEntry(Settled(f"{n:016x}", kept), retry_until_confirmed=True)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def log(fake_log_class, clock):
    return fake_log_class(clock)


@pytest.fixture
def results():
    return []


@pytest.fixture
def commit(log, clock, results):
    limits = CommitLimits(INTERVAL_S, max_queued=1000, max_queued_bytes=2_000_000)

    def record_result(batch, result):
        results.append((len(batch), result))

    return GroupCommit(log, "a@1", limits, record_result, clock, Counters())


def test_queued_entries_share_a_record_and_appends_are_spaced(commit, log, clock):
    commit.put(claim())
    assert commit.append_next()
    for n in range(100):
        commit.put(claim(n))
    assert not commit.append_next()
    clock.advance(INTERVAL_S)
    assert commit.append_next()
    assert [len(decode_batch(r.data).entries) for r in log.records] == [1, 100]


def test_record_size_is_limited(commit, log, clock):
    for n in range(20):
        commit.put(settled(n, size=50_000))
    while commit.append_next():
        clock.advance(INTERVAL_S)
    assert len(log.records) > 3
    assert max(len(r.data) for r in log.records) < MAX_RECORD_BYTES + 100_000
    entries = [e for r in log.records for e in decode_batch(r.data).entries]
    assert [e.kept.key for e in entries] == [f"k{n}" for n in range(20)]


def test_the_queue_is_limited_in_count_and_bytes(commit):
    assert sum(commit.put(claim(n)) for n in range(1100)) == 1000
    assert not commit.put(settled(size=3_000_000))


def test_entries_are_retried_in_order_until_confirmed(commit, log, clock, results):
    log.faults = ["refuse", "vanish", "lose"]
    for n in range(3):
        commit.put(settled(n))
    for _ in range(300):
        commit.append_next()
        clock.advance(INTERVAL_S)
    assert commit.flush(0) == []
    keys = [e.kept.key for e in decode_batch(log.records[-1].data).entries]
    assert keys == ["k0", "k1", "k2"]
    assert results == []


def test_the_result_of_each_claims_append_is_reported(commit, log, clock, results):
    log.faults = ["refuse", "lose", ""]
    for n in range(3):
        commit.put(claim(n))
        while not commit.append_next():
            clock.advance(INTERVAL_S)
    assert [r for _, r in results] == [
        AppendResult.NOT_APPENDED,
        AppendResult.UNKNOWN,
        AppendResult.APPENDED,
    ]


def test_the_append_interval_grows_while_the_log_refuses_and_recovers(
    commit, log, clock
):
    log.faults = ["refuse"] * 20
    commit.put(settled())
    for _ in range(2000):
        commit.append_next()
        clock.advance(INTERVAL_S)
        if log.faults == []:
            break
    assert clock.monotonic() > 10 * MAX_INTERVAL_S
    for n in range(200):
        commit.put(settled(n))
        while not commit.append_next():
            clock.advance(INTERVAL_S)
    assert commit.dump()["gap_s"] == INTERVAL_S


def test_withdrawing_proves_absence_only_if_no_append_can_have_succeeded(
    commit, log, clock
):
    first = claim()
    commit.put(first)
    assert commit.withdraw(first)
    assert not commit.append_next()
    second = claim()
    commit.put(second)
    log.faults = ["lose"]
    commit.append_next()
    assert not commit.withdraw(second)
    commit.put(second)
    assert not commit.withdraw(second)
    assert commit.dump()["queued"] == 0


def test_a_rejected_record_is_not_retried(commit, log, monkeypatch, results):
    def reject(*_):
        raise InputFaultError("$", "too large", "make it smaller")

    monkeypatch.setattr(log, "append", reject)
    commit.put(settled())
    commit.put(claim())
    commit.append_next()
    assert results == [(1, AppendResult.REJECTED)]
    assert commit.dump()["queued"] == 0
