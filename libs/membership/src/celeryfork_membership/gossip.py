"""Heartbeats with a few random peers a second, which carry news.

The cost of a daemon does not depend on how many there are: it begins about one
exchange a second, most of them inside its failure domain, and each heartbeat has a
bounded size. Fresh news of targets is passed on at once to a few more peers, within a
budget, so that it is everywhere after a few round trips. A newcomer gets everything in
the first answer. A peer that does not answer
twice is suspected; if it does not contradict within `SUSPECT_S` it counts as dead.
After SWIM (Das, Gupta, Motivala, DSN 2002), with push-pull exchanges over TCP.
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
    body_of,
    peer_of,
)
from celeryfork_membership.token_bucket import TokenBucket
from celeryfork_membership.update_store import UpdateStore

__all__ = ["Gossip", "GossipOptions", "PeerIdentity", "PeerView", "make_gossip"]

NEWS_PEER = "peer"
MOST_NEWS_PER_HEARTBEAT = 48
MOST_NEWS_TO_NEWCOMER = 2048
MOST_WELCOME_NEWS = 4096.0
WELCOME_NEWS_PER_S = 2.0
MOST_EAGER_SAVED = 6.0
STOP_WAIT_S = 3.0

_log = Logger("membership")


class Gossip:
    """Exchanges of an instance with its peers.

    Use `make_gossip`. All methods may be called from any thread.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        updates: UpdateStore,
        pool: PeerCaller,
        clock: Clock,
        counters: Counters,
        pace: GossipOptions,
        random: Random,
    ) -> None:
        self._identity = identity
        self._updates = updates
        self._pool = pool
        self._clock = clock
        self._counters = counters
        self._pace = pace
        self._random = random
        self._table = PeerTable(identity.instance, clock)
        self._wake = threading.Condition()
        self._stopped = False
        self._eager = 0
        self._eager_budget = TokenBucket(clock, pace.eager_per_s, MOST_EAGER_SAVED)
        self._welcome_budget = TokenBucket(clock, WELCOME_NEWS_PER_S, MOST_WELCOME_NEWS)
        self._partners = PeerSelector(
            self._table,
            identity.domain,
            pace.own_domain_share,
            identity.peer_address,
            clock,
            random,
        )
        self._own_news = (NEWS_PEER, identity.instance)
        self._sequence = 0
        self._announced_s = float("-inf")
        self._announced_offset = -1
        self._state = int(InstanceState.STARTING)
        self._config_offset = -1
        self._thread = threading.Thread(target=self._run, name="gossip", daemon=True)
        updates.origin = identity.instance
        updates.background_kinds.add(NEWS_PEER)
        updates.subscribe(NEWS_PEER, self._on_peer_news)
        updates.on_fresh(self._on_fresh)

    @property
    def identity(self) -> PeerIdentity:
        """What this instance tells of itself."""
        return self._identity

    @property
    def peers_by_instance(self) -> Mapping[str, PeerView]:
        """The peers that are believed to run, without this instance."""
        return self._table.live()

    @property
    def eager_waiting(self) -> int:
        """Exchanges that should begin at once, without waiting for the interval."""
        return self._eager

    def peers_in_domain(self) -> list[PeerView]:
        """Return the peers of this instance's failure domain."""
        domain = self._identity.domain
        return [p for p in self._table.live().values() if p.domain == domain]

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Note addresses where peers may be found."""
        self._partners.add_seeds(addresses)

    def set_state(self, state: int) -> None:
        """Set this instance's `InstanceState` and announce it at once."""
        self._state = int(state)
        self._announce()
        self._request_eager()

    def set_config_offset(self, offset: int) -> None:
        """Note up to where this instance has applied the configuration."""
        self._config_offset = offset

    def handle_exchange(self, heartbeat: Heartbeat) -> Heartbeat:
        """Answer a peer's heartbeat (the serving side)."""
        self._counters.add("gossip.served")
        newcomer = self._is_newcomer(heartbeat)
        self._hear(heartbeat)
        reply = self._heartbeat()
        welcome = self._welcome_news() if newcomer else None
        if welcome is not None:
            reply.news = welcome
        return reply

    def start(self) -> None:
        """Begin to exchange heartbeats in the background."""
        self._announce()
        self._thread.start()

    def stop(self) -> None:
        """Stop beginning exchanges."""
        with self._wake:
            self._stopped = True
            self._wake.notify_all()
        if self._thread.is_alive():
            self._thread.join(timeout=STOP_WAIT_S)

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
            "lost": [peer.instance for peer in self._table.lost()][:100],
            "seeds": self._partners.seed_count,
        }

    def exchange_once(self) -> None:
        """Do one exchange with a peer of the gossip's own choice."""
        with self._wake:
            urgent = self._eager > 0
            self._eager = max(self._eager - 1, 0)
        self._announce_if_due()
        partner = self._partners.choose(urgent=urgent)
        if partner is not None:
            self._exchange(partner)

    def _run(self) -> None:
        while self._wait():
            try:
                self.exchange_once()
            except Exception:
                self._counters.add("gossip.faults")
                _log.exception("gossip goes on after a fault")

    def _wait(self) -> bool:
        """Wait for the next exchange; return False when stopped."""
        jitter = self._random.uniform(0.7, 1.3)
        with self._wake:
            self._wake.wait_for(self._must_wake, self._pace.interval_s * jitter)
            return not self._stopped

    def _must_wake(self) -> bool:
        return self._stopped or self._eager > 0

    def _on_fresh(self, kind: str) -> None:
        if kind != NEWS_PEER:
            self._request_eager()

    def _request_eager(self) -> None:
        """Ask for exchanges at once, as far as their budget goes."""
        with self._wake:
            while self._eager < self._pace.eager_exchanges:
                if not self._eager_budget.take(1):
                    break
                self._eager += 1
            self._wake.notify_all()

    def _is_newcomer(self, heartbeat: Heartbeat) -> bool:
        known = self._table.get(heartbeat.instance)
        return known is None or known.incarnation < heartbeat.incarnation

    def _welcome_news(self) -> list[News] | None:
        """Return everything for a newcomer, None where that goes beyond the budget."""
        news = self._updates.everything(MOST_NEWS_TO_NEWCOMER)
        with self._wake:
            if not self._welcome_budget.take(len(news)):
                return None
        self._counters.add("gossip.welcomed")
        return news

    def _exchange(self, partner: PeerEndpoint) -> None:
        mine = self._heartbeat()
        self._counters.add("gossip.begun")
        try:
            theirs = self._pool.call(
                partner.address,
                lambda peer: _call_exchange(peer, mine),
                self._pace.timeout_s,
                fresh=False,
            )
        except PeerUnavailableError:
            self._counters.add("gossip.failed")
            if self._partners.failed(partner) and partner.instance is not None:
                self._suspect(partner.instance)
            return
        self._hear(theirs)

    def _suspect(self, instance: str) -> None:
        peer = self._table.suspect(instance)
        if peer is None:
            return
        self._counters.add("gossip.suspected")
        _log.warning("peer {} does not answer and is suspected", instance)
        self._publish(peer)
        self._request_eager()

    def _hear(self, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat: a sign of life, and news."""
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
            self._hear_peer(peer)
        self._updates.receive(heartbeat.news[:MOST_NEWS_TO_NEWCOMER])

    def _hear_peer(self, peer: PeerView) -> None:
        self._partners.answered(peer.instance, peer.peer_address)
        known = self._table.get(peer.instance)
        if known is not None and known.version > peer.version:
            if known.incarnation > peer.incarnation:
                self._counters.add("gossip.old_incarnation")
                return
            # It speaks, so it lives, whatever a newer suspicion says.
            peer = evolve(peer, sequence=known.sequence)
        self._table.put(peer)
        if known is None or known.version < peer.version:
            self._publish(peer)

    def _publish(self, peer: PeerView) -> None:
        self._updates.publish(
            NEWS_PEER, peer.instance, body_of(peer), self._peer_ttl_s(), peer.version
        )

    def _on_peer_news(self, subject: str, body: dict[str, Any], _: str) -> None:
        peer = peer_of(subject, body, self._clock.monotonic())
        if peer is None:
            self._counters.add("news.malformed")
            return
        if subject == self._identity.instance:
            self._contradict(peer)
            return
        known = self._table.get(subject)
        self._table.put(peer)
        if known is None or _weighty_change(known, peer):
            self._request_eager()

    def _contradict(self, rumour: PeerView) -> None:
        """Announce this instance anew when peers suspect it."""
        same = rumour.incarnation == self._identity.incarnation
        if same and rumour.sequence >= self._sequence:
            self._announce(after=rumour.sequence)
            if rumour.suspected_s is not None:
                self._counters.add("gossip.contradicted")
                self._request_eager()

    def _announce_if_due(self) -> None:
        peers = len(self._table.live())
        self._updates.sends_per_item = ceil(1.5 * log2(peers + 2))
        per_peer_s = self._pace.announce_s_per_peer
        wait_s = max(self._pace.refresh_s, 4 * peers * per_peer_s)
        if self._config_offset != self._announced_offset:
            wait_s = max(self._pace.interval_s, peers * per_peer_s)
        if self._clock.monotonic() - self._announced_s >= wait_s:
            self._announce()

    def _announce(self, after: int = 0) -> None:
        """Publish what this instance is now, newer than sequence ``after``."""
        with self._wake:
            self._sequence = max(self._sequence, after) + 1
        self._announced_s = self._clock.monotonic()
        self._announced_offset = self._config_offset
        self._publish(self._own_view())

    def _own_view(self) -> PeerView:
        mine = self._identity
        return PeerView(
            instance=mine.instance,
            incarnation=mine.incarnation,
            domain=mine.domain,
            peer_address=mine.peer_address,
            http_address=mine.http_address,
            config_offset=self._config_offset,
            state=self._state,
            last_seen_s=self._clock.monotonic(),
            sequence=self._sequence,
        )

    def _peer_ttl_s(self) -> float:
        peers = len(self._table.live())
        refresh_s = max(
            self._pace.refresh_s, 4 * peers * self._pace.announce_s_per_peer
        )
        return 3 * refresh_s

    def _heartbeat(self) -> Heartbeat:
        mine = self._identity
        return Heartbeat(
            instance=mine.instance,
            incarnation=mine.incarnation,
            domain=mine.domain,
            peer_address=mine.peer_address,
            http_address=mine.http_address,
            config_offset=self._config_offset,
            state=self._state,
            news=self._updates.to_send(MOST_NEWS_PER_HEARTBEAT, self._own_news),
            sequence=self._sequence,
        )


def make_gossip(
    identity: PeerIdentity,
    updates: UpdateStore,
    pool: PeerCaller,
    clock: Clock,
    counters: Counters,
    pace: GossipOptions | None = None,
    seed: int | None = None,
) -> Gossip:
    """Return a gossip that has not started.

    Parameters
    ----------
    identity
        What the instance tells of itself.
    updates
        The board whose news the heartbeats carry.
    pool
        The client connections to peers.
    clock, counters
        Shared parts of the instance.
    pace
        How often to speak; the default keeps to the budget of docs/CAPACITY.md.
    seed
        Seed of the choice of peers.
    """
    chosen = pace if pace is not None else GossipOptions()
    return Gossip(identity, updates, pool, clock, counters, chosen, Random(seed))


def _call_exchange(peer: Peer.Client, mine: Heartbeat) -> Heartbeat:
    reply: Heartbeat = peer.exchange(mine)
    return reply


def _weighty_change(known: PeerView, peer: PeerView) -> bool:
    """Return whether a change is worth passing on at once."""
    suspicion = (known.suspected_s is None) != (peer.suspected_s is None)
    return suspicion or known.state != peer.state
