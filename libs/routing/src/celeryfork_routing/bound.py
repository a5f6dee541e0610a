"""The most tokens a second that engines with overlapping layer ranges can generate.

An engine that generates ``c`` tokens a second with all of its ``n`` layers has ``c n``
layer-tokens a second to spend on any part of them. Every layer has to run for every
token, so that ``f`` tokens a second are possible exactly if a flow from groups of
like engines to segments of layers gives each segment ``f`` times its layers. The
largest such ``f`` is found by Newton's method on minimum cuts (Dinkelbach 1967): the
cut names the layers that are short, their capacity over their number is the next
``f``. The layers that bind, with their engines, are then set aside and the rest is
solved the same way, which spreads the load evenly also where capacity is to spare.
"""

from collections.abc import Iterable, Mapping, Sequence

from attrs import frozen
from networkx import DiGraph, minimum_cut
from networkx.algorithms.flow import preflow_push

FLOW_UNITS = 10**9
MOST_NEWTON_STEPS = 50
_SOURCE = "source"
_SINK = "sink"


@frozen
class GroupKey:
    """Engines that are alike: same layers, kind of accelerator and failure domain."""

    first: int
    last: int
    accelerator: str
    domain: str

    @property
    def layers(self) -> int:
        """The number of layers its engines hold."""
        return self.last - self.first


@frozen
class EngineCapacity:
    """What an engine can do; ``tokens_per_second`` with all of its layers."""

    id: str
    first: int
    last: int
    accelerator: str
    domain: str
    tokens_per_second: float

    @property
    def group(self) -> GroupKey:
        """The group that the engine belongs to."""
        return GroupKey(self.first, self.last, self.accelerator, self.domain)


@frozen
class Segment:
    """Layers between two neighbouring boundaries, and who runs them.

    Parameters
    ----------
    first, last
        The layers ``[first, last)``.
    shares
        Share of the tokens that each group runs here; they add up to 1.
    """

    first: int
    last: int
    shares: Mapping[GroupKey, float]


@frozen
class BoundResult:
    """The bound and a way to reach it.

    Parameters
    ----------
    tokens_per_second
        The bound; 0 if some layer is held by no engine.
    flow_by_group
        Layer-tokens a second that each group runs at the bound.
    segments
        The layers in order, with each group's share; empty if the bound is 0.
    """

    tokens_per_second: float
    flow_by_group: Mapping[GroupKey, float]
    segments: tuple[Segment, ...] = ()


def throughput_bound(engines: Sequence[EngineCapacity], layers: int) -> BoundResult:
    """Return the bound for a model of ``layers`` layers."""
    capacity_by_group: dict[GroupKey, float] = {}
    for engine in engines:
        capacity = max(engine.tokens_per_second, 0.0) * (engine.last - engine.first)
        group = engine.group
        capacity_by_group[group] = capacity_by_group.get(group, 0.0) + capacity
    spans = _spans(capacity_by_group, layers)
    holders = {
        span: [g for g in capacity_by_group if g.first <= span[0] and span[1] <= g.last]
        for span in spans
    }
    if not spans or any(
        sum(capacity_by_group[g] for g in groups) <= 0 for groups in holders.values()
    ):
        return BoundResult(0.0, {})
    return _solve(spans, holders, capacity_by_group)


_Span = tuple[int, int]


def _spans(groups: Iterable[GroupKey], layers: int) -> list[_Span]:
    """Return the segments between neighbouring boundaries within the model."""
    cuts = {0, layers}
    for group in groups:
        cuts.update(c for c in (group.first, group.last) if 0 < c < layers)
    ordered = sorted(cuts)
    return list(zip(ordered, ordered[1:], strict=False))


