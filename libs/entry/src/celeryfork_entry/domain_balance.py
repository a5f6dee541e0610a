"""Picks the domain whose engines run the next stream, from the known loads.

The rule is in :mod:`celeryfork_routing.domain_shares`. This module gathers its inputs,
and tells when it applies.
"""

import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from math import inf

from attrs import define, evolve, field
from celeryfork_routing.domain_shares import (
    DomainLoad,
    DomainShares,
    UnevenDemand,
    relative_cost,
    surplus_tokens,
)
from celeryfork_routing.engine_loads import (
    DOMAIN_PREFIX,
    EngineLoads,
    Load,
    domain_report_key,
)
from celeryfork_routing.layer_paths import PathEngine, PathRequest, find_path
from celeryfork_routing.layers import ModelShape
from celeryfork_routing.room import Room, room_by_domain
from xxhash import xxh3_64_intdigest

from celeryfork_entry.call import CallContext
from celeryfork_entry.settings import Mode

UPDATE_INTERVAL_S = 0.1
"""Seconds between two updates of a service's shares: each searches a path in each
domain. Loads are reported every 0.25 s."""
EVEN_INTERVAL_S = 0.5
"""Seconds between two looks at the loads while balancing doesn't apply."""
TIME_TTL_S = 0.5
"""Seconds for which the time over a domain's engines is kept; meanwhile it is scaled by
their memory use. The searches are half of the cost of an update."""
MAX_LOAD = 0.04
"""Maximum part of a processor that updates of a service take; they are less frequent
where one takes over 4 ms, as with hundreds of engines on a busy machine. In simulations
with updates every 0.4 s, a receiving domain became 1.25 times as busy as the sending
one, against 1.14 times with 0.1 s."""
LOGGED_CHANGE = 0.10
"""Change of a share that is logged."""


@define(eq=False)
class _ServiceBalance:
    """Shares of one service.

    Parameters
    ----------
    logged
        Last logged share by domain.
    idle_ms_by_domain
        Time of a mean request over a domain's engines, scaled to empty memory.
    timed_s
        Monotonic time of the searches from which these times follow.
    update_s
        Monotonic time from which the shares are updated again.
    picks
        True if the shares decide on the domain.
    """

    shares: DomainShares
    demand: UnevenDemand = field(factory=UnevenDemand)
    update_s: float = -inf
    picks: bool = False
    logged: dict[str, float] = field(factory=dict)
    idle_ms_by_domain: dict[str, float] = field(factory=dict)
    timed_s: float = -inf


@define(eq=False)
class _Observation:
    """Loads of a service's engines, and tokens in flight by domain of the callers.

    Parameters
    ----------
    age_s
        Age of the reports by domain, only of domains whose load is known.
    """

    load_by_engine: Mapping[str, Load]
    used_by_domain: Mapping[str, float]
    age_s: Mapping[str, float]


