"""Tests of celeryfork_membership.update_store."""

from typing import Any

import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_membership import update_store
from celeryfork_membership.errors import NewsTooLargeError
from celeryfork_membership.update_store import UpdateStore, make_update_store
from celeryfork_wire.gen.celeryfork.ttypes import News
from hypothesis import given
from hypothesis import strategies as st


def make_store(clock: ManualClock | None = None, origin: str = "a") -> UpdateStore:
    return make_update_store(clock or ManualClock(), Counters(), origin)


def make_wire_update(**changes: Any) -> News:
    fields: dict[str, Any] = {
        "kind": "k",
        "subject": "s",
        "version": 5,
        "body": '{"n": 5}',
        "age_ms": 0,
        "origin": "b",
        "ttl_ms": 60_000,
    }
    return News(**(fields | changes))


def test_update_is_delivered_to_subscribers_of_peer_once() -> None:
    store, peer_store = make_store(), make_store(origin="b")
    received: list[tuple[str, dict[str, Any], str]] = []
    peer_store.subscribe("k", lambda *update: received.append(update))
    store.publish("k", "s", {"n": 1}, 60)
    for _ in range(3):
        peer_store.receive(store.select_for_heartbeat(8))
    assert received == [("s", {"n": 1}, "a")]
    assert peer_store.current_bodies("k") == {"s": {"n": 1}}


@given(st.permutations([(1, "1"), (2, "2"), (3, "3"), (3, "4"), (2, "9")]))
def test_stores_agree_for_any_order_of_arrival(
    arrivals: list[tuple[int, str]],
) -> None:
    store = make_store()
    for version, body in arrivals:
        store.receive([make_wire_update(version=version, body=f'{{"n": {body}}}')])
    assert store.current_bodies("k") == {"s": {"n": 4}}


def test_later_publication_wins_after_wall_clock_went_back() -> None:
    store = make_store()
    store.receive([make_wire_update(version=1 << 60)])
    store.publish("k", "s", {"n": 6}, 60)
    assert store.current_bodies("k") == {"s": {"n": 6}}


def test_updates_expire_by_their_transmitted_age() -> None:
    clock = ManualClock()
    store = make_store(clock)
    store.receive(
        [
            make_wire_update(age_ms=50_000),
            make_wire_update(subject="expired", age_ms=70_000),
        ]
    )
    assert set(store.current_bodies("k")) == {"s"}
    clock.advance(11)
    assert store.current_bodies("k") == {}
    assert store.select_for_heartbeat(8) == []


@pytest.mark.parametrize(
    "changes",
    [
        {"body": "no json"},
        {"body": "[1]"},
        {"body": '{"n": "' + "x" * 600 + '"}'},
        {"subject": "s" * 300},
        {"age_ms": -1},
    ],
)
def test_malformed_updates_are_dropped_and_others_stored(
    changes: dict[str, Any],
) -> None:
    store = make_store()
    store.receive([make_wire_update(**changes), make_wire_update(subject="good")])
    assert set(store.current_bodies("k")) == {"good"}
    assert store._counters.count("news.malformed") == 1


def test_too_large_body_raises_error() -> None:
    with pytest.raises(NewsTooLargeError) as caught:
        make_store().publish("k", "s", {"n": "x" * 600}, 60)
    assert "512" in str(caught.value)


def test_heartbeat_size_is_bounded_and_newest_update_goes_first() -> None:
    clock = ManualClock()
    store = make_store(clock)
    store.background_kinds.add("k")
    for number in range(500):
        clock.advance(0.01)
        store.publish("k", f"s{number}", {"n": "x" * 40}, 60)
    sent = store.select_for_heartbeat(8)
    assert sent[0].subject == "s499"
    assert sum(len(u.body) + len(u.subject) + 60 for u in sent) <= 500


def test_urgent_update_goes_before_background_updates() -> None:
    clock = ManualClock()
    store = make_store(clock)
    store.background_kinds.add("peer")
    store.publish("target_leaving", "e1@1", {}, 60)
    clock.advance(1)
    for number in range(20):
        store.publish("peer", f"i{number}", {}, 60)
    assert store.select_for_heartbeat(8)[0].kind == "target_leaving"


def test_all_of_many_urgent_updates_are_sent() -> None:
    store = make_store()
    for number in range(40):
        store.publish("target_leaving", f"e{number}@1", {"domain": "d0"}, 60)
    sent_subjects = {
        u.subject for _ in range(4) for u in store.select_for_heartbeat(16)
    }
    assert len(sent_subjects) == 40


def test_settled_updates_are_repeated_in_rotation() -> None:
    clock = ManualClock()
    store = make_store(clock)
    for number in range(10):
        store.publish("k", f"s{number}", {}, 60)
    clock.advance(10)
    while store.dump()["spreading"]:
        store.select_for_heartbeat(8)
    repeated_subjects = {
        u.subject for _ in range(5) for u in store.select_for_heartbeat(8)
    }
    assert len(repeated_subjects) == 10


def test_number_of_updates_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(update_store, "MAX_UPDATES", 64)
    store = make_store()
    for number in range(500):
        store.publish("k", f"s{number}", {}, 60 + number)
    assert len(store.current_bodies("k")) <= 64
    assert "s499" in store.current_bodies("k")
