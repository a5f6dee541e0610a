"""Fuzzing of replies: any bytes lead to a reply or LostError, in limited memory."""

import asyncio

import pytest
from celeryfork_entry.target_http import (
    MAX_HEADER_BYTES,
    LostError,
    NotSentError,
    OutgoingRequest,
    TargetConnections,
)
from fuzzing import examples, pieces, repeated
from hypothesis import given
from hypothesis import strategies as st
from skipping_loop import run_skipping

ADDRESS = "10.0.0.1:80"
MAX_BODY_BYTES = 20_000
PIECE_BYTES = 4096
MAX_TAKEN_BYTES = 2 * MAX_HEADER_BYTES + MAX_BODY_BYTES + 4 * PIECE_BYTES
"""The limits of the head, of bytes after the body, and of the body, plus four reads."""
REPLY_TIMEOUT_S = 5.0
"""Timeout in seconds for a reply."""
GET = OutgoingRequest("GET", "/")

FIRST_LINES = st.sampled_from(
    [b"HTTP/1.1 200 OK", b"HTTP/1.1 200", b"HTTP/1.0 200 OK", b"HTTP/1.1 204 No",
     b"HTTP/1.1 304 Same", b"HTTP/1.1 100 Continue", b"HTTP/1.1 101 Switch",
     b"HTTP/1.1 199 Odd", b"HTTP/1.1 099 Odd", b"HTTP/1.1 999 Odd", b"HTTP/1.1 000 No",
     b"HTTP/1.1 2000 OK", b"HTTP/2 200", b"HTTP/1.1 200 \xe9\xff", b"ICY 200 OK", b"",
     b"HTTP/1.1 200 O\x00K", b"HTTP/1.1 500 " + b"x" * 300]
)  # fmt: skip
LINES = st.sampled_from(
    [b"Content-Length: 3", b"Content-Length: 0", b"Content-Length: 5, 5",
     b"Content-Length: -1", b"Content-Length: " + b"9" * 30,
     b"Content-Length: " + b"9" * 5000, b"Content-Length: \xb2",
     b"Transfer-Encoding: chunked", b"Transfer-Encoding: gzip, chunked",
     b"Connection: close", b"Connection: keep-alive", b"Connection: upgrade",
     b"Keep-Alive: timeout=5", b"Keep-Alive: timeout=0", b"Keep-Alive: timeout=-1",
     b"Keep-Alive: timeout=", b"Keep-Alive: max=1, timeout = 2", b"Upgrade: h2c",
     b"X-A: \xe9", b"X-A:", b": x", b"X A: y", b" folded", b"X-A: a\x00b"]
) | st.text("0123456789 ,=\xb2\xb9", max_size=6).map(
    lambda text: b"Keep-Alive: timeout=" + text.encode("latin-1")
)  # fmt: skip
BODIES = st.sampled_from(
    [b"", b"abc", b"abcde", b"3\r\nabc\r\n0\r\n\r\n", b"0\r\n\r\n", b"3\r\nabcd\r\n",
     b"g\r\n", b"3;x=y\r\nabc\r\n0\r\nX-T: 1\r\n\r\n", b"f" * 25 + b"\r\n",
     b"0\r\n" + b"X-T: 1\r\n" * 9, b"z" * 600]
) | st.binary(max_size=8)  # fmt: skip
LINE_ENDS = st.sampled_from([b"\r\n", b"\r\n", b"\n", b"\r"])


@st.composite
def replies(draw):
    end = draw(LINE_ENDS)
    lines = [draw(FIRST_LINES), *draw(st.lists(LINES, max_size=4))]
    return end.join(lines) + end + end + draw(BODIES)


SENT = st.lists(replies() | st.binary(max_size=20), min_size=1, max_size=3)


class Engine:
    """Sends chunks on each connection, then ends the data, closes or waits."""

    def __init__(self, data_in_pieces, after="ends"):
        self.data_in_pieces = data_in_pieces
        self.after = after
        self.pipes = []
        self.sending = []

    def __call__(self, pipe):
        self.pipes.append(pipe)
        self.sending.append(asyncio.ensure_future(self.send(pipe)))

    async def send(self, pipe):
        for piece in self.data_in_pieces:
            if not await pipe.feed(piece):
                return
        if self.after == "ends":
            pipe.end()
        elif self.after == "breaks" and not pipe.is_closing():
            pipe.close()


