"""Tests of celeryfork_calls.tickets, through instances with real peer servers."""

import threading

import pytest
from attrs import evolve
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError, RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.tickets import make_ticket_manager
from celeryfork_wire.gen.celeryfork.ttypes import InstanceState

BOUND_TO = ("kettlecare", "visit-desk", "book")


def refused(call):
    with pytest.raises(RequestRefusedError) as refusal:
        call()
    return refusal.value.outcome, refusal.value.code


def mint(instance):
    return instance.tickets.mint(*BOUND_TO)[0]


def test_forged_misused_and_expired_tickets_are_refused(start_service, start_instance):
    service = start_service()
    one = start_instance("a", service)
    ticket = mint(one)
    forged = ticket[:-2] + ("aa" if ticket[-2:] != "aa" else "bb")
    malformed = (Outcome.NOT_RUN, "key_malformed")
    assert refused(lambda: one.book_visit(forged)) == malformed
    assert refused(lambda: one.book_visit(ticket, kind="firm")) == malformed
    one.tickets._lifetime_s = -1.0
    expired = mint(one)
    assert refused(lambda: one.book_visit(expired)) == (Outcome.NOT_RUN, "key_expired")
    assert not service.ran


def test_another_body_under_a_used_ticket_does_not_run(start_service, start_instance):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    ticket = mint(one)
    one.book_visit(ticket)
    for instance in (one, two):
        refusal = refused(lambda i=instance: i.book_visit(ticket, body=b"tuesday"))
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


def test_an_unknown_outcome_under_a_ticket_stays_so(start_service, start_instance):
    service = start_service("cut")
    one, two = start_instance("a", service), start_instance("b", service)
    ticket = mint(one)
    for instance in (two, one, two):
        outcome, _ = refused(lambda i=instance: i.book_visit(ticket))
        assert outcome is Outcome.UNKNOWN
    assert service.ran == {ticket: 1}


def test_a_status_call_settles_a_ticket(start_service, start_instance):
    service = start_service("cut")
    one, two = start_instance("a", service), start_instance("b", service)
    ticket, _ = one.tickets.mint("kettlecare", "visit-desk", "traced")
    refused(lambda: one.book_visit(ticket, kind="traced"))
    service.status_by_key[ticket] = b"booked monday"
    assert two.book_visit(ticket, kind="traced").body == b"booked monday"
    service.status_by_key.clear()
    assert one.book_visit(ticket, kind="traced").replayed


def test_with_the_owner_killed_a_ticket_is_unknown_begun_or_not(
    start_service, start_instance, gossip
):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    begun, open_ = mint(one), mint(one)
    one.book_visit(begun)
    one.vanish(gossip)
    for ticket in (begun, open_):
        refusal = refused(lambda t=ticket: two.book_visit(t))
        assert refusal == (Outcome.UNKNOWN, "outcome_unknown")
    assert service.ran == {begun: 1}


def test_a_new_run_of_the_owner_does_not_run_its_old_tickets(
    start_service, start_instance, gossip
):
    service = start_service()
    one = start_instance("a", service)
    ticket = mint(one)
    one.vanish(gossip)
    again = start_instance("a", service)
    assert refused(lambda: again.book_visit(ticket))[0] is Outcome.UNKNOWN
    assert not service.ran


def test_a_paused_owner_that_ran_late_is_never_doubled(
    start_service, start_instance, gossip
):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    ticket = mint(one)
    gossip.peers_by_instance.pop("a")  # it stands still and is taken for gone
    assert refused(lambda: two.book_visit(ticket))[0] is Outcome.UNKNOWN
    assert one.book_visit(ticket).outcome is Outcome.DONE
    gossip.peers_by_instance["a"] = one.identity
    assert two.book_visit(ticket).replayed
    assert service.ran == {ticket: 1}


@pytest.mark.parametrize("log_up", [True, False])
def test_after_a_planned_stop_peers_answer_for_the_owner(
    start_service, start_instance, gossip, log, wait_until, log_up
):
    service = start_service()
    one, two, far = (
        start_instance("a", service),
        start_instance("b", service),
        start_instance("c", service, domain="westlands"),
    )
    begun, open_ = mint(one), mint(one)
    one.book_visit(begun)
    log.outage(not log_up)
    append_to_log = one.coordinator.append_handed_over_outcomes if log_up else None
    report = one.tickets.hand_over(1.0, append_to_log=append_to_log)
    assert report.peers == ["b", "c"]
    # Until its last connection closes, the owner answers itself.
    void = (Outcome.NOT_RUN, "key_expired")
    assert one.book_visit(begun).replayed
    assert refused(lambda: two.book_visit(open_)) == void
    assert one.coordinator.stop().unflushed == []
    one.vanish(gossip)
    for instance in (two, far):
        assert instance.book_visit(begun).body == b"booked monday"
        assert refused(lambda i=instance: i.book_visit(open_)) == void
    assert service.ran == {begun: 1}


def test_outcomes_outlive_the_replacement_of_every_instance(
    start_service, start_instance, gossip, log
):
    service = start_service()
    old = [start_instance(name, service) for name in "abc"]
    begun, open_ = mint(old[0]), mint(old[0])
    old[0].book_visit(begun)
    log.outage(True)
    for number, instance in enumerate(old):
        start_instance(f"new{number}", service)
        report = instance.tickets.hand_over(0.1)
        assert report.peers
        instance.vanish(gossip)
    last = start_instance("last", service)
    assert last.book_visit(begun).body == b"booked monday"
    assert refused(lambda: last.book_visit(open_)) == (Outcome.NOT_RUN, "key_expired")
    assert service.ran == {begun: 1}


def test_nothing_is_handed_to_a_peer_that_stops_itself(
    start_service, start_instance, gossip
):
    one, _ = start_instance("a"), start_instance("b")
    stopping = evolve(gossip.peers_by_instance["b"], state=InstanceState.DRAINING)
    gossip.peers_by_instance["b"] = stopping
    assert one.tickets.hand_over(0.1).peers == []


def test_what_runs_on_past_the_hand_over_is_unknown(
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
    assert refused(lambda: two.book_visit(ticket))[0] is Outcome.UNKNOWN
    service.may_answer.set()
    running.join(10)


def test_claims_that_could_not_be_logged_are_handed_to_peers(
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


def test_begun_tickets_and_their_answers_are_bounded(start_instance, monkeypatch):
    monkeypatch.setattr("celeryfork_calls.begun_tickets.MAX_BEGUN_TICKETS", 2)
    monkeypatch.setattr("celeryfork_calls.begun_tickets.MAX_KEPT_ANSWER_BYTES", 10)
    clock = ManualClock()
    identity = start_instance("a").identity
    office = make_ticket_manager(identity, b"s" * 16, None, None, clock, Counters())

    def run(body):
        text, ticket = office.mint(*BOUND_TO)
        begun = office.begin(ticket, text, "ab")
        kept = office._begun._outcome_of(begun)
        office.finish(begun, evolve(kept, outcome=Outcome.DONE, body=body))
        return ticket, text

    first = run(b"x" * 8)
    run(b"x" * 8)
    dropped = refused(lambda: office.begin(*first, "ab"))
    assert dropped == (Outcome.DONE, "answer_not_kept")
    assert refused(lambda: run(b"")) == (Outcome.NOT_RUN, "overloaded")
    clock.advance(1300)
    run(b"")


def test_a_short_secret_is_refused():
    with pytest.raises(CeleryforkError, match="ticket_secret"):
        make_ticket_manager(None, b"short", None, None, ManualClock(), Counters())
