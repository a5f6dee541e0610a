"""`celeryfork dump --entry` of a running entry."""

import json
import sys

import pytest
from celeryfork_cmdline.main import main


@pytest.fixture
def dump(entry, monkeypatch, capsys):
    """Run the command as the start script does; return its exit code and output."""

    def run(*options, port=None):
        address = f"{entry.ip}:{port or entry.ready}"
        arguments = ["celeryfork", "dump", address, "--entry", *options]
        monkeypatch.setattr(sys, "argv", arguments)
        with pytest.raises(SystemExit) as ended:
            sys.exit(main())
        captured = capsys.readouterr()
        return ended.value.code, captured.out, captured.err

    return run


def test_it_shows_placement_engines_configuration_and_duty(dump, fleet):
    code, output, _ = dump()
    state = json.loads(output)
    assert not code
    assert state["configuration"] == fleet.version
    assert state["duty"]["held"]
    big = state["targets"]["west-big"]
    assert (big["held"]["first"], big["held"]["last"]) == fleet.engines["west-big"].held
    assert not big["standing"]["leaving"]


def test_it_shows_one_part(dump):
    for part in ("duty", "configuration"):
        assert set(json.loads(dump("--part", part)[1])) == {part}


def test_an_unknown_part_and_a_wrong_address_are_told(dump):
    code, _, error = dump("--part", "kettles")
    assert code == 1
    assert "no part 'kettles'" in error
    code, _, error = dump(port=1)
    assert code == 1
    assert "check that it runs" in error