async def ask(connections):
    """Return the status and body of a complete reply, None if it is lost."""
    reply = None
    try:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            reply = await connections.send(ADDRESS, GET)
            return reply.status, await reply.read_all(MAX_BODY_BYTES)
    except (LostError, NotSentError, TimeoutError):
        return None
    finally:
        if reply is not None:
            reply.drop()


def ask_engine(engine, times=2):
    """Return the replies of an engine to consecutive requests."""

    async def run():
        connections = TargetConnections()
        found = [await ask(connections) for _ in range(times)]
        connections.forget(ADDRESS)
        for task in engine.sending:
            task.cancel()
        await asyncio.gather(*engine.sending, return_exceptions=True)
        return found

    return run_skipping(run(), engine)


def assert_bounded(found, engine):
    for each in found:
        assert each is None or (
            200 <= each[0] <= 999 and len(each[1]) <= MAX_BODY_BYTES
        )
    assert all(pipe.is_closing() for pipe in engine.pipes)


@examples(250)
@given(data=st.data(), sent=SENT, after=st.sampled_from(["ends", "breaks", "waits"]))
def test_any_bytes_of_an_engine_lead_to_a_reply_or_a_lost_one(data, sent, after):
    engine = Engine(data.draw(pieces(b"".join(sent))), after)
    assert_bounded(ask_engine(engine), engine)


@examples(150)
@given(data=st.data(), sent=SENT)
def test_replies_do_not_depend_on_how_bytes_are_cut(data, sent):
    whole = b"".join(sent)
    at_once = ask_engine(Engine([whole]), times=1)
    assert ask_engine(Engine(data.draw(pieces(whole))), times=1) == at_once


@examples(80)
@given(
    begin=replies() | st.just(b"HTTP/1.1 200 OK\r\n"),
    part=replies() | st.binary(min_size=1, max_size=30),
)
def test_any_endlessly_repeated_bytes_are_cut_off(begin, part):
    """Requirement: the head or body of a malformed reply may be endless."""
    piece = repeated(part, PIECE_BYTES)
    engine = Engine([begin, *[piece] * (2 * MAX_TAKEN_BYTES // PIECE_BYTES)])
    assert_bounded(ask_engine(engine, times=1), engine)
    assert all(pipe.taken <= MAX_TAKEN_BYTES + len(begin) for pipe in engine.pipes)


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"


@pytest.mark.parametrize(
    "value",
    [b"timeout=\xb2", b"timeout=1\xb9", b"timeout=" + b"9" * 5000],
    ids=["superscript", "mixed", "many-digits"],
)
def test_an_invalid_keep_alive_timeout_loses_no_reply(value):
    engine = Engine([OK + b"Keep-Alive: " + value + b"\r\n\r\nok"], "waits")
    assert ask_engine(engine, times=1) == [(200, b"ok")]


@pytest.mark.parametrize(
    "sent",
    [b"HTTP/1.1 099 Odd\r\n\r\n", b"HTTP/1.1 101 Switch\r\n\r\n",
     b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n",
     b"HTTP/1.1 200 OK\r\nContent-Length: \xb2\r\n\r\nab",
     b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
     b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
     b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"f" * 21 + b"\r\n",
     b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n",
     b"\x16\x03\x01", b"\r\n\r\n", b""],
    ids=["status-99", "switch", "long-length", "superscript-length", "two-lengths",
         "coded", "long-chunk", "overlong-chunk", "tls", "empty-lines", "nothing"],
)  # fmt: skip
def test_a_malformed_reply_is_lost(sent):
    assert ask_engine(Engine([sent]), times=1) == [None]


@pytest.mark.parametrize(
    "address",
    ["10.0.0.1:\xb2", "10.0.0.1:99999", "10.0.0.1:" + "9" * 5000, "\0:80",
     "x" * 70 + ".example:80"],
    ids=["superscript", "too-large", "many-digits", "null-byte", "long-label"],
)  # fmt: skip
def test_an_invalid_address_raises_not_sent(address):
    with pytest.raises(NotSentError):
        asyncio.run(TargetConnections().send(address, GET))


def test_a_valid_reply_is_returned():
    """Otherwise the tests above would cover lost replies only."""
    engine = Engine([OK + b"\r\nok"], "waits")
    assert ask_engine(engine, times=1) == [(200, b"ok")]
