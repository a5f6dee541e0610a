"""Tests of celeryfork_control.rollout_controller."""

from types import SimpleNamespace

import pytest
from attrs import define, evolve, field
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_config.payloads import Rollout
from celeryfork_control.leases import FencingToken
from celeryfork_control.orders import LoadVersion, ObservedEngine, Order, OrderAccepted
from celeryfork_control.rollout_controller import (
    RolloutDependencies,
    make_rollout_controller,
)
from celeryfork_membership.target import Target

LAYERS = 24
DOMAIN = "westlands"


class FakeLeases:
    """Fake lease manager that holds every lease."""

    def held_token(self, name: str) -> FencingToken:
        return FencingToken(1, float("inf"))

    def request(self, name: str, lease_s: float) -> None:
        """Do nothing: every lease is held."""

    def release(self, name: str) -> None:
        """Do nothing: no other instance requests it."""


@define
class FakeEngines:
    """Fake engines with their true state, and the orders they received."""

    by_id: dict[str, ObservedEngine]
    orders: list[Order] = field(factory=list)

    def observe(self, engine_id: str, address: str) -> ObservedEngine | None:
        return self.by_id.get(engine_id)

    def send(self, order: Order) -> OrderAccepted:
        self.orders.append(order)
        return OrderAccepted("applied")


def engine(name: str, first: int, version: str) -> ObservedEngine:
    return ObservedEngine(
        name, first, first + LAYERS // 2, version, frozenset(), "serve", loading=False
    )


@define
class Scenario:
    """A controller, the targets in its view, and the state that engines report."""

    engines: FakeEngines
    targets_in_view: list[Target]

    def run_rounds(self) -> list[str]:
        """Run two rounds; return the ids of the engines that got orders."""
        clock = SystemClock()
        configuration = SimpleNamespace(
            rollouts_by_model={
                "m": Rollout(model="m", version="v2", most_out_at_once=1)
            },
            models_by_name={"m": SimpleNamespace(layers=LAYERS)},
            policy=SimpleNamespace(lease_s=3.0),
        )
        controller = make_rollout_controller(
            RolloutDependencies(
                leases=FakeLeases(),
                client=self.engines,
                view=SimpleNamespace(
                    targets=lambda: self.targets_in_view,
                    eligible_targets=lambda name: self.targets_in_view,
                ),
                weights=SimpleNamespace(
                    budget=lambda timeout_s: SimpleNamespace(available_bytes=1)
                ),
                configuration=lambda: configuration,
                is_candidate=lambda: True,
                domain=DOMAIN,
                holder="entry-1",
                clock=SimpleNamespace(monotonic=self._times(clock)),
                counters=Counters(),
            )
        )
        controller.reconcile()  # first round under a new lease: sends no orders
        controller.reconcile()
        controller.stop()
        return [order.engine_id for order in self.engines.orders]

    @staticmethod
    def _times(clock: SystemClock):
        """Return a time function that advances by another 100 s at each call."""
        steps = iter(range(0, 1_000_000, 100))
        return lambda: clock.monotonic() + next(steps)


def listed_target(observed: ObservedEngine, domain: str) -> Target:
    return Target(
        id=observed.engine_id,
        role="engine",
        target="m",
        domain=domain,
        address="127.0.0.1:1",
        incarnation=1,
        first_layer=observed.first_layer,
        last_layer=observed.last_layer,
        accelerator="k1",
        version=observed.version,
        checks_fencing=True,
    )


@pytest.fixture
def scenario() -> Scenario:
    """Two engines hold each half of the layers; only one of the first half has v2."""
    engines = [
        engine("low-1", 0, "v2"),
        engine("low-2", 0, "v1"),
        engine("high-1", LAYERS // 2, "v1"),
        engine("high-2", LAYERS // 2, "v1"),
    ]
    domains = ("karen", DOMAIN, "karen", "karen")
    return Scenario(
        FakeEngines({each.engine_id: each for each in engines}),
        [listed_target(*each) for each in zip(engines, domains, strict=True)],
    )


def test_last_replica_of_the_old_version_stays_in_service(scenario) -> None:
    assert scenario.run_rounds() == []


def test_last_replica_stays_in_service_if_the_view_is_outdated(scenario) -> None:
    """Found by tests/test_rollout.py: low-1 had v2, and the view still showed v1."""
    scenario.targets_in_view[0] = evolve(scenario.targets_in_view[0], version="v1")
    assert scenario.run_rounds() == []


def test_unreachable_engine_does_not_count_as_a_replica(scenario) -> None:
    low_1 = scenario.engines.by_id.pop("low-1")
    scenario.targets_in_view[0] = listed_target(evolve(low_1, version="v1"), "karen")
    assert scenario.run_rounds() == []


def test_engine_gets_an_order_if_another_replica_serves_its_layers(scenario) -> None:
    scenario.engines.by_id["low-1"] = engine("low-1", 0, "v1")
    scenario.targets_in_view[0] = listed_target(
        scenario.engines.by_id["low-1"], "karen"
    )
    assert scenario.run_rounds() == ["low-2"]
    assert scenario.engines.orders[0].action == LoadVersion("v2")
