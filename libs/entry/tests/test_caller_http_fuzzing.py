"""Fuzzing of callers' connections: any bytes lead to answers and a close."""

import asyncio
import re

import pytest
from celeryfork_entry.byte_stream import MAX_UNREAD_BYTES, ByteStream
from celeryfork_entry.caller_http import HEAD_PARSE_MARGIN_BYTES, CallerConnection
from celeryfork_entry.configuration import CallerLimits
from fuzzing import examples, pieces, repeated
from hypothesis import given
from hypothesis import strategies as st
from skipping_loop import Pipe, run_skipping

LIMITS = CallerLimits(
    header_bytes=1000, body_bytes=500, header_timeout_s=0.3, idle_timeout_s=0.5
)
MAX_PIECE_BYTES = 4096
MAX_HELD_BYTES = (
    2 * (LIMITS.header_bytes + HEAD_PARSE_MARGIN_BYTES)
    + LIMITS.body_bytes
    + MAX_PIECE_BYTES
)
"""Maximum of buffered bytes of an endless request: the head, a further part in h11's
buffer, the body and one read."""
MAX_PIECES = 5_000
"""More chunks than a caller can send before it is cut off."""
GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
LONG_GET = GET.replace(b"/a", b"/" + b"a" * 900)
STATUS = re.compile(rb"HTTP/1\.1 (\d+) ")

LINES = st.sampled_from(
    [b"Host: x", b"Host: y", b"Content-Length: 3", b"Content-Length: 0",
     b"Content-Length: 501", b"Content-Length: 5, 5", b"Content-Length: +3",
     b"Content-Length: " + b"9" * 30, b"Transfer-Encoding: chunked",
     b"Transfer-Encoding: gzip, chunked", b"Transfer-Encoding:\tChunked",
     b"Connection: close", b"Connection: keep-alive, x-a", b"Connection: upgrade",
     b"Upgrade: h2c", b"Expect: 100-continue", b"X-A: \xe9\xff", b"X-A:", b": x",
     b"X A: y", b" folded", b"X-A: a\x00b", b"X-A: a\rb", b"X-Long: " + b"y" * 1200]
)  # fmt: skip
FIRST_LINES = st.sampled_from(
    [b"GET /a HTTP/1.1", b"POST /a HTTP/1.1", b"HEAD /a HTTP/1.1", b"GET /a HTTP/1.0",
     b"GET /a HTTP/0.9", b"GET /a HTTP/2.0", b"OPTIONS * HTTP/1.1",
     b"CONNECT x:80 HTTP/1.1", b"GET  /a HTTP/1.1", b"GET /\xe9 HTTP/1.1",
     b"GET /a b HTTP/1.1", b"GET http://x/a HTTP/1.1", b"PRI * HTTP/2.0", b"GET /a",
     b"", b"\x16\x03\x01\x02\x00", b"GET /" + b"a" * 900 + b" HTTP/1.1"]
)  # fmt: skip
BODIES = st.sampled_from(
    [b"", b"abc", b"abcde", b"3\r\nabc\r\n0\r\n\r\n", b"0\r\n\r\n", b"1f5\r\n",
     b"3\r\nabcd\r\n", b"-1\r\n", b"g\r\n", b"3;x=y\r\nabc\r\n0\r\nX-T: 1\r\n\r\n",
     b"f" * 25 + b"\r\n", b"0\r\n" + b"X-T: 1\r\n" * 9, b"z" * 600,
     b"1f5\r\n" + b"z" * 501 + b"\r\n0\r\n\r\n"]
) | st.binary(max_size=8)  # fmt: skip
LINE_ENDS = st.sampled_from([b"\r\n", b"\r\n", b"\n", b"\r"])


@st.composite
def requests(draw):
    end = draw(LINE_ENDS)
    lines = [draw(FIRST_LINES), *draw(st.lists(LINES, max_size=4))]
    host = [b"Host: x"] if draw(st.booleans()) else []
    return end.join([lines[0], *host, *lines[1:]]) + end + end + draw(BODIES)


SENT = st.lists(requests() | st.just(GET) | st.binary(max_size=20), max_size=4)


class EchoConnection:
    """A caller's connection on which each request is answered with its body."""

    def __init__(self, first_delay_s=0.0):
        self.requests = []
        self.first_delay_s = first_delay_s
        self.stream = ByteStream()
        self.pipe = Pipe(self.stream)
        self.stream.connection_made(self.pipe)
        self.connection = CallerConnection(
            self.stream, lambda: LIMITS, self.handle, lambda: False
        )
        self.max_held = 0

    async def handle(self, connection, request):
        self.requests.append(request)
        takes_s, self.first_delay_s = self.first_delay_s, 0.0
        await asyncio.sleep(takes_s)
        await connection.answer(200, [], request.body)

    def note_held(self):
        held = self.stream.unread + len(self.connection.http.trailing_data[0])
        self.max_held = max(self.max_held, held)

    async def serve(self, data_in_pieces, *, left=False):
        """Serve a caller that sends chunks, then closes the connection or waits."""

        async def send():
            for piece in data_in_pieces:
                if not await self.pipe.feed(piece):
                    return
                self.note_held()
            if left:
                self.pipe.end()

        sending = asyncio.ensure_future(send())
        try:
            await self.connection.serve()
        finally:
            sending.cancel()
            await asyncio.sleep(0)


