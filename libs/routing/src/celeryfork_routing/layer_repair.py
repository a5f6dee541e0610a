"""Reassignment of layers that no engine of a cell holds since engines were lost.

First, engines whose layers are all held by others as well are moved to the gap. If they
don't suffice, the gap is divided among the engines around it: as many on either side as
have the memory for it together. Their new ranges are close to the old ones, so that
they load only the layers that they lack.
"""

from collections.abc import Iterable, Mapping, Sequence
from enum import Enum

from attrs import evolve, frozen

from celeryfork_routing.layers import LayerRange, ModelShape


class Repair(Enum):
    """The changes allowed on engines that hold layers in order to fill a gap."""

    NONE = "none"
    MOVE = "move"
    """Engines whose layers are all held by others as well may load other layers."""
    SHIFT = "shift"
    """As MOVE; also, engines around a gap may give up layers that others take over."""


@frozen
class PlacedEngine:
    """The state of an engine that placement needs.

    Parameters
    ----------
    held
        Layers that the engine holds or is loading, None if it is empty.
    lost
        True if the engine is registered but doesn't answer.
    loading
        True while the engine executes an order to load layers.
    """

    id: str
    domain: str
    accelerator: str
    held: LayerRange | None
    lost: bool = False
    loading: bool = False


@frozen
class _Holder:
    """A live engine that holds layers, and the maximum number that it should hold."""

    id: str
    held: LayerRange
    max_layers: int

    @property
    def spare(self) -> int:
        """Number of layers that the engine can hold in addition."""
        return max(0, self.max_layers - self.held.count)


def fill_gaps(
    shape: ModelShape,
    engines: Sequence[PlacedEngine],
    newly_placed: Iterable[LayerRange],
    max_layers_by_accelerator: Mapping[str, int],
    repair: Repair,
) -> dict[str, LayerRange]:
    """Return the layers that engines of a cell should hold to fill its gaps, by id.

    Parameters
    ----------
    engines
        Live engines of the cell.
    newly_placed
        Ranges that empty engines are about to load.
    max_layers_by_accelerator
        Maximum number of layers that an engine should hold, by accelerator.
    """
    if any(each.loading for each in engines):
        return {}
    new_ranges = list(newly_placed)
    holders = {
        each.id: _Holder(
            each.id, each.held, max_layers_by_accelerator.get(each.accelerator, 0)
        )
        for each in engines
        if each.held is not None
    }
    changes: dict[str, LayerRange] = {}
    for _ in range(len(holders)):
        counts = _count_holders(
            shape, [*(h.held for h in holders.values()), *new_ranges]
        )
        gap = _first_gap(counts)
        if gap is None:
            break
        step = _repair_step(shape, list(holders.values()), counts, gap, repair)
        if not step:
            break
        changes.update(step)
        for engine_id, layers in step.items():
            holders[engine_id] = evolve(holders[engine_id], held=layers)
    return changes


def _repair_step(
    shape: ModelShape,
    holders: Sequence[_Holder],
    counts: Sequence[int],
    gap: LayerRange,
    repair: Repair,
) -> dict[str, LayerRange]:
    """Return the changes of one step towards filling ``gap``, empty if none help."""
    redundant_holders = [
        each for each in holders if each.max_layers and _is_redundant(each, counts)
    ]
    if redundant_holders:
        mover = min(
            redundant_holders,
            key=lambda each: (abs(each.max_layers - gap.count), each.id),
        )
        return {mover.id: _range_over(gap, mover.max_layers, shape.layers)}
    if repair is not Repair.SHIFT:
        return {}
    members, span = _engines_around(holders, gap)
    return _divide(members, span)


def _count_holders(shape: ModelShape, ranges: Iterable[LayerRange]) -> list[int]:
    counts = [0] * shape.layers
    for held in ranges:
        for layer in range(max(0, held.first), min(shape.layers, held.last)):
            counts[layer] += 1
    return counts


def _first_gap(counts: Sequence[int]) -> LayerRange | None:
    """Return the first range without a holder, None if there is no gap or no holder."""
    if 0 not in counts:
        return None
    first = counts.index(0)
    last = first
    while last < len(counts) and counts[last] == 0:
        last += 1
    return LayerRange(first, last) if last - first < len(counts) else None


def _is_redundant(holder: _Holder, counts: Sequence[int]) -> bool:
    """Return True if other engines hold all layers of this one as well."""
    held = holder.held
    return all(number > 1 for number in counts[held.first : held.last])


def _range_over(gap: LayerRange, count: int, layers: int) -> LayerRange:
    """Return ``count`` layers with ``gap`` in the middle, or its first layers."""
    before = max(0, count - gap.count) // 2
    first = min(max(0, gap.first - before), layers - count)
    return LayerRange(first, first + count)


def _engines_around(
    holders: Sequence[_Holder], gap: LayerRange
) -> tuple[list[_Holder], LayerRange]:
    """Return the nearest engines that can hold the gap and their own layers together.

    The second value is the range of all these layers. The engines hold adjacent ranges;
    if even all adjacent ones can't hold it, these are returned nevertheless.
    """
    members: list[_Holder] = []
    span = gap
    while sum(each.max_layers for each in members) < span.count:
        before = [each for each in holders if each.held.last == span.first]
        after = [each for each in holders if each.held.first == span.last]
        adjacent = [each for each in [*before, *after] if each not in members]
        if not adjacent:
            break
        chosen = max(adjacent, key=lambda each: (each.spare, each.id))
        if chosen.held.last == span.first:
            members.insert(0, chosen)
            span = LayerRange(chosen.held.first, span.last)
        else:
            members.append(chosen)
            span = LayerRange(span.first, chosen.held.last)
    return members, span


def _divide(members: Sequence[_Holder], span: LayerRange) -> dict[str, LayerRange]:
    """Return adjacent ranges over ``span`` in proportion to each engine's maximum.

    Engines whose range stays the same are left out. The result is empty if no engine
    has memory for layers beside that for requests.
    """
    total = sum(each.max_layers for each in members)
    if total == 0:
        return {}
    ranges: dict[str, LayerRange] = {}
    first, max_layers_so_far = span.first, 0
    for each in members:
        max_layers_so_far += each.max_layers
        share = span.count * max_layers_so_far / total
        last = span.first + round(min(share, max_layers_so_far))
        if LayerRange(first, last) != each.held and last > first:
            ranges[each.id] = LayerRange(first, last)
        first = last
    return ranges
