"""Statuses of targets' replies, over real sockets.

HTTP has statuses from 100 to 599 (RFC 9110, section 15), of which a final reply has one
from 200. A reply with another status is no reply: no caller may get it as an answer.
"""

import asyncio
import contextlib
from math import inf
from types import SimpleNamespace

import h11
import pytest
from attrs import evolve
from celeryfork_base.counters import Counters
from celeryfork_entry.configuration import AtMostOnce, Idempotent, Stream
from celeryfork_entry.detours import Detours
from celeryfork_entry.leaving_checks import LeavingChecks
from celeryfork_entry.limit_checks import LimitChecks
from celeryfork_entry.placement_leader import PlacementLeader
from celeryfork_entry.ports import EngineReport, ReplyMetadata
from celeryfork_entry.store_follower import StoreFollower
from celeryfork_entry.stream_limits import MAX_FAILURES
from celeryfork_entry.target_http import (
    LostError,
    OutgoingRequest,
    TargetConnections,
)
from celeryfork_entry.targets import Listed, Target, TargetTable
from celeryfork_routing.engine_loads import LayerPath, Part
from celeryfork_routing.layers import LayerRange
from stream_trial import ANSWER_EVENTS, Caller, Engine, Trial

pytestmark = pytest.mark.usefixtures("each_service")

OUTSIDE = ["000", "001", "020", "099", "600", "999"]
"""Statuses of three digits that HTTP doesn't have."""
MALFORMED = ["", "20", "2000", "-01", "+200", "2x0", "2 00"]
INTERIM = ["101", "199"]
"""Statuses that no final reply has."""
VALID = ["200", "203", "206", "226", "299", "300", "399", "400", "418", "451", "499",
         "500", "511", "599"]  # fmt: skip
STAMP = (b"x-stamp", b"of-the-target")
HEADERS = b"X-Stamp: of-the-target\r\n"
NOT_RUN = b"X-Not-Run: 1\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EVENTS = [b"id: %d\ndata: x\n\n" % n for n in range(1, ANSWER_EVENTS + 1)]
CALL_S = 1.0


def whole(status, headers=HEADERS, body=b"whole"):
    """Return a complete reply."""
    head = b"HTTP/1.1 " + status.encode() + b" Odd\r\n" + headers
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def stream(events, status="200", headers=HEADERS, end=b"0\r\n\r\n"):
    """Return a streamed reply in chunks, which lacks its end if ``end`` is empty."""
    head = b"HTTP/1.1 " + status.encode() + b" Odd\r\n" + headers
    head += b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(b"%x\r\n%s\r\n" % (len(e), e) for e in events) + end


def named(status):
    """Return what the reason of a lost reply says of its status."""
    return f"{status} Odd" if status in MALFORMED else str(int(status))


class Targets:
    """Servers whose requests get ``answers`` in turn, whichever server they reach.

    Parameters
    ----------
    answers
        Bytes of a reply, or None to close the connection.
    arrivals
        Number of requests.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.arrivals = 0
        self._open = set()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.arrivals += 1
                answer = self.answers.pop(0) if self.answers else None
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
                if b"chunked" in answer and not answer.endswith(b"0\r\n\r\n"):
                    break
        writer.close()
        self._open.discard(writer)

    @contextlib.asynccontextmanager
    async def listening(self, count=1):
        """Return the addresses of ``count`` servers."""
        async with contextlib.AsyncExitStack() as stack:
            addresses = []
            for _ in range(count):
                server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
                stack.callback(server.close)
                host, port = server.sockets[0].getsockname()
                addresses.append(f"{host}:{port}")
            stack.push_async_callback(self._close)
            yield addresses

    async def _close(self):
        for writer in self._open:
            writer.transport.abort()
        while self._open:
            await asyncio.sleep(0)


def ask(*answers, opened=1):
    """Return the last of as many replies to one client as there are answers.

    Parameters
    ----------
    opened
        Number of connections that the client opens.
    """

    async def run():
        connections = TargetConnections()
        async with asyncio.timeout(5.0), Targets(*answers).listening() as [address]:
            for _ in answers:
                reply = await connections.send(address, OutgoingRequest("GET", "/"))
                body = await reply.read_all(1_000)
            assert connections.opened == opened
            return reply.status, reply.headers, body

    return asyncio.run(run())


@pytest.mark.parametrize("status", OUTSIDE + MALFORMED)
@pytest.mark.parametrize(
    "before", [[b""], [whole("200"), b""], [CONTINUE]], ids=["fresh", "reused", "100"]
)
def test_a_reply_whose_status_is_outside_http_is_lost(before, status):
    """Replies with statuses from 600 to 999 were taken for answers."""
    *earlier, interim = before
    with pytest.raises(LostError) as raised:
        ask(*earlier, interim + whole(status))
    assert named(status) in str(raised.value)


@pytest.mark.parametrize("status", OUTSIDE)
def test_the_bounds_of_statuses_do_not_depend_on_the_library(monkeypatch, status):
    """Only the library refused statuses below 100, which an update may change."""
    for kind in (h11.InformationalResponse, h11.Response):
        monkeypatch.setattr(kind, "__post_init__", lambda event: None)
    with pytest.raises(LostError, match=f"status {status} "):
        ask(whole(status) + whole("200"))


@pytest.mark.parametrize("status", OUTSIDE + MALFORMED)
def test_a_status_in_place_of_trailers_loses_the_reply(status):
    """The bytes after the last chunk may be the head of another process's reply."""
    line = b"HTTP/1.1 " + status.encode() + b" Odd\r\n"
    with pytest.raises(LostError):
        ask(stream(EVENTS, end=b"0\r\n" + line + HEADERS + b"\r\n"))


