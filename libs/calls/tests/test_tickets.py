"""Tests of celeryfork_calls.tickets through instances with real peer servers."""

import threading

import pytest
from attrs import evolve
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError, RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.tickets import make_ticket_manager
from celeryfork_wire.gen.celeryfork.ttypes import InstanceState

BOOK_CALL = ("kettlecare", "visit-desk", "book")


def refusal_of(call):
    with pytest.raises(RequestRefusedError) as refusal:
        call()
    return refusal.value.outcome, refusal.value.code


def mint(instance):
    return instance.tickets.mint(*BOOK_CALL)[0]


def test_forged_misused_and_expired_tickets_are_refused(start_service, start_instance):
    service = start_service()
    one = start_instance("a", service)
    ticket = mint(one)
    forged = ticket[:-2] + ("aa" if ticket[-2:] != "aa" else "bb")
    malformed = (Outcome.NOT_RUN, "key_malformed")
    assert refusal_of(lambda: one.book_visit(forged)) == malformed
    assert refusal_of(lambda: one.book_visit(ticket, kind="firm")) == malformed
    one.tickets._lifetime_s = -1.0
    expired = mint(one)
    assert refusal_of(lambda: one.book_visit(expired)) == (
        Outcome.NOT_RUN,
        "key_expired",
    )
    assert not service.ran


def test_a_used_ticket_with_another_body_is_refused(start_service, start_instance):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    ticket = mint(one)
    one.book_visit(ticket)
    for instance in (one, two):
        refusal = refusal_of(lambda i=instance: i.book_visit(ticket, body=b"tuesday"))
        assert refusal == (Outcome.NOT_RUN, "key_reused")
    assert service.ran == {ticket: 1}


def test_concurrent_sends_of_a_ticket_run_it_once(
    start_service, start_instance, wait_until
):
    service = start_service()
    service.may_answer.clear()
    instances = [start_instance(name, service) for name in "abc"]
    ticket = mint(instances[0])
    results = []
    threads = [
        threading.Thread(target=lambda i=i: results.append(i.book_visit(ticket)))
        for i in instances * 2
    ]
    for thread in threads:
        thread.start()
    wait_until(lambda: sum(service.ran.values()) == 1)
    service.may_answer.set()
    for thread in threads:
        thread.join(10)
    assert [r.body for r in results] == [b"booked monday"] * 6
    assert service.ran == {ticket: 1}


def test_a_ticket_with_unknown_outcome_is_never_sent_again(
    start_service, start_instance
):
    service = start_service("cut")
    one, two = start_instance("a", service), start_instance("b", service)
    ticket = mint(one)
    for instance in (two, one, two):
        outcome, _ = refusal_of(lambda i=instance: i.book_visit(ticket))
        assert outcome is Outcome.UNKNOWN
    assert service.ran == {ticket: 1}


def test_a_status_call_resolves_the_unknown_outcome_of_a_ticket(
    start_service, start_instance
):
    service = start_service("cut")
    one, two = start_instance("a", service), start_instance("b", service)
    ticket, _ = one.tickets.mint("kettlecare", "visit-desk", "traced")
    refusal_of(lambda: one.book_visit(ticket, kind="traced"))
    service.status_by_key[ticket] = b"booked monday"
    assert two.book_visit(ticket, kind="traced").body == b"booked monday"
    service.status_by_key.clear()
    assert one.book_visit(ticket, kind="traced").replayed


def test_tickets_of_a_killed_owner_are_unknown_begun_or_not(
    start_service, start_instance, gossip
):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    begun, unused = mint(one), mint(one)
    one.book_visit(begun)
    one.vanish(gossip)
    for ticket in (begun, unused):
        refusal = refusal_of(lambda t=ticket: two.book_visit(t))
        assert refusal == (Outcome.UNKNOWN, "outcome_unknown")
    assert service.ran == {begun: 1}


def test_a_restarted_owner_does_not_run_tickets_of_its_previous_run(
    start_service, start_instance, gossip
):
    service = start_service()
    one = start_instance("a", service)
    ticket = mint(one)
    one.vanish(gossip)
    restarted = start_instance("a", service)
    assert refusal_of(lambda: restarted.book_visit(ticket))[0] is Outcome.UNKNOWN
    assert not service.ran


def test_a_ticket_that_a_paused_owner_runs_late_runs_once(
    start_service, start_instance, gossip
):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    ticket = mint(one)
    gossip.peers_by_instance.pop("a")  # paused, and considered gone by its peers
    assert refusal_of(lambda: two.book_visit(ticket))[0] is Outcome.UNKNOWN
    assert one.book_visit(ticket).outcome is Outcome.DONE
    gossip.peers_by_instance["a"] = one.identity
    assert two.book_visit(ticket).replayed
    assert service.ran == {ticket: 1}


