"""Estimates how many tokens per second a fleet of engines can accept.

Load: demand above the capacity, known with a delay of up to a few seconds.
"""

from collections import deque
from math import exp

from attrs import define, field, frozen

from celeryfork_admission.service_load import ServiceLoad

FILL_S = 0.5
"""Seconds in which free memory is given out: the objective of a first event."""
TARGET_USE = 0.99
"""Share of the memory that admissions fill. The rest absorbs the random variation of
arrivals; without it, engines reject requests of all urgencies alike."""
HOLDING_WINDOW_S = 8.0
"""Time constant of the mean holding time: several requests one after the other, so that
the releases that follow a burst don't look like further capacity."""
RATE_WINDOW_S = 1.0
"""Time constant of the rates in the shared information."""
MIN_HOLDING_S = 0.1
"""Least mean time for which a request holds memory; shorter ones are measured only in
the first moments of a load."""
MAX_EXCESS = 1.5
"""Largest correction of the fractions, so that a measurement of a moment, as of the
first refusals, doesn't make the admissions oscillate."""
MAX_HISTORY_S = 6.0
"""Seconds for which own admission rates are kept, twice the largest useful age."""


@frozen
class _PlannedRate:
    """Rate at which the fleet should admit tokens from a time on.

    Parameters
    ----------
    expected
        Tokens per second that are expected to be admitted.
    planned_mean
        Mean of the tokens per second by fractions and known demand, as the shared
        information averages what was admitted; None if nothing was to be refused.
    """

    at_s: float
    expected: float
    planned_mean: float | None


@define
class SupplyEstimator:
    """Predicts the free memory now from older information.

    The memory in use at the age of the information is extrapolated by the admissions
    that the same rule has given out since and by the releases that follow from the mean
    holding time. So a delay neither fills memory twice nor leaves it unused.

    Parameters
    ----------
    used_s, served
        Memory in use times seconds, and the mean of the tokens that took and released
        memory, both with exponential decay. Their ratio is the mean time for which a
        request holds memory (Little's law), also while the use grows or falls.
    history
        Admissions that were planned, the latest last.
    """

    _used_s: float = 0.0
    _served: float = 0.0
    _last_used: float = 0.0
    _last_released: float = 0.0
    _updated_s: float | None = None
    _history: deque[_PlannedRate] = field(factory=deque)

    def estimate(self, load: ServiceLoad, now_s: float) -> float:
        """Return the tokens per second that may be admitted now."""
        room, demand = load.room, load.demand
        used = max(0.0, room.total_tokens - room.free_tokens)
        self._record_holding(used, demand.released_tokens_per_s, now_s)
        usable = TARGET_USE * room.total_tokens
        free = usable - self._predict_used(load, used, now_s)
        # An instance that has just started knows no holding time yet.
        sustained = (
            usable * self._released_share_per_s() or demand.released_tokens_per_s
        )
        return max(0.0, sustained + free / FILL_S)

    def excess(self, load: ServiceLoad, now_s: float) -> float:
        """Return by what factor more was admitted than planned.

        It differs from 1 while the demand changes faster than it becomes known, as
        when refused requests return.
        """
        at_s = now_s - load.age_s
        for each in reversed(self._history):
            if each.at_s <= at_s:
                if not each.planned_mean:
                    return 1.0
                ratio = load.demand.admitted_tokens_per_s / each.planned_mean
                return min(MAX_EXCESS, max(1 / MAX_EXCESS, ratio))
        return 1.0

    def record_plan(
        self, planned: float, excess: float, now_s: float, *, short: bool
    ) -> None:
        """Record the tokens per second that the fleet admits from now on."""
        mean = None
        if short:
            mean = planned
            last = self._history[-1] if self._history else None
            if last is not None and last.planned_mean is not None:
                kept = exp((last.at_s - now_s) / RATE_WINDOW_S)
                mean = last.planned_mean * kept + planned * (1 - kept)
        self._history.append(_PlannedRate(now_s, planned * excess, mean))
        while self._history[0].at_s < now_s - MAX_HISTORY_S:
            self._history.popleft()

    def _record_holding(self, used: float, released: float, now_s: float) -> None:
        if self._updated_s is not None:
            step_s = now_s - self._updated_s
            kept = exp(-step_s / HOLDING_WINDOW_S)
            self._used_s = self._used_s * kept + used * step_s
            # Undoes the averaging of the rate, which lags behind a load that begins.
            ended = released * step_s + RATE_WINDOW_S * (released - self._last_released)
            served = ended + (used - self._last_used) / 2
            self._served = self._served * kept + served
        self._updated_s, self._last_used = now_s, used
        self._last_released = released

    def _released_share_per_s(self) -> float:
        """Return the share of the memory in use that is released per second."""
        if self._used_s <= 0 or self._served <= 0:
            return 0.0
        return min(self._served / self._used_s, 1 / MIN_HOLDING_S)

    def _predict_used(self, load: ServiceLoad, used: float, now_s: float) -> float:
        """Return the memory in use now, by the admissions since ``load`` was true."""
        released_share_per_s = self._released_share_per_s()
        if not released_share_per_s:
            return used
        at_s = now_s - min(load.age_s, MAX_HISTORY_S)
        rate = load.demand.admitted_tokens_per_s
        for each in [*self._history, _PlannedRate(now_s, 0.0, None)]:
            step_s = each.at_s - at_s
            if step_s > 0:
                kept = exp(-released_share_per_s * step_s)
                used = used * kept + rate * (1 - kept) / released_share_per_s
                at_s = each.at_s
            rate = each.expected
        return used
