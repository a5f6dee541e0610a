"""Comparison of placements of layers with upper bounds, by the tokens they can hold.

A request takes a slot and memory on each engine of its path: memory for the layers that
it runs there. The maximum number of tokens that a placement holds at once is a maximum
flow: each engine divides its free memory among its layers, its slots limit the tokens
in each layer, and every layer has to hold all tokens.

Run as a program, it compares ``plan_placement`` with two other figures for domains like
those of a large fleet.
"""

from collections import Counter
from collections.abc import Mapping, Sequence

import model_shapes
import numpy as np
from attrs import evolve, frozen
from celeryfork_routing.layer_placement import plan_placement
from celeryfork_routing.layer_repair import PlacedEngine
from celeryfork_routing.layers import (
    BYTES_PER_MB,
    Accelerator,
    LayerRange,
    ModelShape,
    max_layers,
    room_for_requests,
)
from scipy.optimize import linprog
from scipy.sparse import coo_array

SHAPE = evolve(model_shapes.SHAPE, mean_answer_tokens=144.0)
"""The model of the large fleet, whose answers are shorter."""
DOMAINS = {
    "a": {"h100": 1, "a100s": 2, "l4": 17, "t4": 25},
    "b": {"h100": 1, "a100s": 4, "l4": 25, "t4": 12},
    "c": {"a100s": 6, "l4": 14, "t4": 24},
    "small": {"a100s": 1, "l4": 8, "t4": 3},
}
SLOTS = 96
"""Maximum number of requests that one engine runs at once."""
TOKEN_STEP = 10.0
"""Step by which best_without_overlaps raises the number of tokens held at once."""


@frozen
class Figures:
    """Numbers of tokens that the engines of one domain can hold at once.

    Parameters
    ----------
    planned
        With the placement of ``plan_placement``.
    planned_after_loss
        The same after the loss of the engine that reduces it most, before any repair.
    without_overlaps
        With the best placement that holds each layer once.
    upper_bound
        Bound for any placement: engines may hold fractions of layers, at the number of
        layers at which memory and slots are exhausted together.
    """

    planned: float
    planned_after_loss: float
    without_overlaps: float
    upper_bound: float


def max_tokens_held(
    shape: ModelShape, engines: Sequence[tuple[Accelerator, LayerRange]]
) -> float:
    """Return the maximum number of tokens that placed engines hold at once."""
    count_by_key: Counter[tuple[str, int, int]] = Counter(
        (kind.name, held.first, held.last) for kind, held in engines
    )
    pairs = [
        (row, layer)
        for row, (_, first, last) in enumerate(count_by_key)
        for layer in range(first, last)
    ]
    if len({layer for _, layer in pairs}) < shape.layers:
        return 0.0
    rooms = [
        count * room_for_requests(shape, shape.accelerators_by_name[name], last - first)
        for (name, first, last), count in count_by_key.items()
    ]
    slot_limits = [count * slot_tokens(shape) for count in count_by_key.values()]
    return _max_flow(shape.layers, pairs, rooms, slot_limits)


def slot_tokens(shape: ModelShape) -> float:
    """Return the tokens of mean requests in all slots of an engine, half answered."""
    return SLOTS * (shape.mean_prompt_tokens + shape.mean_answer_tokens / 2)


