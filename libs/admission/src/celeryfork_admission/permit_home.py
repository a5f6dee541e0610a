"""The home side of permits: one instance keeps an organisation's rate and concurrency.

A home that sees only some of the known failure domains grants only their share, so the
parts of a partitioned deployment never grant more than the limit together.
"""

import threading
from collections.abc import Callable, Sequence

from attrs import define, field, frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters

from celeryfork_admission.buckets import TokenBucket

IN_USE_REPORT_TTL_S = 5.0
INITIAL_LEVEL_S = 1.0
MAX_BATCH_S = 0.5


@frozen
class Limit:
    """An organisation's limit.

    Parameters
    ----------
    requests_per_second
        Rate over the whole deployment.
    burst
        Requests that may start at once after a quiet time.
    concurrency
        Requests that may run at once over the whole deployment.
    """

    requests_per_second: float
    burst: float
    concurrency: int


@frozen
class GrantRequest:
    """What an instance wants for one organisation."""

    organisation: str
    wanted: int
    in_use: int


@frozen
class Grant:
    """What the home gives.

    Parameters
    ----------
    granted
        Permits to start a request.
    lease_s
        How long they may be used, in seconds.
    retry_after_s
        When to ask again where nothing was granted, in seconds.
    over_concurrency
        Whether it was the concurrency that refused.
    """

    granted: int
    lease_s: float
    retry_after_s: float
    over_concurrency: bool


@define
class _InUseReport:
    """What one instance said that it runs, and what it was granted since."""

    count: int
    granted_since: int
    reported_s: float


@define
class _Account:
    """One organisation at its home."""

    bucket: TokenBucket
    in_use_by_instance: dict[str, _InUseReport] = field(factory=dict)


class PermitHome:
    """Accounts of the organisations whose home this instance is.

    Parameters
    ----------
    limit_of
        Returns an organisation's limit in force, None if it is unknown.
    share
        Returns the visible share of the known failure domains, 0 to 1.
    lease_s
        Returns how long a grant may be used, in seconds.
    clock, counters
        Time and counts.
    """

    def __init__(
        self,
        limit_of: Callable[[str], Limit | None],
        share: Callable[[], float],
        lease_s: Callable[[], float],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._limit_of = limit_of
        self._share = share
        self._lease_s = lease_s
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._accounts_by_organisation: dict[str, _Account] = {}

    def grant(self, instance: str, requests: Sequence[GrantRequest]) -> list[Grant]:
        """Answer an instance's batch, one grant for each ask, in order."""
        share = self._share()
        with self._lock:
            return [self._grant_one(instance, request, share) for request in requests]

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        with self._lock:
            return {
                name: {
                    "level": round(account.bucket.level, 2),
                    "in_use": sum(u.count for u in account.in_use_by_instance.values()),
                }
                for name, account in self._accounts_by_organisation.items()
            }

    def _grant_one(self, instance: str, request: GrantRequest, share: float) -> Grant:
        limit = self._limit_of(request.organisation)
        if limit is None:
            return Grant(0, 0.0, 1.0, False)
        now_s = self._clock.monotonic()
        rate = limit.requests_per_second * share
        capacity = max(1.0, limit.burst * share)
        account = self._account(request.organisation, rate, capacity, now_s)
        account.bucket.refill(now_s, rate, capacity)
        free = self._free(account, limit, share, instance, request, now_s)
        # One instance must not take a whole burst from the others in one batch.
        batch_limit = max(
            request.wanted if request.wanted <= 1 else 1, int(rate * MAX_BATCH_S)
        )
        granted = account.bucket.take(min(request.wanted, batch_limit, free))
        account.in_use_by_instance[instance].granted_since += granted
        if granted or not request.wanted:
            return Grant(granted, self._lease_s(), 0.0, False)
        self._counters.add("permits.refused_at_home")
        if free <= 0:
            return Grant(0, 0.0, IN_USE_REPORT_TTL_S / 5, True)
        return Grant(0, 0.0, account.bucket.seconds_until_one(rate), False)

    def _account(
        self, organisation: str, rate: float, capacity: float, now_s: float
    ) -> _Account:
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            initial_level = min(capacity, max(1.0, rate * INITIAL_LEVEL_S))
            account = _Account(TokenBucket(initial_level, now_s))
            self._accounts_by_organisation[organisation] = account
        return account

    def _free(
        self,
        account: _Account,
        limit: Limit,
        share: float,
        instance: str,
        request: GrantRequest,
        now_s: float,
    ) -> int:
        """Return how many more requests may run, after noting what the asker runs."""
        account.in_use_by_instance[instance] = _InUseReport(request.in_use, 0, now_s)
        for name, in_use in list(account.in_use_by_instance.items()):
            if now_s - in_use.reported_s > IN_USE_REPORT_TTL_S:
                del account.in_use_by_instance[name]
        running = sum(
            in_use.count + in_use.granted_since
            for in_use in account.in_use_by_instance.values()
        )
        return max(1, int(limit.concurrency * share)) - running
