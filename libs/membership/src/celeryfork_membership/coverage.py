"""Keeps every model layer and every service covered when targets fail."""

from collections.abc import Sequence

from celeryfork_membership.target import Target


def select_last_resorts(
    eligible: Sequence[Target], candidates: Sequence[Target]
) -> list[Target]:
    """Return candidates for what no eligible target covers: layers, or the service.

    Parameters
    ----------
    eligible
        The eligible targets of one model or service.
    candidates
        Ineligible targets of the same model or service that may be used as a last
        resort, in order of preference.
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
    """Return the layers held by at least one of the targets."""
    ranges = {(target.first_layer, target.last_layer) for target in targets}
    return {layer for first, last in ranges for layer in range(first, last)}
