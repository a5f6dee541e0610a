"""Endless, duplicate and truncated replies of targets, and the pool of connections."""

import asyncio
import socket
import struct
import time

import pytest
from celeryfork_entry import target_http
from celeryfork_entry.byte_stream import (
    MAX_UNREAD_BYTES,
    UNACKNOWLEDGED_TIMEOUT_MS,
    ByteStream,
)
from celeryfork_entry.target_http import (
    IDLE_TIMEOUT_S,
    LostError,
    OutgoingRequest,
    PortClosedError,
    TargetConnections,
)

MAX_BODY_BYTES = 1 << 20
MAX_RECEIVED_BYTES = MAX_BODY_BYTES + MAX_UNREAD_BYTES + (1 << 18)
"""The limits of a body and of unread bytes, and one read by the event loop."""
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessEngine:
    """Sends a beginning, then the same bytes until the client closes the connection."""

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
def test_endless_replies_are_aborted(monkeypatch, beginning, repeated):
    """Requirement: the head or body of a malformed reply may be endless.

    The test counts the bytes that the client receives. The number sent by the engine
    would be some MB higher, as the socket buffers of both sides hold that much.
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
    """Sends each answer twice, with a pause of ``pause_s`` seconds between."""

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
def test_a_duplicate_answer_is_discarded(pause_s):
    """On a reused connection, a late duplicate was taken for another answer."""

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
    """Sends part of a body without a length, then resets the connection."""

    def connection_made(self, transport):
        self.transport = transport
        linger = struct.pack("ii", 1, 0)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def data_received(self, data):
        self.transport.write(HEAD + b"\r\n" + b"part of an answer")
        self.transport.abort()


def test_a_body_without_length_that_is_reset_is_not_complete():
    """A target crashed, and its truncated answer was taken for complete.

    libuv reports the end of the stream if a reset arrives together with data. Found
    in bench trial troskgille-hosting-grown fresh-79c6, second 20.8.
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
    """Answers each request and keeps the connection open."""

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


def test_the_total_number_of_idle_connections_is_limited(monkeypatch):
    """The leader queries each of 1,003 engines before it gives orders.

    Without the limit, it would keep connections to 10,000 engines on a machine with
    4,100 file descriptors.
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
    assert kept == addresses[-20:], "the most recently used connections are kept"
    assert opened == 60, "idle connections are reused"
    assert not connections._idle_in_order


def test_expired_idle_connections_are_closed():
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


def test_a_refused_connection_raises_port_closed():
    """The process has terminated then, while an unreachable one may be alive."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        host, port = free.getsockname()
        request = OutgoingRequest("GET", "/")
        with pytest.raises(PortClosedError):
            asyncio.run(TargetConnections().send(f"{host}:{port}", request))


def test_a_target_may_read_a_long_body_late():
    """The kernel broke the connection 2.5 s after the target had no more memory.

    A target that is silent may go on, so the time of the call is the limit (issue 42).
    """
    body = b"x" * 150_000

    async def run():
        loop = asyncio.get_running_loop()
        with socket.socket() as listening:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            listening.setblocking(False)
            host, port = listening.getsockname()

            async def serve():
                sock, _ = await loop.sock_accept(listening)
                with sock:
                    await asyncio.sleep(UNACKNOWLEDGED_TIMEOUT_MS / 1000 + 0.8)
                    received = b""
                    while not received.endswith(body):
                        received += await loop.sock_recv(sock, 1 << 20)
                    await loop.sock_sendall(sock, HEAD + b"Content-Length: 2\r\n\r\nok")

            serving = asyncio.ensure_future(serve())
            request = OutgoingRequest("POST", "/", body=body, stall_timeout_s=30.0)
            reply = await TargetConnections().send(f"{host}:{port}", request)
            assert await reply.read_all(10) == b"ok"
            await serving

    asyncio.run(asyncio.wait_for(run(), 20.0))


def test_a_long_body_does_not_keep_the_next_request_waiting():
    """A target that is gone would be found only after the time of the earlier call."""
    answer = HEAD + b"Content-Length: 2\r\n\r\nok"
    body = b"x" * 50_000

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(body))
        writer.write(answer)

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        connections = TargetConnections()
        request = OutgoingRequest("POST", "/", body=body, stall_timeout_s=9.0)
        reply = await connections.send(f"{host}:{port}", request)
        assert await reply.read_all(10) == b"ok"
        [kept] = connections._idle_in_order
        sock = kept.stream.transport.get_extra_info("socket")
        server.close()
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

    assert asyncio.run(asyncio.wait_for(run(), 5.0)) == UNACKNOWLEDGED_TIMEOUT_MS
