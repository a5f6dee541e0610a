"""Replies that never end: bounded, and their connections closed."""

import asyncio
import socket
import struct
import time

import pytest
from celeryfork_entry import target_http
from celeryfork_entry.byte_stream import MAX_UNREAD_BYTES, ByteStream
from celeryfork_entry.target_http import (
    IDLE_TIMEOUT_S,
    LostError,
    OutgoingRequest,
    PortClosedError,
    TargetConnections,
)

MAX_BODY_BYTES = 1 << 20
MAX_RECEIVED_BYTES = MAX_BODY_BYTES + MAX_UNREAD_BYTES + (1 << 18)
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
                await reply.read_all(MAX_BODY_BYTES)
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
    assert sum(received) <= MAX_RECEIVED_BYTES
    assert not connections._idle_by_address


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


class AnsweringEngine:
    """Answers each request and keeps its connections open."""

    def __init__(self):
        self.writers = []

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def ask_each(connections, addresses):
    for address in addresses:
        reply = await connections.send(address, OutgoingRequest("GET", "/"))
        assert await reply.read_all(10) == b"ok"


def addresses_of(server, count):
    port = server.sockets[0].getsockname()[1]
    return [
        f"127.0.{number // 250}.{number % 250 + 1}:{port}" for number in range(count)
    ]


def test_connections_kept_in_all_are_bounded(monkeypatch):
    """Pattern: 1,003 engines, and who places layers asks each before it orders.

    A machine that had 4,100 descriptors would keep a connection to each of 10,000.
    """
    monkeypatch.setattr(target_http, "MAX_IDLE_CONNECTIONS", 20)

    async def ask():
        engine, connections = AnsweringEngine(), TargetConnections()
        server = await asyncio.start_server(engine.serve, "0.0.0.0", 0)
        addresses = addresses_of(server, 60)
        await ask_each(connections, addresses)
        kept = list(connections._idle_by_address)
        await ask_each(connections, addresses[-20:])
        opened = connections.opened
        for address in kept:
            connections.forget(address)
        server.close()
        return addresses, kept, opened, connections

    addresses, kept, opened, connections = asyncio.run(ask())
    assert kept == addresses[-20:], "those used last are kept"
    assert opened == 60, "and used again"
    assert not connections._idle_in_order


def test_connections_whose_time_is_over_are_closed():
    async def ask():
        engine, connections = AnsweringEngine(), TargetConnections()
        server = await asyncio.start_server(engine.serve, "0.0.0.0", 0)
        await ask_each(connections, addresses_of(server, 5))
        connections.close_idle(time.monotonic())
        kept = len(connections._idle_in_order)
        connections.close_idle(time.monotonic() + IDLE_TIMEOUT_S + 1)
        await asyncio.sleep(0.05)
        closed = sum(writer.is_closing() for writer in engine.writers)
        server.close()
        return kept, closed, connections

    kept, closed, connections = asyncio.run(ask())
    assert (kept, closed) == (5, 5)
    assert not connections._idle_by_address


def test_a_port_that_nobody_listens_on_is_told_apart():
    """Its process has ended; one that can't be reached may live."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        host, port = free.getsockname()
        request = OutgoingRequest("GET", "/")
        with pytest.raises(PortClosedError):
            asyncio.run(TargetConnections().send(f"{host}:{port}", request))
