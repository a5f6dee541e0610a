"""Streams that are turned away, given up, or suspected: what is true is said."""

import asyncio
import socket
import time

import pytest
from celeryfork_base.outcomes import Outcome
from celeryfork_streams.lost import Lost
from celeryfork_streams.ports import Chain, Hop
from celeryfork_streams.requests import RecoveryKind
from celeryfork_streams.salvage import Salvage
from stream_scripts import (
    check_resumed,
    dies,
    dies_late,
    ends_early,
    leaving,
    never_begins,
    overloaded,
    refused,
    stalls,
)


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
        world.poison.record_crash(fingerprint, "e9")
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
    world.poison.record_crash("suspect", "e9")
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


@pytest.mark.parametrize(
    "status",
    ["000", "001", "099", "101", "103", "199", "600", "999", "20", "2000", "-01",
     "+200", "2x0"],
)  # fmt: skip
def test_a_status_outside_http_ends_its_attempt(world, status):
    """Only the check for 200 and the library's parser refuse such an answer."""

    async def answers_oddly(talk):
        head = f"HTTP/1.1 {status} Odd\r\nContent-Length: 5\r\n\r\nwhole"
        talk.writer.write(head.encode())
        await asyncio.sleep(60)

    [e1] = world.chain("e1")
    world.chain("e2")
    e1.scripts = [answers_oddly]
    check_resumed(world, RecoveryKind.MALFORMED)
    assert world.poison.counted == []
