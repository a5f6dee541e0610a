"""The command line, as operators and their scripts use it."""

import sys
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_bench.rig import ADMINISTRATOR_KEY, Rig, make_rig, wait_until
from celeryfork_bench.small import small_deployment
from celeryfork_cmdline import config as config_commands
from celeryfork_cmdline.main import main, make_app
from celeryfork_config.publisher import make_publisher
from celeryfork_platform.log import make_log_client
from jsonschema import Draft202012Validator
from orjson import dumps, loads
from typer.main import get_command

NAME = "organisation/kilimani"


@pytest.fixture(scope="module")
def rig() -> Iterator[Rig]:
    made: Rig = make_rig(small_deployment())
    made.start()
    yield made
    made.stop()


@pytest.fixture
def command(monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]):
    """Run the command as the start script does, in this process."""
    monkeypatch.setenv("CELERYFORK_ADMINISTRATOR_KEY", ADMINISTRATOR_KEY)
    monkeypatch.setenv("COLUMNS", "88")
    monkeypatch.setenv("TERM", "dumb")

    def run(*arguments: str) -> SimpleNamespace:
        monkeypatch.setattr(sys, "argv", ["celeryfork", *arguments])
        try:
            code = main()
        except SystemExit as ended:
            code = ended.code
        captured = capsys.readouterr()
        assert "Traceback" not in captured.err
        return SimpleNamespace(code=code, out=captured.out, err=captured.err)

    return run


def written(path: Path, content: Any) -> str:
    path.write_bytes(dumps(content))
    return str(path)


BAD_SETTINGS = {
    "instanse": "westlands-1",
    "domain": 7,
    "platform": {"log_url": "http://127.0.0.1:1", "instances_url": 3},
    "http_port": 99999,
    "stop": {"notice_s": -1},
}
BAD_RECORDS = [
    {"name": "organisation/tea", "schema": 1, "payload": {"burst": "many", "x": 1}},
    {"name": "model/reminder-writer", "schema": 1, "payload": {"layers": 0}},
    {"name": "kettle/tea", "schema": 1, "payload": {}},
    {"name": NAME, "schema": 9, "payload": {}},
    {"schema": 1},
]


@pytest.mark.parametrize("content", [BAD_SETTINGS, BAD_RECORDS])
def test_check_shows_every_fault_at_once(
    command, content, tmp_path, monkeypatch, snapshot
) -> None:
    monkeypatch.chdir(tmp_path)
    written(Path("bad.json"), content)
    ran = command("check", "bad.json")
    assert ran.code == 2
    assert ran.out == snapshot
    asked = loads(command("check", "--json", "bad.json").out)
    assert len(asked["faults"]) == len(ran.out.splitlines()) - 1
    assert all(fault["path"] and fault["remedy"] for fault in asked["faults"])


NO_PAYLOAD = b'{"name": "model/x", "payload": null}'


@pytest.mark.parametrize("content", [b"{", b"\xff", b"[1, null]", b"7", NO_PAYLOAD])
def test_check_of_garbage_is_a_fault(command, content: bytes, tmp_path) -> None:
    path = tmp_path / "garbage.json"
    path.write_bytes(content)
    assert command("check", str(path)).code == 2


def test_check_of_a_missing_file_is_a_fault(command, tmp_path) -> None:
    assert command("check", str(tmp_path / "none.json")).code == 2


OWN_HELP = ("check", "config", "dump", "schema", "serve", "targets", "version")


@pytest.mark.parametrize("name", OWN_HELP)
def test_help(command, name: str, snapshot) -> None:
    ran = command(name, "--help")
    assert ran.code == 0
    assert [line.rstrip() for line in ran.out.strip().splitlines()] == snapshot


@pytest.mark.parametrize("name", sorted(get_command(make_app()).commands))
def test_every_command_has_help(command, name: str) -> None:
    ran = command(name, "--help")
    assert ran.code == 0
    assert f"celeryfork {name}" in ran.out


def test_version_and_schema(command) -> None:
    assert command("version").out.startswith("celeryfork ")
    Draft202012Validator.check_schema(loads(command("schema").out))


def test_a_record_from_publish_to_retract(command, rig: Rig, tmp_path) -> None:
    log = ("--log-url", rig.platform.url)
    instances = ("--instances-url", rig.platform.url)
    name = "organisation/tea"
    record = {"name": name, "schema": 1, "payload": {"burst": 9}}
    path = written(tmp_path / "record.json", record)
    offset = loads(command("config", "publish", path, *log, "--json").out)[name]
    waited = command("config", "wait", str(offset), *instances, "--json")
    assert waited.code == 0
    assert loads(waited.out)["behind"] == {}
    shown = loads(command("config", "show", name, *log).out)
    assert [(each["offset"], each["payload"]) for each in shown] == [
        (offset, {"burst": 9})
    ]
    again = command("config", "publish", path, *log)
    assert "accepted at offset" in again.out
    assert command("config", "retract", name, *log).code == 0
    items = loads(command("config", "history", name, *log, "--json").out)
    assert [item["accepted"] for item in items] == [True, True, True]
    assert items[-1]["payload"] is None
    table = command("config", "history", name, *log).out.splitlines()
    assert len(table) == 1 + len(items)


