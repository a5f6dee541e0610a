"""Evidence of crashes in an entry process: from a peer, to operators, and cleared."""

import http.client
import json
import socket

import pytest
from entry_process import Entry, wait_for

ROW = ["llm", "part", "deadly",
       [[f"r{n}", "xaka200", 100, False] for n in range(3)], None, None]  # fmt: skip
CLEAR_URL = "/crash-evidence/clear?service=llm&part=deadly"


def send_evidence(entry, *rows):
    """Send evidence as a peer does."""
    report = {
        "from": "entry-9", "at": f"{entry.ip}:9", "domain": "west", "power": 1.0,
        "fence": None, "version": -1, "loads": {}, "layers": {}, "down": [],
        "speeds": {}, "crashes": rows,
    }  # fmt: skip
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(json.dumps(report).encode(), (entry.ip, entry.peer))


def evidence(entry):
    return json.loads(entry.ask("/dump"))["crash_evidence"]


def post(entry, port):
    connection = http.client.HTTPConnection(entry.ip, port, timeout=2)
    connection.request("POST", CLEAR_URL)
    return connection.getresponse().status


@pytest.fixture
def suspecting(entry):
    """Return an entry that heard from a peer of a part that crashed engines."""
    assert evidence(entry) == []
    send_evidence(entry, ROW)
    wait_for(lambda: evidence(entry), 3)
    return entry


def test_evidence_of_a_peer_is_seen_in_dump_and_metrics(suspecting):
    """Operators need the part's name to find its sender."""
    (row,) = evidence(suspecting)
    assert (row["service"], row["value"]) == ("llm", "deadly")
    assert row["verdict"] == "refuse"
    metrics = suspecting.ask("/metrics").decode()
    assert "celeryfork_crashes_convicted 1" in metrics
    assert "celeryfork_crashes_suspected 0" in metrics


def test_a_part_is_cleared_at_the_address_for_peers_only(suspecting):
    """The ready address is for the balancer, and may be open to callers."""
    assert post(suspecting, suspecting.ready) == 403
    assert evidence(suspecting)[0]["verdict"] == "refuse"
    assert post(suspecting, suspecting.peer) == 200
    assert evidence(suspecting)[0]["verdict"] == "clear"
    assert post(suspecting, suspecting.peer) == 404
    wait_for(lambda: suspecting.events("crash_cleared"), 2)


def test_evidence_and_its_clearing_reach_another_process(entry, fleet, tmp_path):
    """Kept to one process, a deadly part ends engines at each instance of a fleet."""
    other = Entry(fleet, tmp_path, "entry-2", "west", beside=entry).start()
    try:
        other.wait_ready()
        wait_for(lambda: json.loads(entry.ask("/dump"))["instances"] == 2, 10)
        send_evidence(entry, ROW)
        wait_for(lambda: [row["verdict"] for row in evidence(other)] == ["refuse"], 3)
        assert post(other, other.peer) == 200
        wait_for(lambda: [row["verdict"] for row in evidence(entry)] == ["clear"], 3)
    finally:
        other.end()
    assert not other.events("task_failed")
