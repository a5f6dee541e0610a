"""Gives orders to the engines of one failure domain, while it holds the domain's lease.

Level-triggered: each round compares what engines say of themselves with configuration,
and orders what is missing. An engine is taken out of service only under one of the
model's out-slots, which are leases too, so that failure domains together never take out
more than the rollout allows.
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
    NotObeyed,
    Obeyed,
    ObservedEngine,
    Order,
    OrderClient,
    Stale,
)
from celeryfork_control.rollout import (
    SERVE,
    Holder,
    can_spare,
    next_action,
    progress,
    takes_out,
)

ROUND_S = 1.0
IDLE_ROUND_S = 5.0
OBSERVERS = 4
BUDGET_TIMEOUT_S = 1.0
# An engine that never gets ready must not keep its slot from the others for good.
LONGEST_OUT_S = 600.0

logger = Logger("orders")


class ViewPort(Protocol):
    """What the order-giver needs of the target view."""

    def in_choice(self, target_name: str) -> Sequence[Target]:
        """Return the targets that may get new work."""

    def targets(self) -> list[Target]:
        """Return all targets known."""


@frozen
class RolloutControllerParts:
    """What orders are given with.

    Parameters
    ----------
    is_candidate
        Whether this instance is among the few of its domain that try for the lease.
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
class _Out:
    """An engine that was taken out, and the slot that it takes."""

    slot: str
    since_s: float


@define
class _Round:
    """What one round found out."""

    progress_by_model: dict[str, Mapping[str, int]] = field(factory=dict)
    waiting_by_engine: dict[str, str] = field(factory=dict)


