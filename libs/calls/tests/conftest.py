"""Fixtures: instances that share a log and services, with fakes as collaborators."""

import threading
import time
from collections.abc import Callable, Iterator
from http.server import ThreadingHTTPServer

import pytest
from attrs import define, field, frozen
from celeryfork_admission.poison import (
    PoisonBounds,
    PoisonRegistry,
    make_poison_registry,
)
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import (
    RequestRefusedError,
)
from celeryfork_base.identity import Incarnation, make_uuid7
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.claims import ClaimCoordinator, make_claim_coordinator
from celeryfork_calls.plain_caller import PlainCall, PlainCaller, make_plain_caller
from celeryfork_calls.tickets import TicketManager, make_ticket_manager
from celeryfork_membership.update_store import make_update_store
from celeryfork_wire.gen.celeryfork import Peer
from celeryfork_wire.gen.celeryfork.ttypes import InstanceState
from celeryfork_wire.peers import PeerPool, PeerServer
from fake_log import FakeLog
from fake_service import FakeService, make_handler

SECRET = b"0123456789abcdef"
ORGANISATION = "kettlecare"


@pytest.fixture
def fake_log_class() -> type[FakeLog]:
    return FakeLog


@pytest.fixture
def log() -> FakeLog:
    return FakeLog(SystemClock())


@pytest.fixture
def new_key() -> Callable[..., str]:
    """Return a function that makes a caller's key of a given age."""

    def make(age_s: float = 0.0) -> str:
        return str(make_uuid7(SystemClock().wall_ms() - round(age_s * 1000)))

    return make


@pytest.fixture
def start_coordinator(log: FakeLog) -> Iterator[Callable[..., ClaimCoordinator]]:
    """Return a function that starts claim coordinators on the shared log."""
    coordinators: list[ClaimCoordinator] = []

    def start(instance: str = "a", **options: float) -> ClaimCoordinator:
        settings = {"retention_s": 3600.0, "commit_wait_s": 0.001, "flush_s": 1.0}
        coordinator = make_claim_coordinator(
            log,
            Incarnation(instance, 1),
            SystemClock(),
            Counters(),
            **settings | options,
        )
        coordinator.start()
        coordinators.append(coordinator)
        return coordinator

    yield start
    log.answering.set()
    log.outage(False)
    for coordinator in coordinators:
        coordinator.stop()


def deadline_in(seconds: float = 5.0) -> float:
    return time.monotonic() + seconds


@pytest.fixture
def wait_until() -> Callable[[Callable[[], bool]], None]:
    def wait(condition: Callable[[], bool]) -> None:
        give_up_at_s = deadline_in(10)
        while not condition():
            assert time.monotonic() < give_up_at_s, (
                "the condition was not met within 10 s"
            )
            time.sleep(0.002)

    return wait


@pytest.fixture
def start_service() -> Iterator[Callable[[], FakeService]]:
    servers: list[ThreadingHTTPServer] = []

    def start(*answers: str) -> FakeService:
        service = FakeService(list(answers))
        service.may_answer.set()
        server = ThreadingHTTPServer(("127.0.0.1", 0), make_handler(service))
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
    """Chooses the first target that is not in ``avoid``."""

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

    def record_success(self) -> None:
        self.left += 1

    def try_spend(self) -> bool:
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
        return self._instance.tickets.run_for_peer(call)

    def hand_over(self, outcomes):  # type: ignore[no-untyped-def]
        self._instance.caller.accept_wire_outcomes(outcomes)


@define(eq=False)
class FakeInstance:
    """An instance with this library's objects, connected as in the daemon."""

    identity: FakePeer
    coordinator: ClaimCoordinator
    tickets: TicketManager
    caller: PlainCaller
    router: FakeRouter
    budget: FakeRetryBudget
    poison: PoisonRegistry
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
            deadline_s=deadline_in(deadline_s),
        )

    def book_visit(self, key: str | None, **options):  # type: ignore[no-untyped-def]
        return self.caller.call(self.call_of(key, **options))

    def vanish(self, gossip: FakeGossip) -> None:
        """Stop answering peers without notice, as a killed process does."""
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
    """Return a function that starts instances sharing a log, peers and targets."""
    instances: list[FakeInstance] = []
    pool = PeerPool()
    configuration = FakeConfiguration({"visit-desk": FakeServiceConfiguration(kinds)})

    def start(name: str, *services: FakeService, domain: str = "karen") -> FakeInstance:
        clock, counters = SystemClock(), Counters()
        number = len(instances) + 1
        coordinator = make_claim_coordinator(
            log,
            Incarnation(name, number),
            clock,
            counters,
            3600.0,
            commit_wait_s=0.001,
            flush_s=1.0,
        )
        identity = FakePeer(name, number, domain, "")
        tickets = make_ticket_manager(identity, SECRET, pool, gossip, clock, counters)
        router = FakeRouter(
            [FakeTarget(f"t{n}", s.address) for n, s in enumerate(services)]
        )
        budget, view = FakeRetryBudget(), FakeView()
        updates = make_update_store(clock, counters)
        poison = make_poison_registry(
            updates, clock, counters, lambda: PoisonBounds(most_crashes=2, ttl_s=600.0)
        )
        caller = make_plain_caller(
            router,
            view,
            coordinator,
            tickets,
            budget,
            poison,
            lambda: configuration,
            clock,
            counters,
        )
        instance = FakeInstance(
            identity,
            coordinator,
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
        coordinator.start()
        instances.append(instance)
        return instance

    yield start
    log.answering.set()
    log.outage(False)
    for instance in instances:
        instance.coordinator.stop()
        instance.server.stop()
    pool.close()
