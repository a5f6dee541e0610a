"""Tests of celeryfork_streams.streams: each failure is caused on purpose."""

import asyncio
import socket
import time

import pytest
from celeryfork_base.outcomes import Outcome
from celeryfork_streams.lost import Lost
from celeryfork_streams.ports import Chain, Hop
from celeryfork_streams.requests import RecoveryKind, StreamRefusedError
from celeryfork_streams.salvage import Salvage


def expected(count):
    return [f" t{position}" for position in range(count)]


def check_resumed(world, kind, attempts=2, request=None):
    """Run a request and check that its caller saw nothing but a pause."""
    result, sink = world.run(request)
    assert sink.texts == expected(12)
    assert sink.ends == [("length", 12)]
    assert (result.outcome, result.attempts) == (Outcome.DONE, attempts)
    assert {recovery.kind for recovery in result.recoveries} == {kind}
    assert all(recovery.resumed_s is not None for recovery in result.recoveries)
    return result


def refused(world, request=None):
    with pytest.raises(StreamRefusedError) as caught:
        world.run(request)
    assert world.router.in_flight == 0
    return caught.value


async def dies(talk):
    await talk.accept()
    await talk.tokens(3)
    talk.reset()


async def dies_late(talk):
    await talk.accept()
    await talk.tokens(10)
    talk.reset()


async def ends_early(talk):
    await talk.accept()
    await talk.tokens(3)


async def stalls(talk):
    await talk.accept()
    await talk.tokens(3)
    await asyncio.sleep(60)


async def never_begins(talk):
    await asyncio.sleep(60)


async def overloaded(talk):
    await talk.reject(429, headers="Retry-After: 7\r\n")


async def leaving(talk):
    await talk.reject(409, "leaving")


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
    assert world.router.released[0][1].failed_target == "e1"


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


@pytest.mark.parametrize(
    ("script", "kind"),
    [(overloaded, RecoveryKind.OVERLOADED), (leaving, RecoveryKind.LEAVING)],
)
def test_an_engine_that_turns_work_away_is_passed_over(world, script, kind):
    [e1] = world.chain("e1")
    world.chain("e2")
    e1.scripts = [script]
    check_resumed(world, kind)


def test_all_overloaded_is_not_run_and_says_when_to_come_back(world):
    for name in ("e1", "e2"):
        [engine] = world.chain(name)
        engine.scripts = [overloaded]
    error = refused(world)
    assert (error.outcome, error.status) == (Outcome.NOT_RUN, 503)
    assert (error.code, error.retry_after_s) == ("overloaded", 7.0)
    assert error.result.attempts == 2


def test_a_refused_connection_is_not_run(world):
    [e1] = world.chain("e1")
    world.do(e1.stop())
    world.set_policy(most_attempts=2)
    error = refused(world)
    assert (error.outcome, error.code) == (Outcome.NOT_RUN, "no_target")
    assert world.view.observed == [("e1", "Refused")] * 2


def test_an_engine_that_dies_before_it_answers_may_have_run(world):
    async def dies_at_once(talk):
        talk.reset()

    [e1] = world.chain("e1")
    e1.scripts = [dies_at_once]
    world.set_policy(most_attempts=1)
    error = refused(world)
    assert (error.outcome, error.status) == (Outcome.UNKNOWN, 502)


def test_attempts_that_are_out_are_a_failure(world):
    [e1] = world.chain("e1")
    e1.scripts = [ends_early]
    world.set_policy(most_attempts=1)
    error = refused(world)
    assert (error.outcome, error.code) == (Outcome.FAILED, "target_failed")
    assert error.result.tokens == 3


def test_the_deadline_ends_a_request_with_the_outcome_that_is_true(world):
    [e1] = world.chain("e1")
    e1.scripts = [never_begins]
    world.set_policy(first_token_floor_s=5.0)
    error = refused(world, world.request(deadline_s=time.monotonic() + 0.2))
    assert (error.status, error.outcome) == (504, Outcome.UNKNOWN)
    assert e1.cancelled.wait(timeout=5)
    error = refused(world, world.request(deadline_s=time.monotonic() - 1))
    assert (error.status, error.outcome) == (504, Outcome.NOT_RUN)
    assert len(e1.requests) == 1


def test_the_retry_budget_holds_but_some_resumptions_are_always_tried(world):
    for name in ("e1", "e2", "e3", "e4"):
        [engine] = world.chain(name)
        engine.scripts = [dies_late]
    world.budget.left = 0
    world.set_policy(free_resumptions=1)
    error = refused(world, world.request(max_tokens=100))
    assert error.result.attempts == 2
    assert error.outcome is Outcome.FAILED
    assert world.counters.count("streams.resumed_over_budget") == 1
    assert world.counters.count("streams.retries_refused") == 1


def test_a_refused_connection_needs_no_budget(world):
    [e1] = world.chain("e1")
    world.chain("e2")
    world.do(e1.stop())
    world.budget.left = 0
    check_resumed(world, RecoveryKind.NOT_REACHED)


