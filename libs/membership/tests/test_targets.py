"""Tests of celeryfork_membership.targets."""

from typing import Any

import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_membership.targets import (
    Draining,
    Observation,
    Refused,
    Reset,
    Stalled,
    Succeeded,
    TargetView,
    make_target_view,
)
from celeryfork_membership.update_store import UpdateStore, make_update_store
from celeryfork_platform.model import Instance, InstanceList


class Node:
    """One instance's view with its clock and news."""

    def __init__(self, clock: ManualClock | None = None, domain: str = "d0") -> None:
        self.clock = clock or ManualClock()
        self.counters = Counters()
        self.news: UpdateStore = make_update_store(self.clock, self.counters, "me")
        self.view: TargetView = make_target_view(
            self.clock, self.counters, self.news, domain
        )

    def ids(self, name: str = "m") -> set[str]:
        return {target.id for target in self.view.eligible_targets(name)}

    def see(self, version: int, *instances: Instance) -> None:
        by_id = {instance.id: instance for instance in instances}
        self.view.update_from_list(InstanceList(version, by_id))

    def fail(self, target_id: str, *observations: Observation) -> None:
        for observation in observations:
            self.view.observe(target_id, observation)


def engine(number: int, first: int = 0, last: int = 12, **changes: Any) -> Instance:
    fields: dict[str, Any] = {
        "id": f"e{number}",
        "role": "engine",
        "target": "m",
        "domain": "d0",
        "address": f"127.0.0.1:{7000 + number}",
        "state": "live",
        "incarnation": 1,
        "attributes": {
            "first_layer": first,
            "last_layer": last,
            "accelerator": "k1",
            "version": "v1",
            "checks_fencing": True,
        },
    }
    return Instance(**(fields | changes))


def service(number: int) -> Instance:
    return engine(number, id=f"s{number}", role="service", target="s", attributes={})


def stage(count: int) -> list[Instance]:
    return [engine(number) for number in range(count)]


def test_an_empty_or_older_list_changes_nothing() -> None:
    node = Node()
    node.see(5, *stage(3))
    node.see(6)
    node.see(4, engine(0))
    assert node.ids() == {"e0", "e1", "e2"}
    assert node.counters.count("targets.list_empty") == 1
    assert node.counters.count("targets.list_stale") == 1


def test_a_leaving_target_is_out_at_once_and_peers_hear_of_it() -> None:
    node, peer = Node(), Node()
    for one in (node, peer):
        one.see(1, *stage(2))
    node.see(2, engine(0, state="leaving"), engine(1))
    peer.news.receive(node.news.select_for_heartbeat(8))
    assert node.ids() == {"e1"}
    assert peer.ids() == {"e1"}


@pytest.mark.parametrize("answer", ["fresh", "stale", "empty", "down"])
def test_a_draining_answer_takes_a_target_out_whatever_the_list_says(
    answer: str,
) -> None:
    node = Node()
    node.see(1, *stage(2))
    node.fail("e0", Draining())
    match answer:
        case "fresh":
            node.see(2, *stage(2))
        case "stale":
            node.see(0, *stage(2))
        case "empty":
            node.see(2)
    assert node.ids() == {"e1"}
    node.clock.advance(20)
    assert node.ids() == {"e1"}


def test_a_leaving_target_goes_even_if_it_is_the_last() -> None:
    node = Node()
    node.see(1, engine(0))
    node.fail("e0", Draining())
    assert node.ids() == set()


def test_a_new_incarnation_clears_leaving_and_older_news_cannot_undo_it() -> None:
    node, peer = Node(), Node()
    for one in (node, peer):
        one.see(1, *stage(2))
    node.fail("e0", Draining())
    old_news = node.news.select_for_heartbeat(8)
    peer.see(2, engine(0, incarnation=2), engine(1))
    peer.news.receive(old_news)
    assert peer.ids() == {"e0", "e1"}
    peer.see(3, engine(0, incarnation=1), engine(1))
    assert peer.ids() == {"e0", "e1"}
    assert peer.view.get("e0").incarnation == 2


def test_news_that_came_before_the_list_counts_when_the_list_shows_the_target() -> None:
    node, peer = Node(), Node()
    node.see(1, *stage(2))
    node.fail("e0", Draining())
    peer.news.receive(node.news.select_for_heartbeat(8))
    peer.see(1, *stage(2))
    assert peer.ids() == {"e1"}


def test_a_target_that_says_it_is_live_again_comes_back() -> None:
    node = Node()
    node.see(1, *stage(2))
    node.fail("e0", Draining())
    node.view.confirm_live("e0", incarnation=1)
    assert node.ids() == {"e0", "e1"}


def test_a_refused_target_is_out_then_tried_by_one_request_at_a_time() -> None:
    node = Node()
    node.see(1, *stage(3))
    node.fail("e0", Refused())
    assert node.ids() == {"e1", "e2"}
    node.clock.advance(1)
    assert node.ids() == {"e0", "e1", "e2"}
    assert node.view.is_half_open("e0")
    node.view.begin_trial("e0")
    assert node.ids() == {"e1", "e2"}
    node.fail("e0", Succeeded())
    assert node.ids() == {"e0", "e1", "e2"}


