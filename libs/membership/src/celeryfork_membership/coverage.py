"""Keeps a model's layers, or a service, covered when targets fail."""

from collections.abc import Sequence

from celeryfork_membership.target import Target


def fill_gaps(good: Sequence[Target], rest: Sequence[Target]) -> list[Target]:
    """Return those of ``rest`` without which something could not be served.

    Parameters
    ----------
    good
        The targets of one model or service that are in choice anyway.
    rest
        The others that may be kept, the least bad first.
    """
    kept: list[Target] = []
    if not rest:
        return kept
    if rest[0].role == "service":
        return kept if good else [rest[0]]
    wanted = _layers(rest) - _layers(good)
    for target in rest:
        held = range(target.first_layer, target.last_layer)
        if wanted.intersection(held):
            wanted.difference_update(held)
            kept.append(target)
    return kept


def _layers(targets: Sequence[Target]) -> set[int]:
    """Return the layers that at least one of the targets holds."""
    ranges = {(target.first_layer, target.last_layer) for target in targets}
    return {layer for first, last in ranges for layer in range(first, last)}
