"""The plan of one model: its engines in groups, and weighted paths over the groups."""

from bisect import bisect_left
from collections.abc import Callable, Mapping, Sequence
from itertools import accumulate
from statistics import median

from attrs import frozen

from celeryfork_routing.bound import (
    BoundResult,
    EngineCapacity,
    GroupKey,
    Segment,
    throughput_bound,
)
from celeryfork_routing.engines import Engine, Group, make_group
from celeryfork_routing.paths import LatencyOf, Path, make_paths

SLOW_FROM = 1.5
MOST_SLOWNESS = 10.0
LEAST_SAMPLES = 8


@frozen
class RoutePath:
    """A path with its groups at hand.

    Parameters
    ----------
    hops
        Group, first layer and last layer of each hop.
    latency_s
        Sum of the one-way latencies of its links, in seconds.
    """

    hops: tuple[tuple[Group, int, int], ...]
    latency_s: float


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
    groups_by_key
        The groups of engines.
    spread
        Paths by the weights of the max-flow; None if some layer is not held.
    near
        Paths over the nearest domains that hold each layer.
    """

    bound: BoundResult
    groups_by_key: Mapping[GroupKey, Group]
    spread: PathTable | None
    near: PathTable | None


def make_plan(
    engines: Sequence[Engine], layers: int, latency_s: LatencyOf, origin: str
) -> Plan:
    """Return the plan for a model; learned speeds go into the engines' capacities."""
    _apply_learned_speed(engines)
    capacities = [_capacity_of(engine) for engine in engines]
    bound = throughput_bound(capacities, layers)
    groups_by_key = _make_groups(engines)
    if not bound.segments:
        return Plan(bound, groups_by_key, None, None)
    spread = make_paths(bound.segments, latency_s, origin)
    near_segments = _near_segments(bound.segments, latency_s, origin)
    near = make_paths(near_segments, latency_s, origin)
    to_table = _table_maker(groups_by_key, latency_s, origin)
    return Plan(bound, groups_by_key, to_table(spread), to_table(near))


def _apply_learned_speed(engines: Sequence[Engine]) -> None:
    """Lower the capacity of engines that are much slower than the others."""
    known = [e.slowness for e in engines if e.samples >= LEAST_SAMPLES]
    usual = median(known) if known else 1.0
    for engine in engines:
        relative = engine.slowness / usual
        learned = engine.samples >= LEAST_SAMPLES and relative >= SLOW_FROM
        slower = min(relative, MOST_SLOWNESS) if learned else 1.0
        engine.capacity = engine.nominal / slower


def _capacity_of(engine: Engine) -> EngineCapacity:
    target = engine.target
    held = target.last_layer - target.first_layer
    return EngineCapacity(
        id=target.id,
        first=target.first_layer,
        last=target.last_layer,
        accelerator=target.accelerator,
        domain=target.domain,
        tokens_per_second=engine.capacity / held,
    )


def _make_groups(engines: Sequence[Engine]) -> dict[GroupKey, Group]:
    members: dict[GroupKey, list[Engine]] = {}
    for engine in engines:
        members.setdefault(_capacity_of(engine).group, []).append(engine)
    return {key: make_group(key, group) for key, group in members.items()}


def _near_segments(
    segments: Sequence[Segment], latency_s: LatencyOf, origin: str
) -> list[Segment]:
    """Keep of each segment's groups only those in the nearest domain."""
    near = []
    for segment in segments:
        distances = {g: latency_s(origin, g.domain) for g in segment.shares}
        least = min(distances.values())
        kept = {g: s for g, s in segment.shares.items() if distances[g] <= least}
        total = sum(kept.values())
        shares = {group: share / total for group, share in kept.items()}
        near.append(Segment(segment.first, segment.last, shares))
    return near


def _table_maker(
    groups_by_key: Mapping[GroupKey, Group], latency_s: LatencyOf, origin: str
) -> Callable[[Sequence[Path]], PathTable]:
    def to_table(paths: Sequence[Path]) -> PathTable:
        routes = tuple(
            RoutePath(
                tuple((groups_by_key[h.group], h.first, h.last) for h in path.hops),
                path_latency_s([h.group.domain for h in path.hops], latency_s, origin),
            )
            for path in paths
        )
        return PathTable(routes, tuple(accumulate(path.weight for path in paths)))

    return to_table


def path_latency_s(domains: Sequence[str], latency_s: LatencyOf, origin: str) -> float:
    """Return the latency of a token's way around, from the origin and back."""
    stops = [origin, *domains, origin]
    return sum(
        latency_s(here, there) for here, there in zip(stops, stops[1:], strict=False)
    )
