"""Room of a fleet: the scarcest layer limits it, and slow engines count less."""

import pytest
from celeryfork_routing.engine_loads import Load
from celeryfork_routing.layer_paths import PathEngine
from celeryfork_routing.layers import LayerRange, room_for_requests
from celeryfork_routing.room import Room, fleet_room, room_by_domain
from model_shapes import ACCELERATORS, SHAPE

KIND = "l4"


def engine(engine_id, first, last, domain="a", slowness=1.0):
    held = LayerRange(first, last)
    return PathEngine(
        engine_id, f"{engine_id}:1", domain, KIND, held, slowness=slowness
    )


def tokens_of(count):
    return room_for_requests(SHAPE, ACCELERATORS[KIND], count) / count


def halves(domain="a", width=10, **kwargs):
    return [
        engine(f"{domain}{first}", first, first + width, domain, **kwargs)
        for first in range(0, SHAPE.layers, width)
    ]


def test_a_layer_without_an_engine_leaves_no_room():
    assert fleet_room(SHAPE, halves()[1:], {}) == Room(0.0, 0.0)
    assert fleet_room(SHAPE, [], {}) == Room(0.0, 0.0)


def test_the_layer_with_the_least_memory_limits_the_room():
    """Guards against a sum over engines, which a full layer would not limit."""
    twice = [*halves(), *halves("b")][:-1]
    room = fleet_room(SHAPE, twice, {})
    assert room.total_tokens == pytest.approx(tokens_of(10))


def test_memory_in_use_is_not_free():
    room = fleet_room(SHAPE, halves(), {"a0": Load(4, 10 * 500.0)})
    assert room.total_tokens == pytest.approx(tokens_of(10))
    assert room.free_tokens == pytest.approx(tokens_of(10) - 500)
    full = fleet_room(SHAPE, halves(), {"a0": Load(9, 1e12)})
    assert full.free_tokens == 0.0


def test_a_slow_engine_counts_in_proportion_to_its_speed():
    room = fleet_room(SHAPE, halves(slowness=4.0), {})
    assert room.total_tokens == pytest.approx(tokens_of(10) / 4)


def test_room_by_domain_counts_each_domains_own_engines():
    rooms = room_by_domain(SHAPE, [*halves(), *halves("b")[1:]], {})
    assert rooms["a"].free_tokens == pytest.approx(tokens_of(10))
    assert rooms["b"] == Room(0.0, 0.0)
