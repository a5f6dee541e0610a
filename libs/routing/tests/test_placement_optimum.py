"""Tests of placement_optimum, with cases that can be calculated by hand."""

import pytest
from attrs import evolve
from celeryfork_routing.layers import Accelerator, LayerRange
from hypothesis import given, settings
from hypothesis import strategies as st
from model_shapes import ACCELERATORS
from placement_optimum import (
    DOMAINS,
    SHAPE,
    best_without_overlaps,
    compare,
    max_tokens_held,
    slot_tokens,
)

ACCELERATOR = Accelerator("card", 100.0)
SMALL = evolve(
    SHAPE,
    layers=4,
    layer_mb=10.0,
    kv_bytes_per_token=4_000_000.0,
    accelerators_by_name={"card": ACCELERATOR},
)
"""A token takes 1 MB in each layer, so that 2 layers of 10 MB leave room for 40
tokens in each."""


def tokens_held(*ranges):
    return max_tokens_held(SMALL, [(ACCELERATOR, LayerRange(*each)) for each in ranges])


def test_the_engine_with_least_room_limits_a_chain():
    assert tokens_held((0, 2), (2, 4)) == pytest.approx(40.0)
    assert tokens_held((0, 1), (1, 4)) == pytest.approx(70 / 3)


def test_a_second_copy_of_some_layers_adds_room():
    assert tokens_held((0, 1), (1, 4), (1, 4)) == pytest.approx(140 / 3)
    assert tokens_held((0, 2), (1, 3), (2, 4)) == pytest.approx(60.0)


def test_a_placement_with_a_gap_holds_no_tokens():
    assert tokens_held((0, 2), (3, 4)) == 0.0


def test_slots_limit_the_tokens_on_an_engine():
    roomy = {"card": Accelerator("card", 1e9)}
    shape = evolve(SMALL, accelerators_by_name=roomy)
    one = [(roomy["card"], LayerRange(0, 4))]
    assert max_tokens_held(shape, one) == pytest.approx(slot_tokens(shape))
    assert max_tokens_held(shape, one * 3) == pytest.approx(3 * slot_tokens(shape))


def test_identical_engines_share_the_layers_evenly_without_overlaps():
    assert best_without_overlaps(SMALL, [ACCELERATOR, ACCELERATOR]) == pytest.approx(
        40.0
    )


@settings(max_examples=10, deadline=None)
@given(st.fixed_dictionaries({kind: st.integers(0, 6) for kind in ACCELERATORS}))
def test_no_placement_holds_more_than_the_bound(count_by_kind):
    if sum(count_by_kind.values()) == 0:
        return
    figures = compare(SHAPE, count_by_kind)
    assert figures.planned <= figures.upper_bound * 1.001
    assert figures.without_overlaps <= figures.upper_bound + 1.0
    assert figures.planned_after_loss <= figures.planned * 1.001


@pytest.mark.parametrize("domain", ["a", "b", "c"])
def test_a_plan_of_many_engines_holds_more_tokens_than_one_chain(domain):
    """The slots of one chain hold at most 81,000 tokens, whatever its memory size."""
    figures = compare(SHAPE, DOMAINS[domain])
    assert figures.upper_bound > 2 * slot_tokens(SHAPE)
    assert figures.planned > slot_tokens(SHAPE)
