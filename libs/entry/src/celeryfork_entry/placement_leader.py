"""Places model layers on engines; the store elects one instance as placement leader.

While the store or the leader is out of reach, a relay may act as leader of its own
domain (see :mod:`celeryfork_entry.acting_leader`).

Each order carries the number of orders that the engine has begun, so that the engine
rejects an order overtaken by a newer one, and the leader's fencing token, so that it
rejects a former leader.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping

from attrs import define, field, frozen
from celeryfork_routing.layer_placement import can_hold_model, plan_placement
from celeryfork_routing.layer_repair import PlacedEngine, Repair
from celeryfork_routing.layers import LayerRange, ModelShape
from logbook import Logger

from celeryfork_entry.acting_leader import ActingLeader
from celeryfork_entry.configuration import Configuration
from celeryfork_entry.engine_checks import EngineChecks
from celeryfork_entry.ports import (
    Dialect,
    EngineReport,
    Leadership,
    StoreUnavailableError,
)
from celeryfork_entry.target_http import LostError, NotSentError, TargetConnections
from celeryfork_entry.targets import Target, TargetTable

ROUND_INTERVAL_S = 0.5
"""Seconds between two placement rounds of the leader."""
LIST_STABLE_S = 1.0
"""Seconds without a new engine in the target list before the first plan is made."""
REPORT_TIMEOUT_S = 0.4
"""Timeout in seconds for an engine's report before an order; no stream waits for it,
and the leader may be slow while it asks many engines."""
MAX_CONCURRENT_ORDERS = 16
"""Maximum number of engines that are asked for a report and sent orders at once."""
ORDER_TIMEOUT_S = 1.0
"""Timeout in seconds for an engine's answer to an order."""
LOAD_TIMEOUT_FACTOR = 3.0
"""Multiple of the expected load time after which an order is considered lost."""
MIN_LOAD_TIMEOUT_S = 4.0
"""Lower bound in seconds of the time after which an order is considered lost: two
renewals of an entry and two reads of the target list."""
LOST_AFTER_S = 0.8
"""Seconds after an engine's exclusion until its layers are placed on other engines."""
MOVE_DELAY_S = 0.8
"""Seconds for which a new leader doesn't change engines that hold layers."""
SHIFT_DELAY_S = 1.5
"""Seconds after which a new leader may also shift layers between engines around a gap
(``Repair.SHIFT``); by then its target list and its knowledge of lost engines are
reliable."""
WITHHELD_ORDER_RETRY_S = 1.0
"""Seconds before an engine whose order was withheld is asked again."""
HANDOVER_TIMEOUT_S = 5.0
"""Seconds for which a leader continues after the store has named a successor that sends
no message.

The store keeps a dead instance as leader for the 3 s of its membership; after that the
next leader learns of its election at its own renewal.
"""
STALE_FENCE_STATUS = 412
"""HTTP status of an engine that has seen a higher fencing token than the order's."""


@define
class _PendingOrder:
    """An order that an engine is executing.

    Parameters
    ----------
    done_s, until_s
        Times at which it should be done, and at which it is considered lost.
    """

    layers: LayerRange
    born_ms: int | None
    done_s: float
    until_s: float


@frozen
class _Scope:
    """Engines on which this instance places layers, and its fencing token.

    Parameters
    ----------
    domain
        Failure domain of these engines, None for all domains.
    """

    fence: int
    domain: str | None = None


