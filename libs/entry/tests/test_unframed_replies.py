"""Ends of replies that have neither a length nor chunks, over real sockets.

Such a reply ends with its connection. An orderly close is its end, but in the head or
within an event; a reset is never (issue 27).
"""

import asyncio
import contextlib
import signal
import socket
import struct
import subprocess
import sys
from itertools import pairwise

import pytest
from attrs import evolve
from celeryfork_entry.configuration import AtMostOnce, Idempotent, Stream
from celeryfork_entry.first_engines import CRASH_ONSET_S
from celeryfork_entry.target_http import (
    LostError,
    OutgoingRequest,
    TargetConnections,
)
from celeryfork_entry.targets import Listed
from stream_trial import ANSWER_EVENTS, BACK, FRONT, Caller, Engine, Trial

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
EVENTS = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 4))
ANSWER_WAIT_S = 0.1
"""Seconds before the end of a reply, so that its bytes have been read by then."""


def close(writer):
    writer.close()


def reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@contextlib.asynccontextmanager
async def engine(answers, end):
    """Return the address of an engine that sends one of ``answers``, then ends."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answers.pop(0))
        await writer.drain()
        await asyncio.sleep(ANSWER_WAIT_S)
        end(writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


def read_reply(answer, end):
    """Return the body of a reply."""

    async def ask():
        async with asyncio.timeout(5.0), engine([answer], end) as address:
            request = OutgoingRequest("GET", "/")
            reply = await TargetConnections().send(address, request)
            return await reply.read_all(1_000)

    return asyncio.run(ask())


def test_a_reply_whose_connection_is_closed_after_its_body_is_complete():
    assert read_reply(HEAD + b"\r\nwhole", close) == b"whole"


@pytest.mark.parametrize(
    ("answer", "end"),
    [
        (b"", close),
        (b"", reset),
        (HEAD[:-9], close),
        (HEAD[:-9], reset),
        (HEAD + b"\r\n", reset),
        (HEAD + b"\r\npart", reset),
    ],
    ids=[
        "close-before-head", "reset-before-head", "close-in-head", "reset-in-head",
        "reset-after-head", "reset-in-body",
    ],
)  # fmt: skip
def test_a_reply_whose_connection_ends_otherwise_is_lost(answer, end):
    """A truncated reply would have been taken for the whole one."""
    with pytest.raises(LostError):
        read_reply(answer, end)


def serve_stream(beginning, end):
    """Serve a stream whose first engine ends its reply; return its caller and trial.

    The second engine sends the events that follow ``EVENTS``.
    """
    trial = Trial()
    trial.context.connections = TargetConnections()
    trial.build_target_request = lambda request, options: OutgoingRequest("POST", "/")
    rest = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(4, ANSWER_EVENTS + 1))

    def add(name, address, domain):
        target = evolve(trial.add(name, domain=domain).target, address=address)
        trial.engines[address] = Engine(target)
        trial.table.apply([Listed(target)])

    async def run():
        first = engine([HEAD + b"\r\n" + beginning], end)
        second = engine([HEAD + b"\r\n" + rest], close)
        async with first as address, second as other:
            add("first", address, "a")
            add("second", other, "b")
            return await trial.serve_one(Caller())

    return trial.run(run()), trial


@pytest.mark.parametrize("end", [close, reset])
def test_a_stream_that_ends_within_an_event_is_resumed(end):
    """Its caller would have got a truncated answer that looks complete."""
    caller, trial = serve_stream(EVENTS + b"id: 4\ndata:", end)
    assert caller.has_complete_answer
    assert len(trial.logged("path_broke")) == 1


def test_a_stream_that_ends_within_the_line_that_ends_an_event_is_resumed():
    caller, _ = serve_stream(EVENTS + b"id: 4\ndata: x\n", close)
    assert caller.has_complete_answer


def test_a_stream_that_is_reset_between_events_is_resumed():
    caller, trial = serve_stream(EVENTS, reset)
    assert caller.has_complete_answer
    assert len(trial.logged("path_broke")) == 1


def test_a_stream_whose_connection_is_closed_between_events_is_complete():
    caller, trial = serve_stream(EVENTS, close)
    assert (caller.events, caller.ending) == ([1, 2, 3], "whole")
    assert not trial.logged("path_broke")


def serve_beside_killed(*replies, parts=("common", "deadly")):
    """Serve a stream on engines that end with their processes, then on a sound one.

    The replies are pairs of a body and a function that ends the connection.

    The kernel closes the connection of a killed process like that of a whole reply.
    """
    trial = Trial(max_targets=9)
    trial.context.connections = TargetConnections()
    trial.shared_parts = parts
    trial.build_target_request = lambda request, options: OutgoingRequest("POST", "/")
    rest = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, ANSWER_EVENTS + 1))

    async def add(stack, name, body, end, *, killed=True):
        def end_process(writer):
            added.gone = killed
            end(writer)

        server = engine([HEAD + b"\r\n" + body], end_process)
        address = await stack.enter_async_context(server)
        target = evolve(trial.add(name).target, address=address)
        added = trial.engines[address] = Engine(target)
        return target

    async def run():
        async with contextlib.AsyncExitStack() as stack:
            targets = [
                await add(stack, f"killed-{n}", body, end)
                for n, (body, end) in enumerate(replies)
            ]
            targets.append(await add(stack, "sound", rest, close, killed=False))
            for each in targets:
                trial.table.apply([Listed(each)])
            for each in targets[1:]:
                trial.table.exclude(each.id, "not yet", 0.0)

            async def free_one_after_the_other():
                for before, each in pairwise(targets):
                    while not trial.engines[before.address].gone:
                        await asyncio.sleep(0.01)
                    trial.table.succeeded(each.id)

            freeing = asyncio.ensure_future(free_one_after_the_other())
            caller = await trial.serve_one(Caller())
            freeing.cancel()
            return caller

    return trial.run(run()), trial


def test_a_stream_that_ends_with_its_engine_between_events_is_resumed():
    """Its caller got the first events as the whole answer.

    The parts of a request that had crashed its engine counted as sound.
    """
    caller, trial = serve_beside_killed((EVENTS, close))
    assert caller.has_complete_answer
    [line] = trial.logged("crash_suspect")
    assert set(line["parts"]) == {"common", "deadly"}


def test_a_continuation_without_events_of_an_engine_that_ended_is_no_end():
    """The continued stream ended as if it were complete."""
    caller, _ = serve_beside_killed((EVENTS, reset), (b"", close), parts=())
    assert caller.has_complete_answer


KILLED_ENGINE = """
import os, signal, socket, sys, time
listening = socket.create_server(("127.0.0.1", 0))
print(listening.getsockname()[1], flush=True)
connection, _ = listening.accept()
connection.recv(65_536)
connection.sendall(bytes.fromhex(sys.argv[1]))
time.sleep(0.1)
os.kill(os.getpid(), signal.SIGKILL)
"""


def read_reply_of_killed_engine(answer):
    command = [sys.executable, "-c", KILLED_ENGINE, answer.hex()]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        port = int(process.stdout.readline())

        async def ask():
            async with asyncio.timeout(5.0):
                request = OutgoingRequest("GET", "/")
                reply = await TargetConnections().send(f"127.0.0.1:{port}", request)
                return await reply.read_all(1_000)

        try:
            return asyncio.run(ask())
        finally:
            assert process.wait(5) == -signal.SIGKILL


def test_the_death_of_an_engine_in_the_head_of_its_reply_loses_it():
    with pytest.raises(LostError):
        read_reply_of_killed_engine(HEAD)


def test_the_death_of_an_engine_in_an_unframed_body_looks_like_its_end():
    """The kernel closes the connection of a killed process in an orderly way.

    The users' page counts an end between events as the end of the answer.
    """
    assert read_reply_of_killed_engine(HEAD + b"\r\npart") == b"part"


async def keep(trial):
    """Change nothing."""


async def reroute(trial):
    """Lose the later engine of a path; a spare one takes its place."""
    spare = trial.add("spare", layers=BACK, domain="b").target

    async def find_detour(call, path):
        first, later = path.parts
        later = evolve(later, engine_id=spare.id, address=spare.address)
        return evolve(path, parts=(first, later))

    trial.reroute = find_detour
    trial.engine("later").gone = True
    trial.checks.mark_down("later", "gone", ended=True)
    await asyncio.sleep(0.05)


def serve_long_beside(*ended, unlisted=(), change=keep):
    """Serve a stream without a length that ends after it has long written.

    Parameters
    ----------
    ended
        Ids of engines of its path that terminate with it. A sound engine in another
        domain sends the rest.
    unlisted
        Ids of engines of its path that leave the target list before.
    change
        Changes the path before that.

    Returns
    -------
    tuple of Caller and Trial
    """
    trial = Trial(max_targets=9)
    trial.context.connections = TargetConnections()
    trial.build_target_request = lambda request, options: OutgoingRequest("POST", "/")
    rest = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(4, ANSWER_EVENTS + 1))
    servers = []

    async def serve_slowly(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            # The check whether anything listens.
            writer.close()
            return
        writer.write(HEAD + b"\r\n")
        for number in range(1, 4):
            writer.write(b"id: %d\ndata: x\n\n" % number)
            await writer.drain()
            await asyncio.sleep(CRASH_ONSET_S / 2 + 0.05)
        trial.table.succeeded("second")
        await change(trial)
        for engine_id in unlisted:
            trial.table.forget(engine_id)
        for engine_id in ended:
            trial.engine(engine_id).gone = True
        if "first" in ended:
            servers[0].close()
        writer.close()

    def listen_at(name, address, **fields):
        added = trial.add(name, **fields).target
        target = evolve(added, address=address)
        del trial.engines[added.address]
        trial.engines[address] = Engine(target)
        trial.table.apply([Listed(target)])

    async def run():
        first = await asyncio.start_server(serve_slowly, "127.0.0.1", 0)
        servers.append(first)
        host, port = first.sockets[0].getsockname()
        async with engine([HEAD + b"\r\n" + rest], close) as other:
            listen_at("first", f"{host}:{port}", layers=FRONT)
            trial.add("later", layers=BACK)
            listen_at("second", other, domain="b")
            trial.table.exclude("second", "not yet", 0.0)
            caller = await trial.serve_one(Caller())
            first.close()
            return caller

    return trial.run(run()), trial


@pytest.mark.parametrize("unlisted", [(), ("first",), ("later",), ("first", "later")])
@pytest.mark.parametrize("which", ["first", "later"])
def test_a_stream_that_ends_with_an_engine_after_long_writing_is_resumed(
    which, unlisted
):
    """Its end was taken for that of the answer (review, case 2).

    It still was if the first engine had left the target list before (issue 42).
    """
    caller, trial = serve_long_beside(which, unlisted=unlisted)
    assert caller.has_complete_answer
    [broke] = trial.logged("path_broke")
    assert which in broke["reason"]


@pytest.mark.parametrize("unlisted", [(), ("first",), ("later",), ("first", "later")])
def test_a_stream_that_ends_after_long_writing_with_its_engines_alive_is_complete(
    unlisted,
):
    """It was run again, or broken off, if a later engine was no longer listed.

    Engines that leave the list finish the requests that they have (issue 42).
    """
    caller, trial = serve_long_beside(unlisted=unlisted)
    assert (caller.events, caller.ending) == ([1, 2, 3], "whole")
    assert not trial.logged("path_broke")


def test_the_engines_of_a_detour_are_asked_if_they_are_no_longer_listed():
    """A whole answer counted as broken if the spare engine had left the list."""
    caller, trial = serve_long_beside(unlisted=("spare",), change=reroute)
    assert (caller.events, caller.ending) == ([1, 2, 3], "whole")
    assert not trial.logged("path_broke")


WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Attempt-Id: r1\r\n\r\nwhole"


@pytest.mark.parametrize("kind", [Idempotent(), AtMostOnce(), Stream(True, 0.2)])
@pytest.mark.parametrize("reused", [False, True], ids=["fresh", "reused"])
def test_a_reply_that_ends_within_its_head_is_never_forwarded_as_a_success(
    reused, kind
):
    """Operators saw a 200 with an empty or short body, framed as whole."""
    statuses = {}

    async def run(cut_at):
        trial = Trial()
        trial.context.connections = connections = TargetConnections()
        trial.route = evolve(trial.route, kind=kind)
        trial.build_target_request = lambda *_: OutgoingRequest("POST", "/")

        answers = [WHOLE] if reused else []

        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                if answers:
                    writer.write(answers.pop())
                    await reader.readuntil(b"\r\n\r\n")
                writer.write(WHOLE[:cut_at])
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        address = f"{host}:{port}"
        if reused:
            reply = await connections.send(address, OutgoingRequest("GET", "/"))
            await reply.read_all(10)
        target = evolve(trial.add("cut").target, address=address)
        trial.engines[address] = Engine(target)
        trial.table.apply([Listed(target)])
        caller = Caller()
        handling = trial.dispatcher().handle(caller, trial.request("r1", 0.5))
        await asyncio.wait_for(handling, 5.0)
        server.close()
        statuses[cut_at] = caller.status, caller.ending

    async def run_all():
        places = [9, 12, 17, 30, WHOLE.index(b"\r\n\r\n") + 2, len(WHOLE) - 5]
        await asyncio.gather(*(run(place) for place in places))

    asyncio.run(run_all())
    assert not [each for each in statuses.items() if each[1] == (200, "whole")]


@pytest.mark.parametrize("killed", [True, False])
def test_a_plain_body_without_length_that_ends_with_its_target_is_lost(killed):
    """A part of the body would have been forwarded as the whole one."""
    trial = Trial()
    trial.context.connections = TargetConnections()
    trial.route = evolve(trial.route, kind=AtMostOnce())
    trial.build_target_request = lambda *_: OutgoingRequest("POST", "/")
    caller = Caller()

    async def run():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"\r\npart")
            await writer.drain()
            if killed:
                server.close()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        target = evolve(trial.add("desk").target, address=f"{host}:{port}")
        trial.engines[target.address] = Engine(target)
        trial.table.apply([Listed(target)])
        await trial.dispatcher().handle(caller, trial.request("r1", 2.0))
        server.close()

    trial.run(run())
    assert caller.status == (502 if killed else 200)
