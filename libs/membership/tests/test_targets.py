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


class ViewHarness:
    """The target view of one instance, with its clock and gossip updates."""

    def __init__(self, clock: ManualClock | None = None, domain: str = "d0") -> None:
        self.clock = clock or ManualClock()
        self.counters = Counters()
        self.updates: UpdateStore = make_update_store(self.clock, self.counters, "me")
        self.view: TargetView = make_target_view(
            self.clock, self.counters, self.updates, domain
        )

    def eligible_ids(self, name: str = "m") -> set[str]:
        return {target.id for target in self.view.eligible_targets(name)}

    def apply_list(self, version: int, *instances: Instance) -> None:
        by_id = {instance.id: instance for instance in instances}
        self.view.update_from_list(InstanceList(version, by_id))

    def record(self, target_id: str, *observations: Observation) -> None:
        for observation in observations:
            self.view.observe(target_id, observation)


def make_engine(
    number: int, first: int = 0, last: int = 12, **changes: Any
) -> Instance:
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


def make_service(number: int) -> Instance:
    return make_engine(
        number, id=f"s{number}", role="service", target="s", attributes={}
    )


def make_engines(count: int) -> list[Instance]:
    return [make_engine(number) for number in range(count)]


def test_empty_or_older_list_changes_nothing() -> None:
    harness = ViewHarness()
    harness.apply_list(5, *make_engines(3))
    harness.apply_list(6)
    harness.apply_list(4, make_engine(0))
    assert harness.eligible_ids() == {"e0", "e1", "e2"}
    assert harness.counters.count("targets.list_empty") == 1
    assert harness.counters.count("targets.list_stale") == 1


def test_leaving_target_is_ineligible_and_announced_to_peers() -> None:
    local, peer = ViewHarness(), ViewHarness()
    for harness in (local, peer):
        harness.apply_list(1, *make_engines(2))
    local.apply_list(2, make_engine(0, state="leaving"), make_engine(1))
    peer.updates.receive(local.updates.select_for_heartbeat(8))
    assert local.eligible_ids() == {"e1"}
    assert peer.eligible_ids() == {"e1"}


@pytest.mark.parametrize("list_state", ["fresh", "stale", "empty", "unavailable"])
def test_draining_target_is_ineligible_for_any_state_of_the_list(
    list_state: str,
) -> None:
    harness = ViewHarness()
    harness.apply_list(1, *make_engines(2))
    harness.record("e0", Draining())
    match list_state:
        case "fresh":
            harness.apply_list(2, *make_engines(2))
        case "stale":
            harness.apply_list(0, *make_engines(2))
        case "empty":
            harness.apply_list(2)
    assert harness.eligible_ids() == {"e1"}
    harness.clock.advance(20)
    assert harness.eligible_ids() == {"e1"}


def test_leaving_target_is_never_a_last_resort() -> None:
    harness = ViewHarness()
    harness.apply_list(1, make_engine(0))
    harness.record("e0", Draining())
    assert harness.eligible_ids() == set()


def test_new_incarnation_is_unaffected_by_updates_about_the_old_one() -> None:
    local, peer = ViewHarness(), ViewHarness()
    for harness in (local, peer):
        harness.apply_list(1, *make_engines(2))
    local.record("e0", Draining())
    old_updates = local.updates.select_for_heartbeat(8)
    peer.apply_list(2, make_engine(0, incarnation=2), make_engine(1))
    peer.updates.receive(old_updates)
    assert peer.eligible_ids() == {"e0", "e1"}
    peer.apply_list(3, make_engine(0, incarnation=1), make_engine(1))
    assert peer.eligible_ids() == {"e0", "e1"}
    assert peer.view.get("e0").incarnation == 2


def test_leaving_update_applies_to_target_listed_later() -> None:
    local, peer = ViewHarness(), ViewHarness()
    local.apply_list(1, *make_engines(2))
    local.record("e0", Draining())
    peer.updates.receive(local.updates.select_for_heartbeat(8))
    peer.apply_list(1, *make_engines(2))
    assert peer.eligible_ids() == {"e1"}


def test_confirmed_live_target_is_eligible_again() -> None:
    harness = ViewHarness()
    harness.apply_list(1, *make_engines(2))
    harness.record("e0", Draining())
    harness.view.confirm_live("e0", incarnation=1)
    assert harness.eligible_ids() == {"e0", "e1"}


def test_failed_target_gets_one_trial_request_after_backoff() -> None:
    harness = ViewHarness()
    harness.apply_list(1, *make_engines(3))
    harness.record("e0", Refused())
    assert harness.eligible_ids() == {"e1", "e2"}
    harness.clock.advance(1)
    assert harness.eligible_ids() == {"e0", "e1", "e2"}
    assert harness.view.is_half_open("e0")
    harness.view.begin_trial("e0")
    assert harness.eligible_ids() == {"e1", "e2"}
    harness.record("e0", Succeeded())
    assert harness.eligible_ids() == {"e0", "e1", "e2"}


def test_failed_trial_doubles_backoff_and_lost_trial_times_out() -> None:
    harness = ViewHarness()
    harness.apply_list(1, *make_engines(3))
    harness.record("e0", Refused())
    harness.clock.advance(1)
    harness.view.begin_trial("e0")
    harness.record("e0", Stalled())
    harness.clock.advance(0.65)
    assert "e0" not in harness.eligible_ids()
    harness.clock.advance(1)
    harness.view.begin_trial("e0")
    assert "e0" not in harness.eligible_ids()
    harness.clock.advance(11)
    assert "e0" in harness.eligible_ids()