@pytest.mark.parametrize("log_up", [True, False])
def test_peers_answer_for_tickets_of_an_owner_after_its_planned_stop(
    start_service, start_instance, gossip, log, wait_until, log_up
):
    service = start_service()
    one, two, other_domain = (
        start_instance("a", service),
        start_instance("b", service),
        start_instance("c", service, domain="westlands"),
    )
    begun, unused = mint(one), mint(one)
    one.book_visit(begun)
    log.outage(not log_up)
    append_to_log = one.coordinator.append_handed_over_outcomes if log_up else None
    report = one.tickets.hand_over(1.0, append_to_log=append_to_log)
    assert report.peers == ["b", "c"]
    # The owner still answers calls until its last connection closes.
    never_begun = (Outcome.NOT_RUN, "key_expired")
    assert one.book_visit(begun).replayed
    assert refusal_of(lambda: two.book_visit(unused)) == never_begun
    assert one.coordinator.stop().unflushed == []
    one.vanish(gossip)
    for instance in (two, other_domain):
        assert instance.book_visit(begun).body == b"booked monday"
        assert refusal_of(lambda i=instance: i.book_visit(unused)) == never_begun
    assert service.ran == {begun: 1}


def test_outcomes_survive_the_replacement_of_every_instance(
    start_service, start_instance, gossip, log
):
    service = start_service()
    old = [start_instance(name, service) for name in "abc"]
    begun, unused = mint(old[0]), mint(old[0])
    old[0].book_visit(begun)
    log.outage(True)
    for number, instance in enumerate(old):
        start_instance(f"new{number}", service)
        report = instance.tickets.hand_over(0.1)
        assert report.peers
        instance.vanish(gossip)
    last = start_instance("last", service)
    assert last.book_visit(begun).body == b"booked monday"
    assert refusal_of(lambda: last.book_visit(unused)) == (
        Outcome.NOT_RUN,
        "key_expired",
    )
    assert service.ran == {begun: 1}


def test_outcomes_are_not_handed_over_to_a_stopping_peer(
    start_service, start_instance, gossip
):
    one, _ = start_instance("a"), start_instance("b")
    stopping = evolve(gossip.peers_by_instance["b"], state=InstanceState.DRAINING)
    gossip.peers_by_instance["b"] = stopping
    assert one.tickets.hand_over(0.1).peers == []


def test_a_call_still_running_at_the_hand_over_is_unknown(
    start_service, start_instance, gossip, wait_until
):
    service = start_service()
    service.may_answer.clear()
    one, two = start_instance("a", service), start_instance("b", service)
    ticket = mint(one)
    running = threading.Thread(target=one.book_visit, args=(ticket,))
    running.start()
    wait_until(lambda: one.tickets.running_count == 1)
    one.tickets.hand_over(0.05)
    one.vanish(gossip)
    assert refusal_of(lambda: two.book_visit(ticket))[0] is Outcome.UNKNOWN
    service.may_answer.set()
    running.join(10)


def test_outcomes_of_claims_that_are_not_in_the_log_are_handed_over_to_peers(
    start_service, start_instance, gossip, log, new_key, wait_until
):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    key = new_key()
    service.may_answer.clear()
    booking = threading.Thread(target=one.book_visit, args=(key,))
    booking.start()
    wait_until(lambda: service.ran == {key: 1})
    wait_until(lambda: two.coordinator.dump()["keys_held"] == 1)
    log.outage(True)
    service.may_answer.set()
    booking.join(10)
    one.tickets.hand_over(1.0, one.coordinator.stop().unflushed)
    one.vanish(gossip)
    assert two.book_visit(key).body == b"booked monday"
    log.outage(False)
    wait_until(lambda: any('"done"' in record.data for record in log.records))


def test_begun_tickets_and_stored_answers_are_limited(start_instance, monkeypatch):
    monkeypatch.setattr("celeryfork_calls.begun_tickets.MAX_BEGUN_TICKETS", 2)
    monkeypatch.setattr("celeryfork_calls.begun_tickets.MAX_KEPT_ANSWER_BYTES", 10)
    clock = ManualClock()
    identity = start_instance("a").identity
    manager = make_ticket_manager(identity, b"s" * 16, None, None, clock, Counters())

    def run(body):
        text, ticket = manager.mint(*BOOK_CALL)
        begun = manager.begin(ticket, text, "ab")
        kept = manager._begun._outcome_of(begun)
        manager.finish(begun, evolve(kept, outcome=Outcome.DONE, body=body))
        return ticket, text

    first = run(b"x" * 8)
    run(b"x" * 8)
    dropped = refusal_of(lambda: manager.begin(*first, "ab"))
    assert dropped == (Outcome.DONE, "answer_not_kept")
    assert refusal_of(lambda: run(b"")) == (Outcome.NOT_RUN, "overloaded")
    clock.advance(1300)  # the lifetime and the retention are 600 s each
    run(b"")


def test_a_short_ticket_secret_is_refused():
    with pytest.raises(CeleryforkError, match="ticket_secret"):
        make_ticket_manager(None, b"short", None, None, ManualClock(), Counters())
