"""Speeds of engines that instances tell each other."""

import time

import pytest
from celeryfork_entry.engine_speeds import Speed
from celeryfork_entry.peer_protocol import NEWS_LIFE_S, REPORTS_TO_AWAY
from instance_network import Network, hear


def learn_speeds(network):
    """Have all instances keep what they are told of speeds; return it by instance."""
    told = {}
    for each in network.by_address.values():
        known = told[each.roster.own.name] = {}
        each.on_speed = known.__setitem__
    return told


@pytest.mark.parametrize("finder", ["west-1", "west-8"])
def test_the_speed_of_a_slow_engine_reaches_all_instances(finder):
    """Pattern: 74 instances learnt one by one which engines were twelve times slower,
    each by streams of its own that were late."""
    network = Network()
    told = learn_speeds(network)
    now_s = time.monotonic()
    network[finder].speeds = lambda: {"x": Speed(12.0, 1000, now_s - 0.1, own=True)}
    network.report(2 * REPORTS_TO_AWAY)
    del told[finder]
    for known in told.values():
        assert (known["x"].slowness, known["x"].born_ms) == (12.0, 1000)
        assert known["x"].at_s == pytest.approx(now_s - 0.1, abs=0.5)
        assert not known["x"].own


@pytest.mark.parametrize(
    ("first", "last"), [("west-7", "west-8"), ("west-8", "west-7")]
)
def test_the_newest_speed_is_passed_on(first, last):
    network = Network()
    told, now_s = learn_speeds(network), time.monotonic()
    network[first].speeds = lambda: {"x": Speed(12.0, 1000, now_s - 1.0, own=True)}
    network[last].speeds = lambda: {"x": Speed(1.0, 1000, now_s - 0.1, own=True)}
    network.report(2)
    assert told["west-6"]["x"].slowness == 1.0


def test_old_speeds_are_not_passed_on():
    """Instances would else tell each other for good what one of them once heard."""
    network = Network()
    told, now_s = learn_speeds(network), time.monotonic()
    old = {"x": Speed(12.0, 1000, now_s - NEWS_LIFE_S, own=True)}
    network["west-8"].speeds = lambda: old
    network.report(2 * REPORTS_TO_AWAY)
    assert told["east-8"] == {}


@pytest.mark.parametrize(
    "row",
    [
        [12.0, 1000], ["12", 1000, 0], [0.5, 1000, 0], [-1, 1000, 0],
        [12.0, "1000", 0], [12.0, 1000, None], "12", None,
    ],
)  # fmt: skip
def test_speeds_that_are_none_are_left_out(row):
    network = Network()
    told = learn_speeds(network)
    hear(network["west-1"], {"speeds": {"i-1": row}})
    assert told["west-1"] == {}
    assert network["west-1"]._unreadable == 1


def test_a_peer_of_an_earlier_release_tells_no_speeds():
    network = Network()
    hear(network["west-1"], {})
    assert network["west-1"]._unreadable == 0
