"""Framing and limits of callers' connections, and protection from request smuggling."""

import asyncio
import re
import socket

import pytest
from celeryfork_entry.byte_stream import ByteStream
from celeryfork_entry.caller_http import CallerConnection
from celeryfork_entry.configuration import CallerLimits

LIMITS = CallerLimits(
    header_bytes=1000, body_bytes=500, header_timeout_s=0.3, idle_timeout_s=0.5
)
GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class Server:
    """Answers requests with their target and body, after ``hold`` if it is given.

    Parameters
    ----------
    answer
        Status, headers and body of the answers, None for those above.
    """

    def __init__(self, answer=None):
        self.answer = answer
        self.seen = []
        self.cancelled = 0
        self.hold = None

    async def handle(self, connection, request):
        self.seen.append(request)
        if self.hold is not None:
            try:
                await self.hold.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        body = request.target.encode() + request.body
        await connection.answer(*(self.answer or (200, [], body)))

    def make(self):
        stream = ByteStream()

        def begin():
            connection = CallerConnection(
                stream, lambda: LIMITS, self.handle, lambda: False
            )
            self.task = asyncio.ensure_future(connection.serve())

        asyncio.get_running_loop().call_soon(begin)
        return stream


def exchange(sent, *, pause_s=0.0, wait_s=2.0, answer=None):
    """Send bytes; return the requests that the server parsed and all bytes it sent."""

    async def run():
        server = Server(answer)
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(server.make, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for piece in sent if isinstance(sent, list) else [sent]:
            writer.write(piece)
            await asyncio.sleep(pause_s)
        try:
            received = await asyncio.wait_for(reader.read(-1), wait_s)
        finally:
            writer.close()
            listening.close()
        return server.seen, received

    return asyncio.run(run())


def statuses(answer):
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+) ", answer)]


def test_pipelined_requests_are_answered_in_order():
    seen, answer = exchange(GET + GET.replace(b"/a", b"/b"))
    assert [request.target for request in seen] == ["/a", "/b"]
    assert statuses(answer) == [200, 200]
    assert answer.index(b"/a") < answer.index(b"/b")


def two_answers(method, status, body):
    """Return the bytes of two answers on one connection, as a list."""
    request = GET.replace(b"GET", method)
    seen, received = exchange(request * 2, answer=(status, [("X-A", "1")], body))
    assert len(seen) == 2
    assert statuses(received) == [status, status]
    half = len(received) // 2
    assert received[:half] == received[half:]
    return received[:half]


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize("body", [b"", b"whole"])
def test_an_answer_whose_status_has_no_body_has_no_framing(body, status, method):
    answer = two_answers(method, status, body)
    assert answer == b"HTTP/1.1 %d \r\nX-A: 1\r\n\r\n" % status


@pytest.mark.parametrize("status", [200, 205, 206, 299, 404, 418, 599])
@pytest.mark.parametrize("body", [b"", b"whole"])
def test_an_answer_with_another_status_names_its_length(body, status):
    head, _, received = two_answers(b"GET", status, body).partition(b"\r\n\r\n")
    assert head.endswith(b"Content-Length: %d" % len(body))
    assert received == body


@pytest.mark.parametrize("status", [200, 206, 299, 404])
def test_an_answer_to_head_names_no_length_that_get_would_not_have(status):
    """Answers of targets to HEAD, which have no body, named a length of 0."""
    answer = two_answers(b"HEAD", status, b"")
    assert b"Content-Length" not in answer
    assert answer.endswith(b"\r\n\r\n")


def test_an_answer_to_head_with_a_known_body_names_its_length():
    answer = two_answers(b"HEAD", 404, b"whole")
    assert answer.endswith(b"Content-Length: 5\r\n\r\n")


def test_a_request_may_arrive_byte_by_byte():
    seen, answer = exchange([bytes([byte]) for byte in GET])
    assert len(seen) == 1
    assert statuses(answer) == [200]


