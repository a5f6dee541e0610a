"""Configuration between instances: serving it to peers, and reading it from them."""

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Protocol

from celeryfork_base.errors import PeerUnavailableError
from celeryfork_config.follower import ConfigFollower
from celeryfork_platform.model import LogRecord
from celeryfork_wire.gen.celeryfork.ttypes import ConfigEntry, ConfigSlice
from celeryfork_wire.peers import PeerPool

READ_TIMEOUT_S = 2.0
SLICE_LIMIT = 2000
MOST_SLICES = 100
MOST_PEERS_TRIED = 3


class PeerPort(Protocol):
    """One peer as the gossip knows it."""

    @property
    def config_offset(self) -> int:
        """Return up to where it has applied the configuration."""

    @property
    def domain(self) -> str:
        """Return its failure domain."""

    @property
    def peer_address(self) -> str:
        """Return its ``ip:port`` for peers."""


class ConfigFromPeers:
    """Reads configuration entries from the most advanced peers.

    Parameters
    ----------
    peers
        Returns the live peers by name.
    pool
        Connections to them.
    domain
        This instance's failure domain.
    """

    def __init__(
        self,
        peers: Callable[[], Mapping[str, PeerPort]],
        pool: PeerPool,
        domain: str,
    ) -> None:
        self._peers = peers
        self._pool = pool
        self._domain = domain
        self._random = Random()

    def read(self, after_offset: int) -> Sequence[LogRecord] | None:
        """Return all entries after an offset, None where no peer gives them."""
        peers = sorted(self._peers().values(), key=self._preference, reverse=True)
        for peer in peers[:MOST_PEERS_TRIED]:
            try:
                records = self._read_all(peer.peer_address, after_offset)
            except PeerUnavailableError:
                continue
            if records is not None:
                return records
        return None

    def _preference(self, peer: PeerPort) -> tuple[int, bool, float]:
        """Prefer advanced peers, then near ones; spread the rest at random."""
        return peer.config_offset, peer.domain == self._domain, self._random.random()

    def _read_all(self, address: str, after_offset: int) -> list[LogRecord] | None:
        records: list[LogRecord] = []
        for _ in range(MOST_SLICES):
            part = self._read_slice(address, after_offset)
            records.extend(
                LogRecord(entry.offset, entry.appended_ms, "", entry.data)
                for entry in part.entries
            )
            if part.complete:
                # A peer that isn't ready itself gives nothing at all.
                return records if part.next_offset > 0 else None
            after_offset = part.next_offset - 1
        return None

    def _read_slice(self, address: str, after_offset: int) -> ConfigSlice:
        part: ConfigSlice = self._pool.call(
            address,
            lambda peer: peer.read_configuration(after_offset, SLICE_LIMIT),
            READ_TIMEOUT_S,
            fresh=False,
        )
        return part


def slice_for_peer(
    follower: ConfigFollower, after_offset: int, limit: int
) -> ConfigSlice:
    """Return the entries that a peer asks for."""
    part = follower.slice_after(after_offset, min(max(limit, 1), SLICE_LIMIT))
    entries = [
        ConfigEntry(
            offset=record.offset, appended_ms=record.appended_ms, data=record.data
        )
        for record in part.records
    ]
    return ConfigSlice(
        entries=entries, next_offset=part.next_offset, complete=part.complete
    )
