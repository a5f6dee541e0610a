"""Known instances, and the selection of relays in each failure domain.

A few instances of each domain, the most powerful first, are relays: they read the store
and forward what the others need; the others (followers) talk only to them. Thus the
traffic of an instance and its load on the store don't grow with the fleet. Relays
aren't elected: each instance ranks those that it knows, and one that receives reports
as a relay acts as one. The first-ranked live relay of a domain is its lead relay.
"""

import time
from collections import deque
from collections.abc import Callable, Iterable

from attrs import define, field

from celeryfork_entry.ports import Peer

RELAYS_PER_DOMAIN = 3
"""Number of relays of a domain; two may die at once without a gap in what is forwarded
to the followers."""
RELAY_TIMEOUT_S = 1.0
"""Seconds without a message after which a relay is replaced: it sends to its domain
four times a second."""
REMOTE_RELAY_TIMEOUT_S = 3.2
"""Seconds without a message after which a relay of another domain is replaced: it sends
to this domain once a second."""
RELAY_RETRY_S = 5.0
"""Seconds after which a silent instance is tried as a relay again."""
RELAY_REQUEST_TTL_S = 1.5
"""Seconds for which an instance remains a relay after the last report that another
instance sent to it as to a relay."""
PEAK_COUNT_WINDOW_S = 60.0
"""Seconds for which instances that are no longer counted keep their share of common
budgets; a network partition of a domain is usually shorter."""
PEER_TTL_S = 10.0
"""Seconds for which an instance is kept and sent messages without a message from it.

An instance rejected by the store isn't registered there, but is kept while it sends.
"""


@define
class _Entry:
    """State of another instance.

    Parameters
    ----------
    since_s
        Time at which it was added, from the store or by its first message.
    received_s
        Time of its last message, None for never.
    tried_s
        Time at which it was first selected as a relay while silent.
    """

    peer: Peer
    since_s: float
    received_s: float | None = None
    tried_s: float | None = None