def serve(data_in_pieces, *, left=False, first_delay_s=0.0):
    async def run():
        answering = EchoConnection(first_delay_s)
        await answering.serve(data_in_pieces, left=left)
        return answering

    return run_skipping(run())


def assert_answered(answering):
    """Check that each request has at most one answer, plus at most one refusal."""
    statuses = [int(status) for status in STATUS.findall(answering.pipe.written)]
    finals = [status for status in statuses if status >= 200]
    refusals = [status for status in finals if status != 200]
    assert len(finals) - len(refusals) <= len(answering.requests)
    assert len(refusals) <= 1
    assert all(status in {400, 408, 413, 431, 501} for status in refusals)
    assert answering.pipe.is_closing()
    for request in answering.requests:
        assert len(request.body) <= LIMITS.body_bytes


@examples(400)
@given(data=st.data(), sent=SENT, left=st.booleans())
def test_any_bytes_of_a_caller_lead_to_answers_and_a_close(data, sent, left):
    cut = data.draw(pieces(b"".join(sent)))
    assert_answered(serve(cut, left=left))


@examples(150)
@given(data=st.data(), sent=SENT)
def test_requests_do_not_depend_on_how_bytes_are_cut(data, sent):
    """Otherwise part of one request might be parsed as another (smuggling)."""
    whole = b"".join(sent)
    at_once = serve([whole])
    cut = serve(data.draw(pieces(whole)))
    assert [(r.method, r.target, r.headers, r.body) for r in cut.requests] == [
        (r.method, r.target, r.headers, r.body) for r in at_once.requests
    ]


HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "nothing": (b"", b"x"),
    "target": (b"GET /", b"a"),
    "headers": (HEAD, b"X-Filler: y\r\n"),
    "one-header": (HEAD + b"X-Filler: ", b"y"),
    "empty-lines": (b"", b"\r\n"),
    "declared": (HEAD + b"Content-Length: 500\r\n\r\n", b"z"),
    "chunks": (CHUNKED, b"2\r\nzz\r\n"),
    "chunk-size": (CHUNKED, b"0"),
    "chunk-extension": (CHUNKED + b"1;", b"e"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Filler: y\r\n"),
    "one-trailer": (CHUNKED + b"0\r\nX-Filler: ", b"y"),
    "null-bytes": (b"", b"\x00"),
}


@pytest.mark.parametrize(("begin", "part"), ENDLESS.values(), ids=ENDLESS)
@pytest.mark.parametrize("piece_bytes", [100, MAX_PIECE_BYTES])
def test_an_endless_request_is_rejected_within_the_memory_limit(
    begin, part, piece_bytes
):
    piece = repeated(part, piece_bytes)
    answering = serve([begin] + [piece] * MAX_PIECES)
    assert_answered(answering)
    assert answering.pipe.written
    assert answering.pipe.taken_before_writing <= MAX_HELD_BYTES
    assert answering.max_held <= MAX_HELD_BYTES


@examples(60)
@given(begin=requests(), part=st.binary(min_size=1, max_size=30))
def test_any_repeated_bytes_stay_within_the_memory_limit(begin, part):
    piece = repeated(part, MAX_PIECE_BYTES)
    answering = serve([begin, *[piece] * 64])
    assert answering.max_held <= MAX_HELD_BYTES
    assert_answered(answering)


@pytest.mark.parametrize("part", [LONG_GET, b"x"], ids=["requests", "nothing"])
def test_bytes_sent_during_an_answer_stay_within_the_memory_limit(part):
    piece = repeated(part, MAX_PIECE_BYTES)
    answering = serve([GET] + [piece] * 700, first_delay_s=10.0)
    # One full buffer is read at once and parsed, while the next one fills.
    most = 2 * (MAX_UNREAD_BYTES + MAX_PIECE_BYTES)
    assert MAX_PIECE_BYTES < answering.max_held <= most
    assert_answered(answering)


@pytest.mark.parametrize(
    "line",
    [b"X-Long: " + b"y" * 1200, b"Content-Length: 501"],
    ids=["long-head", "long-body"],
)
def test_an_invalid_head_request_is_answered(line):
    """Otherwise the caller sees a broken connection and retries."""
    sent = b"HEAD /a HTTP/1.1\r\nHost: x\r\n" + line + b"\r\n\r\n"
    assert len(STATUS.findall(serve([sent]).pipe.written)) == 1


def test_valid_requests_are_answered():
    """Otherwise the tests above would cover refusals only."""
    answering = serve([GET + GET, GET])
    assert STATUS.findall(answering.pipe.written) == [b"200"] * 3
