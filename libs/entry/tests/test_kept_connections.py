"""Closing of kept connections: each request that is read is answered.

A request that crosses the close of its connection stays unread, so that its caller sees
a reset and knows that it was not run (issue 27).
"""

import asyncio
import contextlib
import errno
import socket
import time

import pytest
from attrs import evolve
from celeryfork_entry.byte_stream import UNACKNOWLEDGED_TIMEOUT_MS, ByteStream
from celeryfork_entry.caller_http import MIN_STALL_TIMEOUT_S, CallerConnection
from celeryfork_entry.configuration import CallerLimits

LIMITS = CallerLimits(
    header_bytes=1000, body_bytes=500, header_timeout_s=0.3, idle_timeout_s=0.2
)
GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
UNREAD_ERRORS = {errno.ECONNRESET, errno.EPIPE}
"""Errors of a socket whose peer has closed it without reading all bytes."""


class Server:
    """Answers requests; one for ``/stream`` gets an answer that ends with ``end``."""

    def __init__(self):
        self.limits = LIMITS
        self.stopping = False
        self.targets = []
        self.begun = asyncio.Event()
        self.end = asyncio.Event()
        self.connection = None
        self.body = None
        self.chunks = []

    async def handle(self, connection, request):
        self.targets.append(request.target)
        if request.target != "/stream":
            if self.body:
                sock = connection.stream.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
                self.begun.set()
            await connection.answer(200, [], self.body or request.body)
            return
        await connection.begin_stream(200, [], b"first")
        self.begun.set()
        await self.end.wait()
        for chunk in self.chunks:
            await connection.send_chunk(chunk)
        await connection.end_stream()

    def _make(self):
        stream = ByteStream()

        def begin():
            self.connection = CallerConnection(
                stream, lambda: self.limits, self.handle, lambda: self.stopping
            )
            self.task = asyncio.ensure_future(self.connection.serve())

        asyncio.get_running_loop().call_soon(begin)
        return stream

    @contextlib.asynccontextmanager
    async def caller(self):
        """Return a caller with an open connection."""
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(self._make, "127.0.0.1", 0)
        with socket.create_connection(listening.sockets[0].getsockname()) as sock:
            sock.setblocking(False)
            yield Caller(sock)
        listening.close()


class Caller:
    def __init__(self, sock):
        self.sock = sock

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def receive(self, end=b"", within_s=2.0):
        """Return the bytes received up to ``end``, or to the end of the connection."""
        received = b""
        async with asyncio.timeout(within_s):
            while not (end and received.endswith(end)):
                data = await asyncio.get_running_loop().sock_recv(self.sock, 65_536)
                if not data:
                    break
                received += data
        return received

    async def error(self, within_s=0.3):
        """Return the error of the socket, 0 if it has none in time."""
        until_s = time.monotonic() + within_s
        while time.monotonic() < until_s:
            if error := self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return error
            await asyncio.sleep(0.01)
        return 0


def run(scenario, within_s=8.0):
    async def within_time():
        server = Server()
        async with asyncio.timeout(within_s), server.caller() as caller:
            await scenario(server, caller)

    asyncio.run(within_time())


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_read():
    """It was read for half a second, discarded and never answered."""

    async def scenario(server, caller):
        assert await caller.receive() == b""
        await caller.send(GET)
        assert await caller.error() in UNREAD_ERRORS
        assert server.targets == []

    run(scenario)


def test_a_request_that_arrives_as_the_idle_timeout_expires_is_answered():
    """Its bytes were received, and the connection closed in the same loop iteration."""

    async def scenario(server, caller):
        await caller.send(GET)
        await caller.receive(b"\r\n\r\n")
        # The iteration after this pause has both the bytes and the expired timeout.
        caller.sock.send(GET)
        time.sleep(LIMITS.idle_timeout_s + 0.05)
        assert b" 200 " in await caller.receive(b"\r\n\r\n")

    run(scenario)


def test_a_large_request_that_arrives_as_the_idle_timeout_expires_is_answered():
    """Its connection waited for it for good, and took a turn of each loop iteration.

    Reading more than 64 KiB yields to other tasks, and the timeout had expired already.
    """

    async def scenario(server, caller):
        server.limits = evolve(LIMITS, body_bytes=200_000)
        await caller.send(GET)
        await caller.receive(b"\r\n\r\n")
        body = b"b" * 150_000
        head = f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        caller.sock.send(head.encode() + body)
        time.sleep(LIMITS.idle_timeout_s + 0.05)
        answer = await caller.receive(body)
        assert answer.startswith(b"HTTP/1.1 200 ")

    run(scenario)


