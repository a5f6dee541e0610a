"""Permits to start a request, leased in small batches from an organisation's home.

The home of an organisation is the instance that enforces its limits; rendezvous hashing
selects it among the serving instances. Organisations are mapped to shards first, so
that an instance talks to a bounded number of homes and sends its requests for permits
in batches. An instance that can't reach the home falls back to its static share of the
limit, which needs no home.
"""

import threading
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from typing import Protocol

import xxhash
from attrs import define, field, frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PeerUnavailableError, RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_wire.gen.celeryfork.ttypes import (
    PermitBatch,
    PermitGrant,
    PermitRequest,
)
from celeryfork_wire.peers import PeerPool

from celeryfork_admission.buckets import TokenBucket
from celeryfork_admission.permit_home import Grant, GrantRequest, Limit, PermitHome

SHARDS = 16
HOME_TIMEOUT_S = 0.25
HOME_RETRY_DELAY_S = 1.0
REPORT_INTERVAL_S = 1.5
MAX_WAITING_PER_ORGANISATION = 1000  # Requests that wait for the home.
MAX_BATCH_SIZE = 500  # Organisations in one request to the home.
DEFAULT_RETRY_AFTER_S = 1.0
WORKER_POLL_INTERVAL_S = 1.0


@frozen
class Home:
    """The instance that is the home of a shard.

    Parameters
    ----------
    instance
        Name of the instance.
    peer_address
        Its ``ip:port`` for peers; None if it is this instance.
    """

    instance: str
    peer_address: str | None


class PeersPort(Protocol):
    """Addresses of the serving instances, and this instance's shares of limits."""

    def serving(self) -> Mapping[str, str]:
        """Return peer addresses of all serving instances, this one too, by name."""

    def domain_share(self) -> float:
        """Return the share of the known failure domains seen now, 0 to 1."""

    def instance_share(self) -> float:
        """Return the static share of each limit, 0 to 1.

        This instance may use it while the home is unreachable.
        """


@define(eq=False)
class _OrganisationState:
    """State of one organisation at an instance.

    Parameters
    ----------
    permits, permits_end_s
        Unused permits, and the monotonic time at which they expire.
    in_use, reported_in_use, reported_s
        Running requests, their number in the last report to the home, and its time.
    refused_until_s, refused_for_concurrency
        Monotonic time until which requests are refused without asking the home, and
        True if the concurrency limit is the reason.
    waiting
        Requests that wait for the home's response.
    static_bucket
        Bucket for the static share; set once the home could not be reached.
    """

    permits: int = 0
    permits_end_s: float = 0.0
    in_use: int = 0
    reported_in_use: int = 0
    reported_s: float = 0.0
    refused_until_s: float = 0.0
    refused_for_concurrency: bool = False
    waiting: list["Future[None]"] = field(factory=list)
    static_bucket: TokenBucket | None = None


@define(eq=False)
class _Shard:
    """Organisations with a common home, and the thread that requests their permits."""

    number: int
    wake_event: threading.Event = field(factory=threading.Event)
    states_by_organisation: dict[str, _OrganisationState] = field(factory=dict)
    home_unreachable_until_s: float = 0.0
    thread: threading.Thread | None = None


