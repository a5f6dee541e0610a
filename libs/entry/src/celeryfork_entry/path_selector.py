"""Selects the path of a stream, and tells when waiting for one is pointless."""

import asyncio
import time
from collections.abc import Container, Iterable, Mapping, Sequence
from math import inf

from attrs import define, evolve, field, frozen
from celeryfork_routing.detours import find_detour
from celeryfork_routing.engine_loads import EngineLoads, LayerPath, Load
from celeryfork_routing.layer_paths import (
    CROSSING_MS,
    REMOTE_FIRST_ENGINE_MS,
    PathEngine,
    PathRequest,
    find_path,
)
from celeryfork_routing.layers import LayerRange, ModelShape, first_missing_layer

from celeryfork_entry.call import Call, CallContext
from celeryfork_entry.configuration import Service
from celeryfork_entry.domain_balance import DomainBalance
from celeryfork_entry.engine_speeds import EngineSpeeds
from celeryfork_entry.search_order import SearchOrder
from celeryfork_entry.stream_limits import CAPACITY_WAIT_S
from celeryfork_entry.target_health import TargetHealth

CAPACITY_POLL_S = 0.02
"""Minimum seconds between two searches of a waiting request."""
SEARCH_INTERVAL_S = 0.005
"""Minimum mean interval in seconds between searches of all waiting requests, so that
many of them don't take processor time from running streams."""
MAX_UNREPORTED_REQUESTS = 30
"""Requests that all instances together may send to other domains before they receive
each other's load reports. The memory of a fast engine holds about 50 requests."""
SIZE_MARGIN = 0.95
"""Factor that keeps the time of a mean request, scaled down to a smaller request, a
lower bound. The rest allows for the shorter context of the smaller request."""


@frozen(eq=False)
class _EngineView:
    """A listed engine with its health and speed as seen by this instance."""

    engine: PathEngine
    health: TargetHealth
    speeds: EngineSpeeds

    def at(self, now_s: float) -> PathEngine:
        """Return the engine with its current slowness."""
        slowness = self.speeds.slowness(self.engine.id, now_s)
        if slowness == self.engine.slowness:
            return self.engine
        return evolve(self.engine, slowness=slowness)


