"""Tests of celeryfork_calls.plain: whole calls through instances that share a log."""

import pytest
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome


def test_a_repeat_at_any_instance_gets_the_first_answer_whole(
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


def test_a_ticket_runs_once_wherever_it_is_sent(start_service, start_instance):
    service = start_service()
    one, two = start_instance("a", service), start_instance("b", service)
    ticket, _ = one.tickets.mint("kettlecare", "visit-desk", "book")
    results = [i.book_visit(ticket) for i in (two, one, two)]
    assert {r.body for r in results} == {b"booked monday"}
    assert service.ran == {ticket: 1}


def test_a_lost_answer_is_unknown_and_never_sent_again(
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
