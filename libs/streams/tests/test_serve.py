"""Tests of celeryfork_streams.serve."""

import asyncio
import json
import socket
import struct
import time

import pytest
from celeryfork_base.outcomes import Outcome
from celeryfork_streams.formats import ChatShape, CompletionShape


def split_answer(data):
    head, _, body = data.partition(b"\r\n\r\n")
    status, *lines = head.decode().split("\r\n")
    return int(status.split()[1]), dict(line.split(": ", 1) for line in lines), body


def events_of(body):
    return [part.removeprefix(b"data: ") for part in body.split(b"\n\n")][:-1]


def test_a_streamed_completion_carries_every_token_and_its_outcome(world, read_answer):
    world.chain("e1")
    caller, future = world.call()
    status, headers, body = split_answer(read_answer(caller))
    assert status == 200
    assert headers["X-Request-Id"] == "r1"
    *events, done = events_of(body)
    assert done == b"[DONE]"
    *tokens, last = map(json.loads, events)
    texts = [event["choices"][0]["text"] for event in tokens]
    assert "".join(texts) == "".join(f" t{position}" for position in range(12))
    assert last["celeryfork"] == {"outcome": "done", "request_id": "r1"}
    assert last["choices"][0]["finish_reason"] == "length"
    assert future.result(timeout=5).outcome is Outcome.DONE


def test_tokens_that_come_together_pass_even_if_garbage_follows(world, read_answer):
    async def sends_together(talk):
        await talk.accept()
        events = [{"a": 1, "p": p, "x": f" t{p}", "l": [[0, 24]]} for p in range(5)]
        lines = [json.dumps(event).encode() for event in events]
        talk.writer.write(b"\n".join([*lines, b"garbage", b""]))

    [e1] = world.chain("e1")
    [e2] = world.chain("e2")
    e1.scripts = [sends_together]
    caller, future = world.call()
    _, _, body = split_answer(read_answer(caller))
    *tokens, _, _ = events_of(body)
    texts = [json.loads(event)["choices"][0]["text"] for event in tokens]
    assert texts == [f" t{position}" for position in range(12)]
    assert e2.requests[0]["position"] == 5
    assert future.result(timeout=5).outcome is Outcome.DONE


def test_a_whole_chat_answer_is_one_json_body(world, read_answer):
    world.chain("e1")
    caller, future = world.call(shape=ChatShape(stream=False, created_s=7))
    status, headers, body = split_answer(read_answer(caller))
    answer = json.loads(body)
    assert (status, headers["X-Celeryfork-Outcome"]) == (200, "done")
    assert answer["choices"][0]["message"]["content"].startswith(" t0 t1")
    assert answer["usage"]["completion_tokens"] == 12
    assert future.result(timeout=5).tokens == 12


def test_no_chain_is_answered_at_once_with_not_run(world, read_answer):
    caller, future = world.call(shape=CompletionShape(stream=True, created_s=0))
    status, headers, body = split_answer(read_answer(caller))
    assert (status, headers["X-Celeryfork-Outcome"]) == (503, "not_run")
    assert headers["Retry-After"] == "1"
    assert json.loads(body)["error"]["code"] == "no_target"
    assert future.result(timeout=5).outcome is Outcome.NOT_RUN


def test_a_stream_that_is_given_up_ends_with_its_true_outcome(world, read_answer):
    async def ends_early(talk):
        await talk.accept()
        await talk.tokens(3)

    [e1] = world.chain("e1")
    e1.scripts = [ends_early]
    world.set_policy(most_attempts=1)
    caller, future = world.call()
    status, _, body = split_answer(read_answer(caller))
    *_, error, done = events_of(body)
    assert (status, done) == (200, b"[DONE]")
    assert json.loads(error)["error"]["code"] == "target_failed"
    assert json.loads(error)["celeryfork"]["outcome"] == "failed"
    result = future.result(timeout=5)
    assert (result.outcome, result.tokens) == (Outcome.FAILED, 3)


async def goes_on(talk):
    await talk.accept()
    while True:
        await talk.token(text="x" * 1000)


async def waits(talk):
    await talk.accept()
    await talk.tokens(1)
    await asyncio.sleep(60)


def close(caller):
    caller.close()


def reset(caller):
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


@pytest.mark.parametrize("leave", [close, reset])
@pytest.mark.parametrize("script", [goes_on, waits])
@pytest.mark.parametrize("stream", [True, False])
def test_a_caller_that_leaves_cancels_the_engines_work(
    world, eventually, leave, script, stream
):
    [e1] = world.chain("e1")
    e1.scripts = [script]
    world.set_policy(first_token_floor_s=9.0, token_gap_floor_s=9.0)
    caller, future = world.call(
        world.request(max_tokens=10**9), CompletionShape(stream=stream, created_s=0)
    )
    eventually(lambda: e1.requests)
    leave(caller)
    assert future.result(timeout=5).code == "caller_gone"
    assert e1.cancelled.wait(timeout=5)
    assert world.router.in_flight == 0
    assert world.router.released[0][1].failed_target_id is None
    assert world.counters.count("streams.callers_gone") == 1


def test_a_caller_that_reads_nothing_is_cut_and_delays_nobody(world, read_answer):
    [e1] = world.chain("e1")
    world.chain("e2")
    e1.scripts = [goes_on]
    world.set_policy(stream_buffer_bytes=4096, slow_caller_timeout_s=1.0)
    slow, slow_future = world.call(world.request(max_tokens=10**9))
    began_s = time.monotonic()
    answered = 0
    while not slow_future.done():
        quick, _ = world.call(world.request(request_id="quick"))
        assert b"[DONE]" in read_answer(quick)
        answered += 1
        assert time.monotonic() < began_s + 10
    assert slow_future.result().code == "caller_gone"
    assert world.counters.count("streams.slow_callers_cut") == 1
    assert answered > 10
    assert e1.cancelled.wait(timeout=5)
    slow.close()


def test_a_caller_that_reads_slowly_gets_everything(world, eventually):
    async def sends_much(talk):
        await talk.accept()
        for _ in range(20_000):
            await talk.token(text="x" * 1000)
        await talk.send({"a": 1, "p": 20_000, "end": "length"})

    [e1] = world.chain("e1")
    e1.scripts = [sends_much]
    world.set_policy(stream_buffer_bytes=4096)
    caller, future = world.call(world.request(max_tokens=20_000))
    eventually(lambda: world.counters.count("streams.caller_waits"))
    data = b""
    while part := caller.recv(200_000):
        data += part
        time.sleep(0.001)
    assert data.count(b"x" * 1000) == 20_000
    assert data.endswith(b"data: [DONE]\n\n")
    assert future.result(timeout=5).attempts == 1


def test_an_unforeseen_error_is_answered_and_counted(world, read_answer):
    world.router.chains = None
    caller, future = world.call()
    status, headers, _ = split_answer(read_answer(caller))
    assert (status, headers["X-Celeryfork-Outcome"]) == (502, "unknown")
    assert future.result(timeout=5).code == "internal"
    assert world.counters.count("streams.internal_errors") == 1
