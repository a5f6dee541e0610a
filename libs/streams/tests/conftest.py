"""Scripted engines, fake neighbours, and callers for the tests of streams."""

import asyncio
import json
import socket
import threading
import time

import pytest
from attrs import define, evolve, field
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_streams.caller import take_over
from celeryfork_streams.engine_client import make_engine_session
from celeryfork_streams.formats import CompletionShape
from celeryfork_streams.loop_thread import make_loop_thread
from celeryfork_streams.policy import StreamPolicy
from celeryfork_streams.ports import Chain, Hop, Target
from celeryfork_streams.serve import serve_generate
from celeryfork_streams.streams import GenerateRequest, make_stream_runner
from virtual_time import LoopClock, PacedEngine, PacedSession, VirtualLoop

LAYERS = 24
WAIT_S = 10.0


class Talk:
    """One attempt as a scripted engine sees it."""

    def __init__(self, request, writer):
        self.request = request
        self.writer = writer
        self.attempt = request["attempt"]
        self.position = request["position"]
        self.spans = [[stage["first"], stage["last"]] for stage in request["chain"]]

    async def accept(self):
        self.writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
            b"Connection: close\r\n\r\n"
        )
        await self.writer.drain()

    async def send(self, event):
        self.writer.write(json.dumps(event).encode() + b"\n")
        await self.writer.drain()

    async def token(self, position=None, text=None, attempt=None, spans=None):
        if position is None:
            position, self.position = self.position, self.position + 1
        event = {"a": attempt or self.attempt, "p": position}
        event["x"] = f" t{position}" if text is None else text
        event["l"] = spans or self.spans
        await self.send(event)

    async def tokens(self, count):
        for _ in range(count):
            await self.token()

    async def rest(self):
        """Send the answer's remaining tokens and its end."""
        await self.tokens(self.request["max_tokens"] - self.position)
        await self.send({"a": self.attempt, "p": self.position, "end": "length"})

    async def fault(self, error, engine=None):
        event = {"a": self.attempt, "error": error}
        await self.send(event if engine is None else {**event, "engine": engine})

    async def reject(self, status, text="overloaded", headers=""):
        body = json.dumps({"error": text})
        self.writer.write(
            f"HTTP/1.1 {status} No\r\nContent-Length: {len(body)}\r\n{headers}"
            f"Connection: close\r\n\r\n{body}".encode()
        )

    def reset(self):
        self.writer.transport.abort()


async def answer_whole(talk):
    await talk.accept()
    await talk.rest()


class ScriptedEngine:
    """An engine that does for each attempt what its script says."""

    def __init__(self, name):
        self.name = name
        self.scripts = []  # one for each attempt; then answer_whole
        self.requests = []
        self.silent = False  # answers no other call either
        self.cancelled = threading.Event()
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"GET /v1/engine "):
                if self.silent:
                    await reader.read()
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                return
            fields = dict(
                line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2]
            )
            body = await reader.readexactly(int(fields[b"content-length"]))
            talk = Talk(json.loads(body), writer)
            self.requests.append(talk.request)
            script = self.scripts.pop(0) if self.scripts else answer_whole
            run = asyncio.ensure_future(script(talk))
            gone = asyncio.ensure_future(reader.read())
            await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
            run.cancel()
            gone.cancel()
            ended, _ = await asyncio.gather(run, gone, return_exceptions=True)
            if isinstance(ended, BaseException):
                self.cancelled.set()
        except (OSError, asyncio.IncompleteReadError):
            self.cancelled.set()
        finally:
            writer.close()


@define
class FakeRouter:
    """Hands out the first chain that isn't avoided, and keeps the books."""

    chains: list = field(factory=list)
    asked: list = field(factory=list)
    released: list = field(factory=list)
    in_flight: int = 0
    refuse_calls: range = range(0)

    def choose(self, request):
        self.asked.append(request)
        for chain in [] if len(self.asked) in self.refuse_calls else self.chains:
            if not any(hop.target.id in request.avoid for hop in chain.hops):
                self.in_flight += 1
                return chain
        raise RequestRefusedError(
            "no chain", "add engines", outcome=Outcome.NOT_RUN, status=503,
            code="no_target", retry_after_s=1.0,
        )  # fmt: skip

    def release(self, chain, result):
        self.in_flight -= 1
        self.released.append((chain, result))


@define
class FakeView:
    observed: list = field(factory=list)
    unusable: set = field(factory=set)

    def observe(self, target_id, observation):
        self.observed.append((target_id, type(observation).__name__))

    def usable(self, target_id):
        return target_id not in self.unusable


@define
class FakeBudget:
    left: int = 1000
    successes: int = 0

    def record_success(self):
        self.successes += 1

    def try_spend(self):
        self.left -= 1
        return self.left >= 0


@define
class FakePoison:
    counted: list = field(factory=list)

    def record_crash(self, fingerprint, target_id):
        self.counted.append((fingerprint, target_id))

    def crashes(self, fingerprint):
        return sum(1 for known, _ in self.counted if known == fingerprint)

    def check(self, fingerprint):
        if self.crashes(fingerprint) >= 2:
            raise RequestRefusedError(
                "crashed its targets", "change the request",
                outcome=Outcome.FAILED, status=422, code="poison",
            )  # fmt: skip


