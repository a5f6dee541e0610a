"""Placement of a model's layers on engines.

Each failure domain that can hold a whole copy of the model is a cell with a copy of its
own, so that it can still serve requests when it is cut off; the other domains together
form one cell. Within a cell, ranges of layers are assigned to the empty engines one
after the other, the fastest first, each range where the cell has the least room for
requests.
"""

from collections.abc import Iterable, Mapping, Sequence

from celeryfork_routing.layer_repair import PlacedEngine, Repair, fill_gaps
from celeryfork_routing.layers import (
    LayerRange,
    ModelShape,
    max_layers,
    room_for_requests,
)

ROOM_STEPS_TOKENS = (
    72_000, 64_000, 56_000, 48_000, 40_000, 34_000, 28_000, 24_000, 20_000, 16_000,
    12_000, 8_000, 5_000, 3_000, 2_000, 1_000,
)  # fmt: skip
"""Sizes of the room for requests on each engine that are tried, in tokens, the largest
first."""
TARGET_COPIES = 1.15
"""Copies of the model that a cell should hold: over 1, so that an engine or two can be
moved to fill a gap."""
MAX_LOST_SHARE = 0.5
"""Share of lost engines above which a cell counts as cut off, and isn't repaired."""


def plan_placement(
    shape: ModelShape, engines: Sequence[PlacedEngine], repair: Repair = Repair.SHIFT
) -> dict[str, LayerRange]:
    """Return the layers that engines should load, by engine id.

    Engines that should keep their layers are left out.

    Parameters
    ----------
    repair
        Changes allowed on engines that hold layers. Layers are shifted in one cell at a
        time, and only while no engine is loading.
    """
    configured_engines = [
        engine for engine in engines if shape.accelerator(engine.accelerator)
    ]
    planned_ranges: dict[str, LayerRange] = {}
    for cell in cells(shape, configured_engines):
        planned_ranges.update(_plan_cell(shape, cell))
        if repair is not Repair.NONE:
            planned_ranges.update(
                _repair_cell(shape, cell, planned_ranges, Repair.MOVE)
            )
    if planned_ranges or repair is not Repair.SHIFT:
        return planned_ranges
    for cell in cells(shape, configured_engines):
        shifted_ranges = _repair_cell(shape, cell, {}, Repair.SHIFT)
        if shifted_ranges and not any(engine.loading for engine in configured_engines):
            return shifted_ranges
    return {}


def cells(
    shape: ModelShape, engines: Sequence[PlacedEngine]
) -> list[list[PlacedEngine]]:
    """Return the engines grouped into cells that can each hold the whole model.

    If even all engines together can't hold it, they form one cell.
    """
    by_domain: dict[str, list[PlacedEngine]] = {}
    for engine in engines:
        by_domain.setdefault(engine.domain, []).append(engine)
    cells_with_copy, other_engines = [], []
    for domain in sorted(by_domain):
        if _room_step(shape, by_domain[domain]) is not None:
            cells_with_copy.append(by_domain[domain])
        else:
            other_engines.extend(by_domain[domain])
    if other_engines and _room_step(shape, other_engines) is None and cells_with_copy:
        cells_with_copy[0] = cells_with_copy[0] + other_engines
        return cells_with_copy
    return [*cells_with_copy, other_engines] if other_engines else cells_with_copy


def can_hold_model(shape: ModelShape, engines: Sequence[PlacedEngine]) -> bool:
    """Return True if the engines that aren't lost can hold the whole model."""
    present_engines = [engine for engine in engines if not engine.lost]
    return _room_step(shape, present_engines) is not None


def layer_counts(shape: ModelShape, cell: Sequence[PlacedEngine]) -> dict[str, int]:
    """Return how many layers each engine of a cell should hold, by its accelerator."""
    return _counts_at(shape, cell, _target_room(shape, cell))


