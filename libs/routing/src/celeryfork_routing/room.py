"""Tokens of further requests that a fleet of engines has memory for."""

from collections.abc import Iterable, Mapping

from attrs import frozen

from celeryfork_routing.engine_loads import Load
from celeryfork_routing.layer_paths import PathEngine
from celeryfork_routing.layers import ModelShape, room_for_requests

SLOW_ENGINE_SLOWNESS = 1.2
"""Slowness from which an engine's memory counts in proportion to its speed."""
NO_LOAD = Load()


@frozen
class Room:
    """Tokens that engines have memory for: in all, and not in use."""

    total_tokens: float
    free_tokens: float


def fleet_room(
    shape: ModelShape,
    engines: Iterable[PathEngine],
    load_by_engine: Mapping[str, Load],
) -> Room:
    """Return the room of paths over engines.

    An engine's memory is spread evenly over the layers that it holds. The layer with
    the least memory over all engines limits the paths; a layer without an engine leaves
    no room.
    """
    usable_by_kind: dict[tuple[str, int], float | None] = {}
    sums_by_range: dict[tuple[int, int], list[float]] = {}
    for engine in engines:
        held = engine.held
        kind = (engine.accelerator, held.count)
        if kind not in usable_by_kind:
            usable_by_kind[kind] = _usable(shape, *kind)
        usable = usable_by_kind[kind]
        if usable is None:
            continue
        used = load_by_engine.get(engine.id, NO_LOAD).token_layers
        per_layer = 1.0 / held.count
        if engine.slowness >= SLOW_ENGINE_SLOWNESS:
            per_layer /= engine.slowness
        sums = sums_by_range.setdefault((held.first, held.last), [0.0, 0.0])
        sums[0] += per_layer * usable
        sums[1] += per_layer * max(0.0, usable - used)
    total, free = [0.0] * shape.layers, [0.0] * shape.layers
    for (first, last), (total_of_layer, free_of_layer) in sums_by_range.items():
        for layer in range(max(0, first), min(shape.layers, last)):
            total[layer] += total_of_layer
            free[layer] += free_of_layer
    return Room(min(total, default=0.0), min(free, default=0.0))


def _usable(shape: ModelShape, accelerator_name: str, layers: int) -> float | None:
    """Return an engine's memory for requests in tokens x layers, None if unknown."""
    accelerator = shape.accelerators_by_name.get(accelerator_name)
    if accelerator is None or layers < 1:
        return None
    return room_for_requests(shape, accelerator, layers)


def room_by_domain(
    shape: ModelShape,
    engines: Iterable[PathEngine],
    load_by_engine: Mapping[str, Load],
) -> dict[str, Room]:
    """Return the room of each domain that its own engines give."""
    engines_by_domain: dict[str, list[PathEngine]] = {}
    for engine in engines:
        engines_by_domain.setdefault(engine.domain, []).append(engine)
    return {
        domain: fleet_room(shape, known, load_by_engine)
        for domain, known in engines_by_domain.items()
    }