class World:
    """A runner on its own loop thread, with engines that follow scripts."""

    def __init__(self):
        self.counters = Counters()
        self.router, self.view = FakeRouter(), FakeView()
        self.budget, self.poison = FakeBudget(), FakePoison()
        self.policy = StreamPolicy(
            first_token_floor_s=0.3, token_gap_floor_s=0.2, no_target_wait_s=0.01
        )
        self.thread = make_loop_thread()
        self.thread.start()
        self.engines_by_name = {}
        self.session = self.do(make_engine_session(1.0))
        self.runner = make_stream_runner(
            self.router, self.view, self.budget, self.poison, SystemClock(),
            self.counters, self.session, layers_of=lambda model: LAYERS,
            domain="westlands", policy=lambda: self.policy,
        )  # fmt: skip

    def do(self, coroutine):
        return self.thread.submit(coroutine).result(timeout=WAIT_S)

    def set_policy(self, **changes):
        self.policy = evolve(self.policy, **changes)

    def engine(self, name):
        engine = ScriptedEngine(name)
        self.do(engine.start())
        self.engines_by_name[name] = engine
        return engine

    def chain(self, *names):
        """Add a chain of engines, new or known, that share the layers evenly."""
        share = LAYERS // len(names)
        hops = []
        for index, name in enumerate(names):
            engine = self.engines_by_name.get(name) or self.engine(name)
            target = make_target(name, engine.address)
            hops.append(Hop(target, index * share, (index + 1) * share))
        self.router.chains.append(Chain(tuple(hops), "+".join(names)))
        return [self.engines_by_name[name] for name in names]

    def request(self, **changes):
        fields = {
            "request_id": "r1", "stream_id": "r1.1", "organisation": "kiosk",
            "model": "reminder-writer",
            "prompt": "Hard water in Nairobi", "max_tokens": 12, "priority": 5,
            "seed": 0, "deadline_s": time.monotonic() + WAIT_S, "fingerprint": "f1",
        }  # fmt: skip
        return GenerateRequest(**{**fields, **changes})

    def make_target(self, name, address):
        return make_target(name, address)

    def make_sink(self):
        return ListSink()

    def run(self, request=None, sink=None):
        sink = sink or ListSink()
        result = self.do(self.runner.run(request or self.request(), sink))
        assert self.router.in_flight == 0
        return result, sink

    def call(self, request=None, shape=None):
        """Start a whole call and return (caller's socket, future of the result)."""
        ours, theirs = connected_sockets()
        return ours, self.serve(theirs, request, shape)

    def serve(self, connection, request=None, shape=None):
        """Serve a call on an accepted connection; return the result's future."""

        async def serve():
            caller = await take_over(connection, self.policy, self.counters)
            return await serve_generate(
                request or self.request(),
                caller,
                self.runner,
                shape or CompletionShape(stream=True, created_s=0),
            )

        return self.thread.submit(serve())

    def stop(self):
        for engine in self.engines_by_name.values():
            self.do(engine.stop())
        self.do(self.session.close())
        self.thread.stop()


class PacedWorld:
    """A runner in virtual time, over engines that send at a pace."""

    def __init__(self):
        self.loop = VirtualLoop()
        self.counters = Counters()
        self.router, self.view = FakeRouter(), FakeView()
        self.budget = FakeBudget()
        self.session = PacedSession()
        self.policy = StreamPolicy()
        self.runner = make_stream_runner(
            self.router, self.view, self.budget, FakePoison(),
            LoopClock(self.loop), self.counters, self.session,
            layers_of=lambda model: LAYERS, domain="westlands",
            policy=lambda: self.policy,
        )  # fmt: skip

    def chain(self, *names, **pace):
        """Add a chain of new engines; the first sets its pace."""
        share = LAYERS // len(names)
        hops = [
            Hop(make_target(name, f"{name}:1"), index * share, (index + 1) * share)
            for index, name in enumerate(names)
        ]
        self.router.chains.append(Chain(tuple(hops), "+".join(names)))
        engine = self.session.engines_by_address[f"{names[0]}:1"] = PacedEngine(**pace)
        return engine

    def run(self, tokens, deadline_s):
        """Run a stream; return its result, its texts and the seconds that it took."""
        began_s = self.loop.time()
        request = GenerateRequest(
            request_id="r1", stream_id="r1.1", organisation="kiosk",
            model="reminder-writer", prompt="Hard water in Nairobi",
            max_tokens=tokens, priority=5, seed=0,
            deadline_s=began_s + deadline_s, fingerprint="f1",
        )  # fmt: skip
        sink = ListSink()
        result = self.loop.run_until_complete(self.runner.run(request, sink))
        assert self.router.in_flight == 0
        return result, sink.texts, self.loop.time() - began_s


def make_target(name, address):
    return Target(name, "engine", "reminder-writer", "westlands", address, 1)


@define
class ListSink:
    """Keeps what it is given."""

    texts: list = field(factory=list)
    ends: list = field(factory=list)

    async def token(self, text):
        self.texts.append(text)

    async def finished(self, reason, tokens):
        self.ends.append((reason, tokens))


def connected_sockets():
    """Return two connected TCP sockets."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        ours = socket.create_connection(listener.getsockname(), timeout=WAIT_S)
        theirs, _ = listener.accept()
    return ours, theirs


def wait_until(condition):
    """Wait for a condition, with a deadline."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition did not come true in time"
        time.sleep(0.005)


def read_all(connection):
    """Read to the end of the connection."""
    data = b""
    with connection:
        while part := connection.recv(65536):
            data += part
    return data


@pytest.fixture
def world():
    made = World()
    yield made
    made.stop()


@pytest.fixture
def paced():
    made = PacedWorld()
    yield made
    made.loop.close()


@pytest.fixture
def eventually():
    return wait_until


@pytest.fixture
def read_answer():
    return read_all


@pytest.fixture
def connected():
    ours, theirs = connected_sockets()
    yield ours, theirs
    ours.close()
    theirs.close()
