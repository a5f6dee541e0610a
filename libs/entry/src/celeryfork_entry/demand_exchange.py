"""What an instance tells its peers of the demand for services, and hears from them.

Members of a domain report their demand to the lead relay only: three relays would take
three times the bytes of the largest part of a report. The lead relay sends the domain's
sum to its domain and to the relays of other domains, and the sum of the other domains
to its followers. A new lead relay sends none until the members have reported to it; the
others use the last sum meanwhile.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from math import ceil

from attrs import define, field, frozen
from celeryfork_admission.demand import (
    MAX_MERGED_ROWS,
    MAX_REPORT_ROWS,
    DemandMeter,
    merge_demand,
    subtract_demand,
)
from celeryfork_admission.service_load import ServiceDemand
from celeryfork_routing.engine_loads import PEER_REPORT_TTL_S

from celeryfork_entry.demand_messages import (
    MAX_SERVICES,
    DemandAway,
    DemandSum,
    demand_size,
    is_name,
)
from celeryfork_entry.ports import Peer
from celeryfork_entry.roster import Roster

USUAL_PERIOD = 4
"""Number of reports of which one has a demand, unless a service is short of capacity:
one a second."""
REPORT_BYTES_PER_TURN = 250
"""Bytes of demand that a member may add to each report (0.25 s) during a shortage. A
larger demand is added to every second report, or up to every fourth."""
DIGEST_BYTES_PER_TURN = 350
"""The same for a digest of the lead relay. With the demand elsewhere, once a second, an
instance of a large fleet sends and receives under 4 KB/s for all of it."""
MIN_REPORT_SHARE = 0.02
"""Part of an instance's tokens from which an organisation has a row in its report.
Under it are single requests at the 68 requests/s that an instance is designed for."""
MIN_SUM_SHARE = 0.01
"""The same for sums over instances. Under a shortage an organisation that has less than
this competes only if some 50 or more organisations do."""
SETTLING_S = 0.5
"""Seconds after which a new lead relay has the members' reports: two intervals."""
FIRST_SUM_S = 1.25
"""Seconds of digests without a demand after which the domain has none: an instance that
has just started hears digests at once, and the sum in one of four of them."""


@frozen
class _Heard:
    """Demand for a service that a peer told, with the time of its oldest report."""

    demand: ServiceDemand
    at_s: float
    received_s: float


HeardByService = dict[str, _Heard]


@frozen
class KnownDemand:
    """Demand of this instance's domain, or of other domains.

    Parameters
    ----------
    at_s
        Monotonic time of the oldest report that is included.
    """

    demands: tuple[ServiceDemand, ...]
    at_s: float


