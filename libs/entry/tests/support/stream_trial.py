"""Runs streams of one entry instance over scripted engines, without a network.

The entry's components are real; connections, dialect, detours and caller are fakes.
"""

import asyncio
import time
from collections import deque
from contextlib import suppress
from itertools import pairwise
from math import inf
from types import SimpleNamespace

import small_model
from attrs import define, evolve, field, frozen
from celeryfork_admission.crash_evidence import make_crash_evidence
from celeryfork_admission.retry_share import RetryShare
from celeryfork_base.counters import Counters
from celeryfork_entry.admission_gate import AdmissionGate
from celeryfork_entry.budget_loans import BudgetLoans
from celeryfork_entry.call import Call, CallContext
from celeryfork_entry.capacity_sharing import CapacitySharing
from celeryfork_entry.configuration import (
    CallerLimits,
    Configuration,
    Route,
    Service,
    Stream,
)
from celeryfork_entry.crash_guard import CrashGuard
from celeryfork_entry.dispatcher import Dispatcher
from celeryfork_entry.engine_checks import EngineChecks
from celeryfork_entry.engine_permits import EnginePermits
from celeryfork_entry.load_knowledge import LoadKnowledge
from celeryfork_entry.path_selector import PathSelector
from celeryfork_entry.peer_protocol import REMOTE_REPORT_PERIOD, PeerProtocol
from celeryfork_entry.plain_calls import PlainCalls
from celeryfork_entry.ports import EngineReport, Peer, ReplyMetadata, RequestMetadata
from celeryfork_entry.roster import Roster
from celeryfork_entry.settings import Mode
from celeryfork_entry.stream_calls import StreamCalls
from celeryfork_entry.target_http import LostError, PortClosedError
from celeryfork_entry.target_streams import TargetStreams
from celeryfork_entry.targets import Listed, Target, TargetTable
from celeryfork_routing.engine_loads import EngineLoads
from celeryfork_routing.layers import Accelerator, LayerRange

LAYERS = small_model.SHAPE.layers
CARDS = {"card": Accelerator("card", 2_000.0)}
SHAPE = evolve(small_model.SHAPE, accelerators_by_name=CARDS)
SERVICE = Service("llm", "/healthz", 100, SHAPE)
PLAIN_SERVICE = evolve(SERVICE, model=None)
ANSWER_EVENTS = 12
CALL_S = 20.0
CRASH_AFTER_S = 0.02
"""Seconds from the begin of a run to the crash that it causes."""
BACK = (4, LAYERS)
"""Layers of the last engine of a path."""
FRONT = (0, 4)
"""Layers of the first engine of a path."""


@frozen
class Run:
    """The engine runs the request.

    Parameters
    ----------
    events
        Number of events that it sends, None for all remaining ones.
    lost
        Ids of engines that terminate after the last event, which breaks the stream.
    after_s
        Seconds between the last event and the break.
    gap_s
        Seconds before each event after the first.
    """

    events: int | None = None
    lost: tuple[str, ...] = ()
    after_s: float = 0.07
    gap_s: float = 0.0


@frozen
class Refuse:
    """The engine refuses the request, as engine ``at_fault`` has no free memory."""

    at_fault: str


@frozen
class Terminate:
    """The engine terminates while the request is still in its queue, not run."""


@frozen
class ReplyWithError:
    """The engine replies with an error of its own."""


@frozen
class LoseReply:
    """The engine runs the request, and its reply is lost.

    Parameters
    ----------
    crash
        True if the engine terminates.
    """

    crash: bool = False


@frozen
class Stall:
    """The engine accepts the request and never replies."""


@frozen
class CrashOn:
    """The engine terminates as it begins to run a request with a shared part.

    Its other streams break off at the same moment. The step stays in the script:
    requests without the part run whole.
    """

    part: str


@define
class Engine:
    """A fake engine that follows a script, and then sends complete answers.

    Parameters
    ----------
    script
        Responses to the next requests.
    gone
        True once its process has terminated.
    runs
        Number of requests that it has run.
    arrivals
        Number of requests that have reached it.
    crashed
        Set once a request has crashed it, which breaks its streams.
    awake
        Cleared while it is paused: it answers nothing, and its streams stand still.
    limit_per_s
        Limit in its answers: infinite for none, None if they don't tell.
    leaving
        True if its answers say that it is leaving.
    arrived_s
        Times at which requests have reached it.
    """

    target: Target
    script: deque = field(factory=deque)
    gone: bool = False
    runs: int = 0
    arrivals: int = 0
    limit_per_s: float | None = inf
    leaving: bool = False
    arrived_s: list = field(factory=list)
    crashed: asyncio.Event = field(factory=asyncio.Event)
    awake: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self):
        self.awake.set()


