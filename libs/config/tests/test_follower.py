"""Tests of celeryfork_config.follower."""

import threading

import pytest
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_config.follower import FollowerOptions, make_follower

FAST = FollowerOptions(long_poll_s=0.05, peer_poll_s=0.01, slow_poll_s=0.02)
TIMEOUT_S = 10.0


@pytest.fixture
def started():
    followers = []

    def start(log, read_from_peers=None, options=FAST, **named):
        follower = make_follower(
            log,
            SystemClock(),
            named.pop("counters", Counters()),
            read_from_peers,
            options=options,
            seed=1,
            **named,
        )
        followers.append(follower)
        follower.start()
        return follower

    yield start
    for follower in followers:
        follower.stop()


def wait_ready(follower) -> None:
    ready = threading.Event()
    follower.subscribe(lambda configuration: ready.set())
    assert follower.ready or ready.wait(TIMEOUT_S) or follower.ready


def test_it_is_ready_at_the_logs_end_and_follows_from_there(log, started) -> None:
    log.put_record("model/a", 1, None, {"layers": 4})
    follower = started(log)
    wait_ready(follower)
    assert follower.current.models_by_name["a"].layers == 4
    offset = log.put_record("model/a", 1, 0, {"layers": 8})
    assert follower.wait(offset, TIMEOUT_S)
    assert follower.current.models_by_name["a"].layers == 8


def test_with_the_log_down_it_takes_the_state_of_a_peer(log, make_log, started) -> None:
    log.put_record("model/a", 1, None, {"layers": 4})
    peer = started(log)
    wait_ready(peer)
    broken = make_log()
    broken.down = True
    follower = started(broken, lambda after: peer.slice_after(after, 100).records)
    wait_ready(follower)
    assert follower.current.models_by_name["a"].layers == 4
    offset = log.put_record("model/b", 1, None, {"layers": 2})
    assert follower.wait(offset, TIMEOUT_S)
    assert follower.dump()["source"] == "peers"


def test_with_log_and_peers_down_it_is_not_ready(log, started) -> None:
    log.down = True
    asked = threading.Event()
    follower = started(log, lambda after: asked.set())
    assert asked.wait(TIMEOUT_S)
    assert not follower.ready
    assert not follower.wait(0, 0.05)
    log.down = False
    wait_ready(follower)


def test_a_log_that_goes_back_changes_nothing(log, make_log, started) -> None:
    log.put_record("model/a", 1, None, {"layers": 4})
    counters = Counters()
    follower = started(log, counters=counters)
    wait_ready(follower)
    log.records.clear()
    deadline = threading.Event()
    for _ in range(1000):
        if counters.count("config.follower.log_behind") > 0:
            break
        deadline.wait(0.01)
    assert counters.count("config.follower.log_behind") > 0
    assert follower.current.models_by_name["a"].layers == 4


def test_a_failing_subscriber_stops_nobody(log, started) -> None:
    counters = Counters()
    follower = started(log, counters=counters)

    def fail(configuration) -> None:
        raise RuntimeError("planted")

    follower.subscribe(fail)
    wait_ready(follower)
    offset = log.put_record("model/a", 1, None, {"layers": 4})
    assert follower.wait(offset, TIMEOUT_S)
    offset = log.put_record("model/b", 1, None, {"layers": 4})
    assert follower.wait(offset, TIMEOUT_S)
    assert counters.count("config.follower.callback_faults") > 0
