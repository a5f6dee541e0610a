"""How often an instance speaks to its peers, and through what."""

from typing import Protocol

from attrs import frozen
from celeryfork_wire.peers import PeerCall, Reply


class PeerCaller(Protocol):
    """The part of `celeryfork_wire.peers.PeerPool` that gossip needs."""

    def call(
        self, address: str, call: PeerCall[Reply], timeout_s: float, *, fresh: bool
    ) -> Reply:
        """Make one call to a peer."""


@frozen
class GossipOptions:
    """How often an instance speaks to its peers.

    Parameters
    ----------
    interval_s
        Mean time between exchanges that this instance begins.
    own_domain_share
        Share of them that stays in its failure domain.
    timeout_s
        Limit for one exchange.
    eager_exchanges
        Exchanges begun at once when fresh news of targets comes in.
    eager_per_s
        Budget of those, a second.
    announce_s_per_peer
        An instance announces a new configuration offset at most each ``peers *
        announce_s_per_peer`` seconds, so that the announcements of all together
        stay constant. Heartbeats carry it to those spoken to in any case.
    refresh_s
        Least time between announcements that say nothing new.
    """

    interval_s: float = 1.0
    own_domain_share: float = 0.75
    timeout_s: float = 0.5
    immediate_exchanges: int = 3
    immediate_per_s: float = 2.0
    announce_s_per_peer: float = 0.5
    refresh_s: float = 60.0
