"""Calls during a planned stop of their instance."""

import asyncio
import time

import pytest
from attrs import evolve
from celeryfork_entry.configuration import AtMostOnce, Idempotent, Stream
from celeryfork_entry.instance import LAST_ANSWERS_S
from stream_trial import ANSWER_EVENTS, Caller, Run, Trial

pytestmark = pytest.mark.usefixtures("each_service")

KINDS = [AtMostOnce(), Idempotent(), Stream(True, 0.2), Stream(False, 0.2)]
LEFT_S = 20.0
LATE_S = 0.5


def serve_during_stop(trial, begin_stop, *, stop_after_s=0.0, left_s=LEFT_S):
    """Serve one call; return its caller and how long it took in seconds."""
    caller = Caller()

    async def run():
        begun_s = time.monotonic()
        loop = asyncio.get_running_loop()
        loop.call_later(stop_after_s, begin_stop, trial.context.stop)
        await asyncio.sleep(0 if stop_after_s else 0.01)
        request = trial.request("r1", left_s)
        await trial.dispatcher().handle(caller, request)
        return time.monotonic() - begun_s

    return caller, trial.run(run())


def end_in(seconds, *, drained):
    def begin(stop):
        stop.answers_end_s, stop.drained = time.monotonic() + seconds, drained
        stop.streams_end_s = stop.answers_end_s + LAST_ANSWERS_S

    return begin


@pytest.mark.parametrize("kind", KINDS)
def test_a_call_that_comes_late_in_a_stop_is_refused(kind):
    """It was passed on, and cut without an answer when the process ended.

    It came on a connection whose answer had begun before the stop.
    """
    trial = Trial()
    trial.route = evolve(trial.route, kind=kind)
    engine = trial.add("engine")
    caller, _ = serve_during_stop(trial, end_in(2.0, drained=True))
    assert (caller.status, caller.ending) == (503, "whole")
    assert engine.arrivals == 0


def test_a_call_whose_time_ends_before_the_stop_is_served():
    trial = Trial()
    trial.route = evolve(trial.route, kind=AtMostOnce())
    trial.add("engine")
    begin = end_in(2.0, drained=True)
    caller, _ = serve_during_stop(trial, begin, left_s=1.0)
    assert (caller.status, caller.ending) == (200, "whole")


@pytest.mark.parametrize("kind", KINDS)
def test_a_call_in_progress_at_the_end_of_a_stop_is_answered(kind):
    """Its connection was closed without an answer when the process ended."""
    trial = Trial()
    trial.route = evolve(trial.route, kind=kind)
    engine = trial.add("engine")
    engine.awake.clear()
    begin = end_in(1.0, drained=False)
    caller, lasted_s = serve_during_stop(trial, begin, stop_after_s=0.5)
    assert (caller.status, caller.ending) == (504, "whole")
    assert lasted_s <= 1.5 + LATE_S


def test_a_begun_stream_goes_on_until_the_end_of_a_stop():
    """It was cut when calls without an answer were told so, at its last event."""
    trial = Trial()
    gap_s = 1.2 / (ANSWER_EVENTS - 1)
    trial.add("engine", Run(gap_s=gap_s))
    caller, lasted_s = serve_during_stop(trial, end_in(1.0, drained=False))
    assert caller.has_complete_answer
    assert lasted_s > 1.0
