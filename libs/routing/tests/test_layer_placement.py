"""Placement gives each domain a copy of the model, room for requests, and repairs."""

import pytest
from attrs import evolve
from celeryfork_routing.layer_placement import (
    cells,
    layer_counts,
    plan_placement,
    scarcest_range,
)
from celeryfork_routing.layer_repair import PlacedEngine, Repair
from celeryfork_routing.layers import (
    LayerRange,
    max_layers,
    room_for_requests,
)
from model_shapes import SHAPE

FLEET = {
    "a": {"h100": 1, "a100s": 1, "l4": 5, "t4": 7},
    "b": {"a100s": 1, "l4": 8, "t4": 3},
    "c": {"a100s": 2, "l4": 4, "t4": 7},
}


def make_fleet(fleet=FLEET):
    return [
        PlacedEngine(f"{domain}-{kind}-{number}", domain, kind, None)
        for domain, count_by_kind in fleet.items()
        for kind, count in count_by_kind.items()
        for number in range(count)
    ]


def test_eight_layers_on_the_smallest_accelerator_leave_room_for_3390_tokens():
    t4 = SHAPE.accelerators_by_name["t4"]
    assert round(room_for_requests(SHAPE, t4, 8) / 8) == 3390
    assert max_layers(SHAPE, t4, 3_300) == 8
    assert max_layers(SHAPE, t4, 20_000) == 7


def test_each_domain_holds_a_whole_copy():
    planned = plan_placement(SHAPE, make_fleet())
    for domain in FLEET:
        placed = [layers for key, layers in planned.items() if key.startswith(domain)]
        assert set().union(*map(layer_set, placed)) == set(range(80))


def test_no_engine_exceeds_its_memory():
    engines = {engine.id: engine for engine in make_fleet()}
    for engine_id, layers in plan_placement(SHAPE, list(engines.values())).items():
        accelerator = SHAPE.accelerators_by_name[engines[engine_id].accelerator]
        assert layers.count * SHAPE.layer_mb < accelerator.memory_mb
        assert 0 <= layers.first < layers.last <= SHAPE.layers


def test_engines_leave_room_for_many_requests():
    for cell in cells(SHAPE, make_fleet()):
        for kind, count in layer_counts(SHAPE, cell).items():
            accelerator = SHAPE.accelerators_by_name[kind]
            assert room_for_requests(SHAPE, accelerator, count) / count > 30_000


def test_an_engine_that_holds_layers_keeps_them():
    engines = make_fleet()
    planned = plan_placement(SHAPE, engines)
    placed = [
        PlacedEngine(each.id, each.domain, each.accelerator, planned[each.id])
        for each in engines
    ]
    assert plan_placement(SHAPE, placed) == {}


def test_an_empty_engine_loads_the_layers_its_domain_lacks():
    engines = make_fleet()
    planned = plan_placement(SHAPE, engines)
    placed = [
        PlacedEngine(
            each.id,
            each.domain,
            each.accelerator,
            None if each.id == "b-a100s-0" else planned[each.id],
        )
        for each in engines
    ]
    assert plan_placement(SHAPE, placed) == {"b-a100s-0": planned["b-a100s-0"]}


def place_all(engines):
    planned = plan_placement(SHAPE, engines)
    return [
        PlacedEngine(each.id, each.domain, each.accelerator, planned[each.id])
        for each in engines
    ]


@pytest.mark.parametrize("lost_id", [engine.id for engine in make_fleet()])
def test_the_layers_of_any_lost_engine_are_taken_over(lost_id):
    """An engine is lost for good, and its domain has no other copy of its layers."""
    placed = place_all(make_fleet())
    remaining = [evolve(each, lost=each.id == lost_id) for each in placed]
    domain = lost_id[0]
    after, loaded = remaining, 0
    for _ in range(2):
        moved = plan_placement(SHAPE, after)
        loaded += sum(
            len(layer_set(moved[each.id]) - layer_set(each.held))
            for each in after
            if each.id in moved
        )
        after = [evolve(each, held=moved.get(each.id, each.held)) for each in after]
    assert plan_placement(SHAPE, after) == {}
    assert covered_layers(after, domain) == set(range(80))
    assert loaded <= SHAPE.layers, "more layers than one copy were loaded"
    for each in after:
        accelerator = SHAPE.accelerators_by_name[each.accelerator]
        room = room_for_requests(SHAPE, accelerator, each.held.count)
        assert room / each.held.count > 20_000, "too little room for requests is left"


