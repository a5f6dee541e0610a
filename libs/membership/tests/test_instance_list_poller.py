"""Tests of celeryfork_membership.instance_list_poller."""

from types import SimpleNamespace

import pytest
from attrs import evolve
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PlatformUnavailableError
from celeryfork_membership.instance_list_poller import (
    InstanceListPoller,
    make_instance_list_poller,
)
from celeryfork_membership.targets import make_target_view
from celeryfork_membership.update_store import make_update_store
from celeryfork_platform.model import Instance, InstanceList

ENGINE = Instance(
    "e0",
    "engine",
    "m",
    "d0",
    "127.0.0.1:1",
    "live",
    1,
    {"first_layer": 0, "last_layer": 4},
)
ENTRY = Instance(
    "i0", "entry", "", "d0", "127.0.0.1:2", "live", 1, {"peer_address": "127.0.0.1:3"}
)
ODD_ENTRY = Instance("i1", "entry", "", "d0", "127.0.0.1:4", "live", 1, {})


class ListClient:
    """Answers with what a test put there; an exception is raised."""

    def __init__(self, *answers: InstanceList | Exception) -> None:
        self.answers = list(answers)

    def fetch(self, timeout_s: float) -> InstanceList:
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def make_watch(client: ListClient) -> tuple[InstanceListPoller, list[str]]:
    clock, counters = ManualClock(), Counters()
    view = make_target_view(clock, counters, make_update_store(clock, counters))
    seeds: list[str] = []
    gossip = SimpleNamespace(add_seeds=seeds.extend, peers_by_instance={})
    watch = make_instance_list_poller(client, view, gossip, clock, counters, 0.001)
    return watch, seeds


def test_the_list_fills_the_view_and_seeds_gossip() -> None:
    listed = InstanceList(1, {i.id: i for i in (ENGINE, ENTRY, ODD_ENTRY)})
    watch, seeds = make_watch(ListClient(listed))
    assert not watch.fetched
    assert watch.poll_once()
    assert [target.id for target in watch._view.eligible_targets("m")] == ["e0"]
    assert seeds == ["127.0.0.1:3"]


def test_a_failing_list_leaves_the_view_alone_and_is_asked_less_often() -> None:
    down = PlatformUnavailableError("down", "wait")
    listed = InstanceList(1, {"e0": ENGINE})
    watch, _ = make_watch(ListClient(listed, down, down, down, listed))
    watch.poll_once()
    assert watch._next_wait_s() < 0.002
    for _ in range(3):
        assert not watch.poll_once()
    assert [target.id for target in watch._view.eligible_targets("m")] == ["e0"]
    assert 0.006 < watch._next_wait_s() < 0.01
    assert watch.poll_once()
    assert watch._next_wait_s() < 0.002


def test_a_long_list_is_fetched_less_often_where_peers_fetch_it_too() -> None:
    many = {f"e{n}": evolve(ENGINE, id=f"e{n}") for n in range(1000)}
    watch, _ = make_watch(ListClient(InstanceList(1, many)))
    watch._poll_s = 2.0
    watch.poll_once()
    assert watch._interval_s() == 2.0
    watch._gossip.peers_by_instance.update(dict.fromkeys(range(9)))
    assert watch._interval_s() == 10.0
    watch._gossip.peers_by_instance.update(dict.fromkeys(range(689)))
    assert watch._interval_s() == pytest.approx(122, rel=0.01)


def test_a_fault_in_the_client_does_not_end_the_thread() -> None:
    listed = InstanceList(1, {"e0": ENGINE})
    watch, seeds = make_watch(ListClient(ValueError("odd"), listed))
    watch.start()
    watch._thread.join(timeout=0.01)
    while not watch.fetched:
        assert watch._thread.is_alive()
    watch.stop()
    assert not watch._thread.is_alive()
