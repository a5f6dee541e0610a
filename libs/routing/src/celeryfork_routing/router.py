"""The router: chooses engine chains and service targets, and learns engine speeds."""

import threading
from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from attrs import define
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_membership.probe import LoadProbe
from celeryfork_membership.targets import Target, TargetView

from celeryfork_routing.chains import Chain, ChainRequest, ChainResult, Hop
from celeryfork_routing.engines import DEFAULT_TOKENS_PER_S, Engine
from celeryfork_routing.fleet import Fleet
from celeryfork_routing.gaps import gaps_between, kept_hops
from celeryfork_routing.links import LinkTable
from celeryfork_routing.picker import Picker
from celeryfork_routing.search import Leg, cheapest_legs
from celeryfork_routing.services import ServiceBalancer
from celeryfork_routing.versions import ModelFleets

if TYPE_CHECKING:
    from celeryfork_config.in_force import Configuration

__all__ = ["Chain", "ChainRequest", "ChainResult", "Hop", "Router", "make_router"]

RETRY_AFTER_S = 1.0
MIN_TOKENS_TO_LEARN = 4


@define(eq=False)
class _ChainInFlight:
    """A chain in flight: the legs to release, and the expected time per token."""

    fleet: Fleet
    legs: tuple[Leg, ...]
    expected_s: float


class Router:
    """Chooses chains and service targets for one instance; thread-safe.

    Create it with `make_router`.
    """

    def __init__(
        self,
        view: TargetView,
        probe: LoadProbe,
        configuration: "Callable[[], Configuration]",
        domain: str,
        clock: Clock,
        counters: Counters,
        seed: int,
        executor: Executor,
    ) -> None:
        self._view = view
        self._probe = probe
        self._configuration = configuration
        self._domain = domain
        self._clock = clock
        self._counters = counters
        self._executor = executor
        self._random = Random(seed)
        self._links = LinkTable(configuration)
        self._picker = Picker(probe, clock, self._random, self._links)
        self._services = ServiceBalancer(domain, self._random)
        self._lock = threading.RLock()
        self._fleets_by_model: dict[tuple[str, int], ModelFleets] = {}
        self._chains_in_flight_by_id: dict[str, _ChainInFlight] = {}
        self._ids = count(1)
        self._id_prefix = f"{self._random.getrandbits(32):08x}"

    def choose(self, request: ChainRequest) -> Chain:
        """Return a chain for the request and count it as in flight.

        Raises
        ------
        RequestRefusedError
            ``no_target``: no usable target holds some layer.
        """
        eligible = self._view.eligible_targets(request.model)
        chain: Chain | None = None
        with self._lock:
            self._links.refresh()
            fleets = self._fleets(request)
            fleets.update_targets(eligible)
            point = self._random.random()
            for fleet in fleets.in_order(point, request.keep):
                legs = self._legs(fleet, request)
                if legs is not None:
                    chain = self._begin(fleet, legs)
                    break
        if chain is None:
            self._counters.add("routing.no_target")
            raise _no_target_error(request.model)
        self._counters.add("routing.chosen")
        self._begin_trials([hop.target for hop in chain.hops])
        return chain

    def release(self, chain: Chain, result: ChainResult) -> None:
        """Stop counting a chain as in flight, and learn from its measured speed."""
        with self._lock:
            chain_in_flight = self._chains_in_flight_by_id.pop(chain.id, None)
            if chain_in_flight is None:
                self._counters.add("routing.released_twice")
                return
            for leg in chain_in_flight.legs:
                leg.engine.end(leg.last - leg.first)
            chain_in_flight.fleet.own_chains -= 1
            if result.failed_target_id is None:
                _learn(chain_in_flight, result)

    def choose_service(self, service: str, avoid: frozenset[str]) -> Target:
        """Return a target of a plain service and count a call to it as in flight.

        Raises
        ------
        RequestRefusedError
            ``no_target``: the service has no usable target.
        """
        eligible = self._view.eligible_targets(service)
        targets = [target for target in eligible if target.id not in avoid]
        if not targets:
            self._counters.add("routing.no_target")
            raise _no_target_error(service)
        with self._lock:
            target = self._services.choose(targets)
        self._begin_trials([target])
        return target

    def release_service(self, target: Target, ok: bool, seconds: float) -> None:
        """Stop counting a call to a plain service as in flight."""
        with self._lock:
            self._services.release(target.id)
        self._counters.timing("routing.service", seconds)
        if not ok:
            self._counters.add("routing.service_failed")

    def stop(self) -> None:
        """Stop planning in the background."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def dump(self) -> dict[str, object]:
        """Return the router's part of the state dump."""
        with self._lock:
            return {
                "models": {
                    model: {
                        version: fleet.dump()
                        for version, fleet in fleets.fleets_by_version.items()
                    }
                    for (model, _), fleets in self._fleets_by_model.items()
                },
                "chains_in_flight": len(self._chains_in_flight_by_id),
                "service_calls_in_flight": self._services.dump(),
            }

    def _fleets(self, request: ChainRequest) -> ModelFleets:
        key = (request.model, request.layers)
        fleets = self._fleets_by_model.get(key)
        if fleets is None:
            fleets = ModelFleets(lambda: self._make_fleet(*key))
            self._fleets_by_model[key] = fleets
        return fleets

    def _make_fleet(self, model: str, layers: int) -> Fleet:
        return Fleet(
            model,
            layers,
            self._clock,
            self._counters,
            self._executor,
            self._rate_of,
            self._links.latency_s,
            self._domain,
            self._lock,
        )

    def _legs(self, fleet: Fleet, request: ChainRequest) -> tuple[Leg, ...] | None:
        if not request.keep:
            origin = request.domain or self._domain
            candidate = self._picker.pick(fleet, request, origin)
            if candidate is not None:
                return candidate.legs
        return self._legs_around_kept(fleet, request)

    def _legs_around_kept(
        self, fleet: Fleet, request: ChainRequest
    ) -> tuple[Leg, ...] | None:
        """Return the kept hops with the cheapest legs in the gaps between them."""
        self._counters.add("routing.searched")
        engines = fleet.usable_engines(request.avoid)
        engines_by_id = {engine.target.id: engine for engine in engines}
        kept = [
            Leg(engines_by_id[hop.target.id], hop.first, hop.last)
            for hop in kept_hops(request.keep, frozenset(engines_by_id), request.layers)
        ]
        legs = list(kept)
        for gap in gaps_between([(k.first, k.last) for k in kept], request.layers):
            origin = _domain_before(kept, gap[0], self._domain)
            found = cheapest_legs(
                engines, gap, self._links.latency_s, origin, self._random
            )
            if found is None:
                return None
            legs += found
        legs.sort(key=lambda leg: leg.first)
        return tuple(legs)

    def _begin(self, fleet: Fleet, legs: tuple[Leg, ...]) -> Chain:
        for leg in legs:
            leg.engine.begin(leg.last - leg.first)
        fleet.own_chains += 1
        fleet.estimate_equivalent_instances()
        expected_s = sum(
            _nominal_token_s(leg, fleet.equivalent_instances) for leg in legs
        )
        chain = Chain(
            tuple(Hop(leg.engine.target, leg.first, leg.last) for leg in legs),
            f"{self._id_prefix}-{next(self._ids)}",
        )
        self._chains_in_flight_by_id[chain.id] = _ChainInFlight(fleet, legs, expected_s)
        return chain

    def _begin_trials(self, targets: list[Target]) -> None:
        for target in targets:
            if self._view.is_half_open(target.id):
                self._view.begin_trial(target.id)

    def _rate_of(self, target: Target, layers: int) -> float:
        """Return an engine's tokens per second over all of its layers.

        This is the rate that the engine reports, else that of its accelerator kind in
        the configuration, else the default.
        """
        info = self._probe.engine_info(target.id)
        if info is not None and info.tokens_per_second > 0:
            return info.tokens_per_second
        kinds = self._configuration().accelerators_by_kind
        accelerator = kinds.get(target.accelerator)
        if accelerator is not None and accelerator.tokens_per_second > 0:
            layers_held = target.last_layer - target.first_layer
            return float(accelerator.tokens_per_second) * layers / layers_held
        return DEFAULT_TOKENS_PER_S


