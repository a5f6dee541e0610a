"""Decides which requests are admitted while demand exceeds the supply.

Loads: a burst, a wave, one organisation with half of the load, a retry storm, a
heterogeneous fleet. All instances decide by the same rule from the same information,
without messages.
"""

import random
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable
from itertools import accumulate
from math import inf, log2

from attrs import define, evolve, field, frozen
from xxhash import xxh3_64_intdigest

from celeryfork_admission.demand_forecast import DemandForecast, RowKey
from celeryfork_admission.service_load import (
    DemandRow,
    ServiceDemand,
    ServiceLoad,
    Urgency,
)
from celeryfork_admission.supply import SupplyEstimator

UPDATE_INTERVAL_S = 0.1
"""Minimum seconds between two computations of the fractions."""
MAX_SIZE_CLASS = 12
"""Class of the largest requests; each class is four times the size of the last one."""
BUCKETS = 64
"""Number of remainders that organisations without a row share, by hash."""
MAX_OVERDRAFT = 2.0
"""Number of due retries that may be admitted ahead of the fraction."""
REFUSED_WINDOW_S = 3.0
"""Seconds of refusals that are expected to return, about the duration of a stream."""
MIN_RETRY_AFTER_S = 0.8
"""Some streams have ended by then."""
MAX_RETRY_AFTER_S = 6.0
MAX_SHARE_OF_TIME_LEFT = 1 / 3
"""Callers don't wait for longer before they retry."""
JITTER = 0.3
MIN_SPARE_SHARE = 0.25
"""Least share of the supply that is assumed to be left for retries, since arrivals
contain retries that this instance can't tell from new requests."""

Fractions = dict[RowKey, float]


@frozen
class ArrivingRequest:
    """What the decision on a request depends on.

    Parameters
    ----------
    tokens
        Prompt tokens and expected tokens of the answer.
    objective_s
        Seconds to the first event that callers count as on time.
    left_s
        Seconds until the caller's deadline.
    due
        True for a retry that comes at the time that its refusal named.
    """

    urgency: Urgency
    organisation: str | None
    tokens: float
    objective_s: float
    left_s: float
    due: bool = False


@frozen
class Inputs:
    """Numbers behind a refusal, for its log line."""

    fraction: float
    supply: float
    demand: float
    demand_more_urgent: float
    free_tokens: float
    total_tokens: float
    age_s: float
    complete: bool


@frozen
class Admit:
    """The request may search for a path."""


@frozen
class Refuse:
    """The request is refused without having run."""

    retry_after_s: float
    reason: str
    inputs: Inputs


Decision = Admit | Refuse


def weighted_fractions(
    demand: ServiceDemand, supply: float, weight_of: Callable[[str], float]
) -> Fractions:
    """Return the fraction of the requests of each row that is admitted.

    Urgencies are served in order. The first that exceeds what is left of the supply is
    divided by weighted max-min fairness; those after it get nothing.
    """
    fractions: Fractions = {}
    rows_by_urgency: dict[Urgency, list[DemandRow]] = {}
    for row in demand.rows:
        rows_by_urgency.setdefault(row.urgency, []).append(row)
    for urgency in sorted(rows_by_urgency, key=_order):
        rows = rows_by_urgency[urgency]
        wanted = sum(row.tokens_per_s for row in rows)
        if wanted <= supply:
            fractions.update(((urgency, row.organisation), 1.0) for row in rows)
        elif supply <= 0:
            fractions.update(((urgency, row.organisation), 0.0) for row in rows)
        else:
            fractions.update(_fair_fractions(rows, supply, weight_of))
        supply = max(0.0, supply - wanted)
    return fractions


def _order(urgency: Urgency) -> tuple[int, int]:
    """Return the key of an urgency, as tuples are compared much faster."""
    return urgency.organisation_priority, urgency.route_priority


@frozen
class _UrgencySums:
    """Sums of a quantity over the more urgent requests.

    Parameters
    ----------
    orders
        Keys of the urgencies in order.
    sums
        Sums over the first urgencies, from none to all of them.
    """

    orders: list[tuple[int, int]]
    sums: list[float]

    def before(self, urgency: Urgency) -> float:
        """Return the sum over the urgencies before one."""
        return self.sums[bisect_left(self.orders, _order(urgency))]

    def up_to(self, urgency: Urgency) -> float:
        """Return the sum over an urgency and those before it."""
        return self.sums[bisect_right(self.orders, _order(urgency))]


