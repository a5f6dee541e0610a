"""Replies that never end: bounded, and their connections closed."""

import asyncio
import socket
import struct

import pytest
from celeryfork_entry.byte_stream import MOST_UNREAD_BYTES, ByteStream
from celeryfork_entry.target_http import (
    LostError,
    OutgoingRequest,
    TargetConnections,
)

MOST_BODY_BYTES = 1 << 20
MOST_RECEIVED_BYTES = MOST_BODY_BYTES + MOST_UNREAD_BYTES + (1 << 18)
"""The limits of a body and of what waits to be read, and one reading of the loop."""
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessEngine:
    """Sends a beginning, then the same bytes again until the caller closes."""

    def __init__(self, beginning, repeated):
        self.beginning, self.repeated = beginning, repeated
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.beginning)
        try:
            while True:
                writer.write(self.repeated)
                await writer.drain()
        except ConnectionError:
            self.closed.set()
        finally:
            writer.close()

    async def ask(self, connections):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            reply = await connections.send(
                f"{host}:{port}", OutgoingRequest("GET", "/")
            )
            try:
                await reply.read_all(MOST_BODY_BYTES)
            finally:
                reply.drop()
        finally:
            await asyncio.wait_for(self.closed.wait(), 5)
            server.close()


@pytest.mark.parametrize(
    ("beginning", "repeated"),
    [
        (b"", b"x" * 4096),
        (b"HTTP/1.1 200 ", b"O" * 4096),
        (HEAD, b"X-Filler: " + b"y" * 4096 + b"\r\n"),
        (HEAD + b"X-Filler: ", b"y" * 4096),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
        (HEAD + b"\r\n", b"z" * 4096),
        (HEAD + b"Content-Length: 999999999999\r\n\r\n", b"z" * 4096),
        (CHUNKED, b"1000\r\n" + b"z" * 4096 + b"\r\n"),
        (CHUNKED, b"0" * 4096),
        (CHUNKED + b"1;", b"e" * 4096),
        (CHUNKED + b"0\r\n", b"X-Filler: " + b"y" * 4096 + b"\r\n"),
    ],
    ids=[
        "no-head", "status", "headers", "one-header", "interim", "body-to-the-end",
        "declared", "chunks", "chunk-size", "chunk-extension", "trailers",
    ],
)  # fmt: skip
def test_bytes_without_end_are_given_up(monkeypatch, beginning, repeated):
    """Users: bytes that are no answer may come without end, in a head or a body.

    What the engine has sent says less: the buffers of both kernels take some MB of it.
    """
    received, take = [], ByteStream.data_received
    monkeypatch.setattr(
        ByteStream,
        "data_received",
        lambda stream, data: (received.append(len(data)), take(stream, data)),
    )

    async def ask():
        engine, connections = EndlessEngine(beginning, repeated), TargetConnections()
        with pytest.raises(LostError):
            await asyncio.wait_for(engine.ask(connections), 10)
        return connections

    connections = asyncio.run(ask())
    assert sum(received) <= MOST_RECEIVED_BYTES
    assert not connections._kept_by_address


class RepeatingEngine:
    """Sends each answer a second time, after its connection has come to rest."""

    def __init__(self, pause_s):
        self.pause_s = pause_s
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            body = f"answer {number}".encode()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(self.pause_s)
            writer.write(answer)
        writer.close()


@pytest.mark.parametrize("pause_s", [0.0, 0.02])
def test_a_second_copy_of_an_answer_reaches_nobody(pause_s):
    """Operators: a late copy, on a connection in use again, was another's answer."""

    async def ask_three_times():
        engine, connections = RepeatingEngine(pause_s), TargetConnections()
        server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        bodies = []
        for _ in range(3):
            request = OutgoingRequest("GET", "/")
            reply = await connections.send(f"{host}:{port}", request)
            bodies.append(await reply.read_all(1000))
            await asyncio.sleep(2 * pause_s + 0.01)
        connections.forget(f"{host}:{port}")
        server.close()
        return bodies

    bodies = asyncio.run(ask_three_times())
    assert bodies == [b"answer 1", b"answer 2", b"answer 3"]


class ResettingEngine(asyncio.Protocol):
    """Sends part of a body that has no length, and resets the connection."""

    def connection_made(self, transport):
        self.transport = transport
        linger = struct.pack("ii", 1, 0)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def data_received(self, data):
        self.transport.write(HEAD + b"\r\n" + b"part of an answer")
        self.transport.abort()


def test_a_body_without_length_that_is_reset_is_not_complete():
    """Pattern: troskgille-hosting-grown fresh-79c6, second 20.8: a target crashes.

    libuv tells the end of the stream where the reset comes together with bytes.
    """

    async def ask():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(ResettingEngine, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        connections = TargetConnections()
        for _ in range(20):
            with pytest.raises(LostError):
                reply = await connections.send(
                    f"{host}:{port}", OutgoingRequest("GET", "/")
                )
                await reply.read_all(1000)
        server.close()

    asyncio.run(ask())