class RolloutController:
    """The order-giver of one failure domain; create it with ``make_order_giver``."""

    def __init__(self, parts: RolloutControllerParts) -> None:
        self._parts = parts
        self._stopping = threading.Event()
        self._holding_since_s: float | None = None
        self._fencing: int | None = None
        self._out_by_engine: dict[str, _Out] = {}
        self._last = _Round()
        self._thread = threading.Thread(target=self._run, name="orders", daemon=True)
        self._observers = ThreadPoolExecutor(OBSERVERS, thread_name_prefix="observe")

    @property
    def lease(self) -> str:
        """Name of the failure domain's lease."""
        return f"orders/{self._parts.domain}"

    def start(self) -> None:
        """Begin to try for the lease and to give orders."""
        self._thread.start()

    def stop(self) -> None:
        """Give no more orders; the lease keeper releases the leases."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(timeout=ORDER_TIMEOUT_S * 2)
        self._observers.shutdown(wait=False, cancel_futures=True)

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "lease": self.lease,
            "holds": self._parts.leases.held(self.lease) is not None,
            "progress_by_model": dict(self._last.progress_by_model),
            "waiting_by_engine": dict(self._last.waiting_by_engine),
            "out": {name: out.slot for name, out in self._out_by_engine.copy().items()},
        }

    def _run(self) -> None:
        while not self._stopping.wait(self._wait_s()):
            try:
                self.round()
            except Exception:
                # A fault in one round must not end the order-giver for good.
                self._parts.counters.add("orders.rounds_failed")
                logger.exception("a round of orders failed")

    def _wait_s(self) -> float:
        return ROUND_S if self._fencing is not None else IDLE_ROUND_S / OBSERVERS

    def round(self) -> None:
        """Compare engines with configuration once, and order what is missing."""
        rollouts = self._parts.configuration().rollouts_by_model
        if not rollouts or not self._parts.is_candidate():
            self._resign()
            return
        lease_s = self._parts.configuration().policy.lease_s
        self._parts.leases.want(self.lease, lease_s)
        fencing = self._parts.leases.held(self.lease)
        if not self._took_over(fencing):
            return
        found = _Round()
        for rollout in rollouts.values():
            self._round_of(rollout, found)
        self._last = found

    def _took_over(self, fencing: FencingToken | None) -> bool:
        """Tell whether orders may be given under the lease that is held now.

        Engines that ignore fencing numbers may still get an order that the last holder
        sent just before its lease ended, so a new holder waits that long.
        """
        if fencing is None:
            self._fencing = None
            return False
        now_s = self._parts.clock.monotonic()
        if self._fencing != fencing.number:
            self._fencing = fencing.number
            self._holding_since_s = now_s
            self._out_by_engine.clear()
        since_s = self._holding_since_s
        return since_s is not None and now_s - since_s >= ORDER_TIMEOUT_S

    def _round_of(self, rollout: Rollout, found: _Round) -> None:
        targets = [t for t in self._parts.view.targets() if t.target == rollout.model]
        own = [t for t in targets if t.domain == self._parts.domain]
        observed = self._observe(own)
        found.progress_by_model[rollout.model] = progress(
            list(observed.values()), rollout
        )
        self._free_slots(observed, rollout)
        for target in own:
            engine = observed.get(target.id)
            if engine is None:
                continue
            action = next_action(engine, rollout)
            if action is None:
                continue
            reason = self._order(target, engine, action, rollout, targets)
            if reason is not None:
                found.waiting_by_engine[target.id] = reason
        if not any(target.id in found.waiting_by_engine for target in own):
            self._resign_unused_slots(rollout)

    def _resign_unused_slots(self, rollout: Rollout) -> None:
        """Leave the out-slots to other failure domains once nothing waits for one."""
        used = {out.slot for out in self._out_by_engine.values()}
        for slot in _slots(rollout):
            if slot not in used:
                self._parts.leases.resign(slot)

    def _observe(self, targets: Sequence[Target]) -> dict[str, ObservedEngine]:
        seen = self._observers.map(
            lambda target: self._parts.client.observe(target.id, target.address),
            targets,
        )
        return {engine.engine_id: engine for engine in seen if engine is not None}

    def _free_slots(
        self, observed: Mapping[str, ObservedEngine], rollout: Rollout
    ) -> None:
        """Give back the slots of engines that serve again, or that take too long."""
        usable = {target.id for target in self._parts.view.in_choice(rollout.model)}
        now_s = self._parts.clock.monotonic()
        for engine_id, out in list(self._out_by_engine.items()):
            engine = observed.get(engine_id)
            back = engine is not None and not engine.loading and engine_id in usable
            standing_by = engine is not None and engine.role != SERVE
            late = now_s - out.since_s > LONGEST_OUT_S
            if back or standing_by or late:
                del self._out_by_engine[engine_id]
                self._parts.leases.resign(out.slot)

    def _order(
        self,
        target: Target,
        engine: ObservedEngine,
        action: Action,
        rollout: Rollout,
        targets: Sequence[Target],
    ) -> str | None:
        """Give one order if that is safe now; return what it waits for, or None."""
        if takes_out(action) and target.id not in self._out_by_engine:
            reason = self._take_out(target, engine, action, rollout, targets)
            if reason is not None:
                return reason
        # Checked last: nothing between here and the send may block.
        fencing = self._parts.leases.held(self.lease)
        if fencing is None:
            return "the lease"
        number = fencing.number
        order = Order(
            order_id=f"{number}/{target.id}/{action}",
            engine_id=target.id,
            address=target.address,
            fencing=number,
            holder=self._parts.holder,
            action=action,
        )
        return self._take_result(order, self._parts.client.send(order))

    def _take_out(
        self,
        target: Target,
        engine: ObservedEngine,
        action: Action,
        rollout: Rollout,
        targets: Sequence[Target],
    ) -> str | None:
        """Get a slot to take an engine out; return what it waits for, or None."""
        layers = self._parts.configuration().models_by_name[rollout.model].layers
        if isinstance(action, LoadVersion) and not self._weights_free():
            return "the weight store's budget"
        slot = self._free_slot(rollout)
        if slot is None:
            return "an out-slot of the model"
        # Looked at under the slot: whoever had it before may just have given it back,
        # and what it did may not be in this instance's view yet.
        known = self._holders(rollout, targets)
        if not (
            can_spare(engine, known, layers, rollout)
            and can_spare(engine, self._look_again(known, targets), layers, rollout)
        ):
            self._parts.leases.resign(slot)
            return "another engine that holds its layers"
        self._out_by_engine[target.id] = _Out(slot, self._parts.clock.monotonic())
        return None

    def _free_slot(self, rollout: Rollout) -> str | None:
        """Return an out-slot that is held and not used yet, after asking for one."""
        used = {out.slot for out in self._out_by_engine.values()}
        lease_s = self._parts.configuration().policy.lease_s
        for slot in _slots(rollout):
            if slot in used:
                continue
            if self._parts.leases.held(slot):
                return slot
            self._parts.leases.want(slot, lease_s)
        return None

    def _holders(self, rollout: Rollout, targets: Sequence[Target]) -> list[Holder]:
        usable = {target.id for target in self._parts.view.in_choice(rollout.model)}
        return [
            Holder(
                engine_id=target.id,
                first_layer=target.first_layer,
                last_layer=target.last_layer,
                version=target.version,
                usable=target.id in usable and target.id not in self._out_by_engine,
            )
            for target in targets
        ]

    def _look_again(
        self, known: Sequence[Holder], targets: Sequence[Target]
    ) -> list[Holder]:
        """Return the holders as the usable engines describe themselves now.

        An engine that doesn't answer counts as not usable.
        """
        usable = {holder.engine_id for holder in known if holder.usable}
        observed = self._observe([each for each in targets if each.id in usable])
        return [
            Holder(
                engine_id=engine.engine_id,
                first_layer=engine.first_layer,
                last_layer=engine.last_layer,
                version=engine.version,
                usable=not engine.loading and engine.role == SERVE,
            )
            for engine in observed.values()
        ]

    def _weights_free(self) -> bool:
        try:
            budget = self._parts.weights.budget(BUDGET_TIMEOUT_S)
        except PlatformUnavailableError:
            return False
        return budget.available_bytes > 0

    def _take_result(
        self, order: Order, result: Obeyed | Stale | NotObeyed
    ) -> str | None:
        match result:
            case Obeyed():
                self._parts.counters.add("orders.obeyed")
                logger.info("order obeyed", engine=order.engine_id, action=order.action)
                return None
            case Stale(highest):
                logger.warning("order refused as stale", highest=highest)
                self._resign()
                return "the lease: another instance holds it"
            case NotObeyed(reason):
                self._parts.counters.add("orders.not_obeyed")
                return reason

    def _resign(self) -> None:
        if self._fencing is None and self._parts.leases.held(self.lease) is None:
            return
        self._fencing = None
        for out in self._out_by_engine.values():
            self._parts.leases.resign(out.slot)
        self._out_by_engine.clear()
        self._parts.leases.resign(self.lease)


def _slots(rollout: Rollout) -> list[str]:
    return [f"out/{rollout.model}/{n}" for n in range(rollout.most_out_at_once)]


def make_rollout_controller(parts: RolloutControllerParts) -> RolloutController:
    """Return an order-giver that has not started."""
    return RolloutController(parts)
