"""What of a lost attempt can be used again."""

from collections.abc import Iterable

from attrs import frozen

from celeryfork_streams.ports import Chain, Hop


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


def plan_stages(chain: Chain, holders: Iterable[Hop]) -> tuple[Stage, ...]:
    """Return the chain's stages, each told where its KV cache can be had.

    Parameters
    ----------
    holders
        Live engines with the layers whose KV cache of this stream they keep.
    """
    kept = tuple(holders)
    return tuple(Stage(hop, _kv_from(hop, kept)) for hop in chain.hops)


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
