"""Forwarding of engine speeds by relays."""

import time

import pytest
from celeryfork_entry.engine_speeds import Speed
from celeryfork_entry.peer_protocol import FORWARDING_TTL_S, REMOTE_REPORT_PERIOD
from instance_network import Network, receive_report


def record_received_speeds(network):
    """Record the speeds that each instance receives; return them by instance."""
    received = {}
    for each in network.by_address.values():
        known = received[each.roster.own.name] = {}
        each.on_speed = known.__setitem__
    return received


@pytest.mark.parametrize("reporter", ["west-1", "west-8"])
def test_the_speed_of_a_slow_engine_reaches_all_instances(reporter):
    """Otherwise each of 74 instances detects engines that are twelve times slower only
    when its own streams over them are late."""
    network = Network()
    received = record_received_speeds(network)
    now_s = time.monotonic()
    network[reporter].speeds = lambda: {"x": Speed(12.0, 1000, now_s - 0.1, own=True)}
    network.report(2 * REMOTE_REPORT_PERIOD)
    del received[reporter]
    for known in received.values():
        assert (known["x"].slowness, known["x"].born_ms) == (12.0, 1000)
        assert known["x"].at_s == pytest.approx(now_s - 0.1, abs=0.5)
        assert not known["x"].own


@pytest.mark.parametrize(
    ("first", "last"), [("west-7", "west-8"), ("west-8", "west-7")]
)
def test_the_newest_speed_is_forwarded(first, last):
    network = Network()
    received, now_s = record_received_speeds(network), time.monotonic()
    network[first].speeds = lambda: {"x": Speed(12.0, 1000, now_s - 1.0, own=True)}
    network[last].speeds = lambda: {"x": Speed(1.0, 1000, now_s - 0.1, own=True)}
    network.report(2)
    assert received["west-6"]["x"].slowness == 1.0


def test_old_speeds_are_not_forwarded():
    """Otherwise instances would forward an old report to each other forever."""
    network = Network()
    received, now_s = record_received_speeds(network), time.monotonic()
    old = {"x": Speed(12.0, 1000, now_s - FORWARDING_TTL_S, own=True)}
    network["west-8"].speeds = lambda: old
    network.report(2 * REMOTE_REPORT_PERIOD)
    assert received["east-8"] == {}


@pytest.mark.parametrize(
    "row",
    [
        [12.0, 1000], ["12", 1000, 0], [0.5, 1000, 0], [-1, 1000, 0],
        [12.0, "1000", 0], [12.0, 1000, None], "12", None,
    ],
)  # fmt: skip
def test_reports_with_malformed_speeds_are_ignored(row):
    network = Network()
    received = record_received_speeds(network)
    receive_report(network["west-1"], {"speeds": {"i-1": row}})
    assert received["west-1"] == {}
    assert network["west-1"]._unreadable_count == 1


def test_a_report_of_an_earlier_release_without_speeds_is_accepted():
    network = Network()
    receive_report(network["west-1"], {})
    assert network["west-1"]._unreadable_count == 0
