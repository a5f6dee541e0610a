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
    total, free = [0.0] * shape.layers, [0.0] * shape.layers
    for engine in engines:
        accelerator = shape.accelerators_by_name.get(engine.accelerator)
        held = engine.held
        if accelerator is None or held.count < 1:
            continue
        usable = room_for_requests(shape, accelerator, held.count)
        used = load_by_engine.get(engine.id, NO_LOAD).token_layers
        speed = 1.0
        if engine.slowness >= SLOW_ENGINE_SLOWNESS:
            speed = 1.0 / engine.slowness
        total_of_layer = speed * usable / held.count
        free_of_layer = speed * max(0.0, usable - used) / held.count
        for layer in range(max(0, held.first), min(shape.layers, held.last)):
            total[layer] += total_of_layer
            free[layer] += free_of_layer
    return Room(min(total, default=0.0), min(free, default=0.0))


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
