"""Extrapolates the known demand by what this instance has observed since.

Load: a burst or a wave that changes the demand faster than information spreads. Callers
are spread over the instances, so that the arrivals at one of them change as the demand
does.
"""

from collections import Counter, deque
from math import exp, sqrt

from attrs import define, evolve, field

from celeryfork_admission.service_load import DemandRow, ServiceLoad, Urgency

RowKey = tuple[Urgency, str | None]
Rates = dict[RowKey, float]
"""Requests per second by row."""

KNOWN_WINDOW_S = 1.0
"""Time constant of the rates in the shared information."""
NOW_WINDOW_S = 0.4
"""Time constant of the current rates: a burst is noticed within an objective."""
LARGE_RATE_PER_S = 5.0
"""Requests per second from which a row is extrapolated by itself. The others are
pooled, as their own rates are noise."""
NOISE_DEVIATIONS = 3.5
"""Standard deviations of random arrivals that aren't taken for a change."""
MIN_KNOWN_PER_S = 2.0
"""Earlier rate from which a ratio is meaningful; lower ones are a load that begins."""
MIN_RATE_PER_S = 0.01
"""Rows with a lower rate are dropped, which bounds their number."""
MAX_GROWTH = 6.0
MAX_HISTORY_S = 4.0
"""Seconds for which own rates are kept: longer than shared information is valid."""


@define
class DemandForecast:
    """Own arrival rates by row, now and at the time of the shared information.

    Parameters
    ----------
    known_by_row
        Requests per second with the time constant of the shared information.
    now_by_row
        The same with a shorter time constant.
    history
        Times and values of ``known_by_row``.
    """

    _known_by_row: Rates = field(factory=dict)
    _now_by_row: Rates = field(factory=dict)
    _arrived_by_row: Counter[RowKey] = field(factory=Counter)
    _history: deque[tuple[float, Rates]] = field(factory=deque)
    _updated_s: float | None = None

    def record_arrival(self, row: RowKey) -> None:
        """Count an arrived request."""
        self._arrived_by_row[row] += 1

    def extrapolate(self, load: ServiceLoad, now_s: float) -> tuple[DemandRow, ...]:
        """Return the rows of demand that are expected now."""
        self._update(now_s)
        rows = load.demand.rows
        then = self._rates_at(now_s - load.age_s)
        if then is None:
            return rows
        keys = [(row.urgency, row.organisation) for row in rows]
        now = [self._now_by_row.get(key, 0.0) for key in keys]
        earlier = [then.get(key, 0.0) for key in keys]
        pairs = list(zip(now, earlier, strict=True))
        small = [pair for pair in pairs if max(pair) < LARGE_RATE_PER_S]
        pooled = _growth(sum(pair[0] for pair in small), sum(pair[1] for pair in small))
        growths = [
            pooled if max(pair) < LARGE_RATE_PER_S else _growth(*pair) for pair in pairs
        ]
        if all(growth == 1.0 for growth in growths):
            return rows
        return tuple(map(_scaled, rows, growths))

    def _update(self, now_s: float) -> None:
        if self._updated_s is not None and now_s > self._updated_s:
            step_s = now_s - self._updated_s
            arrived = self._arrived_by_row
            self._known_by_row = _averaged(
                self._known_by_row, arrived, step_s, KNOWN_WINDOW_S
            )
            self._now_by_row = _averaged(
                self._now_by_row, arrived, step_s, NOW_WINDOW_S
            )
            self._history.append((now_s, self._known_by_row))
            while self._history[0][0] < now_s - MAX_HISTORY_S:
                self._history.popleft()
        self._updated_s = now_s
        self._arrived_by_row = Counter()

    def _rates_at(self, at_s: float) -> Rates | None:
        """Return the rates at a time, None if this instance didn't observe it."""
        if not self._history or self._history[0][0] > at_s + KNOWN_WINDOW_S / 2:
            return None
        for sampled_s, rates in reversed(self._history):
            if sampled_s <= at_s:
                return rates
        return self._history[0][1]


def _averaged(
    rates: Rates, arrived: Counter[RowKey], step_s: float, window_s: float
) -> Rates:
    kept = exp(-step_s / window_s)
    gained = (1 - kept) / step_s
    averaged: Rates = {}
    for key in rates.keys() | arrived.keys():
        rate = rates.get(key, 0.0) * kept + arrived.get(key, 0.0) * gained
        if rate > MIN_RATE_PER_S:
            averaged[key] = rate
    return averaged


def _growth(now: float, then: float) -> float:
    """Return the ratio of two rates, 1 if they differ by no more than noise does."""
    if then < MIN_KNOWN_PER_S:
        return 1.0
    noise = sqrt(now / (2 * NOW_WINDOW_S) + then / (2 * KNOWN_WINDOW_S))
    if abs(now - then) < NOISE_DEVIATIONS * noise:
        return 1.0
    return min(MAX_GROWTH, max(1 / MAX_GROWTH, now / then))


def _scaled(row: DemandRow, growth: float) -> DemandRow:
    if growth == 1.0:
        return row
    return evolve(
        row,
        tokens_per_s=row.tokens_per_s * growth,
        requests_per_s=row.requests_per_s * growth,
    )