def test_a_chunked_body_is_joined():
    sent = (
        b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    seen, _ = exchange(sent)
    assert seen[0].body == b"abcde"


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nBad Name: y\r\n\r\n", 400),
        (
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            400,
        ),
        (b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n", 400),
        (
            b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
            501,
        ),
        (b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 501\r\n\r\n", 413),
        (
            b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1f5\r\n" + b"x" * 501 + b"\r\n0\r\n\r\n",
            413,
        ),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nLong: " + b"y" * 1000 + b"\r\n\r\n", 431),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nLong: " + b"y" * 9000, 431),
    ],
)
def test_invalid_requests_are_rejected_immediately(sent, status):
    seen, answer = exchange(sent, wait_s=0.9)
    assert statuses(answer) == [status]
    assert seen == []
    assert b"connection: close" in answer.lower()


def test_bytes_after_an_invalid_request_are_not_parsed():
    faulty = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5, 6\r\n\r\n"
    seen, answer = exchange(faulty + GET + GET)
    assert statuses(answer) == [400]
    assert seen == []


def test_an_incomplete_head_times_out():
    _, answer = exchange([b"GET /a HTTP/1.1\r\n"], wait_s=1.5)
    assert statuses(answer) == [408]


def test_an_idle_connection_is_closed_without_an_answer():
    _, answer = exchange(b"", wait_s=1.5)
    assert answer == b""


def test_an_incomplete_body_times_out():
    sent = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc"
    seen, answer = exchange(sent, wait_s=2)
    assert statuses(answer) == [408]
    assert seen == []


def test_handling_is_cancelled_when_the_caller_disconnects():
    async def run():
        server = Server()
        server.hold = asyncio.Event()
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(server.make, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET)
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.2)
        listening.close()
        return server.cancelled

    assert asyncio.run(run()) == 1


@pytest.mark.parametrize("streamed", [False, True])
def test_a_caller_that_does_not_read_its_answer_is_left(streamed):
    """Its answer and its connection were kept for as long as it liked."""

    class LongAnswers(Server):
        async def handle(self, connection, request):
            body = b"x" * (32 << 20)
            if not streamed:
                await connection.answer(200, [], body)
                return
            await connection.begin_stream(200, [], b"first")
            await connection.send_chunk(body)
            await connection.end_stream()

    async def run():
        server = LongAnswers()
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(server.make, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(GET)
            await asyncio.sleep(0.1)
            await asyncio.wait_for(server.task, 4 * LIMITS.idle_timeout_s)
        listening.close()

    asyncio.run(run())


def test_a_caller_that_reads_slowly_gets_its_whole_answer():
    """A limit for the whole answer would cut off callers on slow links."""
    size = 8 << 20

    class LongAnswers(Server):
        async def handle(self, connection, request):
            await connection.answer(200, [("Connection", "close")], b"x" * size)

    async def run():
        server = LongAnswers()
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(server.make, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET)
        received, begun_s = 0, loop.time()
        while data := await reader.read(256 << 10):
            received += len(data)
            await asyncio.sleep(0.04)
        writer.close()
        listening.close()
        assert loop.time() - begun_s > 2 * LIMITS.idle_timeout_s
        return received

    assert asyncio.run(run()) > size


def test_a_body_of_one_byte_chunks_blocks_no_other_request():
    """Thousands of chunks of one read were parsed without a turn for other tasks."""
    body = b"".join([b"1\r\nx\r\n"] * 500)
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    stream = ByteStream()
    connection = CallerConnection(stream, lambda: LIMITS, None, lambda: False)
    stream.data_received(head + body)
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            await asyncio.sleep(0)
            turns += 1

    async def run():
        counting = asyncio.ensure_future(count_turns())
        stream.data_received(b"0\r\n\r\n")
        request = await connection._next_request()
        counting.cancel()
        return request

    assert asyncio.run(run()).body == b"x" * 500
    assert turns >= 5
