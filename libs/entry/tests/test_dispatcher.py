"""Ends of requests as the dispatcher logs and answers them, without a network."""

import asyncio

import pytest
from attrs import evolve
from celeryfork_entry.configuration import Idempotent
from stream_trial import BACK, FRONT, Caller, Run, Stall, Trial


def serve_until_left(trial, left_after_s):
    """Serve one request whose caller leaves, and return its last line."""

    async def run():
        request = trial.request("r1", 20.0)
        handling = asyncio.ensure_future(trial.dispatcher().handle(Caller(), request))
        await asyncio.sleep(left_after_s)
        handling.cancel()
        with pytest.raises(asyncio.CancelledError):
            await handling

    trial.run(run())
    [line] = trial.logged("caller_left")
    return line


def test_log_of_a_caller_that_left_names_the_missing_path_of_its_begun_answer():
    """Lost answers couldn't be told from callers that had lost interest (issue 27)."""
    trial = Trial()
    trial.add("front", Run(3, lost=("back",)), layers=FRONT)
    trial.add("back", layers=BACK)
    line = serve_until_left(trial, 0.6)
    assert line["begun"] and line["last"] == 3
    assert line["waiting_for"] == "path"
    assert 300 < line["silent_ms"] <= 650
    assert 19_000 < line["left_ms"] < 20_000
    assert (line["id"], line["sends"]) == ("r1", 1)
    assert trial.counters.count("requests.caller_left") == 1
    assert trial.counters.count("streams.left_begun.path") == 1
    [no_path] = trial.logged("no_path")
    assert no_path["missing_layer"] == BACK[0]


def test_log_of_a_caller_that_left_names_the_retry_budget():
    trial = Trial(slack=0.0)
    trial.add("first", Run(3, lost=("first",)))
    trial.add("second", domain="b")
    line = serve_until_left(trial, 0.6)
    assert line["begun"] and line["waiting_for"] == "retry_budget"


def test_log_of_a_caller_that_left_before_its_first_event_names_the_engine():
    trial = Trial()
    trial.add("first", Run(0, after_s=9.0))
    line = serve_until_left(trial, 0.3)
    assert not line["begun"] and line["last"] is None
    assert line["waiting_for"] == "engine"
    assert trial.counters.count("streams.left_begun.engine") == 0


def test_log_of_a_caller_of_a_plain_service_that_left_names_the_target():
    trial = Trial()
    trial.route = evolve(trial.route, kind=Idempotent())
    trial.add("desk", Stall())
    assert serve_until_left(trial, 0.1)["waiting_for"] == "target"


def test_an_unexpected_error_is_answered_and_logged():
    """The connection was closed without an answer, and the log had no end event."""
    trial = Trial()
    trial.add("first")

    def fail(request, options):
        raise KeyError("a service that is gone")

    trial.build_target_request = fail
    caller = Caller()
    trial.run(trial.dispatcher().handle(caller, trial.request("r1", 20.0)))
    assert (caller.status, caller.ending) == (502, "whole")
    [line] = trial.logged("failed")
    assert line["id"] == "r1" and line["status"] == 502
    assert "a service that is gone" in line["error"]
    assert "test_dispatcher.py" in line["where"]
    assert trial.counters.count("requests.failed") == 1


def test_an_unexpected_error_after_the_start_of_an_answer_aborts_it():
    """An answer that ends early must not look complete."""
    trial = Trial()
    trial.add("first", Run(3, after_s=9.0))
    caller = Caller()
    send_chunk = caller.send_chunk

    async def fail(data):
        await send_chunk(data)
        if caller.events[-1] == 2:
            raise RuntimeError("a fault")

    caller.send_chunk = fail
    trial.run(trial.dispatcher().handle(caller, trial.request("r1", 20.0)))
    assert caller.ending == "broken off"
    assert len(trial.logged("failed")) == 1


def test_a_service_that_the_configuration_lacks_is_answered():
    """A route to it closed the connection of each of its callers."""
    trial = Trial()
    trial.route = evolve(trial.route, weight_by_service=(("renamed", 1.0),))
    caller = Caller()
    trial.run(trial.dispatcher().handle(caller, trial.request("r1", 20.0)))
    assert (caller.status, caller.ending) == (500, "whole")
