"""Gossip: exchanges of heartbeats, which carry updates, with random peers.

The cost per instance does not depend on the number of instances: each starts about one
exchange a second, most of them within its failure domain, and the size of a heartbeat
is bounded. New updates about targets are forwarded to a few more peers immediately,
within a rate limit, and so reach all instances after a few round trips. A new peer gets
all updates in the first reply. A peer that fails to answer twice is suspected, and
considered dead unless it refutes this within `SUSPICION_TIMEOUT_S`. Based on SWIM (Das,
Gupta, Motivala, DSN 2002), with push-pull exchanges over TCP.
"""

import threading
from collections.abc import Iterable, Mapping
from math import ceil, log2
from random import Random
from typing import Any

from attrs import evolve
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PeerUnavailableError
from celeryfork_wire.gen.celeryfork import Peer
from celeryfork_wire.gen.celeryfork.ttypes import Heartbeat, InstanceState, News
from logbook import Logger

from celeryfork_membership.gossip_options import GossipOptions, PeerCaller
from celeryfork_membership.peer_selector import PeerEndpoint, PeerSelector
from celeryfork_membership.peers import (
    PeerIdentity,
    PeerTable,
    PeerView,
    decode_peer,
    encode_peer,
)
from celeryfork_membership.token_bucket import TokenBucket
from celeryfork_membership.update_store import UpdateStore

__all__ = ["Gossip", "GossipOptions", "PeerIdentity", "PeerView", "make_gossip"]

PEER_UPDATE_KIND = "peer"
MAX_UPDATES_PER_HEARTBEAT = 48
MAX_UPDATES_TO_NEW_PEER = 2048
INITIAL_SYNC_BURST = 4096.0
INITIAL_SYNC_UPDATES_PER_S = 2.0
IMMEDIATE_EXCHANGE_BURST = 6.0
STOP_TIMEOUT_S = 3.0

_log = Logger("membership")


