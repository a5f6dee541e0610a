"""The plan of one model: stages of engines, lanes through them, and weighted paths.

A range is a run of layers; the engines that hold it form a stage and differ only in
speed and failure domain. So the flow over ranges has the same bound as the flow over
groups by accelerator and domain, and the engine of a stage that runs a request is
selected by its present cost. Where hops of several widths (numbers of layers) run on a
range, its engines are divided among them into lanes, because a batch of mixed widths
takes as long as its widest member. Instances with the same view of the targets divide
them in the same way.
"""

from bisect import bisect_left
from collections.abc import Callable, Mapping, Sequence
from itertools import accumulate
from statistics import median_low

from attrs import frozen

from celeryfork_routing.bound import EngineCapacity, throughput_bound
from celeryfork_routing.engines import Engine, Lane, Stage, make_lane, make_stage
from celeryfork_routing.packing import Path, PathHop, Range, pack_paths

SLOWDOWN_STEPS = (2.0, 3.0, 4.0, 6.0, 10.0)  # Multiples of the median slowness.
MIN_SAMPLES = 4  # Measurements of an engine before its slowness counts.
MIN_ENGINES_TO_COMPARE = 2  # Measured engines of one range.
MIN_ENGINE_SHARE = 0.3  # Of an engine's capacity, for it to serve a lane.
# A queue is far longer than those of the stage if it exceeds the mean of the others
# times the factor, plus this number of the engine's batches.
LONG_QUEUE_FACTOR = 4.0
LONG_QUEUE_BATCHES = 5.0
MIN_PLANNED_SHARE = 0.125  # Of an engine's capacity, however long its queue is.

LatencyOf = Callable[[str, str], float]


@frozen
class RoutePath:
    """A path through the model: one lane for each hop, in order."""

    lanes: tuple[Lane, ...]


@frozen
class PathTable:
    """Paths with the cumulative flows by which they are drawn."""

    paths: tuple[RoutePath, ...]
    cumulative: tuple[float, ...]

    def draw(self, uniform: float) -> RoutePath:
        """Return the path at ``uniform``, a number in [0, 1)."""
        index = bisect_left(self.cumulative, uniform * self.cumulative[-1])
        return self.paths[min(index, len(self.paths) - 1)]


@frozen
class Plan:
    """The distribution of one model's requests over its engines.

    Parameters
    ----------
    bound_tokens_per_second
        Max-flow bound on the throughput, from the capacities learned so far.
    stages_by_range
        Stages by the range of layers that their engines hold.
    table
        Paths weighted by their flows; None if no engine holds some layer.
    """

    bound_tokens_per_second: float
    stages_by_range: Mapping[Range, Stage]
    table: PathTable | None


@frozen
class Draft:
    """The part of a plan that is slow to compute: the bound and the paths.

    Parameters
    ----------
    capacities_by_id
        Learned capacities by engine id.
    """

    capacities_by_id: Mapping[str, float]
    bound_tokens_per_second: float
    paths: tuple[Path, ...]


def learned_capacities(engines: Sequence[Engine]) -> dict[str, float]:
    """Return capacities by engine id, lowered for slow engines and planned shares.

    Engines are compared only with others that hold the same range: a chain's delay is
    ascribed to all of its engines, also where only one range of it is slow.
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
    """Lower the planned share of engines with far longer queues than their stage.

    An engine that is much slower than its nominal speed completes too few requests to
    learn from, but its queue grows. To be called every few seconds; a share recovers
    once the queue is short again.
    """
    members: dict[Range, list[Engine]] = {}
    for engine in engines:
        if engine.report is not None:
            members.setdefault(engine.held, []).append(engine)
    for stage_engines in members.values():
        total = sum(engine.queue for engine in stage_engines)
        for engine in stage_engines:
            mean_of_others = (total - engine.queue) / max(len(stage_engines) - 1, 1)
            _adjust_planned_share(
                engine, mean_of_others if len(stage_engines) > 1 else engine.queue
            )


def _adjust_planned_share(engine: Engine, mean_of_others: float) -> None:
    batch = engine.report.max_batch if engine.report is not None else 1
    if engine.queue > LONG_QUEUE_FACTOR * mean_of_others + LONG_QUEUE_BATCHES * batch:
        engine.planned_share = max(engine.planned_share / 2, MIN_PLANNED_SHARE)
    elif engine.queue <= mean_of_others + batch:
        engine.planned_share = min(engine.planned_share * 2, 1.0)


def _slowdown_factor(engine: Engine, known: Sequence[float]) -> float:
    """Return how many times slower an engine is than the median of its stage.

    The factor is rounded down to one of a few steps, so that instances with slightly
    different measurements agree on it.
    """
    if engine.samples < MIN_SAMPLES or len(known) < MIN_ENGINES_TO_COMPARE:
        return 1.0
    relative = engine.slowness / median_low(known)
    return max((s for s in SLOWDOWN_STEPS if s <= relative), default=1.0)


def draft_plan(engines: Sequence[Engine], layers: int) -> Draft:
    """Return the throughput bound and the paths for a model, without side effects."""
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
    """Return the plan of a draft: set the engines' capacities, form stages and lanes.

    No stream may begin or end on the engines meanwhile.
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
    """Return a lane for each hop, with its part of the stage's engines."""
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
    """Return for each piece of work its engines with their capacity for it.

    The engines are assigned in order. One on the border of two pieces serves each for
    which it has at least `MIN_ENGINE_SHARE` of its capacity, and always the one for
    which it has the most: a smaller part is not worth a batch of its own.
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
