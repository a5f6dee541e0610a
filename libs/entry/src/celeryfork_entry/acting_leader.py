"""Acting placement leader of a failure domain that the elected leader can't reach.

The store elects the placement leader. While the store is unavailable, a leader that
dies has no successor, and a leader behind a network partition can't send orders to this
side. Then the relay with the lowest address places the layers of its own domain, with
the last fencing token received. Two acting leaders at once do no harm: an engine that
has seen a higher token rejects the order, and each order is valid for one state of its
engine only.
"""

import time
from collections.abc import Callable, Set

from attrs import define, frozen

from celeryfork_entry.peer_protocol import PeerProtocol

LEADER_SILENCE_S = 2.6
"""Seconds without a message of the leader while the store is unavailable: the leader
sends to other domains once a second, and two of its datagrams may be lost."""
LEADER_SILENCE_CUT_OFF_S = 1.6
"""The same for a domain that reaches no engine of other domains; one datagram may be
lost."""


@frozen
class DomainView:
    """An instance's view of its domain and of the leader.

    Parameters
    ----------
    address
        Address of this instance.
    relays, live_relays
        Addresses of the domain's other relays: all, and those heard from recently.
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

    A relay that hears from less than half of the others may itself be cut off.
    """
    if view.cut_off:
        alone = view.leader_silent_s >= LEADER_SILENCE_CUT_OFF_S
    else:
        alone = min(view.leader_silent_s, view.store_outage_s) >= LEADER_SILENCE_S
    if not alone:
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
        """Return True if this instance is the acting leader; only relays can be."""
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