def test_two_consecutive_inconclusive_failures_open_circuit() -> None:
    harness = ViewHarness()
    harness.apply_list(1, *make_engines(3))
    harness.record("e0", Reset(), Succeeded(), Reset())
    assert "e0" in harness.eligible_ids()
    harness.record("e0", Stalled())
    assert "e0" not in harness.eligible_ids()


def test_failures_never_leave_a_layer_uncovered() -> None:
    harness = ViewHarness()
    harness.apply_list(
        1, make_engine(0, 0, 12), make_engine(1, 12, 24), make_engine(2, 8, 24)
    )
    harness.record("e0", Refused())
    assert harness.eligible_ids() == {"e0", "e1", "e2"}
    assert harness.view.last_resorts("m") == {"e0"}
    harness.record("e1", Refused())
    assert harness.eligible_ids() == {"e0", "e2"}
    harness.record("e2", Refused())
    assert harness.eligible_ids() == {"e0", "e1"}
    assert harness.counters.count("targets.kept_as_last_resort") >= 2


def test_service_keeps_one_target_as_last_resort() -> None:
    harness = ViewHarness()
    harness.apply_list(1, make_service(0), make_service(1))
    harness.record("s0", Refused())
    harness.record("s1", Refused())
    assert len(harness.eligible_ids("s")) == 1


def test_failing_update_applies_in_same_domain_only() -> None:
    local, same_domain, other_domain = (
        ViewHarness(),
        ViewHarness(),
        ViewHarness(domain="d1"),
    )
    for harness in (local, same_domain, other_domain):
        harness.apply_list(1, *make_engines(3))
    local.record("e0", Refused())
    for harness in (same_domain, other_domain):
        harness.updates.receive(local.updates.select_for_heartbeat(8))
    assert same_domain.eligible_ids() == {"e1", "e2"}
    assert other_domain.eligible_ids() == {"e0", "e1", "e2"}


def test_peers_learn_new_target_before_their_list_contains_it() -> None:
    local, peer = ViewHarness(), ViewHarness()
    for harness in (local, peer):
        harness.apply_list(1, *make_engines(2))
    local.apply_list(3, *make_engines(3), make_engine(0, incarnation=2))
    peer.updates.receive(local.updates.select_for_heartbeat(8))
    assert peer.eligible_ids() == {"e0", "e1", "e2"}
    assert peer.view.get("e0").incarnation == 2
    peer.apply_list(2, *make_engines(2))
    peer.clock.advance(10)
    assert peer.eligible_ids() == {"e0", "e1", "e2"}
    peer.apply_list(4, *make_engines(2))
    peer.clock.advance(10)
    assert peer.eligible_ids() == {"e0", "e1"}


def test_late_update_does_not_restore_removed_target() -> None:
    local, peer = ViewHarness(), ViewHarness()
    for harness in (local, peer):
        harness.apply_list(1, *make_engines(2))
    local.apply_list(3, *make_engines(3))
    peer.apply_list(5, *make_engines(2))
    peer.updates.receive(local.updates.select_for_heartbeat(8))
    assert peer.eligible_ids() == {"e0", "e1"}


def test_targets_of_first_list_are_not_announced() -> None:
    harness = ViewHarness()
    harness.apply_list(1, *make_engines(50))
    assert harness.updates.select_for_heartbeat(8) == []


def test_own_recent_success_overrides_a_peers_failure_report() -> None:
    local, peer = ViewHarness(), ViewHarness()
    for harness in (local, peer):
        harness.apply_list(1, *make_engines(3))
    local.record("e0", Refused())
    peer.record("e0", Succeeded())
    peer.updates.receive(local.updates.select_for_heartbeat(8))
    assert "e0" in peer.eligible_ids()


def test_unlisted_target_is_ineligible_after_grace_period_and_removed_later() -> None:
    harness = ViewHarness()
    harness.apply_list(1, *make_engines(4))
    harness.apply_list(2, make_engine(0), make_engine(1), make_engine(2))
    harness.clock.advance(4)
    harness.record("e3", Succeeded())
    harness.clock.advance(4)
    assert "e3" in harness.eligible_ids()
    harness.clock.advance(2)
    assert "e3" not in harness.eligible_ids()
    harness.clock.advance(60)
    harness.eligible_ids()
    assert harness.view.get("e3") is None


def test_shrunk_list_has_longer_grace_period() -> None:
    harness = ViewHarness()
    harness.apply_list(1, *make_engines(4))
    harness.apply_list(2, make_engine(0))
    harness.clock.advance(10)
    assert harness.eligible_ids() == {"e0", "e1", "e2", "e3"}
    harness.clock.advance(25)
    assert harness.eligible_ids() == {"e0"}


def test_malformed_list_entries_are_counted_and_skipped() -> None:
    harness = ViewHarness()
    malformed = make_engine(1, attributes={"first_layer": "0", "last_layer": None})
    reversed_range = make_engine(2, 12, 0)
    harness.apply_list(1, make_engine(0), malformed, reversed_range)
    assert harness.eligible_ids() == {"e0"}
    assert harness.counters.count("targets.malformed") == 2


def test_eligible_targets_are_cached_until_revision_increases() -> None:
    harness = ViewHarness()
    revisions = []
    harness.view.subscribe(lambda: revisions.append(harness.view.revision))
    harness.apply_list(1, *make_engines(3))
    targets_before, revision = harness.view.eligible_targets("m"), harness.view.revision
    harness.record("e0", Succeeded())
    assert harness.view.eligible_targets("m") is targets_before
    harness.record("e0", Refused())
    assert harness.view.eligible_targets("m") is not targets_before
    assert harness.view.revision > revision
    assert revisions == sorted(revisions)
    assert len(revisions) == 2