def test_suspects_run_one_at_a_time_where_no_other_does(world, eventually):
    [e1] = world.chain("e1")
    e1.scripts = [stalls]
    world.set_policy(first_token_floor_s=5.0, token_gap_floor_s=5.0)
    for fingerprint in ("first", "second"):
        world.poison.crashed(fingerprint, "e9")
    caller, _ = world.call(world.request(fingerprint="first"))
    eventually(lambda: e1.requests)
    second = world.runner.run(world.request(fingerprint="second"), world.make_sink())
    future = world.thread.submit(second)
    eventually(lambda: len(world.router.asked) >= 2)
    assert len(e1.requests) == 1
    caller.close()
    assert future.result(timeout=5).outcome is Outcome.DONE


def test_a_request_that_crashes_two_engines_is_refused(world):
    async def crashes(talk):
        await talk.accept()
        talk.reset()

    for name in ("e1", "e2", "e3"):
        [engine] = world.chain(name)
        engine.scripts = [crashes] * 2
    error = refused(world)
    assert (error.code, error.status) == ("poison", 422)
    assert error.outcome is Outcome.FAILED
    assert world.poison.counted == [("f1", "e1"), ("f1", "e2")]
    assert refused(world).result.attempts == 0


def test_crashes_after_progress_are_excused_only_twice(world):
    for name in ("e1", "e2", "e3", "e4", "e5"):
        [engine] = world.chain(name)
        engine.scripts = [dies_late]
    error = refused(world, world.request(max_tokens=100))
    assert error.code == "poison"
    assert world.poison.counted == [("f1", "e3"), ("f1", "e4")]


def test_others_keep_away_from_engines_that_run_a_suspect(world, eventually):
    [e1] = world.chain("e1")
    [e2] = world.chain("e2")
    e1.scripts = [stalls]
    world.set_policy(first_token_floor_s=5.0, token_gap_floor_s=5.0)
    world.poison.crashed("suspect", "e9")
    caller, future = world.call(world.request(fingerprint="suspect"))
    eventually(lambda: e1.requests)
    world.do(world.runner.run(world.request(), world.make_sink()))
    assert (len(e1.requests), len(e2.requests)) == (1, 1)
    caller.close()
    assert future.result(timeout=5).code == "caller_gone"
    assert world.runner.dump()["engines_with_suspects"] == []


def test_a_stream_waits_for_an_engine_to_come_back(world):
    [e1] = world.chain("e1")
    e1.scripts = [dies]
    world.router.refuse_calls = range(2, 9)
    check_resumed(world, RecoveryKind.CUT)


def test_engines_that_keep_kv_cache_are_named_for_the_layers_they_hold(world):
    def make(name):
        return world.make_target(name, f"{name}:1")

    old = [Hop(make("a"), 0, 12), Hop(make("b"), 12, 24)]
    chain = Chain(
        (
            Hop(make("c"), 0, 8),
            Hop(make("d"), 8, 16),
            Hop(make("b"), 16, 24),
        ),
        "c+d+b",
    )
    salvage = Salvage(world.view)
    lost = Lost(RecoveryKind.OVERLOADED, frozenset({"a"}), "overloaded")
    salvage.take_in(Chain(tuple(old), "a+b"), lost, tokens=3)
    kv_from = [stage.kv_from for stage in salvage.stages(chain)]
    assert kv_from == ["a:1", None, None]


@pytest.fixture
def full_address():
    """An address whose backlog is full, so that connecting to it hangs."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    host, port = listener.getsockname()
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex((host, port))
    yield f"{host}:{port}"
    for connection in (listener, *fillers):
        connection.close()


def add_full(world, full_address):
    hop = Hop(world.make_target("full", full_address), 0, 24)
    world.router.chains.append(Chain((hop,), "full"))
    world.set_policy(first_token_floor_s=5.0)


def test_an_address_that_takes_no_connection_costs_only_the_limit(world, full_address):
    add_full(world, full_address)
    world.chain("e2")
    check_resumed(world, RecoveryKind.NOT_REACHED)


def test_a_deadline_before_the_first_byte_is_not_run(world, full_address):
    add_full(world, full_address)
    error = refused(world, world.request(deadline_s=time.monotonic() + 0.2))
    assert (error.code, error.outcome) == ("deadline", Outcome.NOT_RUN)


@pytest.mark.parametrize(
    "answer",
    [
        b"garbage\r\n\r\n",
        b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X-Long: " + b"y" * 20_000 + b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n",
    ],
)
def test_an_answer_that_breaks_the_interface_ends_its_attempt(world, answer):
    async def breaks_interface(talk):
        talk.writer.write(answer)
        await asyncio.sleep(60)

    [e1] = world.chain("e1")
    world.chain("e2")
    e1.scripts = [breaks_interface]
    check_resumed(world, RecoveryKind.MALFORMED)
