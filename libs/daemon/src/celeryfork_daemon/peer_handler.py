"""Answers the calls of other instances."""

from collections.abc import Callable

from attrs import frozen
from celeryfork_wire.gen.celeryfork import Peer
from celeryfork_wire.gen.celeryfork.ttypes import (
    ConfigSlice,
    Heartbeat,
    KeptOutcome,
    OutcomeReply,
    PermitBatch,
    PermitGrant,
    TicketCall,
)


@frozen
class PeerParts:
    """The parts that answer peers' calls."""

    exchange: Callable[[Heartbeat], Heartbeat]
    lease_permits: Callable[[PermitBatch], list[PermitGrant]]
    read_configuration: Callable[[int, int], ConfigSlice]
    forward_ticket: Callable[[TicketCall], OutcomeReply]
    find_outcome: Callable[[str, str, int], OutcomeReply]
    hand_over: Callable[[list[KeptOutcome]], None]


class PeerHandler(Peer.Iface):
    """The peer interface of one instance.

    Heartbeats are the pulse of the fleet, and are answered before the other parts are
    ready; the rest waits for ``parts``.
    """

    def __init__(self, parts: PeerParts) -> None:
        self._parts = parts

    def exchange(self, mine: Heartbeat) -> Heartbeat:
        """Trade heartbeats."""
        return self._parts.exchange(mine)

    def lease_permits(self, batch: PermitBatch) -> list[PermitGrant]:
        """Grant permits as the home of organisations."""
        return self._parts.lease_permits(batch)

    def read_configuration(self, after_offset: int, limit: int) -> ConfigSlice:
        """Return configuration entries after an offset."""
        return self._parts.read_configuration(after_offset, limit)

    def forward_ticket(self, call: TicketCall) -> OutcomeReply:
        """Run a call whose ticket this instance minted."""
        return self._parts.forward_ticket(call)

    def find_outcome(self, organisation: str, key: str, wait_ms: int) -> OutcomeReply:
        """Return the outcome of a call by its key, waiting for it a while."""
        return self._parts.find_outcome(organisation, key, wait_ms)

    def hand_over(self, outcomes: list[KeptOutcome]) -> None:
        """Keep the outcomes of an instance that stops."""
        self._parts.hand_over(outcomes)