def _max_flow(
    layers: int,
    pairs: Sequence[tuple[int, int]],
    rooms: Sequence[float],
    slot_limits: Sequence[float],
) -> float:
    """Return the maximum flow through all layers.

    Parameters
    ----------
    pairs
        Pairs of group and layer for each layer that a group of engines holds.
    rooms, slot_limits
        Tokens x layers that fit into each group's memory, and tokens into its slots.
    """
    columns = np.arange(len(pairs))
    groups = np.array([row for row, _ in pairs])
    at_layer = np.array([layer for _, layer in pairs])
    within = coo_array(
        (np.ones(len(pairs)), (groups, columns)), (len(rooms), len(pairs) + 1)
    )
    rows = np.concatenate([at_layer, np.arange(layers)])
    columns = np.concatenate([columns, np.full(layers, len(pairs))])
    values = np.concatenate([-np.ones(len(pairs)), np.ones(layers)])
    through = coo_array((values, (rows, columns)), (layers, len(pairs) + 1))
    objective = np.zeros(len(pairs) + 1)
    objective[-1] = -1.0
    found = linprog(
        objective,
        A_ub=_stack_rows(within, through),
        b_ub=np.concatenate([np.array(rooms), np.zeros(layers)]),
        bounds=[*((0.0, slot_limits[row]) for row, _ in pairs), (0.0, None)],
    )
    return float(-found.fun)


def _stack_rows(above: coo_array, below: coo_array) -> coo_array:
    rows = np.concatenate([above.coords[0], below.coords[0] + above.shape[0]])
    columns = np.concatenate([above.coords[1], below.coords[1]])
    shape = (above.shape[0] + below.shape[0], above.shape[1])
    return coo_array((np.concatenate([above.data, below.data]), (rows, columns)), shape)


def best_without_overlaps(
    shape: ModelShape, accelerators: Sequence[Accelerator]
) -> float:
    """Return the maximum number of tokens if exactly one engine holds each layer.

    The engine with the least room limits it. So it is the largest room beside which the
    layers that fit on the engines add up to the model.
    """
    tokens = 0.0
    while sum(max_layers(shape, kind, tokens) for kind in accelerators) >= shape.layers:
        tokens += TOKEN_STEP
    return min(slot_tokens(shape), max(0.0, tokens - TOKEN_STEP))


def placement_bound(shape: ModelShape, accelerators: Sequence[Accelerator]) -> float:
    """Return an upper bound on the tokens that any placement can hold."""
    tokens = slot_tokens(shape)
    request_mb = tokens * shape.kv_bytes_per_token / shape.layers / BYTES_PER_MB
    layers_held = sum(
        kind.memory_mb / (shape.layer_mb + request_mb) for kind in accelerators
    )
    if layers_held >= shape.layers:
        return layers_held * tokens / shape.layers
    free_mb = (
        sum(kind.memory_mb for kind in accelerators) - shape.layers * shape.layer_mb
    )
    return max(0.0, free_mb * BYTES_PER_MB / shape.kv_bytes_per_token)


def compare(shape: ModelShape, count_by_kind: Mapping[str, int]) -> Figures:
    """Return the figures for the engines of one domain."""
    engines = [
        PlacedEngine(f"{kind}-{number}", "a", kind, None)
        for kind, count in count_by_kind.items()
        for number in range(count)
    ]
    planned = plan_placement(shape, engines)
    accelerators = [
        shape.accelerators_by_name[engine.accelerator] for engine in engines
    ]
    placed = [
        (kind, planned[engine.id])
        for kind, engine in zip(accelerators, engines, strict=True)
        if engine.id in planned
    ]
    after_losses = []
    for lost in set(placed):
        rest = list(placed)
        rest.remove(lost)
        after_losses.append(max_tokens_held(shape, rest))
    return Figures(
        max_tokens_held(shape, placed),
        min(after_losses, default=0.0),
        best_without_overlaps(shape, accelerators),
        placement_bound(shape, accelerators),
    )


def main() -> None:
    """Print the figures for each domain."""
    print(
        "Tokens held at once by the engines of a domain; share: planned / bound.\n"
        "domain  engines  planned  after one loss  no overlaps    bound  share"
    )
    for name, count_by_kind in DOMAINS.items():
        found = compare(SHAPE, count_by_kind)
        print(
            f"{name:7} {sum(count_by_kind.values()):7} {found.planned:8,.0f} "
            f"{found.planned_after_loss:15,.0f} {found.without_overlaps:12,.0f} "
            f"{found.upper_bound:8,.0f}  {found.planned / found.upper_bound:.2f}"
        )


if __name__ == "__main__":
    main()
