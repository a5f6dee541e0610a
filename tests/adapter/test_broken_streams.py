"""Streams that break off, and what the next engine answers, over real sockets.

The first engine sends some events and breaks off; the second one answers as its script
says. The caller must get the next event in order or nothing, and a stream without its
last event must not look complete: the end of its chunks is missing then.
"""

import asyncio
import socket
import struct

import pytest
from attrs import evolve
from celeryfork_adapter.dialect import PlatformDialect
from celeryfork_base.errors import RequestRefusedError
from celeryfork_entry.byte_stream import ByteStream
from celeryfork_entry.caller_http import CallerConnection
from celeryfork_entry.configuration import CallerLimits
from celeryfork_entry.target_http import TargetConnections
from celeryfork_entry.targets import Listed
from logbook import Logger
from stream_trial import Trial

pytestmark = pytest.mark.usefixtures("each_service")
LAST = 6
"""Number of the last event of each answer."""
LIMITS = CallerLimits(65_536, 1 << 20, 5.0, 15.0)
CHUNKS_END = b"0\r\n\r\n"
EVENT_STREAM = "text/event-stream"
ERROR_TEXT = b"the engine failed"
ERROR_HEAD = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 17\r\nX-Server-Stamp: s2\r\n\r\n"
)


def events(first, last):
    return b"".join(
        b"id: %d\ndata: part %d\n\n" % (n, n) for n in range(first, last + 1)
    )


def head(status=200, content_type=EVENT_STREAM, length=None):
    framing = "Transfer-Encoding: chunked"
    if length is not None:
        framing = f"Content-Length: {length}"
    return (
        f"HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\n{framing}\r\n"
        "X-Attempt-Id: r1\r\nX-Server-Stamp: s1\r\n\r\n"
    ).encode()


def chunks(*pieces, end=True):
    encoded = b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in pieces if each)
    return encoded + (CHUNKS_END if end else b"")


def whole(status, content_type, body):
    return head(status, content_type, len(body)) + body


def open_ended(body):
    """Return a reply without a length, which ends with its connection."""
    return (
        b"HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n"
        b"X-Attempt-Id: r1\r\nX-Server-Stamp: s1\r\n\r\n" + body
    )


class SocketEngine:
    """Sends the next byte string of its script for each request, then closes or resets.

    Once the script has ended, it continues each stream up to its last event.
    """

    def __init__(self, *script, resets=False):
        self.script = list(script)
        self.resets = resets
        self.requests = []

    async def serve(self, reader, writer):
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            self.requests.append(request.lower())
            writer.write(self.script.pop(0) if self.script else self._rest(request))
            await writer.drain()
            await asyncio.sleep(0.01)
            if self.resets:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _rest(self, request):
        after = 0
        for line in request.lower().split(b"\r\n"):
            if line.startswith(b"last-event-id: "):
                after = int(line[15:])
        return head() + chunks(events(after + 1, LAST))


class SocketTrial(Trial):
    """An instance whose engines and caller are real connections."""

    def __init__(self):
        super().__init__(max_targets=3)
        self.context.connections = TargetConnections()
        self.context.dialect = PlatformDialect(Logger("test"))

    async def listen(self, engine_id, engine, domain):
        server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        known = self.add(engine_id, domain=domain)
        del self.engines[known.target.address]
        known.target = evolve(known.target, address=address, entry_number=1)
        self.engines[address] = known
        self.table.apply([Listed(known.target)])
        return server

    async def answer(self, connection, request):
        """Serve a stream of the trial's service."""
        call = self.call(connection, "r1", 20.0)
        call.request = request
        try:
            await self.serve_call(call)
        except RequestRefusedError as error:
            await connection.answer(error.status, (), b"refused")

    async def ask(self):
        """Return the status line and all bytes after the head of the answer."""
        loop, tasks = asyncio.get_running_loop(), []

        def accept():
            stream = ByteStream()
            connection = CallerConnection(
                stream, lambda: LIMITS, self.answer, lambda: False
            )
            loop.call_soon(lambda: tasks.append(loop.create_task(connection.serve())))
            return stream

        server = await loop.create_server(accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            b"POST /advice/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
            b"Connection: close\r\nContent-Length: 0\r\n\r\n"
        )
        received = b""
        try:
            while data := await reader.read(1 << 16):
                received += data
        except ConnectionError:
            pass
        writer.close()
        await asyncio.gather(*tasks)
        server.close()
        head, _, rest = received.partition(b"\r\n\r\n")
        return head.split(b"\r\n")[0], rest


def decode_chunks(encoded):
    """Return the body, and True if the end of its chunks is there."""
    body = b""
    while encoded:
        size, _, encoded = encoded.partition(b"\r\n")
        if size == b"0":
            return body, True
        body += encoded[: int(size, 16)]
        encoded = encoded[int(size, 16) + 2 :]
    return body, False


def stream_over(first, second, *others):
    """Return the body and if it looks complete; the first engine has the first path."""

    async def run():
        trial = SocketTrial()
        servers = [await trial.listen("e1", first, "a")]
        for number, engine in enumerate((second, *others), 2):
            servers.append(await trial.listen(f"e{number}", engine, "b"))
        status, rest = await trial.ask()
        for server in servers:
            server.close()
        assert status == b"HTTP/1.1 200 "
        return decode_chunks(rest)

    return asyncio.run(asyncio.wait_for(run(), 15.0))


def begun(*later, resets=False):
    """Return an engine that sends three events and then breaks off."""
    first = head() + chunks(events(1, 3), end=False)
    return SocketEngine(first, *later, resets=resets)


