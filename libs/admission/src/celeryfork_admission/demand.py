"""Measures the demand for services at one instance, and sums that of several.

It handles bursts and waves of load, and an organisation that causes much of it: rates
follow the arrivals within about a second, and the largest organisations are told apart.
Rates are exponentially weighted. Weights grow with time from a landmark instead of
being reduced by each later read, so that an arrival updates only its own row.
"""

from collections.abc import Container, Iterable, Iterator
from heapq import nlargest
from math import exp

from attrs import define, evolve, field

from celeryfork_admission.service_load import DemandRow, ServiceDemand, Urgency

RATE_WINDOW_S = 1.0
"""Time constant in s of the weights, which is the mean age of what a rate counts."""
IDLE_TTL_S = 10.0
"""Seconds after its last arrival for which an organisation is kept."""
MAX_TRACKED = 24_000
"""Maximum number of organisations by urgency and service that a meter keeps. Arrivals
of others count for the rest of their urgency."""
MAX_REPORT_ROWS = 16
"""Maximum number of rows of single organisations in the report of one instance."""
MAX_MERGED_ROWS = 32
"""The same in a sum over instances."""
MAX_URGENCIES = 16
"""Maximum number of urgencies in a report; the least urgent others count for the last
of them."""
MAX_EXPONENT = 300.0
"""Time constants from the landmark after which it is moved: the largest weight is about
1e130, so that sums of weights stay within the range of a float."""
CANDIDATES = 64
"""Number of largest rows that are kept apart, from which a report is selected."""
MIN_UNTRACKED_SHARE = 1e-3
"""Part of an urgency's tokens from which arrivals without a kept organisation are
reported. Less remains of organisations that were dropped, and of rounding."""
Key = tuple[Urgency, str | None]


@define(eq=False)
class _Rate:
    """Weighted sums of the tokens and the requests of some arrivals."""

    tokens: float = 0.0
    requests: float = 0.0

    def add(self, tokens: float, weight: float) -> None:
        self.tokens += tokens * weight
        self.requests += weight

    def scale(self, factor: float) -> None:
        self.tokens *= factor
        self.requests *= factor


@define(eq=False)
class _Row(_Rate):
    """Arrivals of one organisation at one urgency."""

    last_s: float = 0.0


@define(eq=False)
class _UrgencyMeter:
    """Arrivals of one urgency.

    Parameters
    ----------
    total
        Sum over all organisations, including those without a row.
    rows
        Row by organisation, the one with the oldest last arrival first.
    """

    total: _Rate = field(factory=_Rate)
    rows: dict[str | None, _Row] = field(factory=dict)


@define(eq=False)
class _ServiceMeter:
    """Arrivals, admissions and releases of one service.

    Parameters
    ----------
    candidates
        Rows that may be among the largest: all with more tokens than ``floor``.
    """

    landmark_s: float
    last_s: float
    by_urgency: dict[Urgency, _UrgencyMeter] = field(factory=dict)
    candidates: dict[Key, _Row] = field(factory=dict)
    floor: float = 0.0
    admitted: _Rate = field(factory=_Rate)
    released: _Rate = field(factory=_Rate)

    def weight(self, now_s: float) -> float:
        """Return the weight of an arrival now, moving the landmark if it is too old."""
        exponent = (now_s - self.landmark_s) / RATE_WINDOW_S
        if exponent > MAX_EXPONENT:
            self._move_landmark(now_s, exp(-exponent))
            return 1.0
        return exp(exponent)

    def _move_landmark(self, now_s: float, factor: float) -> None:
        self.landmark_s, self.floor = now_s, self.floor * factor
        for rate in self._rates():
            rate.scale(factor)

    def _rates(self) -> Iterator[_Rate]:
        yield from (self.admitted, self.released)
        for meter in self.by_urgency.values():
            yield meter.total
            yield from meter.rows.values()

    def consider(self, key: Key, row: _Row) -> None:
        """Keep a row apart if it is among the largest."""
        candidates = self.candidates
        if len(candidates) >= CANDIDATES and row.tokens <= self.floor:
            return
        candidates[key] = row
        if len(candidates) >= 2 * CANDIDATES:
            largest = nlargest(CANDIDATES, candidates.items(), key=_row_tokens)
            self.candidates, self.floor = dict(largest), largest[-1][1].tokens

    def drop_idle(self, urgency: Urgency, now_s: float) -> int:
        """Drop the organisations without a recent arrival; return their number."""
        rows, dropped = self.by_urgency[urgency].rows, 0
        while rows:
            organisation, row = next(iter(rows.items()))
            if now_s - row.last_s <= IDLE_TTL_S:
                break
            del rows[organisation]
            self.candidates.pop((urgency, organisation), None)
            dropped += 1
        return dropped