@define(eq=False)
class PathSelector:
    """Finds paths over available engines.

    Parameters
    ----------
    missing_since_s
        Monotonic time of the first failed search that found a layer without an
        available engine, None after a path was found.
    revision
        Revision of the target list for which the dictionaries below are valid.
    waiting
        Number of requests that wait for a path.
    engines_by_service
        Listed engines that hold layers.
    idle_ms_by_service
        Predicted time in ms of a mean request over idle engines of other domains,
        without :data:`REMOTE_FIRST_ENGINE_MS`; infinite if these have no path.
    """

    _context: CallContext
    _loads: EngineLoads
    _balance: DomainBalance | None = None
    _missing_since_s: float | None = None
    _revision: int = -1
    _waiting: int = 0
    _order: SearchOrder = field(factory=SearchOrder)
    _engines_by_service: dict[str, Sequence[_EngineView]] = field(factory=dict)
    _idle_ms_by_service: dict[str, float] = field(factory=dict)

    async def choose(
        self, call: Call, until_s: float | None = None
    ) -> LayerPath | None:
        """Return a path with capacity for the call, waiting briefly if there is none.

        Parameters
        ----------
        until_s
            Monotonic time at which to give up, None for the usual wait for capacity.
        """
        if until_s is None:
            until_s = time.monotonic() + min(CAPACITY_WAIT_S, call.left_s)
        while True:
            path, now_s = self._find(call), time.monotonic()
            if path is not None:
                self._missing_since_s = None
                return path
            cannot_succeed = self._cannot_succeed(call, now_s) and not call.may_have_run
            if now_s >= until_s or cannot_succeed:
                return None
            if not call.may_have_run and self.first_permit_s(call) > until_s:
                return None
            with call.waiting("path"):
                try:
                    await self._pause(call, until_s)
                except asyncio.CancelledError:
                    self.log_no_path(call)
                    raise

    def find_other(self, call: Call, path: LayerPath) -> LayerPath | None:
        """Return a path now that has other engines than ``path``, None if none has.

        It needs no permit, since ``path`` is kept until the other one may be used.
        """
        found = self._find(call, unlimited_only=True)
        same = found is not None and set(found.engine_ids) == set(path.engine_ids)
        return None if same else found

    async def _pause(self, call: Call, until_s: float) -> None:
        """Wait before the next search, longer the more calls are waiting."""
        self._waiting += 1
        try:
            delay_s = max(CAPACITY_POLL_S, self._waiting * SEARCH_INTERVAL_S)
            if call.urgency is None:
                await asyncio.sleep(delay_s)
            else:
                await self._order.wait_for_turn(call, delay_s, until_s)
        finally:
            self._waiting -= 1

    def _cannot_succeed(self, call: Call, now_s: float) -> bool:
        """Return True if waiting is pointless, as layers are missing and not capacity.

        That is so if all engines that hold a layer have failed or refused the call, or
        if a layer has been without an engine for longer than a request waits.
        """
        shape = call.service.model
        assert shape is not None
        held = self._held_by_id(call.service)
        willing = [held[each] for each in held.keys() - call.avoided]
        if first_missing_layer(shape.layers, willing) is None:
            return False
        if first_missing_layer(shape.layers, held.values()) is None:
            return True
        if self._missing_since_s is None:
            self._missing_since_s = now_s
        return now_s - self._missing_since_s >= CAPACITY_WAIT_S

    def _held_by_id(self, service: Service) -> dict[str, LayerRange]:
        """Return the layers of each available engine of a service.

        An entry with layers beyond the model is wrong, and hides no missing layer.
        """
        layers = service.model.layers if service.model else 0
        return {
            target.id: target.held
            for target in self._context.table.available(service.name)
            if target.held is not None and target.held.within(layers)
        }

    def first_permit_s(self, call: Call) -> float:
        """Return the time at which a limited engine may be first in a path again.

        Returns
        -------
        float
            Monotonic time in s; 0 if an engine may be first now, or none is listed.
        """
        permits, now_s = self._context.permits, time.monotonic()
        unavailable = permits.unavailable(now_s)
        if not unavailable:
            return 0.0
        first = self._usable_first(call, self._usable(call), unavailable=())
        if first - unavailable or not first:
            return 0.0
        return permits.next_permit_s(first)

    def _usable(self, call: Call) -> list[_EngineView]:
        """Return the engines that may run a call, whether or not they have room."""
        return [
            each
            for each in self._engines(call.service.name)
            if not (each.health.excluded or each.health.is_leaving)
            and each.engine.id not in call.failed_on
        ]

    def _usable_first(
        self, call: Call, known: Iterable[_EngineView], unavailable: Container[str]
    ) -> frozenset[str]:
        """Return the ids of engines that may be first in a path of a call."""
        allowed = call.first_engines.allowed(self._context.table.may_still_run)
        return frozenset(
            each.engine.id
            for each in known
            if each.engine.held.first == 0
            and each.engine.id not in unavailable
            and (allowed is None or each.engine.id in allowed)
        )

    def _find(self, call: Call, *, unlimited_only: bool = False) -> LayerPath | None:
        """Return a path over the most suitable engines, None if there is none.

        At first, the engines to avoid for this call are left out, and those that have
        just refused work or are suspected to be down. If there is no path, the latter
        are allowed; a call that may have run tries the engines to avoid before them.
        Ramping engines with a full window are left out before, unless a stream that
        has begun needs another path.
        """
        now_s = time.monotonic()
        available = self._usable(call)
        willing = [e for e in available if e.health.accepts_work(now_s)]
        choices = [
            _excluding(willing, call.avoided),
            _excluding(available, call.avoided),
        ]
        if call.may_have_run:
            choices.insert(1, willing)
        elif not unlimited_only and (held_back := self._held_back(now_s)):
            choices.insert(0, _excluding(choices[0], held_back))
        for number, engines in enumerate(choices):
            if engines not in choices[:number]:
                path = self._find_among(call, engines, now_s, unlimited_only)
                if path is not None:
                    return path
        return None

    def _held_back(self, now_s: float) -> set[str]:
        """Return the engines that get no new streams, as they have just started."""
        ramp_up = self._context.ramp_up
        if ramp_up is None or not ramp_up.active:
            return set()
        return ramp_up.held_back(now_s)

    def detour(self, call: Call, path: LayerPath) -> LayerPath | None:
        """Return a running stream's path with its lost engines replaced.

        Returns
        -------
        LayerPath or None
            None if there is no such path.
        """
        shape = call.service.model
        assert shape is not None
        now_s = time.monotonic()
        engines = [
            each.at(now_s)
            for each in self._engines(call.service.name)
            if not (each.health.excluded or each.health.is_leaving)
            and each.health.accepts_work(now_s)
            and each.engine.id not in call.avoided
        ]
        lost = {each for each in path.engine_ids if not self.is_available(each)}
        loads = self._known_loads(engines, now_s)
        request = PathRequest(
            call.metadata.prompt_tokens,
            expected_answer_tokens(call),
            self._context.domain,
        )
        return find_detour(shape, path, lost, engines, loads, request)

    def _first_engines(
        self,
        call: Call,
        known: Sequence[_EngineView],
        now_s: float,
        unlimited_only: bool,
    ) -> frozenset[str] | None:
        """Return the engines that the next path may begin with, None for any."""
        permits = self._context.permits
        unavailable = (
            permits.limited() if unlimited_only else permits.unavailable(now_s)
        )
        if not unavailable:
            return call.first_engines.allowed(self._context.table.may_still_run)
        return self._usable_first(call, known, unavailable)

    def _find_among(
        self,
        call: Call,
        known: Sequence[_EngineView],
        now_s: float,
        unlimited_only: bool,
    ) -> LayerPath | None:
        shape = call.service.model
        assert shape is not None
        request = PathRequest(
            call.metadata.prompt_tokens,
            expected_answer_tokens(call),
            self._context.domain,
            self._first_engines(call, known, now_s, unlimited_only),
        )
        engines = [each.at(now_s) for each in known]
        loads = self._known_loads(engines, now_s)
        if call.probe is not None and request.first_engines is None:
            quiet = _least_loaded_first(engines, loads)
            path = find_path(
                shape, engines, loads, evolve(request, first_engines=quiet)
            )
            if path is not None:
                return path
        if self._balance is not None:
            domain = self._balance.pick(
                call.service.name, shape, lambda: self._reachable(call, now_s), now_s
            )
            near = [each for each in engines if each.domain == domain]
            path = find_path(shape, near, loads, request) if near else None
            if path is not None:
                return path
        own_domain_engines = [each for each in engines if each.domain == request.domain]
        path = find_path(shape, own_domain_engines, loads, request)
        if len(own_domain_engines) == len(engines):
            return path
        if path is not None and (
            # All instances see the same engines as idle and would overload them.
            self._loads.prefilling * self._context.instance_count()
            > MAX_UNREPORTED_REQUESTS
            or path.predicted_ms
            <= self._min_remote_ms(call.service.name, shape, request)
        ):
            return path
        return find_path(shape, engines, loads, request)

    def _reachable(self, call: Call, now_s: float) -> list[PathEngine]:
        """Return the engines of a call's service that other calls may use."""
        return [
            each.at(now_s)
            for each in self._engines(call.service.name)
            if not (each.health.excluded or each.health.is_leaving)
        ]

    def _known_loads(
        self, engines: Sequence[PathEngine], now_s: float
    ) -> dict[str, Load]:
        """Return the load of engines, which the instances of their domain share."""
        instances = self._context.instance_count()
        domains = len({each.domain for each in engines})
        neighbours = max(1, instances // max(1, domains))
        return self._loads.total_loads(now_s, instances, neighbours)

    def _min_remote_ms(
        self, service: str, shape: ModelShape, request: PathRequest
    ) -> float:
        """Return a lower bound in ms of the predicted time of a remote path.

        A remote path leaves the caller's domain, at its start or on the way. The bound
        follows from the fastest path over idle engines of other domains, which
        is searched only when the target list changes. So most searches are limited to
        the engines of one domain.
        """
        mean_request = PathRequest(
            max(1.0, shape.mean_prompt_tokens),
            max(1.0, shape.mean_answer_tokens),
            request.domain,
        )
        idle_ms = self._idle_ms_by_service.get(service)
        if idle_ms is None:
            elsewhere = [
                each.engine
                for each in self._engines(service)
                if each.engine.domain != request.domain
            ]
            path = find_path(shape, elsewhere, {}, mean_request)
            idle_ms = path.predicted_ms - REMOTE_FIRST_ENGINE_MS if path else inf
            self._idle_ms_by_service[service] = idle_ms
        if idle_ms == inf:
            return CROSSING_MS
        size = min(
            request.prompt_tokens / mean_request.prompt_tokens,
            request.answer_tokens / mean_request.answer_tokens,
        )
        return min(CROSSING_MS, REMOTE_FIRST_ENGINE_MS + SIZE_MARGIN * size * idle_ms)

    def _engines(self, service: str) -> Sequence[_EngineView]:
        """Return the listed engines of a service that hold layers.

        The result is cached until the target list changes.
        """
        table = self._context.table
        if self._revision != table.changes.revision:
            self._revision = table.changes.revision
            self._engines_by_service = {}
            self._idle_ms_by_service = {}
        known = self._engines_by_service.get(service)
        if known is None:
            known = self._engines_by_service[service] = [
                _EngineView(
                    PathEngine(
                        target.id,
                        target.address,
                        target.domain,
                        target.accelerator or "",
                        target.held,
                    ),
                    table.health(target.id),
                    table.speeds,
                )
                for target in table.by_id.values()
                if target.service == service
                and target.held is not None
                and not target.draining
            ]
        return known

    def engines_in_use(self, service: str, now_s: float) -> list[PathEngine]:
        """Return the engines of a service that aren't excluded or leaving."""
        return [
            each.at(now_s)
            for each in self._engines(service)
            if not (each.health.excluded or each.health.is_leaving)
        ]

    def is_available(self, engine_id: str) -> bool:
        """Return True if an engine is listed and not excluded."""
        table = self._context.table
        return engine_id in table.by_id and not table.health(engine_id).excluded

    def log_no_path(self, call: Call) -> None:
        """Log the state of the engines after no path was found for a call."""
        table, now_s = self._context.table, time.monotonic()
        listed = [each for each in table.not_leaving(call.service.name) if each.held]
        health_states = [table.health(each.id) for each in listed]
        self._context.log_event(
            call,
            "no_path",
            engines=len(listed),
            missing_layer=first_missing_layer(
                call.service.model.layers if call.service.model else 0,
                self._held_by_id(call.service).values(),
            ),
            down=sum(health.excluded for health in health_states),
            refusing=sum(each.refused_until_s >= now_s for each in health_states),
            doubted=sum(each.is_suspected(now_s) for each in health_states),
            requests_in_flight=sum(
                load.requests for load in self._loads.own_loads().values()
            ),
            tokens=round(call.metadata.prompt_tokens + expected_answer_tokens(call)),
            avoided=len(call.avoided),
            without_permit=len(self._context.permits.unavailable(now_s)),
        )


def expected_answer_tokens(call: Call) -> float:
    """Return the expected length of the answer in tokens.

    It is the caller's hint, at most the maximum length of the answer; the maximum if
    there is no hint.
    """
    metadata = call.metadata
    if not metadata.expected_answer_tokens:
        return float(metadata.max_answer_tokens)
    return min(float(metadata.max_answer_tokens), metadata.expected_answer_tokens)


def _least_loaded_first(
    engines: Sequence[PathEngine], loads: Mapping[str, Load]
) -> frozenset[str]:
    """Return the engine with the first layer that runs the fewest requests."""
    first = [each.id for each in engines if each.held.first == 0]
    first.sort(key=lambda engine_id: loads.get(engine_id, Load()).requests)
    return frozenset(first[:1])


def _excluding(known: Sequence[_EngineView], left_out: set[str]) -> list[_EngineView]:
    return [each for each in known if each.engine.id not in left_out]