def _solve(
    spans: list[_Span],
    holders: Mapping[_Span, list[GroupKey]],
    capacity_by_group: Mapping[GroupKey, float],
) -> BoundResult:
    """Solve level after level, the scarcest layers first."""
    left_spans = list(spans)
    left_groups = dict(capacity_by_group)
    shares: dict[_Span, dict[GroupKey, float]] = {}
    bound = 0.0
    while left_spans:
        rate, binding, flow = _most(left_spans, holders, left_groups)
        bound = bound or rate
        for span in binding:
            shares[span] = _normalised(flow[span])
            left_spans.remove(span)
            for group in holders[span]:
                left_groups.pop(group, None)
    flow_by_group: dict[GroupKey, float] = {}
    for (first, last), by_group in shares.items():
        for group, share in by_group.items():
            spent = share * bound * (last - first)
            flow_by_group[group] = flow_by_group.get(group, 0.0) + spent
    segments = tuple(Segment(*span, shares[span]) for span in spans)
    return BoundResult(bound, flow_by_group, segments)


_Flow = dict[_Span, dict[GroupKey, float]]


def _most(
    spans: list[_Span],
    holders: Mapping[_Span, list[GroupKey]],
    capacity_by_group: Mapping[GroupKey, float],
) -> tuple[float, list[_Span], _Flow]:
    """Return the highest rate, the segments that bind it, and a flow at it."""
    binding = list(spans)
    rate = _rate_of(binding, holders, capacity_by_group)
    for _ in range(MOST_NEWTON_STEPS):
        short, flow = _cut(spans, holders, capacity_by_group, rate)
        if not short:
            return rate, binding, flow
        next_rate = _rate_of(short, holders, capacity_by_group)
        if next_rate >= rate * (1 - 1e-9):
            return rate, binding, flow
        rate, binding = next_rate, short
    return rate, binding, flow


def _rate_of(
    spans: Iterable[_Span],
    holders: Mapping[_Span, list[GroupKey]],
    capacity_by_group: Mapping[GroupKey, float],
) -> float:
    """Return the rate that these segments allow if all their holders serve them."""
    layers = 0
    groups: set[GroupKey] = set()
    for span in spans:
        layers += span[1] - span[0]
        groups.update(g for g in holders[span] if g in capacity_by_group)
    return sum(capacity_by_group[group] for group in groups) / layers


def _cut(
    spans: list[_Span],
    holders: Mapping[_Span, list[GroupKey]],
    capacity_by_group: Mapping[GroupKey, float],
    rate: float,
) -> tuple[list[_Span], _Flow]:
    """Return the segments that fall short of ``rate``, and the flow at it."""
    total = rate * sum(last - first for first, last in spans)
    unit = total / FLOW_UNITS
    graph = DiGraph()
    for group, capacity in capacity_by_group.items():
        graph.add_edge(_SOURCE, group, capacity=round(capacity / unit))
    for span in spans:
        demand = rate * (span[1] - span[0])
        graph.add_edge(span, _SINK, capacity=round(demand / unit))
        for group in holders[span]:
            if group in capacity_by_group:
                graph.add_edge(group, span)
    flow_by_node = preflow_push(graph, _SOURCE, _SINK)
    flow = _flow_by_span(flow_by_node, spans)
    reached = sum(sum(by_group.values()) for by_group in flow.values())
    if reached >= FLOW_UNITS * (1 - 1e-6):
        return [], flow
    _, (_, sink_side) = minimum_cut(graph, _SOURCE, _SINK)
    return [span for span in spans if span in sink_side], flow


def _flow_by_span(residual: DiGraph, spans: list[_Span]) -> _Flow:
    """Read the flow into each segment from a residual network."""
    flow: _Flow = {span: {} for span in spans}
    for node, edges in residual.adjacency():
        if not isinstance(node, GroupKey):
            continue
        for span, edge in edges.items():
            if span in flow and edge["flow"] > 0:
                flow[span][node] = float(edge["flow"])
    return flow


def _normalised(by_group: Mapping[GroupKey, float]) -> dict[GroupKey, float]:
    """Return shares that add up to 1."""
    total = sum(by_group.values())
    return {group: value / total for group, value in by_group.items()}
