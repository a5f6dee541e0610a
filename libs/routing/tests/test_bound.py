"""Tests of celeryfork_routing.bound."""

import pytest
from celeryfork_routing.bound import EngineCapacity, throughput_bound
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


def is_feasible(engines: list[EngineCapacity], rate: float) -> bool:
    """Return True if ``rate`` is possible, by the max-flow from engines to layers."""
    graph = DiGraph()
    for single in engines:
        capacity = single.tokens_per_second * (single.last - single.first)
        graph.add_edge("s", single.id, capacity=capacity)
        for layer in range(single.first, single.last):
            graph.add_edge(single.id, layer)
    for layer in range(24):
        graph.add_edge(layer, "t", capacity=rate)
    return maximum_flow_value(graph, "s", "t") >= 24 * rate * (1 - 1e-6)


@given(fleets())
def test_the_bound_is_feasible_and_a_higher_rate_is_not(
    engines: list[EngineCapacity],
) -> None:
    result = throughput_bound(engines, 24)
    rate = result.tokens_per_second
    covered = {layer for e in engines for layer in range(e.first, e.last)}
    assert (rate > 0) == (len(covered) == 24)
    if rate:
        assert is_feasible(engines, rate * 0.9999)
        assert not is_feasible(engines, rate * 1.001)
        assert sum(result.flow_by_group.values()) == pytest.approx(24 * rate)


def test_engines_spend_capacity_only_on_the_layers_they_run() -> None:
    # One engine runs layers 0-12 at 100 tokens/s, that is 1200 layer-tokens/s; another
    # runs 6-24 at 100 tokens/s. Layers 0-6 can only run on the first, and 12-24 only on
    # the second; they share 6-12 so that both are fully used.
    engines = [engine(0, 0, 12, 100), engine(1, 6, 24, 100)]
    assert throughput_bound(engines, 24).tokens_per_second == pytest.approx(
        (1200 + 1800) / 24
    )
