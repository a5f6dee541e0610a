"""What an instance knows of the capacity of services and of the demand for them.

It sums what this instance measures, what the lead relay tells of its domain, and what
is heard of other domains. A domain that isn't heard is left out; the instance then
decides by what it has.
"""

from collections.abc import Callable, Mapping, Sequence

from attrs import define, field, frozen
from celeryfork_admission.demand import DemandMeter, merge_demand, scale_demand
from celeryfork_admission.service_load import ServiceLoad
from celeryfork_routing.engine_loads import EngineLoads, Load
from celeryfork_routing.layer_paths import PathEngine
from celeryfork_routing.room import fleet_room

from celeryfork_entry.configuration import Configuration
from celeryfork_entry.demand_exchange import DemandExchange
from celeryfork_entry.roster import PEAK_COUNT_WINDOW_S

CACHE_S = 0.05
"""Seconds for which a service's load is kept: a fifth of the interval at which peers
report, and few enough for the requests that this instance admits meanwhile."""
CACHE_S_PER_ENGINE = 1e-4
"""Least seconds for which it is kept for each engine: at 10,000 engines it takes 30 ms
to compute, and is kept for a second, in which other domains tell their loads once."""
SHORT_SHARE = 0.15
"""Free part of a service's memory below which it is short of capacity."""


@frozen
class _Cached:
    """Load of a service, computed at a time, and when to compute it again."""

    load: ServiceLoad
    computed_s: float
    until_s: float


@define(eq=False)
class LoadKnowledge:
    """Loads of services by this instance's measurements and its peers' messages.

    Parameters
    ----------
    configuration
        Returns the configuration in force, None before the first one is known.
    engines
        Returns the engines of a service that may get requests at a time.
    """

    exchange: DemandExchange
    _loads: EngineLoads
    _configuration: Callable[[], Configuration | None]
    engines: Callable[[str, float], Sequence[PathEngine]] = lambda service, now_s: ()
    _cached_by_service: dict[str, _Cached] = field(factory=dict)
    _seen_s_by_domain: dict[str, float] = field(factory=dict)

    @property
    def meter(self) -> DemandMeter:
        """Return the meter of this instance's own demand."""
        return self.exchange.meter

    def service_load(self, service: str, now_s: float) -> ServiceLoad | None:
        """Return what is known of a service, None if it has no model.

        Without a sum of the own domain, each of its instances is taken to have this
        instance's demand and load.
        """
        configuration = self._configuration()
        known = configuration and configuration.services_by_name.get(service)
        if not known or known.model is None:
            return None
        cached = self._cached_by_service.get(service)
        if cached is not None and cached.computed_s <= now_s < cached.until_s:
            return _aged(cached, now_s)
        exchange, count = self.exchange, self._own_count()
        own = exchange.own_domain(service, now_s)
        others, at_s_by_domain = exchange.other_domains(service, now_s)
        counts = exchange.roster.counts()
        missing = self._expected_domains(now_s) - at_s_by_domain.keys()
        engines = [e for e in self.engines(service, now_s) if e.domain not in missing]
        loads = self._loads.total_loads(now_s)
        if own is None:
            loads = _with_own_as_often(loads, self._loads.own_loads(), count)
            own_demand = [scale_demand(exchange.meter.report(service, now_s), count)]
        else:
            own_demand = list(own.demands)
        oldest_s = min([own.at_s if own else now_s, *at_s_by_domain.values()])
        load = ServiceLoad(
            fleet_room(known.model, engines, loads),
            merge_demand([*own_demand, *others]),
            max(0.0, now_s - oldest_s),
            count + sum(counts.get(domain, 0) for domain in at_s_by_domain),
            complete=own is not None and not missing,
        )
        kept_s = max(CACHE_S, CACHE_S_PER_ENGINE * len(engines))
        self._cached_by_service[service] = _Cached(load, now_s, now_s + kept_s)
        return load

    def is_short(self, service: str, now_s: float) -> bool:
        """Return True if a service is short of capacity."""
        load = self.service_load(service, now_s)
        if load is None:
            return False
        return load.room.free_tokens < SHORT_SHARE * load.room.total_tokens

    def loads_by_service(self, now_s: float) -> dict[str, ServiceLoad]:
        """Return the load of each service that has a model."""
        configuration = self._configuration()
        services = configuration.services_by_name if configuration else ()
        loads = {name: self.service_load(name, now_s) for name in services}
        return {name: load for name, load in loads.items() if load is not None}

    def gauges(self, now_s: float) -> dict[str, float]:
        """Return the gauges of all services that have a model."""
        gauges, loads = {}, self.loads_by_service(now_s)
        for service, load in loads.items():
            gauges[f"room.total.{service}"] = load.room.total_tokens
            gauges[f"room.free.{service}"] = load.room.free_tokens
            gauges[f"demand.tokens_per_s.{service}"] = sum(
                row.tokens_per_s for row in load.demand.rows
            )
        if loads:
            gauges["load_knowledge.age_s"] = max(each.age_s for each in loads.values())
        return gauges

    def _expected_domains(self, now_s: float) -> set[str]:
        """Return the other domains that have instances, or had some recently.

        The roster forgets a domain that is cut off within 20 s.
        """
        roster, seen_s = self.exchange.roster, self._seen_s_by_domain
        for domain in {*roster.counts(), *roster.domains()} - {roster.own.domain}:
            seen_s[domain] = now_s
        for domain, at_s in list(seen_s.items()):
            if now_s - at_s > PEAK_COUNT_WINDOW_S:
                del seen_s[domain]
        return set(seen_s)

    def _own_count(self) -> int:
        """Return the number of live instances of this instance's domain.

        Before a relay has told it, all those that the store lists count.
        """
        roster = self.exchange.roster
        if roster.is_lead_relay() and roster.addressed_as_relay:
            return roster.count()
        told = roster.counts().get(roster.own.domain)
        return max(roster.count(), told or 1 + len(roster.members()))


def _aged(cached: _Cached, now_s: float) -> ServiceLoad:
    """Return a kept load with its present age."""
    load, kept_s = cached.load, now_s - cached.computed_s
    return ServiceLoad(
        load.room, load.demand, load.age_s + kept_s, load.instances, load.complete
    )


def _with_own_as_often(
    loads: Mapping[str, Load], own: Mapping[str, Load], count: int
) -> dict[str, Load]:
    """Return loads with those of this instance counted for each of several."""
    scaled = dict(loads)
    for key, load in own.items():
        total, others = scaled.get(key, load), count - 1
        scaled[key] = Load(
            total.requests + others * load.requests,
            total.token_layers + others * load.token_layers,
        )
    return scaled
