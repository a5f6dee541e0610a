"""What permits need to know of the fleet, from the gossip between instances."""

from collections.abc import Mapping
from typing import Protocol

from celeryfork_base.clock import Clock
from celeryfork_wire.gen.celeryfork.ttypes import InstanceState

REMEMBERED_S = 600.0


class PeerPort(Protocol):
    """One peer as the gossip knows it."""

    @property
    def domain(self) -> str:
        """Return its failure domain."""

    @property
    def peer_address(self) -> str:
        """Return its ``ip:port`` for peers."""

    @property
    def state(self) -> int:
        """Return its state."""


class GossipPort(Protocol):
    """What the view needs of the gossip."""

    @property
    def peers_by_instance(self) -> Mapping[str, PeerPort]:
        """Return the live peers."""


class FleetView:
    """Serving instances and visible failure domains.

    Instances and domains that are out of sight are remembered for a while: it is they
    that tell a partition from a smaller fleet.

    Parameters
    ----------
    instance, domain, peer_address
        This instance.
    gossip
        Its view of the others.
    clock
        Source of time.
    """

    def __init__(
        self,
        instance: str,
        domain: str,
        peer_address: str,
        gossip: GossipPort,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._domain = domain
        self._peer_address = peer_address
        self._gossip = gossip
        self._clock = clock
        self._seen_s_by_instance: dict[str, tuple[float, str]] = {}

    def serving(self) -> Mapping[str, str]:
        """Return peer addresses of all serving instances, this one too, by name."""
        addresses_by_instance = {self._instance: self._peer_address}
        for name, peer in self._gossip.peers_by_instance.items():
            if peer.state == InstanceState.SERVING:
                addresses_by_instance[name] = peer.peer_address
        return addresses_by_instance

    def domain_share(self) -> float:
        """Return the share of the known failure domains seen now, 0 to 1."""
        visible = {self._domain}
        for peer in self._gossip.peers_by_instance.values():
            if peer.state == InstanceState.SERVING:
                visible.add(peer.domain)
        known = visible | {domain for _, domain in self._remembered().values()}
        return len(visible) / len(known)

    def instance_share(self) -> float:
        """Return the static share of each limit, 0 to 1.

        This instance may use it while the home is unreachable.
        """
        return 1 / len({self._instance, *self._remembered()})

    def serving_count(self) -> int:
        """Return how many instances serve, this one too."""
        return len(self.serving())

    def _remembered(self) -> Mapping[str, tuple[float, str]]:
        now_s = self._clock.monotonic()
        for name, peer in self._gossip.peers_by_instance.items():
            if peer.state == InstanceState.SERVING:
                self._seen_s_by_instance[name] = (now_s, peer.domain)
            else:
                # It said itself that it is leaving, so it isn't out of sight.
                self._seen_s_by_instance.pop(name, None)
        seen = self._seen_s_by_instance.copy()
        for name, (seen_s, _) in seen.items():
            if now_s - seen_s > REMEMBERED_S:
                self._seen_s_by_instance.pop(name, None)
        return self._seen_s_by_instance.copy()