def make_router(
    view: TargetView,
    probe: LoadProbe,
    configuration: "Callable[[], Configuration]",
    domain: str,
    clock: Clock,
    counters: Counters,
    seed: int,
    executor: Executor | None = None,
) -> Router:
    """Return a router.

    Parameters
    ----------
    view, probe
        The known targets, and the load reports of engines.
    configuration
        Returns the configuration in force, for links and accelerator kinds.
    domain
        Failure domain of the instance.
    clock, counters
        Clock and metrics counters of the instance.
    seed
        Seed of the random choices.
    executor
        Executor of the planning tasks; by default a thread pool with one thread.
    """
    if executor is None:
        executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="planner")
    return Router(view, probe, configuration, domain, clock, counters, seed, executor)


def _no_target_error(name: str) -> RequestRefusedError:
    return RequestRefusedError(
        f"{name} has no usable target, or none for some of its layers.",
        "try again later; operators find the excluded targets in the state dump",
        outcome=Outcome.NOT_RUN,
        status=503,
        code="no_target",
        retry_after_s=RETRY_AFTER_S,
    )


def _nominal_token_s(leg: Leg, equivalent_instances: float) -> float:
    """Return the expected time per token on a leg at the engine's nominal speed."""
    engine: Engine = leg.engine
    return (
        engine.backlog_s(equivalent_instances, leg.last - leg.first)
        * engine.capacity
        / engine.nominal_capacity
    )


def _learn(chain_in_flight: _ChainInFlight, result: ChainResult) -> None:
    """Update the engines' slowness with the ratio of measured to expected time."""
    if result.tokens < MIN_TOKENS_TO_LEARN or chain_in_flight.expected_s <= 0:
        return
    if result.seconds_to_first_token is None:
        return
    now_expected_s = sum(
        _nominal_token_s(leg, chain_in_flight.fleet.equivalent_instances)
        for leg in chain_in_flight.legs
    )
    expected_s = (chain_in_flight.expected_s + now_expected_s) / 2
    decoding_s = result.seconds_total - result.seconds_to_first_token
    ratio = decoding_s / (result.tokens - 1) / max(expected_s, 1e-9)
    for leg in chain_in_flight.legs:
        leg.engine.learn(ratio)


def _domain_before(kept: list[Leg], layer: int, origin: str) -> str:
    """Return the failure domain from which the activations at ``layer`` arrive."""
    for leg in kept:
        if leg.last == layer:
            return leg.engine.target.domain
    return origin