class Trial:
    """One entry instance in front of fake engines.

    Attributes
    ----------
    shared_parts
        Ids of the parts that the prompts of its requests share.
    last_event
        Number of the last event that its callers have, None for none.
    service
        The service of its targets, with a model unless it is :data:`PLAIN_SERVICE`.
    """

    service = SERVICE

    shared_parts = ()
    last_event = None
    organisation_by_key = {}

    def __init__(self, *, slack=100.0, instances=1, max_targets=2, peer=None):
        self.table = TargetTable()
        self.engines = {}
        self.lines = []
        self.counters = Counters()
        self.share = RetryShare(0.2, slack, 10.0)
        self.route = Route(
            "advice", "a.example", "/", Stream(True, 0.2), CALL_S, 0.5, 1,
            (("llm", 1.0),), max_targets, True,
        )  # fmt: skip
        log = SimpleNamespace(info=self._record_line)
        checks = EngineChecks(self.table, self, self, log, self.counters, domain="a")
        self.checks = checks
        self.roster = Roster(peer or Peer("i1", "a", "10.1.0.1:7"))
        self.peers = PeerProtocol(self.roster, EngineLoads(), log)
        self.loans = BudgetLoans(
            self.roster,
            lambda service: self.share,
            lambda: instances,
            lambda: ["llm"],
            self.peers.send_to,
            log,
            self.counters,
            started_s=time.monotonic() - 60.0,
        )
        self.peers.on_loan = self.loans.handle_message
        self.peers.on_lendable = self.loans.record_lendable
        self.peers.lendable = self.loans.lendable
        self.permits = EnginePermits(
            self.table, self.roster, lambda: instances, self.peers.send_to, log,
            self.counters,
        )  # fmt: skip
        self.peers.on_permit = self.permits.handle_message
        self.context = CallContext(
            table=self.table,
            connections=self,
            dialect=self,
            log=log,
            counters=self.counters,
            configuration=lambda: None,
            instance_count=lambda: instances,
            budget_instance_count=lambda: instances,
            budget_of=lambda service: self.share,
            loans=self.loans,
            permits=self.permits,
            load_knowledge=LoadKnowledge(
                self.peers.demand, EngineLoads(), lambda: None
            ),
            domain="a",
        )
        checks.on_reply = self.context.record_reply
        loads = EngineLoads()
        reachability = SimpleNamespace(
            refused=lambda *_: None, engine_down=lambda _: None
        )
        leaving = SimpleNamespace(check=lambda *_: None)
        selector = PathSelector(self.context, loads)
        self.evidence = make_crash_evidence()
        self.guard = CrashGuard(self.evidence, self.context)
        self.streams = StreamCalls(
            self.context, checks, leaving, loads, reachability, selector, self,
            self.guard,
        )  # fmt: skip
        self.target_streams = TargetStreams(self.context, self.guard)
        checks.on_down = self.streams.engine_down
        checks.is_in_use = self.streams.uses
        checks.spawn = asyncio.ensure_future

    def _record_line(self, event, **inputs):
        self.lines.append((event, inputs))

    def logged(self, event):
        return [inputs for name, inputs in self.lines if name == event]

    def add(self, engine_id, *script, layers=(0, LAYERS), domain="a"):
        number = len(self.engines) + 1
        target = Target(
            engine_id, "llm", f"10.0.0.{number}:1", domain, accelerator="card",
            held=LayerRange(*layers), born_ms=1,
        )  # fmt: skip
        self.engines[target.address] = Engine(target, deque(script))
        self.table.apply([Listed(target)])
        return self.engines[target.address]

    def engine(self, engine_id):
        return next(e for e in self.engines.values() if e.target.id == engine_id)

    @staticmethod
    def run(work, within_s=10.0):
        return asyncio.run(asyncio.wait_for(work, within_s))

    def serve(self, caller=None):
        """Serve one stream and return its caller."""
        return self.run(self.serve_one(caller or Caller()))

    async def serve_one(self, caller, request_id="r1"):
        await self.serve_call(self.call(caller, request_id, CALL_S))
        return caller

    async def serve_call(self, call):
        """Serve a stream, as the dispatcher does."""
        if call.service.model is None:
            await self.target_streams.serve(call)
        else:
            await self.streams.serve(call)

    def request(self, request_id, left_s, shared_parts=None):
        """Return a caller's request that :meth:`read_request` reads."""
        metadata = RequestMetadata(
            request_id, "a.example", "/", None, left_s, 100, 40, 40.0, self.last_event,
            self.shared_parts if shared_parts is None else shared_parts,
        )  # fmt: skip
        return SimpleNamespace(
            arrived_s=time.monotonic(),
            method="POST",
            target="/",
            body=request_id.encode(),
            body_read=True,
            metadata=metadata,
        )

    def dispatcher(self):
        """Return the dispatcher, with a configuration of the trial's route."""
        configuration = Configuration(
            version=1,
            routes_by_host={self.route.host: (self.route,)},
            services_by_name={self.service.name: self.service},
            organisation_by_key=self.organisation_by_key,
            needs_key=False,
            limits=CallerLimits(1_000, 1_000, 1.0, 1.0),
        )
        self.context.configuration = lambda: configuration
        gate = AdmissionGate(
            self.context, CapacitySharing(self.context.configuration), Mode.AUTO, "i1"
        )
        plain = PlainCalls(self.context, self.guard)
        return Dispatcher(self.context, plain, self.streams, self.target_streams, gate)

    def call(self, caller, request_id, left_s, shared_parts=None):
        request = self.request(request_id, left_s, shared_parts)
        return Call(
            connection=caller,
            request=request,
            metadata=request.metadata,
            route=self.route,
            service=self.service,
            organisation=None,
            version=1,
            deadline_s=time.monotonic() + left_s,
        )

    # Methods of the fake detours.

    async def reroute(self, call, path):
        return None

    # Methods of the fake connections and dialect.

    async def send(self, address, request, *, on_sent=lambda: None, **_):
        engine = self.engines[address]
        await asyncio.sleep(0)
        if engine.gone:
            raise PortClosedError("connection refused")
        if request == "report?":
            await engine.awake.wait()
            return _Reply(200, [b"report"], engine)
        on_sent()
        await engine.awake.wait()
        engine.arrivals += 1
        engine.arrived_s.append(time.monotonic())
        step = engine.script.popleft() if engine.script else Run()
        match step:
            case CrashOn(part):
                engine.script.appendleft(step)
                engine.runs += 1
                run = Run() if part not in request.parts else Run(0)
                return self._run(engine, request.after_event, run, crashes=run != Run())
            case Refuse(at_fault):
                fault = self.engine(at_fault).target.address
                return _Reply(503, [b""], engine, at_fault=fault)
            case Terminate():
                engine.gone = True
                raise LostError("the connection ended before a reply")
            case ReplyWithError():
                return _Reply(500, [b"its own failure"], engine)
            case Stall():
                return await asyncio.get_running_loop().create_future()
            case LoseReply(crash):
                engine.runs += 1
                engine.gone = crash
                raise LostError("the connection ended before a reply")
            case Run():
                engine.runs += 1
                reply = self._run(engine, request.after_event, step)
                run_by = request.engine_ids or (engine.target.id,)
                reply.awake = [self.engine(each).awake for each in run_by]
                return reply

    def _run(self, engine, after, run, crashes=False):
        first = (after or 0) + 1
        last = ANSWER_EVENTS if run.events is None else first + run.events - 1
        pieces = [b"id: %d\ndata: x\n\n" % n for n in range(first, last + 1)]

        async def end():
            with suppress(TimeoutError):
                async with asyncio.timeout(CRASH_AFTER_S if crashes else run.after_s):
                    await engine.crashed.wait()
            if crashes:
                engine.gone = True
                engine.crashed.set()
            for engine_id in run.lost:
                self.engine(engine_id).gone = True
            raise LostError("the connection broke in a reply")

        end_of_run = None if run.events is None else end
        return _Reply(200, pieces, engine, end=end_of_run, gap_s=run.gap_s)

    async def is_refused(self, address, timeout_s):
        return self.engines[address].gone

    def forget(self, address):
        pass

    def read_request(self, request):
        return request.metadata

    def build_target_request(self, request, options):
        return SimpleNamespace(
            after_event=options.after_event,
            parts=request.metadata.shared_parts,
            engine_ids=options.path.engine_ids if options.path else (),
        )

    def read_reply(self, status, reply_headers):
        at_fault = dict(reply_headers).get("at fault")
        limit_per_s = dict(reply_headers).get("limit")
        leaving = dict(reply_headers).get("leaving", False)
        return ReplyMetadata(status == 503, None, at_fault, limit_per_s, leaving)

    def reply_headers(self, headers):
        return []

    def build_report_request(self):
        return "report?"

    def read_report(self, body):
        held = self.engine(body.decode()).target.held
        return EngineReport(held, 0, False, 1, 1.0, {})


