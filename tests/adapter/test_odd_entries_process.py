"""A running instance beside odd entries of another writer in the store."""

import json

import pytest
from entry_process import Entry, wait_for

ENTRY = {
    "service": "llm", "addr": "10.0.0.1:80", "zone": "west", "slots": 8,
    "state": "ready", "seq": 4, "layers": {"from": 0, "to": 8}, "kind": "big",
    "born": 17,
}  # fmt: skip
ODD_VALUES = {
    "nested": b"[" * 200_000,
    "nested-layers": json.dumps(ENTRY)[:-1].encode() + b', "layers": ' + b"[" * 200_000,
    "many-digits": b'{"seq": ' + b"9" * 5_000 + b"}",
    "infinite": b'{"state": "ready", "seq": 1e999}',
    "not-utf-8": b"\xff\xfe\x00",
    "port-too-large": ENTRY | {"addr": "10.0.0.1:70000"},
    "port-zero": ENTRY | {"addr": "10.0.0.1:0"},
    "address-with-a-line-break": ENTRY | {"addr": "10.0.0.1\r\nx: y:80"},
    "slots-negative": ENTRY | {"slots": -5},
    "layers-too-large": ENTRY | {"layers": {"from": 0, "to": 10**18}},
    "start-over-64-bits": ENTRY | {"born": 1 << 70},
    "surrogate-zone": ENTRY | {"zone": "\ud800"},
    "kind-a-list": ENTRY | {"kind": ["big"]},
}
ODD_KEYS = ("i-\udcff", "k" * 200_000, "i 1\r\nx: y", "i-\ufffd")


def put_odd_entries(platform):
    for key, value in ODD_VALUES.items():
        platform.put_entry(key, value)


def counter(entry, name):
    """Return a counter of the metrics endpoint, 0 if it isn't there."""
    lines = entry.ask("/metrics").decode().splitlines()
    values = [line.split()[1] for line in lines if line.startswith(f"{name} ")]
    return float(values[0]) if values else 0.0


@pytest.fixture
def beside_odd_entries(fleet, start_entry):
    """Return an instance that starts with odd keys and entries in the list."""
    put_odd_entries(fleet)
    for key in ODD_KEYS:
        fleet.put_entry(key, ENTRY)
    return start_entry()


def test_an_instance_follows_the_list_beside_odd_entries(beside_odd_entries, fleet):
    """Instances ended again and again, or followed the list no more."""
    entry = beside_odd_entries
    for _ in range(3):
        put_odd_entries(fleet)
    fleet.add_service("west-desk-2", "west")
    wait_for(lambda: "west-desk-2" in targets_of(entry), 5)
    assert not targets_of(entry) & {*ODD_VALUES, *ODD_KEYS}

    fleet.put_entry("west-desk-2", b"[" * 200_000)
    wait_for(lambda: "west-desk-2" not in targets_of(entry), 5)
    version = fleet.configure()["version"]
    wait_for(lambda: entry.versions_in_force()[-1] == version, 5)
    assert entry.stream("a1").read().endswith(b"a1-20\n\n")

    assert entry.process.poll() is None
    assert not entry.events("task_failed")
    assert not entry.events("unstructured")
    expected = 4 * len(ODD_VALUES) + len(ODD_KEYS) + 1
    assert counter(entry, "celeryfork_targets_unreadable") >= expected
    logged = [event["target"] for event in entry.events("target_unreadable")]
    assert len(logged) == len(set(logged)) == len(ODD_VALUES) + len(ODD_KEYS) + 1


def targets_of(entry):
    return set(json.loads(entry.ask("/dump"))["targets"])


def test_peers_take_the_list_of_an_instance_beside_odd_entries(
    beside_odd_entries, fleet, tmp_path
):
    """An entry that can't be encoded left all followers without a list."""
    entry = beside_odd_entries
    fleet.store.down = True
    second = Entry(fleet, tmp_path, "entry-2", beside=entry).start()
    try:
        second.wait_ready()
        assert targets_of(second) == targets_of(entry)
        assert not second.events("task_failed")
    finally:
        second.end()
