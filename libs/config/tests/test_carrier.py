"""Tests of celeryfork_config.carrier, with followers and the log's stand-in."""

import threading
import time

import pytest
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_config.follower import FollowerOptions, make_follower
from celeryfork_config.publisher import make_publisher
from celeryfork_config.rendezvous import rank_of
from celeryfork_platform.log import make_log_client
from celeryfork_standin.platform import make_platform

RETENTION_S = 2.0
TIMEOUT_S = 20.0
OPTIONS = FollowerOptions(long_poll_s=0.5, peer_poll_s=0.05)
POLICY = {"log_retention_s": RETENTION_S, "claim_window_s": 0.5}


def wait_until(condition) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    pause = threading.Event()
    while not condition():
        assert time.monotonic() < deadline_s
        pause.wait(0.02)


@pytest.fixture
def platform():
    standin = make_platform(seed=1)
    standin.start()
    yield standin
    standin.stop()


def test_records_outlive_the_logs_retention_and_retractions_do_not(platform) -> None:
    clock = SystemClock()
    fleet = {"a": "westlands", "b": "karen", "c": "karen"}

    def start(name: str):
        counters = Counters()
        log = make_log_client(platform.url, clock, counters)
        follower = make_follower(
            log,
            clock,
            counters,
            instance=name,
            fleet=lambda: fleet,
            options=OPTIONS,
            seed=1,
        )
        follower.start()
        return follower

    operator = make_publisher(make_log_client(platform.url, clock, Counters()), clock)
    operator.publish("policy/default", 1, POLICY)
    operator.publish("model/a", 1, {"layers": 4})
    operator.publish("model/b", 1, {"layers": 8})
    operator.retract("model/b")
    platform.log.retain(RETENTION_S)
    followers = [start(name) for name in fleet]
    try:
        last = platform.log.contents("configuration")[-1].offset
        wait_until(lambda: platform.log.contents("configuration")[0].offset > last)
        followers.pop(0).stop()
        last = platform.log.contents("configuration")[-1].offset
        wait_until(lambda: platform.log.contents("configuration")[0].offset > last)
        followers.append(start("d"))
        wait_until(lambda: followers[-1].ready)
        for follower in followers:
            assert set(follower.current.models_by_name) == {"a"}
            assert follower.current.policy.log_retention_s == RETENTION_S
        assert operator.show("model/a")[0].offset == 1
        changed = operator.publish("model/a", 1, {"layers": 5}, based_on=1)
        for follower in followers:
            assert follower.wait(changed, TIMEOUT_S)
            assert follower.current.models_by_name["a"].layers == 5
    finally:
        for follower in followers:
            follower.stop()


def test_a_log_that_forgets_sooner_than_published_loses_no_record(platform) -> None:
    clock, counters = SystemClock(), Counters()
    log = make_log_client(platform.url, clock, counters)
    operator = make_publisher(log, clock)
    operator.publish("model/a", 1, {"layers": 4})
    operator.publish("model/b", 1, {"layers": 8})
    follower = make_follower(log, clock, counters, options=OPTIONS, seed=1)
    follower.start()
    try:
        assert follower.wait(1, TIMEOUT_S)
        platform.log.retain(RETENTION_S)
        wait_until(lambda: counters.count("config.carrier.carried") >= 6)
        assert counters.count("config.follower.retention_shorter") >= 1
        assert follower.retention_s < 10 * RETENTION_S
        assert {item.payload["layers"] for item in operator.show("model/a")} == {4}
        assert {item.payload["layers"] for item in operator.show("model/b")} == {8}
    finally:
        follower.stop()


def test_every_key_has_one_first_carrier_and_the_load_is_spread() -> None:
    names = [f"instance-{i}" for i in range(9)]
    firsts = [
        [name for name in names if rank_of(name, names, f"model/{i}#1") == 0]
        for i in range(900)
    ]
    assert all(len(first) == 1 for first in firsts)
    shares = [sum(first == [name] for first in firsts) for name in names]
    assert min(shares) > 60
    assert max(shares) < 150