class _Reply:
    is_framed = True
    ended_with_connection = False

    def __init__(self, status, pieces, engine, end=None, at_fault=None, gap_s=0.0):
        self.awake = ()
        self.status = status
        self.headers = [
            ("at fault", at_fault),
            ("limit", engine.limit_per_s),
            ("leaving", engine.leaving),
        ]
        self._pieces = deque(pieces)
        self._engine = engine
        self._end = end
        self._gap_s = gap_s
        self._next_gap_s = 0.0

    async def read(self):
        await asyncio.sleep(self._next_gap_s if self._pieces else 0)
        for awake in self.awake:
            await awake.wait()
        if self._pieces:
            self._next_gap_s = self._gap_s
            return self._pieces.popleft()
        if self._end is not None:
            await self._end()
        return b""

    def header(self, name):
        return None

    async def read_all(self, max_bytes):
        return self._engine.target.id.encode()

    async def skip_body(self):
        pass

    def drop(self):
        pass


class Caller:
    """A fake caller connection that records the answer."""

    def __init__(self):
        self.stream = SimpleNamespace(ended=False)
        self.events = []
        self.at_s = []
        self.ending = ""
        self.status = None

    async def begin_stream(self, status, headers, first):
        self.status = status
        await self.send_chunk(first)

    async def send_chunk(self, data):
        self.at_s.append(time.monotonic())
        self.events += [int(line[4:]) for line in data.split(b"\n") if b"id:" in line]

    async def answer(self, status, headers, body):
        self.status, self.ending = status, "whole"

    async def end_stream(self):
        self.ending = "whole"

    @property
    def can_answer(self):
        return self.status is None

    def abort(self):
        self.ending = "broken off"

    @property
    def max_event_gap_s(self):
        return max(after - at for at, after in pairwise(self.at_s))

    @property
    def has_complete_answer(self):
        whole = self.events == list(range(1, ANSWER_EVENTS + 1))
        return whole and self.ending == "whole"