@pytest.mark.parametrize("status", OUTSIDE)
def test_a_trailer_does_not_change_the_status(status):
    trailer = b"0\r\nStatus: " + status.encode() + b"\r\n\r\n"
    answer = ask(stream(EVENTS, end=trailer))
    assert (answer[0], answer[2]) == (200, b"".join(EVENTS))


@pytest.mark.parametrize("status", VALID)
def test_an_unusual_status_of_http_is_a_reply(status):
    status_code, headers, body = ask(whole("200"), CONTINUE + whole(status))
    assert (status_code, body) == (int(status), b"whole")
    assert STAMP in headers


@pytest.mark.parametrize("status", ["204", "304"])
@pytest.mark.parametrize(
    ("rest", "opened"),
    [
        (b"\r\n", 1),
        (b"Content-Length: 0\r\n\r\n", 1),
        (b"Content-Length: 5\r\n\r\n", 1),
        (b"Content-Length: 5\r\n\r\nwhole", 2),
        (b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 2),
    ],
    ids=["plain", "length-0", "length", "body", "chunked"],
)
def test_a_status_without_a_body_ends_the_reply_with_its_head(rest, opened, status):
    """A body that follows all the same is never the next reply on the connection."""
    reply = b"HTTP/1.1 " + status.encode() + b" Odd\r\n" + HEADERS + rest
    answer = ask(reply)
    assert (answer[0], answer[2]) == (int(status), b"")
    answer = ask(reply, whole("200", body=b"next"), opened=opened)
    assert (answer[0], answer[2]) == (200, b"next")


class StampedCaller(Caller):
    """A fake caller that records the headers of its answer."""

    headers = ()

    async def begin_stream(self, status, headers, first):
        self.headers = headers
        await super().begin_stream(status, headers, first)

    async def answer(self, status, headers, body):
        self.headers = headers
        await super().answer(status, headers, body)

    @property
    def has_stamp(self):
        return STAMP in self.headers


def serve(kind, targets, count, *, reused=False, call_s=CALL_S):
    """Serve one request over ``count`` targets; return its caller and the trial."""
    trial = Trial(max_targets=4)
    trial.context.connections = connections = TargetConnections()
    trial.route = evolve(trial.route, kind=kind)
    trial.shared_parts = ("part",)
    trial.build_target_request = lambda *_: OutgoingRequest("POST", "/")
    trial.reply_headers = list
    trial.read_reply = lambda status, headers: ReplyMetadata(
        b"x-not-run" in dict(headers), None, None, inf
    )
    caller = StampedCaller()

    async def run():
        async with targets.listening(count) as addresses:
            if reused:
                targets.answers[:0] = [whole("200")] * count
            for number, address in enumerate(addresses):
                if reused:
                    reply = await connections.send(address, OutgoingRequest("GET", "/"))
                    await reply.read_all(1_000)
                target = trial.add(f"target-{number}").target
                del trial.engines[target.address]
                target = evolve(target, address=address)
                trial.engines[address] = Engine(target)
                trial.table.apply([Listed(target)])
            targets.arrivals = 0
            await trial.dispatcher().handle(caller, trial.request("r1", call_s))

    trial.run(run())
    assert not trial.logged("failed")
    return caller, trial


