"""Tests of celeryfork_calls.plain_caller through instances that share a log."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.claim_fold import hash_body
from celeryfork_calls.claim_records import Batch, HandedOver, encode_batch
from celeryfork_calls.kept_outcomes import KeptOutcome
from celeryfork_calls.plain_call import call_fingerprint

BOOK_CALL = ("kettlecare", "visit-desk", "book")


def test_a_retry_at_any_instance_gets_the_complete_first_answer(
    start_service, start_instance, new_key
):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    key = new_key()
    first = one.book_visit(key)
    for instance in (one, two):
        again = instance.book_visit(key)
        assert again.replayed
        assert again.body == first.body == b"booked monday"
    assert service.ran == {key: 1}


def test_a_ticket_sent_to_several_instances_runs_once(start_service, start_instance):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    ticket, _ = one.tickets.mint("kettlecare", "visit-desk", "book")
    results = [i.book_visit(ticket) for i in (two, one, two)]
    assert {r.body for r in results} == {b"booked monday"}
    assert service.ran == {ticket: 1}


def test_a_booking_with_a_lost_answer_is_unknown_and_never_sent_again(
    start_service, start_instance, new_key
):
    service = start_service("cut")
    spare = start_service()
    instance = start_instance("a", service, spare)
    key = new_key()
    for _ in range(2):
        with pytest.raises(RequestRefusedError) as refusal:
            instance.book_visit(key)
        assert refusal.value.outcome is Outcome.UNKNOWN
    assert service.ran == {key: 1}
    assert not spare.ran


def test_an_answer_with_a_status_outside_http_leaves_a_booking_unknown(
    start_service, start_instance, new_key
):
    """Callers got the answer with its status, as that of a failed booking."""
    service, spare = start_service("outside"), start_service()
    instance = start_instance("a", service, spare)
    with pytest.raises(RequestRefusedError) as refusal:
        instance.book_visit(new_key())
    assert refusal.value.outcome is Outcome.UNKNOWN
    assert 500 <= refusal.value.status <= 599
    assert "600" in str(refusal.value)
    assert not spare.ran


def test_an_idempotent_call_is_retried_after_a_status_outside_http(
    start_service, start_instance
):
    """The target still runs, so the call did not crash it."""
    instance = start_instance("a", start_service("outside"), start_service())
    assert instance.book_visit(None, kind="ask").outcome is Outcome.DONE
    assert instance.router.chosen == ["t0", "t1"]
    assert instance.counters.count("poison.crashes") == 0
    observed = [type(o).__name__ for _, o in instance.view.observed]
    assert observed == ["Reset", "Succeeded"]


@pytest.mark.parametrize("status", [0, 103, 600])
def test_a_stored_answer_with_a_status_outside_http_is_unknown(
    log, start_service, start_instance, new_key, status
):
    """Earlier versions stored such answers, and peers of theirs still do."""
    service = start_service()
    instance = start_instance("a", service)
    key = new_key()
    kept = KeptOutcome(
        "kettlecare", key, Outcome.FAILED, status, "", b"x", hash_body(b"monday"), 1
    )
    log.append("claims", encode_batch(Batch("x@1", [HandedOver(kept)])), "", 1.0)
    instance.book_visit(new_key())  # Reads the log up to here.
    refusal = refusal_of(lambda: instance.book_visit(key))
    assert refusal == (Outcome.UNKNOWN, "outcome_unknown")
    assert key not in service.ran


def refusal_of(call):
    with pytest.raises(RequestRefusedError) as refusal:
        call()
    assert refusal.value.remedy
    return refusal.value.outcome, refusal.value.code


def start_unreachable_service(start_service):
    """Return a service that refuses connections."""
    service = start_service()
    service.address = "127.0.0.1:1"
    return service


def test_an_idempotent_call_is_retried_at_other_targets(start_service, start_instance):
    services = [start_service("cut"), start_service("draining"), start_service()]
    instance = start_instance("a", *services)
    assert instance.book_visit(None, kind="ask").outcome is Outcome.DONE
    assert instance.router.chosen == ["t0", "t1", "t2"]
    assert instance.router.open_count == 0
    assert instance.counters.count("poison.crashes") == 1
    assert (
        instance.poison.crashes(call_fingerprint(instance.call_of(None, kind="ask")))
        == 0
    )
    observed = [type(o).__name__ for _, o in instance.view.observed]
    assert observed == ["Reset", "Draining", "Succeeded"]


def test_an_idle_connection_closed_by_the_target_is_not_counted_as_a_crash(
    start_service, start_instance
):
    service = start_service()
    instance = start_instance("a", service)
    for _ in range(3):
        assert instance.book_visit(None, kind="ask").outcome is Outcome.DONE
    assert service.connections == 3
    assert instance.counters.count("poison.crashes") == 0


def test_retries_are_limited_by_attempts_targets_and_retry_budget(
    start_service, start_instance
):
    services = [start_service(*["busy"] * 9) for _ in range(5)]
    instance = start_instance("a", *services)
    ask = lambda: instance.book_visit(None, kind="ask")  # noqa: E731
    assert refusal_of(ask) == (Outcome.UNKNOWN, "target_failed")
    assert len(instance.router.chosen) == 3
    instance.router.targets = instance.router.targets[:1]
    assert refusal_of(ask) == (Outcome.UNKNOWN, "target_failed")
    assert len(instance.router.chosen) == 4
    instance.budget.left = 0
    assert refusal_of(ask) == (Outcome.UNKNOWN, "target_failed")
    assert len(instance.router.chosen) == 5


def test_a_booking_is_retried_after_proof_that_it_was_not_sent(
    start_service, start_instance, new_key
):
    unreachable, up = start_unreachable_service(start_service), start_service()
    instance = start_instance("a", unreachable, up)
    key = new_key()
    assert instance.book_visit(key).outcome is Outcome.DONE
    assert up.ran == {key: 1}


def test_a_booking_without_any_target_did_not_run_and_can_be_retried(
    start_service, start_instance, new_key
):
    unreachable, up = start_unreachable_service(start_service), start_service()
    one, two = start_instance("a", unreachable), start_instance("b", up)
    key, (ticket, _) = new_key(), one.tickets.mint("kettlecare", "visit-desk", "book")
    for again in (key, ticket):
        refusal = refusal_of(lambda again=again: one.book_visit(again))
        assert refusal == (Outcome.NOT_RUN, "no_target")
    assert two.book_visit(key).outcome is Outcome.DONE
    one.router.targets = two.router.targets
    assert two.book_visit(ticket).outcome is Outcome.DONE
    assert up.ran == {key: 1, ticket: 1}


@pytest.mark.parametrize("answer", ["busy", "draining", "half"])
def test_a_booking_that_may_have_run_is_unknown_and_not_retried(
    start_service, start_instance, new_key, answer
):
    service, spare = start_service(answer), start_service()
    instance = start_instance("a", service, spare)
    outcome, _ = refusal_of(lambda: instance.book_visit(new_key()))
    assert outcome is Outcome.UNKNOWN
    assert not spare.ran


def test_a_rejection_before_running_is_retried(start_service, start_instance, new_key):
    instance = start_instance("a", start_service("reject"), start_service())
    assert instance.book_visit(new_key(), kind="firm").outcome is Outcome.DONE


def test_a_failed_booking_is_replayed_as_failed(start_service, start_instance, new_key):
    service = start_service("fail")
    instance = start_instance("a", service)
    key = new_key()
    results = [instance.book_visit(key) for _ in range(2)]
    assert [r.outcome for r in results] == [Outcome.FAILED] * 2
    assert [r.status for r in results] == [422] * 2
    assert service.ran == {key: 1}


def test_invalid_keys_unknown_kinds_and_reused_keys_are_refused(
    start_service, start_instance, new_key
):
    service = start_service()
    instance = start_instance("a", service)
    book = instance.book_visit
    assert refusal_of(lambda: book(None)) == (Outcome.NOT_RUN, "key_needed")
    assert refusal_of(lambda: book("x")) == (Outcome.NOT_RUN, "key_malformed")
    assert refusal_of(lambda: book(new_key(9999))) == (Outcome.NOT_RUN, "key_expired")
    unknown = refusal_of(lambda: book(new_key(), kind="dance"))
    assert unknown == (Outcome.NOT_RUN, "unknown_kind")
    key = new_key()
    book(key)
    reused = refusal_of(lambda: book(key, body=b"tuesday"))
    assert reused == (Outcome.NOT_RUN, "key_reused")
    assert service.ran == {key: 1}


def test_concurrent_retries_wait_for_the_first_call_and_get_its_answer(
    start_service, start_instance, new_key, wait_until
):
    service = start_service()
    service.may_answer.clear()
    instances = [start_instance(name, service) for name in "abc"]
    key = new_key()
    with ThreadPoolExecutor(6) as pool:
        calls = [pool.submit(i.book_visit, key) for i in instances * 2]
        wait_until(lambda: sum(service.ran.values()) == 1)
        service.may_answer.set()
        results = [call.result(10) for call in calls]
    assert {r.body for r in results} == {b"booked monday"}
    assert sum(not r.replayed for r in results) == 1
    assert service.ran == {key: 1}


def test_a_retry_with_a_short_deadline_is_refused_as_in_progress(
    start_service, start_instance, new_key, wait_until
):
    service = start_service()
    service.may_answer.clear()
    one, two = start_instance("a", service), start_instance("b", service)
    key = new_key()
    first = threading.Thread(target=one.book_visit, args=(key,))
    first.start()
    wait_until(lambda: service.ran == {key: 1})
    for instance in (one, two):
        refusal = refusal_of(lambda i=instance: i.book_visit(key, deadline_s=0.3))
        assert refusal == (Outcome.UNKNOWN, "in_progress")
    service.may_answer.set()
    first.join(10)
    assert service.ran == {key: 1}


@pytest.mark.parametrize("dispatched", [False, True])
def test_a_booking_claimed_by_a_killed_instance_is_unknown(
    start_service, start_instance, gossip, kinds, new_key, dispatched
):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    key = new_key()
    one.coordinator.claim("kettlecare", key, hash_body(b"monday"), time.monotonic() + 5)
    if dispatched:
        one.caller._dispatcher.run(one.call_of(key), kinds["book"])
    one.vanish(gossip)
    started_s = time.monotonic()
    refusal = refusal_of(lambda: two.book_visit(key, deadline_s=30.0))
    assert refusal == (Outcome.UNKNOWN, "outcome_unknown")
    assert time.monotonic() - started_s < 10
    assert sum(service.ran.values()) == dispatched


def test_a_status_call_resolves_an_unknown_booking_at_all_instances(
    start_service, start_instance, log, new_key, wait_until
):
    service = start_service("cut")
    one, two = start_instance("a", service), start_instance("b", service)
    key = new_key()
    unknown = refusal_of(lambda: one.book_visit(key, kind="traced"))
    assert unknown == (Outcome.UNKNOWN, "target_failed")
    # A service without a stored result proves nothing.
    unknown = refusal_of(lambda: two.book_visit(key, kind="traced"))
    assert unknown[0] is Outcome.UNKNOWN
    service.status_by_key[key] = b"booked monday"
    assert two.book_visit(key, kind="traced").body == b"booked monday"
    wait_until(lambda: any('"done"' in record.data for record in log.records))
    wait_until(lambda: one.coordinator.dump()["next_offset"] == log.next_offset)
    service.status_by_key.clear()
    assert one.book_visit(key, kind="traced").body == b"booked monday"
    assert service.ran == {key: 1}


def test_in_a_log_outage_claims_are_refused_and_tickets_still_run(
    start_service, start_instance, log, new_key
):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    done = new_key()
    one.book_visit(done)
    log.outage(True)
    refusal = refusal_of(lambda: one.book_visit(new_key()))
    assert refusal == (Outcome.NOT_RUN, "log_unavailable")
    assert one.book_visit(done).replayed
    ticket, _ = one.tickets.mint("kettlecare", "visit-desk", "book")
    assert two.book_visit(ticket).outcome is Outcome.DONE
    assert one.book_visit(ticket).replayed
    assert service.ran == {done: 1, ticket: 1}


def test_handed_over_entries_with_any_key_do_not_stall_the_claim_follower(
    start_service, start_instance, log, new_key
):
    instance = start_instance("a", start_service())
    for key in (new_key(), "tk1.forged.ticket", "closed:x@1", ""):
        kept = KeptOutcome("kettlecare", key, Outcome.DONE, 200, "", b"x", "", 0)
        log.append("claims", encode_batch(Batch("x@1", [HandedOver(kept)])), "", 1.0)
    assert instance.book_visit(new_key()).outcome is Outcome.DONE


def test_a_booking_is_unknown_after_the_timeout_of_its_kind(
    start_service, start_instance, new_key
):
    service = start_service()
    service.may_answer.clear()
    instance = start_instance("a", service)
    key = new_key()
    refusal = refusal_of(lambda: instance.book_visit(key, kind="quick"))
    service.may_answer.set()
    assert refusal == (Outcome.UNKNOWN, "target_failed")
    assert [type(o).__name__ for _, o in instance.view.observed] == ["Stalled"]
    assert refusal_of(lambda: instance.book_visit(key))[0] is Outcome.UNKNOWN
    assert service.ran == {key: 1}


def test_a_call_that_crashed_two_targets_is_not_sent_to_a_third(
    start_service, start_instance
):
    services = [start_service(*["cut"] * 9) for _ in range(3)]
    instance = start_instance("a", *services)
    for _ in range(2):
        refusal = refusal_of(lambda: instance.book_visit(None, kind="ask"))
        assert refusal == (Outcome.FAILED, "poison")
    assert [sum(s.ran.values()) for s in services] == [1, 1, 0]


def test_a_booking_refused_as_poison_leaves_its_key_unused(
    start_service, start_instance, new_key
):
    service = start_service()
    instance = start_instance("a", service)
    key, other = new_key(), new_key()
    (ticket, _) = instance.tickets.mint("kettlecare", "visit-desk", "book")
    instance.book_visit(other)
    suspect = call_fingerprint(instance.call_of(key))
    for target_id in ("t8", "t9"):
        instance.poison.record_crash(suspect, target_id)
    for one in (key, ticket):
        refusal = refusal_of(lambda one=one: instance.book_visit(one))
        assert refusal == (Outcome.NOT_RUN, "poison")
    assert instance.book_visit(other).replayed
    instance.poison.record_completion(suspect)
    for one in (key, ticket):
        assert instance.book_visit(one).outcome is Outcome.DONE
    assert service.ran == {other: 1, key: 1, ticket: 1}


@pytest.mark.parametrize("holder_up", [True, False])
def test_in_a_log_outage_an_answer_only_in_the_log_comes_from_its_holder(
    start_service, start_instance, gossip, log, new_key, wait_until, holder_up
):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    key = new_key()
    one.book_visit(key)
    fold = two.coordinator.table._fold
    wait_until(lambda: (held := fold.held("kettlecare", key)) and held.outcome)
    log.outage(True)
    if holder_up:
        assert two.book_visit(key).body == b"booked monday"
        return
    one.vanish(gossip)
    refusal = refusal_of(lambda: two.book_visit(key))
    assert refusal == (Outcome.UNKNOWN, "outcome_unknown")


def book_until_answered(instances, key, rng):
    """Send a booking to random instances until it ends; return all outcomes."""
    outcomes = []
    for _ in range(6):
        try:
            instance = rng.choice(instances)
            result = instance.book_visit(key, body=key.encode(), deadline_s=0.4)
            assert result.outcome is Outcome.FAILED or key.encode() in result.body
            outcomes.append(result.outcome)
        except RequestRefusedError as error:
            outcomes.append(error.outcome)
        if outcomes[-1] in (Outcome.DONE, Outcome.FAILED):
            break
    return outcomes


@pytest.mark.parametrize("seed", range(4))
def test_bookings_run_at_most_once_with_true_outcomes_under_random_faults(
    start_service, start_instance, log, new_key, seed
):
    rng = random.Random(seed)
    answers = ["done"] * 4 + ["cut", "half", "busy", "fail"]
    services = [
        start_service(*(rng.choice(answers) for _ in range(200))) for _ in range(2)
    ]
    unreachable = start_unreachable_service(start_service)
    instances = [start_instance(name, unreachable, *services) for name in "abc"]
    finished = threading.Event()

    def inject_faults():
        while not finished.wait(0.01):
            fault = rng.choice(["", "", "", "refuse", "lose", "late", "vanish", "down"])
            log.outage(fault == "down")
            log.release_delayed()
            if fault not in ("", "down"):
                log.faults.append(fault)

    fault_injector = threading.Thread(target=inject_faults)
    fault_injector.start()
    keys = [new_key() for _ in range(20)]
    keys += [rng.choice(instances).tickets.mint(*BOOK_CALL)[0] for _ in range(20)]
    sends = [(key, random.Random(f"{seed} {n}")) for n, key in enumerate(keys * 2)]
    with ThreadPoolExecutor(16) as pool:
        outcomes_by_send = list(
            pool.map(lambda s: book_until_answered(instances, *s), sends)
        )
    finished.set()
    fault_injector.join(5)
    ran = services[0].ran + services[1].ran
    assert max(ran.values()) == 1
    for key in keys:
        outcomes = {
            outcome
            for (sent_key, _), sent in zip(sends, outcomes_by_send, strict=True)
            for outcome in sent
            if sent_key == key
        }
        assert not {Outcome.DONE, Outcome.FAILED} <= outcomes
        if outcomes & {Outcome.DONE, Outcome.FAILED}:
            assert ran[key] == 1
        if outcomes == {Outcome.NOT_RUN}:
            assert ran[key] == 0
