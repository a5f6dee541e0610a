"""Forwarding of engines' limits by relays."""

import time
from math import inf

import pytest
from celeryfork_entry.engine_limits import NEWS_TTL_S, EngineLimit, EngineLimits
from celeryfork_entry.peer_messages import MAX_LIMITS
from celeryfork_entry.peer_protocol import FORWARDING_TTL_S, REMOTE_REPORT_PERIOD
from celeryfork_entry.permit_messages import TRANSIT_S
from instance_network import Network, receive_report


def record_received_limits(network):
    """Record the limits that each instance receives; return them by instance."""
    received = {}
    for each in network.by_address.values():
        known = received[each.roster.own.name] = {}
        each.on_limit = known.__setitem__
    return received


# An engine at its limit got requests of each instance that it had not answered since.
@pytest.mark.parametrize("reporter", ["west-1", "west-8"])
def test_the_limit_of_an_engine_reaches_all_instances(reporter):
    network = Network()
    received, now_s = record_received_limits(network), time.monotonic()
    network[reporter].limits = lambda: {"x": EngineLimit(5.8, 1000, now_s, own=True)}
    network.report(2 * REMOTE_REPORT_PERIOD)
    del received[reporter]
    for known in received.values():
        assert (known["x"].per_s, known["x"].born_ms) == (5.8, 1000)
        assert known["x"].at_s < now_s
        assert not known["x"].own


def test_the_end_of_a_limit_is_forwarded():
    network = Network()
    received, now_s = record_received_limits(network), time.monotonic()
    old = EngineLimit(5.8, 1000, now_s - 1.0, own=True)
    network["west-7"].limits = lambda: {"x": old}
    network["west-8"].limits = lambda: {"x": EngineLimit(inf, 1000, now_s, own=True)}
    network.report(2)
    assert received["west-6"]["x"].per_s == inf


def test_a_limit_that_comes_back_from_peers_does_not_replace_a_newer_answer():
    """Each message's way made the limit that it tells look newer."""
    network, now_s = Network(), time.monotonic()
    limits = EngineLimits()
    named = EngineLimit(5.8, 1000, now_s - TRANSIT_S, own=True)
    network["west-8"].limits = lambda: {"x": named}
    network["west-8"].on_limit = limits.learn
    limits.learn("x", named)
    limits.learn("x", EngineLimit(inf, 1000, now_s, own=True))
    network.report(2 * REMOTE_REPORT_PERIOD)
    assert limits.limit("x") is None


def test_old_limits_are_not_forwarded():
    """Otherwise instances would forward an old limit to each other forever."""
    network = Network()
    received, now_s = record_received_limits(network), time.monotonic()
    old = {"x": EngineLimit(5.8, 1000, now_s - FORWARDING_TTL_S, own=True)}
    network["west-8"].limits = lambda: old
    network.report(2 * REMOTE_REPORT_PERIOD)
    assert received["east-8"] == {}


def test_many_limits_take_turns():
    """The limits of a thousand engines would not fit into a datagram."""
    network = Network()
    received, now_s = record_received_limits(network), time.monotonic()
    many = {
        f"x{number}": EngineLimit(5.8, 1000, now_s, own=True)
        for number in range(3 * MAX_LIMITS)
    }
    network["west-8"].limits = lambda: many
    network.report(1)
    assert len(received["west-1"]) == MAX_LIMITS
    network.report(4)
    assert received["west-1"].keys() == many.keys()


def test_only_answers_to_this_instance_of_the_last_seconds_are_news():
    limits = EngineLimits()
    limits.learn("x", EngineLimit(5.8, 1, 100.0, own=True))
    limits.learn("y", EngineLimit(5.8, 1, 100.0, own=False))
    assert limits.own_news(100.0).keys() == {"x"}
    limits.learn("x", EngineLimit(inf, 1, 101.0, own=True))
    assert limits.own_news(102.0)["x"].per_s == inf
    assert limits.own_news(100.0 + NEWS_TTL_S) == {}


@pytest.mark.parametrize(
    "row",
    [
        [5.8, 1000],
        ["5", 1000, 0],
        [-1.0, 1000, 0],
        [5.8, "1000", 0],
        [5.8, 1, -1],
        None,
    ],
)
def test_reports_with_malformed_limits_are_ignored(row):
    network = Network()
    received = record_received_limits(network)
    receive_report(network["west-1"], {"limits": {"i-1": row}})
    assert received["west-1"] == {}
    assert network["west-1"]._unreadable_count == 1