def _repair_cell(
    shape: ModelShape,
    cell: Sequence[PlacedEngine],
    planned: Mapping[str, LayerRange],
    repair: Repair,
) -> dict[str, LayerRange]:
    """Return the layers that engines of a cell should load to fill its gaps."""
    lost_count = sum(engine.lost for engine in cell)
    if lost_count > MAX_LOST_SHARE * len(cell):
        return {}
    present_engines = [engine for engine in cell if not engine.lost]
    room = _room_step(shape, present_engines) or ROOM_STEPS_TOKENS[-1]
    max_layers_by_accelerator = _counts_at(shape, present_engines, room)
    newly_placed = [planned[each.id] for each in present_engines if each.id in planned]
    return fill_gaps(
        shape, present_engines, newly_placed, max_layers_by_accelerator, repair
    )


def _plan_cell(
    shape: ModelShape, cell: Sequence[PlacedEngine]
) -> dict[str, LayerRange]:
    target_room = _target_room(shape, cell)
    counts_by_accelerator = _counts_at(shape, cell, target_room)
    present_engines = [engine for engine in cell if not engine.lost]
    copies_by_layer = [0.0] * shape.layers
    for engine in present_engines:
        if engine.held is not None:
            _add_copies(
                copies_by_layer,
                engine.held,
                _copy_weight(shape, engine, engine.held, target_room),
            )
    planned_ranges: dict[str, LayerRange] = {}
    empty_engines = [
        each for each in present_engines if each.held is None and not each.loading
    ]
    for engine in sorted(empty_engines, key=lambda each: _speed_key(shape, each)):
        count = counts_by_accelerator[engine.accelerator]
        if count < 1:
            continue
        planned_ranges[engine.id] = scarcest_range(copies_by_layer, count)
        _add_copies(copies_by_layer, planned_ranges[engine.id], 1.0)
    return planned_ranges


def scarcest_range(copies: Sequence[float], count: int) -> LayerRange:
    """Return the range of ``count`` layers with the fewest copies.

    Parameters
    ----------
    copies
        Number of copies of each layer; a copy with little room for requests counts as a
        fraction.
    """
    weights = [1.0 / (1 + held) ** 2 for held in copies]
    total = best = sum(weights[:count])
    best_first = 0
    for first in range(1, len(copies) - count + 1):
        total += weights[first + count - 1] - weights[first - 1]
        if total > best + 1e-9:
            best, best_first = total, first
    return LayerRange(best_first, best_first + count)


def _copy_weight(
    shape: ModelShape, engine: PlacedEngine, held: LayerRange, target_room: float
) -> float:
    """Return the weight of an engine's copy of its layers, by its room for requests."""
    accelerator = shape.accelerators_by_name[engine.accelerator]
    room = room_for_requests(shape, accelerator, held.count) / max(1, held.count)
    return min(1.0, max(0.05, room / target_room))


def _target_room(shape: ModelShape, cell: Sequence[PlacedEngine]) -> int:
    """Return the room for requests that a cell's engines should keep, in tokens."""
    return (
        _room_step(shape, cell, TARGET_COPIES)
        or _room_step(shape, cell)
        or ROOM_STEPS_TOKENS[-1]
    )


def _room_step(
    shape: ModelShape, cell: Sequence[PlacedEngine], copies: float = 1.0
) -> int | None:
    """Return the largest room in tokens beside which a cell holds ``copies`` copies.

    None if even the smallest room is too large.
    """
    for room in ROOM_STEPS_TOKENS:
        counts = _counts_at(shape, cell, room)
        if sum(counts[engine.accelerator] for engine in cell) >= copies * shape.layers:
            return room
    return None


def _counts_at(
    shape: ModelShape, cell: Iterable[PlacedEngine], room: int
) -> dict[str, int]:
    """Return how many layers fit on an engine, by accelerator.

    Parameters
    ----------
    room
        Room for requests to keep on the engine, in tokens.
    """
    counts: dict[str, int] = {}
    for engine in cell:
        accelerator = shape.accelerator(engine.accelerator)
        if accelerator is not None and engine.accelerator not in counts:
            counts[engine.accelerator] = max_layers(shape, accelerator, room)
    return counts


def _speed_key(shape: ModelShape, engine: PlacedEngine) -> tuple[float, str]:
    accelerator = shape.accelerators_by_name[engine.accelerator]
    return accelerator.step_factor, engine.id


def _add_copies(copies: list[float], held: LayerRange, weight: float) -> None:
    for layer in range(max(0, held.first), min(len(copies), held.last)):
        copies[layer] += weight
