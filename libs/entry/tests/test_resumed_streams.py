"""Streams of which the caller has the first events from an earlier attempt."""

import pytest
from attrs import evolve
from celeryfork_entry.configuration import Stream
from stream_trial import ANSWER_EVENTS, Caller, Run, Trial

pytestmark = pytest.mark.usefixtures("each_service")


def serve_after(last_event, resumable=True):
    """Serve a stream whose caller names the last event that it has."""
    trial = Trial()
    trial.last_event = last_event
    trial.route = evolve(trial.route, kind=Stream(resumable, 0.2))
    trial.add("first")
    return trial.serve(Caller())


def test_a_resumed_stream_goes_on_after_the_last_event_of_its_caller():
    assert serve_after(5).events == list(range(6, ANSWER_EVENTS + 1))


def test_a_stream_that_may_not_be_resumed_is_answered_whole():
    """A new run is another answer: its events don't follow those of the first one."""
    caller = serve_after(5, resumable=False)
    assert caller.has_complete_answer


def test_a_stream_that_is_resumed_after_its_last_event_ends_at_once():
    """Six engines ran it, and its caller got 502 though it had the whole answer.

    The connection of such a caller broke between the last event and the end.
    """
    trial = Trial()
    trial.last_event = ANSWER_EVENTS
    first = trial.add("first")
    caller = trial.serve(Caller())
    assert (caller.status, caller.events, caller.ending) == (200, [], "whole")
    assert first.runs == 1


def test_a_stream_that_ends_before_its_first_event_is_run_again():
    """A caller that has no event can't have the whole answer."""
    trial = Trial()
    trial.add("first", Run(0))
    trial.add("second", domain="b")
    assert trial.serve(Caller()).has_complete_answer


def test_events_that_the_caller_has_are_left_out_if_a_target_begins_anew():
    """A target that ignores the last event would give its caller events twice."""
    trial = Trial()
    trial.last_event = 5
    trial.add("first")
    build = trial.build_target_request

    def forget(request, options):
        built = build(request, options)
        built.after_event = None
        return built

    trial.build_target_request = forget
    assert trial.serve(Caller()).events == list(range(6, ANSWER_EVENTS + 1))
