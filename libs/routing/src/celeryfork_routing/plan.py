"""The plan of one model: stages of engines, lanes through them, and weighted paths.

Engines of one range differ only in speed and place, so that the flow over ranges has
the same bound as that over groups by accelerator and domain; who of a range gets a
request is decided by its present cost. Where a range runs hops of several widths, its
engines are dealt out to them in lanes, because a batch of mixed widths takes as long
as its widest. Instances with the same view deal alike.
"""

from bisect import bisect_left
from collections.abc import Callable, Mapping, Sequence
from itertools import accumulate
from statistics import median_low

from attrs import frozen

from celeryfork_routing.bound import EngineCapacity, throughput_bound
from celeryfork_routing.engines import Engine, Lane, Stage, make_lane, make_stage
from celeryfork_routing.packing import Path, PathHop, Range, pack_paths

SLOWDOWN_STEPS = (2.0, 3.0, 4.0, 6.0, 10.0)
MIN_SAMPLES = 4
MIN_ENGINES_TO_COMPARE = 2
MIN_ENGINE_SHARE = 0.3
LONG_QUEUE_FACTOR = 4.0
LONG_QUEUE_BATCHES = 5.0
MIN_PLANNED_SHARE = 0.125

LatencyOf = Callable[[str, str], float]


@frozen
class RoutePath:
    """A path: the lane of each hop."""

    lanes: tuple[Lane, ...]


@frozen
class PathTable:
    """Paths to draw from by weight."""

    paths: tuple[RoutePath, ...]
    cumulative: tuple[float, ...]

    def draw(self, uniform: float) -> RoutePath:
        """Return the path at ``uniform``, a number in [0, 1)."""
        index = bisect_left(self.cumulative, uniform * self.cumulative[-1])
        return self.paths[min(index, len(self.paths) - 1)]


@frozen
class Plan:
    """How the requests of one model are spread over its engines.

    Parameters
    ----------
    bound_tokens_per_second
        The max-flow bound, from capacities as learned so far.
    stages_by_range
        The engines by the layers they hold.
    table
        Paths by their flows; None if some layer is not held.
    """

    bound_tokens_per_second: float
    stages_by_range: Mapping[Range, Stage]
    table: PathTable | None


@frozen
class Draft:
    """The slow part of a plan: the bound and paths for learned capacities."""

    capacities_by_id: Mapping[str, float]
    bound_tokens_per_second: float
    paths: tuple[Path, ...]


def learned_capacities(engines: Sequence[Engine]) -> dict[str, float]:
    """Return capacities by id, lower for engines much slower than others like them.

    Engines are compared within their range, because chains over one range may wait
    longer at others than expected.
    """
    known_by_range: dict[Range, list[float]] = {}
    for engine in engines:
        if engine.samples >= MIN_SAMPLES:
            known_by_range.setdefault(engine.held, []).append(engine.slowness)
    return {
        engine.target.id: engine.nominal_capacity
        * engine.planned_share
        / _slowdown_factor(engine, known_by_range.get(engine.held, []))
        for engine in engines
    }


def adjust_planned_shares(engines: Sequence[Engine]) -> None:
    """Plan with less of engines whose queue stands out in their range.

    An engine that is much slower than it says finishes little to learn from, but its
    queue shows. Call it every few seconds.
    """
    members: dict[Range, list[Engine]] = {}
    for engine in engines:
        if engine.report is not None:
            members.setdefault(engine.held, []).append(engine)
    for alike in members.values():
        total = sum(engine.queue for engine in alike)
        for engine in alike:
            others = (total - engine.queue) / max(len(alike) - 1, 1)
            _adjust_planned_share(engine, others if len(alike) > 1 else engine.queue)


def _adjust_planned_share(engine: Engine, others: float) -> None:
    batch = engine.report.max_batch if engine.report is not None else 1
    if engine.queue > LONG_QUEUE_FACTOR * others + LONG_QUEUE_BATCHES * batch:
        engine.planned_share = max(engine.planned_share / 2, MIN_PLANNED_SHARE)
    elif engine.queue <= others + batch:
        engine.planned_share = min(engine.planned_share * 2, 1.0)


def _slowdown_factor(engine: Engine, known: Sequence[float]) -> float:
    """Return by how much an engine is slower, in steps on which instances agree."""
    if engine.samples < MIN_SAMPLES or len(known) < MIN_ENGINES_TO_COMPARE:
        return 1.0
    relative = engine.slowness / median_low(known)
    return max((s for s in SLOWDOWN_STEPS if s <= relative), default=1.0)


