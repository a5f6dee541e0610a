"""What of lost attempts the next one avoids, keeps and imports from."""

from collections.abc import Iterable

from attrs import frozen

from celeryfork_streams.lost import Lost
from celeryfork_streams.ports import Chain, Hop, ViewPort
from celeryfork_streams.requests import RecoveryKind

TURNED_AWAY = frozenset({RecoveryKind.REJECTED, RecoveryKind.OVERLOADED})
# The engine still answers, so the KV cache that it keeps can be had from it.
_STILL_ANSWERS = TURNED_AWAY | {RecoveryKind.LEAVING}


@frozen
class Stage:
    """One hop as the engines are told about it.

    Parameters
    ----------
    kv_from
        ``ip:port`` of a live engine that keeps this stream's KV cache of the hop's
        layers; None where the engine has it itself or must compute it.
    """

    hop: Hop
    kv_from: str | None


class Salvage:
    """What is left of one stream's lost attempts."""

    def __init__(self, view: ViewPort) -> None:
        self._view = view
        self._failed: frozenset[str] = frozenset()
        self._blamed: frozenset[str] = frozenset()
        self._keep: tuple[Hop, ...] = ()
        self._holders: tuple[Hop, ...] = ()

    def take_in(self, chain: Chain, lost: Lost, tokens: int) -> None:
        """Learn from a lost attempt that passed ``tokens`` tokens."""
        self._blamed = lost.blamed or frozenset(hop.target.id for hop in chain.hops)
        self._failed |= self._blamed
        if tokens:
            self._holders = chain.hops
        if lost.kind not in _STILL_ANSWERS:
            self._holders = _without(self._holders, lost.blamed)
        self._keep = tuple(
            hop
            for hop in _without(chain.hops, self._failed)
            if self._view.usable(hop.target.id)
        )

    def first_avoid(self, suspects: frozenset[str]) -> list[frozenset[str]]:
        """Return sets of engines to avoid, the best first.

        Parameters
        ----------
        suspects
            Engines better left alone for another reason.
        """
        return list(dict.fromkeys([self._failed | suspects, self._failed]))

    def then_avoid(self) -> list[frozenset[str]]:
        """Return what to avoid when going back to engines that have failed."""
        return list(dict.fromkeys([self._blamed, frozenset()]))

    def keep(self, avoid: frozenset[str]) -> tuple[Hop, ...]:
        """Return the live hops of the last chain."""
        return _without(self._keep, avoid)

    def stages(self, chain: Chain) -> tuple[Stage, ...]:
        """Return a chain's stages, each told where its KV cache can be had."""
        return tuple(Stage(hop, _kv_from(hop, self._holders)) for hop in chain.hops)


def _without(hops: Iterable[Hop], ids: frozenset[str]) -> tuple[Hop, ...]:
    return tuple(hop for hop in hops if hop.target.id not in ids)


def _kv_from(hop: Hop, holders: tuple[Hop, ...]) -> str | None:
    """Return whom to import a hop's KV cache from."""
    address = None
    for holder in holders:
        if not holder.first <= hop.first < hop.last <= holder.last:
            continue
        if holder.target.id == hop.target.id:
            return None
        address = holder.target.address
    return address