@define(eq=False)
class DemandMeter:
    """Rates of one instance's arrivals, admissions and releases by service."""

    _by_service: dict[str, _ServiceMeter] = field(factory=dict)
    _tracked: int = 0

    def record_arrival(
        self,
        service: str,
        urgency: Urgency,
        organisation: str | None,
        tokens: float,
        now_s: float,
    ) -> None:
        """Record a request that has arrived, whether or not it will be admitted."""
        meter = self._meter(service, now_s)
        weight = meter.weight(now_s)
        of_urgency = meter.by_urgency.get(urgency)
        if of_urgency is None:
            of_urgency = meter.by_urgency[urgency] = _UrgencyMeter()
        of_urgency.total.add(tokens, weight)
        self._tracked -= meter.drop_idle(urgency, now_s)
        row = of_urgency.rows.pop(organisation, None)
        if row is None:
            if self._tracked >= MAX_TRACKED:
                return
            self._tracked += 1
            row = _Row()
        row.add(tokens, weight)
        row.last_s = now_s
        of_urgency.rows[organisation] = row
        if organisation is not None:
            meter.consider((urgency, organisation), row)

    def record_admission(self, service: str, tokens: float, now_s: float) -> None:
        """Record a request that was admitted."""
        meter = self._meter(service, now_s)
        meter.admitted.add(tokens, meter.weight(now_s))

    def record_release(self, service: str, tokens: float, now_s: float) -> None:
        """Record the end of an admitted request."""
        meter = self._meter(service, now_s)
        meter.released.add(tokens, meter.weight(now_s))

    def report(self, service: str, now_s: float) -> ServiceDemand:
        """Return the rates of a service, with rows of the largest organisations."""
        meter = self._by_service.get(service)
        if meter is None:
            return ServiceDemand(service, (), 0.0, 0.0)
        self._drop_idle(meter, now_s)
        per_s = 1.0 / (meter.weight(now_s) * RATE_WINDOW_S)
        largest = nlargest(MAX_REPORT_ROWS, meter.candidates.items(), key=_row_tokens)
        rows = [
            DemandRow(*key, row.tokens * per_s, row.requests * per_s)
            for key, row in largest
        ]
        for urgency, of_urgency in meter.by_urgency.items():
            named = [row for row in rows if row.urgency == urgency]
            total = of_urgency.total
            tokens = total.tokens * per_s - sum(row.tokens_per_s for row in named)
            requests = total.requests * per_s - sum(row.requests_per_s for row in named)
            others = len(of_urgency.rows) - len(named)
            if others > 0 or tokens > MIN_UNTRACKED_SHARE * total.tokens * per_s:
                rows.append(
                    DemandRow(
                        urgency,
                        None,
                        max(0.0, tokens),
                        max(0.0, requests),
                        max(1, others),
                    )
                )
        demand = ServiceDemand(
            service,
            tuple(rows),
            meter.admitted.tokens * per_s,
            meter.released.tokens * per_s,
        )
        return merge_demand([demand], MAX_REPORT_ROWS)

    def active_services(self, now_s: float) -> list[str]:
        """Return the services with a recent arrival, and forget the idle ones."""
        for service, meter in list(self._by_service.items()):
            self._drop_idle(meter, now_s)
            if not meter.by_urgency and now_s - meter.last_s > IDLE_TTL_S:
                del self._by_service[service]
        return sorted(
            name for name, each in self._by_service.items() if each.by_urgency
        )

    def _meter(self, service: str, now_s: float) -> _ServiceMeter:
        meter = self._by_service.get(service)
        if meter is None:
            meter = self._by_service[service] = _ServiceMeter(now_s, now_s)
        meter.last_s = now_s
        return meter

    def _drop_idle(self, meter: _ServiceMeter, now_s: float) -> None:
        for urgency, of_urgency in list(meter.by_urgency.items()):
            self._tracked -= meter.drop_idle(urgency, now_s)
            if not of_urgency.rows and now_s - meter.last_s > IDLE_TTL_S:
                del meter.by_urgency[urgency]


