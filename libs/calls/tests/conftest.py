"""A log with faults, a service that records what it ran, and the parts around them."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from attrs import define, field, frozen
from celeryfork_admission.poison import (
    PoisonBounds,
    PoisonRegister,
    make_poison_register,
)
from celeryfork_base.clock import Clock, SystemClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import (
    AppendUnknownError,
    PlatformUnavailableError,
    RequestRefusedError,
)
from celeryfork_base.identity import Incarnation, make_uuid7
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.claims import ClaimBook, make_claim_book
from celeryfork_calls.plain import PlainCall, PlainCaller, make_plain_caller
from celeryfork_calls.tickets import TicketOffice, make_ticket_office
from celeryfork_membership.news import make_news_board
from celeryfork_wire.gen.celeryfork import Peer
from celeryfork_wire.gen.celeryfork.ttypes import InstanceState
from celeryfork_wire.peers import PeerPool, PeerServer

SECRET = b"0123456789abcdef"
ORGANISATION = "kettlecare"


@frozen
class FakeRecord:
    offset: int
    appended_ms: int
    nonce: str
    data: str


@frozen
class FakeSlice:
    records: Sequence[FakeRecord]
    first_offset: int
    next_offset: int


class FakeLog:
    """One stream, shared by every book of a test; faults are switched on by name."""

    def __init__(self, clock: Clock, appends_per_second: float | None = None) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self.records: list[FakeRecord] = []
        self.first_offset = 0
        self.late: list[tuple[str, str]] = []
        self.faults: list[str] = []  # "refuse", "lose", "late" or "vanish", used up
        self.down = False
        self.held = threading.Event()  # cleared: appends stand still
        self.held.set()
        self.waiting = 0
        self.append_s = 0.0
        self.poll_s = 0.05
        self.append_count = 0
        self.refused_count = 0
        self.read_count = 0
        self._rate = appends_per_second
        self._allowance = 10.0
        self._allowance_s = clock.monotonic()

    @property
    def available(self) -> bool:
        return not self.down

    def append(self, stream: str, data: str, nonce: str, timeout_s: float) -> int:
        if self.append_s:
            time.sleep(self.append_s)
        self.waiting += 1
        held = not self.held.wait(timeout_s)
        self.waiting -= 1
        if held:
            raise AppendUnknownError("no answer in time", "look for the nonce")
        with self._changed:
            self.append_count += 1
            fault = self.faults.pop(0) if self.faults else ""
            if self.down or fault == "refuse" or not self._allowed():
                self.refused_count += 1
                raise PlatformUnavailableError("refused", "try again")
            if fault == "late":
                self.late.append((data, nonce))
            elif fault != "vanish":
                self._add(data, nonce)
            if fault in ("lose", "late", "vanish"):
                raise AppendUnknownError("the answer was lost", "look for the nonce")
            return self.records[-1].offset

    def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float, timeout_s: float
    ) -> FakeSlice:
        with self._changed:
            self.read_count += 1
            if wait_s > 0:
                self._changed.wait_for(
                    lambda: self.down or self.next_offset > from_offset, self.poll_s
                )
            if self.down:
                raise PlatformUnavailableError("down", "try again")
            start = max(from_offset, self.first_offset) - self.first_offset
            found = self.records[start : start + limit]
            return FakeSlice(tuple(found), self.first_offset, self.next_offset)

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)

    def release_late(self) -> None:
        """Let the late appends turn up."""
        with self._changed:
            for data, nonce in self.late:
                self._add(data, nonce)
            self.late.clear()

    def outage(self, down: bool) -> None:
        with self._changed:
            self.down = down
            self._changed.notify_all()

    def expire(self, retention_s: float) -> None:
        """Drop what is older than the retention."""
        with self._changed:
            oldest_ms = self._clock.wall_ms() - retention_s * 1000
            while self.records and self.records[0].appended_ms < oldest_ms:
                del self.records[0]
                self.first_offset += 1

    def _add(self, data: str, nonce: str) -> None:
        offset = self.next_offset
        self.records.append(FakeRecord(offset, self._clock.wall_ms(), nonce, data))
        self._changed.notify_all()

    def _allowed(self) -> bool:
        if self._rate is None:
            return True
        now_s = self._clock.monotonic()
        gained = (now_s - self._allowance_s) * self._rate
        self._allowance = min(10.0, self._allowance + gained)
        self._allowance_s = now_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True


@pytest.fixture
def fake_log_class() -> type[FakeLog]:
    return FakeLog


@pytest.fixture
def log() -> FakeLog:
    return FakeLog(SystemClock())


@pytest.fixture
def new_key() -> Callable[..., str]:
    """Return a key as a caller makes it, born a while ago."""

    def make(age_s: float = 0.0) -> str:
        return str(make_uuid7(SystemClock().wall_ms() - round(age_s * 1000)))

    return make


@pytest.fixture
def start_book(log: FakeLog) -> Iterator[Callable[..., ClaimBook]]:
    """Return a starter of books on the one log; they stop with the test."""
    books: list[ClaimBook] = []

    def start(instance: str = "a", **options: float) -> ClaimBook:
        settings = {"retention_s": 3600.0, "commit_wait_s": 0.001, "flush_s": 1.0}
        book = make_claim_book(
            log,
            Incarnation(instance, 1),
            SystemClock(),
            Counters(),
            **settings | options,
        )
        book.start()
        books.append(book)
        return book

    yield start
    log.held.set()
    log.outage(False)
    for book in books:
        book.stop()


def soon(seconds: float = 5.0) -> float:
    return time.monotonic() + seconds


@pytest.fixture
def wait_until() -> Callable[[Callable[[], bool]], None]:
    def wait(condition: Callable[[], bool]) -> None:
        ends_s = soon(10)
        while not condition():
            assert time.monotonic() < ends_s, "the condition did not come true"
            time.sleep(0.002)

    return wait


@define
class FakeService:
    """A plain service on a port of its own; ``answers`` are used up in order."""

    answers: list[str] = field(factory=list)
    ran: Counter[str] = field(factory=Counter)
    bodies: list[bytes] = field(factory=list)
    status_by_key: dict[str, bytes] = field(factory=dict)
    held: threading.Event = field(factory=threading.Event)
    address: str = ""
    connections: int = 0

    def take(self, key: str, body: bytes) -> str:
        """Run a call, unless the answer is to reject it, and return the answer."""
        answer = self.answers.pop(0) if self.answers else "done"
        if answer != "reject":
            self.ran[key] += 1
            self.bodies.append(body)
        self.held.wait(10)
        return answer


# Status, body, length if another one is claimed, and whether it drains.
ANSWERS = {
    "half": (200, b"booked", 100),
    "large": (200, b"x" * 100_000),
    "reject": (503, b"busy"),
    "busy": (503, b"busy"),
    "draining": (503, b"leaving", 0, True),
    "fail": (422, b"no such day"),
}


def _handler(service: FakeService) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def setup(self) -> None:
            super().setup()
            service.connections += 1

        def do_POST(self) -> None:
            body = self.rfile.read(int(self.headers["Content-Length"]))
            answer = service.take(self.headers.get("Idempotency-Key", ""), body)
            if answer in ("cut", "half", "unmarked"):
                self.close_connection = True
            match answer:
                case "cut":
                    pass
                case "unmarked":
                    self.send_response(200)
                    self.end_headers()
                    self.wfile.write(b"booked")
                case _:
                    self._answer(*ANSWERS.get(answer, (200, b"booked " + body)))

        def do_GET(self) -> None:
            kept = service.status_by_key.get(self.path.rpartition("/")[2])
            self._answer(404 if kept is None else 200, kept or b"")

        def _answer(
            self, status: int, body: bytes, length: int = 0, draining: bool = False
        ) -> None:
            self.send_response(status)
            self.send_header("Content-Type", "text/plain")
            self.send_header("Content-Length", str(length or len(body)))
            if draining:
                self.send_header("X-Draining", "true")
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, format: str, *args: object) -> None:
            pass

    return Handler


@pytest.fixture
def start_service() -> Iterator[Callable[[], FakeService]]:
    servers: list[ThreadingHTTPServer] = []

    def start(*answers: str) -> FakeService:
        service = FakeService(list(answers))
        service.held.set()
        server = ThreadingHTTPServer(("127.0.0.1", 0), _handler(service))
        server.daemon_threads = True
        service.address = f"127.0.0.1:{server.server_address[1]}"
        threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
        servers.append(server)
        return service

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()


@frozen
class FakeTarget:
    id: str
    address: str


@define
class FakeRouter:
    """Chooses the first target that isn't to be avoided."""

    targets: list[FakeTarget] = field(factory=list)
    chosen: list[str] = field(factory=list)
    open_count: int = 0

    def choose_service(self, service: str, avoid: frozenset[str]) -> FakeTarget:
        for target in self.targets:
            if target.id not in avoid:
                self.chosen.append(target.id)
                self.open_count += 1
                return target
        raise RequestRefusedError(
            "none", "wait", outcome=Outcome.NOT_RUN, status=503, code="no_target"
        )

    def release_service(self, target: FakeTarget, ok: bool, seconds: float) -> None:
        self.open_count -= 1


