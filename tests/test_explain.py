"""``celeryfork explain``: what decided a request, from the logs of all instances."""

import sys

import pytest
from celeryfork_cmdline.explain import (
    MOST_AROUND,
    UnknownRequestError,
    explain_request,
)
from celeryfork_cmdline.main import main
from orjson import dumps

PATH = "west/i-1=0-4 west/i-2=4-8"
OTHER_PATH = "east/i-3=0-8"


def line(at_s, event, instance="entry-1", **fields):
    return dumps({"at": at_s, "instance": instance, "event": event, **fields})


def write_logs(directory, *logs):
    """Write a log file of each list of lines; return their paths."""
    paths = []
    for number, lines in enumerate(logs):
        path = directory / f"{number}.log"
        path.write_bytes(b"".join(each + b"\n" for each in lines))
        paths.append(path)
    return paths


BROKEN_OFF = [
    line(100.0, "configuration_in_force", version=3, source="the store"),
    line(104.0, "path_chosen", id="r1", configuration=3, path=PATH),
    line(104.5, "first_event", id="r1", configuration=3),
    line(106.0, "path_broke", id="r1", configuration=3, path=PATH,
         reason="engine i-2 is down; down: i-2"),
    line(106.1, "path_chosen", id="r1", configuration=3, path=OTHER_PATH),
    line(106.2, "repeat_refused", id="r1", configuration=3, sends=2),
    line(106.2, "broken_off", id="r1", configuration=3, last=7),
    line(106.3, "answered", id="r2", status=200),
]  # fmt: skip
ELSEWHERE = [
    line(105.9, "engine_down", "entry-2", engine="i-2", address="10.0.0.2:1",
         reason="TimeoutError()"),
    line(105.9, "engine_down", "entry-2", engine="i-9", address="10.0.0.9:1",
         reason="TimeoutError()"),
    line(93.0, "engine_down", "entry-2", engine="i-1", reason="long before"),
]  # fmt: skip


def test_the_lines_of_a_request_come_from_all_logs_in_order(tmp_path):
    logs = write_logs(tmp_path, BROKEN_OFF[4:], ELSEWHERE, BROKEN_OFF[:4])
    explained = explain_request("r1", logs)
    assert [each.event for each in explained.lines] == [
        "path_chosen", "first_event", "path_broke", "path_chosen", "repeat_refused",
        "broken_off",
    ]  # fmt: skip
    assert explained.first_trouble.event == "path_broke"
    assert explained.decided_by.event == "repeat_refused"


def test_the_age_of_the_configuration_is_told(tmp_path):
    """An operator wants to know whether a request was decided by an old version."""
    explained = explain_request("r1", write_logs(tmp_path, BROKEN_OFF))
    assert explained.known == ["configuration 3, in force for 6.200 s, from the store"]


def test_what_the_store_had_not_told_is_named(tmp_path):
    states = [
        line(101.0, "store_lost", what="targets"),
        line(101.0, "store_lost", what="configuration"),
        line(102.0, "store_regained", what="configuration"),
        line(101.0, "store_lost", "entry-2", what="elsewhere"),
    ]
    explained = explain_request("r1", write_logs(tmp_path, BROKEN_OFF + states))
    assert explained.known[1:] == ["targets not read from the store for 5.200 s"]


def test_engines_that_the_request_met_are_told_of_once(tmp_path):
    again = [
        line(
            106.0,
            "engine_down",
            "entry-1",
            engine="i-2",
            reason="reported down by entry-2",
        )
    ]
    named = BROKEN_OFF[:5] + [
        line(106.1, "path_refused", id="r1", path=OTHER_PATH, reason="status 503")
    ]
    explained = explain_request("r1", write_logs(tmp_path, named, ELSEWHERE, again))
    ((told, instances),) = explained.around
    assert (told.fields["engine"], told.instance, instances) == ("i-2", "entry-2", 2)


def test_all_that_was_lost_counts_where_the_trouble_names_no_engine(tmp_path):
    lost = [line(105.0 + n / 100, "engine_down", engine=f"i-{n}") for n in range(40)]
    logs = write_logs(tmp_path, BROKEN_OFF, lost)
    around = explain_request("r1", logs).around
    assert len(around) == MOST_AROUND
    assert around[-1][0].fields["engine"] == "i-39", "the latest are shown"


def test_a_request_without_trouble_has_no_cause(tmp_path):
    explained = explain_request("r2", write_logs(tmp_path, BROKEN_OFF))
    assert explained.decided_by is None
    assert explained.around == []


@pytest.mark.parametrize(
    "broken",
    [
        b"Traceback (most recent call last): r1",
        b'{"event":"path_broke","instance":"entry-1","cut":4096,"id":"r1"}',
        b'{"at":"noon","instance":"entry-1","event":"path_broke","id":"r1"}',
        b'["r1"]',
        b"\xff\xfe r1",
        b'{"at":106.0,"instance":"entry-1","ev',
    ],
)
def test_lines_that_are_none_are_left_out(tmp_path, broken):
    logs = write_logs(tmp_path, [broken, *BROKEN_OFF])
    assert len(explain_request("r1", logs).lines) == 6


def test_what_a_collector_put_before_a_line_is_left_out(tmp_path):
    collected = [b"2026-12-04 host entry: " + each for each in BROKEN_OFF]
    assert len(explain_request("r1", write_logs(tmp_path, collected)).lines) == 6


def test_an_id_in_another_field_is_no_line_of_the_request(tmp_path):
    other = [line(104.2, "answered", id="r9", path="/orders/r1")]
    assert (
        len(explain_request("r1", write_logs(tmp_path, BROKEN_OFF + other)).lines) == 6
    )


def test_an_unknown_request_names_the_remedy(tmp_path):
    with pytest.raises(UnknownRequestError, match="logs of all instances"):
        explain_request("r7", write_logs(tmp_path, BROKEN_OFF))


def run(monkeypatch, *arguments):
    monkeypatch.setattr(sys, "argv", ["celeryfork", "explain", *arguments])
    try:
        return main()
    except SystemExit as ended:
        return ended.code


def test_the_command_shows_lines_cause_and_ages(
    tmp_path, monkeypatch, capsys, snapshot
):
    logs = write_logs(tmp_path, BROKEN_OFF, ELSEWHERE)
    assert not run(monkeypatch, "r1", *map(str, logs))
    assert capsys.readouterr().out == snapshot


def test_the_command_fails_for_an_unknown_request(tmp_path, monkeypatch, capsys):
    logs = write_logs(tmp_path, BROKEN_OFF)
    assert run(monkeypatch, "r7", *map(str, logs)) == 1
    assert "Give the logs of all instances" in capsys.readouterr().err


def test_the_command_fails_for_a_log_that_is_not_there(tmp_path, monkeypatch, capsys):
    assert run(monkeypatch, "r1", str(tmp_path / "none.log")) == 1
    assert "none.log" in capsys.readouterr().err
