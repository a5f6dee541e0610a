"""Callers that use up a limit wait, are refused or are closed; others are served."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from celeryfork_base.counters import Counters
from celeryfork_entry.caller_guard import LOG_INTERVAL_S, CallerGuard
from celeryfork_entry.caller_http import CallerConnection
from celeryfork_entry.caller_memory import CallerMemory, Phase
from celeryfork_entry.caller_stream import CallerStream
from celeryfork_entry.configuration import CallerLimits

BODY = 200_000
LIMITS = CallerLimits(
    header_bytes=16_384, body_bytes=BODY, header_timeout_s=9.0, idle_timeout_s=9.0
)
GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"


class Server:
    """Serves connections that share a guard; answers with the size of the body."""

    def __init__(self, bound=300_000):
        self.lines = []
        self.bodies = []
        self.failures = []
        self.counters = Counters()
        log = SimpleNamespace(info=lambda event, **_: self.lines.append(event))
        self.guard = CallerGuard(CallerMemory(bound), 100, 64, log, self.counters)

    async def handle(self, connection, request):
        self.bodies.append(request.body if request.body_read else None)
        await connection.answer(200, [], b"%d" % len(request.body))

    async def run(self, connection):
        try:
            await connection.serve()
        except Exception as error:
            self.failures.append(error)

    def make(self):
        stream = CallerStream(self.guard.buffer)
        connection = CallerConnection(
            stream, lambda: LIMITS, self.handle, lambda: False,
            lambda head: head.target != "/none", self.guard.open(stream),
        )  # fmt: skip
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: asyncio.ensure_future(self.run(connection)))
        return stream


def serve(play, **options):
    """Run ``play`` with a server and a function that connects and sends bytes."""

    async def run():
        server = Server(**options)
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(server.make, "127.0.0.1", 0)
        running = asyncio.ensure_future(server.guard.run())
        writers = []

        async def send(data):
            address = listening.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(*address)
            writers.append(writer)
            writer.write(data)
            return reader

        try:
            async with asyncio.timeout(15):
                await play(server, send)
        finally:
            running.cancel()
            for writer in writers:
                writer.transport.abort()
            listening.close()
            await asyncio.sleep(0.05)
        return server

    return asyncio.run(run())


async def status(reader):
    return int((await reader.readline()).split()[1])


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 200000", b"Transfer-Encoding: chunked"]
)
def test_an_unneeded_body_is_answered_before_it_arrives(framing):
    """Bodies for paths without a route were read whole before the refusal."""

    async def play(server, send):
        reader = await send(b"POST /none HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n" % framing)
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert b"connection: close" in answer.lower()

    assert serve(play).bodies == [None]


def test_a_connection_whose_unneeded_body_has_arrived_stays_open():
    """Kept connections of ordinary callers would be closed at each 404."""

    async def play(server, send):
        reader = await send(POST % (b"none", 5) + b"whole" + GET)
        answer = await reader.readuntil(b"\r\n\r\n0")
        assert b"connection: close" not in answer.lower()
        assert await status(reader) == 200

    assert serve(play).bodies == [None, b""]


def test_a_stalled_body_is_refused_for_one_that_waits():
    """Bodies that stopped short of their end were kept beside any number of others."""

    async def play(server, send):
        stalled = await send(POST % (b"a", BODY) + bytes(BODY - 1))
        await asyncio.sleep(0.1)
        waiting = await send(POST % (b"a", BODY) + bytes(BODY))
        small = await send(GET)
        assert await status(small) == 200
        assert await status(waiting) == 200
        head = await stalled.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"retry-after" in head.lower()
        await asyncio.sleep(LOG_INTERVAL_S * 2.5)

    server = serve(play)
    assert server.counters.count("callers.refused.memory") == 1
    assert server.lines == ["load_shedding_began", "load_shedding_ended"]
    assert server.guard.memory.held == 0


def test_pipelined_heads_with_many_fields_leave_time_for_others():
    """Parsing them took the whole loop, and no ordinary request was served."""
    fields = b"".join(b"a%d: b\r\n" % number for number in range(1500))
    fat = GET[:-2] + fields + b"\r\n"

    async def play(server, send):
        for _ in range(10):
            await send(fat * 20)
        before = len(server.bodies)
        for _ in range(3):
            assert await status(await send(GET)) == 200
        # Those with many fields have their turns one at a time.
        assert len(server.bodies) - before < 60

    serve(play, bound=32 << 20)


def test_all_descriptors_for_targets_in_use_let_requests_wait():
    """Each request takes a descriptor of its target beside its caller's."""

    async def play(server, send):
        server.guard.max_connections = server.guard.reserved_descriptors = 0
        begun = []

        async def serve_one():
            async with server.guard.serving():
                begun.append(time.monotonic())
                await asyncio.sleep(0.2)

        await asyncio.gather(*(serve_one() for _ in range(12)))
        assert begun[8] - begun[7] >= 0.15

    serve(play)


def test_a_connection_that_is_chosen_while_it_discards_input_ends():
    """Its task failed with the refusal, which it had no one left to send to."""

    async def play(server, send):
        reader = await send(POST % (b"none", BODY))
        await reader.readuntil(b"\r\n\r\n0")
        [holding] = server.guard.memory.holdings
        holding.begin(Phase.SENDING, 0.0)
        server.guard._end_all([holding])
        await reader.read()
        while server.guard.memory.holdings:
            await asyncio.sleep(0.02)
        assert not server.failures

    serve(play)
