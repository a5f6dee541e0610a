"""The table of peer instances, updated by heartbeats and gossip."""

import threading
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from attrs import evolve, frozen
from celeryfork_base.clock import Clock
from celeryfork_wire.gen.celeryfork.ttypes import InstanceState

SUSPICION_TIMEOUT_S = 4.0
DEAD_PEER_RETENTION_S = 600.0
MAX_PEERS = 4096
SEQUENCE_BITS = 20


@frozen
class PeerIdentity:
    """Identity that an instance announces to its peers.

    Parameters
    ----------
    instance
        Name of the instance.
    incarnation
        Wall clock time of its start in milliseconds: a restart has a higher one.
    domain
        Failure domain of the instance.
    peer_address, http_address
        ``ip:port`` at which it serves peers and callers.
    """

    instance: str
    incarnation: int
    domain: str
    peer_address: str
    http_address: str


@frozen
class PeerView:
    """Known state of one peer.

    Parameters
    ----------
    instance, incarnation, domain, peer_address, http_address
        As in `PeerIdentity`.
    config_offset
        Offset up to which the peer had applied the configuration at the last report.
    state
        `InstanceState` of the peer.
    last_seen_s
        Monotonic time of the last heartbeat from it or gossip update about it.
    sequence
        Increases with each announcement within an incarnation.
    suspected_s
        Monotonic time since which it is suspected of having failed because some
        instance could not reach it; None if it is not suspected.
    """

    instance: str
    incarnation: int
    domain: str
    peer_address: str
    http_address: str
    config_offset: int
    state: int
    last_seen_s: float
    sequence: int = 0
    suspected_s: float | None = None

    @property
    def version(self) -> int:
        """Version of its gossip updates, ordered by incarnation, then by sequence."""
        return update_version(self.incarnation, self.sequence)


def update_version(incarnation: int, sequence: int) -> int:
    """Return the version of an announcement as one integer.

    The low `SEQUENCE_BITS` bits hold the sequence, the others the incarnation.
    """
    return incarnation << SEQUENCE_BITS | min(sequence, (1 << SEQUENCE_BITS) - 1)


class PeerTable:
    """The known peers, by instance; thread-safe."""

    def __init__(self, own_instance: str, clock: Clock) -> None:
        self._own_instance = own_instance
        self._clock = clock
        self._lock = threading.Lock()
        self._peers_by_instance: dict[str, PeerView] = {}
        self._live: Mapping[str, PeerView] = MappingProxyType({})
        self._live_until_s = float("-inf")

    def live(self) -> Mapping[str, PeerView]:
        """Return the peers not considered dead, by instance."""
        now_s = self._clock.monotonic()
        if now_s < self._live_until_s:
            return self._live
        with self._lock:
            self._remove_expired(now_s)
            live = {
                name: peer
                for name, peer in self._peers_by_instance.items()
                if not _is_dead(peer, now_s)
            }
            self._live = MappingProxyType(live)
            suspicion_ends_s = (
                peer.suspected_s + SUSPICION_TIMEOUT_S
                for peer in live.values()
                if peer.suspected_s is not None
            )
            self._live_until_s = min(
                suspicion_ends_s, default=now_s + SUSPICION_TIMEOUT_S
            )
            return self._live

    def unreachable(self) -> list[PeerView]:
        """Return the peers considered dead, except those that announced a stop."""
        now_s = self._clock.monotonic()
        with self._lock:
            return [
                peer
                for peer in self._peers_by_instance.values()
                if _is_dead(peer, now_s) and peer.state != InstanceState.STOPPED
            ]

    def get(self, instance: str) -> PeerView | None:
        """Return a peer, live or dead, None if it is unknown."""
        return self._peers_by_instance.get(instance)

    def addresses(self) -> frozenset[str]:
        """Return the peer addresses of all known peers, live and dead."""
        with self._lock:
            peers = self._peers_by_instance.values()
            return frozenset(peer.peer_address for peer in peers)

    def put(self, peer: PeerView) -> None:
        """Store the announced state of a peer.

        Does nothing if a newer one is known or if the table is full.
        """
        if peer.instance == self._own_instance:
            return
        with self._lock:
            known = self._peers_by_instance.get(peer.instance)
            if known is not None and known.version > peer.version:
                return
            if known is None and len(self._peers_by_instance) >= MAX_PEERS:
                return
            self._peers_by_instance[peer.instance] = peer
            self._live_until_s = float("-inf")

    def suspect(self, instance: str) -> PeerView | None:
        """Mark a peer as suspected; return it, None if unknown or already suspected."""
        with self._lock:
            peer = self._peers_by_instance.get(instance)
            if peer is None or peer.suspected_s is not None:
                return None
            peer = evolve(
                peer,
                suspected_s=self._clock.monotonic(),
                sequence=peer.sequence + 1,
            )
            self._peers_by_instance[instance] = peer
            self._live_until_s = float("-inf")
            return peer

    def _remove_expired(self, now_s: float) -> None:
        for name, peer in list(self._peers_by_instance.items()):
            if (
                _is_dead(peer, now_s)
                and now_s - peer.last_seen_s > DEAD_PEER_RETENTION_S
            ):
                del self._peers_by_instance[name]


def encode_peer(peer: PeerView) -> dict[str, Any]:
    """Return the body of a gossip update about a peer.

    It is a list without field names, to stay short: it is sent to all instances.
    """
    return {
        "p": [
            peer.incarnation,
            peer.sequence,
            peer.domain,
            peer.peer_address,
            peer.http_address,
            peer.config_offset,
            peer.state,
            int(peer.suspected_s is not None),
        ]
    }


def decode_peer(instance: str, body: dict[str, Any], now_s: float) -> PeerView | None:
    """Return the peer described by a gossip update, None if it is malformed."""
    match body.get("p"):
        case [
            int(incarnation),
            int(sequence),
            str(domain),
            str(peer_address),
            str(http_address),
            int(config_offset),
            int(state),
            int(suspected),
        ]:
            return PeerView(
                instance=instance,
                incarnation=incarnation,
                domain=domain,
                peer_address=peer_address,
                http_address=http_address,
                config_offset=config_offset,
                state=state,
                last_seen_s=now_s,
                sequence=sequence,
                suspected_s=now_s if suspected else None,
            )
    return None


def _is_dead(peer: PeerView, now_s: float) -> bool:
    if peer.state == InstanceState.STOPPED:
        return True
    return (
        peer.suspected_s is not None and now_s - peer.suspected_s >= SUSPICION_TIMEOUT_S
    )
