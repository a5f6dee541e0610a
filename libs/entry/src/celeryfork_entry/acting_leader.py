"""Who places the layers of a failure domain that no holder of the duty reaches.

The store elects the holder. While it is away, one that dies has no successor, and one
that is behind a cut can't order anything on this side. Then the relay of a domain
whose address comes first places the layers of that domain, with the last fence that was
heard: an engine that has seen a higher one refuses it, and each order fits one state of
its engine only, so that two instances that both stand in do no harm.
"""

import time
from collections.abc import Callable, Set

from attrs import define, frozen

from celeryfork_entry.peer_protocol import PeerProtocol

HOLDER_SILENCE_S = 2.6
"""Silence of the holder while the store is away: it tells other domains once a second,
and two of its datagrams may be lost."""
HOLDER_SILENCE_CUT_OFF_S = 1.6
"""The same for a domain that reaches no engine elsewhere; one datagram may be lost."""


@frozen
class DomainView:
    """What an instance knows of its domain, and of who places layers there.

    Parameters
    ----------
    listed, heard
        Addresses of the domain's other relays: all of them, and those heard of late.
    holder_silent_s
        Time since a peer told that it places layers.
    store_away_s
        Time since the store's last answer, 0 while it answers.
    cut_off
        Whether no engine of another domain is in reach.
    """

    address: str
    listed: Set[str]
    heard: Set[str]
    holder_silent_s: float
    store_away_s: float
    cut_off: bool


def stands_in(view: DomainView) -> bool:
    """Return whether this instance places the layers of its domain.

    A relay that hears less than half of the others may itself be cut off.
    """
    if view.cut_off:
        alone = view.holder_silent_s >= HOLDER_SILENCE_CUT_OFF_S
    else:
        alone = min(view.holder_silent_s, view.store_away_s) >= HOLDER_SILENCE_S
    if not alone:
        return False
    known = view.listed | {view.address}
    present = (view.heard & view.listed) | {view.address}
    return (
        len(present) > 1
        and 2 * len(present) > len(known)
        and view.address == min(present)
    )


@define(eq=False)
class ActingLeader:
    """Tells the duty when this instance places the layers of its own domain.

    Parameters
    ----------
    store_away_s
        Gives the time since the store's last answer, 0 while it answers.
    cut_off
        Gives whether no engine of another domain is in reach.
    """

    _peers: PeerProtocol
    _store_away_s: Callable[[], float]
    _cut_off: Callable[[], bool]

    @property
    def domain(self) -> str:
        """Return this instance's domain."""
        return self._peers.domain

    def acts(self) -> bool:
        """Return whether it does now; only relays do."""
        return self._peers.roster.is_relay and stands_in(self._view())

    def _view(self) -> DomainView:
        roster = self._peers.roster
        return DomainView(
            address=roster.own.address,
            listed={peer.address for peer in roster.relays(self.domain)},
            heard={peer.address for peer in roster.live_relays(self.domain)},
            holder_silent_s=time.monotonic() - self._peers.fence_heard_s,
            store_away_s=self._store_away_s(),
            cut_off=self._cut_off(),
        )
