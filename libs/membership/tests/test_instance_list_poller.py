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
ENTRY_WITHOUT_PEER_ADDRESS = Instance(
    "i1", "entry", "", "d0", "127.0.0.1:4", "live", 1, {}
)


class FakeListClient:
    """Returns the given responses in turn; exceptions are raised."""

    def __init__(self, *responses: InstanceList | Exception) -> None:
        self.responses = list(responses)

    def fetch(self, timeout_s: float) -> InstanceList:
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


def make_poller(client: FakeListClient) -> tuple[InstanceListPoller, list[str]]:
    clock, counters = ManualClock(), Counters()
    view = make_target_view(clock, counters, make_update_store(clock, counters))
    seeds: list[str] = []
    gossip = SimpleNamespace(add_seeds=seeds.extend, peers_by_instance={})
    poller = make_instance_list_poller(client, view, gossip, clock, counters, 0.001)
    return poller, seeds


def test_list_updates_view_and_adds_gossip_seeds() -> None:
    listed = InstanceList(
        1, {i.id: i for i in (ENGINE, ENTRY, ENTRY_WITHOUT_PEER_ADDRESS)}
    )
    poller, seeds = make_poller(FakeListClient(listed))
    assert not poller.fetched
    assert poller.poll_once()
    assert [target.id for target in poller._view.eligible_targets("m")] == ["e0"]
    assert seeds == ["127.0.0.1:3"]


def test_unavailable_list_keeps_view_and_backs_off() -> None:
    unavailable = PlatformUnavailableError("down", "wait")
    listed = InstanceList(1, {"e0": ENGINE})
    poller, _ = make_poller(
        FakeListClient(listed, unavailable, unavailable, unavailable, listed)
    )
    poller.poll_once()
    assert poller._next_wait_s() < 0.002
    for _ in range(3):
        assert not poller.poll_once()
    assert [target.id for target in poller._view.eligible_targets("m")] == ["e0"]
    assert 0.006 < poller._next_wait_s() < 0.01
    assert poller.poll_once()
    assert poller._next_wait_s() < 0.002


def test_long_list_is_polled_less_often_with_more_peers() -> None:
    many = {f"e{n}": evolve(ENGINE, id=f"e{n}") for n in range(1000)}
    poller, _ = make_poller(FakeListClient(InstanceList(1, many)))
    poller._poll_s = 2.0
    poller.poll_once()
    assert poller._interval_s() == 2.0
    poller._gossip.peers_by_instance.update(dict.fromkeys(range(9)))
    assert poller._interval_s() == 10.0
    poller._gossip.peers_by_instance.update(dict.fromkeys(range(689)))
    assert poller._interval_s() == pytest.approx(122, rel=0.01)


def test_unexpected_client_error_does_not_end_thread() -> None:
    listed = InstanceList(1, {"e0": ENGINE})
    poller, seeds = make_poller(FakeListClient(ValueError("unexpected"), listed))
    poller.start()
    poller._thread.join(timeout=0.01)
    while not poller.fetched:
        assert poller._thread.is_alive()
    poller.stop()
    assert not poller._thread.is_alive()