def test_the_rest_of_a_body_that_arrives_as_the_timeout_expires_is_read():
    """The request was refused with 408 although it was complete."""

    async def scenario(server, caller):
        await caller.send(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na")
        await asyncio.sleep(0.05)
        caller.sock.send(b"bc")
        time.sleep(LIMITS.idle_timeout_s + 0.05)
        assert (await caller.receive(b"abc")).startswith(b"HTTP/1.1 200 ")

    run(scenario)


def test_a_raised_idle_timeout_holds_for_connections_that_are_idle_already():
    """They were closed after the old one, though callers go by the one in force."""

    async def scenario(server, caller):
        await caller.send(GET)
        await caller.receive(b"\r\n\r\n")
        server.limits = evolve(LIMITS, idle_timeout_s=1.0)
        await asyncio.sleep(0.8)
        await caller.send(GET)
        assert b" 200 " in await caller.receive(b"\r\n\r\n")
        begun_s = time.monotonic()
        assert await caller.receive() == b""
        assert 0.9 < time.monotonic() - begun_s < 1.3

    run(scenario)


@pytest.mark.parametrize(
    ("before_s", "after_s"), [(1.0, 0.01), (0.2, 1.0)], ids=["lowered", "raised"]
)
def test_a_body_may_pause_as_long_as_either_idle_timeout_allows(before_s, after_s):
    """Its request was refused with 408 within the limit in force."""

    async def scenario(server, caller):
        server.limits = evolve(LIMITS, idle_timeout_s=before_s)
        await caller.send(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na")
        await asyncio.sleep(0.05)
        server.limits = evolve(LIMITS, idle_timeout_s=after_s)
        await asyncio.sleep(0.3)
        await caller.send(b"bc")
        assert (await caller.receive(b"abc")).startswith(b"HTTP/1.1 200 ")

    run(scenario)


@pytest.mark.parametrize(
    ("before_s", "after_s"), [(1.0, 0.01), (0.2, 1.0)], ids=["lowered", "raised"]
)
def test_a_head_may_take_as_long_as_either_header_timeout_allows(before_s, after_s):
    """Its request was refused with 408 at its next bytes."""

    async def scenario(server, caller):
        server.limits = evolve(LIMITS, header_timeout_s=before_s)
        await caller.send(GET[:5])
        await asyncio.sleep(0.05)
        server.limits = evolve(LIMITS, header_timeout_s=after_s)
        await caller.send(GET[5:10])
        await asyncio.sleep(0.3)
        await caller.send(GET[10:])
        answer = await caller.receive(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200 ")

    run(scenario)


@pytest.mark.parametrize(
    ("request_bytes", "end"),
    [
        (
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n" + b"b" * 900,
            b"b" * 900,
        ),
        (
            b"GET /a HTTP/1.1\r\nHost: x\r\nLong: " + b"y" * 7_000 + b"\r\n\r\n",
            b"\r\n\r\n",
        ),
    ],
    ids=["body", "headers"],
)
def test_raised_size_limits_hold_for_connections_that_are_idle_already(
    request_bytes, end
):
    """A request within the limits in force was refused by those of its connection."""

    async def scenario(server, caller):
        await caller.send(GET)
        await caller.receive(b"\r\n\r\n")
        server.limits = evolve(LIMITS, body_bytes=1_000, header_bytes=8_000)
        await caller.send(request_bytes[:6_000])
        await asyncio.sleep(0.05)
        await caller.send(request_bytes[6_000:])
        assert (await caller.receive(end)).startswith(b"HTTP/1.1 200 ")

    run(scenario)


def test_a_planned_stop_waits_for_a_request_that_is_being_received():
    """Its connection counted as idle and was closed."""

    async def scenario(server, caller):
        await caller.send(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na")
        await asyncio.sleep(0.05)
        server.stopping = True
        server.connection.close_when_idle()
        assert server.connection.busy
        await caller.send(b"bc")
        answer = await caller.receive()
        assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"abc")
        assert b"connection: close" in answer.lower()

    run(scenario)


def test_a_request_after_an_answer_that_did_not_announce_the_close_is_not_discarded():
    """At a planned stop it was read for half a second, discarded and never answered.

    The answer had begun before the stop, so that it could not announce the close.
    """

    async def scenario(server, caller):
        await caller.send(b"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
        await server.begun.wait()
        server.stopping = True
        server.connection.close_when_idle()
        server.end.set()
        assert b"connection: close" not in (await caller.receive()).lower()
        await caller.send(GET)
        assert await caller.error() in UNREAD_ERRORS
        assert server.targets == ["/stream"]

    run(scenario)


def test_a_request_received_before_the_end_of_such_an_answer_is_answered():
    async def scenario(server, caller):
        await caller.send(b"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
        await server.begun.wait()
        server.stopping = True
        server.connection.close_when_idle()
        await caller.send(GET)
        await asyncio.sleep(0.05)
        server.end.set()
        answer = await caller.receive()
        assert answer.count(b"HTTP/1.1 200 ") == 2
        assert b"connection: close" in answer.lower()
        assert server.targets == ["/stream", "/a"]

    run(scenario)


def test_an_answer_that_announces_the_close_survives_bytes_sent_after_it():
    """Closing with unread bytes sends a reset, which discards the answer."""

    async def scenario(server, caller):
        server.stopping = True
        await caller.send(GET)
        await caller.send(GET)
        await asyncio.sleep(0.05)
        await caller.send(GET)
        answer = await caller.receive()
        assert answer.count(b"HTTP/1.1 200 ") == 1

    run(scenario)


def test_a_connection_counts_as_busy_until_its_answer_is_sent():
    """At the end of a planned stop the rest of an answer was lost with the process.

    The caller reads slowly, so that bytes are left that the kernel hasn't taken.
    """

    async def scenario(server, caller):
        loop = asyncio.get_running_loop()
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        server.body = b"x" * 300_000
        server.stopping = True
        await caller.send(GET)
        await server.begun.wait()
        received = bytearray()
        while len(received) < len(server.body):
            received += await loop.sock_recv(caller.sock, 5_000)
            if server.connection.stream.transport.get_write_buffer_size():
                assert server.connection.busy and not server.task.done()

    run(scenario)


@pytest.mark.parametrize("size", [200_000, 60_000], ids=["blocked", "buffered"])
def test_a_caller_that_reads_within_the_idle_timeout_gets_its_whole_answer(size):
    """The kernel broke its connection 2.5 s after it had no more memory (issue 42).

    TCP_USER_TIMEOUT counts bytes that a responding peer has no memory for.
    """

    async def scenario(server, caller):
        loop = asyncio.get_running_loop()
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        server.limits = evolve(LIMITS, idle_timeout_s=30.0)
        server.body = b"x" * size
        await caller.send(GET)
        await server.begun.wait()
        await asyncio.sleep(UNACKNOWLEDGED_TIMEOUT_MS / 1000 + 0.8)
        received = bytearray()
        while not received.endswith(server.body):
            data = await loop.sock_recv(caller.sock, 65_536)
            assert data, f"closed after {len(received)} bytes"
            received += data

    run(scenario, within_s=20.0)


def test_a_lowered_idle_timeout_does_not_cut_an_answer_that_has_begun():
    """Its caller paused for less than the limit at the begin of its request allowed."""

    async def scenario(server, caller):
        loop = asyncio.get_running_loop()
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        server.limits = evolve(LIMITS, idle_timeout_s=30.0)
        server.chunks = [b"x" * 4_000_000, b"y"]
        await caller.send(b"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
        await server.begun.wait()
        server.limits = evolve(LIMITS, idle_timeout_s=0.01)
        server.end.set()
        await asyncio.sleep(MIN_STALL_TIMEOUT_S + 0.4)
        received = bytearray()
        while not received.endswith(b"0\r\n\r\n"):
            data = await loop.sock_recv(caller.sock, 65_536)
            assert data, f"closed after {len(received)} bytes"
            received += data

    run(scenario, within_s=20.0)


@pytest.mark.parametrize("pipelined", [False, True])
def test_a_caller_that_is_gone_is_found_as_soon_while_its_next_request_runs(pipelined):
    """Its target would work on for as long as an earlier answer was allowed to wait."""

    async def scenario(server, caller):
        server.limits = evolve(LIMITS, idle_timeout_s=6.0)
        following = GET.replace(b"/a", b"/stream")
        await caller.send(GET + following * pipelined)
        if not pipelined:
            await caller.receive(b"\r\n\r\n")
            await caller.send(following)
        await server.begun.wait()
        sock = server.connection.stream.transport.get_extra_info("socket")
        timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert timeout_ms == UNACKNOWLEDGED_TIMEOUT_MS

    run(scenario)
