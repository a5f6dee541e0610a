"""The reusable hops of an earlier attempt, and the layers that they don't cover."""

from collections.abc import Iterable, Sequence

from celeryfork_routing.chains import Hop


def kept_hops(
    keep: Iterable[Hop], usable_ids: frozenset[str], layers: int
) -> list[Hop]:
    """Return the hops that can be used again.

    Their targets are usable and hold the layers; the hops lie within the model and
    don't overlap.
    """
    kept: list[Hop] = []
    next_layer = 0
    for hop in sorted(keep, key=lambda hop: hop.first):
        holds_layers = (
            hop.target.first_layer <= hop.first < hop.last <= hop.target.last_layer
        )
        if not holds_layers or hop.target.id not in usable_ids:
            continue
        if hop.first < next_layer or hop.last > layers:
            continue
        kept.append(hop)
        next_layer = hop.last
    return kept


def gaps_between(runs: Sequence[tuple[int, int]], layers: int) -> list[tuple[int, int]]:
    """Return the ranges of ``[0, layers)`` that no run covers; runs are in order."""
    gaps = []
    next_layer = 0
    for first, last in runs:
        if first > next_layer:
            gaps.append((next_layer, first))
        next_layer = last
    if next_layer < layers:
        gaps.append((next_layer, layers))
    return gaps
