"""Sends orders to the engines of one failure domain while it holds the domain's lease.

Level-triggered: each round compares the state that engines report with the
configuration, and sends the missing orders. A rollout has as many out-of-service slots
as engines of the model may be out of service at once. An engine is taken out only while
this instance holds a slot for it. Slots are leases too, so that all failure domains
together never take out more engines than the rollout allows.
"""

import threading
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from attrs import define, field, frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PlatformUnavailableError
from celeryfork_config.in_force import Configuration
from celeryfork_config.records import Rollout
from celeryfork_membership.targets import Target
from celeryfork_platform.weights import WeightStoreClient
from logbook import Logger

from celeryfork_control.leases import FencingToken, LeaseManager
from celeryfork_control.orders import (
    ORDER_TIMEOUT_S,
    Action,
    LoadVersion,
    ObservedEngine,
    Order,
    OrderAccepted,
    OrderClient,
    OrderFailed,
    OrderStale,
)
from celeryfork_control.rollout import (
    SERVE,
    LayerReplica,
    can_take_out_of_service,
    next_action,
    progress,
    takes_out_of_service,
)

RECONCILE_INTERVAL_S = 1.0
IDLE_RECONCILE_INTERVAL_S = 5.0
OBSERVER_THREADS = 4
BUDGET_TIMEOUT_S = 1.0
# Seconds after which a slot is released even if its engine is not ready: an engine
# that never becomes ready must not block it for others forever.
MAX_OUT_OF_SERVICE_S = 600.0

logger = Logger("orders")


class ViewPort(Protocol):
    """Methods of the target view that the controller needs."""

    def eligible_targets(self, target_name: str) -> Sequence[Target]:
        """Return the targets of a name that may get new work."""

    def targets(self) -> list[Target]:
        """Return all known targets."""


@frozen
class RolloutDependencies:
    """Collaborators of the controller.

    Parameters
    ----------
    is_candidate
        Returns True if this instance is one of the few of its domain that compete for
        the lease.
    holder
        Incarnation of this instance.
    """

    leases: LeaseManager
    client: OrderClient
    view: ViewPort
    weights: WeightStoreClient
    configuration: Callable[[], Configuration]
    is_candidate: Callable[[], bool]
    domain: str
    holder: str
    clock: Clock
    counters: Counters


@define
class _OutOfService:
    """Slot of an engine out of service, and the monotonic time it was taken out."""

    slot: str
    since_s: float


@define
class _ReconcileResult:
    """Findings of one round.

    Parameters
    ----------
    progress_by_model
        Numbers of engines by state, see `progress`.
    waiting_by_engine
        Condition that an engine's next order waits for, by engine id.
    """

    progress_by_model: dict[str, Mapping[str, int]] = field(factory=dict)
    waiting_by_engine: dict[str, str] = field(factory=dict)


