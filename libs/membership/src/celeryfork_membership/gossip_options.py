"""Settings of the gossip protocol and the interface to its peer connections."""

from typing import Protocol

from attrs import frozen
from celeryfork_wire.peers import PeerCall, Reply


class PeerCaller(Protocol):
    """Methods of `celeryfork_wire.peers.PeerPool` that gossip uses."""

    def call(
        self, address: str, call: PeerCall[Reply], timeout_s: float, *, fresh: bool
    ) -> Reply:
        """Make one call to a peer."""


@frozen
class GossipOptions:
    """Intervals and limits of the gossip protocol.

    Parameters
    ----------
    interval_s
        Mean time in seconds between exchanges started by this instance.
    own_domain_share
        Share of the exchanges made with peers of the same failure domain.
    timeout_s
        Timeout of one exchange in seconds.
    immediate_exchanges
        Exchanges started without waiting for the interval when a new update arrives.
        Updates about peers cause them only if the peer is new, its state changed, or
        it became or ceased to be suspected.
    immediate_per_s
        Number of such exchanges allowed per second, on average.
    announce_s_per_peer
        An instance announces a new configuration offset at most once every ``peers *
        announce_s_per_peer`` seconds, which keeps the rate of announcements of all
        instances together constant. Heartbeats carry the offset in any case, to the
        peers they are exchanged with.
    refresh_s
        Time in seconds between announcements without a change; ``4 * peers *
        announce_s_per_peer`` if that is longer.
    """

    interval_s: float = 1.0
    own_domain_share: float = 0.75
    timeout_s: float = 0.5
    immediate_exchanges: int = 3
    immediate_per_s: float = 2.0
    announce_s_per_peer: float = 0.5
    refresh_s: float = 60.0