KINDS = [AtMostOnce(), Idempotent(), Stream(False, 0.2), Stream(True, 0.2)]
KIND_IDS = ["at-most-once", "idempotent", "stream", "resumable"]


def bad_reply(kind, status, headers=HEADERS):
    """Return a reply with a status that would be right but for it."""
    if isinstance(kind, Stream):
        return stream(EVENTS, status, headers)
    return whole(status, headers)


def good_reply(kind):
    return bad_reply(kind, "200", b"")


def may_run_again(kind):
    return kind in (Idempotent(), Stream(True, 0.2))


@pytest.mark.parametrize("status", OUTSIDE + MALFORMED)
@pytest.mark.parametrize("headers", [HEADERS, HEADERS + NOT_RUN], ids=["run", "not"])
@pytest.mark.parametrize("kind", KINDS, ids=KIND_IDS)
@pytest.mark.parametrize("reused", [False, True], ids=["fresh", "reused"])
def test_callers_never_get_a_status_outside_http(reused, kind, headers, status):
    """Callers of streams and plain requests got statuses from 600 to 999.

    The header that the request was not run proves nothing beside such a status.
    """
    targets = Targets(*[bad_reply(kind, status, headers)] * MAX_FAILURES)
    caller, trial = serve(kind, targets, 1, reused=reused)
    assert (caller.status, caller.has_stamp) == (502, False)
    assert targets.arrivals == (MAX_FAILURES if kind == Stream(True, 0.2) else 1)
    event = "path_broke" if isinstance(kind, Stream) else "reply_lost"
    lines = trial.logged(event)
    assert len(lines) == targets.arrivals
    assert all(named(status) in line["reason"] for line in lines)
    assert not trial.logged("crash_suspect")


@pytest.mark.parametrize("status", OUTSIDE + MALFORMED)
@pytest.mark.parametrize("headers", [HEADERS, HEADERS + NOT_RUN], ids=["run", "not"])
@pytest.mark.parametrize("kind", KINDS, ids=KIND_IDS)
@pytest.mark.parametrize("reused", [False, True], ids=["fresh", "reused"])
def test_a_status_outside_http_lets_another_target_run_what_may_run_again(
    reused, kind, headers, status
):
    targets = Targets(bad_reply(kind, status, headers), good_reply(kind))
    caller, trial = serve(kind, targets, 2, reused=reused)
    assert not caller.has_stamp
    if may_run_again(kind):
        assert (caller.status, caller.ending) == (200, "whole")
        assert targets.arrivals == 2
    else:
        assert caller.status == 502
        assert targets.arrivals == 1
    assert not trial.logged("crash_suspect")


@pytest.mark.parametrize("status", OUTSIDE + MALFORMED)
def test_a_begun_answer_goes_on_past_a_status_outside_http(status):
    targets = Targets(
        stream(EVENTS[:3], end=b""), stream(EVENTS[3:], status), stream(EVENTS[3:])
    )
    caller, trial = serve(Stream(True, 0.2), targets, 3)
    assert caller.has_complete_answer
    assert len(trial.logged("path_broke")) == 2


@pytest.mark.parametrize("status", OUTSIDE + MALFORMED)
def test_a_begun_answer_does_not_end_with_a_status_outside_http(status):
    targets = Targets(stream(EVENTS[:3], end=b""), stream(EVENTS[3:], status))
    caller, _ = serve(Stream(True, 0.2), targets, 2)
    assert (caller.events, caller.ending) == ([1, 2, 3], "broken off")


@pytest.mark.parametrize("status", INTERIM)
@pytest.mark.parametrize("kind", KINDS, ids=KIND_IDS)
def test_callers_never_get_an_interim_status(kind, status):
    """A final reply that never comes leaves the caller its time, or another target."""
    targets = Targets(bad_reply(kind, status), good_reply(kind))
    caller, _ = serve(kind, targets, 2)
    assert not caller.has_stamp
    assert caller.status == 200 if may_run_again(kind) else caller.status in {502, 504}