def assert_in_order(body, complete):
    """Assert that the caller got a beginning of the answer, and all if it ended."""
    assert events(1, LAST).startswith(body)
    assert b"id: 3" in body
    assert complete == (body == events(1, LAST))


ANSWERS = {
    "error-500": whole(500, "text/plain", ERROR_TEXT),
    "error-500-with-events": whole(500, EVENT_STREAM, events(4, 5)),
    "error-503": whole(503, "text/plain", ERROR_TEXT),
    "error-chunked": head(500, "text/plain") + chunks(ERROR_TEXT),
    "error-after-interim": b"HTTP/1.1 100 Continue\r\n\r\n"
    + whole(500, "text/plain", ERROR_TEXT),
    "error-of-200": whole(200, "text/plain", ERROR_TEXT),
    "error-of-200-with-blank-line": whole(200, "text/plain", ERROR_TEXT + b"\n\n"),
    "error-of-200-as-events": whole(200, EVENT_STREAM, ERROR_TEXT + b"\n\n"),
    "json-of-200": whole(200, "application/json", b'{"error": "x"}\n\n'),
    "empty-200-of-another-type": whole(200, "text/plain", b""),
    "success-201": whole(201, EVENT_STREAM, events(4, 5)),
    "no-content-204": b"HTTP/1.1 204 X\r\nX-Attempt-Id: r1\r\n\r\n",
    "error-event": whole(200, EVENT_STREAM, b"event: error\ndata: failed\n\n"),
    "event-without-id": head() + chunks(b"data: part 4\n\n", events(5, LAST)),
    "ids-jump": head() + chunks(events(4, 4) + events(6, 6)),
    "ids-jump-at-once": head() + chunks(events(5, LAST)),
    "ids-go-back": head() + chunks(events(4, 5) + events(2, 3), end=False),
    "head-in-a-chunk": head() + chunks(events(4, 4), ERROR_HEAD, ERROR_TEXT),
    "head-instead-of-a-chunk": head()
    + chunks(events(4, 4), end=False)
    + ERROR_HEAD
    + ERROR_TEXT,
    "head-in-a-body-without-length": open_ended(events(4, 4) + ERROR_HEAD + ERROR_TEXT),
    "head-as-whole-body": open_ended(ERROR_HEAD),
    "two-answers-in-one-read": whole(200, EVENT_STREAM, events(4, 5))[:-5]
    + ERROR_HEAD
    + ERROR_TEXT,
    "half-an-event": head() + chunks(events(4, 4) + b"id: 5\ndata: par", end=False),
    "another-requests-error": whole(500, "text/plain", ERROR_TEXT).replace(
        b"r1", b"r0"
    ),
}


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_an_error_after_a_break_does_not_get_into_the_stream(answer):
    """Callers found an error's text, or its head, in the middle of their stream.

    The third engine continues the stream, unless the second one has ended it.
    """
    body, complete = stream_over(begun(), SocketEngine(answer), SocketEngine())
    assert_in_order(body, complete)
    assert complete


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_a_stream_that_only_errors_follow_does_not_look_complete(answer):
    """It ended as if it were complete, or with the text of the error."""
    answers = [answer] * 20
    first, second = begun(*answers, resets=True), SocketEngine(*answers)
    body, complete = stream_over(first, second)
    assert_in_order(body, complete)
    assert not complete


HEAD_ANSWERS = {
    "chunk": head() + chunks(events(1, 3), ERROR_HEAD, ERROR_TEXT),
    "one-chunk": head() + chunks(events(1, 3) + ERROR_HEAD),
    "no-length": open_ended(events(1, 3) + ERROR_HEAD),
}


@pytest.mark.parametrize("answer", HEAD_ANSWERS.values(), ids=HEAD_ANSWERS)
def test_an_error_head_after_the_first_events_is_not_forwarded(answer):
    """The engine that began the stream failed, and wrote an error as its next part."""
    body, complete = stream_over(SocketEngine(answer), SocketEngine())
    assert_in_order(body, complete)
    assert complete


def test_events_before_a_wrong_one_are_not_lost():
    """All of one read were dropped, but counted as those that the caller has."""
    first = SocketEngine(head() + chunks(events(1, 3) + events(5, 5)))
    second = SocketEngine()
    body, complete = stream_over(first, second)
    assert (body, complete) == (events(1, LAST), True)
    assert b"last-event-id: 3" in second.requests[0]


def test_a_continuation_may_name_its_character_set():
    rest = head(content_type="Text/Event-Stream; charset=utf-8")
    first, second = begun(), SocketEngine(rest + chunks(events(4, LAST)))
    assert stream_over(first, second) == (events(1, LAST), True)
    assert (len(first.requests), len(second.requests)) == (1, 1)


def test_an_empty_continuation_ends_a_stream():
    """The first engine broke off after its last event: nothing is left to send."""
    first = SocketEngine(head() + chunks(events(1, LAST), end=False))
    second = SocketEngine(head() + CHUNKS_END)
    assert stream_over(first, second) == (events(1, LAST), True)


@pytest.mark.parametrize(
    "begin", [b"data: part 1\n\n", events(1, 2) + b"data: part 3\n\n"]
)
def test_a_stream_whose_events_have_no_numbers_is_not_continued(begin):
    """Its caller got the same part twice: no engine can be told where to go on."""
    first = SocketEngine(head() + chunks(begin, end=False))
    second = SocketEngine()
    assert stream_over(first, second) == (begin, False)
    assert not second.requests