@define(eq=False)
class DomainBalance:
    """Balances the streams of this instance between domains, by service.

    Parameters
    ----------
    applies
        Returns True if the configuration asks for balancing in the mode ``AUTO``.
    """

    _mode: Mode
    _instance: str
    _context: CallContext
    _loads: EngineLoads
    _applies: Callable[[], bool] = lambda: True
    _by_service: dict[str, _ServiceBalance] = field(factory=dict)

    def pick(
        self,
        service: str,
        shape: ModelShape,
        engines: Callable[[], Sequence[PathEngine]],
        now_s: float,
    ) -> str | None:
        """Return the domain for the next path, None to search as without balancing.

        Parameters
        ----------
        engines
            Returns the usable engines of the service in all domains.
        """
        if self._mode is Mode.OFF or (self._mode is Mode.AUTO and not self._applies()):
            return None
        balance = self._by_service.get(service)
        if balance is None:
            phase = xxh3_64_intdigest(f"{self._instance} {service}".encode()) / 2**64
            balance = _ServiceBalance(DomainShares(phase))
            self._by_service[service] = balance
        if now_s >= balance.update_s:
            begun_s = time.thread_time()
            self._update(service, balance, shape, engines(), now_s)
            took_s = time.thread_time() - begun_s
            interval_s = UPDATE_INTERVAL_S if balance.picks else EVEN_INTERVAL_S
            balance.update_s = now_s + max(interval_s, took_s / MAX_LOAD)
        return balance.shares.pick() if balance.picks else None

    def _update(
        self,
        service: str,
        balance: _ServiceBalance,
        shape: ModelShape,
        engines: Sequence[PathEngine],
        now_s: float,
    ) -> None:
        if len({each.domain for each in engines}) < 2 and not balance.picks:
            return
        seen = self._observe(shape, engines, now_s)
        rooms = room_by_domain(shape, engines, seen.load_by_engine)
        loads = {}
        for domain, used_tokens in seen.used_by_domain.items():
            room = rooms.get(domain, Room(0.0, 0.0))
            busy_ms = 0.0 if room.total_tokens else inf
            loads[domain] = DomainLoad(
                room.total_tokens, room.free_tokens, used_tokens, busy_ms
            )
        uneven = balance.demand.update(loads)
        balanced = len(loads) > 1 and (uneven or self._mode is Mode.ON)
        sends = balanced and surplus_tokens(self._context.domain, loads) > 0
        if sends or balance.shares.by_domain:
            if now_s - balance.timed_s >= TIME_TTL_S:
                balance.idle_ms_by_domain, balance.timed_s = {}, now_s
            loads = self._with_times(
                shape, engines, seen.load_by_engine, loads, balance.idle_ms_by_domain
            )
        balance.shares.update(self._context.domain, loads, now_s, balanced=balanced)
        balance.picks = balanced or bool(balance.shares.by_domain)
        self._report(service, balance, loads, seen)

    def _observe(
        self, shape: ModelShape, engines: Iterable[PathEngine], now_s: float
    ) -> _Observation:
        """Return the known loads; those of domains without a report are left out.

        Without a report of its own domain, an instance assumes that each other one
        there has as many requests as itself.
        """
        own_domain, ids = self._context.domain, {each.id for each in engines}
        domains = {each.domain for each in engines}
        instances = self._context.instance_count()
        sharers = max(1, instances // max(1, len(domains)))
        ages = self._loads.report_ages(now_s)
        own_key = domain_report_key(own_domain)
        near = {name for name in ages if name == own_key or not _is_domain_report(name)}
        used = self._loads.own_token_layers(ids) * (1 if near else sharers)
        used += sum(self._loads.reported_token_layers(each, ids) for each in near)
        used_by_domain = {own_domain: used / shape.layers}
        age_s = {own_domain: max((ages[name] for name in near), default=0.0)}
        for domain in domains - {own_domain}:
            key = domain_report_key(domain)
            if key in ages:
                reported = self._loads.reported_token_layers(key, ids)
                used_by_domain[domain] = reported / shape.layers
                age_s[domain] = ages[key]
        total = self._loads.total_loads(now_s, instances, sharers)
        if not near:
            for engine_id, load in self._loads.own_loads().items():
                total[engine_id] = Load(
                    total[engine_id].requests + load.requests * (sharers - 1),
                    total[engine_id].token_layers + load.token_layers * (sharers - 1),
                )
        return _Observation(total, used_by_domain, age_s)

    def _with_times(
        self,
        shape: ModelShape,
        engines: Iterable[PathEngine],
        load_by_engine: Mapping[str, Load],
        loads: Mapping[str, DomainLoad],
        idle_ms_by_domain: dict[str, float],
    ) -> dict[str, DomainLoad]:
        """Return loads with the time of a mean request over each domain's engines.

        Times that aren't in ``idle_ms_by_domain`` are added there.
        """
        engines_by_domain: dict[str, list[PathEngine]] = {}
        for each in engines:
            engines_by_domain.setdefault(each.domain, []).append(each)
        timed = {}
        for domain, load in loads.items():
            busy_ms = load.busy_ms
            if load.capacity:
                cost = relative_cost(load.fill)
                if domain not in idle_ms_by_domain:
                    searched_ms = _mean_request_ms(
                        shape, engines_by_domain[domain], load_by_engine, domain
                    )
                    idle_ms_by_domain[domain] = searched_ms / cost
                busy_ms = idle_ms_by_domain[domain] * cost
            if domain != self._context.domain:
                # Events of tokens are pipelined, so that the delay counts only once.
                busy_ms += 2 * shape.delay_ms(self._context.domain, domain)
            timed[domain] = evolve(load, busy_ms=busy_ms)
        return timed

    def _report(
        self,
        service: str,
        balance: _ServiceBalance,
        loads: Mapping[str, DomainLoad],
        seen: _Observation,
    ) -> None:
        """Set the gauges, and log shares that have changed much."""
        shares = balance.shares.by_domain
        for domain in sorted(shares.keys() | balance.logged.keys()):
            share, before = shares.get(domain, 0.0), balance.logged.get(domain, 0.0)
            self._context.counters.gauge(f"balance.share.{service}.{domain}", share)
            balance.logged.setdefault(domain, before)
            if abs(share - before) <= LOGGED_CHANGE and (share or not before):
                continue
            balance.logged[domain] = share
            concerned = [
                each for each in (self._context.domain, domain) if each in loads
            ]
            self._context.log.info(
                "domain_share_changed",
                service=service,
                domain=domain,
                share=round(share, 3),
                before=round(before, 3),
                used_by_domain={d: round(loads[d].used_tokens) for d in concerned},
                free_by_domain={d: round(loads[d].free_tokens) for d in concerned},
                total_by_domain={d: round(loads[d].total_tokens) for d in concerned},
                ms_by_domain={
                    d: round(loads[d].busy_ms) for d in concerned if loads[d].capacity
                },
                age_ms={d: round(seen.age_s[d] * 1000) for d in concerned},
            )


def _is_domain_report(name: str) -> bool:
    return name.startswith(DOMAIN_PREFIX)


def _mean_request_ms(
    shape: ModelShape,
    engines: Sequence[PathEngine],
    load_by_engine: Mapping[str, Load],
    domain: str,
) -> float:
    """Return the predicted time of a mean request over one domain's engines.

    Where they have no room for one, it is derived from the time over idle engines.
    """
    request = PathRequest(
        max(1.0, shape.mean_prompt_tokens), max(1.0, shape.mean_answer_tokens), domain
    )
    path = find_path(shape, engines, load_by_engine, request)
    if path is not None:
        return path.predicted_ms
    path = find_path(shape, engines, {}, request)
    return path.predicted_ms * relative_cost(1.0) if path is not None else inf
