"""Upper bound on the throughput of engines with overlapping layer ranges.

An engine that generates ``c`` tokens per second with all of its ``n`` layers can spend
``c n`` layer-tokens per second on any of these layers. Every layer has to run for every
token, so that ``f`` tokens per second are possible exactly if a flow from groups of
identical engines to segments of layers gives each segment ``f`` times its number of
layers. The largest such ``f`` is found by Newton's method on minimum cuts (Dinkelbach
1967): the minimum cut gives the layers that fall short; the capacity of the engines
that hold them, divided by the number of these layers, is the next ``f``.
"""

from collections.abc import Iterable, Mapping, Sequence

from attrs import frozen
from networkx import DiGraph, minimum_cut
from networkx.algorithms.flow import preflow_push

FLOW_UNITS = 10**9
MAX_NEWTON_STEPS = 50
_SOURCE = "source"
_SINK = "sink"
_Span = tuple[int, int]


@frozen
class GroupKey:
    """The key of a group of engines with equal layers, accelerator and domain."""

    first: int
    last: int
    accelerator: str
    domain: str


@frozen
class EngineCapacity:
    """The capacity of an engine.

    Parameters
    ----------
    tokens_per_second
        Rate if the engine runs all of its layers for each token.
    """

    id: str
    first: int
    last: int
    accelerator: str
    domain: str
    tokens_per_second: float

    @property
    def group(self) -> GroupKey:
        """Key of the engine's group."""
        return GroupKey(self.first, self.last, self.accelerator, self.domain)


@frozen
class BoundResult:
    """The throughput bound and a flow that reaches it.

    Parameters
    ----------
    tokens_per_second
        The bound; 0 if no engine holds some layer.
    flow_by_group
        Layer-tokens per second that each group runs at the bound.
    """

    tokens_per_second: float
    flow_by_group: Mapping[GroupKey, float]


def throughput_bound(engines: Sequence[EngineCapacity], layers: int) -> BoundResult:
    """Return the throughput bound for a model of ``layers`` layers."""
    capacity_by_group: dict[GroupKey, float] = {}
    for engine in engines:
        capacity = max(engine.tokens_per_second, 0.0) * (engine.last - engine.first)
        group = engine.group
        capacity_by_group[group] = capacity_by_group.get(group, 0.0) + capacity
    network = _make_network(capacity_by_group, layers)
    all_held = all(
        sum(capacity_by_group[group] for group in groups) > 0
        for groups in network.holders.values()
    )
    if not all_held:
        return BoundResult(0.0, {})
    return _solve(network)


@frozen
class _Network:
    """The capacity of each group, and the groups that hold each segment of layers."""

    capacity_by_group: Mapping[GroupKey, float]
    holders: Mapping[_Span, list[GroupKey]]

    def rate_of(self, spans: Iterable[_Span]) -> float:
        """Return the tokens per second of some segments, run by all their holders.

        The holders spend their whole capacity on these segments.
        """
        layers = 0
        groups: set[GroupKey] = set()
        for span in spans:
            layers += span[1] - span[0]
            groups.update(self.holders[span])
        return sum(self.capacity_by_group[group] for group in groups) / layers


def _make_network(capacity_by_group: Mapping[GroupKey, float], layers: int) -> _Network:
    cuts = {0, layers}
    for group in capacity_by_group:
        cuts.update(c for c in (group.first, group.last) if 0 < c < layers)
    ordered = sorted(cuts)
    holders = {
        (first, last): [
            group
            for group in capacity_by_group
            if group.first <= first and last <= group.last
        ]
        for first, last in zip(ordered, ordered[1:], strict=False)
    }
    return _Network(capacity_by_group, holders)


def _solve(network: _Network) -> BoundResult:
    """Lower the rate to what the limiting segments allow until none falls short."""
    rate = network.rate_of(network.holders)
    short_spans, flow = _cut(network, rate)
    for _ in range(MAX_NEWTON_STEPS):
        next_rate = network.rate_of(short_spans) if short_spans else rate
        if next_rate >= rate * (1 - 1e-9):
            break
        rate = next_rate
        short_spans, flow = _cut(network, rate)
    return BoundResult(rate, flow)


def _cut(network: _Network, rate: float) -> tuple[list[_Span], dict[GroupKey, float]]:
    """Return the segments that can't reach ``rate``, and the flow by group."""
    layers = sum(last - first for first, last in network.holders)
    unit = rate * layers / FLOW_UNITS
    graph = DiGraph()
    for group, capacity in network.capacity_by_group.items():
        graph.add_edge(_SOURCE, group, capacity=round(capacity / unit))
    for span, groups in network.holders.items():
        demand = rate * (span[1] - span[0])
        graph.add_edge(span, _SINK, capacity=round(demand / unit))
        for group in groups:
            graph.add_edge(group, span)
    residual = preflow_push(graph, _SOURCE, _SINK)
    flow = {
        group: residual[_SOURCE][group]["flow"] * unit
        for group in network.capacity_by_group
    }
    if sum(flow.values()) >= rate * layers * (1 - 1e-6):
        return [], flow
    _, (_, sink_side) = minimum_cut(graph, _SOURCE, _SINK)
    return [span for span in network.holders if span in sink_side], flow