class Fleet:
    """Instances in three failure domains that share one retry budget.

    Parameters
    ----------
    lost
        Returns True if a datagram between two addresses is lost.
    """

    def __init__(self, instances, slack, lost=lambda sender, receiver: False):
        peers = [
            Peer(f"i{n}", "abc"[n % 3], f"10.{n % 3}.0.{n}:7") for n in range(instances)
        ]
        self.trials = [
            Trial(slack=slack, instances=instances, peer=peer) for peer in peers
        ]
        self.lost = lost
        self._trial_by_address = {
            trial.roster.own.address: trial for trial in self.trials
        }
        for trial in self.trials:
            trial.roster.add_listed(peers)
            trial.peers.connection_made(_FakeSocket(self, trial.roster.own.address))

    def run(self, work):
        """Run ``work`` once all instances know how many retries each would lend."""

        async def run():
            for _ in range(REMOTE_REPORT_PERIOD):
                for trial in self.trials:
                    trial.peers._report()
                await asyncio.sleep(0)
            return await asyncio.wait_for(work, 10.0)

        return asyncio.run(run())

    def deliver(self, data, sender, receiver):
        trial = self._trial_by_address.get(receiver)
        if trial is not None and not self.lost(sender, receiver):
            trial.peers.datagram_received(data, sender)

    def counted_retries(self):
        """Return the number of retries that count in the shares of all instances."""
        return sum(
            trial.share.state(time.monotonic(), len(self.trials)).retries
            for trial in self.trials
        )


class _FakeSocket:
    """Fake socket of one instance; datagrams arrive in the next loop iteration."""

    def __init__(self, fleet, address):
        self._fleet, self._address = fleet, address

    def sendto(self, data, address):
        receiver = f"{address[0]}:{address[1]}"
        loop = asyncio.get_running_loop()
        loop.call_soon(self._fleet.deliver, data, self._address, receiver)
