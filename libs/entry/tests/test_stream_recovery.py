"""Begun answers whose paths fail them: how they go on, and what is said of their end.

The pattern is that of issue 21: on wanjiru-descale-grown engines are lost one after the
other within half a second, and a stream loses path after path.
"""

import asyncio

import pytest
from attrs import evolve
from celeryfork_base.errors import RequestRefusedError
from celeryfork_entry.first_engines import MAX_LOST_ENGINES
from celeryfork_entry.refusal_backoff import refusal_backoff_s
from celeryfork_entry.stream_limits import MAX_FAILURES, MAX_SENDS, RESUME_WAIT_S
from celeryfork_entry.targets import Listed
from stream_trial import Caller, End, Fail, Fleet, Refuse, Run, Trial

BACK = (4, 8)
FRONT = (0, 4)


def lose_paths(**bounds):
    """Return a trial of the record: two engines behind the first, then a first one."""
    trial = Trial(**bounds)
    trial.add("front", Run(3, lost=("back-1",)), Run(3, lost=("back-2",)), layers=FRONT)
    trial.add("back-1", layers=BACK)
    trial.add("back-2", layers=BACK)
    trial.add("whole", End(), domain="b")
    return trial


def test_the_end_of_a_begun_answer_tells_what_ended_it():
    """The operators' logs told the last event only, for any of several causes."""
    trial = lose_paths(slack=1.2)
    assert trial.serve().ending == "broken off"
    [line] = trial.logged("broken_off")
    assert line["ended_by"] == "retry_budget"
    assert line["sends"] == 2 and line["last"] == 6
    assert line["begun_on"] == ("front",)
    assert (line["repeats"], line["repeats_allowed"], line["requests"]) == (1, 1, 1)
    assert 17_000 < line["left_ms"] <= 18_000, "it has waited for a repeat"
    [refused] = trial.logged("repeat_refused")
    assert refused["repeats"] == refused["repeats_allowed"] == 1
    assert trial.counters.count("streams.broken_off.retry_budget") == 1


def test_a_begun_answer_is_not_ended_by_engines_that_it_never_reached():
    """Issue 21: sends to engines that are gone used up what a stream may send."""
    trial = Trial(max_targets=9)
    trial.add("first", Run(3, lost=("first",)))
    for number in range(6):
        trial.add(f"gone-{number}").gone = True
    trial.add("last", domain="b")
    caller = trial.serve()
    assert caller.has_all
    assert trial.share.state(0.0, 1).retries == 1


def test_a_begun_answer_waits_out_refusals_for_want_of_memory():
    """Issue 21's play, seed 1: four refusals in 13 ms ended it, 19.5 s were left."""
    trial = Trial(max_targets=1)
    refusals = [Refuse(f"back-{n}") for n in range(6)]
    trial.add("front", Run(3, lost=("back-6",)), *refusals, layers=FRONT)
    for number in range(7):
        trial.add(f"back-{number}", layers=BACK)
    caller = trial.serve()
    assert caller.has_all


def test_a_begun_answer_goes_on_after_both_of_its_first_engines_failed_it():
    """Issue 21: both that its route allows had failed it; the first one still lived."""
    trial = Trial()
    trial.add("first", Run(3))
    trial.add("second", Run(3))
    caller = trial.serve()
    assert caller.has_all
    assert trial.engine("first").runs + trial.engine("second").runs == 3


def test_a_first_engine_that_ended_unused_leaves_the_begun_answer_another():
    """Issue 21: an engine that was gone before it ran the stream counted as begun."""
    trial = Trial(max_targets=1)
    trial.add("gone", End())
    trial.add("first", domain="b")
    caller = trial.serve()
    assert caller.has_all


def test_a_first_engine_is_kept_when_one_behind_it_is_lost_between_two_events():
    """Issue 21: it was left out, as the engine behind it had just made progress."""
    trial = Trial(max_targets=1)
    trial.add("front", Run(3, lost=("back-1",), after_s=0.01), layers=FRONT)
    trial.add("back-1", layers=BACK)
    trial.add("back-2", layers=BACK)
    caller = trial.serve()
    assert caller.has_all


def test_a_stream_that_fails_six_times_since_its_last_event_is_ended():
    trial = Trial(max_targets=9)
    for number in range(9):
        trial.add(f"engine-{number}", Run(1 if number == 0 else 0))
    caller = trial.serve()
    assert caller.ending == "broken off"
    assert caller.events == [1]
    assert sum(engine.runs for engine in trial.engines.values()) == MAX_FAILURES
    [line] = trial.logged("broken_off")
    assert line["ended_by"] == "runs"


def test_a_begun_answer_outlives_engines_that_break_off_answers_and_live():
    """Entry soak, seed 6: six runs of three events each ended it after 0.7 s.

    Its route allows two first engines; both broke off answers for a second or so.
    """
    trial = Trial()
    trial.add("first", *[Run(1)] * 6)
    trial.add("second", *[Run(1)] * 6)
    caller = trial.serve()
    assert caller.has_all


def test_a_stream_that_ends_its_engines_ends_no_more_than_three():
    """Engines that have ended leave the route's bound, and have one of their own."""
    trial = Trial(max_targets=2)
    for number in range(9):
        trial.add(f"engine-{number}", Run(1, lost=(f"engine-{number}",)))
    caller = trial.serve()
    assert sum(engine.arrivals for engine in trial.engines.values()) == MAX_LOST_ENGINES
    [line] = trial.logged("broken_off")
    assert (caller.ending, line["ended_by"]) == ("broken off", "lost_engines")