class RolloutController:
    """Controller of one failure domain; use `make_rollout_controller`."""

    def __init__(self, dependencies: RolloutDependencies) -> None:
        self._dependencies = dependencies
        self._stopping = threading.Event()
        self._held_since_s: float | None = None
        self._fencing: int | None = None
        self._out_of_service_by_engine: dict[str, _OutOfService] = {}
        self._last_result = _ReconcileResult()
        self._thread = threading.Thread(target=self._run, name="orders", daemon=True)
        self._observers = ThreadPoolExecutor(
            OBSERVER_THREADS, thread_name_prefix="observe"
        )

    @property
    def lease(self) -> str:
        """Name of the failure domain's lease."""
        return f"orders/{self._dependencies.domain}"

    def start(self) -> None:
        """Start to compete for the lease, and to send orders."""
        self._thread.start()

    def stop(self) -> None:
        """Send no more orders; the lease manager releases the leases."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(timeout=ORDER_TIMEOUT_S * 2)
        self._observers.shutdown(wait=False, cancel_futures=True)

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "lease": self.lease,
            "holds": self._dependencies.leases.held_token(self.lease) is not None,
            "progress_by_model": dict(self._last_result.progress_by_model),
            "waiting_by_engine": dict(self._last_result.waiting_by_engine),
            "out": {
                name: out.slot
                for name, out in self._out_of_service_by_engine.copy().items()
            },
        }

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s()):
            try:
                self.reconcile()
            except Exception:
                # An error in one round must not end the thread.
                self._dependencies.counters.add("orders.rounds_failed")
                logger.exception("a round of orders failed")

    def _interval_s(self) -> float:
        return (
            RECONCILE_INTERVAL_S
            if self._fencing is not None
            else IDLE_RECONCILE_INTERVAL_S / OBSERVER_THREADS
        )

    def reconcile(self) -> None:
        """Compare engines with the configuration once, and send the missing orders."""
        rollouts = self._dependencies.configuration().rollouts_by_model
        if not rollouts or not self._dependencies.is_candidate():
            self._release_leases()
            return
        lease_s = self._dependencies.configuration().policy.lease_s
        self._dependencies.leases.request(self.lease, lease_s)
        fencing = self._dependencies.leases.held_token(self.lease)
        if not self._may_send_orders(fencing):
            return
        result = _ReconcileResult()
        for rollout in rollouts.values():
            self._reconcile_model(rollout, result)
        self._last_result = result

    def _may_send_orders(self, fencing: FencingToken | None) -> bool:
        """Return True if orders may be sent under the lease that is held now.

        Engines that ignore fencing numbers may still get an order that the previous
        holder sent just before its lease ended, so a new holder first waits for the
        order timeout.
        """
        if fencing is None:
            self._fencing = None
            return False
        now_s = self._dependencies.clock.monotonic()
        if self._fencing != fencing.number:
            self._fencing = fencing.number
            self._held_since_s = now_s
            self._out_of_service_by_engine.clear()
        since_s = self._held_since_s
        return since_s is not None and now_s - since_s >= ORDER_TIMEOUT_S

    def _reconcile_model(self, rollout: Rollout, result: _ReconcileResult) -> None:
        targets = [
            t for t in self._dependencies.view.targets() if t.target == rollout.model
        ]
        own_targets = [t for t in targets if t.domain == self._dependencies.domain]
        engines_by_id = self._observe(own_targets)
        result.progress_by_model[rollout.model] = progress(
            list(engines_by_id.values()), rollout
        )
        self._release_finished_slots(engines_by_id, rollout)
        for target in own_targets:
            engine = engines_by_id.get(target.id)
            if engine is None:
                continue
            action = next_action(engine, rollout)
            if action is None:
                continue
            reason = self._send_order(target, engine, action, rollout, targets)
            if reason is not None:
                result.waiting_by_engine[target.id] = reason
        # While an engine waits, the slots and the requests for them are kept.
        if not any(target.id in result.waiting_by_engine for target in own_targets):
            self._release_unused_slots(rollout)

    def _release_unused_slots(self, rollout: Rollout) -> None:
        """Release the slots of a rollout that no engine of this domain occupies.

        Other domains can then use them.
        """
        used_slots = {out.slot for out in self._out_of_service_by_engine.values()}
        for slot in _slot_names(rollout):
            if slot not in used_slots:
                self._dependencies.leases.release(slot)

    def _observe(self, targets: Sequence[Target]) -> dict[str, ObservedEngine]:
        observations = self._observers.map(
            lambda target: self._dependencies.client.observe(target.id, target.address),
            targets,
        )
        return {
            engine.engine_id: engine for engine in observations if engine is not None
        }

    def _release_finished_slots(
        self, engines_by_id: Mapping[str, ObservedEngine], rollout: Rollout
    ) -> None:
        """Release the slots of engines that serve again, stand by or took too long."""
        usable_ids = {
            target.id
            for target in self._dependencies.view.eligible_targets(rollout.model)
        }
        now_s = self._dependencies.clock.monotonic()
        for engine_id, out in list(self._out_of_service_by_engine.items()):
            engine = engines_by_id.get(engine_id)
            serves_again = (
                engine is not None and not engine.loading and engine_id in usable_ids
            )
            standing_by = engine is not None and engine.role != SERVE
            overdue = now_s - out.since_s > MAX_OUT_OF_SERVICE_S
            if serves_again or standing_by or overdue:
                del self._out_of_service_by_engine[engine_id]
                self._dependencies.leases.release(out.slot)

    def _send_order(
        self,
        target: Target,
        engine: ObservedEngine,
        action: Action,
        rollout: Rollout,
        targets: Sequence[Target],
    ) -> str | None:
        """Send one order if it is safe; otherwise return what the engine waits for."""
        if (
            takes_out_of_service(action)
            and target.id not in self._out_of_service_by_engine
        ):
            reason = self._reserve_slot(target, engine, action, rollout, targets)
            if reason is not None:
                return reason
        # Checked last; nothing between here and the request may block.
        fencing = self._dependencies.leases.held_token(self.lease)
        if fencing is None:
            return "the lease of the failure domain"
        number = fencing.number
        order = Order(
            order_id=f"{number}/{target.id}/{action}",
            engine_id=target.id,
            address=target.address,
            fencing=number,
            holder=self._dependencies.holder,
            action=action,
        )
        return self._handle_result(order, self._dependencies.client.send(order))

    def _reserve_slot(
        self,
        target: Target,
        engine: ObservedEngine,
        action: Action,
        rollout: Rollout,
        targets: Sequence[Target],
    ) -> str | None:
        """Reserve a slot for an engine; return what the engine waits for if none."""
        layers = self._dependencies.configuration().models_by_name[rollout.model].layers
        if isinstance(action, LoadVersion) and not self._weight_budget_available():
            return "the read budget of the weight store"
        slot = self._claim_slot(rollout)
        if slot is None:
            return "an out-of-service slot of the model"
        # Engines are observed again while this instance holds the slot: its previous
        # holder may just have released it, and the change that it made to an engine may
        # not be in this instance's view yet.
        listed_replicas = self._listed_replicas(rollout, targets)
        if not (
            can_take_out_of_service(engine, listed_replicas, layers, rollout)
            and can_take_out_of_service(
                engine,
                self._observed_replicas(listed_replicas, targets),
                layers,
                rollout,
            )
        ):
            self._dependencies.leases.release(slot)
            return "another replica of its layers"
        self._out_of_service_by_engine[target.id] = _OutOfService(
            slot, self._dependencies.clock.monotonic()
        )
        return None

    def _claim_slot(self, rollout: Rollout) -> str | None:
        """Return a slot that is held and unused; if there is none, request one."""
        used_slots = {out.slot for out in self._out_of_service_by_engine.values()}
        lease_s = self._dependencies.configuration().policy.lease_s
        for slot in _slot_names(rollout):
            if slot in used_slots:
                continue
            if self._dependencies.leases.held_token(slot):
                return slot
            self._dependencies.leases.request(slot, lease_s)
        return None

    def _listed_replicas(
        self, rollout: Rollout, targets: Sequence[Target]
    ) -> list[LayerReplica]:
        usable_ids = {
            target.id
            for target in self._dependencies.view.eligible_targets(rollout.model)
        }
        return [
            LayerReplica(
                engine_id=target.id,
                first_layer=target.first_layer,
                last_layer=target.last_layer,
                version=target.version,
                usable=target.id in usable_ids
                and target.id not in self._out_of_service_by_engine,
            )
            for target in targets
        ]

    def _observed_replicas(
        self, listed_replicas: Sequence[LayerReplica], targets: Sequence[Target]
    ) -> list[LayerReplica]:
        """Return the replicas as the usable engines report them now.

        An engine that doesn't answer is left out.
        """
        usable_ids = {
            replica.engine_id for replica in listed_replicas if replica.usable
        }
        engines_by_id = self._observe(
            [each for each in targets if each.id in usable_ids]
        )
        return [
            LayerReplica(
                engine_id=engine.engine_id,
                first_layer=engine.first_layer,
                last_layer=engine.last_layer,
                version=engine.version,
                usable=not engine.loading and engine.role == SERVE,
            )
            for engine in engines_by_id.values()
        ]

    def _weight_budget_available(self) -> bool:
        try:
            budget = self._dependencies.weights.budget(BUDGET_TIMEOUT_S)
        except PlatformUnavailableError:
            return False
        return budget.available_bytes > 0

    def _handle_result(
        self, order: Order, result: OrderAccepted | OrderStale | OrderFailed
    ) -> str | None:
        match result:
            case OrderAccepted():
                self._dependencies.counters.add("orders.obeyed")
                logger.info("order obeyed", engine=order.engine_id, action=order.action)
                return None
            case OrderStale(highest):
                logger.warning("order refused as stale", highest=highest)
                self._release_leases()
                return "the lease of the failure domain: another instance holds it"
            case OrderFailed(reason):
                self._dependencies.counters.add("orders.not_obeyed")
                return reason

    def _release_leases(self) -> None:
        if (
            self._fencing is None
            and self._dependencies.leases.held_token(self.lease) is None
        ):
            return
        self._fencing = None
        for out in self._out_of_service_by_engine.values():
            self._dependencies.leases.release(out.slot)
        self._out_of_service_by_engine.clear()
        self._dependencies.leases.release(self.lease)


def _slot_names(rollout: Rollout) -> list[str]:
    return [f"out/{rollout.model}/{n}" for n in range(rollout.most_out_at_once)]


def make_rollout_controller(dependencies: RolloutDependencies) -> RolloutController:
    """Return a controller that is not started."""
    return RolloutController(dependencies)