def test_a_failed_trial_backs_off_for_longer_and_a_lost_one_is_given_again() -> None:
    node = Node()
    node.see(1, *stage(3))
    node.fail("e0", Refused())
    node.clock.advance(1)
    node.view.begin_trial("e0")
    node.fail("e0", Stalled())
    node.clock.advance(0.65)
    assert "e0" not in node.ids()
    node.clock.advance(1)
    node.view.begin_trial("e0")
    assert "e0" not in node.ids()
    node.clock.advance(11)
    assert "e0" in node.ids()


def test_one_reset_is_forgiven_two_are_not() -> None:
    node = Node()
    node.see(1, *stage(3))
    node.fail("e0", Reset(), Succeeded(), Reset())
    assert "e0" in node.ids()
    node.fail("e0", Stalled())
    assert "e0" not in node.ids()


def test_a_stage_is_never_emptied_by_failures() -> None:
    node = Node()
    node.see(1, engine(0, 0, 12), engine(1, 12, 24), engine(2, 8, 24))
    node.fail("e0", Refused())
    assert node.ids() == {"e0", "e1", "e2"}
    assert node.view.last_resorts("m") == {"e0"}
    node.fail("e1", Refused())
    assert node.ids() == {"e0", "e2"}
    node.fail("e2", Refused())
    assert node.ids() == {"e0", "e1"}
    assert node.counters.count("targets.kept_as_last_resort") >= 2


def test_a_service_keeps_the_least_bad_target() -> None:
    node = Node()
    node.see(1, service(0), service(1))
    node.fail("s0", Refused())
    node.fail("s1", Refused())
    assert len(node.ids("s")) == 1


def test_peers_news_of_a_failing_target_counts_from_the_same_domain_only() -> None:
    node, near, far = Node(), Node(), Node(domain="d1")
    for one in (node, near, far):
        one.see(1, *stage(3))
    node.fail("e0", Refused())
    for one in (near, far):
        one.news.receive(node.news.select_for_heartbeat(8))
    assert near.ids() == {"e1", "e2"}
    assert far.ids() == {"e0", "e1", "e2"}


def test_peers_hear_of_a_new_target_before_their_list_shows_it() -> None:
    node, peer = Node(), Node()
    for one in (node, peer):
        one.see(1, *stage(2))
    node.see(3, *stage(3), engine(0, incarnation=2))
    peer.news.receive(node.news.select_for_heartbeat(8))
    assert peer.ids() == {"e0", "e1", "e2"}
    assert peer.view.get("e0").incarnation == 2
    peer.see(2, *stage(2))
    peer.clock.advance(10)
    assert peer.ids() == {"e0", "e1", "e2"}
    peer.see(4, *stage(2))
    peer.clock.advance(10)
    assert peer.ids() == {"e0", "e1"}


def test_late_news_of_a_new_target_does_not_revive_it() -> None:
    node, peer = Node(), Node()
    for one in (node, peer):
        one.see(1, *stage(2))
    node.see(3, *stage(3))
    peer.see(5, *stage(2))
    peer.news.receive(node.news.select_for_heartbeat(8))
    assert peer.ids() == {"e0", "e1"}


def test_a_first_list_is_not_spread() -> None:
    node = Node()
    node.see(1, *stage(50))
    assert node.news.select_for_heartbeat(8) == []


def test_own_success_outweighs_a_peers_news() -> None:
    node, peer = Node(), Node()
    for one in (node, peer):
        one.see(1, *stage(3))
    node.fail("e0", Refused())
    peer.fail("e0", Succeeded())
    peer.news.receive(node.news.select_for_heartbeat(8))
    assert "e0" in peer.ids()


def test_a_target_gone_from_the_list_goes_unless_it_is_seen_working() -> None:
    node = Node()
    node.see(1, *stage(4))
    node.see(2, engine(0), engine(1), engine(2))
    node.clock.advance(4)
    node.fail("e3", Succeeded())
    node.clock.advance(4)
    assert "e3" in node.ids()
    node.clock.advance(2)
    assert "e3" not in node.ids()
    node.clock.advance(60)
    node.ids()
    assert node.view.get("e3") is None


def test_a_list_that_lost_most_targets_is_given_time() -> None:
    node = Node()
    node.see(1, *stage(4))
    node.see(2, engine(0))
    node.clock.advance(10)
    assert node.ids() == {"e0", "e1", "e2", "e3"}
    node.clock.advance(25)
    assert node.ids() == {"e0"}


def test_malformed_entries_are_counted_and_touch_nothing_else() -> None:
    node = Node()
    broken = engine(1, attributes={"first_layer": "0", "last_layer": None})
    upside_down = engine(2, 12, 0)
    node.see(1, engine(0), broken, upside_down)
    assert node.ids() == {"e0"}
    assert node.counters.count("targets.malformed") == 2


def test_in_choice_is_cached_until_the_revision_grows() -> None:
    node = Node()
    told = []
    node.view.subscribe(lambda: told.append(node.view.revision))
    node.see(1, *stage(3))
    before, revision = node.view.eligible_targets("m"), node.view.revision
    node.fail("e0", Succeeded())
    assert node.view.eligible_targets("m") is before
    node.fail("e0", Refused())
    assert node.view.eligible_targets("m") is not before
    assert node.view.revision > revision
    assert told == sorted(told)
    assert len(told) == 2