def test_at_most_two_engines_move_if_one_is_redundant():
    """One small engine is lost; each domain has one whose layers others hold too."""
    placed = place_all(make_fleet())
    for lost_id in ("a-t4-3", "b-l4-3", "c-t4-2"):
        remaining = [evolve(each, lost=each.id == lost_id) for each in placed]
        moved = plan_placement(SHAPE, remaining, Repair.MOVE)
        after = [evolve(each, held=moved.get(each.id, each.held)) for each in remaining]
        assert len(moved) <= 2
        assert covered_layers(after, lost_id[0]) == set(range(80))


def test_layers_are_shifted_in_one_domain_at_a_time():
    placed = place_all(make_fleet())
    lost = {"b-a100s-0", "c-a100s-1"}
    remaining = [evolve(each, lost=each.id in lost) for each in placed]
    for _ in range(4):
        moved = plan_placement(SHAPE, remaining)
        shifted = {key[0] for key in moved if not is_redundant(remaining, key)}
        assert len(shifted) <= 1
        remaining = [
            evolve(each, held=moved.get(each.id, each.held)) for each in remaining
        ]
    assert (
        covered_layers(remaining, "b")
        == covered_layers(remaining, "c")
        == set(range(80))
    )


def is_redundant(engines, engine_id):
    others = [each for each in engines if each.id != engine_id]
    (own,) = [each for each in engines if each.id == engine_id]
    return layer_set(own.held) <= covered_layers(others, own.domain)


def test_an_unresponsive_empty_engine_does_not_block_repairs():
    """Found in scenario trouble-2 of wanjiru-descale with seed 877095455943."""
    placed = place_all(make_fleet())
    unresponsive = PlacedEngine("b-new", "b", "l4", None, lost=True)
    remaining = [evolve(each, lost=each.id == "b-a100s-0") for each in placed]
    assert plan_placement(SHAPE, [*remaining, unresponsive]) == plan_placement(
        SHAPE, remaining
    )
    loading_engine = evolve(unresponsive, lost=False, loading=True)
    assert "b-new" not in plan_placement(SHAPE, [*placed, loading_engine])


def test_no_repair_while_engines_are_loading():
    placed = place_all(make_fleet())
    remaining = [evolve(each, lost=each.id == "b-l4-3") for each in placed]
    moved = plan_placement(SHAPE, remaining)
    loading = [
        evolve(each, held=moved.get(each.id, each.held), loading=each.id in moved)
        for each in remaining
        if each.id != "b-l4-5"
    ]
    assert plan_placement(SHAPE, loading) == {}


def layer_set(layers):
    return set(range(layers.first, layers.last))


def covered_layers(engines, domain):
    ranges = [each.held for each in engines if each.domain == domain and not each.lost]
    return set().union(*map(layer_set, ranges))


def test_a_cut_off_domain_is_unchanged():
    placed = place_all(make_fleet())
    cut_off = [evolve(each, lost=each.domain == "c") for each in placed]
    assert plan_placement(SHAPE, cut_off) == {}


def test_domains_too_small_for_a_copy_share_a_cell():
    fleet = make_fleet({"a": {"l4": 5}, "b": {"l4": 5}, "c": {"l4": 20}})
    groups = cells(SHAPE, fleet)
    assert sorted(len(group) for group in groups) == [10, 20]
    planned = plan_placement(SHAPE, fleet)
    shared = [layers for key, layers in planned.items() if key[0] in "ab"]
    assert set().union(*map(layer_set, shared)) == set(range(80))


def test_too_few_engines_for_a_copy_still_load_what_they_can():
    planned = plan_placement(SHAPE, make_fleet({"a": {"l4": 3}}))
    assert sum(layers.count for layers in planned.values()) == 36


def test_an_unknown_accelerator_gets_no_layers():
    assert plan_placement(SHAPE, [PlacedEngine("x", "a", "new-card", None)]) == {}


def test_the_scarcest_range_is_the_one_without_copies():
    assert scarcest_range([1, 1, 0, 0, 1, 1], 2) == LayerRange(2, 4)
    assert scarcest_range([2, 2, 1, 1, 1, 2], 3) == LayerRange(2, 5)
