"""Tests of celeryfork_admission.permits and .permit_home."""

import random
from concurrent.futures import Future

import pytest
from attrs import define, field
from celeryfork_admission.permit_home import Limit
from celeryfork_admission.permits import PermitManager, make_permit_manager
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_wire.gen.celeryfork import Peer
from celeryfork_wire.peers import PeerPool, PeerServer

DOMAINS = 3
INSTANCES = 9
RATE = 30.0
WAIT_S = 10


@define(eq=False)
class FakeDeployment:
    """Addresses of all instances; a partition hides other failure domains."""

    addresses_by_instance: dict[str, str] = field(factory=dict)
    partitioned: bool = False

    def domain_of(self, instance: str) -> int:
        return int(instance.removeprefix("i")) % DOMAINS


@define(eq=False)
class FakePeers:
    """The serving instances that one instance sees, and its shares."""

    deployment: FakeDeployment
    instance: str

    def serving(self) -> dict[str, str]:
        own_domain = self.deployment.domain_of(self.instance)
        return {
            name: address
            for name, address in self.deployment.addresses_by_instance.items()
            if not self.deployment.partitioned
            or self.deployment.domain_of(name) == own_domain
        }

    def domain_share(self) -> float:
        return 1 / DOMAINS if self.deployment.partitioned else 1.0

    def instance_share(self) -> float:
        return 1 / INSTANCES


class Handler(Peer.Iface):
    manager: PermitManager

    def lease_permits(self, batch):
        return self.manager.handle_lease_request(batch)


class PermitManagersMixin:
    """Set-up of nine permit managers that talk over Thrift, with one manual clock."""

    limit = Limit(requests_per_second=RATE, burst=RATE, concurrency=1000)

    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.deployment = FakeDeployment()
        self.pool = PeerPool()
        self.managers: list[PermitManager] = []
        self.servers: list[PeerServer] = []
        for number in range(INSTANCES):
            name = f"i{number}"
            handler = Handler()
            server = PeerServer("127.0.0.1", 0)
            server.start(handler)
            handler.manager = make_permit_manager(
                name,
                1,
                lambda organisation: self.limit if organisation == "o" else None,
                FakePeers(self.deployment, name),
                self.pool,
                lambda: 2.0,
                self.clock,
                Counters(),
            )
            self.deployment.addresses_by_instance[name] = server.address
            self.managers.append(handler.manager)
            self.servers.append(server)

    def teardown_method(self) -> None:
        for manager in self.managers:
            manager.stop()
        self.pool.close()
        for server in self.servers:
            server.stop()

    def granted(self, future: "Future[None]") -> bool:
        error = future.exception(timeout=WAIT_S)
        if error is None:
            return True
        assert isinstance(error, RequestRefusedError)
        assert error.outcome is Outcome.NOT_RUN
        assert error.retry_after_s is not None
        return False

    def send_requests(self, seconds: float, per_second: int, seed: int) -> int:
        """Send requests unevenly over the instances; return the number of permits."""
        rng = random.Random(seed)
        weights = [2**-number for number in range(INSTANCES)]
        granted = 0
        for _ in range(round(seconds * per_second)):
            self.clock.advance(1 / per_second)
            manager = rng.choices(self.managers, weights)[0]
            if self.granted(manager.acquire("o")):
                granted += 1
                manager.release("o")
        return granted


class TestPermits(PermitManagersMixin):
    def test_uneven_arrivals_get_the_whole_rate_but_not_more(self) -> None:
        granted = self.send_requests(seconds=10, per_second=100, seed=1)
        assert granted <= RATE * 10 + RATE
        assert granted >= RATE * 10 * 0.9

    def test_partition_does_not_multiply_the_limit(self) -> None:
        self.send_requests(seconds=4, per_second=100, seed=2)
        self.deployment.partitioned = True
        granted = self.send_requests(seconds=10, per_second=100, seed=3)
        assert granted <= RATE * 10 + RATE
        self.deployment.partitioned = False
        granted = self.send_requests(seconds=5, per_second=100, seed=4)
        assert granted <= RATE * 5 + RATE

    def test_static_share_is_granted_while_the_home_is_unreachable(self) -> None:
        for server in self.servers:
            server.stop()
        managers = [manager for manager in self.managers if not self._is_home(manager)]
        granted = 0
        for _ in range(100):
            self.clock.advance(0.1)
            granted += self.granted(managers[0].acquire("o"))
            managers[0].release("o")
        assert 1 <= granted <= RATE / INSTANCES * 10 + RATE / INSTANCES + 1

    def test_unknown_organisation_gets_no_permit(self) -> None:
        assert not self.granted(self.managers[0].acquire("nobody"))

    def _is_home(self, manager: PermitManager) -> bool:
        return manager.dump()["home_of"] != {} or manager is self._home()

    def _home(self) -> PermitManager:
        for manager in self.managers:
            if self.granted(manager.acquire("o")):
                manager.release("o")
            if "o" in manager.dump()["home_of"]:
                return manager
        raise AssertionError("no instance is the home of organisation o")


class TestConcurrency(PermitManagersMixin):
    limit = Limit(requests_per_second=1000.0, burst=1000.0, concurrency=12)

    def test_concurrency_is_limited_over_all_instances(self) -> None:
        futures = [manager.acquire("o") for manager in self.managers for _ in range(3)]
        granted = sum(self.granted(future) for future in futures)
        assert granted <= 12 + INSTANCES
        assert granted >= 9

    def test_released_permits_can_be_acquired_again(self) -> None:
        manager = self.managers[0]
        acquired = 0
        while self.granted(manager.acquire("o")):
            acquired += 1
        for _ in range(acquired):
            manager.release("o")
        self.clock.advance(6)
        assert self.granted(manager.acquire("o"))


@pytest.mark.parametrize("seed", range(3))
class TestRates(PermitManagersMixin):
    limit = Limit(requests_per_second=5.0, burst=5.0, concurrency=1000)

    def test_rate_limit_holds_for_random_arrivals(self, seed: int) -> None:
        granted = self.send_requests(seconds=8, per_second=60, seed=seed)
        assert granted <= 5 * 8 + 5 + 1
        assert granted >= 5 * 8 * 0.8