def _make_sums(amounts: dict[Urgency, float]) -> _UrgencySums:
    ordered = sorted(amounts, key=_order)
    sums = accumulate((amounts[each] for each in ordered), initial=0.0)
    return _UrgencySums([_order(each) for each in ordered], list(sums))


def _fair_fractions(
    rows: Iterable[DemandRow], supply: float, weight_of: Callable[[str], float]
) -> Fractions:
    """Fill the rows in the order of demand by weight, so that small ones are served."""
    weighted = [(row, _weight(row, weight_of)) for row in rows]
    weighted.sort(key=lambda each: each[0].tokens_per_s / each[1])
    weight_left = sum(weight for _, weight in weighted)
    fractions: Fractions = {}
    for row, weight in weighted:
        share = min(row.tokens_per_s, supply * weight / weight_left)
        fraction = share / row.tokens_per_s if row.tokens_per_s > 0 else 1.0
        fractions[row.urgency, row.organisation] = fraction
        supply -= share
        weight_left = max(weight_left - weight, 1e-9)
    return fractions


def _weight(row: DemandRow, weight_of: Callable[[str], float]) -> float:
    if row.organisation is None:
        return float(max(1, row.organisations))
    return weight_of(row.organisation)


@frozen
class _Plan:
    """Fractions in force, and the numbers that they follow from.

    Parameters
    ----------
    cutoff
        First urgency that isn't served in full, None if all are.
    cutoff_fraction
        Fraction of the cutoff urgency's demand that is admitted.
    """

    at_s: float
    load: ServiceLoad
    supply: float
    fractions: Fractions
    demand_by_urgency: dict[Urgency, float]
    demand_sums: _UrgencySums
    admitted_by_urgency: dict[Urgency, float]
    cutoff: Urgency | None
    cutoff_fraction: float

    def row(self, urgency: Urgency, organisation: str | None) -> RowKey:
        """Return the row in which a request is counted."""
        key = urgency, organisation
        return key if key in self.fractions else (urgency, None)

    def fraction(self, row: RowKey) -> float:
        """Return the fraction of the requests of a row, also if it isn't known."""
        if self.cutoff is None:
            return 1.0
        order, cutoff = _order(row[0]), _order(self.cutoff)
        if order != cutoff:
            return 1.0 if order < cutoff else 0.0
        return self.fractions.get(row, self.cutoff_fraction)


def _remainder_key(
    row: RowKey, request: ArrivingRequest
) -> tuple[Urgency, str | int, int]:
    """Return the key of a remainder; the number of keys is bounded."""
    urgency, organisation = row
    group: str | int = organisation or ""
    if organisation is None:
        name = (request.organisation or "").encode()
        group = xxh3_64_intdigest(name) % BUCKETS
    size = int(log2(max(1.0, request.tokens))) // 2
    return urgency, group, min(size, MAX_SIZE_CLASS)


def _make_plan(
    load: ServiceLoad, supply: float, weight_of: Callable[[str], float], now_s: float
) -> _Plan:
    fractions = weighted_fractions(load.demand, supply, weight_of)
    demand: dict[Urgency, float] = {}
    admitted: dict[Urgency, float] = {}
    for row in load.demand.rows:
        fraction = fractions[row.urgency, row.organisation]
        demand[row.urgency] = demand.get(row.urgency, 0.0) + row.tokens_per_s
        share = row.tokens_per_s * fraction
        admitted[row.urgency] = admitted.get(row.urgency, 0.0) + share
    short = [each for each in demand if admitted[each] < demand[each] * (1 - 1e-9)]
    cutoff = min(short, key=_order, default=None)
    share = admitted[cutoff] / demand[cutoff] if cutoff is not None else 1.0
    return _Plan(
        now_s,
        load,
        supply,
        fractions,
        demand,
        _make_sums(demand),
        admitted,
        cutoff,
        share,
    )


