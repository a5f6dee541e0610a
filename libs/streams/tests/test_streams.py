"""Streams whose engines fail partway: each failure is caused on purpose."""

import asyncio

import pytest
from celeryfork_base.outcomes import Outcome
from celeryfork_streams.requests import RecoveryKind
from stream_scripts import (
    check_resumed,
    dies,
    ends_early,
    expected,
    never_begins,
    stalls,
)


def test_a_whole_answer_passes_every_position_once(world):
    world.chain("e1", "e2")
    result, sink = world.run()
    assert (result.outcome, result.tokens, result.attempts) == (Outcome.DONE, 12, 1)
    assert sink.texts == expected(12)
    assert sink.ends == [("length", 12)]
    assert result.recoveries == ()
    assert world.budget.successes == 1


@pytest.mark.parametrize("script", [dies, ends_early])
def test_an_engine_that_dies_partway_is_a_pause(world, script):
    [e1] = world.chain("e1")
    [e2] = world.chain("e2")
    e1.scripts = [script]
    check_resumed(world, RecoveryKind.CUT)
    request = e2.requests[0]
    assert request["emitted"] == expected(3)
    assert (request["position"], request["attempt"]) == (3, 2)
    assert ("e1", "Reset") in world.view.observed
    assert world.router.released[0][1].failed_target_id == "e1"


def test_a_lost_stage_is_replaced_and_the_live_one_kept(world):
    async def loses_stage(talk):
        await talk.accept()
        await talk.tokens(3)
        await talk.fault("stage_lost", "e2")

    e1, _ = world.chain("e1", "e2")
    world.chain("e1", "e3")
    e1.scripts = [loses_stage]
    check_resumed(world, RecoveryKind.STAGE_LOST)
    assert [hop.target.id for hop in world.router.asked[-1].keep] == ["e1"]
    assert "e2" in world.router.asked[-1].avoid
    assert [stage["engine"] for stage in e1.requests[1]["chain"]] == ["e1", "e3"]
    assert [stage["kv_from"] for stage in e1.requests[1]["chain"]] == [None, None]


def test_the_kv_cache_of_a_leaving_engine_is_imported(world):
    async def one_leaves(talk):
        await talk.accept()
        await talk.tokens(3)
        await talk.fault("leaving", "e2")

    e1, e2 = world.chain("e1", "e2")
    world.chain("e1", "e3")
    e1.scripts = [one_leaves]
    check_resumed(world, RecoveryKind.LEAVING)
    kv_from = [stage["kv_from"] for stage in e1.requests[1]["chain"]]
    assert kv_from == [None, e2.address]
    assert ("e2", "Draining") in world.view.observed
    assert world.poison.counted == []


def test_a_stall_between_tokens_is_given_up_within_its_gap(world):
    [e1] = world.chain("e1")
    world.chain("e2")
    e1.scripts, e1.silent = [stalls], True
    result = check_resumed(world, RecoveryKind.STALLED)
    [recovery] = result.recoveries
    assert recovery.silent_s >= 0.2
    assert recovery.silent_s + recovery.resumed_s - recovery.fault_s < 1.0
    assert ("e1", "Stalled") in world.view.observed
    assert e1.cancelled.wait(timeout=5)


def test_the_stage_that_stalls_is_blamed_not_the_one_that_is_heard(world):
    e1, e2 = world.chain("e1", "e2")
    world.chain("e1", "e3")
    e1.scripts, e2.silent = [stalls], True
    check_resumed(world, RecoveryKind.STALLED)
    assert ("e2", "Stalled") in world.view.observed
    assert ("e1", "Stalled") not in world.view.observed
    assert [stage["engine"] for stage in e1.requests[1]["chain"]] == ["e1", "e3"]


def test_where_all_engines_answer_none_is_blamed_but_all_are_left(world):
    e1, e2 = world.chain("e1", "e2")
    world.chain("e3", "e2")
    e4, _ = world.chain("e4", "e5")
    e1.scripts = [stalls]
    check_resumed(world, RecoveryKind.STALLED)
    assert {kind for _, kind in world.view.observed} == {"Succeeded"}
    kv_from = [stage["kv_from"] for stage in e4.requests[0]["chain"]]
    assert kv_from == [e1.address, e2.address]


def test_an_engine_named_from_outside_the_chain_is_not_blamed(world):
    async def names_another(talk):
        await talk.accept()
        await talk.tokens(3)
        await talk.fault("stage_lost", "e9")

    [e1] = world.chain("e1")
    world.chain("e2")
    e1.scripts = [names_another]
    check_resumed(world, RecoveryKind.STAGE_LOST)
    assert ("e1", "Reset") in world.view.observed
    assert "e9" not in dict(world.view.observed)


def test_a_stall_before_the_first_token_is_given_up(world):
    [e1] = world.chain("e1")
    world.chain("e2")
    e1.scripts = [never_begins]
    check_resumed(world, RecoveryKind.STALLED)
    assert e1.cancelled.wait(timeout=5)


