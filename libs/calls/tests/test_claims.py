"""Tests of celeryfork_calls.claims: instances with threads on a log with faults."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.claim_fold import hash_body
from celeryfork_calls.claim_records import MAX_LOGGED_BODY_BYTES
from celeryfork_calls.claim_results import (
    Claimed,
    InProgress,
    Refused,
    Replay,
    Unresolved,
)
from celeryfork_calls.kept_outcomes import KeptOutcome

HASH = hash_body(b"monday")


def claim(coordinator, key, wait_s=5.0, body_hash=HASH):
    return coordinator.claim("o", key, body_hash, time.monotonic() + wait_s)


def finish(coordinator, claimed, outcome=Outcome.DONE, body=b"booked"):
    kept = KeptOutcome(
        "o", claimed.key, outcome, 200, "text/plain", body, claimed.body_hash, 0
    )
    coordinator.finish(claimed, kept)
    return kept


def refusal_code(result):
    assert isinstance(result, Refused)
    assert result.error.outcome is Outcome.NOT_RUN
    assert result.error.remedy
    return result.error.code


@pytest.mark.parametrize("count", [2, 9])
def test_one_of_several_concurrent_claims_is_granted(start_coordinator, new_key, count):
    coordinators = [start_coordinator(f"i{n}") for n in range(count)]
    for _ in range(5):
        key = new_key()
        with ThreadPoolExecutor(count) as pool:
            results = list(
                pool.map(
                    lambda coordinator, key=key: claim(coordinator, key), coordinators
                )
            )
        claimed = [r for r in results if isinstance(r, Claimed)]
        assert len(claimed) == 1
        holder = f"i{results.index(claimed[0])}@1"
        losers = [r for r in results if r is not claimed[0]]
        assert losers == [InProgress(holder)] * (count - 1)


def test_an_outcome_is_replayed_by_every_instance_and_by_a_new_one(
    start_coordinator, new_key, wait_until
):
    one, two = start_coordinator("a"), start_coordinator("b")
    key = new_key()
    kept = finish(one, claim(one, key))
    wait_until(lambda: isinstance(claim(two, key), Replay))
    for coordinator in (one, two, start_coordinator("c")):
        wait_until(lambda coordinator=coordinator: coordinator.ready)
        assert claim(coordinator, key) == Replay(kept)
        assert (
            refusal_code(claim(coordinator, key, body_hash=hash_body(b"x")))
            == "key_reused"
        )


def test_a_claim_is_granted_after_a_lost_append_answer(start_coordinator, log, new_key):
    coordinator = start_coordinator()
    log.faults = ["lose"]
    assert isinstance(claim(coordinator, new_key()), Claimed)


def test_a_lost_append_is_retried(start_coordinator, log, new_key):
    coordinator = start_coordinator()
    log.faults = ["vanish"]
    assert isinstance(claim(coordinator, new_key()), Claimed)
    assert log.append_count == 2


def test_a_given_up_claim_that_is_appended_late_frees_its_key(
    start_coordinator, log, new_key, wait_until
):
    one, two = start_coordinator("a"), start_coordinator("b")
    key = new_key()
    log.faults = ["late", *["refuse"] * 3]
    assert refusal_code(claim(one, key, wait_s=0.1)) == "log_unavailable"
    log.release_delayed()
    wait_until(lambda: one.dump()["given_up"] == 0)
    wait_until(lambda: isinstance(claim(two, key), Claimed))


def test_a_late_append_of_a_stopped_instance_is_granted_to_no_instance(
    start_coordinator, log, new_key
):
    one = start_coordinator("a")
    key = new_key()
    log.faults = ["late", *["refuse"] * 1000]
    assert refusal_code(claim(one, key, wait_s=0.1)) == "log_unavailable"
    assert one.stop().claims_not_abandoned == 1
    log.faults = []
    log.release_delayed()
    successor = start_coordinator("b")
    assert claim(successor, key) == InProgress("a@1")
    assert claim(start_coordinator("c"), key) == InProgress("a@1")


def test_a_late_append_loses_to_a_claim_granted_in_the_meantime(
    start_coordinator, log, new_key
):
    one, two = start_coordinator("a"), start_coordinator("b")
    key = new_key()
    log.faults = ["late", *["refuse"] * 6]
    assert refusal_code(claim(one, key, wait_s=0.1)) == "log_unavailable"
    log.faults = []
    claimed = claim(two, key)
    assert isinstance(claimed, Claimed)
    log.release_delayed()
    kept = finish(two, claimed)
    assert claim(two, key) == Replay(kept)
    assert isinstance(claim(one, key), InProgress | Replay)


def test_in_a_log_outage_claims_are_refused_immediately(
    start_coordinator, log, new_key, wait_until
):
    coordinator = start_coordinator()
    key = new_key()
    log.outage(True)
    began_s = time.monotonic()
    assert refusal_code(claim(coordinator, key, wait_s=30.0)) == "log_unavailable"
    assert time.monotonic() - began_s < 5.0
    log.outage(False)
    assert isinstance(claim(coordinator, key), Claimed)


def test_persistent_refusals_by_the_log_count_as_an_outage(
    start_coordinator, log, new_key
):
    coordinator = start_coordinator()
    log.faults = ["refuse"] * 1000
    began_s = time.monotonic()
    assert refusal_code(claim(coordinator, new_key(), wait_s=30.0)) == "log_unavailable"
    assert time.monotonic() - began_s < 10.0


def test_claims_end_at_the_deadline_while_the_log_hangs(
    start_coordinator, log, new_key
):
    coordinator = start_coordinator()
    log.answering.clear()
    results = []
    threads = [
        threading.Thread(
            target=lambda: results.append(claim(coordinator, new_key(), 0.2))
        )
        for _ in range(20)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(5)
    assert {refusal_code(r) for r in results} <= {"log_unavailable", "deadline"}
    assert len(results) == 20


def test_a_claim_withdrawn_before_its_append_is_not_in_the_log(
    start_coordinator, log, new_key, wait_until
):
    coordinator = start_coordinator()
    log.answering.clear()
    stuck = threading.Thread(target=claim, args=(coordinator, new_key(), 0.1))
    stuck.start()
    wait_until(lambda: log.blocked_appends == 1)
    second = new_key()
    refusal_code(claim(coordinator, second, 0.05))
    stuck.join(5)
    assert coordinator.dump()["given_up"] == 1
    log.answering.set()
    assert isinstance(claim(coordinator, second), Claimed)
    assert sum(second in record.data for record in log.records) == 1


def test_a_paused_holder_keeps_its_key_and_is_never_replaced(
    start_coordinator, new_key, wait_until
):
    one, two = start_coordinator("a"), start_coordinator("b")
    key = new_key()
    claimed = claim(one, key)  # the holder is paused before it sends
    for _ in range(3):
        assert claim(two, key, 0.1) == InProgress("a@1")
    kept = finish(one, claimed)
    wait_until(lambda: claim(two, key) == Replay(kept))


def test_a_call_that_did_not_run_frees_its_key(start_coordinator, new_key, wait_until):
    one, two = start_coordinator("a"), start_coordinator("b")
    key = new_key()
    finish(one, claim(one, key), Outcome.NOT_RUN)
    assert isinstance(claim(one, key), Claimed | InProgress)
    other = new_key()
    finish(one, claim(one, other), Outcome.NOT_RUN)
    wait_until(lambda: isinstance(claim(two, other), Claimed))


def test_a_stopped_holder_leaves_its_keys_held_or_unknown(start_coordinator, new_key):
    one = start_coordinator("a")
    before, after = new_key(), new_key()
    claim(one, before)
    finish(one, claim(one, after), Outcome.UNKNOWN)
    one.stop()
    two = start_coordinator("b")
    assert claim(two, before) == InProgress("a@1")
    assert isinstance(claim(two, after), Unresolved)


@pytest.mark.parametrize(
    ("key_age_s", "code"), [(601, "key_expired"), (-60, "key_malformed")]
)
def test_keys_outside_the_window_are_refused(
    start_coordinator, new_key, key_age_s, code
):
    assert refusal_code(claim(start_coordinator(), new_key(key_age_s))) == code


@pytest.mark.parametrize(
    "key", ["", "x", "123e4567-e89b-42d3-a456-426614174000", "{" * 5000]
)
def test_keys_that_are_no_uuid7_are_refused(start_coordinator, key):
    assert refusal_code(claim(start_coordinator(), key)) == "key_malformed"


def test_a_new_instance_reads_the_log_up_to_its_claim_before_granting_it(
    start_coordinator, log, new_key
):
    key = new_key()
    one = start_coordinator("a")
    assert isinstance(claim(one, key), Claimed)
    for _ in range(500):
        log.append("claims", '{"v":1,"by":"x@1","e":[]}', "", 1.0)
    assert claim(start_coordinator("b"), key) == InProgress("a@1")


def test_malformed_records_are_counted_and_do_not_stop_the_fold(
    start_coordinator, log, new_key
):
    coordinator = start_coordinator()
    for data in ("no json", '{"v":1,"by":"x@1","e":[["c",1]]}', "\0"):
        log.append("claims", data, "", 1.0)
    assert isinstance(claim(coordinator, new_key()), Claimed)
    assert coordinator._counters.count("claims.records_malformed") == 2
    assert coordinator._counters.count("claims.entries_malformed") == 1


def test_peers_know_only_the_outcome_of_a_call_with_a_large_answer(
    start_coordinator, new_key, wait_until
):
    one, two = start_coordinator("a"), start_coordinator("b")
    key = new_key()
    finish(one, claim(one, key), body=b"x" * (MAX_LOGGED_BODY_BYTES + 1))
    wait_until(lambda: isinstance(claim(two, key), Unresolved))
    assert claim(two, key).outcome is Outcome.DONE
    assert isinstance(claim(one, key), Replay)


def test_stop_flushes_outcomes_and_reports_those_not_written(
    start_coordinator, log, new_key
):
    one, two = start_coordinator("a"), start_coordinator("b")
    key = new_key()
    finish(one, claim(one, key))
    assert one.stop().unflushed == []
    claimed = claim(two, new_key())
    log.outage(True)
    kept = finish(two, claimed)
    report = two.stop()
    assert report.unflushed == [kept]
    log.outage(False)
    assert refusal_code(claim(two, new_key())) == "stopping"


def test_a_wider_window_applies_immediately(start_coordinator, new_key):
    coordinator = start_coordinator(window_s=1.0)
    old = new_key(30)
    assert refusal_code(claim(coordinator, old)) == "key_expired"
    coordinator.set_limits(
        type(coordinator._limits)(retention_s=3600.0, window_s=600.0)
    )
    assert isinstance(claim(coordinator, old), Claimed | Unresolved)
