"""Replacement of the lost engines of a path whose first engine is live.

The live engines keep their layers and their KV cache; only the new engines have to
prefill the tokens so far. So a detour uses engines in the domains of the parts before
and after the lost one only.
"""

from collections.abc import Container, Mapping, Sequence

from celeryfork_routing.engine_loads import LayerPath, Load, Part
from celeryfork_routing.layer_paths import (
    CROSSING_MS,
    MAX_PARTS,
    Candidate,
    PathEngine,
    PathRequest,
    to_candidate,
)
from celeryfork_routing.layers import LayerRange, ModelShape


def find_detour(
    shape: ModelShape,
    path: LayerPath,
    lost: Container[str],
    engines: Sequence[PathEngine],
    load_by_engine: Mapping[str, Load],
    request: PathRequest,
) -> LayerPath | None:
    """Return ``path`` with the lost engines replaced, None if that isn't possible.

    Parameters
    ----------
    lost
        Ids of the engines that are not live.
    engines
        Possible replacements; engines of the path itself are ignored.
    """
    parts = path.parts
    if parts[0].engine_id in lost:
        return None
    candidates = [
        found
        for engine in engines
        if engine.id not in path.engine_ids
        and (found := to_candidate(shape, engine, load_by_engine, request))
    ]
    new_parts: list[Part] = []
    for index, part in enumerate(parts):
        if part.engine_id not in lost:
            new_parts.append(part)
            continue
        following = parts[index + 1] if index + 1 < len(parts) else None
        replacement = _replace_part(
            shape, part.layers, new_parts, following, candidates, request
        )
        if replacement is None:
            return None
        new_parts.extend(replacement)
    if len(new_parts) > MAX_PARTS:
        return None
    return LayerPath(tuple(new_parts), path.predicted_ms)


def _replace_part(
    shape: ModelShape,
    gap: LayerRange,
    before: Sequence[Part],
    following: Part | None,
    candidates: Sequence[Candidate],
    request: PathRequest,
) -> tuple[Part, ...] | None:
    """Return the cheapest parts that run the layers of ``gap``, None if none do.

    Parameters
    ----------
    before, following
        Parts before the gap, and the one after it, None at the end of the path.
    """
    domains = {before[-1].domain, (following or before[-1]).domain}
    used_before = {part.engine_id for part in before}
    fitting = [
        each
        for each in candidates
        if each.engine.domain in domains
        and each.engine.id not in used_before
        and each.engine.held.overlap(gap)
    ]
    points = _boundaries(gap, fitting)
    best: dict[int, tuple[float, tuple[Part, ...]]] = {gap.first: (0.0, ())}
    for point in points:
        if point not in best:
            continue
        cost_ms, so_far = best[point]
        last = so_far[-1] if so_far else before[-1]
        used = {part.engine_id for part in so_far}
        for each in fitting:
            engine = each.engine
            if not engine.held.first <= point < engine.held.last or engine.id in used:
                continue
            reach = min(engine.held.last, point + each.max_layers)
            hop_ms = request.answer_tokens * shape.delay_ms(last.domain, engine.domain)
            if engine.domain != last.domain:
                hop_ms += CROSSING_MS
            for end in points:
                if not point < end <= reach:
                    continue
                total_ms = cost_ms + hop_ms + (end - point) * each.layer_ms
                if end not in best or total_ms < best[end][0]:
                    layers = LayerRange(point, end)
                    part = Part(engine.id, engine.address, layers, engine.domain)
                    best[end] = (total_ms, (*so_far, part))
    cheapest = best.get(gap.last)
    return cheapest[1] if cheapest else None


def _boundaries(gap: LayerRange, fitting: Sequence[Candidate]) -> list[int]:
    """Return the layers at which a part may end or begin, including both ends."""
    held = [each.engine.held for each in fitting]
    points = {gap.first, gap.last, *(h.first for h in held), *(h.last for h in held)}
    return sorted(point for point in points if gap.first <= point <= gap.last)
