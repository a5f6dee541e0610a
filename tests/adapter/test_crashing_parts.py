"""Requests that crash each target which runs them, at instances of two domains.

The deadly requests come at changing instances, and sound ones beside them.
"""

import json

import pytest
from deadly_play import DEADLINE_S, DeadlyPlay
from entry_process import Entry, wait_for
from prompt_parts import DEADLY_PART, prompt_parts

ZONES = ("west", "east", "west", "east")
"""Zones of the instances."""
CRASHES_OF_A_PART = 5
"""Crashes after which, and after the stable window, a part must reach no engine."""
MOST_CRASHES_OF_A_PART = 6
"""A first run, a probe, and what was in flight at other instances."""
CRASHES_OF_A_REQUEST = 3
"""The same as for a part, for a whole request."""
DEADLY_CALL = ("/look/1?deadly", "kiosk", b"deadly")


@pytest.fixture
def entries(fleet, tmp_path):
    for zone in ("west", "east"):
        for number in range(2):
            fleet.add_service(f"{zone}-desk-{number}", zone)
    for engine in fleet.engines.values():
        engine.event_gap_s = 0.03
    entries = []
    for number, zone in enumerate(ZONES):
        beside = entries[0] if entries else None
        entry = Entry(fleet, tmp_path, f"entry-{number}", zone, beside=beside)
        entry.settings["bounds"]["retrySlack"] = 2_000
        entry.write_settings()
        entries.append(entry.start())
    for entry in entries:
        entry.wait_ready()
    wait_for(lambda: all(knows_fleet(entry, fleet) for entry in entries), 15)
    yield entries
    for entry in entries:
        entry.end()
        assert not entry.events("task_failed")
        assert not entry.events("unstructured")


def knows_fleet(entry, fleet):
    known = json.loads(entry.ask("/dump"))
    held = [each["held"] for each in known["targets"].values() if each["held"]]
    return known["instances"] == len(ZONES) and len(held) == len(fleet.engines)


def send_stream(entry, attempt, number, deadly):
    """Send a stream whose caller and first part are those of all others."""
    return entry.request(
        "POST",
        "/advice/x",
        attempt,
        body=b"prompt",
        X_Model="m",
        X_Token_Count=f"100,{2 * (number % 20 + 4)}",
        X_Prompt_Prefix=prompt_parts(number, deadly=deadly),
        X_Deadline_Ms=f"{DEADLINE_S * 1000:.0f}",
    )


def send_call(entry, attempt, number, deadly):
    """Send a call whose path or body, and caller, are those of the deadly one."""
    path, _, body = DEADLY_CALL
    if not deadly:
        sound = [(path, b"sound"), ("/look/1?sound", body), ("/look/2", b"")]
        path, body = sound[number % len(sound)]
    return entry.request("POST", path, attempt, body=body, X_Deadline_Ms="1400")


@pytest.mark.slow
@pytest.mark.trial
def test_a_part_that_crashes_engines_is_kept_from_them(entries, fleet):
    """Issue 27: one part ended engine after engine, and sound requests with them."""
    fleet.deadly_parts = frozenset({DEADLY_PART})
    play = DeadlyPlay(fleet, entries, send_stream).run()
    broken = play.broken(crashes=CRASHES_OF_A_PART, most_crashes=MOST_CRASHES_OF_A_PART)
    assert broken == [], "\n".join(broken)


@pytest.mark.slow
@pytest.mark.trial
def test_a_request_that_crashes_targets_is_kept_from_them(entries, fleet):
    """Issue 27: a whole request ended target after target of a plain service."""
    fleet.deadly_requests = frozenset({DEADLY_CALL})
    play = DeadlyPlay(fleet, entries, send_call).run()
    broken = play.broken(crashes=CRASHES_OF_A_REQUEST)
    assert broken == [], "\n".join(broken)