class Gossip:
    """Gossip protocol of one instance with its peers.

    Use `make_gossip`. All methods are thread-safe.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        updates: UpdateStore,
        pool: PeerCaller,
        clock: Clock,
        counters: Counters,
        options: GossipOptions,
        random: Random,
    ) -> None:
        self._identity = identity
        self._updates = updates
        self._pool = pool
        self._clock = clock
        self._counters = counters
        self._options = options
        self._random = random
        self._table = PeerTable(identity.instance, clock)
        self._wake = threading.Condition()
        self._stopped = False
        self._pending_immediate = 0
        self._immediate_limiter = TokenBucket(
            clock, options.immediate_per_s, IMMEDIATE_EXCHANGE_BURST
        )
        self._initial_sync_limiter = TokenBucket(
            clock, INITIAL_SYNC_UPDATES_PER_S, INITIAL_SYNC_BURST
        )
        self._selector = PeerSelector(
            self._table,
            identity.domain,
            options.own_domain_share,
            identity.peer_address,
            clock,
            random,
        )
        self._own_key = (PEER_UPDATE_KIND, identity.instance)
        self._sequence = 0
        self._last_announced_s = float("-inf")
        self._announced_offset = -1
        self._state = int(InstanceState.STARTING)
        self._config_offset = -1
        self._thread = threading.Thread(target=self._run, name="gossip", daemon=True)
        updates.origin = identity.instance
        updates.background_kinds.add(PEER_UPDATE_KIND)
        updates.subscribe(PEER_UPDATE_KIND, self._handle_peer_update)
        updates.on_new_update(self._handle_new_update)

    @property
    def identity(self) -> PeerIdentity:
        """Identity that this instance announces."""
        return self._identity

    @property
    def peers_by_instance(self) -> Mapping[str, PeerView]:
        """The peers not considered dead; this instance is not among them."""
        return self._table.live()

    @property
    def pending_immediate_exchanges(self) -> int:
        """Number of exchanges to start without waiting for the interval."""
        return self._pending_immediate

    def peers_in_domain(self) -> list[PeerView]:
        """Return the live peers in the failure domain of this instance."""
        domain = self._identity.domain
        return [p for p in self._table.live().values() if p.domain == domain]

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses at which peers may be found."""
        self._selector.add_seeds(addresses)

    def set_state(self, state: int) -> None:
        """Set the `InstanceState` of this instance and announce it immediately."""
        self._state = int(state)
        self._announce()
        self._request_immediate()

    def set_config_offset(self, offset: int) -> None:
        """Set the offset up to which this instance has applied the configuration."""
        self._config_offset = offset

    def handle_exchange(self, heartbeat: Heartbeat) -> Heartbeat:
        """Process the heartbeat of a peer and return the reply (server side)."""
        self._counters.add("gossip.served")
        new_peer = self._is_new_peer(heartbeat)
        self._process_heartbeat(heartbeat)
        reply = self._heartbeat()
        initial_sync = self._initial_sync() if new_peer else None
        if initial_sync is not None:
            reply.news = initial_sync
        return reply

    def start(self) -> None:
        """Start the background thread that exchanges heartbeats."""
        self._announce()
        self._thread.start()

    def stop(self) -> None:
        """Stop the background thread."""
        with self._wake:
            self._stopped = True
            self._wake.notify_all()
        if self._thread.is_alive():
            self._thread.join(timeout=STOP_TIMEOUT_S)

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "identity": str(self._identity.instance),
            "incarnation": self._identity.incarnation,
            "state": self._state,
            "peers": {
                peer.instance: {
                    "domain": peer.domain,
                    "incarnation": peer.incarnation,
                    "config_offset": peer.config_offset,
                    "suspected": peer.suspected_s is not None,
                }
                for peer in list(self._table.live().values())[:100]
            },
            "lost": [peer.instance for peer in self._table.unreachable()][:100],
            "seeds": self._selector.seed_count,
        }

    def exchange_once(self) -> None:
        """Do one exchange with the next peer that the selector chooses."""
        with self._wake:
            urgent = self._pending_immediate > 0
            self._pending_immediate = max(self._pending_immediate - 1, 0)
        self._announce_if_due()
        endpoint = self._selector.choose(urgent=urgent)
        if endpoint is not None:
            self._exchange(endpoint)

    def _run(self) -> None:
        while self._wait():
            try:
                self.exchange_once()
            except Exception:
                self._counters.add("gossip.faults")
                _log.exception(
                    "gossip exchange failed unexpectedly; continuing with the next"
                )

    def _wait(self) -> bool:
        """Wait until the next exchange is due; return False if stopped."""
        jitter = self._random.uniform(0.7, 1.3)
        with self._wake:
            self._wake.wait_for(self._must_wake, self._options.interval_s * jitter)
            return not self._stopped

    def _must_wake(self) -> bool:
        return self._stopped or self._pending_immediate > 0

    def _handle_new_update(self, kind: str) -> None:
        if kind != PEER_UPDATE_KIND:
            self._request_immediate()

    def _request_immediate(self) -> None:
        """Schedule immediate exchanges, up to their rate limit."""
        with self._wake:
            while self._pending_immediate < self._options.immediate_exchanges:
                if not self._immediate_limiter.try_acquire(1):
                    break
                self._pending_immediate += 1
            self._wake.notify_all()

    def _is_new_peer(self, heartbeat: Heartbeat) -> bool:
        known = self._table.get(heartbeat.instance)
        return known is None or known.incarnation < heartbeat.incarnation

    def _initial_sync(self) -> list[News] | None:
        """Return the updates for a new peer, None if the rate limit is exceeded."""
        news = self._updates.all_updates(MAX_UPDATES_TO_NEW_PEER)
        with self._wake:
            if not self._initial_sync_limiter.try_acquire(len(news)):
                return None
        self._counters.add("gossip.welcomed")
        return news

    def _exchange(self, endpoint: PeerEndpoint) -> None:
        request = self._heartbeat()
        self._counters.add("gossip.begun")
        try:
            peer_heartbeat = self._pool.call(
                endpoint.address,
                lambda peer: _call_exchange(peer, request),
                self._options.timeout_s,
                fresh=False,
            )
        except PeerUnavailableError:
            self._counters.add("gossip.failed")
            if (
                self._selector.record_failure(endpoint)
                and endpoint.instance is not None
            ):
                self._suspect(endpoint.instance)
            return
        self._process_heartbeat(peer_heartbeat)

    def _suspect(self, instance: str) -> None:
        peer = self._table.suspect(instance)
        if peer is None:
            return
        self._counters.add("gossip.suspected")
        _log.warning("peer {} does not answer; marked as suspected", instance)
        self._publish(peer)
        self._request_immediate()

    def _process_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record that the sender is alive, and store the updates it sent."""
        now_s = self._clock.monotonic()
        peer = PeerView(
            instance=heartbeat.instance,
            incarnation=heartbeat.incarnation,
            domain=heartbeat.domain,
            peer_address=heartbeat.peer_address,
            http_address=heartbeat.http_address,
            config_offset=heartbeat.config_offset,
            state=heartbeat.state,
            last_seen_s=now_s,
            sequence=heartbeat.sequence,
        )
        if peer.instance != self._identity.instance:
            self._record_peer(peer)
        self._updates.receive(heartbeat.news[:MAX_UPDATES_TO_NEW_PEER])

    def _record_peer(self, peer: PeerView) -> None:
        self._selector.record_contact(peer.instance, peer.peer_address)
        known = self._table.get(peer.instance)
        if known is not None and known.version > peer.version:
            if known.incarnation > peer.incarnation:
                self._counters.add("gossip.old_incarnation")
                return
            # A heartbeat from the peer itself proves that it is alive and therefore
            # overrides a newer suspicion.
            peer = evolve(peer, sequence=known.sequence)
        self._table.put(peer)
        if known is None or known.version < peer.version:
            self._publish(peer)

    def _publish(self, peer: PeerView) -> None:
        self._updates.publish(
            PEER_UPDATE_KIND,
            peer.instance,
            encode_peer(peer),
            self._peer_ttl_s(),
            peer.version,
        )

    def _handle_peer_update(self, subject: str, body: dict[str, Any], _: str) -> None:
        peer = decode_peer(subject, body, self._clock.monotonic())
        if peer is None:
            self._counters.add("news.malformed")
            return
        if subject == self._identity.instance:
            self._refute(peer)
            return
        known = self._table.get(subject)
        self._table.put(peer)
        if known is None or _is_urgent_change(known, peer):
            self._request_immediate()

    def _refute(self, report: PeerView) -> None:
        """Override a report about this instance by announcing a higher sequence.

        Peers that suspect this instance send such reports. A report that is older than
        its last announcement, or about another incarnation, is ignored.
        """
        same_incarnation = report.incarnation == self._identity.incarnation
        if same_incarnation and report.sequence >= self._sequence:
            self._announce(after=report.sequence)
            if report.suspected_s is not None:
                self._counters.add("gossip.contradicted")
                self._request_immediate()

    def _announce_if_due(self) -> None:
        peers = len(self._table.live())
        self._updates.sends_per_update = ceil(1.5 * log2(peers + 2))
        per_peer_s = self._options.announce_s_per_peer
        wait_s = max(self._options.refresh_s, 4 * peers * per_peer_s)
        if self._config_offset != self._announced_offset:
            wait_s = max(self._options.interval_s, peers * per_peer_s)
        if self._clock.monotonic() - self._last_announced_s >= wait_s:
            self._announce()

    def _announce(self, after: int = 0) -> None:
        """Publish the state of this instance with a sequence above ``after``."""
        with self._wake:
            self._sequence = max(self._sequence, after) + 1
        self._last_announced_s = self._clock.monotonic()
        self._announced_offset = self._config_offset
        self._publish(self._own_view())

    def _own_view(self) -> PeerView:
        identity = self._identity
        return PeerView(
            instance=identity.instance,
            incarnation=identity.incarnation,
            domain=identity.domain,
            peer_address=identity.peer_address,
            http_address=identity.http_address,
            config_offset=self._config_offset,
            state=self._state,
            last_seen_s=self._clock.monotonic(),
            sequence=self._sequence,
        )

    def _peer_ttl_s(self) -> float:
        peers = len(self._table.live())
        refresh_s = max(
            self._options.refresh_s, 4 * peers * self._options.announce_s_per_peer
        )
        return 3 * refresh_s

    def _heartbeat(self) -> Heartbeat:
        identity = self._identity
        return Heartbeat(
            instance=identity.instance,
            incarnation=identity.incarnation,
            domain=identity.domain,
            peer_address=identity.peer_address,
            http_address=identity.http_address,
            config_offset=self._config_offset,
            state=self._state,
            news=self._updates.select_for_heartbeat(
                MAX_UPDATES_PER_HEARTBEAT, self._own_key
            ),
            sequence=self._sequence,
        )


def make_gossip(
    identity: PeerIdentity,
    updates: UpdateStore,
    pool: PeerCaller,
    clock: Clock,
    counters: Counters,
    options: GossipOptions | None = None,
    seed: int | None = None,
) -> Gossip:
    """Return a `Gossip` that has not been started.

    Parameters
    ----------
    identity
        Identity that the instance announces.
    updates
        Store of the updates that heartbeats carry.
    pool
        Connections to peers.
    clock, counters
        Clock and counters of the instance.
    options
        Intervals and limits; the defaults keep to the budget in docs/CAPACITY.md.
    seed
        Seed for the random selection of peers.
    """
    chosen = options if options is not None else GossipOptions()
    return Gossip(identity, updates, pool, clock, counters, chosen, Random(seed))


def _call_exchange(peer: Peer.Client, request: Heartbeat) -> Heartbeat:
    reply: Heartbeat = peer.exchange(request)
    return reply


def _is_urgent_change(known: PeerView, peer: PeerView) -> bool:
    """Return True if a change of a peer is to be forwarded immediately."""
    suspicion_changed = (known.suspected_s is None) != (peer.suspected_s is None)
    return suspicion_changed or known.state != peer.state