@define(eq=False)
class Roster:
    """Instances known to this one, with their ranking as relays.

    Parameters
    ----------
    own
        This instance.
    """

    own: Peer
    _clock: Callable[[], float] = time.monotonic
    _by_address: dict[str, _Entry] = field(factory=dict)
    _relay_requested_s: float | None = None
    _count_by_domain: dict[str, tuple[int, float]] = field(factory=dict)
    _counted: deque[tuple[float, int]] = field(factory=deque)

    def add_listed(self, peers: Iterable[Peer]) -> None:
        """Add the instances registered in the store."""
        for peer in peers:
            self._learn(peer)

    def record_message(self, peer: Peer) -> None:
        """Record that a message of an instance was received."""
        entry = self._learn(peer)
        if entry is not None:
            entry.received_s, entry.tried_s = self._clock(), None

    def _learn(self, peer: Peer) -> _Entry | None:
        if peer.address == self.own.address:
            return None
        entry = self._by_address.get(peer.address)
        if entry is None:
            entry = _Entry(peer, self._clock())
            self._by_address[peer.address] = entry
        entry.peer = peer
        return entry

    def record_relay_request(self) -> None:
        """Record that an instance of the domain reported to this one as a relay."""
        self._relay_requested_s = self._clock()

    @property
    def addressed_as_relay(self) -> bool:
        """Return True if others of the domain recently used this one as a relay."""
        requested_s = self._relay_requested_s
        return (
            requested_s is not None
            and self._clock() - requested_s < RELAY_REQUEST_TTL_S
        )

    @property
    def is_relay(self) -> bool:
        """Return True if this instance is a relay."""
        return (
            self.addressed_as_relay
            or self.own in self._ranked(self.own.domain)[:RELAYS_PER_DOMAIN]
        )

    def relays(self, domain: str) -> list[Peer]:
        """Return the relays of a domain by rank, without this instance.

        A silent relay is tried until its timeout, and then replaced.
        """
        now_s = self._clock()
        relays = self._ranked(domain)[:RELAYS_PER_DOMAIN]
        for peer in relays:
            entry = self._by_address.get(peer.address)
            if entry and entry.tried_s is None and not self._is_live(entry, now_s):
                entry.tried_s = now_s
        return [peer for peer in relays if peer != self.own]

    def live_relays(self, domain: str) -> list[Peer]:
        """Return the relays of a domain that have sent a message recently."""
        now_s = self._clock()
        return [
            peer
            for peer in self.relays(domain)
            if self._is_live(self._by_address[peer.address], now_s)
        ]

    def is_lead_relay(self) -> bool:
        """Return True if this relay ranks before all live relays of its domain."""
        others = self.live_relays(self.own.domain)
        return self.is_relay and all(_rank(self.own) < _rank(each) for each in others)

    def members(self) -> list[Peer]:
        """Return the other instances of this domain that may be live."""
        return [peer for peer in self.peers() if peer.domain == self.own.domain]

    def peers(self) -> list[Peer]:
        """Return all other instances that may be live; forget the others."""
        now_s = self._clock()
        for address, entry in list(self._by_address.items()):
            if now_s - max(entry.since_s, entry.received_s or 0.0) > PEER_TTL_S:
                del self._by_address[address]
        return [entry.peer for entry in self._by_address.values()]

    def domains(self) -> list[str]:
        """Return the domains of other instances, without this instance's own."""
        return sorted({p.domain for p in self.peers()} - {self.own.domain})

    def count(self) -> int:
        """Return the number of live instances of this domain, this one included."""
        now_s = self._clock()
        return 1 + sum(
            entry.peer.domain == self.own.domain
            and entry.received_s is not None
            and now_s - entry.received_s < REMOTE_RELAY_TIMEOUT_S
            for entry in self._by_address.values()
        )

    def record_count(self, domain: str, count: int) -> None:
        """Record the number of live instances of a domain, as counted by a relay."""
        self._count_by_domain[domain] = (count, self._clock())

    def counts(self) -> dict[str, int]:
        """Return the number of instances of each domain, as its relays count them."""
        since_s = self._clock() - PEER_TTL_S
        return {
            domain: count
            for domain, (count, at_s) in self._count_by_domain.items()
            if at_s >= since_s
        }

    def instances(self) -> int:
        """Return the number of instances in all domains."""
        counts = self.counts()
        if self.is_relay:
            counts[self.own.domain] = self.count()
        return max(1, sum(counts.values()))

    def peak_instances(self) -> int:
        """Return the highest number of instances counted recently.

        Instances that died have used the retry budget of the last seconds, and those
        behind a network partition continue to use it.
        """
        now_s, count = self._clock(), self.instances()
        while self._counted and self._counted[-1][1] <= count:
            self._counted.pop()
        self._counted.append((now_s, count))
        while self._counted[0][0] < now_s - PEAK_COUNT_WINDOW_S:
            self._counted.popleft()
        return self._counted[0][1]

    def _ranked(self, domain: str) -> list[Peer]:
        now_s = self._clock()
        peers = [
            entry.peer
            for entry in self._by_address.values()
            if entry.peer.domain == domain and self._may_relay(entry, now_s)
        ]
        if domain == self.own.domain:
            peers.append(self.own)
        return sorted(peers, key=_rank)

    def _may_relay(self, entry: _Entry, now_s: float) -> bool:
        if entry.tried_s is None:
            return True
        tried_for_s = now_s - entry.tried_s
        if tried_for_s > RELAY_RETRY_S:
            entry.tried_s = None
            return True
        return tried_for_s < self._timeout_s(entry)

    def _is_live(self, entry: _Entry, now_s: float) -> bool:
        return (
            entry.received_s is not None
            and now_s - entry.received_s < self._timeout_s(entry)
        )

    def _timeout_s(self, entry: _Entry) -> float:
        near = entry.peer.domain == self.own.domain
        return RELAY_TIMEOUT_S if near else REMOTE_RELAY_TIMEOUT_S


def _rank(peer: Peer) -> tuple[float, str]:
    """Return a sort key: the most powerful instance first, then by address."""
    return -peer.power, peer.address