@define(eq=False)
class PlacementLeader:
    """Places layers while this instance is the leader, or acts for its own domain.

    Parameters
    ----------
    latest_fence
        Fencing token of the last renewal, also if another instance is the leader.
    acting_leader
        Decides if this instance places the layers of its own domain.
    highest_peer_fence
        Returns the highest fencing token received from peers, -1 for none.
    """

    _table: TargetTable
    _connections: TargetConnections
    _dialect: Dialect
    _checks: EngineChecks
    _log: Logger
    _configuration: Callable[[], Configuration | None]
    leadership: Leadership = field(factory=lambda: Leadership(False, 0))
    _refused_fence: int = -1
    _pending_by_id: dict[str, _PendingOrder] = field(factory=dict)
    _withheld_until_s: dict[str, float] = field(factory=dict)
    _known_ids: frozenset[str] = frozenset()
    _changed_s: float = 0.0
    _planned_once: bool = False
    _leader_since_s: float = 0.0
    _successor_since_s: float | None = None
    latest_fence: int = -1
    acting_leader: ActingLeader | None = None
    highest_peer_fence: Callable[[], int] = lambda: -1
    _scope: _Scope | None = None

    async def run(self) -> None:
        """Run rounds, also during a planned stop, until a successor is known."""
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            await self._update_scope()
            configuration = self._configuration()
            if configuration is None or self._scope is None:
                continue
            for service in configuration.services_by_name.values():
                if service.model is not None:
                    await self._round(service.name, service.model, self._scope)

    async def _update_scope(self) -> None:
        """Update the scope; a new acting leader asks all engines of its domain."""
        before, self._scope = self._scope, self._find_scope()
        if self._scope == before:
            return
        if self._scope is not None and self._scope.domain is not None:
            domain = self._scope.domain
            self._log.info("stands_in", fence=self._scope.fence, domain=domain)
            engines = [t for t in self._table.engines() if t.domain == domain]
            await asyncio.gather(*(self._checks.ask(each.id) for each in engines))
        elif before is not None and before.domain is not None:
            self._log.info("stands_in_no_more", domain=before.domain)

    def _find_scope(self) -> _Scope | None:
        if self.leadership.held:
            scope = _Scope(self.leadership.fence)
        elif self.acting_leader is not None and self.acting_leader.is_active():
            fence = max(self.latest_fence, self.highest_peer_fence())
            scope = _Scope(fence, self.acting_leader.domain)
        else:
            return None
        return scope if scope.fence > self._refused_fence else None

    async def _round(self, service: str, shape: ModelShape, scope: _Scope) -> None:
        await self._query_finished_orders()
        engines = [
            target
            for target in self._table.by_id.values()
            if target.service == service
            and scope.domain in {None, target.domain}
            and not self._table.is_leaving(target)
            # An entry with layers beyond the model is wrong.
            and (target.held is None or target.held.within(shape.layers))
        ]
        if not self._list_is_stable(engines):
            return
        placed = [self._describe_engine(target) for target in engines]
        if scope.domain is not None and not can_hold_model(shape, placed):
            return
        planned = plan_placement(shape, placed, self._repair(scope))
        if planned:
            self._planned_once = True
            await self._order_all(planned, shape, scope.fence)

    async def _order_all(
        self, planned: Mapping[str, LayerRange], shape: ModelShape, fence: int
    ) -> None:
        """Send the orders of a plan, a few at a time: asking all at once is slow."""
        turn = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)

        async def order(engine_id: str, layers: LayerRange) -> None:
            async with turn:
                target = self._table.by_id.get(engine_id)
                if target is not None:
                    await self._order(target, layers, shape, fence)

        await asyncio.gather(*(order(*each) for each in planned.items()))

    async def _query_finished_orders(self) -> None:
        """Ask engines for the layers they hold once their orders should be done.

        The target list lags. While it is stale, engines are asked earlier too.
        """
        now_s = time.monotonic()
        done = [
            engine_id
            for engine_id, pending in self._pending_by_id.items()
            if engine_id in self._table.by_id
            and (self._table.list_is_stale or now_s >= pending.done_s)
        ]
        await asyncio.gather(*(self._checks.ask(each) for each in done))

    def _repair(self, scope: _Scope) -> Repair:
        """Return the changes that are allowed now on engines that hold layers.

        A new leader first waits until its predecessor's orders are done. An acting
        leader has received nothing from a leader for longer than that, and has asked
        the engines itself.
        """
        if scope.domain is not None:
            return Repair.SHIFT
        held_s = time.monotonic() - self._leader_since_s
        if held_s < MOVE_DELAY_S:
            return Repair.NONE
        return Repair.MOVE if held_s < SHIFT_DELAY_S else Repair.SHIFT

    def apply_renewal(self, leadership: Leadership) -> None:
        """Apply the outcome of a renewal.

        A leader that the store has replaced continues until it receives a message from
        its successor, which may be dead or rejected by the store. Engines reject the
        lower fencing token once they have seen the higher one.
        """
        now_s = time.monotonic()
        self.latest_fence = leadership.fence
        if self.leadership.held and not leadership.held:
            if self._successor_since_s is None:
                self._successor_since_s = now_s
                self._log.info(
                    "duty_passed_on", fence=self.leadership.fence, to=leadership.fence
                )
            if now_s - self._successor_since_s < HANDOVER_TIMEOUT_S:
                return
        self._successor_since_s = None
        if leadership.held != self.leadership.held:
            self._log.info("duty_changed", held=leadership.held, fence=leadership.fence)
            self._leader_since_s = now_s
        self.leadership = leadership

    def record_failed_renewal(self) -> None:
        """Restart the handover timeout: the store didn't answer."""
        self._successor_since_s = None

    def yield_to(self, fence: int) -> None:
        """Give up leadership if a peer leads with a higher fencing token."""
        if self.leadership.held and fence > self.leadership.fence:
            self._log.info("duty_superseded", fence=self.leadership.fence, by=fence)
            self.leadership = Leadership(False, fence)
            self._successor_since_s = None

    def _list_is_stable(self, engines: list[Target]) -> bool:
        """Return True if a plan can be made: the first one needs all engines."""
        now_s = time.monotonic()
        ids = frozenset(target.id for target in engines)
        if ids - self._known_ids:
            self._changed_s = now_s
        self._known_ids = ids
        serving = any(target.held for target in engines)
        return serving or self._planned_once or now_s - self._changed_s > LIST_STABLE_S

    def _describe_engine(self, target: Target) -> PlacedEngine:
        held, loading = target.held, False
        pending = self._pending_by_id.get(target.id)
        if pending is not None:
            timed_out = time.monotonic() > pending.until_s
            arrived = held is not None and held == pending.layers
            if arrived or timed_out or pending.born_ms != target.born_ms:
                del self._pending_by_id[target.id]
            else:
                held, loading = pending.layers, True
        if self._withheld_until_s.get(target.id, 0.0) > time.monotonic():
            loading = True
        health = self._table.health(target.id)
        silent_s = time.monotonic() - health.marked_s
        lost = health.excluded and (held is None or silent_s > LOST_AFTER_S)
        return PlacedEngine(
            target.id, target.domain, target.accelerator or "", held, lost, loading
        )

    async def _order(
        self, target: Target, layers: LayerRange, shape: ModelShape, fence: int
    ) -> None:
        report = await self._checks.ask(target.id, REPORT_TIMEOUT_S)
        if report is None or report.busy or report.held != target.held:
            self._log.info(
                "order_withheld", engine=target.id, answered=report is not None
            )
            self._withheld_until_s[target.id] = (
                time.monotonic() + WITHHELD_ORDER_RETRY_S
            )
            return
        kept = layers.overlap(target.held) if target.held else 0
        duration_s = shape.load_s * (layers.count - kept) / shape.layers
        now_s = time.monotonic()
        until_s = now_s + max(MIN_LOAD_TIMEOUT_S, LOAD_TIMEOUT_FACTOR * duration_s)
        self._pending_by_id[target.id] = _PendingOrder(
            layers, target.born_ms, now_s + duration_s, until_s
        )
        status = await self._send_order(target, layers, report, fence)
        self._log.info(
            "layers_ordered",
            engine=target.id,
            first=layers.first,
            last=layers.last,
            fence=fence,
            expected_orders=report.orders,
            status=status,
        )
        if status == STALE_FENCE_STATUS:
            self._refused_fence = max(self._refused_fence, fence)
        if status is not None and status >= 400:
            self._pending_by_id.pop(target.id, None)

    async def _send_order(
        self, target: Target, layers: LayerRange, report: EngineReport, fence: int
    ) -> int | None:
        order = self._dialect.build_layer_order(layers, fence, report.orders)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                reply = await self._connections.send(target.address, order, fresh=True)
                reply.drop()
                return reply.status
        except (NotSentError, LostError, TimeoutError) as error:
            self._log.info("order_unanswered", engine=target.id, reason=repr(error))
            return None


async def renew_leadership(
    renew: Callable[[], Awaitable[Leadership]], placement: PlacementLeader, log: Logger
) -> None:
    """Renew leadership once; keep the last state while the store is unavailable."""
    try:
        leadership = await renew()
    except StoreUnavailableError as error:
        placement.record_failed_renewal()
        log.info("duty_not_renewed", held=placement.leadership.held, reason=str(error))
        return
    placement.apply_renewal(leadership)