class PermitManager:
    """Acquires permits for this instance's requests; grants those of its own shards.

    These are the shards whose home is this instance.

    Parameters
    ----------
    instance, incarnation
        Name and incarnation of this instance.
    limit_of
        Returns an organisation's limit in force, None if it is unknown.
    peers
        Addresses of all serving instances, this one too, and this instance's shares of
        the limits.
    pool
        Connections to the other instances.
    lease_s
        Returns the time within which granted permits have to be used, in seconds.
    clock, counters
        Time source and metrics.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        limit_of: Callable[[str], Limit | None],
        peers: PeersPort,
        pool: PeerPool,
        lease_s: Callable[[], float],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._limit_of = limit_of
        self._peers = peers
        self._pool = pool
        self._clock = clock
        self._counters = counters
        self._home = PermitHome(limit_of, peers.domain_share, lease_s, clock, counters)
        self._lock = threading.Lock()
        self._shards = tuple(_Shard(number) for number in range(SHARDS))
        self._stopped = False

    def stop(self) -> None:
        """End the background threads."""
        self._stopped = True
        for shard in self._shards:
            shard.wake_event.set()

    def acquire(self, organisation: str) -> "Future[None]":
        """Acquire one permit.

        Returns
        -------
        Future
            Done when the permit is granted. Holds RequestRefusedError (``not_run``) if
            the organisation is over its rate or concurrency limit.
        """
        future: Future[None] = Future()
        shard = self._shard_of(organisation)
        if self._home_of(shard).peer_address is None:
            self._acquire_at_home(shard, organisation, future)
            return future
        now_s = self._clock.monotonic()
        with self._lock:
            state = shard.states_by_organisation.setdefault(
                organisation, _OrganisationState()
            )
            verdict = self._try_acquire_locally(state, now_s)
            if verdict is None:
                state.waiting.append(future)
                self._start_worker(shard)
        match verdict:
            case None:
                shard.wake_event.set()
            case RequestRefusedError():
                future.set_exception(verdict)
            case _:
                future.set_result(None)
        return future

    def release(self, organisation: str) -> None:
        """Release the permit of a request that has ended."""
        shard = self._shard_of(organisation)
        with self._lock:
            state = shard.states_by_organisation.get(organisation)
            if state is not None and state.in_use > 0:
                state.in_use -= 1

    def handle_lease_request(self, batch: PermitBatch) -> list[PermitGrant]:
        """Answer a peer's permit requests as the home of their organisations."""
        requests = [
            GrantRequest(r.organisation, r.wanted, r.in_use) for r in batch.requests
        ]
        grants = self._home.grant(batch.instance, requests)
        return [
            PermitGrant(
                granted=grant.granted,
                lease_ms=round(grant.lease_s * 1000),
                retry_after_ms=round(grant.retry_after_s * 1000),
                over_concurrency=grant.over_concurrency,
            )
            for grant in grants
        ]

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        now_s = self._clock.monotonic()
        with self._lock:
            organisations = {
                name: {"permits": entry.permits, "in_use": entry.in_use}
                for shard in self._shards
                for name, entry in shard.states_by_organisation.items()
            }
            unreachable_shards = [
                shard.number
                for shard in self._shards
                if shard.home_unreachable_until_s > now_s
            ]
        return {
            "by_organisation": organisations,
            "home_of": self._home.dump(),
            "shards_without_home": unreachable_shards,
        }

    def _acquire_at_home(
        self, shard: _Shard, organisation: str, future: "Future[None]"
    ) -> None:
        with self._lock:
            state = shard.states_by_organisation.setdefault(
                organisation, _OrganisationState()
            )
            in_use = state.in_use
        grant = self._home.grant(
            self._instance, [GrantRequest(organisation, 1, in_use)]
        )[0]
        if not grant.granted:
            future.set_exception(_limit_refusal(organisation, grant))
            return
        with self._lock:
            state.in_use += 1
        future.set_result(None)

    def _try_acquire_locally(
        self, state: _OrganisationState, now_s: float
    ) -> RequestRefusedError | bool | None:
        """Return True for a permit, a refusal, or None if the home has to decide."""
        if state.permits and state.permits_end_s > now_s:
            state.permits -= 1
            state.in_use += 1
            return True
        state.permits = 0
        if state.refused_until_s > now_s:
            wait_s = state.refused_until_s - now_s
            return _limit_refusal(
                "", Grant(0, 0.0, wait_s, state.refused_for_concurrency)
            )
        if len(state.waiting) >= MAX_WAITING_PER_ORGANISATION:
            return _limit_refusal("", Grant(0, 0.0, DEFAULT_RETRY_AFTER_S, False))
        return None

    def _start_worker(self, shard: _Shard) -> None:
        if shard.thread is None and not self._stopped:
            shard.thread = threading.Thread(
                target=self._run_shard_worker,
                args=(shard,),
                name=f"permits-{shard.number}",
                daemon=True,
            )
            shard.thread.start()

    def _run_shard_worker(self, shard: _Shard) -> None:
        """Request permits for waiting requests, and report running ones, in batches."""
        while not self._stopped:
            shard.wake_event.wait(timeout=WORKER_POLL_INTERVAL_S)
            shard.wake_event.clear()
            requests = self._due_requests(shard)
            if requests:
                self._request_grants(shard, requests)

    def _due_requests(self, shard: _Shard) -> list[GrantRequest]:
        """Return requests for permits, and due reports of running requests."""
        now_s = self._clock.monotonic()
        requests: list[GrantRequest] = []
        with self._lock:
            self._drop_idle(shard, now_s)
            for name, state in shard.states_by_organisation.items():
                due = now_s - state.reported_s > REPORT_INTERVAL_S
                reportable = state.in_use or state.reported_in_use
                if state.waiting or (due and reportable):
                    requests.append(
                        GrantRequest(name, len(state.waiting), state.in_use)
                    )
                if len(requests) == MAX_BATCH_SIZE:
                    shard.wake_event.set()
                    break
        return requests

    def _drop_idle(self, shard: _Shard, now_s: float) -> None:
        idle_organisations = [
            name
            for name, state in shard.states_by_organisation.items()
            if not state.waiting
            and not state.in_use
            and not state.reported_in_use
            and state.permits_end_s < now_s
            and state.refused_until_s < now_s
            and state.static_bucket is None
        ]
        for name in idle_organisations:
            del shard.states_by_organisation[name]

    def _request_grants(self, shard: _Shard, requests: list[GrantRequest]) -> None:
        grants = self._grants_from_home(shard, requests)
        now_s = self._clock.monotonic()
        for position, request in enumerate(requests):
            if grants is None:
                self._grant_static(shard, request, now_s)
            else:
                self._use_grant(shard, request, grants[position], now_s)

    def _grants_from_home(
        self, shard: _Shard, requests: list[GrantRequest]
    ) -> list[Grant] | None:
        home = self._home_of(shard)
        if home.peer_address is None:
            return self._home.grant(self._instance, requests)
        now_s = self._clock.monotonic()
        if shard.home_unreachable_until_s > now_s:
            return None
        batch = PermitBatch(
            instance=self._instance,
            incarnation=self._incarnation,
            requests=[
                PermitRequest(
                    organisation=request.organisation,
                    wanted=request.wanted,
                    in_use=request.in_use,
                )
                for request in requests
            ],
        )
        try:
            replies = self._pool.call(
                home.peer_address,
                lambda peer: peer.lease_permits(batch),
                HOME_TIMEOUT_S,
                fresh=False,
            )
        except PeerUnavailableError:
            self._counters.add("permits.home_unreachable")
            shard.home_unreachable_until_s = now_s + HOME_RETRY_DELAY_S
            return None
        self._counters.add("permits.batches")
        return [
            Grant(
                reply.granted,
                reply.lease_ms / 1000,
                reply.retry_after_ms / 1000,
                reply.over_concurrency,
            )
            for reply in replies
        ]

    def _use_grant(
        self, shard: _Shard, request: GrantRequest, grant: Grant, now_s: float
    ) -> None:
        with self._lock:
            state = shard.states_by_organisation[request.organisation]
            state.reported_in_use = request.in_use
            state.reported_s = now_s
            served_futures = state.waiting[: grant.granted]
            unused_permits = grant.granted - len(served_futures)
            refused_futures = state.waiting[len(served_futures) : request.wanted]
            state.waiting = state.waiting[max(len(served_futures), request.wanted) :]
            state.in_use += len(served_futures)
            if unused_permits > 0:
                state.permits += unused_permits
                state.permits_end_s = now_s + grant.lease_s
            if refused_futures:
                state.refused_until_s = now_s + grant.retry_after_s
                state.refused_for_concurrency = grant.over_concurrency
        for future in served_futures:
            future.set_result(None)
        for future in refused_futures:
            future.set_exception(_limit_refusal(request.organisation, grant))

    def _grant_static(self, shard: _Shard, request: GrantRequest, now_s: float) -> None:
        """Grant from this instance's static share while the home is unreachable."""
        limit = self._limit_of(request.organisation)
        share = self._peers.instance_share()
        if limit is None:
            self._use_grant(shard, request, Grant(0, 0.0, 1.0, False), now_s)
            return
        rate = limit.requests_per_second * share
        capacity = max(1.0, limit.burst * share)
        with self._lock:
            state = shard.states_by_organisation[request.organisation]
            if state.static_bucket is None:
                state.static_bucket = TokenBucket(1.0, now_s)
            state.static_bucket.refill(now_s, rate, capacity)
            free = max(1, int(limit.concurrency * share)) - state.in_use
            granted = state.static_bucket.take(min(request.wanted, max(0, free)))
            wait_s = state.static_bucket.seconds_until_one(rate)
        self._counters.add("permits.static", granted)
        self._use_grant(shard, request, Grant(granted, 0.0, wait_s, free <= 0), now_s)

    def _shard_of(self, organisation: str) -> _Shard:
        return self._shards[xxhash.xxh3_64_intdigest(organisation.encode()) % SHARDS]

    def _home_of(self, shard: _Shard) -> Home:
        addresses_by_instance = self._peers.serving()
        name = max(
            addresses_by_instance,
            key=lambda instance: xxhash.xxh3_64_intdigest(
                f"{shard.number}/{instance}".encode()
            ),
            default=self._instance,
        )
        if name == self._instance:
            return Home(name, None)
        return Home(name, addresses_by_instance[name])


def _limit_refusal(organisation: str, grant: Grant) -> RequestRefusedError:
    limit = "concurrency" if grant.over_concurrency else "rate"
    who = organisation or "The organisation"
    return RequestRefusedError(
        f"{who} is over its {limit} limit.",
        "come back after Retry-After, or ask the operator for a higher limit",
        outcome=Outcome.NOT_RUN,
        status=429,
        code=f"over_{limit}",
        retry_after_s=max(grant.retry_after_s, 0.1),
    )


def make_permit_manager(
    instance: str,
    incarnation: int,
    limit_of: Callable[[str], Limit | None],
    peers: PeersPort,
    pool: PeerPool,
    lease_s: Callable[[], float],
    clock: Clock,
    counters: Counters,
) -> PermitManager:
    """Return a manager without permits; threads start with the first requests."""
    return PermitManager(
        instance, incarnation, limit_of, peers, pool, lease_s, clock, counters
    )