@define
class FakeView:
    observed: list[tuple[str, object]] = field(factory=list)

    def observe(self, target_id: str, observation: object) -> None:
        self.observed.append((target_id, observation))


@define
class FakeRetryBudget:
    left: int = 100

    def succeeded(self) -> None:
        self.left += 1

    def may_retry(self) -> bool:
        self.left -= 1
        return self.left >= 0


@frozen
class FakeKind:
    idempotent: bool = False
    timeout_s: float = 5.0
    rejects_before_running: bool = False
    status_path: str | None = None


@define
class FakeServiceConfiguration:
    kinds_by_name: dict[str, FakeKind]


@define
class FakePolicy:
    most_attempts: int = 3


@define
class FakeConfiguration:
    services_by_name: dict[str, FakeServiceConfiguration]
    policy: FakePolicy = field(factory=FakePolicy)


@frozen
class FakePeer:
    instance: str
    incarnation: int
    domain: str
    peer_address: str
    state: int = InstanceState.SERVING


@define
class FakeGossip:
    peers_by_instance: dict[str, FakePeer] = field(factory=dict)


class _PeerHandler(Peer.Iface):
    def __init__(self, instance: "FakeInstance") -> None:
        self._instance = instance

    def find_outcome(self, organisation, key, wait_ms):  # type: ignore[no-untyped-def]
        return self._instance.caller.find(organisation, key, wait_ms / 1000)

    def forward_ticket(self, call):  # type: ignore[no-untyped-def]
        return self._instance.tickets.on_forward(call)

    def hand_over(self, outcomes):  # type: ignore[no-untyped-def]
        self._instance.caller.take_over_wire(outcomes)


