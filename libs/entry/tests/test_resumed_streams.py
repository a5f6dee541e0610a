"""Streams of which the caller has the first events from an earlier attempt."""

from attrs import evolve
from celeryfork_entry.configuration import Stream
from stream_trial import ANSWER_EVENTS, Caller, Trial


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
