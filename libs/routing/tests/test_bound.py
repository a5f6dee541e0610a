"""Tests of celeryfork_routing.bound, paths and plan."""

from itertools import pairwise

import pytest
from celeryfork_routing.bound import EngineCapacity, Segment, throughput_bound
from celeryfork_routing.paths import make_paths
from hypothesis import given
from hypothesis import strategies as st
from networkx import DiGraph, maximum_flow_value


def engine(number: int, first: int, last: int, rate: float) -> EngineCapacity:
    domain = f"d{number % 3}"
    return EngineCapacity(f"e{number}", first, last, f"k{number % 2}", domain, rate)


@st.composite
def fleets(draw: st.DrawFn) -> list[EngineCapacity]:
    cuts = sorted(draw(st.sets(st.integers(1, 23), max_size=4)) | {0, 24})
    engines = []
    for number in range(draw(st.integers(1, 12))):
        first, last = sorted(
            draw(st.lists(st.sampled_from(cuts), min_size=2, max_size=2, unique=True))
        )
        engines.append(engine(number, first, last, draw(st.integers(1, 1000))))
    return engines


def feasible(engines: list[EngineCapacity], rate: float) -> bool:
    """Whether ``rate`` is possible, by a flow over single layers and engines."""
    graph = DiGraph()
    for one in engines:
        capacity = one.tokens_per_second * (one.last - one.first)
        graph.add_edge("s", one.id, capacity=capacity)
        for layer in range(one.first, one.last):
            graph.add_edge(one.id, layer)
    for layer in range(24):
        graph.add_edge(layer, "t", capacity=rate)
    return maximum_flow_value(graph, "s", "t") >= 24 * rate * (1 - 1e-6)


@given(fleets())
def test_the_bound_is_feasible_and_nothing_above_it_is(
    engines: list[EngineCapacity],
) -> None:
    rate = throughput_bound(engines, 24).tokens_per_second
    covered = {layer for e in engines for layer in range(e.first, e.last)}
    assert (rate > 0) == (len(covered) == 24)
    if rate:
        assert feasible(engines, rate * 0.9999)
        assert not feasible(engines, rate * 1.001)


@given(fleets())
def test_paths_cover_each_layer_once_and_keep_the_shares(
    engines: list[EngineCapacity],
) -> None:
    result = throughput_bound(engines, 24)
    paths = make_paths(result.segments)
    if not result.segments:
        assert paths == ()
        return
    assert sum(path.weight for path in paths) == pytest.approx(1, abs=1e-6)
    for path in paths:
        assert (path.hops[0].first, path.hops[-1].last) == (0, 24)
        assert all(a.last == b.first for a, b in pairwise(path.hops))
        assert all(h.group.first <= h.first < h.last <= h.group.last for h in path.hops)
    for segment in result.segments:
        assert_shares(segment, paths)


def assert_shares(segment: Segment, paths: tuple) -> None:
    run: dict = {}
    for path in paths:
        for hop in path.hops:
            if hop.first <= segment.first and segment.last <= hop.last:
                run[hop.group] = run.get(hop.group, 0) + path.weight
    for group, share in segment.shares.items():
        assert run.get(group, 0) == pytest.approx(share, abs=1e-5)


def test_partial_use_of_overlapping_engines_costs_by_layers_run() -> None:
    # 0-12 is held once at 100/s for all 12 layers; 6-24 by another at 100/s. Layers
    # 0-6 can only run on the first, which may spend its whole 1200 on 0-12.
    engines = [engine(0, 0, 12, 100), engine(1, 6, 24, 100)]
    assert throughput_bound(engines, 24).tokens_per_second == pytest.approx(
        (1200 + 1800) / 24
    )


def test_slack_layers_are_spread_evenly() -> None:
    engines = [
        engine(0, 0, 12, 10),
        engine(1, 12, 24, 300),
        engine(2, 12, 24, 100),
    ]
    result = throughput_bound(engines, 24)
    assert result.tokens_per_second == pytest.approx(10)
    assert sorted(result.segments[-1].shares.values()) == pytest.approx([0.25, 0.75])