@define(eq=False)
class FakeInstance:
    """One instance: everything of this library, wired as the daemon does it."""

    identity: FakePeer
    book: ClaimBook
    tickets: TicketOffice
    caller: PlainCaller
    router: FakeRouter
    budget: FakeRetryBudget
    poison: PoisonRegister
    view: FakeView
    counters: Counters
    server: PeerServer

    def call_of(self, key, body=b"monday", kind="book", deadline_s=5.0):  # type: ignore[no-untyped-def]
        return PlainCall(
            request_id="r1",
            organisation=ORGANISATION,
            service="visit-desk",
            kind=kind,
            body=body,
            content_type="text/plain",
            key=key,
            deadline_s=soon(deadline_s),
        )

    def book_visit(self, key: str | None, **options):  # type: ignore[no-untyped-def]
        return self.caller.call(self.call_of(key, **options))

    def vanish(self, gossip: FakeGossip) -> None:
        """Go away without a word, as a killed process does."""
        self.server.stop()
        gossip.peers_by_instance.pop(self.identity.instance, None)


@pytest.fixture
def gossip() -> FakeGossip:
    return FakeGossip()


@pytest.fixture
def kinds() -> dict[str, FakeKind]:
    return {
        "book": FakeKind(),
        "quick": FakeKind(timeout_s=0.2),
        "firm": FakeKind(rejects_before_running=True),
        "traced": FakeKind(status_path="/status/{key}"),
        "ask": FakeKind(idempotent=True),
    }


@pytest.fixture
def start_instance(
    log: FakeLog, gossip: FakeGossip, kinds: dict[str, FakeKind]
) -> Iterator[Callable[..., FakeInstance]]:
    """Return a starter of instances that share a log, peers and targets."""
    instances: list[FakeInstance] = []
    pool = PeerPool()
    configuration = FakeConfiguration({"visit-desk": FakeServiceConfiguration(kinds)})

    def start(name: str, *services: FakeService, domain: str = "karen") -> FakeInstance:
        clock, counters = SystemClock(), Counters()
        number = len(instances) + 1
        book = make_claim_book(
            log,
            Incarnation(name, number),
            clock,
            counters,
            3600.0,
            commit_wait_s=0.001,
            flush_s=1.0,
        )
        identity = FakePeer(name, number, domain, "")
        tickets = make_ticket_office(identity, SECRET, pool, gossip, clock, counters)
        router = FakeRouter(
            [FakeTarget(f"t{n}", s.address) for n, s in enumerate(services)]
        )
        budget, view = FakeRetryBudget(), FakeView()
        news = make_news_board(clock, counters)
        poison = make_poison_register(
            news, clock, counters, lambda: PoisonBounds(most_crashes=2, ttl_s=600.0)
        )
        caller = make_plain_caller(
            router,
            view,
            book,
            tickets,
            budget,
            poison,
            lambda: configuration,
            clock,
            counters,
        )
        instance = FakeInstance(
            identity,
            book,
            tickets,
            caller,
            router,
            budget,
            poison,
            view,
            counters,
            None,
        )
        instance.server = PeerServer("127.0.0.1", 0)
        instance.server.start(_PeerHandler(instance))
        instance.identity = FakePeer(name, number, domain, instance.server.address)
        gossip.peers_by_instance[name] = instance.identity
        book.start()
        instances.append(instance)
        return instance

    yield start
    log.held.set()
    log.outage(False)
    for instance in instances:
        instance.book.stop()
        instance.server.stop()
    pool.close()
