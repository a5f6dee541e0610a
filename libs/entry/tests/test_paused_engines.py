"""Sound engines and targets that are silent for a while and go on.

A pause is no reason to end an answer (review, case 4).
"""

import asyncio

import pytest
from attrs import evolve
from celeryfork_entry.configuration import AtMostOnce, Idempotent, Stream
from skipping_loop import simulated_time
from stream_trial import ANSWER_EVENTS, BACK, FRONT, Caller, Run, Trial

STREAMS = 30
GAP_S = 0.02
WITHIN_S = 10.0
"""Seconds within which a trial has to end."""
PAUSES_S = [0.3, 0.5, 1.0, 1.6]
"""Up to more than the limit of silence of a path."""


@pytest.fixture
def make_trial():
    """Trials on a simulated clock.

    On a busy machine a pause passed without a check that counted: an instance that is
    late itself doesn't judge engines.
    """
    with simulated_time() as run:

        def make(**options):
            trial = Trial(**options)
            trial.run = lambda work: run(asyncio.wait_for(work, WITHIN_S))
            return trial

        yield make


def serve_during_pause(trial, paused, pause_s, count=STREAMS):
    """Serve streams whose engines are paused in the middle; return their callers."""
    callers = [Caller() for _ in range(count)]

    async def pause():
        await asyncio.sleep(GAP_S * ANSWER_EVENTS / 2)
        for engine in paused:
            engine.awake.clear()
        await asyncio.sleep(pause_s)
        for engine in paused:
            engine.awake.set()

    async def run():
        serving = [
            trial.serve_one(caller, f"r{number}")
            for number, caller in enumerate(callers)
        ]
        await asyncio.gather(pause(), *serving)

    trial.run(run())
    return callers


def steps(count=STREAMS):
    return [Run(gap_s=GAP_S) for _ in range(count)]


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("which", ["front", "back", "both"])
def test_streams_without_another_path_go_on_after_a_pause(make_trial, which, pause_s):
    """All of them were sent again at once, more than the retry budget allowed."""
    trial = make_trial(slack=3.0)
    front = trial.add("front", *steps(), layers=FRONT)
    back = trial.add("back", layers=BACK)
    paused = {"front": [front], "back": [back], "both": [front, back]}[which]
    callers = serve_during_pause(trial, paused, pause_s)
    assert [caller.ending for caller in callers if not caller.has_complete_answer] == []
    assert front.runs == STREAMS, "no stream was sent again"
    assert len(trial.logged("silent_path_kept")) > 0


@pytest.mark.parametrize("pause_s", [0.5, 1.6])
def test_streams_that_the_retry_budget_does_not_allow_to_leave_go_on(
    make_trial, pause_s
):
    """Another domain had room, but the share of retries ended what it didn't cover."""
    trial = make_trial(slack=3.0)
    first = trial.add("first", *steps())
    callers_first = STREAMS
    second = trial.add("second", domain="b")
    trial.table.exclude("second", "not yet", 0.0)
    callers = [Caller() for _ in range(callers_first)]

    async def run():
        serving = [
            asyncio.ensure_future(trial.serve_one(caller, f"r{number}"))
            for number, caller in enumerate(callers)
        ]
        await asyncio.sleep(GAP_S * ANSWER_EVENTS / 2)
        trial.table.succeeded("second")
        first.awake.clear()
        await asyncio.sleep(pause_s)
        first.awake.set()
        await asyncio.gather(*serving)

    trial.run(run())
    assert [caller.ending for caller in callers if not caller.has_complete_answer] == []
    assert 0 < second.runs < STREAMS


def test_a_stream_leaves_a_silent_engine_at_once_if_another_one_has_room(make_trial):
    """Callers count a gap of 0.2 s between events as late."""
    trial = make_trial()
    first = trial.add("first", *steps(1))
    second = trial.add("second", domain="b")
    [caller] = serve_during_pause(trial, [first], 1.0, count=1)
    assert caller.has_complete_answer
    assert second.runs == 1
    assert caller.max_event_gap_s <= 0.3


@pytest.mark.parametrize("pause_s", [0.5, 1.6])
def test_a_stream_that_must_not_be_repeated_goes_on_after_a_pause(make_trial, pause_s):
    """It was broken off as soon as its engine had missed its reports."""
    trial = make_trial()
    trial.route = evolve(trial.route, kind=Stream(False, 0.2))
    first = trial.add("first", *steps(1))
    second = trial.add("second", domain="b")
    [caller] = serve_during_pause(trial, [first], pause_s, count=1)
    assert caller.has_complete_answer
    assert (first.runs, second.runs) == (1, 0)


def test_a_stream_leaves_a_doubted_engine_once_that_has_ended(make_trial):
    """An engine that ends during a pause doesn't always close its streams."""
    trial = make_trial()
    first = trial.add("first", *steps(1))
    trial.add("second", domain="b")
    trial.table.exclude("second", "not yet", 0.0)
    caller = Caller()

    async def run():
        serving = asyncio.ensure_future(trial.serve_one(caller))
        await asyncio.sleep(GAP_S * ANSWER_EVENTS / 2)
        first.awake.clear()
        await asyncio.sleep(0.3)
        first.gone = True
        await trial.checks.ask("first")
        trial.table.succeeded("second")
        await serving

    trial.run(run())
    assert caller.has_complete_answer
    [broke] = trial.logged("path_broke")
    assert broke["reason"].startswith("engine first is down")


@pytest.mark.parametrize("kind", [Idempotent(), AtMostOnce()])
@pytest.mark.parametrize("others", [0, 1])
def test_a_plain_call_is_answered_after_a_pause_of_its_target(make_trial, kind, others):
    """An idempotent call was given up after 0.3 s, also if there was nothing else."""
    trial = make_trial(slack=0.0)
    trial.route = evolve(trial.route, kind=kind)
    desk = trial.add("desk")
    for number in range(others):
        other = trial.add(f"other-{number}", domain="b")
        trial.table.exclude(other.target.id, "not yet", 0.0)
    caller = Caller()

    async def run():
        desk.awake.clear()
        request = trial.request("r1", 20.0)
        handling = asyncio.ensure_future(trial.dispatcher().handle(caller, request))
        await asyncio.sleep(0.1)
        for number in range(others):
            trial.table.succeeded(f"other-{number}")
        await asyncio.sleep(0.9)
        desk.awake.set()
        await handling

    trial.run(run())
    assert (caller.status, caller.ending) == (200, "whole")


def test_streams_that_find_no_other_path_do_not_keep_the_others_from_searching(
    make_trial,
):
    """After a search in vain no stream searched for 5 ms, at each of their turns."""
    trial = make_trial(max_targets=1)
    first = trial.add("first", *steps())
    trial.add("second", domain="b")
    bound = [Caller() for _ in range(20)]
    free = [Caller() for _ in range(5)]

    def serve(callers, name):
        return [
            asyncio.ensure_future(trial.serve_one(caller, f"{name}-{number}"))
            for number, caller in enumerate(callers)
        ]

    async def run():
        serving = serve(bound, "bound")
        await asyncio.sleep(0)
        trial.route = evolve(trial.route, max_targets=2)
        serving += serve(free, "free")
        await asyncio.sleep(GAP_S * ANSWER_EVENTS / 2)
        first.awake.clear()
        await asyncio.sleep(1.0)
        first.awake.set()
        await asyncio.gather(*serving)

    trial.run(run())
    assert all(caller.has_complete_answer for caller in [*bound, *free])
    assert max(caller.max_event_gap_s for caller in free) <= 0.5