@pytest.mark.parametrize("status", VALID)
@pytest.mark.parametrize("kind", KINDS[:2], ids=KIND_IDS[:2])
def test_a_plain_caller_gets_each_status_of_http(kind, status):
    caller, _ = serve(kind, Targets(*[whole(status)] * 4), 1)
    assert (caller.status, caller.has_stamp) == (int(status), True)


@pytest.mark.parametrize("status", [each for each in VALID if each != "200"])
@pytest.mark.parametrize("kind", KINDS[2:], ids=KIND_IDS[2:])
def test_a_stream_whose_engine_answers_otherwise_gets_that_answer(kind, status):
    caller, _ = serve(kind, Targets(*[whole(status)] * 4), 1)
    assert (caller.status, caller.has_stamp) == (int(status), True)


def ask_target(work, status):
    """Run ``work(connections, target)`` against a target, and return its result."""

    async def run():
        async with Targets(*[whole(status)] * 2).listening() as [address]:
            target = Target("x", "llm", address, "a", accelerator="card")
            return await work(TargetConnections(), target)

    return asyncio.run(asyncio.wait_for(run(), 5.0))


class Log:
    """Records the names of lines."""

    def __init__(self):
        self.lines = []

    def info(self, event, **inputs):
        self.lines.append(event)


@pytest.mark.parametrize("status", OUTSIDE)
def test_a_health_answer_with_a_status_outside_http_says_nothing(status):
    """It ended the limit of a target that had named one."""
    log, told = Log(), []
    dialect = SimpleNamespace(
        build_health_request=lambda path: OutgoingRequest("GET", path),
        read_reply=lambda status, headers: ReplyMetadata(False, None, None, inf),
    )

    async def check(connections, target):
        table = TargetTable()
        table.apply([Listed(target)])
        leaving = LeavingChecks(table, connections, dialect, log, None)
        await leaving._ask("x", "/healthz")
        limits = LimitChecks(
            None, connections, dialect, lambda: None, lambda *each: told.append(each),
            log, None,
        )  # fmt: skip
        await limits._ask_health(target, "/healthz")

    ask_target(check, status)
    assert not told
    assert log.lines == ["health_unanswered", "limit_unanswered"]


@pytest.mark.parametrize("status", OUTSIDE)
def test_an_order_answered_with_a_status_outside_http_may_have_been_accepted(status):
    """The leader took it for refused, and sent another while the first one ran."""
    log = Log()
    dialect = SimpleNamespace(
        build_layer_order=lambda *_: OutgoingRequest("POST", "/order"),
        build_path_order=lambda *_: OutgoingRequest("POST", "/order"),
    )
    report = EngineReport(None, 0, False, 1, 1.0, {})
    layers = LayerRange(0, 4)

    async def order(connections, target):
        leader = PlacementLeader(
            TargetTable(), connections, dialect, None, log, lambda: None
        )
        return await leader._send_order(target, layers, report, 7)

    assert ask_target(order, status) is None
    assert log.lines == ["order_unanswered"]


@pytest.mark.parametrize("status", OUTSIDE)
def test_a_detour_answered_with_a_status_outside_http_is_not_accepted(status):
    logged = []
    path = LayerPath((Part("x", "10.0.0.1:1", LayerRange(0, 8), "a"),))
    call = SimpleNamespace(metadata=SimpleNamespace(id="r1"))

    async def reroute(connections, target):
        context = SimpleNamespace(
            table=SimpleNamespace(by_id={"x": target}),
            dialect=SimpleNamespace(
                build_path_order=lambda *_: OutgoingRequest("POST", "/order")
            ),
            connections=connections,
            counters=Counters(),
            log_event=lambda call, event, **inputs: logged.append(inputs["status"]),
        )
        selector = SimpleNamespace(detour=lambda call, path: path)
        return await Detours(context, selector, lambda: 7).reroute(call, path)

    assert ask_target(reroute, status) is None
    assert logged == [None]


@pytest.mark.parametrize("status", OUTSIDE)
def test_a_peer_that_answers_with_a_status_outside_http_has_not_answered(status):
    async def fetch(connections, target):
        follower = StoreFollower(
            None, None, TargetTable(), connections, Log(), Counters(), lambda: []
        )
        return await follower._request(target.address, "/-/state")

    with pytest.raises(LostError, match=str(int(status))):
        ask_target(fetch, status)