def test_engines_that_are_gone_cost_a_begun_answer_no_pause():
    trial = Trial(max_targets=9)
    trial.add("first", Run(3, lost=("first",)))
    for number in range(14):
        trial.add(f"gone-{number:02}").gone = True
    trial.add("last", domain="b")
    caller = trial.serve()
    assert caller.has_all
    assert caller.max_event_gap_s < 0.3


def test_an_engine_that_has_restarted_under_its_id_leaves_a_begun_answer_another():
    """It counted as running the stream on, though it is empty."""
    trial = Trial(max_targets=1)
    front = trial.add("front", Run(3, lost=("front",)))
    other = trial.add("other", *[Refuse("other")] * 2, domain="b")
    caller = Caller()

    async def run():
        def restart():
            front.target, front.gone = evolve(front.target, born_ms=2, held=None), False
            trial.table.apply([Listed(front.target)])

        asyncio.get_running_loop().call_later(0.1, restart)
        await trial.serve_one(caller)

    asyncio.run(asyncio.wait_for(run(), 9))
    assert caller.has_all and other.runs == 1


def test_a_begun_answer_waits_as_long_as_its_caller():
    """Callers leave after 2 s, or four times the route's aim if that is longer."""
    trial = Trial()
    trial.route = evolve(trial.route, latency_goal_s=0.75)
    trial.add("front", Run(3, lost=("back-1",)), layers=FRONT)
    trial.add("back-1", layers=BACK)
    caller = Caller()

    async def run():
        loop = asyncio.get_running_loop()
        loop.call_later(2.4, lambda: trial.add("back-2", layers=BACK))
        await trial.serve_one(caller)

    asyncio.run(asyncio.wait_for(run(), 9))
    assert caller.has_all


def test_an_engine_that_fails_a_request_does_not_get_it_again():
    trial = Trial()
    trial.add("first", *[Fail()] * 99)
    caller = trial.serve()
    assert caller.status == 500
    assert trial.engine("first").arrivals == 1


def test_a_pause_between_refusals_ends_with_the_callers_time():
    trial = Trial(max_targets=1)
    trial.add("front", Run(3, lost=("back-0",)), *[Refuse("back-1")] * 99, layers=FRONT)
    trial.add("back-0", layers=BACK)
    trial.add("back-1", layers=BACK)
    call = trial.call(Caller(), "r1", 1.1)
    asyncio.run(asyncio.wait_for(trial.streams.serve(call), 9.0))
    assert call.left_s > -0.05


def test_a_reply_that_comes_as_its_attempt_is_interrupted_is_dropped():
    """Nobody closed it, and its engine ran on."""
    trial, dropped = Trial(), []
    trial.add("first", Run(0, after_s=9.0))
    trial.add("last", domain="b")
    send = trial.send

    async def send_and_lose(address, request, **options):
        reply = await send(address, request, **options)
        if request != "report?" and trial.engines[address].target.id == "first":
            reply.drop = lambda: dropped.append("first")
            loop = asyncio.get_running_loop()
            loop.call_soon(trial.streams.engine_down, "first")
            trial.engines[address].gone = True
        return reply

    trial.send = send_and_lose
    trial.serve()
    assert dropped == ["first"]


def test_a_begun_answer_that_all_refuse_is_ended_when_its_caller_leaves_too():
    """Refusals are repeats: they end after 2 s, and are spread over that time."""
    trial = Trial(max_targets=1)
    trial.add("first", Run(3), *[Refuse("first")] * 99)
    caller = trial.serve()
    assert caller.ending == "broken off"
    [line] = trial.logged("broken_off")
    assert line["ended_by"] in {"refusals", "no_path"}
    assert RESUME_WAIT_S <= 20 - line["left_ms"] / 1000 < RESUME_WAIT_S + 1
    assert trial.engine("first").arrivals <= 12


def test_a_request_that_no_engine_has_run_is_refused_after_six_refusals():
    trial = Trial()
    for number in range(9):
        trial.add(f"engine-{number}", Refuse(f"engine-{number}"))
    with pytest.raises(RequestRefusedError) as refusal:
        trial.serve()
    assert refusal.value.status == 503
    assert sum(engine.arrivals for engine in trial.engines.values()) == MAX_SENDS


def test_pauses_between_refusals_of_a_begun_answer_grow_to_a_bound():
    """Issue 21's play, seed 1: a whole bound was used up within 13 ms."""
    pauses_s = [refusal_backoff_s(refusals) for refusals in range(9)]
    assert pauses_s == [0, 0, 0.02, 0.04, 0.08, 0.16, 0.3, 0.3, 0.3]


def test_begun_answers_use_what_other_instances_leave_of_the_retry_budget():
    """Issue 21: 96 answers of one domain ended, with 266 of 600 repeats used in all.

    Twenty streams of one instance run over an engine that is lost.
    """
    fleet = Fleet(88, slack=360.0)
    trial = fleet.trials[0]
    trial.add("first", *[Run(3, lost=("first",), after_s=0.2)] * 20)
    trial.add("second", domain="b")

    async def run():
        callers = [Caller() for _ in range(20)]
        await asyncio.gather(
            *(trial.serve_one(each, f"r{n}") for n, each in enumerate(callers))
        )
        return callers

    callers = fleet.run(run())
    assert [caller.ending for caller in callers] == ["whole"] * 20
    assert 7 < fleet.repeats() <= 20
