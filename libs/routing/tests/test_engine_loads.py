"""The ledger of work in flight."""

from celeryfork_routing.engine_loads import EngineLoads, LayerPath, Load, Part
from celeryfork_routing.layers import LayerRange

PATH = LayerPath(
    (Part("x", "x:1", LayerRange(0, 30)), Part("y", "y:1", LayerRange(30, 40)))
)


def test_work_counts_by_layers_until_it_ends():
    loads = EngineLoads()
    loads.begin(PATH, 100)
    assert loads.own() == {"x": Load(1, 3000), "y": Load(1, 1000)}
    loads.end(PATH, 100)
    assert loads.own() == {}


def test_peers_count_until_their_report_is_old():
    loads = EngineLoads()
    loads.begin(PATH, 100)
    loads.hear("peer", {"x": Load(2, 500)}, now_s=10.0)
    assert loads.total(11.0)["x"] == Load(3, 3500)
    assert loads.total(13.0)["x"] == Load(1, 3000)


def test_a_peers_newer_report_replaces_its_last():
    loads = EngineLoads()
    loads.hear("peer", {"x": Load(2, 500)}, now_s=10.0)
    loads.hear("peer", {}, now_s=10.1)
    assert loads.total(10.2) == {}
