"""Plain calls whose targets fail or refuse them, without a network."""

import asyncio
import time

import pytest
from attrs import evolve
from celeryfork_base.errors import RequestRefusedError
from celeryfork_entry.configuration import AtMostOnce, Idempotent
from celeryfork_entry.plain_calls import MAX_SENDS, RETRY_WINDOW_S, PlainCalls
from stream_trial import Caller, LoseReply, Refuse, ReplyWithError, Run, Trial

LEFT_S = 1.5


def serve(trial, kind=None, left_s=LEFT_S):
    trial.route = evolve(trial.route, kind=kind or Idempotent())
    caller = Caller()
    call = trial.call(caller, "r1", left_s)
    asyncio.run(
        asyncio.wait_for(PlainCalls(trial.context, trial.guard).serve(call), 5.0)
    )
    return caller


def arrivals(trial):
    return sum(engine.arrivals for engine in trial.engines.values())


def test_a_call_that_may_have_run_is_retried_while_its_caller_waits():
    """Issue 21: a reply was lost while all other targets were full."""
    trial = Trial()
    trial.add("desk-1", LoseReply())
    trial.add("desk-2", *[Refuse("desk-2")] * 3, domain="b")
    trial.add("desk-3", *[Refuse("desk-3")] * 3, domain="b")
    assert serve(trial).status == 200
    assert trial.engine("desk-1").arrivals == 1


def test_a_target_that_answers_that_it_leaves_gets_no_further_calls():
    """It was chosen until the list showed it, at any age of the list (DRAIN)."""
    trial = Trial()
    trial.add("desk-1").leaving = True
    trial.add("desk-2", domain="b")
    for _ in range(4):
        assert serve(trial).status == 200
    assert trial.engine("desk-1").arrivals == 1
    assert trial.logged("engine_leaves") == [{"engine": "desk-1", "answered": True}]


def test_a_call_that_may_have_run_fails_at_its_deadline():
    trial = Trial()
    trial.add("desk-1", LoseReply())
    trial.add("desk-2", *[Refuse("desk-2")] * 99, domain="b")
    with pytest.raises(RequestRefusedError) as failure:
        serve(trial, left_s=0.5)
    assert failure.value.status == 504
    assert arrivals(trial) < 10, "pauses separate the sends after refusals"


def test_a_call_whose_reply_is_lost_leaves_its_caller_time_to_retry():
    trial = Trial()
    trial.add("desk-1", LoseReply())
    trial.add("desk-2", *[Refuse("desk-2")] * 99, domain="b")
    begun_s = time.monotonic()
    with pytest.raises(RequestRefusedError) as failure:
        serve(trial, left_s=3.0)
    assert failure.value.status == 502
    assert RETRY_WINDOW_S <= time.monotonic() - begun_s < RETRY_WINDOW_S + 0.4


@pytest.mark.parametrize("slack", [0.0, 100.0], ids=["no retry budget", "targets full"])
def test_an_error_reply_is_forwarded_if_no_other_target_replies(slack):
    trial = Trial(slack=slack)
    trial.add("desk-1", ReplyWithError())
    trial.add("desk-2", *[Refuse("desk-2")] * 99, domain="b")
    begun_s = time.monotonic()
    assert serve(trial, left_s=3.0).status == 500
    assert time.monotonic() - begun_s < 0.3


def test_a_call_that_was_not_run_is_refused_after_a_few_refusals():
    trial = Trial()
    for number in range(MAX_SENDS + 2):
        trial.add(f"desk-{number}", *[Refuse(f"desk-{number}")] * 99)
    with pytest.raises(RequestRefusedError) as refusal:
        serve(trial)
    assert refusal.value.status == 503
    assert arrivals(trial) == MAX_SENDS


def test_an_at_most_once_call_is_not_sent_again_after_its_reply_is_lost():
    trial = Trial()
    trial.add("desk-1", LoseReply())
    trial.add("desk-2", Run(), domain="b")
    with pytest.raises(RequestRefusedError) as failure:
        serve(trial, AtMostOnce())
    assert failure.value.status == 502
    assert arrivals(trial) == 1


def test_a_call_runs_on_no_more_targets_than_its_route_allows():
    trial = Trial(max_targets=2)
    for number in range(4):
        trial.add(f"desk-{number}", LoseReply())
    with pytest.raises(RequestRefusedError):
        serve(trial)
    assert arrivals(trial) == 2
