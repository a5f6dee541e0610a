"""Tests of celeryfork_streams.serve."""

import json

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
