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


def board(clock: ManualClock | None = None, origin: str = "a") -> UpdateStore:
    return make_update_store(clock or ManualClock(), Counters(), origin)


def piece(**changes: Any) -> News:
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


def test_a_fact_reaches_a_peers_subscribers_once() -> None:
    one, other = board(), board(origin="b")
    heard: list[tuple[str, dict[str, Any], str]] = []
    other.subscribe("k", lambda *fact: heard.append(fact))
    one.publish("k", "s", {"n": 1}, 60)
    for _ in range(3):
        other.receive(one.select_for_heartbeat(8))
    assert heard == [("s", {"n": 1}, "a")]
    assert other.current("k") == {"s": {"n": 1}}


@given(st.permutations([(1, "1"), (2, "2"), (3, "3"), (3, "4"), (2, "9")]))
def test_boards_agree_whatever_the_order_of_arrival(
    order: list[tuple[int, str]],
) -> None:
    one = board()
    for version, body in order:
        one.receive([piece(version=version, body=f'{{"n": {body}}}')])
    assert one.current("k") == {"s": {"n": 4}}


def test_a_later_publication_wins_also_after_the_wall_clock_went_back() -> None:
    one = board()
    one.receive([piece(version=1 << 60)])
    one.publish("k", "s", {"n": 6}, 60)
    assert one.current("k") == {"s": {"n": 6}}


def test_facts_expire_by_the_age_that_they_travelled_with() -> None:
    clock = ManualClock()
    one = board(clock)
    one.receive([piece(age_ms=50_000), piece(subject="late", age_ms=70_000)])
    assert set(one.current("k")) == {"s"}
    clock.advance(11)
    assert one.current("k") == {}
    assert one.select_for_heartbeat(8) == []


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
def test_malformed_news_is_dropped_and_the_rest_is_taken(
    changes: dict[str, Any],
) -> None:
    one = board()
    one.receive([piece(**changes), piece(subject="good")])
    assert set(one.current("k")) == {"good"}
    assert one._counters.count("news.malformed") == 1


def test_a_body_that_does_not_fit_is_refused() -> None:
    with pytest.raises(NewsTooLargeError) as caught:
        board().publish("k", "s", {"n": "x" * 600}, 60)
    assert "512" in str(caught.value)


def test_heartbeats_are_bounded_and_the_newest_fact_goes_first() -> None:
    clock = ManualClock()
    one = board(clock)
    one.background_kinds.add("k")
    for number in range(500):
        clock.advance(0.01)
        one.publish("k", f"s{number}", {"n": "x" * 40}, 60)
    sent = one.select_for_heartbeat(8)
    assert sent[0].subject == "s499"
    assert sum(len(n.body) + len(n.subject) + 60 for n in sent) <= 500


def test_weighty_news_goes_before_the_background() -> None:
    clock = ManualClock()
    one = board(clock)
    one.background_kinds.add("peer")
    one.publish("target_leaving", "e1@1", {}, 60)
    clock.advance(1)
    for number in range(20):
        one.publish("peer", f"i{number}", {}, 60)
    assert one.select_for_heartbeat(8)[0].kind == "target_leaving"


def test_many_weighty_facts_at_once_all_get_their_turn() -> None:
    one = board()
    for number in range(40):
        one.publish("target_leaving", f"e{number}@1", {"domain": "d0"}, 60)
    told = {n.subject for _ in range(4) for n in one.select_for_heartbeat(16)}
    assert len(told) == 40


def test_old_facts_are_repeated_in_rotation() -> None:
    clock = ManualClock()
    one = board(clock)
    for number in range(10):
        one.publish("k", f"s{number}", {}, 60)
    clock.advance(10)
    while one.dump()["spreading"]:
        one.select_for_heartbeat(8)
    repeated = {n.subject for _ in range(5) for n in one.select_for_heartbeat(8)}
    assert len(repeated) == 10


def test_the_board_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(update_store, "MOST_ITEMS", 64)
    one = board()
    for number in range(500):
        one.publish("k", f"s{number}", {}, 60 + number)
    assert len(one.current("k")) <= 64
    assert "s499" in one.current("k")