def merge_demand(
    reports: Iterable[ServiceDemand],
    max_rows: int = MAX_MERGED_ROWS,
    min_share: float = 0.0,
) -> ServiceDemand:
    """Return the sum of reports on one service.

    The rest of an urgency is taken to stand for as many organisations as the largest
    rest that is added to it: instances see mostly the same organisations, whose number
    a sum would count once for each instance.

    Parameters
    ----------
    max_rows
        Maximum number of rows of single organisations, those with most tokens first.
    min_share
        Part of all tokens from which an organisation has a row of its own.

    Raises
    ------
    ValueError
        There is no report.
    """
    reports = list(reports)
    if not reports:
        raise ValueError("there is no report of a demand to sum")
    total: dict[Key, list[float]] = {}
    for row in _bounded([row for report in reports for row in report.rows]):
        _add(total, (row.urgency, row.organisation), row)
    named = [(key, sums) for key, sums in total.items() if key[1] is not None]
    least = min_share * sum(sums[0] for sums in total.values())
    kept = [
        (key, sums)
        for key, sums in nlargest(max_rows, named, key=_size)
        if sums[0] >= least
    ]
    rests = {key[0]: sums for key, sums in total.items() if key[1] is None}
    _fold(named, {key for key, _ in kept}, rests)
    return ServiceDemand(
        reports[0].service,
        tuple(
            DemandRow(urgency, organisation, tokens, requests, int(organisations))
            for (urgency, organisation), (tokens, requests, organisations) in [
                *kept,
                *(((urgency, None), rests[urgency]) for urgency in sorted(rests)),
            ]
        ),
        sum(report.admitted_tokens_per_s for report in reports),
        sum(report.released_tokens_per_s for report in reports),
    )


def subtract_demand(whole: ServiceDemand, part: ServiceDemand) -> ServiceDemand:
    """Return a sum without one report that it contains.

    What the sum counts for the rest of an urgency is subtracted there.
    """
    rows = {(row.urgency, row.organisation): row for row in whole.rows}
    for row in part.rows:
        key = (row.urgency, row.organisation)
        if key not in rows:
            key = (row.urgency, None)
        known = rows.get(key)
        if known is not None:
            rows[key] = evolve(
                known,
                tokens_per_s=max(0.0, known.tokens_per_s - row.tokens_per_s),
                requests_per_s=max(0.0, known.requests_per_s - row.requests_per_s),
            )
    admitted = whole.admitted_tokens_per_s - part.admitted_tokens_per_s
    released = whole.released_tokens_per_s - part.released_tokens_per_s
    return ServiceDemand(
        whole.service, tuple(rows.values()), max(0.0, admitted), max(0.0, released)
    )


def scale_demand(demand: ServiceDemand, factor: float) -> ServiceDemand:
    """Return a demand as of several instances with the same one."""
    return ServiceDemand(
        demand.service,
        tuple(
            evolve(
                row,
                tokens_per_s=row.tokens_per_s * factor,
                requests_per_s=row.requests_per_s * factor,
            )
            for row in demand.rows
        ),
        demand.admitted_tokens_per_s * factor,
        demand.released_tokens_per_s * factor,
    )


def _row_tokens(item: tuple[Key, _Row]) -> float:
    return item[1].tokens


def _add(total: dict[Key, list[float]], key: Key, row: DemandRow) -> None:
    """Add a row to sums of tokens/s and requests/s, and the largest organisations."""
    sums = total.get(key)
    if sums is None:
        total[key] = [row.tokens_per_s, row.requests_per_s, row.organisations]
        return
    sums[0] += row.tokens_per_s
    sums[1] += row.requests_per_s
    sums[2] = max(sums[2], row.organisations)


def _size(item: tuple[Key, list[float]]) -> tuple[float, str]:
    """Return a sort key: by tokens, and then by name, so that instances agree."""
    (_, organisation), (tokens, _, _) = item
    return tokens, organisation or ""


def _bounded(rows: list[DemandRow]) -> list[DemandRow]:
    """Return rows of at most ``MAX_URGENCIES`` urgencies."""
    urgencies = sorted({row.urgency for row in rows})
    if len(urgencies) <= MAX_URGENCIES:
        return rows
    last = urgencies[MAX_URGENCIES - 1]
    return [
        row
        if row.urgency <= last
        else evolve(row, urgency=last, organisation=None, organisations=1)
        for row in rows
    ]


def _fold(
    named: Iterable[tuple[Key, list[float]]],
    kept: Container[Key],
    rests: dict[Urgency, list[float]],
) -> None:
    """Add the organisations that aren't kept to the rests of their urgencies."""
    folded: dict[Urgency, list[float]] = {}
    for key, (tokens, requests, _) in named:
        if key not in kept:
            sums = folded.setdefault(key[0], [0.0, 0.0, 0])
            sums[0] += tokens
            sums[1] += requests
            sums[2] += 1
    for urgency, (tokens, requests, organisations) in folded.items():
        sums = rests.setdefault(urgency, [0.0, 0.0, 0])
        sums[0] += tokens
        sums[1] += requests
        sums[2] = max(sums[2], organisations)
