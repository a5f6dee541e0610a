"""``celeryfork dump --entry`` of a running entry instance."""

import json
import sys

import pytest
from celeryfork_cmdline.main import main


@pytest.fixture
def dump(entry, monkeypatch, capsys):
    """Return a function that runs the command and returns exit code and output.

    The command is run like by its console script.
    """

    def run(*options, port=None):
        address = f"{entry.ip}:{port or entry.ready}"
        arguments = ["celeryfork", "dump", address, "--entry", *options]
        monkeypatch.setattr(sys, "argv", arguments)
        with pytest.raises(SystemExit) as ended:
            sys.exit(main())
        captured = capsys.readouterr()
        return ended.value.code, captured.out, captured.err

    return run


def test_dump_shows_placement_engines_configuration_and_leadership(dump, fleet):
    code, output, _ = dump()
    state = json.loads(output)
    assert not code
    assert state["configuration"] == fleet.version
    assert state["duty"]["held"]
    big = state["targets"]["west-big"]
    assert (big["held"]["first"], big["held"]["last"]) == fleet.engines["west-big"].held
    assert not big["standing"]["leaving"]


def test_part_option_limits_the_dump_to_one_part(dump):
    for part in ("duty", "configuration"):
        assert set(json.loads(dump("--part", part)[1])) == {part}


def test_unknown_part_and_unreachable_instance_are_reported(dump):
    code, _, error = dump("--part", "kettles")
    assert code == 1
    assert "no part 'kettles'" in error
    code, _, error = dump(port=1)
    assert code == 1
    assert "check that it runs" in error
