"""What an entry instance knows from the store and from peers, as a process."""

import itertools
import json
import socket
import time

import pytest
from entry_process import Entry, wait_for


def targets_in(events):
    return [event for event in events if event["what"] == "targets"]


def test_a_key_that_is_taken_away_is_refused_soon(entry, fleet):
    assert entry.request("GET", "/look/1", "h1", key="key-3").status == 200
    fleet.configure(tenants=[{"name": "kiosk", "apiKeys": ["key-1"]}])
    wait_for(
        lambda: entry.request("GET", "/look/1", "h2", key="key-3").status == 401, 2
    )


def test_a_change_that_a_waiting_read_misses_is_in_force_within_two_seconds(
    entry, fleet
):
    """Found by hunt-4600-19 of troskgille-hosting: a read that began in an append."""
    fleet.store.misses_changes = True
    time.sleep(0.2)
    fleet.configure(tenants=[{"name": "kiosk", "apiKeys": ["key-1"]}])
    wait_for(
        lambda: entry.request("GET", "/look/1", "i0", key="key-3").status == 401, 2
    )


def test_an_older_configuration_changes_nothing(entry, fleet):
    fleet.configure(tenants=[{"name": "kiosk", "apiKeys": ["key-1"]}])
    wait_for(
        lambda: entry.request("GET", "/look/1", "i1", key="key-3").status == 401, 2
    )
    fleet.version -= 6
    fleet.configure()
    time.sleep(0.5)
    assert entry.request("GET", "/look/1", "i2", key="key-3").status == 401


def test_entries_of_other_writers_are_skipped(entry, fleet):
    good = fleet.services["west-desk"].entry()
    for number, entry_value in enumerate(
        [b"\xff\xfe", b"[]", {"state": "ready"}, good | {"state": "lost"}]
    ):
        fleet.put_entry(f"forged-{number}", entry_value)
    fleet.put_entry("forged-x", good | {"seq": "many", "addr": 7})
    wait_for(lambda: len(entry.events("target_unreadable")) == 5, 5)
    assert entry.request("GET", "/look/1", "k1").status == 200


def test_it_serves_on_while_the_store_is_away(entry, fleet):
    fleet.store.down = True
    wait_for(lambda: entry.events("store_lost"), 8)
    assert entry.stream("l1").status == 200
    assert entry.request("POST", "/book/1", "l2", body=b"x").status == 200
    fleet.store.down = False
    wait_for(lambda: entry.events("store_regained"), 8)


def test_layers_of_an_engine_that_leaves_while_the_store_is_away_are_placed_anew(
    entry, fleet
):
    """Pattern: wanjiru-descale hunt-0b8a-27; engines drain, the list can't say it."""
    fleet.store.down = True
    wait_for(lambda: targets_in(entry.events("store_lost")), 8)
    leaving = fleet.engines["west-big"]
    orders = sum(len(each.orders) for each in fleet.engines.values())

    async def drain():
        leaving.state = "draining"

    fleet.call(drain())
    numbers = itertools.count()

    def left():
        entry.stream(f"w{next(numbers)}").read()
        return entry.events("engine_leaves")

    wait_for(left, 8)
    assert {event["engine"] for event in entry.events("engine_leaves")} == {leaving.id}
    wait_for(
        lambda: sum(len(each.orders) for each in fleet.engines.values()) > orders, 8
    )
    wait_for(lambda: entry.events("layers_learnt"), 8)
    before = len(leaving.runs)
    assert entry.stream("x1").status == 200
    assert len(leaving.runs) == before


def test_entries_that_lapse_while_the_store_is_away_stay_for_two_seconds(entry, fleet):
    fleet.store.down = True
    wait_for(lambda: targets_in(entry.events("store_lost")), 8)
    for target_id in ("west-desk", "east-desk"):
        fleet.put_entry(target_id, None)
    fleet.store.down = False
    wait_for(lambda: targets_in(entry.events("store_regained")), 8)
    assert entry.request("GET", "/look/1", "l3").status == 200
    fleet.services["west-desk"].beats += 1
    fleet.put_entry("west-desk", fleet.services["west-desk"].entry())
    wait_for(lambda: entry.events("targets_lapsed"), 4)
    assert entry.events("targets_lapsed")[0]["targets"] == ["east-desk"]
    assert entry.request("GET", "/look/1", "l4").status == 200


def test_a_forgotten_history_is_read_anew(entry, fleet):
    fleet.store.forget_history("keyed.op")
    fleet.configure(tenants=[{"name": "kiosk", "apiKeys": ["key-1"]}])
    fleet.store.forget_history("keyed.op")
    wait_for(
        lambda: entry.request("GET", "/look/1", "m1", key="key-3").status == 401, 3
    )


def test_without_a_configuration_it_says_that_the_request_has_not_run(
    platform, tmp_path
):
    entry = Entry(platform, tmp_path).start()
    try:
        wait_for(lambda: entry.log_path.exists() and entry.events("start"), 10)
        wait_for(lambda: entry.request("GET", "/look/1", "p1").status == 503, 5)
        assert not entry.is_ready()
        response = entry.request("GET", "/look/1", "p2")
        assert float(response.getheader("Retry-After")) > 0
    finally:
        entry.end()


@pytest.fixture
def newcomer(entry, fleet, tmp_path):
    """A second instance that has not started."""
    newcomer = Entry(fleet, tmp_path, "entry-2", "east", beside=entry)
    yield newcomer
    newcomer.end()
    assert not newcomer.events("task_failed")


def test_an_instance_that_starts_without_the_store_asks_a_peer(entry, fleet, newcomer):
    """The pattern of incident inc-807a: instances start while the store is away."""
    fleet.store.down = True
    newcomer.start().wait_ready()
    assert newcomer.stream("v1").status == 200
    (taken,) = newcomer.events("configuration_in_force")
    assert taken["source"] == f"{entry.ip}:{entry.peer}"
    fleet.store.down = False
    wait_for(lambda: len(newcomer.events("store_regained")) >= 2, 8)
    assert newcomer.request("GET", "/look/1", "v2").status == 200


def test_a_peer_that_reads_the_store_passes_a_change_on(entry, fleet, newcomer):
    newcomer.start().wait_ready()
    wait_for(lambda: json.loads(entry.ask("/dump"))["peers"], 8)
    newcomer.settings["platform"]["addr"] = "127.0.0.1:1"
    newcomer.write_settings()
    wait_for(lambda: len(newcomer.events("store_lost")) >= 2, 8)
    time.sleep(4)  # its membership lapses meanwhile
    version = fleet.configure()["version"]
    wait_for(lambda: newcomer.versions_in_force()[-1] == version, 2)


@pytest.mark.parametrize("used", ["front", "ready", "peer"])
def test_an_address_in_use_ends_the_start_with_its_remedy(platform, tmp_path, used):
    entry = Entry(platform, tmp_path)
    with socket.create_server((entry.ip, getattr(entry, used))):
        assert entry.start().wait(10) == 2
    (failed,) = entry.events("start_failed")
    assert f"{entry.ip}:{getattr(entry, used)}" in failed["reason"]
    assert "Remedy: End the process that holds it" in failed["reason"]


def test_a_process_that_ends_at_its_start_is_reported_with_its_output(
    platform, tmp_path
):
    """An error in CI showed 15 s without readiness, and not why."""
    entry = Entry(platform, tmp_path)
    with (
        socket.create_server((entry.ip, entry.front)),
        pytest.raises(AssertionError, match="(?s)ended with 2:.*start_failed"),
    ):
        entry.start().wait_ready()