@define(eq=False)
class ShortagePolicy:
    """Admits the fractions of one service that the known load allows.

    Parameters
    ----------
    instance
        Name of this instance. The first remainders follow from a hash of it, so that
        instances that see few requests of an organisation don't all refuse the first.
    weight_of
        Returns the weight of an organisation.
    remainder_by_key
        Requests that the fractions have allowed beyond those admitted. Sizes have
        remainders of their own, as alternating sizes would resonate with one.
    returning_share
        Share of due retries among the tokens that arrived recently.
    """

    _instance: str
    _weight_of: Callable[[str], float]
    _random: random.Random = field(factory=random.Random)
    _supply: SupplyEstimator = field(factory=SupplyEstimator)
    _forecast: DemandForecast = field(factory=DemandForecast)
    _plan: _Plan | None = None
    _remainder_by_key: dict[tuple[Urgency, str | int, int], float] = field(factory=dict)
    _refused_by_urgency: dict[Urgency, float] = field(factory=dict)
    _refused_sums: _UrgencySums = field(factory=lambda: _make_sums({}))
    _returning_share: float = 0.0

    def update(self, load: ServiceLoad, now_s: float) -> None:
        """Compute the fractions, unless that was done shortly before."""
        last = self._plan
        if last is not None and now_s - last.at_s < UPDATE_INTERVAL_S:
            return
        rows = self._forecast.extrapolate(load, now_s)
        if rows is not load.demand.rows:
            load = evolve(load, demand=evolve(load.demand, rows=rows))
        supply = self._supply.estimate(load, now_s)
        excess = self._supply.excess(load, now_s)
        plan = self._plan = _make_plan(load, supply / excess, self._weight_of, now_s)
        self._supply.record_plan(
            sum(plan.admitted_by_urgency.values()),
            excess,
            now_s,
            short=plan.cutoff is not None,
        )
        if plan.cutoff is None:
            self._remainder_by_key.clear()
        self._record_refused(plan, now_s - last.at_s if last else 0.0)

    def decide(self, request: ArrivingRequest, now_s: float) -> Decision:
        """Return whether a request is admitted now.

        A due retry is admitted before new requests: it may use what its organisation
        is going to be allowed next.
        """
        plan = self._plan
        if plan is None:
            return Admit()
        row = plan.row(request.urgency, request.organisation)
        self._forecast.record_arrival(row)
        if plan.cutoff is None:
            return Admit()
        self._returning_share += 0.02 * (request.due - self._returning_share)
        fraction = plan.fraction(row)
        if fraction >= 1.0:
            return Admit()
        if fraction > 0.0:
            key = _remainder_key(row, request)
            remainder = self._remainder_by_key.get(key)
            if remainder is None:
                remainder = xxh3_64_intdigest(f"{self._instance}{key}".encode()) / 2**64
            remainder += fraction
            admitted = remainder >= (1.0 - MAX_OVERDRAFT if request.due else 1.0)
            self._remainder_by_key[key] = remainder - admitted
            if admitted:
                return Admit()
        return self._refuse(plan, request, fraction)

    def _record_refused(self, plan: _Plan, step_s: float) -> None:
        kept = max(0.0, 1 - step_s / REFUSED_WINDOW_S)
        for urgency in self._refused_by_urgency.keys() | plan.demand_by_urgency.keys():
            refused = plan.demand_by_urgency.get(urgency, 0.0)
            refused -= plan.admitted_by_urgency.get(urgency, 0.0)
            last = self._refused_by_urgency.get(urgency, 0.0)
            self._refused_by_urgency[urgency] = last * kept + refused * step_s
        self._refused_sums = _make_sums(self._refused_by_urgency)

    def _refuse(self, plan: _Plan, request: ArrivingRequest, fraction: float) -> Refuse:
        own = request.urgency
        load = plan.load
        inputs = Inputs(
            fraction=fraction,
            supply=plan.supply,
            demand=plan.demand_by_urgency.get(own, 0.0),
            demand_more_urgent=plan.demand_sums.before(own),
            free_tokens=load.room.free_tokens,
            total_tokens=load.room.total_tokens,
            age_s=load.age_s,
            complete=load.complete,
        )
        reason = "share" if fraction > 0.0 else "more_urgent"
        return Refuse(self._retry_after_s(plan, request), reason, inputs)

    def _retry_after_s(self, plan: _Plan, request: ArrivingRequest) -> float:
        """Return the time until the refused requests can be served, with jitter."""
        least_s = MIN_RETRY_AFTER_S
        wait_s = least_s
        if request.left_s > least_s + request.objective_s:
            refused = self._refused_sums.up_to(request.urgency)
            demand = plan.demand_sums.sums[-1]
            new = demand * (1 - self._returning_share)
            spare = max(plan.supply - new, plan.supply * MIN_SPARE_SHARE)
            wait_s = refused / spare if spare > 0 else inf
            most_s = request.left_s * MAX_SHARE_OF_TIME_LEFT / (1 + JITTER)
            wait_s = max(least_s, min(wait_s, MAX_RETRY_AFTER_S, most_s))
        return round(wait_s * (1 + JITTER * (2 * self._random.random() - 1)), 2)
