"""Tests of celeryfork_routing.engine_loads."""

from celeryfork_routing.engine_loads import (
    EngineLoads,
    LayerPath,
    Load,
    Part,
    prefill_key,
)
from celeryfork_routing.layers import LayerRange

PATH = LayerPath(
    (Part("x", "x:1", LayerRange(0, 30)), Part("y", "y:1", LayerRange(30, 40)))
)

CROSSING = LayerPath(
    (
        Part("x", "x:1", LayerRange(0, 30), "a"),
        Part("y", "y:1", LayerRange(30, 40), "b"),
    )
)


def test_a_request_counts_by_layers_until_it_ends():
    loads = EngineLoads()
    loads.begin(PATH, 100)
    assert loads.own_loads() == {"x": Load(1, 3000), "y": Load(1, 1000)}
    loads.end(PATH, 100)
    assert loads.own_loads() == {}


def test_a_peer_report_counts_until_it_expires():
    loads = EngineLoads()
    loads.begin(PATH, 100)
    loads.set_peer_report("peer", {"x": Load(2, 500)}, now_s=10.0)
    assert loads.total_loads(11.0)["x"] == Load(3, 3500)
    assert loads.total_loads(13.0)["x"] == Load(1, 3000)


def test_a_newer_peer_report_replaces_the_last():
    loads = EngineLoads()
    loads.set_peer_report("peer", {"x": Load(2, 500)}, now_s=10.0)
    loads.set_peer_report("peer", {}, now_s=10.1)
    assert loads.total_loads(10.2) == {}


def test_a_prompt_counts_on_a_crossed_link_until_prefill_ends():
    loads = EngineLoads()
    loads.begin_prefill(CROSSING, 700, 900)
    assert loads.own_loads() == {prefill_key("b", "a"): Load(1, 700)}
    loads.end_prefill(CROSSING, 700, 900)
    assert loads.own_loads() == {}


def test_each_link_sharer_is_assumed_to_prefill_as_much_as_this_instance():
    loads, key = EngineLoads(), prefill_key("a", "b")
    loads.begin_prefill(CROSSING, 700, 900)
    loads.set_peer_report("peer", {key: Load(2, 900)}, now_s=10.0)
    assert loads.total_loads(11.0, 7)[key].token_layers == 4900
    assert loads.total_loads(11.0, 2)[key].token_layers == 1600


def test_each_engine_sharer_is_assumed_to_have_as_much_unreported_work():
    loads = EngineLoads()
    loads.begin(PATH, 100)
    loads.begin_prefill(PATH, 80, 100)
    assert loads.total_loads(0.0, engine_sharers=4)["x"] == Load(7, 21_000)
    loads.end_prefill(PATH, 80, 100)
    assert loads.total_loads(0.0, engine_sharers=4)["x"] == Load(1, 3000)
