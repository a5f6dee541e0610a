"""Layers whose last holder in a cell was lost: who takes them over.

First the engines beside the gap grow over it, loading only what they lack. If they are
too small for it, an engine whose layers others hold as well moves there; where there is
no such engine, the neighbours of the smallest one grow over its layers, so that it can
move next. As a last resort engines shift one after the other towards the gap.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence

from attrs import evolve, frozen

from celeryfork_routing.layers import LayerRange, ModelShape, most_layers

LEAST_ROOM_TOKENS = 5_000
"""Room that an engine keeps when it takes over layers of a lost one, in tokens."""


@frozen
class PlacedEngine:
    """An engine as far as placement is concerned.

    Parameters
    ----------
    held
        Layers that it holds or is loading, None for an empty engine.
    lost
        It is listed, and doesn't answer.
    """

    id: str
    domain: str
    accelerator: str
    held: LayerRange | None
    lost: bool = False


def fill_gaps(
    shape: ModelShape,
    holders: Sequence[PlacedEngine],
    loading: Iterable[LayerRange],
    counts_by_accelerator: Mapping[str, int],
) -> dict[str, LayerRange]:
    """Return the layers that engines of one cell should hold to close its gaps.

    Parameters
    ----------
    holders
        Engines that live and hold layers.
    loading
        Ranges that empty engines are about to load.
    counts_by_accelerator
        Layers that an engine takes at first, by its accelerator.
    """
    counts = count_holders(shape, holders, loading)
    grown: dict[str, LayerRange] = {}
    for gap in _gaps(counts):
        grown.update(_grow_over(shape, _after(holders, grown), gap, counts))
    left = _gaps(count_holders(shape, _after(holders, grown), loading))
    if grown or not left:
        return grown
    free = [each for each in holders if _is_free(each, counts)]
    if free:
        mover = min(free, key=lambda each: (_count(each), each.id))
        count = max(counts_by_accelerator.get(mover.accelerator, 0), _count(mover))
        return {mover.id: _range_over(left[0], count, shape.layers)}
    for smallest in sorted(holders, key=lambda each: (_count(each), each.id)):
        others = [each for each in holders if each.id != smallest.id]
        if smallest.held is None:
            continue
        freed = _grow_over(shape, others, smallest.held, [0] * shape.layers)
        if _covers(freed.values(), smallest.held):
            return freed
    return _push(shape, holders, left[0])


def count_holders(
    shape: ModelShape,
    holders: Iterable[PlacedEngine],
    loading: Iterable[LayerRange] = (),
) -> list[int]:
    """Return how many engines hold or load each layer."""
    counts = [0] * shape.layers
    held = [each.held for each in holders if each.held is not None]
    for layers in [*held, *loading]:
        for layer in range(max(0, layers.first), min(shape.layers, layers.last)):
            counts[layer] += 1
    return counts


def _grow_over(
    shape: ModelShape,
    holders: Sequence[PlacedEngine],
    gap: LayerRange,
    counts: Sequence[int],
) -> dict[str, LayerRange]:
    """Return the two engines beside ``gap`` as they grow over it.

    A full engine gives up layers at its other end that others hold as well.
    """

    def spare(engine: PlacedEngine) -> int:
        return _spare_layers(shape, engine) + _shared(engine, gap, counts)

    before = _roomiest([each for each in holders if _ends_at(each, gap.first)], spare)
    after = _roomiest([each for each in holders if _begins_at(each, gap.last)], spare)
    spare_before = spare(before) if before is not None else 0
    spare_after = spare(after) if after is not None else 0
    grown: dict[str, LayerRange] = {}
    taken = min(spare_before, _share(gap.count, spare_before, spare_after))
    if before is not None and before.held is not None and taken:
        given_up = max(0, taken - _spare_layers(shape, before))
        grown[before.id] = LayerRange(before.held.first + given_up, gap.first + taken)
    rest = min(spare_after, gap.count - taken)
    if after is not None and after.held is not None and rest:
        given_up = max(0, rest - _spare_layers(shape, after))
        grown[after.id] = LayerRange(gap.last - rest, after.held.last - given_up)
    return grown


def _shared(engine: PlacedEngine, gap: LayerRange, counts: Sequence[int]) -> int:
    """Return how many layers at the end away from ``gap`` others hold as well."""
    held = engine.held
    if held is None:
        return 0
    layers = list(range(held.first, held.last))
    if held.first >= gap.last:
        layers.reverse()
    shared = 0
    for layer in layers[:-1]:
        if counts[layer] < 2:
            break
        shared += 1
    return shared


def _push(
    shape: ModelShape, holders: Sequence[PlacedEngine], gap: LayerRange
) -> dict[str, LayerRange]:
    """Return the nearest engine with memory left as it grows towards ``gap``.

    Its neighbour shares layers with it afterwards and can move on by as many.
    """
    roomy = [
        each
        for each in holders
        if each.held is not None and _spare_layers(shape, each) > 0
    ]
    if not roomy:
        return {}
    nearest = min(roomy, key=lambda each: (_distance(each, gap), each.id))
    held = nearest.held
    if held is None:
        return {}
    spare = min(_spare_layers(shape, nearest), gap.count)
    if held.first >= gap.last:
        return {nearest.id: LayerRange(max(0, held.first - spare), held.last)}
    last = min(shape.layers, held.last + spare)
    return {nearest.id: LayerRange(held.first, last)}


def _distance(engine: PlacedEngine, gap: LayerRange) -> int:
    held = engine.held
    if held is None:
        return 0
    return max(held.first - gap.last, gap.first - held.last)


def _share(count: int, spare: int, other_spare: int) -> int:
    total = spare + other_spare
    return round(count * spare / total) if total else 0


def _gaps(counts: Sequence[int]) -> list[LayerRange]:
    """Return the ranges without a holder, unless that is all layers."""
    gaps: list[LayerRange] = []
    first: int | None = None
    for layer, held in enumerate([*counts, 1]):
        if held == 0 and first is None:
            first = layer
        elif held > 0 and first is not None:
            gaps.append(LayerRange(first, layer))
            first = None
    return [gap for gap in gaps if gap.count < len(counts)]


def _after(
    holders: Sequence[PlacedEngine], grown: Mapping[str, LayerRange]
) -> list[PlacedEngine]:
    return [evolve(each, held=grown.get(each.id, each.held)) for each in holders]


def _ends_at(engine: PlacedEngine, layer: int) -> bool:
    return engine.held is not None and engine.held.first < layer == engine.held.last


def _begins_at(engine: PlacedEngine, layer: int) -> bool:
    return engine.held is not None and engine.held.first == layer < engine.held.last


def _roomiest(
    engines: Sequence[PlacedEngine], spare: Callable[[PlacedEngine], int]
) -> PlacedEngine | None:
    return max(engines, key=lambda each: (spare(each), each.id), default=None)


def _spare_layers(shape: ModelShape, engine: PlacedEngine) -> int:
    accelerator = shape.accelerators_by_name[engine.accelerator]
    most = most_layers(shape, accelerator, LEAST_ROOM_TOKENS)
    return max(0, most - _count(engine))


def _count(engine: PlacedEngine) -> int:
    return engine.held.count if engine.held is not None else 0


def _is_free(engine: PlacedEngine, counts: Sequence[int]) -> bool:
    held = engine.held
    return held is not None and all(n > 1 for n in counts[held.first : held.last])


def _covers(ranges: Iterable[LayerRange], wanted: LayerRange) -> bool:
    covered = {layer for each in ranges for layer in range(each.first, each.last)}
    return covered >= set(range(wanted.first, wanted.last))


def _range_over(gap: LayerRange, count: int, layers: int) -> LayerRange:
    """Return ``count`` layers that cover ``gap`` or its first part."""
    first = min(max(0, gap.first - max(0, count - gap.count) // 2), layers - count)
    return LayerRange(first, first + count)
