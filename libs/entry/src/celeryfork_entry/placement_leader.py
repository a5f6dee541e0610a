"""Loads layers onto empty engines; one instance at a time has this duty.

Each order names the number of orders that the engine has begun, so that a late order
can't follow a newer one, and the holder's fence, so that a former holder is refused.
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

ROUND_S = 0.5
"""Pause between two rounds of the holder."""
QUIET_S = 1.0
"""The list must not have gained engines for so long before the first plan is made."""
ASK_TIMEOUT_S = 0.4
"""Wait for an engine's report before an order; no stream waits for it, and the holder
may be slow while it asks many."""
ORDERS_AT_ONCE = 16
"""Engines that are asked and ordered at the same time."""
ORDER_TIMEOUT_S = 1.0
"""Wait for an engine's answer to an order."""
LOAD_PATIENCE = 3.0
"""An order counts as lost after this multiple of its expected duration."""
LEAST_LOAD_PATIENCE_S = 4.0
"""Shortest such time: two renewals of an entry and two readings of the list."""
LOST_AFTER_S = 0.8
"""Silence after which an engine's layers are given to others."""
TAKE_OVER_S = 0.8
"""Time that a new holder leaves engines with layers as they are."""
SHIFT_AFTER_S = 1.5
"""Time after which it may shift them too; its list and its view of losses are good."""
WITHHELD_S = 1.0
"""Pause before an engine whose order was withheld is asked again."""
HANDOVER_S = 5.0
"""Time that a holder goes on for while the store names another that isn't heard of.

A member that died keeps the duty for the 3 s of its membership; then the next one
hears of it with its own renewal.
"""
FORBIDDEN = 412
"""An engine has seen a higher fence."""


@define
class _Ordered:
    """An order that an engine carries out.

    Parameters
    ----------
    done_s, until_s
        When it should be done, and when it counts as lost.
    """

    layers: LayerRange
    born_ms: int | None
    done_s: float
    until_s: float


@frozen
class _Scope:
    """Which engines this instance places layers on.

    Parameters
    ----------
    domain
        The only failure domain of which it does, None for all.
    """

    fence: int
    domain: str | None = None


