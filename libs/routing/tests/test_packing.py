"""Tests of celeryfork_routing.packing."""

from itertools import pairwise

import pytest
from celeryfork_routing.bound import EngineCapacity, throughput_bound
from celeryfork_routing.packing import Path, Range, pack_paths
from hypothesis import given
from hypothesis import strategies as st

LAYERS = 24


@st.composite
def ranges(draw: st.DrawFn) -> dict[Range, float]:
    cuts = sorted(draw(st.sets(st.integers(1, LAYERS - 1), max_size=5)) | {0, LAYERS})
    pairs = [(a, b) for a in cuts for b in cuts if a < b]
    held = draw(st.lists(st.sampled_from(pairs), min_size=1, max_size=9, unique=True))
    return {pair: float(draw(st.integers(1, 10**6))) for pair in held}


def bound_of(capacity_by_range: dict[Range, float]) -> float:
    engines = [
        EngineCapacity("", first, last, "", "", capacity / (last - first))
        for (first, last), capacity in capacity_by_range.items()
    ]
    return throughput_bound(engines, LAYERS).tokens_per_second


def used_capacity(paths: tuple[Path, ...]) -> dict[Range, float]:
    used_by_range: dict[Range, float] = {}
    for path in paths:
        for hop in path.hops:
            spent = path.flow * (hop.last - hop.first)
            used_by_range[hop.held] = used_by_range.get(hop.held, 0.0) + spent
    return used_by_range


@given(ranges())
def test_paths_cover_the_model_within_capacities_and_near_the_bound(
    capacity_by_range: dict[Range, float],
) -> None:
    bound = bound_of(capacity_by_range)
    paths = pack_paths(capacity_by_range, LAYERS)
    total = sum(path.flow for path in paths)
    assert total <= bound * (1 + 1e-6)
    assert total >= bound * 0.8  # A hop over one layer costs 10 % more.
    assert len(paths) <= len(capacity_by_range)
    for path in paths:
        assert (path.hops[0].first, path.hops[-1].last) == (0, LAYERS)
        assert all(a.last == b.first for a, b in pairwise(path.hops))
    for held, spent in used_capacity(paths).items():
        assert spent <= capacity_by_range[held] * (1 + 1e-6)


def test_whole_ranges_are_preferred_to_parts() -> None:
    paths = pack_paths({(0, 12): 1200.0, (12, 24): 1200.0, (0, 24): 2400.0}, 24)
    hops = {hop.held: (hop.first, hop.last) for path in paths for hop in path.hops}
    assert hops == {held: held for held in hops}
    assert sum(path.flow for path in paths) == pytest.approx(200, rel=0.02)


def test_no_path_if_no_range_has_a_layer() -> None:
    assert pack_paths({(0, 11): 1.0, (12, 24): 1.0}, 24) == ()
    assert pack_paths({}, 24) == ()
