"""Replies that an engine writes once more, or in pieces too many, on a kept connection.

The connections are real sockets; the engine sends what its script says.
"""

import asyncio

import pytest
from celeryfork_entry.target_http import (
    MAX_FAILED_REQUESTS,
    LostError,
    OutgoingRequest,
    TargetConnections,
)


def reply(status, request_id=None, body=b"", extra=b""):
    named = b"X-Attempt-Id: %s\r\n" % request_id if request_id else b""
    head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    return head + named + extra + b"\r\n" + body


def request(request_id=None):
    if request_id is None:
        return OutgoingRequest("GET", "/-/report")
    headers = (("X-Attempt-Id", request_id),)
    return OutgoingRequest("POST", "/", headers, identity=(b"x-attempt-id", request_id))


class ScriptedEngine:
    """Answers the requests on each connection with the byte strings of its script."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.connections = 0
        self.served = set()

    async def serve(self, reader, writer):
        script = self.scripts[self.connections]
        self.connections += 1
        self.served.add(asyncio.current_task())
        try:
            for answer in script:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def exchange(engine, *requests, pause_s=0.0):
    """Return the status of the reply to each request in turn, or its error."""

    async def run():
        server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        connections, outcomes = TargetConnections(), []
        for each in requests:
            try:
                answer = await asyncio.wait_for(
                    connections.send(f"{host}:{port}", each), 2.0
                )
                body = await answer.read_all(1 << 16)
                outcomes.append((answer.status, body))
            except LostError:
                outcomes.append("lost")
            await asyncio.sleep(pause_s)
        connections.forget(f"{host}:{port}")
        await asyncio.wait_for(asyncio.gather(*engine.served), 2.0)
        server.close()
        return outcomes

    return asyncio.run(run())


REFUSAL = reply(503, b"a1", extra=b"X-Not-Run: 1\r\n")


def test_a_refused_request_is_sent_again_over_another_connection():
    """The engine ran the request, and wrote its earlier refusal once more before.

    Both have the same id: the caller was told that the request had not run.
    """
    engine = ScriptedEngine([REFUSAL, REFUSAL], [reply(200, b"a1", b"ran")])
    outcomes = exchange(engine, request(b"a1"), request(b"a1"))
    assert outcomes == [(503, b""), (200, b"ran")]


def test_a_connection_with_a_refusal_is_kept_for_other_requests():
    """New connections are priced."""
    engine = ScriptedEngine([REFUSAL, reply(200, b"a2", b"ran")])
    outcomes = exchange(engine, request(b"a1"), request(b"a2"))
    assert outcomes == [(503, b""), (200, b"ran")]
    assert engine.connections == 1


@pytest.mark.parametrize("first", [request(b"a1"), request()], ids=["request", "order"])
@pytest.mark.parametrize("status", [421, 503, 429, 400])
def test_an_error_without_an_id_is_the_last_reply_of_its_connection(first, status):
    """Once more, it would be taken for the refusal of the next request.

    The refusal of an order or a report never names a request; 421 alone says that a
    request was not run.
    """
    refusal = reply(status, extra=b"X-Not-Run: 1\r\n")
    engine = ScriptedEngine([refusal, refusal], [reply(200, b"a2", b"ran")])
    outcomes = exchange(engine, first, request(b"a2"))
    assert outcomes == [(status, b""), (200, b"ran")]


def test_a_connection_with_an_error_that_names_no_request_is_closed():
    """It would count at the engine while idle, without use for any other request."""
    engine = ScriptedEngine([reply(503), reply(202)], [reply(202)])
    assert exchange(engine, request(b"a1"), request()) == [(503, b""), (202, b"")]
    assert engine.connections == 2


def test_connections_that_suit_no_request_are_not_kept():
    """They stayed open beside new ones, and engines reset those beyond a limit."""
    refusal = reply(503, extra=b"X-Not-Run: 1\r\n")
    engine = ScriptedEngine(*[[refusal, refusal] for _ in range(9)])
    requests = [request(b"a%d" % n) for n in range(8)]

    async def run():
        server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        connections = TargetConnections()
        for each in requests:
            answer = await connections.send(f"{host}:{port}", each)
            await answer.read_all(100)
        await asyncio.sleep(0.05)
        open_connections = sum(not task.done() for task in engine.served)
        connections.forget(f"{host}:{port}")
        await asyncio.gather(*engine.served)
        server.close()
        return open_connections

    assert asyncio.run(asyncio.wait_for(run(), 5.0)) <= 1


def test_a_connection_with_an_order_refused_is_kept_for_orders():
    engine = ScriptedEngine([reply(409), reply(202)])
    assert exchange(engine, request(), request()) == [(409, b""), (202, b"")]
    assert engine.connections == 1


def test_a_success_that_names_no_request_is_lost_on_a_kept_connection():
    """A report that was written once more was taken for the answer of a request."""
    report = reply(200, body=b"{}")
    engine = ScriptedEngine([report, report])
    assert exchange(engine, request(), request(b"a1")) == [(200, b"{}"), "lost"]


def test_a_success_that_names_no_request_is_taken_on_a_new_connection():
    engine = ScriptedEngine([reply(200, body=b"ran")])
    assert exchange(engine, request(b"a1")) == [(200, b"ran")]


def test_a_request_that_keeps_failing_elsewhere_leaves_bounded_traces():
    """The ids of failed requests are remembered while their connection is kept."""
    ids = [b"a%d" % n for n in range(MAX_FAILED_REQUESTS + 2)]
    answers = [reply(503, each) for each in ids]
    engine = ScriptedEngine(answers, answers[-1:])
    outcomes = exchange(engine, *map(request, ids))
    assert outcomes == [(503, b"")] * len(ids)
    assert engine.connections == 2


EXTRA_BYTES = {
    "reply": REFUSAL,
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
    "early-hints": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
    "no-reply": b"\x00\xff",
    "line-break": b"\r\n",
}


@pytest.mark.parametrize("extra", EXTRA_BYTES.values(), ids=EXTRA_BYTES)
@pytest.mark.parametrize("first", [request(b"a0"), request()], ids=["request", "order"])
def test_bytes_after_a_complete_reply_end_its_connection(first, extra):
    """They belong to no request, and were there before the next one was sent."""
    whole = reply(200, b"a0", b"ran")
    engine = ScriptedEngine([whole + extra, REFUSAL], [reply(200, b"a1", b"ran")])
    outcomes = exchange(engine, first, request(b"a1"), pause_s=0.02)
    assert outcomes == [(200, b"ran"), (200, b"ran")]
    assert engine.connections == 2


class LateEngine(ScriptedEngine):
    """Sends extra bytes after the next request has arrived, before its reply."""

    def __init__(self, extra):
        super().__init__([reply(200, b"a0", b"ran"), extra + reply(200, b"a1", b"ran")])


@pytest.mark.parametrize("extra", [b"\x00\xff", b"HTTP/1.1 503", b"{}\r\n\r\n"])
def test_bytes_that_are_no_reply_lose_the_request_on_its_way(extra):
    outcomes = exchange(LateEngine(extra), request(b"a0"), request(b"a1"))
    assert outcomes == [(200, b"ran"), "lost"]


def test_an_interim_reply_too_many_is_skipped():
    extra = EXTRA_BYTES["interim"]
    outcomes = exchange(LateEngine(extra), request(b"a0"), request(b"a1"))
    assert outcomes == [(200, b"ran"), (200, b"ran")]
