"""Selects the peer for the next gossip exchange.

Most exchanges go to live peers in a shuffled order, with a preference for the own
failure domain. A peer that did not answer is retried first, so that dead peers are
detected soon. Some exchanges go to dead peers, which reconnects the sides of a healed
network partition, or to seed addresses at which no peer is known yet. Urgent exchanges
go to live peers of all domains with equal probability.
"""

import threading
from collections.abc import Iterable, Mapping
from random import Random

from attrs import define, frozen
from celeryfork_base.clock import Clock

from celeryfork_membership.peers import PeerTable, PeerView

MAX_SEEDS = 2048
MIN_SEEDS = 32
SEED_FAILURES_TO_REMOVE = 8
SEED_FIRST_BACKOFF_S = 1.0
SEED_MAX_BACKOFF_S = 60.0
MIN_RECONNECT_SHARE = 0.1
MAX_RECONNECT_SHARE = 0.5
FAILURES_TO_SUSPECT = 2


@frozen
class PeerEndpoint:
    """Address for an exchange, with the instance there if it is known."""

    address: str
    instance: str | None


@define
class _Seed:
    """Retry state of an address at which a peer may be found."""

    failures: int = 0
    next_try_s: float = float("-inf")


class PeerSelector:
    """Selects peers for exchanges; thread-safe.

    Parameters
    ----------
    table
        The known peers.
    domain
        The failure domain of this instance.
    own_domain_share
        Share of the exchanges with live peers that go to the own domain.
    own_address
        The peer address of this instance, which is never selected.
    clock, random
        Sources of time and of random numbers.
    """

    def __init__(
        self,
        table: PeerTable,
        domain: str,
        own_domain_share: float,
        own_address: str,
        clock: Clock,
        random: Random,
    ) -> None:
        self._table = table
        self._domain = domain
        self._own_domain_share = own_domain_share
        self._own_address = own_address
        self._clock = clock
        self._random = random
        self._lock = threading.Lock()
        self._seeds_by_address: dict[str, _Seed] = {}
        self._failures_by_instance: dict[str, int] = {}
        self._same_domain_names: list[str] = []
        self._other_domain_names: list[str] = []

    @property
    def seed_count(self) -> int:
        """Number of seed addresses kept."""
        return len(self._seeds_by_address)

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses at which peers may be found."""
        with self._lock:
            for address in addresses:
                if address == self._own_address:
                    continue
                if len(self._seeds_by_address) < MAX_SEEDS:
                    self._seeds_by_address.setdefault(address, _Seed())

    def record_contact(self, instance: str, address: str) -> None:
        """Record that a peer sent a heartbeat; clears its failures."""
        with self._lock:
            self._failures_by_instance.pop(instance, None)
            if address in self._seeds_by_address:
                self._seeds_by_address[address] = _Seed()

    def record_failure(self, endpoint: PeerEndpoint) -> bool:
        """Record that an exchange failed; return True if the peer becomes suspect."""
        with self._lock:
            if endpoint.instance is None:
                self._record_seed_failure(endpoint.address)
                return False
            failures = self._failures_by_instance.pop(endpoint.instance, 0) + 1
            if failures >= FAILURES_TO_SUSPECT:
                return True
            self._failures_by_instance[endpoint.instance] = failures
            return False

    def choose(self, *, urgent: bool = False) -> PeerEndpoint | None:
        """Return the endpoint for the next exchange, None if none is known.

        Parameters
        ----------
        urgent
            True if there are updates that should reach all peers soon.
        """
        if urgent:
            live = self._table.live()
            same_domain_count = sum(p.domain == self._domain for p in live.values())
            return self._choose_live(live, same_domain_count / max(len(live), 1))
        retry_endpoint = self._endpoint_to_retry()
        if retry_endpoint is not None:
            return retry_endpoint
        live = self._table.live()
        seeds = self._due_seeds()
        reconnect_share = len(seeds) / (len(seeds) + len(live)) if seeds else 0.0
        reconnect_share = min(
            max(reconnect_share, MIN_RECONNECT_SHARE), MAX_RECONNECT_SHARE
        )
        if not live or self._random.random() < reconnect_share:
            reconnect_endpoints = [
                *seeds,
                *(_endpoint_of(peer) for peer in self._table.unreachable()),
            ]
            if reconnect_endpoints:
                return self._random.choice(reconnect_endpoints)
        return self._choose_live(live, self._own_domain_share)

    def _endpoint_to_retry(self) -> PeerEndpoint | None:
        """Return a peer that failed to answer and is not suspected yet, if any."""
        with self._lock:
            for name in list(self._failures_by_instance):
                peer = self._table.get(name)
                if peer is not None and peer.suspected_s is None:
                    return _endpoint_of(peer)
                del self._failures_by_instance[name]
        return None

    def _due_seeds(self) -> list[PeerEndpoint]:
        """Return the seeds that are due for a try and at which no peer is known."""
        now_s = self._clock.monotonic()
        with self._lock:
            due = [
                a for a, s in self._seeds_by_address.items() if s.next_try_s <= now_s
            ]
        known = self._table.addresses() if due else frozenset()
        return [PeerEndpoint(address, None) for address in due if address not in known]

    def _choose_live(
        self, live: Mapping[str, PeerView], same_domain_share: float
    ) -> PeerEndpoint | None:
        """Return the next live peer in a shuffled order, None if no peer is live.

        If there are live peers inside and outside the own domain, it belongs to the own
        domain with a probability of ``same_domain_share``. In each of the two groups,
        every peer is selected once before any is selected again, which bounds the time
        until an update reaches the last peer (round-robin probing, as in SWIM).
        """
        with self._lock:
            same_domain_peer = self._next_peer(
                self._same_domain_names, live, same_domain=True
            )
            other_domain_peer = self._next_peer(
                self._other_domain_names, live, same_domain=False
            )
            same_domain_preferred = self._random.random() < same_domain_share
            chosen = (
                same_domain_peer
                if (same_domain_preferred and same_domain_peer) or not other_domain_peer
                else other_domain_peer
            )
            if chosen is None:
                return None
            names = (
                self._same_domain_names
                if chosen is same_domain_peer
                else self._other_domain_names
            )
            names.pop()
            return _endpoint_of(chosen)

    def _next_peer(
        self, names: list[str], live: Mapping[str, PeerView], *, same_domain: bool
    ) -> PeerView | None:
        """Return the peer at the end of ``names``, None if there is none.

        Names that are no longer live are dropped; an empty list is refilled and
        shuffled.
        """
        for _ in range(2):
            while names:
                peer = live.get(names[-1])
                if peer is not None and (peer.domain == self._domain) is same_domain:
                    return peer
                names.pop()
            names += [
                n for n, p in live.items() if (p.domain == self._domain) is same_domain
            ]
            self._random.shuffle(names)
        return None

    def _record_seed_failure(self, address: str) -> None:
        """Delay the next try of a seed, or remove it after too many failures.

        The next fetch of the instance list adds it again if it is still listed. At
        least `MIN_SEEDS` seeds are kept in spite of failures.
        """
        seed = self._seeds_by_address.get(address)
        if seed is None:
            return
        backoff_s = min(SEED_FIRST_BACKOFF_S * 2**seed.failures, SEED_MAX_BACKOFF_S)
        seed.failures += 1
        seed.next_try_s = self._clock.monotonic() + backoff_s
        removable = len(self._seeds_by_address) > MIN_SEEDS
        if removable and seed.failures >= SEED_FAILURES_TO_REMOVE:
            del self._seeds_by_address[address]


def _endpoint_of(peer: PeerView) -> PeerEndpoint:
    return PeerEndpoint(peer.peer_address, peer.instance)