@define(eq=False)
class PlacementLeader:
    """Places layers while this instance holds the duty, or stands in for the holder.

    Parameters
    ----------
    generation
        The fence of the last renewal, also where the store names another holder.
    stand_in
        Tells when this instance places the layers of its own domain.
    fence_heard
        Gives the highest fence that peers have told, -1 for none.
    """

    _table: TargetTable
    _connections: TargetConnections
    _dialect: Dialect
    _checks: EngineChecks
    _log: Logger
    _configuration: Callable[[], Configuration | None]
    leadership: Leadership = field(factory=lambda: Leadership(False, 0))
    _refused_fence: int = -1
    _ordered_by_id: dict[str, _Ordered] = field(factory=dict)
    _withheld_until_s: dict[str, float] = field(factory=dict)
    _known_ids: frozenset[str] = frozenset()
    _changed_s: float = 0.0
    _planned_once: bool = False
    _held_since_s: float = 0.0
    _passed_on_s: float | None = None
    generation: int = -1
    stand_in: ActingLeader | None = None
    fence_heard: Callable[[], int] = lambda: -1
    _scope: _Scope | None = None

    async def run(self) -> None:
        """Hold rounds, also in a planned stop: until a successor is heard of."""
        while True:
            await asyncio.sleep(ROUND_S)
            await self._take_scope()
            configuration = self._configuration()
            if configuration is None or self._scope is None:
                continue
            for service in configuration.services_by_name.values():
                if service.model is not None:
                    await self._round(service.name, service.model, self._scope)

    async def _take_scope(self) -> None:
        """Find out what this instance has to place; look around when it stands in."""
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
        elif self.stand_in is not None and self.stand_in.acts():
            fence = max(self.generation, self.fence_heard())
            scope = _Scope(fence, self.stand_in.domain)
        else:
            return None
        return scope if scope.fence > self._refused_fence else None

    async def _round(self, service: str, shape: ModelShape, scope: _Scope) -> None:
        await self._learn_outcomes()
        engines = [
            target
            for target in self._table.by_id.values()
            if target.service == service
            and scope.domain in {None, target.domain}
            and not self._table.is_leaving(target)
        ]
        if not self._list_is_quiet(engines):
            return
        placed = [self._placed(target) for target in engines]
        if scope.domain is not None and not can_hold_model(shape, placed):
            return
        planned = plan_placement(shape, placed, self._repair(scope))
        if planned:
            self._planned_once = True
            await self._order_all(planned, shape, scope.fence)

    async def _order_all(
        self, planned: Mapping[str, LayerRange], shape: ModelShape, fence: int
    ) -> None:
        """Give the orders of a plan, a few at a time: asking all at once takes long."""
        turn = asyncio.Semaphore(ORDERS_AT_ONCE)

        async def order(engine_id: str, layers: LayerRange) -> None:
            async with turn:
                target = self._table.by_id.get(engine_id)
                if target is not None:
                    await self._order(target, layers, shape, fence)

        await asyncio.gather(*(order(*each) for each in planned.items()))

    async def _learn_outcomes(self) -> None:
        """Ask engines what they hold whose orders should be done; the list lags."""
        now_s = time.monotonic()
        done = [
            engine_id
            for engine_id, ordered in self._ordered_by_id.items()
            if engine_id in self._table.by_id
            and (self._table.list_is_stale or now_s >= ordered.done_s)
        ]
        await asyncio.gather(*(self._checks.ask(each) for each in done))

    def _repair(self, scope: _Scope) -> Repair:
        """Return how far engines that hold layers may be changed now.

        A new holder first lets its predecessor's orders end. Who stands in has heard
        nothing of a holder for longer than that, and has asked the engines itself.
        """
        if scope.domain is not None:
            return Repair.SHIFT
        held_s = time.monotonic() - self._held_since_s
        if held_s < TAKE_OVER_S:
            return Repair.NONE
        return Repair.MOVE if held_s < SHIFT_AFTER_S else Repair.SHIFT

    def renewed(self, leadership: Leadership) -> None:
        """Take the outcome of a renewal.

        A holder that the store no longer names goes on until it hears of its successor:
        that may be a member that has died, or that the store turns away.
        Engines refuse the lower fence once they have seen the higher one.
        """
        now_s = time.monotonic()
        self.generation = leadership.fence
        if self.leadership.held and not leadership.held:
            if self._passed_on_s is None:
                self._passed_on_s = now_s
                self._log.info(
                    "duty_passed_on", fence=self.leadership.fence, to=leadership.fence
                )
            if now_s - self._passed_on_s < HANDOVER_S:
                return
        self._passed_on_s = None
        if leadership.held != self.leadership.held:
            self._log.info("duty_changed", held=leadership.held, fence=leadership.fence)
            self._held_since_s = now_s
        self.leadership = leadership

    def not_renewed(self) -> None:
        """Take that the store gave no answer: that time counts for no handover."""
        self._passed_on_s = None

    def yield_to(self, fence: int) -> None:
        """Give the duty up if a peer holds it with a higher fence."""
        if self.leadership.held and fence > self.leadership.fence:
            self._log.info("duty_superseded", fence=self.leadership.fence, by=fence)
            self.leadership = Leadership(False, fence)
            self._passed_on_s = None

    def _list_is_quiet(self, engines: list[Target]) -> bool:
        """Return whether the plan can be made: the first one needs all engines."""
        now_s = time.monotonic()
        ids = frozenset(target.id for target in engines)
        if ids - self._known_ids:
            self._changed_s = now_s
        self._known_ids = ids
        serving = any(target.held for target in engines)
        return serving or self._planned_once or now_s - self._changed_s > QUIET_S

    def _placed(self, target: Target) -> PlacedEngine:
        held, loading = target.held, False
        ordered = self._ordered_by_id.get(target.id)
        if ordered is not None:
            over = time.monotonic() > ordered.until_s
            arrived = held is not None and held == ordered.layers
            if arrived or over or ordered.born_ms != target.born_ms:
                del self._ordered_by_id[target.id]
            else:
                held, loading = ordered.layers, True
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
        report = await self._checks.ask(target.id, ASK_TIMEOUT_S)
        if report is None or report.busy or report.held != target.held:
            self._log.info(
                "order_withheld", engine=target.id, answered=report is not None
            )
            self._withheld_until_s[target.id] = time.monotonic() + WITHHELD_S
            return
        kept = layers.overlap(target.held) if target.held else 0
        duration_s = shape.load_s * (layers.count - kept) / shape.layers
        now_s = time.monotonic()
        until_s = now_s + max(LEAST_LOAD_PATIENCE_S, LOAD_PATIENCE * duration_s)
        self._ordered_by_id[target.id] = _Ordered(
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
        if status == FORBIDDEN:
            self._refused_fence = max(self._refused_fence, fence)
        if status is not None and status >= 400:
            self._ordered_by_id.pop(target.id, None)

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
    """Renew the duty once; while the store is away, keep what was last known."""
    try:
        leadership = await renew()
    except StoreUnavailableError as error:
        placement.not_renewed()
        log.info("duty_not_renewed", held=placement.leadership.held, reason=str(error))
        return
    placement.renewed(leadership)
