"""Tests of celeryfork_streams.formats: what OpenAI's own client makes of answers."""

import socket
import threading

import pytest
from celeryfork_streams.formats import ChatShape, CompletionShape
from openai import APIError, APIStatusError, OpenAI

# Longer than a stream's deadline in these tests, so that what held one up is answered.
CLIENT_TIMEOUT_S = 15


class Listener:
    """Answers the one call of OpenAI's client, whoever else may connect before."""

    def __init__(self, world, shape):
        self._world, self._shape = world, shape
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            arguments = (connection,)
            threading.Thread(target=self._answer, args=arguments, daemon=True).start()

    def _answer(self, connection):
        received = b""
        while b"\r\n\r\n" not in received or not received.endswith(b"}"):
            part = connection.recv(65536)
            if not part:
                connection.close()
                return
            received += part
        self._world.serve(connection, shape=self._shape)

    def stop(self):
        # A close alone doesn't end an accept that waits.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


@pytest.fixture
def listen(world):
    listeners = []

    def listen(shape):
        listeners.append(Listener(world, shape))
        return listeners[-1].address

    yield listen
    for listener in listeners:
        listener.stop()


def make_client(address):
    host, port = address
    return OpenAI(
        base_url=f"http://{host}:{port}/v1",
        api_key="key",
        max_retries=0,
        timeout=CLIENT_TIMEOUT_S,
    )


@pytest.fixture
def client(listen):
    """Return a function that makes a client whose one call is answered by a shape."""
    return lambda shape: make_client(listen(shape))


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


@pytest.mark.parametrize("sent", [b"", b"GET / HTTP/1.1\r\n\r\n"])
def test_a_strangers_connection_holds_up_no_answer(world, listen, sent):
    """One that had the port's number from an earlier test would take the answer."""
    world.chain("e1")
    address = listen(CompletionShape(False, 7))
    with socket.create_connection(address) as stranger:
        stranger.sendall(sent)
        completion = make_client(address).completions.create(
            model="reminder-writer", prompt="Hard water"
        )
    assert completion.choices[0].text == TEXT
