"""The home of permits: the instance that enforces an organisation's limits.

Each organisation has one home at a time, which grants permits to all instances. During
a network partition each side may have a home of its own. A home that sees only some of
the known failure domains therefore grants only their share of the limit, so that all
sides together never exceed it.
"""

import threading
from collections.abc import Callable, Sequence

from attrs import define, field, frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters

from celeryfork_admission.buckets import TokenBucket

IN_USE_REPORT_TTL_S = 5.0
# Initial level of the bucket of a new account, in seconds of the rate.
INITIAL_LEVEL_S = 1.0
# Maximum number of permits in one grant, in seconds of the rate.
MAX_BATCH_S = 0.5


@frozen
class Limit:
    """Rate and concurrency limits of an organisation.

    Parameters
    ----------
    requests_per_second
        Rate over the whole deployment.
    burst
        Requests that may start at once after an idle period.
    concurrency
        Requests that may run at once over the whole deployment.
    """

    requests_per_second: float
    burst: float
    concurrency: int


@frozen
class GrantRequest:
    """An instance's request for permits of one organisation.

    Parameters
    ----------
    wanted
        Number of permits requested; 0 only reports ``in_use``.
    in_use
        Requests of the organisation that the instance runs now.
    """

    organisation: str
    wanted: int
    in_use: int


@frozen
class Grant:
    """Response of the home to a grant request.

    Parameters
    ----------
    granted
        Number of permits, each for the start of one request.
    lease_s
        Time within which the permits have to be used, in seconds.
    retry_after_s
        Delay before the next request if nothing was granted, in seconds.
    over_concurrency
        True if the concurrency limit was the reason for a refusal.
    """

    granted: int
    lease_s: float
    retry_after_s: float
    over_concurrency: bool


@define
class _InUseReport:
    """Running requests that one instance reported, and permits granted since."""

    count: int
    granted_since: int
    reported_s: float


@define
class _Account:
    """State of one organisation at its home."""

    bucket: TokenBucket
    in_use_by_instance: dict[str, _InUseReport] = field(factory=dict)


class PermitHome:
    """Grants permits for the organisations whose home is this instance.

    Parameters
    ----------
    limit_of
        Returns an organisation's limit in force, None if it is unknown.
    share
        Returns the share of the known failure domains that this instance sees now, 0 to
        1.
    lease_s
        Returns the time within which granted permits have to be used, in seconds.
    clock, counters
        Time source and metrics.
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
        """Return one grant for each request of an instance, in the same order."""
        share = self._share()
        with self._lock:
            return [
                self._answer_request(instance, request, share) for request in requests
            ]

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

    def _answer_request(
        self, instance: str, request: GrantRequest, share: float
    ) -> Grant:
        limit = self._limit_of(request.organisation)
        if limit is None:
            return Grant(0, 0.0, 1.0, False)
        now_s = self._clock.monotonic()
        rate = limit.requests_per_second * share
        capacity = max(1.0, limit.burst * share)
        account = self._account(request.organisation, rate, capacity, now_s)
        account.bucket.refill(now_s, rate, capacity)
        free = self._remaining_concurrency(
            account, limit, share, instance, request, now_s
        )
        # One batch of one instance must not use up the burst of all others.
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

    def _remaining_concurrency(
        self,
        account: _Account,
        limit: Limit,
        share: float,
        instance: str,
        request: GrantRequest,
        now_s: float,
    ) -> int:
        """Record an instance's running requests; return how many more may run."""
        account.in_use_by_instance[instance] = _InUseReport(request.in_use, 0, now_s)
        for name, in_use in list(account.in_use_by_instance.items()):
            if now_s - in_use.reported_s > IN_USE_REPORT_TTL_S:
                del account.in_use_by_instance[name]
        running = sum(
            in_use.count + in_use.granted_since
            for in_use in account.in_use_by_instance.values()
        )
        return max(1, int(limit.concurrency * share)) - running
