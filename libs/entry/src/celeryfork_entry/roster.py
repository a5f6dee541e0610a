"""The other instances, and which of them relay for their failure domain.

A few instances of each domain, the most powerful first, read the store and pass on what
the others need; the others talk with them alone. So what an instance sends, receives
and asks of the store doesn't grow with the fleet. Nobody appoints them: each instance
ranks those that it knows, and one that is addressed as a relay acts as one.
"""

import time
from collections import deque
from collections.abc import Callable, Iterable

from attrs import define, field

from celeryfork_entry.ports import Peer

RELAYS = 3
"""Relays of a domain; two may die at once without a pause in what they pass on."""
SILENT_S = 1.0
"""Silence after which a relay is replaced: it tells its domain four times a second."""
SILENT_AWAY_S = 3.2
"""The same for one of another domain, which is told once a second."""
RETRY_S = 5.0
"""Time after which a silent instance is tried as a relay again."""
ASKED_LIFE_S = 1.5
"""Time that an instance goes on as a relay after it was last addressed as one."""
COUNT_LIFE_S = 60.0
"""Time for which instances that are counted no more keep their part of what all share;
a cut of a domain mostly lasts less."""
LISTED_LIFE_S = 10.0
"""Time that an instance is told things though nothing is heard from it.

One that the store turns away isn't in the store's list, and is heard of nevertheless.
"""


@define
class _Entry:
    """What is known of another instance.

    Parameters
    ----------
    since_s
        When the store last named it, or it was first heard.
    heard_s
        When it was last heard, None for never.
    tried_s
        When it was first counted among the relays without being heard.
    """

    peer: Peer
    since_s: float
    heard_s: float | None = None
    tried_s: float | None = None


@define(eq=False)
class Roster:
    """The instances that this one knows.

    Parameters
    ----------
    own
        This instance.
    """

    own: Peer
    _clock: Callable[[], float] = time.monotonic
    _by_address: dict[str, _Entry] = field(factory=dict)
    _asked_s: float | None = None
    _count_by_domain: dict[str, tuple[int, float]] = field(factory=dict)
    _counted: deque[tuple[float, int]] = field(factory=deque)

    def listed(self, peers: Iterable[Peer]) -> None:
        """Take the instances that the store names."""
        for peer in peers:
            self._learn(peer)

    def heard(self, peer: Peer) -> None:
        """Note that an instance has been heard."""
        entry = self._learn(peer)
        if entry is not None:
            entry.heard_s, entry.tried_s = self._clock(), None

    def _learn(self, peer: Peer) -> _Entry | None:
        if peer.address == self.own.address:
            return None
        entry = self._by_address.get(peer.address)
        if entry is None:
            entry = _Entry(peer, self._clock())
            self._by_address[peer.address] = entry
        entry.peer = peer
        return entry

    def asked_to_relay(self) -> None:
        """Note that an instance of the domain takes this one for a relay."""
        self._asked_s = self._clock()

    @property
    def addressed_as_relay(self) -> bool:
        """Return whether others of the domain take this instance for a relay."""
        asked_s = self._asked_s
        return asked_s is not None and self._clock() - asked_s < ASKED_LIFE_S

    @property
    def is_relay(self) -> bool:
        """Return whether this instance relays."""
        return (
            self.addressed_as_relay
            or self.own in self._ranked(self.own.domain)[:RELAYS]
        )

    def relays(self, domain: str) -> list[Peer]:
        """Return the relays of a domain but for this instance, the first ranked first.

        Those that aren't heard are tried for a moment, and replaced then.
        """
        now_s = self._clock()
        relays = self._ranked(domain)[:RELAYS]
        for peer in relays:
            entry = self._by_address.get(peer.address)
            if entry and entry.tried_s is None and not self._is_heard(entry, now_s):
                entry.tried_s = now_s
        return [peer for peer in relays if peer != self.own]

    def live_relays(self, domain: str) -> list[Peer]:
        """Return those of them that have been heard of late."""
        now_s = self._clock()
        return [
            peer
            for peer in self.relays(domain)
            if self._is_heard(self._by_address[peer.address], now_s)
        ]

    def is_lead_relay(self) -> bool:
        """Return whether this instance ranks before the relays heard in its domain."""
        others = self.live_relays(self.own.domain)
        return self.is_relay and all(_rank(self.own) < _rank(each) for each in others)

    def members(self) -> list[Peer]:
        """Return the other instances of this one's domain that may live."""
        return [peer for peer in self.peers() if peer.domain == self.own.domain]

    def peers(self) -> list[Peer]:
        """Return all instances that may live."""
        now_s = self._clock()
        for address, entry in list(self._by_address.items()):
            if now_s - max(entry.since_s, entry.heard_s or 0.0) > LISTED_LIFE_S:
                del self._by_address[address]
        return [entry.peer for entry in self._by_address.values()]

    def domains(self) -> list[str]:
        """Return the domains of other instances, but for this one's."""
        return sorted({p.domain for p in self.peers()} - {self.own.domain})

    def count(self) -> int:
        """Return the number of instances of this domain that live, as heard here."""
        now_s = self._clock()
        return 1 + sum(
            entry.peer.domain == self.own.domain
            and entry.heard_s is not None
            and now_s - entry.heard_s < SILENT_AWAY_S
            for entry in self._by_address.values()
        )

    def counted(self, domain: str, count: int) -> None:
        """Take the number of instances that a relay counts in its domain."""
        self._count_by_domain[domain] = (count, self._clock())

    def counts(self) -> dict[str, int]:
        """Return the number of instances of each domain, as its relays count them."""
        since_s = self._clock() - LISTED_LIFE_S
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
        """Return the most instances counted of late.

        Those that died have used the retry budget of the last seconds, and those behind
        a cut use it on.
        """
        now_s, count = self._clock(), self.instances()
        while self._counted and self._counted[-1][1] <= count:
            self._counted.pop()
        self._counted.append((now_s, count))
        while self._counted[0][0] < now_s - COUNT_LIFE_S:
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
        if tried_for_s > RETRY_S:
            entry.tried_s = None
            return True
        return tried_for_s < self._patience_s(entry)

    def _is_heard(self, entry: _Entry, now_s: float) -> bool:
        return entry.heard_s is not None and now_s - entry.heard_s < self._patience_s(
            entry
        )

    def _patience_s(self, entry: _Entry) -> float:
        near = entry.peer.domain == self.own.domain
        return SILENT_S if near else SILENT_AWAY_S


def _rank(peer: Peer) -> tuple[float, str]:
    """Return a key that is lower for those that relay first."""
    return -peer.power, peer.address
