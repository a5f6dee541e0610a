"""Keeps a model's layers, or a service, covered when targets fail."""

from collections.abc import Sequence

from celeryfork_membership.target import Target


def select_last_resorts(
    eligible: Sequence[Target], candidates: Sequence[Target]
) -> list[Target]:
    """Return those of ``rest`` without which something could not be served.

    Parameters
    ----------
    good
        The targets of one model or service that are in choice anyway.
    rest
        The others that may be kept, the least bad first.
    """
    kept: list[Target] = []
    if not candidates:
        return kept
    if candidates[0].role == "service":
        return kept if eligible else [candidates[0]]
    uncovered = _covered_layers(candidates) - _covered_layers(eligible)
    for target in candidates:
        layers = range(target.first_layer, target.last_layer)
        if uncovered.intersection(layers):
            uncovered.difference_update(layers)
            kept.append(target)
    return kept


def _covered_layers(targets: Sequence[Target]) -> set[int]:
    """Return the layers that at least one of the targets holds."""
    ranges = {(target.first_layer, target.last_layer) for target in targets}
    return {layer for first, last in ranges for layer in range(first, last)}
