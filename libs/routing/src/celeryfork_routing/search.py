"""Search for the cheapest chain over a gap of layers, where no planned path fits.

Used for recoveries, and while the plan is behind a change of the targets. It is a
shortest path over layer boundaries with a few engines of each group drawn at random, so
that instances that recover at the same time don't all choose the same engine.
"""

from collections.abc import Sequence
from random import Random

from attrs import define, frozen

from celeryfork_routing.engines import Engine
from celeryfork_routing.plan import LatencyOf

ENGINES_DRAWN_PER_GROUP = 3


@define(eq=False)
class Leg:
    """The layers ``[first, last)`` to run on one engine, inside the router.

    It refers to the router's state of the engine; the `Hop` made from it, which is
    handed to callers, refers to the engine's target.
    """

    engine: Engine
    first: int
    last: int


@frozen
class _PartialChain:
    """The cheapest sequence of engines found so far up to some layer boundary.

    It runs the layers from the start of the gap to that boundary.

    Parameters
    ----------
    domain
        Failure domain of the last engine.
    """

    cost_s: float
    legs: tuple[Leg, ...]
    domain: str


def cheapest_legs(
    engines: Sequence[Engine],
    gap: tuple[int, int],
    latency_s: LatencyOf,
    origin: str,
    random: Random,
) -> tuple[Leg, ...] | None:
    """Return the cheapest legs that cover each layer of the gap once, in order.

    Returns None if the engines don't cover it.

    Parameters
    ----------
    engines
        Engines that may be used.
    gap
        The layers ``[first, last)`` to cover.
    latency_s
        One-way latency between two failure domains, in seconds.
    origin
        Failure domain from which the activations arrive.
    random
        Source of randomness for the draw among engines of the same group: equal layers,
        accelerator and failure domain.
    """
    first, last = gap
    drawn_engines = _draw(engines, gap, random)
    cuts = {first, last}
    for engine in drawn_engines:
        engine_range = (engine.target.first_layer, engine.target.last_layer)
        cuts.update(cut for cut in engine_range if first < cut < last)
    boundaries = sorted(cuts)
    best: dict[int, _PartialChain] = {first: _PartialChain(0.0, (), origin)}
    for here in boundaries[:-1]:
        partial = best.get(here)
        if partial is None:
            continue
        for engine in drawn_engines:
            if engine.target.first_layer <= here < engine.target.last_layer:
                _extend(best, partial, engine, here, boundaries, latency_s)
    complete_chain = best.get(last)
    return None if complete_chain is None else complete_chain.legs


def _extend(
    best: dict[int, _PartialChain],
    partial: _PartialChain,
    engine: Engine,
    here: int,
    boundaries: Sequence[int],
    latency_s: LatencyOf,
) -> None:
    """Extend a partial chain by one engine from ``here`` to each boundary it reaches.

    ``best`` keeps the cheapest result for each boundary.
    """
    target = engine.target
    link_s = latency_s(partial.domain, target.domain)
    for there in boundaries:
        if not here < there <= target.last_layer:
            continue
        cost_s = partial.cost_s + link_s + engine.backlog_s(1.0, there - here)
        best_known = best.get(there)
        if best_known is None or cost_s < best_known.cost_s:
            legs = (*partial.legs, Leg(engine, here, there))
            best[there] = _PartialChain(cost_s, legs, target.domain)


def _draw(
    engines: Sequence[Engine], gap: tuple[int, int], random: Random
) -> list[Engine]:
    engines_by_key: dict[tuple[int, int, str, str], list[Engine]] = {}
    for engine in engines:
        target = engine.target
        if target.first_layer >= gap[1] or target.last_layer <= gap[0]:
            continue
        key = (
            target.first_layer,
            target.last_layer,
            target.accelerator,
            target.domain,
        )
        engines_by_key.setdefault(key, []).append(engine)
    drawn_engines: list[Engine] = []
    for group in engines_by_key.values():
        drawn_engines += random.sample(group, min(len(group), ENGINES_DRAWN_PER_GROUP))
    return drawn_engines