def draft_plan(engines: Sequence[Engine], layers: int) -> Draft:
    """Return the bound and paths for a model; changes nothing."""
    capacities_by_id = learned_capacities(engines)
    capacity_by_range: dict[Range, float] = {}
    for engine in sorted(engines, key=lambda e: e.target.id):
        capacity = capacities_by_id[engine.target.id]
        held = engine.held
        capacity_by_range[held] = capacity_by_range.get(held, 0.0) + capacity
    bound = throughput_bound(
        [
            EngineCapacity("", first, last, "", "", capacity / (last - first))
            for (first, last), capacity in capacity_by_range.items()
        ],
        layers,
    )
    paths = pack_paths(dict(sorted(capacity_by_range.items())), layers)
    return Draft(capacities_by_id, bound.tokens_per_second, paths)


def finish_plan(
    draft: Draft, engines: Sequence[Engine], latency_s: LatencyOf, origin: str
) -> Plan:
    """Put learned capacities into the engines, and the engines into stages and lanes.

    Nothing may be counted in or out of the engines meanwhile.
    """
    members: dict[Range, list[Engine]] = {}
    for engine in sorted(engines, key=lambda e: e.target.id):
        engine.capacity = draft.capacities_by_id[engine.target.id]
        members.setdefault(engine.held, []).append(engine)
    stages_by_range = {
        held: make_stage(*held, engines) for held, engines in members.items()
    }
    if not draft.paths:
        return Plan(draft.bound_tokens_per_second, stages_by_range, None)
    lanes_by_hop = _make_lanes(draft.paths, stages_by_range, latency_s, origin)
    routes = tuple(
        RoutePath(tuple(lanes_by_hop[hop] for hop in path.hops)) for path in draft.paths
    )
    cumulative = tuple(accumulate(path.flow for path in draft.paths))
    table = PathTable(routes, cumulative)
    return Plan(draft.bound_tokens_per_second, stages_by_range, table)


def _make_lanes(
    paths: Sequence[Path],
    stages_by_range: Mapping[Range, Stage],
    latency_s: LatencyOf,
    origin: str,
) -> dict[PathHop, Lane]:
    """Deal each stage's engines out to the hops that run on it."""
    work_by_hop: dict[PathHop, float] = {}
    for path in paths:
        for hop in path.hops:
            work = path.flow * (hop.last - hop.first)
            work_by_hop[hop] = work_by_hop.get(hop, 0.0) + work
    lanes_by_hop: dict[PathHop, Lane] = {}
    for held, stage in stages_by_range.items():
        hops = sorted(
            (hop for hop in work_by_hop if hop.held == held),
            key=lambda hop: (hop.first - hop.last, hop.first),
        )
        assigned = _assign_engines(stage.engines, [work_by_hop[hop] for hop in hops])
        for hop, parts in zip(hops, assigned, strict=True):
            lanes_by_hop[hop] = make_lane(
                stage, hop.first, hop.last, parts, latency_s, origin
            )
    return lanes_by_hop


def _assign_engines(
    engines: Sequence[Engine], work: Sequence[float]
) -> list[list[tuple[Engine, float]]]:
    """Return for each piece of work the engines, with the capacity for it, in turn.

    An engine between two pieces serves both only where each part is worth a batch.
    """
    if not work:
        return []
    scale = sum(engine.capacity for engine in engines) / sum(work)
    ends = list(accumulate(piece * scale for piece in work))
    assigned: list[list[tuple[Engine, float]]] = [[] for _ in work]
    reached = 0.0
    for engine in engines:
        parts = [
            _overlap(begin, end, reached, reached + engine.capacity)
            for begin, end in zip([0.0, *ends], ends, strict=False)
        ]
        reached += engine.capacity
        largest = max(parts)
        for index, part in enumerate(parts):
            if part == largest or part >= MIN_ENGINE_SHARE * engine.capacity:
                assigned[index].append((engine, part))
    for parts_of_piece, piece in zip(assigned, work, strict=True):
        if not parts_of_piece:
            parts_of_piece += [(engine, piece) for engine in engines]
    return assigned


def _overlap(begin: float, end: float, first: float, last: float) -> float:
    return max(min(end, last) - max(begin, first), 0.0)
