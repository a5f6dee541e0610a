"""The list of known red tests, and how CI passes over them."""

import pytest
from known_red import ROOT, read_entries

ENTRY = "test: a.py::b\ncommand: pytest a.py\nseed: 1\nseen: 2 of 3\nissue: 9"


def test_an_entry_names_its_test():
    assert read_entries(ENTRY + "\n\n" + ENTRY)[1]["test"] == "a.py::b"


@pytest.mark.parametrize("line", ["test", "command", "seed", "seen", "issue"])
def test_an_entry_without_a_part_is_refused(line):
    lines = [each for each in ENTRY.splitlines() if not each.startswith(line)]
    with pytest.raises(ValueError, match=line):
        read_entries("\n".join(lines))


def test_the_tests_of_the_list_exist():
    path = ROOT / "KNOWN-RED.txt"
    entries = read_entries(path.read_text()) if path.exists() else []
    for entry in entries:
        assert (ROOT / entry["test"].split("::")[0]).is_file()
