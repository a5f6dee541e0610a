"""Calls to other instances about claimed keys, tickets and handed-over outcomes."""

from collections.abc import Sequence

from celeryfork_base.errors import PeerUnavailableError
from celeryfork_wire.gen.celeryfork import ttypes
from celeryfork_wire.gen.celeryfork.ttypes import InstanceState

from celeryfork_calls.kept_outcomes import KeptOutcome
from celeryfork_calls.ports import GossipPort, PeerPoolPort, PeerViewPort

MAX_PEER_WAIT_S = 2.0
PEER_ANSWER_MARGIN_S = 0.5
HAND_OVER_TIMEOUT_S = 2.0


class PeerCalls:
    """Finds instances by incarnation (one run of a process), and calls them.

    Each call uses a new connection.
    """

    def __init__(self, pool: PeerPoolPort, gossip: GossipPort) -> None:
        self._pool = pool
        self._gossip = gossip

    def find_by_incarnation(self, incarnation: str) -> PeerViewPort | None:
        """Return the peer of an incarnation (``instance@started_ms``), if known."""
        instance, _, _ = incarnation.rpartition("@")
        peer = self._gossip.peers_by_instance.get(instance)
        if peer is None or f"{peer.instance}@{peer.incarnation}" != incarnation:
            return None
        return peer

    def nearest_first(
        self, domain: str, except_instance: str
    ) -> Sequence[PeerViewPort]:
        """Return the known peers by name, those of a domain first."""
        peers = self._gossip.peers_by_instance.values()
        others = [p for p in peers if p.instance != except_instance]
        return sorted(others, key=lambda p: (p.domain != domain, p.instance))

    def serving_nearest_first(
        self, domain: str, except_instance: str
    ) -> Sequence[PeerViewPort]:
        """Return the peers that serve calls, neither starting nor stopping.

        Their order is that of ``nearest_first``.
        """
        peers = self.nearest_first(domain, except_instance)
        return [p for p in peers if p.state == InstanceState.SERVING]

    def find_outcome(
        self, peer: PeerViewPort, organisation: str, key: str, wait_s: float
    ) -> ttypes.OutcomeReply | None:
        """Ask a peer for a key's outcome; None if it doesn't answer."""
        wait_s = max(0.0, min(wait_s, MAX_PEER_WAIT_S))
        try:
            reply: ttypes.OutcomeReply = self._pool.call(
                peer.peer_address,
                lambda client: client.find_outcome(
                    organisation, key, round(wait_s * 1000)
                ),
                wait_s + PEER_ANSWER_MARGIN_S,
                fresh=True,
            )
        except PeerUnavailableError:
            return None
        return reply

    def forward(
        self, peer: PeerViewPort, call: ttypes.TicketCall, timeout_s: float
    ) -> ttypes.OutcomeReply:
        """Send a ticket's call to the instance that minted the ticket.

        Raises
        ------
        PeerUnavailableError
            The peer gave no complete answer.
        """
        reply: ttypes.OutcomeReply = self._pool.call(
            peer.peer_address,
            lambda client: client.forward_ticket(call),
            timeout_s,
            fresh=True,
        )
        return reply

    def hand_over(self, peer: PeerViewPort, outcomes: Sequence[KeptOutcome]) -> bool:
        """Hand outcomes over to a peer; True if it confirmed them."""
        wire = [kept.to_wire() for kept in outcomes]
        try:
            self._pool.call(
                peer.peer_address,
                lambda client: client.hand_over(wire),
                HAND_OVER_TIMEOUT_S,
                fresh=True,
            )
        except PeerUnavailableError:
            return False
        return True
