"""Acting placement leader of a failure domain that the elected leader can't reach.

The store elects the placement leader, the one instance that assigns model layers to
engines. While the store is unavailable, a leader that dies has no successor, and a
leader behind a network partition can't send orders to the engines of other domains.
Then one relay of a domain, the one with the lowest address, places the layers of that
domain with the last fencing token received. Relays are the few instances of each domain
that read the store for the others (see :mod:`celeryfork_entry.roster`).

Two acting leaders at once do no harm: an engine that has seen a higher token rejects
the order, and each order is valid for one state of its engine only.
"""

import time
from collections.abc import Callable, Set

from attrs import define, frozen

from celeryfork_entry.peer_protocol import PeerProtocol

LEADER_SILENCE_S = 2.6
"""Seconds without a message of the leader, and without the store, after which a relay
acts as leader: the leader sends to other domains once a second, and two of its
datagrams may be lost."""
LEADER_SILENCE_CUT_OFF_S = 1.6
"""Seconds without the leader, if no engine of another domain is reachable, whatever the
state of the store; one datagram may be lost."""


@frozen
class DomainView:
    """An instance's view of its domain and of the leader.

    Parameters
    ----------
    address
        Address of this instance.
    relays, live_relays
        Addresses of the domain's other relays: all, and those that have sent a message
        recently.
    leader_silent_s
        Seconds since the last message of a peer that places layers.
    store_outage_s
        Seconds since the store's last answer, 0 while it answers.
    cut_off
        True if no engine of another domain is reachable.
    """

    address: str
    relays: Set[str]
    live_relays: Set[str]
    leader_silent_s: float
    store_outage_s: float
    cut_off: bool


def should_act(view: DomainView) -> bool:
    """Return True if this instance should place the layers of its domain.

    A relay that receives messages of only a minority of its domain's relays may itself
    be cut off, and doesn't act.
    """
    if view.cut_off:
        leaderless = view.leader_silent_s >= LEADER_SILENCE_CUT_OFF_S
    else:
        leaderless = min(view.leader_silent_s, view.store_outage_s) >= LEADER_SILENCE_S
    if not leaderless:
        return False
    known = view.relays | {view.address}
    present = (view.live_relays & view.relays) | {view.address}
    return (
        len(present) > 1
        and 2 * len(present) > len(known)
        and view.address == min(present)
    )


@define(eq=False)
class ActingLeader:
    """Decides if this instance places the layers of its own domain.

    Parameters
    ----------
    store_outage_s
        Returns the seconds since the store's last answer, 0 while it answers.
    cut_off
        Returns True if no engine of another domain is reachable.
    """

    _peers: PeerProtocol
    _store_outage_s: Callable[[], float]
    _cut_off: Callable[[], bool]

    @property
    def domain(self) -> str:
        """Return this instance's domain."""
        return self._peers.domain

    def is_active(self) -> bool:
        """Return True if this instance is acting leader; False if it is no relay."""
        return self._peers.roster.is_relay and should_act(self._view())

    def _view(self) -> DomainView:
        roster = self._peers.roster
        return DomainView(
            address=roster.own.address,
            relays={peer.address for peer in roster.relays(self.domain)},
            live_relays={peer.address for peer in roster.live_relays(self.domain)},
            leader_silent_s=time.monotonic() - self._peers.peer_fence_received_s,
            store_outage_s=self._store_outage_s(),
            cut_off=self._cut_off(),
        )