@define(eq=False)
class DemandExchange:
    """Demand of peers, and when to tell them this instance's and the domain's.

    Parameters
    ----------
    is_short
        Returns True if a service has little free capacity at a time.
    """

    roster: Roster
    meter: DemandMeter = field(factory=DemandMeter)
    is_short: Callable[[str, float], bool] = lambda service, now_s: False
    _by_member: dict[str, HeardByService] = field(factory=dict)
    _by_domain: dict[str, HeardByService] = field(factory=dict)
    _away: HeardByService = field(factory=dict)
    _received_s_by_domain: dict[str, float] = field(factory=dict)
    _away_s_by_domain: dict[str, tuple[float, float]] = field(factory=dict)
    _away_received_s: float | None = None
    _digest_received_s: float | None = None
    _hearing_since_s: float = 0.0
    _reported: dict[str, tuple[ServiceDemand, float]] = field(factory=dict)
    _sum_by_service: dict[str, KnownDemand | None] = field(factory=dict)
    _lead_since_s: float | None = None
    _collectors: Sequence[Peer] = ()
    _next_report: int = 0
    _next_digest: int = 0
    _report_turn: int = 0
    _digest_turn: int = 0
    _remote_turn: int = 0

    def record_report(
        self, address: str, demand: DemandSum | None, now_s: float
    ) -> None:
        """Record what a member of the domain reported."""
        if demand is not None:
            _record(self._by_member.setdefault(address, {}), demand, now_s)

    def record_domain_digest(
        self,
        demand: DemandSum | None,
        away: DemandAway | None,
        remote_domains: Iterable[str],
        now_s: float,
        *,
        has_loads: bool,
    ) -> None:
        """Record a digest of a relay of this domain.

        Parameters
        ----------
        remote_domains
            Other domains of which the digest has loads. The lead relay lists also those
            that it doesn't hear any more; ``away`` is without them.
        has_loads
            True if the digest has the loads of the domain, as that of a lead relay.
        """
        own_domain = self.roster.own.domain
        if not _is_fresh(self._digest_received_s, now_s):
            self._hearing_since_s = now_s
        self._digest_received_s = now_s
        self._record_domain(own_domain, demand, now_s, has_loads=has_loads)
        if away is not None:
            self._away_received_s = now_s
            _record(self._away, DemandSum(now_s, away.demands), now_s)
            for domain, at_s in away.at_s_by_domain.items():
                self._away_s_by_domain[domain] = (at_s, now_s)
        elif not _is_fresh(self._away_received_s, now_s):
            for domain in remote_domains:
                self._away_s_by_domain[domain] = (now_s, now_s)

    def record_remote_digest(
        self, domain: str, demand: DemandSum | None, now_s: float, *, has_loads: bool
    ) -> None:
        """Record a digest of a relay of another domain."""
        self._record_domain(domain, demand, now_s, has_loads=has_loads)

    def _record_domain(
        self, domain: str, demand: DemandSum | None, now_s: float, *, has_loads: bool
    ) -> None:
        if demand is not None:
            _record(self._by_domain.setdefault(domain, {}), demand, now_s)
        if has_loads or demand is not None:
            self._received_s_by_domain[domain] = now_s

    def observe_lead(self, now_s: float) -> None:
        """Note at each report whether this instance is the lead relay of its domain."""
        self._sum_by_service.clear()
        for domain, received_s in list(self._received_s_by_domain.items()):
            if not _is_fresh(received_s, now_s):
                del self._received_s_by_domain[domain]
                self._by_domain.pop(domain, None)
        if not self.roster.is_lead_relay():
            self._lead_since_s = None
        elif self._lead_since_s is None:
            self._lead_since_s = now_s

    def collectors(self) -> Sequence[Peer]:
        """Return the peers to which this instance reports its demand."""
        if self.roster.is_lead_relay():
            return ()
        domain = self.roster.own.domain
        return self.roster.live_relays(domain)[:1] or self.roster.relays(domain)

    def next_report(self, number: int, now_s: float) -> DemandSum | None:
        """Return the demand to add to a report, None if none is due.

        Parameters
        ----------
        number
            Number of the report. A new lead relay is told the demand at once.
        """
        collectors = self.collectors()
        moved, self._collectors = collectors != self._collectors, collectors
        if not collectors or (number < self._next_report and not moved):
            return None
        services = [each for each in self.meter.active_services(now_s) if is_name(each)]
        turn, self._report_turn = self._report_turn, self._report_turn + 1
        demands = tuple(
            merge_demand([self.meter.report(service, now_s)], rows, MIN_REPORT_SHARE)
            for service, rows in _in_turn(services, MAX_REPORT_ROWS, turn)
        )
        if not demands:
            return None
        self._reported |= {each.service: (each, now_s) for each in demands}
        period = self._period(services, demands, REPORT_BYTES_PER_TURN, now_s)
        self._next_report = number + period
        return DemandSum(now_s, demands)

    def next_digest(
        self, number: int, now_s: float, *, to_remote: bool
    ) -> DemandSum | None:
        """Return the demand of the domain to add to a digest, None if none is due.

        Parameters
        ----------
        number
            Number of the digest. One that also goes to other domains always has it.
        """
        if not self._leads(now_s) or not (to_remote or number >= self._next_digest):
            return None
        services = self._services_of_domain(now_s)
        if to_remote:
            turn, self._remote_turn = self._remote_turn, self._remote_turn + 1
        else:
            turn, self._digest_turn = self._digest_turn, self._digest_turn + 1
        demands, at_s = [], now_s
        for service, rows in _in_turn(services, MAX_MERGED_ROWS, turn):
            known = self._own_sum(service, now_s, rows)
            demands.append(known.demands[0])
            at_s = min(at_s, known.at_s)
        if not demands:
            return None
        period = self._period(services, tuple(demands), DIGEST_BYTES_PER_TURN, now_s)
        # With a period of 3 every third digest would follow one to other domains.
        self._next_digest = number + (USUAL_PERIOD if period == 3 else period)
        return DemandSum(at_s, tuple(demands))

    def next_away(self, demand: DemandSum | None, now_s: float) -> DemandAway | None:
        """Return the demand of other domains to add to a digest to followers.

        Parameters
        ----------
        demand
            Demand of this domain in the same digest. With it also domains without a
            demand are told, so that followers know which domains are heard.
        """
        if not self._leads(now_s):
            return None
        own = self.roster.own.domain
        services = {
            service
            for domain, heard in self._by_domain.items()
            if domain != own
            for service, each in heard.items()
            if _is_fresh(each.received_s, now_s)
        }
        if demand is None and not services:
            return None
        at_s_by_domain = {
            domain: received_s
            for domain, received_s in self._received_s_by_domain.items()
            if domain != own and _is_fresh(received_s, now_s)
        }
        demands = []
        for service, rows in _in_turn(
            sorted(services), MAX_MERGED_ROWS, self._remote_turn
        ):
            parts, at_by_domain = self._direct(service, now_s)
            demands.append(merge_demand(parts, rows, MIN_SUM_SHARE))
            for domain, at_s in at_by_domain.items():
                at_s_by_domain[domain] = min(at_s, at_s_by_domain[domain])
        return DemandAway(tuple(demands), at_s_by_domain)

    def own_domain(self, service: str, now_s: float) -> KnownDemand | None:
        """Return the demand of this domain, None if there is no sum of it."""
        if self._leads(now_s):
            return self._own_sum(service, now_s, MAX_MERGED_ROWS)
        domain = self.roster.own.domain
        received_s = self._received_s_by_domain.get(domain)
        heard = _fresh(self._by_domain.get(domain, {}), service, now_s)
        if not _is_fresh(received_s, now_s) or received_s is None:
            # Other relays get no loads from the lead relay, and nothing while there is
            # no demand.
            if not (self.roster.addressed_as_relay and self.roster.live_relays(domain)):
                return None
            received_s = now_s
        own = self.meter.report(service, now_s)
        if heard is None:
            is_new = now_s - self._hearing_since_s < FIRST_SUM_S
            return None if is_new else KnownDemand((own,), received_s)
        others = heard.demand
        reported, reported_s = self._reported.get(service, (own, None))
        if _is_fresh(reported_s, now_s):
            others = subtract_demand(others, reported)
        return KnownDemand((others, own), min(received_s, heard.at_s))

    def other_domains(
        self, service: str, now_s: float
    ) -> tuple[Sequence[ServiceDemand], Mapping[str, float]]:
        """Return demands of other domains, and each known domain's oldest time.

        Relays hear the other domains themselves, followers by the lead relay.
        """
        direct, direct_s = self._direct(service, now_s)
        away_s = {
            domain: at_s
            for domain, (at_s, received_s) in self._away_s_by_domain.items()
            if _is_fresh(received_s, now_s)
        }
        if direct_s.keys() >= away_s.keys():
            return direct, direct_s
        heard = _fresh(self._away, service, now_s)
        return ([heard.demand] if heard else []), away_s

    def _direct(
        self, service: str, now_s: float
    ) -> tuple[list[ServiceDemand], dict[str, float]]:
        demands, at_s_by_domain = [], {}
        for domain, received_s in self._received_s_by_domain.items():
            if domain == self.roster.own.domain or not _is_fresh(received_s, now_s):
                continue
            heard = _fresh(self._by_domain.get(domain, {}), service, now_s)
            if heard is not None:
                demands.append(heard.demand)
                received_s = min(received_s, heard.at_s)
            at_s_by_domain[domain] = received_s
        return demands, at_s_by_domain

    def _leads(self, now_s: float) -> bool:
        """Return True if this instance is the lead relay and has the reports."""
        since_s = self._lead_since_s
        if since_s is None or now_s - since_s < SETTLING_S:
            return False
        return self.roster.is_lead_relay()

    def _services_of_domain(self, now_s: float) -> list[str]:
        self._drop_expired(now_s)
        known = {service for heard in self._by_member.values() for service in heard}
        known.update(filter(is_name, self.meter.active_services(now_s)))
        return sorted(known)

    def _own_sum(self, service: str, now_s: float, rows: int) -> KnownDemand:
        """Return the sum over this domain's members and this instance."""
        own, members = (
            self.meter.report(service, now_s),
            self._members_sum(service, now_s),
        )
        if members is None:
            return KnownDemand((merge_demand([own], rows, MIN_SUM_SHARE),), now_s)
        total = merge_demand([*members.demands, own], rows, MIN_SUM_SHARE)
        return KnownDemand((total,), members.at_s)

    def _members_sum(self, service: str, now_s: float) -> KnownDemand | None:
        """Return the sum over the members, which is kept until the next report."""
        if service not in self._sum_by_service:
            heard = [
                each
                for by_service in self._by_member.values()
                if (each := _fresh(by_service, service, now_s)) is not None
            ]
            known = None
            if heard:
                total = merge_demand([each.demand for each in heard])
                known = KnownDemand((total,), min(each.at_s for each in heard))
            self._sum_by_service[service] = known
        return self._sum_by_service[service]

    def _drop_expired(self, now_s: float) -> None:
        for address, by_service in list(self._by_member.items()):
            for service, heard in list(by_service.items()):
                if not _is_fresh(heard.received_s, now_s):
                    del by_service[service]
            if not by_service:
                del self._by_member[address]

    def _period(
        self,
        services: Iterable[str],
        demands: tuple[ServiceDemand, ...],
        bytes_per_turn: int,
        now_s: float,
    ) -> int:
        """Return after how many reports the demand is told again."""
        if not any(self.is_short(service, now_s) for service in services):
            return USUAL_PERIOD
        return min(USUAL_PERIOD, ceil(demand_size(demands) / bytes_per_turn))


def _record(heard: HeardByService, demand: DemandSum, now_s: float) -> None:
    for each in demand.demands:
        heard[each.service] = _Heard(each, demand.at_s, now_s)


def _is_fresh(received_s: float | None, now_s: float) -> bool:
    return received_s is not None and now_s - received_s <= PEER_REPORT_TTL_S


def _fresh(heard: HeardByService, service: str, now_s: float) -> _Heard | None:
    """Return what was heard of a service, None if that has expired."""
    known = heard.get(service)
    if known is not None and not _is_fresh(known.received_s, now_s):
        del heard[service]
        return None
    return known


def _in_turn(
    services: Sequence[str], max_rows: int, turn: int
) -> list[tuple[str, int]]:
    """Return the services that one datagram tells, with the rows that each may have.

    They share the rows, so that a datagram of more services takes little more bytes.
    """
    if not services:
        return []
    begin = turn * MAX_SERVICES % len(services) if len(services) > MAX_SERVICES else 0
    chosen = [*services[begin:], *services[:begin]][:MAX_SERVICES]
    return [(service, max_rows // len(chosen)) for service in chosen]
