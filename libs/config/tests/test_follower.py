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


def large_fleet() -> dict[str, str]:
    return {f"i{i}": "karen" if i % 2 else "westlands" for i in range(40)}


def one_of(fleet, tailer: bool, log) -> str:
    """Return the name of an instance that is a tailer, or isn't."""
    for name in fleet:
        follower = make_follower(
            log, SystemClock(), Counters(), instance=name, fleet=lambda: fleet
        )
        if follower.dump()["tailer"] is tailer:
            return name
    raise AssertionError


def test_in_a_large_fleet_each_domain_has_a_few_tailers(log) -> None:
    fleet = large_fleet()
    tailers = [
        domain
        for name, domain in fleet.items()
        if make_follower(
            log, SystemClock(), Counters(), instance=name, fleet=lambda: fleet
        ).dump()["tailer"]
    ]
    assert sorted(tailers) == ["karen"] * 3 + ["westlands"] * 3


def test_who_is_no_tailer_follows_its_peers_and_leaves_the_log_alone(
    log, make_log, started
) -> None:
    fleet = large_fleet()
    log.put_record("model/a", 1, None, {"layers": 4})
    peer = started(log)
    wait_ready(peer)
    own = make_log()
    own.records.extend(log.records)
    options = FollowerOptions(peer_poll_s=0.01, slow_poll_s=600)
    follower = started(
        own,
        lambda after: peer.slice_after(after, 100).records,
        options,
        instance=one_of(fleet, False, log),
        fleet=lambda: fleet,
    )
    wait_ready(follower)
    for based_on in range(3):
        offset = log.put_record("model/a", 1, based_on, {"layers": 5 + based_on})
        assert follower.wait(offset, TIMEOUT_S)
    assert follower.current.models_by_name["a"].layers == 7
    assert own.reads <= 2, "one to be ready, and one slow poll"


def test_who_is_no_tailer_reads_the_log_when_peers_are_gone(log, started) -> None:
    fleet = large_fleet()
    options = FollowerOptions(peer_poll_s=0.01, slow_poll_s=600, lone_poll_s=0.05)
    follower = started(
        log,
        lambda after: None,
        options,
        instance=one_of(fleet, False, log),
        fleet=lambda: fleet,
    )
    wait_ready(follower)
    offset = log.put_record("model/a", 1, None, {"layers": 4})
    assert follower.wait(offset, TIMEOUT_S)


def test_after_a_gap_in_the_log_a_peers_whole_state_is_taken(
    log, make_log, started
) -> None:
    log.put_record("model/a", 1, None, {"layers": 4})
    log.put_record("model/b", 1, None, {"layers": 4})
    own = make_log()
    own.records.extend(log.records)
    peer = started(log)
    follower = started(own, lambda after: peer.slice_after(after, 100).records)
    wait_ready(follower)
    own.down = True
    log.put_record("model/a", 1, 0, {"layers": 5})
    log.put_record("model/b", 1, 1, None)
    assert peer.wait(3, TIMEOUT_S)
    with own.changed:
        own.records[:] = log.records
        own.drop_before(4)
        own.down = False
    assert follower.wait(3, TIMEOUT_S)
    models = follower.current.models_by_name
    assert {name: model.layers for name, model in models.items()} == {"a": 5}
    assert follower.dump()["fold"]["uncertain"] == []


def test_a_long_log_is_not_read_where_a_peer_has_its_state(
    log, make_log, started
) -> None:
    for based_on in [None, *range(20)]:
        log.put_record("model/a", 1, based_on, {"layers": 4})
    peer = started(log)
    wait_ready(peer)
    own = make_log()
    own.records.extend(log.records)
    options = FollowerOptions(long_poll_s=0.05, read_limit=1, most_records_at_start=5)
    follower = started(own, lambda after: peer.slice_after(after, 100).records, options)
    wait_ready(follower)
    assert follower.current.offset == 20
    assert own.reads < 10


def test_after_an_outage_longer_than_retention_the_peers_know_what_is_in_force(
    log, make_log, started
) -> None:
    log.put_record("model/a", 1, None, {"layers": 4})
    peer = started(log)
    wait_ready(peer)
    empty = make_log()
    empty.records.extend(log.records)
    empty.drop_before(1)
    asked = threading.Event()

    def read(after: int):
        if not asked.is_set():
            asked.set()
            return None  # gossip has not heard of any peer yet
        return peer.slice_after(after, 100).records

    options = FollowerOptions(long_poll_s=0.05, peer_poll_s=0.01, peers_wait_s=600)
    follower = started(empty, read, options)
    wait_ready(follower)
    assert follower.current.models_by_name["a"].layers == 4


def test_a_lone_instance_believes_the_log_after_a_while(log, started) -> None:
    log.put_record("model/a", 1, None, {"layers": 4})
    log.put_record("model/b", 1, None, {"layers": 4})
    log.drop_before(1)
    options = FollowerOptions(long_poll_s=0.05, peer_poll_s=0.01, peers_wait_s=0.2)
    follower = started(log, lambda after: None, options)
    wait_ready(follower)
    assert set(follower.current.models_by_name) == {"b"}


def test_slices_are_cut_at_the_limit_and_go_on_from_there(log, started) -> None:
    for i in range(5):
        log.put_record(f"model/m{i}", 1, None, {"layers": 4})
    follower = started(log)
    wait_ready(follower)
    first = follower.slice_after(-1, 2)
    assert ([r.offset for r in first.records], first.complete) == ([0, 1], False)
    rest = follower.slice_after(first.next_offset - 1, 100)
    assert [r.offset for r in rest.records] == [2, 3, 4]
    assert (rest.next_offset, rest.complete) == (5, True)


def test_an_outage_adds_no_threads(log, started) -> None:
    log.put_record("model/a", 1, None, {"layers": 4})
    counters = Counters()
    follower = started(log, lambda after: None, counters=counters)
    wait_ready(follower)
    log.down = True
    before = threading.active_count()
    pause = threading.Event()
    for _ in range(1000):
        if counters.count("config.follower.log_unavailable") > 20:
            break
        pause.wait(0.01)
    assert counters.count("config.follower.log_unavailable") > 20
    assert threading.active_count() <= before
    assert follower.current.models_by_name["a"].layers == 4
