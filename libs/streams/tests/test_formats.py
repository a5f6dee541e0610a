"""Tests of celeryfork_streams.formats: what OpenAI's own client makes of answers."""

import socket
import threading

import pytest
from celeryfork_streams.formats import ChatShape, CompletionShape
from openai import APIError, APIStatusError, OpenAI


@pytest.fixture
def client(world):
    """Return a function that makes a client whose one call is answered by a shape."""
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()

    def answer(shape):
        connection, _ = listener.accept()
        received = b""
        while b"\r\n\r\n" not in received or not received.endswith(b"}"):
            received += connection.recv(65536)
        world.serve(connection, shape=shape)

    def make(shape):
        threading.Thread(target=answer, args=(shape,), daemon=True).start()
        url = f"http://{host}:{port}/v1"
        return OpenAI(base_url=url, api_key="key", max_retries=0, timeout=10)

    yield make
    listener.close()


TEXT = "".join(f" t{position}" for position in range(12))
CHAT = [{"role": "user", "content": "Hard water"}]


def test_a_streamed_completion(world, client):
    world.chain("e1")
    parts = client(CompletionShape(True, 7)).completions.create(
        model="reminder-writer", prompt="Hard water", stream=True
    )
    parts = list(parts)
    assert "".join(part.choices[0].text for part in parts) == TEXT
    assert parts[-1].choices[0].finish_reason == "length"
    assert parts[-1].usage.completion_tokens == 12
    assert parts[-1].celeryfork["outcome"] == "done"


def test_a_streamed_chat(world, client):
    world.chain("e1")
    parts = client(ChatShape(True, 7)).chat.completions.create(
        model="reminder-writer", messages=CHAT, stream=True
    )
    parts = list(parts)
    assert parts[0].choices[0].delta.role == "assistant"
    assert "".join(part.choices[0].delta.content or "" for part in parts) == TEXT
    assert parts[-1].choices[0].finish_reason == "length"


def test_whole_answers(world, client):
    world.chain("e1")
    completion = client(CompletionShape(False, 7, prompt_tokens=3)).completions.create(
        model="reminder-writer", prompt="Hard water"
    )
    assert completion.choices[0].text == TEXT
    assert completion.usage.total_tokens == 15
    chat = client(ChatShape(False, 7)).chat.completions.create(
        model="reminder-writer", messages=CHAT
    )
    assert chat.choices[0].message.content == TEXT


def test_an_error_before_the_first_token_is_a_status(world, client):
    with pytest.raises(APIStatusError) as caught:
        client(CompletionShape(True, 7)).completions.create(
            model="reminder-writer", prompt="Hard water", stream=True
        )
    assert caught.value.status_code == 503
    assert caught.value.code == "no_target"


def test_an_error_partway_ends_the_stream_with_an_error(world, client):
    async def ends_early(talk):
        await talk.accept()
        await talk.tokens(3)

    [e1] = world.chain("e1")
    e1.scripts = [ends_early]
    world.set_policy(most_attempts=1)
    parts = client(ChatShape(True, 7)).chat.completions.create(
        model="reminder-writer", messages=CHAT, stream=True
    )
    with pytest.raises(APIError, match="Given up"):
        list(parts)


def test_texts_are_escaped(world, client):
    awkward = 'quote " backslash \\ line\nend 茶 \u2028 data: [DONE]'

    async def sends_awkward_text(talk):
        await talk.accept()
        await talk.token(text=awkward)
        await talk.send({"a": 1, "p": 1, "end": "stop"})

    [e1] = world.chain("e1")
    e1.scripts = [sends_awkward_text]
    parts = client(CompletionShape(True, 7)).completions.create(
        model="reminder-writer", prompt="Hard water", stream=True
    )
    assert "".join(part.choices[0].text for part in parts) == awkward