def test_of_racing_publishers_the_loser_is_told_the_winners_offset(
    command, rig: Rig, tmp_path
) -> None:
    log = ("--log-url", rig.platform.url)
    name = "organisation/raced"
    path = written(
        tmp_path / "record.json", {"name": name, "schema": 1, "payload": {"burst": 9}}
    )
    first = loads(command("config", "publish", path, *log, "--json").out)[name]
    winner = loads(command("config", "publish", path, *log, "--json").out)[name]
    lost = command("config", "publish", path, *log, "--based-on", str(first))
    assert lost.code == 1
    assert str(winner) in lost.err
    assert "Remedy:" in lost.err


def test_faulty_records_are_not_published(command, rig: Rig, tmp_path) -> None:
    log = ("--log-url", rig.platform.url)
    good = {"name": "organisation/good", "schema": 1, "payload": {}}
    path = written(tmp_path / "records.json", [good, *BAD_RECORDS])
    ran = command("config", "publish", path, *log)
    assert ran.code == 2
    assert loads(command("config", "show", "organisation/good", *log).out) == []


def test_a_record_without_payload_takes_the_defaults(command, rig, tmp_path) -> None:
    log = ("--log-url", rig.platform.url)
    path = written(tmp_path / "r.json", {"name": "organisation/plain", "schema": 1})
    assert command("check", path).code == 0
    assert command("config", "publish", path, *log).code == 0


def test_one_offset_is_not_taken_for_several_records(command, rig, tmp_path) -> None:
    log = ("--log-url", rig.platform.url)
    records = [{"name": f"organisation/{n}", "payload": {}} for n in ("one", "two")]
    path = written(tmp_path / "records.json", records)
    ran = command("config", "publish", path, *log, "--based-on", "0")
    assert ran.code == 2
    assert "--based-on" in ran.err


def test_wait_names_who_is_behind(command, rig: Rig) -> None:
    instances = ("--instances-url", rig.platform.url, "--timeout-s", "0")
    ran = command("config", "wait", "999999", *instances)
    assert ran.code == 1
    assert len(ran.out.splitlines()) == len(rig.daemons())


def test_wait_without_any_instance_is_no_success(command, monkeypatch) -> None:
    monkeypatch.setattr(config_commands, "entry_addresses", lambda url: {})
    instances = ("--instances-url", "http://127.0.0.1:1", "--timeout-s", "0")
    assert command("config", "wait", "0", *instances).code == 1


def test_dump_and_targets(command, rig: Rig) -> None:
    address = rig.daemons()[0].http_address
    whole = loads(command("dump", address).out)
    assert {"process", "configuration", "targets", "claims", "counters"} <= set(whole)
    assert set(loads(command("dump", address, "--part", "targets").out)) == {"targets"}
    plain = command("targets", address)
    assert plain.code == 0
    assert "reminder-writer" in plain.out
    assert "known_by_name" in loads(command("targets", address, "--json").out)
    unknown = command("dump", address, "--part", "kettles")
    assert unknown.code == 1
    assert "kettles" in unknown.err


def test_a_target_that_leaves_is_shown_with_the_reason(command, rig: Rig) -> None:
    address = rig.daemons()[0].http_address
    view = rig.daemons()[0].parts.membership.view
    engine = view.eligible_targets("reminder-writer")[0].id
    rig.platform.instances.leave(engine)
    wait_until(
        f"{engine} shown", lambda: engine in command("targets", address).out, 20.0
    )
    shown = [
        line
        for line in command("targets", address).out.splitlines()
        if line.startswith(engine)
    ]
    assert len(shown) == 1
    assert "leaving" in shown[0]


def test_a_wrong_key_or_address_is_told_with_the_remedy(
    command, rig: Rig, monkeypatch
) -> None:
    monkeypatch.setenv("CELERYFORK_ADMINISTRATOR_KEY", "nobody's")
    refused = command("dump", rig.daemons()[0].http_address)
    assert refused.code == 1
    assert "CELERYFORK_ADMINISTRATOR_KEY" in refused.err
    assert command("dump", "127.0.0.1:1").code == 1


def test_a_log_that_is_away_is_told(command) -> None:
    ran = command("config", "show", NAME, "--log-url", "http://127.0.0.1:1")
    assert ran.code == 1
    assert "Remedy:" in ran.err


def test_the_publisher_of_the_library_sees_what_the_command_did(
    command, rig: Rig, tmp_path
) -> None:
    path = written(
        tmp_path / "r.json", {"name": "organisation/seen", "payload": {"burst": 3}}
    )
    command("config", "publish", path, "--log-url", rig.platform.url)
    clock = SystemClock()
    publisher = make_publisher(
        make_log_client(rig.platform.url, clock, Counters()), clock
    )
    assert [dict(r.payload) for r in publisher.show("organisation/seen")] == [
        {"burst": 3}
    ]
