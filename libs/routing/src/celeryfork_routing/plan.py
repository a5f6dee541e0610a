"""The plan of one model: stages of engines, and weighted paths over the stages."""

from bisect import bisect_left
from collections.abc import Callable, Mapping, Sequence
from itertools import accumulate
from statistics import median

from attrs import frozen

from celeryfork_routing.bound import BoundResult, EngineCapacity, throughput_bound
from celeryfork_routing.engines import Engine, Stage, make_stage
from celeryfork_routing.paths import Path, make_paths

SLOW_FROM = 1.5
MOST_SLOWNESS = 10.0
LEAST_SAMPLES = 8
CLOSE_LATENCY_S = 0.002

LatencyOf = Callable[[str, str], float]
Range = tuple[int, int]


@frozen
class RoutePath:
    """A path: stage, first layer and last layer of each hop."""

    hops: tuple[tuple[Stage, int, int], ...]


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
    bound
        The most tokens a second, from capacities as learned so far.
    stages_by_range
        The engines by the layers they hold.
    table
        Paths by the weights of the max-flow; None if some layer is not held.
    """

    bound: BoundResult
    stages_by_range: Mapping[Range, Stage]
    table: PathTable | None


@frozen
class Draft:
    """The slow part of a plan: the bound and paths for learned capacities."""

    capacities_by_id: Mapping[str, float]
    bound: BoundResult
    paths: tuple[Path, ...]


def draft_plan(engines: Sequence[Engine], layers: int) -> Draft:
    """Return the bound and paths for a model; changes nothing.

    Engines of one range differ only in speed and place, so that the flow over ranges
    has the same bound as that over groups by accelerator and domain; who of a range
    gets a request is then decided by its present cost.
    """
    capacities_by_id = _learned_capacities(engines)
    capacity_by_range: dict[Range, float] = {}
    for engine in engines:
        held = (engine.target.first_layer, engine.target.last_layer)
        capacity = capacities_by_id[engine.target.id]
        capacity_by_range[held] = capacity_by_range.get(held, 0.0) + capacity
    bound = throughput_bound(
        [
            EngineCapacity("", first, last, "", "", capacity / (last - first))
            for (first, last), capacity in capacity_by_range.items()
        ],
        layers,
    )
    return Draft(capacities_by_id, bound, make_paths(bound.segments))


def finish_plan(
    draft: Draft, engines: Sequence[Engine], latency_s: LatencyOf, origin: str
) -> Plan:
    """Put learned capacities into the engines and the engines into stages.

    Nothing may be counted in or out of the engines meanwhile.
    """
    for engine in engines:
        engine.capacity = draft.capacities_by_id[engine.target.id]
    stages_by_range = _make_stages(engines, latency_s, origin)
    table = _make_table(draft.paths, stages_by_range) if draft.paths else None
    return Plan(draft.bound, stages_by_range, table)


def _learned_capacities(engines: Sequence[Engine]) -> dict[str, float]:
    """Return capacities by id, lower for engines much slower than the others."""
    known = [e.slowness for e in engines if e.samples >= LEAST_SAMPLES]
    usual = median(known) if known else 1.0
    capacities_by_id = {}
    for engine in engines:
        relative = engine.slowness / usual
        learned = engine.samples >= LEAST_SAMPLES and relative >= SLOW_FROM
        slower = min(relative, MOST_SLOWNESS) if learned else 1.0
        capacities_by_id[engine.target.id] = engine.nominal / slower
    return capacities_by_id


def _make_stages(
    engines: Sequence[Engine], latency_s: LatencyOf, origin: str
) -> dict[Range, Stage]:
    members: dict[Range, list[Engine]] = {}
    domains: set[str] = set()
    for engine in engines:
        held = (engine.target.first_layer, engine.target.last_layer)
        members.setdefault(held, []).append(engine)
        domains.add(engine.target.domain)
    close = frozenset(d for d in domains if latency_s(origin, d) <= CLOSE_LATENCY_S)
    return {
        (first, last): make_stage(first, last, held, close)
        for (first, last), held in members.items()
    }


def _make_table(
    paths: Sequence[Path], stages_by_range: Mapping[Range, Stage]
) -> PathTable:
    routes = tuple(
        RoutePath(
            tuple(
                (stages_by_range[hop.group.first, hop.group.last], hop.first, hop.last)
                for hop in path.hops
            )
        )
        for path in paths
    )
    return PathTable(routes, tuple(accumulate(path.weight for path in paths)))