def test_a_long_prompt_is_allowed_a_longer_first_gap(world):
    async def slow_prefill(talk):
        await asyncio.sleep(0.5)
        await talk.accept()
        await talk.rest()

    [e1] = world.chain("e1")
    e1.scripts = [slow_prefill]
    result, _ = world.run(world.request(prompt="x" * 4000))
    assert result.attempts == 1


def test_a_link_that_degrades_is_left(world):
    async def degrades(talk):
        await talk.accept()
        for delay_s in (0, 0, 0.02, 0.05, 30):
            await asyncio.sleep(delay_s)
            await talk.token()

    [e1] = world.chain("e1")
    world.chain("e2")
    e1.scripts = [degrades]
    check_resumed(world, RecoveryKind.STALLED)


def test_a_slow_engine_is_waited_for_when_the_budget_is_out(world):
    async def pauses(talk):
        await talk.accept()
        await talk.tokens(3)
        await asyncio.sleep(0.6)
        await talk.rest()

    [e1] = world.chain("e1")
    e1.scripts = [pauses]
    world.set_policy(most_attempts=1)
    result, sink = world.run()
    assert (result.outcome, result.attempts) == (Outcome.DONE, 1)
    assert sink.texts == expected(12)


def test_duplicates_and_old_attempts_are_dropped_and_counted(world):
    async def repeats(talk):
        await talk.accept()
        await talk.tokens(3)
        await talk.token(position=1)
        await talk.token(position=2, text="forged")
        await talk.tokens(1)
        talk.reset()

    async def mixes_attempts(talk):
        await talk.accept()
        await talk.token(position=4, text="old", attempt=1)
        await talk.rest()

    [e1] = world.chain("e1")
    [e2] = world.chain("e2")
    e1.scripts, e2.scripts = [repeats], [mixes_attempts]
    check_resumed(world, RecoveryKind.CUT)
    assert world.counters.count("streams.duplicate_events") == 2
    assert world.counters.count("streams.events_of_old_attempts") == 1


@pytest.mark.parametrize(
    ("sent", "counter"),
    [
        (b'{"a":1,"p":4,"x":"y","l":[[0,24]]}\n', "gap"),
        (b'{"a":1,"p":2,"end":"stop"}\n', "gap"),
        (b'{"a":1,"p":3,"x":"y","l":[[0,12]]}\n', "coverage"),
        (b'{"a":1,"p":3,"x":"y","l":[[0,12],[6,24]]}\n', "coverage"),
        (b'{"a":1,"p":3,"x":"y","l":[[12,24],[0,12]]}\n', "coverage"),
        (b'{"a":1,"p":3,"x":"y"}\n', "coverage"),
        (b"garbage\n", "malformed"),
        (b"\xff\xfe\n", "malformed"),
        (b"[1]\n", "malformed"),
        (b"\n", "malformed"),
        (b'{"a":9,"p":3,"x":"y","l":[[0,24]]}\n', "malformed"),
        (b'{"a":1,"p":3,"x":5,"l":[[0,24]]}\n', "malformed"),
        (b'{"a":1,"p":true,"x":"y","l":[[0,24]]}\n', "malformed"),
        (b'{"a":1,"error":"what"}\n', "malformed"),
        (b'{"a":1,"p":3,"end":"because"}\n', "malformed"),
        (b'{"a":1,"p":3,"x":"' + b"z" * 40_000, "malformed"),
        (b'{"a":1,"p":3,"x":"' + b"z" * 40_000 + b'"}\n', "malformed"),
    ],
)
def test_an_event_that_breaks_the_interface_ends_its_attempt(world, sent, counter):
    async def breaks_interface(talk):
        await talk.accept()
        await talk.tokens(3)
        talk.writer.write(sent)
        await asyncio.sleep(60)

    [e1] = world.chain("e1")
    world.chain("e2")
    e1.scripts = [breaks_interface]
    check_resumed(world, RecoveryKind.MALFORMED)
    assert world.counters.count(f"streams.{counter}_events") == 1
    assert world.poison.counted == []


def test_layers_may_be_split_otherwise_as_long_as_all_run_in_order(world):
    async def splits_otherwise(talk):
        talk.spans = [[0, 6], [6, 24]]
        await talk.accept()
        await talk.rest()

    [e1, _] = world.chain("e1", "e2")
    e1.scripts = [splits_otherwise]
    result, _ = world.run()
    assert result.attempts == 1


def test_more_tokens_than_asked_for_never_pass(world):
    async def babbles(talk):
        await talk.accept()
        await talk.tokens(20)

    [e1] = world.chain("e1")
    e1.scripts = [babbles]
    result, sink = world.run()
    assert (sink.texts, sink.ends) == (expected(12), [("length", 12)])
    assert result.attempts == 1


def test_only_the_end_lost_needs_no_other_attempt(world):
    async def loses_end(talk):
        await talk.accept()
        await talk.tokens(12)
        talk.reset()

    [e1] = world.chain("e1")
    e1.scripts = [loses_end]
    result, sink = world.run()
    assert (result.outcome, result.attempts) == (Outcome.DONE, 1)
    assert sink.ends == [("length", 12)]
